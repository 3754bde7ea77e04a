package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/owner"
	"tanagerroad/core/wire"
)

const (
	// heartbeatInterval is the interval of an owner's heartbeats. After
	// ownerTimeout without a message, an owner is considered lost.
	heartbeatInterval = 200 * time.Millisecond
	ownerTimeout      = 650 * time.Millisecond
	// refusalRetryDelay is the retry delay of a refusal if there is no better
	// estimate.
	refusalRetryDelay = 500 * time.Millisecond
	// streamBuffer is the number of messages buffered for one stream.
	streamBuffer = 1024
)

// owner returns the address of the current owner, the gateway that batches the
// pieces of all pools. There is one owner for all pools, rather than one for each,
// so that it can predict how long all stages of a request will take.
func (o *ownerClient) owner() string {
	now := o.g.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	best := o.view.Choose(now)
	if o.lastOwner != best {
		event.OwnerChanged.Log(o.g.config.Logger, zap.String("owner", best), zap.String("before", o.lastOwner))
		o.lastOwner = best
	}
	return best
}

// setGateways replaces the list of gateways.
func (o *ownerClient) setGateways(at time.Duration, gateways []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.SetGateways(at, gateways)
}

// markDisrupted records that other gateways may choose a different owner from now
// on.
func (o *ownerClient) markDisrupted(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.MarkDisrupted(at)
}

// soleOwner reports whether this gateway is the owner and no other gateway can
// still be acting as one.
func (o *ownerClient) soleOwner(at time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view.SoleOwner(at)
}

// ownerClient submits jobs to the owner, which may be this gateway itself, and
// returns their results.
type ownerClient struct {
	g          *Gateway
	mu         sync.Mutex
	streams    map[string]*ownerStream
	view       *owner.View
	lastOwner  string // the owner chosen last
	lastNumber uint64 // the last job number assigned
}

// ownerStream is the stream to one owner, with the jobs that wait for its results.
type ownerStream struct {
	out     chan *wire.PieceJob
	ctx     context.Context
	pending map[uint64]func(*wire.PieceResult) // functions that deliver the results, by job number
}

func newOwnerClient(g *Gateway) *ownerClient {
	return &ownerClient{g: g, streams: map[string]*ownerStream{}, view: owner.New(g.now(), g.config.Settings.Peer.AdvertisedAddress())}
}

// reasonOwnerLost is the reason in the result of a job whose owner was lost.
const reasonOwnerLost = "the gateway that gathers pieces went away"

// release asks the owner to release results.
func (o *ownerClient) release(handles []string) {
	address := o.owner()
	if address == o.g.config.Settings.Peer.AdvertisedAddress() {
		o.g.batcher.release(handles)
		return
	}
	o.mu.Lock()
	stream := o.stream(address)
	o.mu.Unlock()
	stream.send(&wire.PieceJob{Free: handles})
}

// submit sends a job to the owner, under a new job number. deliver is called with
// each result, which may cover some of the pieces only; it must not block.
func (o *ownerClient) submit(job *wire.PieceJob, deliver func(*wire.PieceResult)) (cancel func()) {
	address := o.owner()
	o.mu.Lock()
	o.lastNumber++
	job.Number = o.lastNumber
	if address == o.g.config.Settings.Peer.AdvertisedAddress() {
		o.mu.Unlock()
		o.g.batcher.submit(address, job, deliver)
		return func() { o.g.batcher.cancel(address, job.GetNumber()) }
	}
	stream := o.stream(address)
	stream.pending[job.Number] = deliver
	o.mu.Unlock()
	stream.send(job)
	return func() {
		o.mu.Lock()
		_, isPending := stream.pending[job.Number]
		delete(stream.pending, job.Number)
		o.mu.Unlock()
		if isPending {
			stream.send(&wire.PieceJob{Number: job.Number, Cancel: true})
		}
	}
}

// servers returns the usable backend servers of a pool, and their limits.
func (g *Gateway) servers(pool string) ([]tanagerroad.Announcement, []fleet.ServerLimit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Pool(pool), g.fleet.Limited(pool)
}

