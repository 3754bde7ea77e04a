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

// Times of serving an attempt.
const (
	beatEvery   = 500 * time.Millisecond // a part that shows that sidecar and connection live
	cancelGrace = 2 * time.Second        // how long an attempt that nobody watches goes on
)

// Bounds on what an entry may send.
const (
	maxRequestID = 128
	maxStage     = 64
)

func checkKey(k *wire.Key) error {
	if k.GetRequest() == "" || len(k.GetRequest()) > maxRequestID || k.GetStage() > maxStage || k.GetAttempt() == 0 {
		return status.Error(codes.InvalidArgument, "a key needs a request id of up to 128 bytes, a stage and an attempt")
	}
	return nil
}

// Run queues an attempt, or attaches to it when it is known, and sends its
// result from the offset that the request names.
func (s *Sidecar) Run(request *wire.RunRequest, stream grpc.ServerStreamingServer[wire.Part]) error {
	if err := checkKey(request.GetKey()); err != nil {
		return err
	}
	key := peer.KeyFromWire(request.GetKey())
	if r := s.known(key); r != nil {
		if r.request.GetFingerprint() != request.GetFingerprint() {
			return status.Error(codes.InvalidArgument, "the key belongs to another request")
		}
		return s.follow(stream, r, request.GetFrom())
	}
	arrived := s.config.Clock.Now()
	if err := s.fetchInput(stream.Context(), request); err != nil {
		return stream.Send(s.part(key, &wire.Part{Body: &wire.Part_NotRun{NotRun: &wire.NotRun{
			Reason: err.Error(), InputGone: true,
		}}}))
	}
	if xxhash.Sum64(request.GetInput()) != request.GetInputDigest() {
		return status.Error(codes.InvalidArgument, "the input does not match its digest")
	}
	return s.follow(stream, s.submit(request, arrived), request.GetFrom())
}

func (s *Sidecar) known(key tanagerroad.AttemptKey) *record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[key]
}

// submit hands the attempt to the desk, under a record that carries its result.
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
		input: request.GetInput(), once: request.GetOnce(), budget: budget,
	}
	s.records[key] = r
	verdict := s.quarantine[request.GetFingerprint()]
	actions := s.step(stage.Event{
		Kind: stage.Submit, Key: key, Deadline: arrived + budget, Expected: time.Duration(request.GetExpectedMillis()) * time.Millisecond,
		Once: request.GetOnce(), Alone: request.GetAlone() || verdict != nil, Convicted: verdict.GetConvicted(),
		Fingerprint: request.GetFingerprint(), Generation: request.GetGeneration(),
	})
	for _, a := range actions {
		// The desk knew it without a record: it was fenced off before it
		// came, or its record is gone.
		if a.Kind == stage.Attached && a.Key == key {
			r.close(s.part(key, attachedPart(a.State)))
		}
	}
	if s.desk.StateOf(key) == "" {
		delete(s.records, key) // the desk keeps nothing of it
	}
	return r
}

func attachedPart(state string) *wire.Part {
	if state == stage.Fenced || state == stage.NotRun {
		return &wire.Part{Body: &wire.Part_NotRun{NotRun: &wire.NotRun{Reason: "the attempt was fenced off"}}}
	}
	return &wire.Part{Body: &wire.Part_Failed{Failed: &wire.Failed{Reason: "the result is no longer kept", Unknown: true}}}
}

// Fetch attaches to an attempt that is known here, and never starts one.
func (s *Sidecar) Fetch(request *wire.RunRequest, stream grpc.ServerStreamingServer[wire.Part]) error {
	if err := checkKey(request.GetKey()); err != nil {
		return err
	}
	r := s.known(peer.KeyFromWire(request.GetKey()))
	if r == nil {
		return status.Error(codes.NotFound, "the attempt is not known here")
	}
	if request.GetKeepAbove() > 0 {
		// The next stage's sidecar wants the bytes, not a reference.
		return s.followWhole(stream, r)
	}
	return s.follow(stream, r, request.GetFrom())
}

// follow sends a record's result until its end, with beats while there is
// nothing to send.
func (s *Sidecar) follow(stream grpc.ServerStreamingServer[wire.Part], r *record, from uint64) error {
	s.watching(r)
	defer s.unwatched(r)
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	key := r.request.GetKey()
	for {
		piece, end, changed := r.next(from)
		switch {
		case piece != nil:
			part := &wire.Part{Key: key, Body: &wire.Part_Data{Data: &wire.Data{Offset: from, Bytes: piece}}}
			if err := stream.Send(part); err != nil {
				return err
			}
			from += uint64(len(piece))
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

// followWhole sends a finished result that is kept here.
func (s *Sidecar) followWhole(stream grpc.ServerStreamingServer[wire.Part], r *record) error {
	r.mu.Lock()
	data, end := r.data, r.end
	r.mu.Unlock()
	if end.GetEnd() == nil {
		return status.Error(codes.NotFound, "the attempt has no whole result")
	}
	for from := 0; from < len(data); from += chunkBytes {
		piece := data[from:min(len(data), from+chunkBytes)]
		part := &wire.Part{Key: r.request.GetKey(), Body: &wire.Part_Data{Data: &wire.Data{Offset: uint64(from), Bytes: piece}}}
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return stream.Send(end)
}

func (s *Sidecar) watching(r *record) {
	r.watch(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.cancelGrace != nil {
		r.cancelGrace.Stop()
	}
}

// unwatched cancels an attempt that nobody watches for a while: its entry is
// gone, or does not want it any more.
func (s *Sidecar) unwatched(r *record) {
	if r.watch(-1) > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.cancelGrace = time.AfterFunc(cancelGrace, func() {
		if r.watch(0) > 0 {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.step(stage.Event{Kind: stage.Cancel, Key: peer.KeyFromWire(r.request.GetKey())})
	})
}

// Ask says what became of an attempt.
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

// Cancel ends an attempt that nobody wants any more.
func (s *Sidecar) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.CancelReply, error) {
	if err := checkKey(request.GetKey()); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(stage.Event{Kind: stage.Cancel, Key: peer.KeyFromWire(request.GetKey())})
	return &wire.CancelReply{}, nil
}

// fetchTimeout bounds the fetching of an input from another sidecar.
const fetchTimeout = 2 * time.Second

// fetchInput brings a referenced input here, straight from where it lies.
func (s *Sidecar) fetchInput(ctx context.Context, request *wire.RunRequest) error {
	reference := request.GetInputReference()
	if reference == nil {
		return nil
	}
	if r := s.known(peer.KeyFromWire(reference.GetKey())); r != nil && reference.GetAddress() == s.config.Settings.Peer.AdvertisedAddress() {
		r.mu.Lock()
		defer r.mu.Unlock()
		request.Input, request.InputDigest = r.data, reference.GetDigest()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := s.config.Links.Get(reference.GetAddress())
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
				s.config.Links.Replace(reference.GetAddress(), conn)
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
		return fmt.Errorf("input: what came from %s is not what was referred to", reference.GetAddress())
	}
	request.Input, request.InputDigest = data, reference.GetDigest()
	return nil
}
