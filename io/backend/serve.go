package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tanagerroad"
	"tanagerroad/core/stage"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// Timing of the streams to entries.
const (
	beatInterval = 500 * time.Millisecond // time between beats, which show that sidecar and connection are alive
	cancelDelay  = 2 * time.Second        // how long an attempt without watchers continues before it is cancelled
)

// Limits on an attempt's key, which entries choose.
const (
	maxRequestIDBytes = 128
	maxStage          = 64 // highest index of a stage
)

// checkKey returns an InvalidArgument status if the key is incomplete or exceeds
// the limits.
func checkKey(k *wire.Key) error {
	if k.GetRequest() == "" || len(k.GetRequest()) > maxRequestIDBytes || k.GetStage() > maxStage || k.GetAttempt() == 0 {
		return status.Error(codes.InvalidArgument, "a key needs a request id of up to 128 bytes, a stage and an attempt")
	}
	return nil
}

// Run queues an attempt, or attaches to it if it exists already, and streams its
// result from the byte offset given by the request. It answers NotRun if the
// referenced input cannot be fetched. Closing the stream does not cancel the attempt
// at once; see removeWatcher.
func (s *Sidecar) Run(request *wire.RunRequest, stream grpc.ServerStreamingServer[wire.Part]) error {
	if err := checkKey(request.GetKey()); err != nil {
		return err
	}
	key := peer.KeyFromWire(request.GetKey())
	if r := s.lookup(key); r != nil {
		if r.request.GetFingerprint() != request.GetFingerprint() {
			return status.Error(codes.InvalidArgument, "the key belongs to another request")
		}
		return s.sendResult(stream, r, request.GetFrom())
	}
	arrived := s.config.Clock.Now()
	if err := s.fetchInput(stream.Context(), request); err != nil {
		return stream.Send(&wire.Part{Key: request.GetKey(), Body: &wire.Part_NotRun{NotRun: &wire.NotRun{
			Reason: err.Error(), InputGone: true,
		}}})
	}
	if xxhash.Sum64(request.GetInput()) != request.GetInputDigest() {
		return status.Error(codes.InvalidArgument, "the input does not match its digest")
	}
	return s.sendResult(stream, s.submit(request, arrived), request.GetFrom())
}

// lookup returns the attempt's record, or nil if there is none.
func (s *Sidecar) lookup(key tanagerroad.AttemptKey) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key]
}

// submit creates a record for the attempt and submits it to the scheduler. If the
// attempt has a record already, submit returns that one.
func (s *Sidecar) submit(request *wire.RunRequest, arrived time.Duration) *record {
	key := peer.KeyFromWire(request.GetKey())
	budget := time.Duration(request.GetBudgetMillis()) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		return r
	}
	r := newRecord(request, arrived)
	r.call = call{
		key: key, requestID: request.GetRequestId(), workspace: request.GetWorkspace(), model: request.GetModel(), kind: s.announced.Kind,
		input: request.GetInput(), atMostOnce: request.GetOnce(), budget: budget,
	}
	s.records[key] = r
	conviction := s.quarantine[request.GetFingerprint()]
	actions := s.step(stage.Event{
		Kind: stage.Submit, Key: key, Deadline: arrived + budget, Expected: time.Duration(request.GetExpectedMillis()) * time.Millisecond,
		Once: request.GetOnce(), Alone: request.GetAlone() || conviction != nil,
		Convicted:   conviction.GetConvicted() || s.quarantine[prefixOf(request).Fingerprint].GetConvicted(),
		Fingerprint: request.GetFingerprint(), Generation: request.GetGeneration(),
	})
	for _, a := range actions {
		// The scheduler knows the attempt, but it had no record: it was fenced
		// before it arrived, or its record was released.
		if a.Kind == stage.Attached && a.Key == key {
			r.close(s.lastPart(key, partForAttached(a.State)))
		}
	}
	if s.scheduler.StateOf(key) == "" {
		delete(s.records, key) // rejected: the scheduler does not retain it
	}
	return r
}

// partForAttached returns the final part for an attempt that the scheduler knows in
// the given state, but that has no record.
func partForAttached(state string) *wire.Part {
	if state == stage.Fenced || state == stage.NotRun {
		return &wire.Part{Body: &wire.Part_NotRun{NotRun: &wire.NotRun{Reason: "the attempt was fenced off"}}}
	}
	return &wire.Part{Body: &wire.Part_Failed{Failed: &wire.Failed{Reason: "the result is no longer kept", Unknown: true}}}
}

// Fetch streams the result of an existing attempt; it never starts one. It answers
// NotFound if the attempt is unknown.
func (s *Sidecar) Fetch(request *wire.RunRequest, stream grpc.ServerStreamingServer[wire.Part]) error {
	if err := checkKey(request.GetKey()); err != nil {
		return err
	}
	r := s.lookup(peer.KeyFromWire(request.GetKey()))
	if r == nil {
		return status.Error(codes.NotFound, "the attempt is not known here")
	}
	if request.GetKeepAbove() > 0 {
		// The request comes from the sidecar of the next stage, which needs the
		// data and not a reference.
		return s.sendRetained(stream, r)
	}
	return s.sendResult(stream, r, request.GetFrom())
}