// send queues a message, unless the stream has ended.
func (s *ownerStream) send(job *wire.PieceJob) {
	select {
	case s.out <- job:
	case <-s.ctx.Done():
	}
}

// stream returns the stream to an owner and opens it if there is none. o.mu must
// be held.
func (o *ownerClient) stream(address string) *ownerStream {
	if stream, ok := o.streams[address]; ok {
		return stream
	}
	ctx, cancel := context.WithCancel(o.g.ctx)
	stream := &ownerStream{out: make(chan *wire.PieceJob, streamBuffer), ctx: ctx, pending: map[uint64]func(*wire.PieceResult){}}
	o.streams[address] = stream
	go func() {
		o.runStream(ctx, cancel, address, stream)
		cancel()
		o.removeStream(address, stream)
	}()
	return stream
}

// removeStream removes a stream that has ended, and refuses its pending jobs with
// reasonOwnerLost.
func (o *ownerClient) removeStream(address string, stream *ownerStream) {
	o.mu.Lock()
	if o.g.ctx.Err() == nil {
		o.view.MarkLost(o.g.now(), address)
	}
	pending := stream.pending
	stream.pending = map[uint64]func(*wire.PieceResult){}
	delete(o.streams, address)
	o.mu.Unlock()
	for number, deliver := range pending {
		deliver(&wire.PieceResult{Number: number, Refused: reasonOwnerLost})
	}
}

// runStream sends and receives on the stream to an owner until it breaks or the
// owner is silent for too long.
func (o *ownerClient) runStream(ctx context.Context, cancel func(), address string, stream *ownerStream) {
	conn, err := o.g.config.Conns.Get(address)
	if err != nil {
		return
	}
	watchdog := time.AfterFunc(ownerTimeout, func() {
		event.LinkSilent.Log(o.g.config.Logger, zap.String("peer", address))
		o.g.config.Conns.Replace(address, conn)
		cancel()
	})
	defer watchdog.Stop()
	rpc, err := wire.NewGatewayClient(conn).Pieces(ctx)
	if err != nil {
		return
	}
	go func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case job := <-stream.out:
				if err := rpc.Send(job); err != nil {
					return
				}
			}
		}
	}()
	for {
		result, err := rpc.Recv()
		if err != nil {
			return
		}
		watchdog.Reset(ownerTimeout)
		if result.GetNumber() == 0 { // a heartbeat
			continue
		}
		o.mu.Lock()
		deliver := stream.pending[result.GetNumber()]
		o.mu.Unlock()
		if deliver != nil {
			deliver(result)
		}
	}
}

// removePending removes a completed job from the pending ones.
func (o *ownerClient) removePending(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, stream := range o.streams {
		delete(stream.pending, number)
	}
}

// Pieces implements wire.GatewayServer: it executes the jobs of another gateway
// and returns their results, with heartbeats in between.
func (g *Gateway) Pieces(stream grpc.BidiStreamingServer[wire.PieceJob, wire.PieceResult]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	results := make(chan *wire.PieceResult, streamBuffer)
	go func() {
		defer cancel()
		heartbeat := time.NewTicker(heartbeatInterval)
		defer heartbeat.Stop()
		for {
			var err error
			select {
			case <-ctx.Done():
				return
			case <-g.ctx.Done():
				return
			case result := <-results:
				err = stream.Send(result)
			case <-heartbeat.C:
				err = stream.Send(&wire.PieceResult{})
			}
			if err != nil {
				return
			}
		}
	}()
	deliver := func(result *wire.PieceResult) {
		select {
		case results <- result:
		default:
			cancel() // the other gateway has stopped reading; it will submit its jobs again
		}
	}
	streamID := ulid.Make().String()
	defer g.batcher.cancelAll(streamID)
	for {
		job, err := stream.Recv()
		if err != nil {
			return err
		}
		switch {
		case len(job.GetFree()) > 0:
			g.batcher.release(job.GetFree())
		case job.GetCancel():
			g.batcher.cancel(streamID, job.GetNumber())
		default:
			g.batcher.submit(streamID, job, deliver)
		}
	}
}
