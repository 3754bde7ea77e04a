package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/wire"
)

const (
	// ownerBeat is how often an owner shows that it lives; ownerSilence is
	// the silence after which another is asked.
	ownerBeat    = 200 * time.Millisecond
	ownerSilence = 650 * time.Millisecond
	// ownerAvoid is how long a gateway that was lost as an owner is not asked
	// again: the control instances take as long to notice.
	ownerAvoid = 4 * time.Second
	// ownerRetry is when to come back where nothing better is known.
	ownerRetry = 500 * time.Millisecond
	// outboxLength bounds jobs on their way to one owner.
	outboxLength = 1024
)

// owner is the gateway that gathers the pieces of all pools, so that one place
// sees how long a request's stages will take: the same at all gateways that know
// the same ones. Those that were lost a moment ago are passed over.
func (o *owners) owner() string {
	o.g.mu.Lock()
	gateways := o.g.gateways
	o.g.mu.Unlock()
	now := o.g.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	self := o.g.config.Settings.Peer.Reachable()
	best, most := self, uint64(0)
	for _, address := range gateways {
		if until, avoided := o.avoid[address]; avoided && now < until && address != self {
			continue
		}
		if weight := xxhash.Sum64String(address); weight > most {
			best, most = address, weight
		}
	}
	if o.seen != best {
		event.OwnerMoved.Log(o.g.config.Logger, zap.String("owner", best), zap.String("before", o.seen))
		o.seen = best
	}
	return best
}

// owners sends jobs to the gateways that gather them.
type owners struct {
	g     *Gateway
	mu    sync.Mutex
	links map[string]*ownerLink
	seen  string                   // the owner that was asked last
	avoid map[string]time.Duration // until then, by address
	next  uint64
}

// ownerLink is a stream to one owner.
type ownerLink struct {
	out     chan *wire.PieceJob
	ctx     context.Context
	pending map[uint64]func(*wire.PieceResult)
}

func newOwners(g *Gateway) *owners {
	return &owners{g: g, links: map[string]*ownerLink{}, avoid: map[string]time.Duration{}}
}

// lost is the result of a job whose owner went away.
const lost = "the gateway that gathers pieces went away"

// free gives results up, by way of the owner.
func (o *owners) free(handles []string) {
	owner := o.owner()
	if owner == o.g.config.Settings.Peer.Reachable() {
		o.g.shop.giveUp(handles)
		return
	}
	o.mu.Lock()
	link := o.link(owner)
	o.mu.Unlock()
	link.send(&wire.PieceJob{Free: handles})
}

// submit hands a job to the owner. deliver is called for each part of
// it that ends and must not block.
func (o *owners) submit(job *wire.PieceJob, deliver func(*wire.PieceResult)) (cancel func()) {
	owner := o.owner()
	o.mu.Lock()
	o.next++
	job.Number = o.next
	if owner == o.g.config.Settings.Peer.Reachable() {
		o.mu.Unlock()
		o.g.shop.submit(owner, job, deliver)
		return func() { o.g.shop.cancel(owner, job.GetNumber()) }
	}
	link := o.link(owner)
	link.pending[job.Number] = deliver
	o.mu.Unlock()
	link.send(job)
	return func() {
		o.mu.Lock()
		_, waits := link.pending[job.Number]
		delete(link.pending, job.Number)
		o.mu.Unlock()
		if waits {
			link.send(&wire.PieceJob{Number: job.Number, Cancel: true})
		}
	}
}

// servers lists the usable backend servers of a pool.
func (g *Gateway) servers(pool string) []tanagerroad.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Pool(pool)
}

func (l *ownerLink) send(job *wire.PieceJob) {
	select {
	case l.out <- job:
	case <-l.ctx.Done():
	}
}

// link is the stream to an owner, opened if need be. The caller holds the lock.
func (o *owners) link(owner string) *ownerLink {
	if link, ok := o.links[owner]; ok {
		return link
	}
	ctx, cancel := context.WithCancel(o.g.ctx)
	link := &ownerLink{out: make(chan *wire.PieceJob, outboxLength), ctx: ctx, pending: map[uint64]func(*wire.PieceResult){}}
	o.links[owner] = link
	go func() {
		o.run(ctx, cancel, owner, link)
		cancel()
		o.drop(owner, link)
	}()
	return link
}

// drop ends a link: what waits on it is told.
func (o *owners) drop(owner string, link *ownerLink) {
	o.mu.Lock()
	if o.g.ctx.Err() == nil {
		o.avoid[owner] = o.g.now() + ownerAvoid
	}
	pending := link.pending
	link.pending = map[uint64]func(*wire.PieceResult){}
	delete(o.links, owner)
	o.mu.Unlock()
	for number, deliver := range pending {
		deliver(&wire.PieceResult{Number: number, Refused: lost})
	}
}

func (o *owners) run(ctx context.Context, cancel func(), owner string, link *ownerLink) {
	conn, err := o.g.config.Links.To(owner)
	if err != nil {
		return
	}
	silence := time.AfterFunc(ownerSilence, func() {
		event.LinkSilent.Log(o.g.config.Logger, zap.String("peer", owner))
		o.g.config.Links.Renew(owner, conn)
		cancel()
	})
	defer silence.Stop()
	stream, err := wire.NewGatewayClient(conn).Pieces(ctx)
	if err != nil {
		return
	}
	go func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case job := <-link.out:
				if err := stream.Send(job); err != nil {
					return
				}
			}
		}
	}()
	for {
		result, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(ownerSilence)
		if result.GetNumber() == 0 {
			continue
		}
		o.mu.Lock()
		deliver := link.pending[result.GetNumber()]
		o.mu.Unlock()
		if deliver != nil {
			deliver(result)
		}
	}
}

// forget ends the wait for a job that has ended.
func (o *owners) forget(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, link := range o.links {
		delete(link.pending, number)
	}
}

// Pieces serves another gateway's jobs.
func (g *Gateway) Pieces(stream grpc.BidiStreamingServer[wire.PieceJob, wire.PieceResult]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	results := make(chan *wire.PieceResult, outboxLength)
	go func() {
		defer cancel()
		beat := time.NewTicker(ownerBeat)
		defer beat.Stop()
		for {
			var err error
			select {
			case <-ctx.Done():
				return
			case <-g.ctx.Done():
				return
			case result := <-results:
				err = stream.Send(result)
			case <-beat.C:
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
			cancel() // the far end does not read; it will ask again
		}
	}
	from := ulid.Make().String()
	defer g.shop.cancelAll(from)
	for {
		job, err := stream.Recv()
		if err != nil {
			return err
		}
		switch {
		case len(job.GetFree()) > 0:
			g.shop.giveUp(job.GetFree())
		case job.GetCancel():
			g.shop.cancel(from, job.GetNumber())
		default:
			g.shop.submit(from, job, deliver)
		}
	}
}
