package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/owner"
	"tanagerroad/core/region"
	"tanagerroad/core/shard"
	"tanagerroad/core/wire"
)

const (
	// heartbeatInterval is the interval of an owner's heartbeats to a gateway whose
	// jobs it has. An owner that sends nothing, or processes none of the messages
	// sent to it, for ownerTimeout is considered lost.
	heartbeatInterval = 200 * time.Millisecond
	ownerTimeout      = 650 * time.Millisecond
	// refusalRetryDelay is the retry delay of a refusal if there is no better
	// estimate.
	refusalRetryDelay = 500 * time.Millisecond
	// streamBuffer is the number of messages buffered for one stream.
	streamBuffer = 1024
)

// ownerClient submits jobs to the owners of shards, one of which may be this gateway
// itself, and returns their results.
type ownerClient struct {
	g          *Gateway
	mu         sync.Mutex
	streams    map[string]*ownerStream // by address
	view       *owner.View
	shards     *shard.View
	lastOwners map[string]string // the owner chosen last, by shard
	lastNumber uint64            // the last job number assigned
}

func newOwnerClient(g *Gateway) *ownerClient {
	return &ownerClient{
		g: g, streams: map[string]*ownerStream{}, view: owner.New(g.now(), g.self()), shards: shard.NewView(shard.NewPlan(nil, nil)),
		lastOwners: map[string]string{},
	}
}

// owner returns the address of a shard's current owner, the gateway that batches the
// pieces of all pools in the shard. There is one owner for all of them, rather than one
// for each, so that it can predict how long all stages of a request will take.
func (o *ownerClient) owner(shard string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.chooseOwner(shard)
}

// chooseOwner implements owner. o.mu must be held.
func (o *ownerClient) chooseOwner(shard string) string {
	best := o.view.Choose(o.g.now(), shard)
	if o.lastOwners[shard] != best {
		event.OwnerChanged.Log(o.g.config.Logger, zap.String("shard", shard), zap.String("owner", best), zap.String("before", o.lastOwners[shard]))
		o.lastOwners[shard] = best
	}
	return best
}

// setGateways replaces the list of gateways.
func (o *ownerClient) setGateways(at time.Duration, gateways []tanagerroad.Gateway) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.SetGateways(at, gateways)
}

// setPlan replaces the division of backend servers into shards.
func (o *ownerClient) setPlan(at time.Duration, plan *shard.Plan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shards.SetPlan(plan)
	o.view.SetShards(at, plan.Shards())
}

// plan returns the division of backend servers into shards.
func (o *ownerClient) plan() *shard.Plan {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shards.Plan()
}

// chooseShard chooses the place of a request in the plan, in the allowed regions and other
// than in the shards that have refused it. It returns false if none is left that is likely
// to admit it.
func (o *ownerClient) chooseShard(request, pool, zone string, refused []string, regions region.Set) (shard.Anchor, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shards.Choose(o.g.now(), request, pool, zone, refused, regions)
}

// markDisrupted records that other gateways may choose different owners from now on.
func (o *ownerClient) markDisrupted(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.MarkDisrupted(at)
}

// soleOwner reports whether this gateway is the owner of a shard and no other gateway
// can still be acting as one.
func (o *ownerClient) soleOwner(at time.Duration, shard string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view.SoleOwner(at, shard)
}

// reasonOwnerLost is the reason in the result of a job whose owner was lost.
const reasonOwnerLost = "the gateway that gathers pieces went away"

// release asks the owner of a shard to release results.
func (o *ownerClient) release(shard string, handles []string) {
	o.mu.Lock()
	address := o.chooseOwner(shard)
	if address == o.g.self().Address {
		o.mu.Unlock()
		o.g.batcher(shard).release(handles)
		return
	}
	stream := o.stream(address)
	stream.send(&wire.PieceJob{Free: handles, Shard: shard})
	o.mu.Unlock()
}

// releaseAll releases results that were made in several shards, which are given by handle.
func (o *ownerClient) releaseAll(handles []string, shards map[string]string) {
	byShard := map[string][]string{}
	for _, handle := range handles {
		byShard[shards[handle]] = append(byShard[shards[handle]], handle)
	}
	for shard, list := range byShard {
		o.release(shard, list)
	}
}

