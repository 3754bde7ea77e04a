package quorum

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad/core/event"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// Times and sizes of the transport.
const (
	outboxLength = 1024
	helloTimeout = time.Second
	linkSilence  = 1500 * time.Millisecond // no word from the far end
	BeatEvery    = 500 * time.Millisecond  // word from a receiving end
	reconnect    = 100 * time.Millisecond
)

// transport sends messages to the other control instances, over one stream
// each. A message that cannot be sent soon is dropped, as a network would.
type transport struct {
	links    *peer.ConnPool
	self     string
	logger   *zap.Logger
	counters *Counters
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string // by identity
	outboxes  map[string]chan *wire.Message
}

func newTransport(links *peer.ConnPool, self string, logger *zap.Logger, counters *Counters) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{
		links: links, self: self, logger: logger, counters: counters, ctx: ctx, cancel: cancel,
		addresses: map[string]string{}, outboxes: map[string]chan *wire.Message{},
	}
}

func (t *transport) close() {
	t.cancel()
	t.group.Wait()
}

// learn notes where an identity can be reached.
func (t *transport) learn(id, address string) {
	if id == "" || address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[id] = address
}

// known lists the identities that can be reached.
func (t *transport) known() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, address := range t.addresses {
		if address != t.self {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *transport) send(messages []*wire.Message) {
	for _, m := range messages {
		m.Address = t.self
		box := t.outbox(m.GetTo())
		if box == nil {
			t.counters.DroppedMessages.Add(1)
			continue
		}
		select {
		case box <- m:
			t.counters.SentMessages.Add(1)
		default:
			t.counters.DroppedMessages.Add(1)
		}
	}
}

func (t *transport) outbox(id string) chan *wire.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.addresses[id]
	if address == "" {
		return nil
	}
	box, ok := t.outboxes[address]
	if !ok {
		box = make(chan *wire.Message, outboxLength)
		t.outboxes[address] = box
		t.group.Go(func() { t.keepSending(address, box) })
	}
	return box
}

func (t *transport) keepSending(address string, box chan *wire.Message) {
	for t.ctx.Err() == nil {
		t.stream(address, box)
		select {
		case <-t.ctx.Done():
		case <-time.After(reconnect):
		}
	}
}

// stream sends until the stream breaks or the far end goes silent.
func (t *transport) stream(address string, box chan *wire.Message) {
	conn, err := t.links.Get(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	watch := time.AfterFunc(linkSilence, func() {
		event.LinkSilent.Log(t.logger, zap.String("peer", address))
		t.links.Replace(address, conn)
		cancel()
	})
	defer watch.Stop()
	stream, err := wire.NewQuorumClient(conn).Exchange(ctx, grpc.WaitForReady(false))
	if err != nil {
		return
	}
	go func() {
		for {
			if _, err := stream.Recv(); err != nil {
				cancel()
				return
			}
			watch.Reset(linkSilence)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-box:
			if err := stream.Send(m); err != nil {
				return
			}
		}
	}
}

// hello asks every listed instance who it is, and returns the answers.
func (t *transport) hello(ctx context.Context, self *wire.HelloReply, listed []string) map[string]*wire.HelloReply {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]*wire.HelloReply{}
	for _, address := range listed {
		if address == t.self {
			continue
		}
		group.Go(func() {
			conn, err := t.links.Get(address)
			if err != nil {
				return
			}
			answer, err := wire.NewQuorumClient(conn).Hello(ctx, &wire.HelloRequest{Id: self.GetId(), Address: t.self})
			if err != nil {
				return
			}
			t.learn(answer.GetId(), address)
			mu.Lock()
			defer mu.Unlock()
			answers[address] = answer
		})
	}
	group.Wait()
	return answers
}
