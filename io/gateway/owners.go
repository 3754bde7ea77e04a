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
	"tanagerroad/core/owner"
	"tanagerroad/core/wire"
)

const (
	// ownerBeat is how often an owner shows that it lives; ownerSilence is
	// the silence after which another is asked.
	ownerBeat    = 200 * time.Millisecond
	ownerSilence = 650 * time.Millisecond
	// ownerRetry is when to come back where nothing better is known.
	ownerRetry = 500 * time.Millisecond
	// outboxLength bounds jobs on their way to one owner.
	outboxLength = 1024
)

// owner is the gateway that gathers the pieces of all pools, so that one place
// sees how long a request's stages will take.
func (o *owners) owner() string {
	now := o.g.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	best := o.view.Choose(now)
	if o.seen != best {
		event.OwnerChanged.Log(o.g.config.Logger, zap.String("owner", best), zap.String("before", o.seen))
		o.seen = best
	}
	return best
}

// know replaces the gateways that are there.
func (o *owners) know(at time.Duration, gateways []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.SetGateways(at, gateways)
}

// disturbed notes that another gateway may begin to gather.
func (o *owners) disturbed(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.MarkDisrupted(at)
}

// alone reports whether no other gateway can be gathering.
func (o *owners) alone(at time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view.SoleOwner(at)
}

// owners sends jobs to the gateways that gather them.
type owners struct {
	g     *Gateway
	mu    sync.Mutex
	links map[string]*ownerLink
	view  *owner.View
	seen  string // the owner that was asked last
	next  uint64
}

// ownerLink is a stream to one owner.
type ownerLink struct {
	out     chan *wire.PieceJob
	ctx     context.Context
	pending map[uint64]func(*wire.PieceResult)
}

func newOwners(g *Gateway) *owners {
	return &owners{g: g, links: map[string]*ownerLink{}, view: owner.New(g.now(), g.config.Settings.Peer.AdvertisedAddress())}
}

// lost is the result of a job whose owner went away.
const lost = "the gateway that gathers pieces went away"

// free gives results up, by way of the owner.
func (o *owners) free(handles []string) {
	asked := o.owner()
	if asked == o.g.config.Settings.Peer.AdvertisedAddress() {
		o.g.shop.giveUp(handles)
		return
	}
	o.mu.Lock()
	link := o.link(asked)
	o.mu.Unlock()
	link.send(&wire.PieceJob{Free: handles})
}

// submit hands a job to the owner. deliver is called for each part of
// it that ends and must not block.
func (o *owners) submit(job *wire.PieceJob, deliver func(*wire.PieceResult)) (cancel func()) {
	asked := o.owner()
	o.mu.Lock()
	o.next++
	job.Number = o.next
	if asked == o.g.config.Settings.Peer.AdvertisedAddress() {
		o.mu.Unlock()
		o.g.shop.submit(asked, job, deliver)
		return func() { o.g.shop.cancel(asked, job.GetNumber()) }
	}
	link := o.link(asked)
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
func (o *owners) link(address string) *ownerLink {
	if link, ok := o.links[address]; ok {
		return link
	}
	ctx, cancel := context.WithCancel(o.g.ctx)
	link := &ownerLink{out: make(chan *wire.PieceJob, outboxLength), ctx: ctx, pending: map[uint64]func(*wire.PieceResult){}}
	o.links[address] = link
	go func() {
		o.run(ctx, cancel, address, link)
		cancel()
		o.drop(address, link)
	}()
	return link
}

// drop ends a link: what waits on it is told.
func (o *owners) drop(address string, link *ownerLink) {
	o.mu.Lock()
	if o.g.ctx.Err() == nil {
		o.view.MarkLost(o.g.now(), address)
	}
	pending := link.pending
	link.pending = map[uint64]func(*wire.PieceResult){}
	delete(o.links, address)
	o.mu.Unlock()
	for number, deliver := range pending {
		deliver(&wire.PieceResult{Number: number, Refused: lost})
	}
}

func (o *owners) run(ctx context.Context, cancel func(), address string, link *ownerLink) {
	conn, err := o.g.config.Links.To(address)
	if err != nil {
		return
	}
	silence := time.AfterFunc(ownerSilence, func() {
		event.LinkSilent.Log(o.g.config.Logger, zap.String("peer", address))
		o.g.config.Links.Renew(address, conn)
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
