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
	outboxLength      = 1024
	helloTimeout      = time.Second
	silenceTimeout    = 1500 * time.Millisecond // without an empty message from the receiver
	KeepaliveInterval = 500 * time.Millisecond  // between empty messages from the receiver
	reconnectDelay    = 100 * time.Millisecond
)

// transport sends messages to the other control instances, over one stream each. It
// never blocks the caller: if an outbox is full the message is dropped, which the
// protocol tolerates like a loss in the network.
type transport struct {
	conns      *peer.ConnPool
	ownAddress string
	logger     *zap.Logger
	counters   *Counters
	ctx        context.Context
	cancel     context.CancelFunc
	group      sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string             // by id of the instance
	heard     map[string]time.Duration      // when the latest message came, by id of the sender
	outboxes  map[string]chan *wire.Message // by address
}

func newTransport(conns *peer.ConnPool, ownAddress string, logger *zap.Logger, counters *Counters) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{
		conns: conns, ownAddress: ownAddress, logger: logger, counters: counters, ctx: ctx, cancel: cancel,
		addresses: map[string]string{}, heard: map[string]time.Duration{}, outboxes: map[string]chan *wire.Message{},
	}
}

func (t *transport) close() {
	t.cancel()
	t.group.Wait()
}

// setAddress records the address of the instance with the given id.
func (t *transport) setAddress(id, address string) {
	if id == "" || address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[id] = address
}

// noteMessage records that a message of an instance came.
func (t *transport) noteMessage(at time.Duration, m *wire.Message) {
	t.setAddress(m.GetFrom(), m.GetAddress())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[m.GetFrom()] = at
}

// lastMessage returns when the latest message of an instance came. ok is false if none did.
func (t *transport) lastMessage(id string) (at time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok = t.heard[id]
	return at, ok
}

// knownPeers returns the ids of the other instances whose address is known.
func (t *transport) knownPeers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, address := range t.addresses {
		if address != t.ownAddress {
			ids = append(ids, id)
		}
	}
	return ids
}

// knownAddresses returns the addresses of the other instances that are known.
func (t *transport) knownAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, address := range t.addresses {
		if address != t.ownAddress {
			out = append(out, address)
		}
	}
	return out
}

// send queues each message for its receiver, or drops it.
func (t *transport) send(messages []*wire.Message) {
	for _, m := range messages {
		if m.GetAddress() == "" { // a request to join that is passed on keeps its own
			m.Address = t.ownAddress
		}
		outbox := t.outboxFor(m.GetTo())
		if outbox == nil {
			t.counters.DroppedMessages.Add(1)
			continue
		}
		select {
		case outbox <- m:
			t.counters.SentMessages.Add(1)
		default:
			t.counters.DroppedMessages.Add(1)
		}
	}
}

// outboxFor returns the queue of messages to an instance and starts its sender when
// needed. It returns nil if the instance's address is unknown.
func (t *transport) outboxFor(id string) chan *wire.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.addresses[id]
	if address == "" {
		return nil
	}
	outbox, ok := t.outboxes[address]
	if !ok {
		outbox = make(chan *wire.Message, outboxLength)
		t.outboxes[address] = outbox
		t.group.Go(func() { t.sendLoop(address, outbox) })
	}
	return outbox
}

// sendLoop runs streams to an address, one after the other, until the transport is
// closed.
func (t *transport) sendLoop(address string, outbox chan *wire.Message) {
	for t.ctx.Err() == nil {
		t.runStream(address, outbox)
		select {
		case <-t.ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// runStream sends messages until the stream breaks or the receiver is silent for
// silenceTimeout.
func (t *transport) runStream(address string, outbox chan *wire.Message) {
	conn, err := t.conns.Get(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, func() {
		event.LinkSilent.Log(t.logger, zap.String("peer", address))
		t.conns.Replace(address, conn)
		cancel()
	})
	defer watchdog.Stop()
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
			watchdog.Reset(silenceTimeout)
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-outbox:
			if err := stream.Send(m); err != nil {
				return
			}
		}
	}
}

// helloAll calls Hello on every listed instance, and returns the replies by address.
// An instance that does not reply within helloTimeout is left out.
func (t *transport) helloAll(ctx context.Context, self *wire.HelloReply, listed []string) map[string]*wire.HelloReply {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	replies := map[string]*wire.HelloReply{}
	for _, address := range listed {
		if address == t.ownAddress {
			continue
		}
		group.Go(func() {
			conn, err := t.conns.Get(address)
			if err != nil {
				return
			}
			reply, err := wire.NewQuorumClient(conn).Hello(ctx, &wire.HelloRequest{Id: self.GetId(), Address: t.ownAddress})
			if err != nil {
				return
			}
			t.setAddress(reply.GetId(), address)
			mu.Lock()
			defer mu.Unlock()
			replies[address] = reply
		})
	}
	group.Wait()
	return replies
}
