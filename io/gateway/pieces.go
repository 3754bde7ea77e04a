package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"google.golang.org/grpc"

	"tanagerroad/core/wire"
)

// Pieces implements wire.GatewayServer: it executes the jobs of another gateway
// and returns their results, with heartbeats in between while there are jobs.
func (g *Gateway) Pieces(stream grpc.BidiStreamingServer[wire.PieceJob, wire.PieceResult]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &jobStream{id: ulid.Make().String(), remaining: map[uint64]int{}, results: make(chan *wire.PieceResult, streamBuffer), begun: make(chan struct{}, 1), cancel: cancel}
	go func() {
		defer cancel()
		s.sendResults(ctx, g.ctx, stream.Send)
	}()
	defer g.cancelAllJobs(s.id)
	for {
		job, err := stream.Recv()
		if err != nil {
			return err
		}
		batcher := g.batcher(job.GetShard())
		switch {
		case len(job.GetFree()) > 0:
			batcher.release(job.GetFree())
		case job.GetCancel():
			s.end(job.GetNumber())
			batcher.cancel(s.id, job.GetNumber())
		default:
			s.begin(job.GetNumber(), len(job.GetPieces()))
			batcher.submit(s.id, job, s.deliver)
		}
		s.recordProcessed()
	}
}

// jobStream is the owner's side of a stream of jobs from another gateway.
type jobStream struct {
	id      string // identifies its jobs among those of all streams
	results chan *wire.PieceResult
	begun   chan struct{} // receives when a job arrives at a stream without one
	cancel  func()

	mu        sync.Mutex     // guards the fields below
	remaining map[uint64]int // pieces without an outcome, by job number
	processed uint64         // messages
}

func (s *jobStream) begin(number uint64, pieces int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.remaining) == 0 {
		select {
		case s.begun <- struct{}{}:
		default:
		}
	}
	s.remaining[number] = pieces
}

func (s *jobStream) end(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.remaining, number)
}

func (s *jobStream) recordProcessed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processed++
}

// deliver queues a result. If the other gateway has stopped reading, the stream ends;
// that gateway will submit its jobs again.
func (s *jobStream) deliver(result *wire.PieceResult) {
	s.mu.Lock()
	s.remaining[result.GetNumber()] -= len(result.GetPieces())
	if result.GetRefused() != "" || s.remaining[result.GetNumber()] <= 0 {
		delete(s.remaining, result.GetNumber())
	}
	s.mu.Unlock()
	select {
	case s.results <- result:
	default:
		s.cancel()
	}
}

// progress returns whether there are jobs, and how many messages were processed.
func (s *jobStream) progress() (hasJobs bool, processed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.remaining) > 0, s.processed
}

// sendResults sends the results, and heartbeats while there are jobs, until one of the
// contexts ends or a send fails. A gateway without jobs at this owner needs no
// heartbeats, so that their number depends on the jobs and not on the gateways.
func (s *jobStream) sendResults(ctx, stopped context.Context, send func(*wire.PieceResult) error) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		var message *wire.PieceResult
		select {
		case <-ctx.Done():
			return
		case <-stopped.Done():
			return
		case <-s.begun:
			heartbeat.Reset(heartbeatInterval)
			continue
		case message = <-s.results:
		case <-heartbeat.C:
			message = &wire.PieceResult{}
		}
		hasJobs, processed := s.progress()
		if message.GetNumber() == 0 && !hasJobs {
			continue // until the next job arrives
		}
		heartbeat.Reset(heartbeatInterval)
		message.Processed = processed
		if err := send(message); err != nil {
			return
		}
	}
}