// submit sends a job to the owner of its shard, under a new job number. deliver is
// called with each result, which may cover some of the pieces only; it must not block.
func (o *ownerClient) submit(job *wire.PieceJob, deliver func(*wire.PieceResult)) submitted {
	o.mu.Lock()
	address := o.chooseOwner(job.GetShard())
	o.lastNumber++
	job.Number = o.lastNumber
	if address == o.g.self().Address {
		o.mu.Unlock()
		batcher := o.g.batcher(job.GetShard())
		batcher.submit(address, job, deliver)
		return submitted{
			accepted: func() bool { return true },
			cancel:   func() { batcher.cancel(address, job.GetNumber()) },
		}
	}
	defer o.mu.Unlock()
	stream := o.stream(address)
	if len(stream.pending) == 0 {
		stream.progressAt = o.g.now() // nothing was expected of the owner before
	}
	stream.pending[job.Number] = deliver
	position := stream.send(job)
	return submitted{
		accepted: func() bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			return stream.processed >= position
		},
		cancel: func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			if _, isPending := stream.pending[job.GetNumber()]; isPending {
				delete(stream.pending, job.GetNumber())
				stream.send(&wire.PieceJob{Number: job.GetNumber(), Shard: job.GetShard(), Cancel: true})
			}
		},
	}
}

// submitted is a job that was submitted.
type submitted struct {
	accepted func() bool // reports whether the owner has processed it
	cancel   func()
}

// ownerStream is the stream to one owner, with the jobs that wait for its results. Its
// fields are guarded by ownerClient.mu.
type ownerStream struct {
	out        chan *wire.PieceJob
	ctx        context.Context
	end        context.CancelFunc
	pending    map[uint64]func(*wire.PieceResult) // functions that deliver the results, by job number
	sent       uint64                             // messages
	processed  uint64                             // messages that the owner has processed
	progressAt time.Duration                      // latest time at which the owner was not behind, or less than before
}

// send queues a message and returns its position in the stream. A stream whose buffer is
// full has an owner that is behind, and ends.
func (s *ownerStream) send(job *wire.PieceJob) (position uint64) {
	s.sent++
	select {
	case s.out <- job:
	case <-s.ctx.Done():
	default:
		s.end()
	}
	return s.sent
}

// recordProgress records how many messages the owner has processed.
func (s *ownerStream) recordProgress(at time.Duration, processed uint64) {
	if processed > s.processed || processed == s.sent {
		s.processed, s.progressAt = processed, at
	}
}

// silence returns how long the owner has been without progress although it has jobs.
func (s *ownerStream) silence(at time.Duration) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	return at - s.progressAt
}

// stream returns the stream to an owner and opens it if there is none. o.mu must
// be held.
func (o *ownerClient) stream(address string) *ownerStream {
	if stream, ok := o.streams[address]; ok {
		return stream
	}
	ctx, cancel := context.WithCancel(o.g.ctx)
	stream := &ownerStream{out: make(chan *wire.PieceJob, streamBuffer), ctx: ctx, end: cancel, pending: map[uint64]func(*wire.PieceResult){}, progressAt: o.g.now()}
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
// owner makes no progress for too long.
func (o *ownerClient) runStream(ctx context.Context, cancel func(), address string, stream *ownerStream) {
	conn, err := o.g.config.Conns.Get(address)
	if err != nil {
		return
	}
	var watchdog *time.Timer
	watchdog = time.AfterFunc(ownerTimeout, func() {
		o.mu.Lock()
		silence, behind := stream.silence(o.g.now()), stream.sent-stream.processed
		o.mu.Unlock()
		if silence < ownerTimeout {
			watchdog.Reset(ownerTimeout - silence)
			return
		}
		event.LinkSilent.Log(o.g.config.Logger, zap.String("peer", address), zap.Duration("silence", silence), zap.Uint64("unprocessed", behind))
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
		o.mu.Lock()
		stream.recordProgress(o.g.now(), result.GetProcessed())
		deliver := stream.pending[result.GetNumber()] // nil for a heartbeat
		if result.GetRefused() != "" {
			delete(stream.pending, result.GetNumber())
		}
		o.mu.Unlock()
		if deliver != nil {
			deliver(result)
		}
	}
}

// recordWait records the wait in a shard that came with the result of a job.
func (o *ownerClient) recordWait(shard string, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shards.Record(o.g.now(), shard, wait)
}

// removePending removes a completed job from the pending ones.
func (o *ownerClient) removePending(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, stream := range o.streams {
		delete(stream.pending, number)
	}
}
