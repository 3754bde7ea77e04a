package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Count is the bytes exchanged with one peer.
type Count struct{ In, Out atomic.Int64 }

// Meter counts the bytes of gRPC messages and headers by peer address; frames
// below them and TCP are not seen.
type Meter struct {
	mu     sync.Mutex
	counts map[string]*Count
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter { return &Meter{counts: map[string]*Count{}} }

// Of is the count of one peer.
func (m *Meter) Of(address string) *Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.counts[address]
	if !ok {
		c = &Count{}
		m.counts[address] = c
	}
	return c
}

// Each calls f for every peer.
func (m *Meter) Each(f func(address string, in, out int64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, c := range m.counts {
		f(address, c.In.Load(), c.Out.Load())
	}
}

// Total is the bytes exchanged with all peers.
func (m *Meter) Total() (in, out int64) {
	m.Each(func(_ string, i, o int64) { in, out = in+i, out+o })
	return in, out
}

// Inbound is the key of all clients together: their ports change with each
// connection, and counting each would grow without bound.
const Inbound = "inbound"

// handler counts the calls of one peer.
type handler struct{ count *Count }

func (m *Meter) handler(address string) stats.Handler { return handler{m.Of(address)} }

func (h handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (h handler) HandleConn(context.Context, stats.ConnStats) {}

func (h handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (h handler) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		h.count.In.Add(int64(s.WireLength))
	case *stats.OutPayload:
		h.count.Out.Add(int64(s.WireLength))
	case *stats.InHeader:
		h.count.In.Add(int64(s.WireLength))
	}
}