// sendResult streams a record's result from a byte offset until the attempt ends,
// with beats while there is nothing to send.
func (s *Sidecar) sendResult(stream grpc.ServerStreamingServer[wire.Part], r *record, from uint64) error {
	s.addWatcher(r)
	defer s.removeWatcher(r)
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	key := r.request.GetKey()
	for {
		chunk, end, changed := r.next(from)
		switch {
		case chunk != nil:
			part := &wire.Part{Key: key, Body: &wire.Part_Data{Data: &wire.Data{Offset: from, Bytes: chunk}}}
			if err := stream.Send(part); err != nil {
				return err
			}
			from += uint64(len(chunk))
			continue
		case end != nil:
			return stream.Send(end)
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-changed:
		case <-beat.C:
			if err := stream.Send(&wire.Part{Key: key, Body: &wire.Part_Beat{Beat: &wire.Beat{}}}); err != nil {
				return err
			}
		}
	}
}

// sendRetained streams the whole result of an attempt that has completed, including
// data that is otherwise sent only as a reference.
func (s *Sidecar) sendRetained(stream grpc.ServerStreamingServer[wire.Part], r *record) error {
	r.mu.Lock()
	data, end := r.data, r.end
	r.mu.Unlock()
	if end.GetEnd() == nil {
		return status.Error(codes.NotFound, "the attempt has no whole result")
	}
	for from := 0; from < len(data); from += maxChunkBytes {
		chunk := data[from:min(len(data), from+maxChunkBytes)]
		part := &wire.Part{Key: r.request.GetKey(), Body: &wire.Part_Data{Data: &wire.Data{Offset: uint64(from), Bytes: chunk}}}
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return stream.Send(end)
}

// addWatcher adds a watcher to the record's count and stops the cancel timer.
func (s *Sidecar) addWatcher(r *record) {
	r.adjustWatchers(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.cancelTimer != nil {
		r.cancelTimer.Stop()
	}
}

// removeWatcher removes a watcher from the record's count. If it was the last one,
// the attempt is cancelled after cancelDelay unless a new watcher has attached by
// then: its entry has died or no longer needs the result.
func (s *Sidecar) removeWatcher(r *record) {
	if r.adjustWatchers(-1) > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.cancelTimer = time.AfterFunc(cancelDelay, func() {
		if r.adjustWatchers(0) > 0 {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.step(stage.Event{Kind: stage.Cancel, Key: peer.KeyFromWire(r.request.GetKey())})
	})
}

// Ask answers a query about the state of an attempt. With a fence, it also prevents
// an attempt that has not started from ever starting.
func (s *Sidecar) Ask(_ context.Context, request *wire.AskRequest) (*wire.AskReply, error) {
	if err := checkKey(request.GetKey()); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := peer.KeyFromWire(request.GetKey())
	actions := s.step(stage.Event{Kind: stage.Query, Key: key, Generation: request.GetGeneration(), Fence: request.GetFence()})
	for _, a := range actions {
		if a.Kind == stage.AnswerQuery && a.Key == key {
			return &wire.AskReply{State: a.State}, nil
		}
	}
	return &wire.AskReply{State: stage.Unknown}, nil
}

// Cancel cancels an attempt whose result is no longer needed.
func (s *Sidecar) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.CancelReply, error) {
	if err := checkKey(request.GetKey()); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(stage.Event{Kind: stage.Cancel, Key: peer.KeyFromWire(request.GetKey())})
	return &wire.CancelReply{}, nil
}

// fetchTimeout bounds the fetch of an input from another sidecar.
const fetchTimeout = 2 * time.Second

// fetchInput replaces an input reference by the data, which it reads from the local
// records or fetches from the sidecar that retains it. It checks length and digest
// of fetched data.
func (s *Sidecar) fetchInput(ctx context.Context, request *wire.RunRequest) error {
	reference := request.GetInputReference()
	if reference == nil {
		return nil
	}
	if r := s.lookup(peer.KeyFromWire(reference.GetKey())); r != nil && reference.GetAddress() == s.config.Settings.Peer.AdvertisedAddress() {
		r.mu.Lock()
		defer r.mu.Unlock()
		request.Input, request.InputDigest = r.data, reference.GetDigest()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := s.config.Conns.Get(reference.GetAddress())
	if err != nil {
		return fmt.Errorf("input: %w", err)
	}
	stream, err := wire.NewSidecarClient(conn).Fetch(ctx, &wire.RunRequest{Key: reference.GetKey(), KeepAbove: 1})
	if err != nil {
		return fmt.Errorf("input: %w", err)
	}
	var data []byte
	for {
		part, err := stream.Recv()
		if err != nil {
			if ctx.Err() != nil {
				s.config.Conns.Replace(reference.GetAddress(), conn)
			}
			return fmt.Errorf("input: %w", err)
		}
		if part.GetData() != nil {
			data = append(data, part.GetData().GetBytes()...)
		}
		if end := part.GetEnd(); end != nil {
			data = append(data, end.GetTail().GetBytes()...)
			break
		}
	}
	if uint64(len(data)) != reference.GetLength() || xxhash.Sum64(data) != reference.GetDigest() {
		return fmt.Errorf("input: the data from %s does not match the reference's length or digest", reference.GetAddress())
	}
	request.Input, request.InputDigest = data, reference.GetDigest()
	return nil
}
