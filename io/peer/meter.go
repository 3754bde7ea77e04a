package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// ByteCount holds the bytes received from and sent to one peer.
type ByteCount struct{ In, Out atomic.Int64 }

// Meter counts bytes by peer address: gRPC messages in both directions and
// received headers. It does not include sent headers or the overhead of HTTP/2 and
// TCP. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	counts map[string]*ByteCount
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{counts: map[string]*ByteCount{}} }

// ForPeer returns the count of one peer, creating it if there is none.
func (m *Meter) ForPeer(address string) *ByteCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.counts[address]
	if !ok {
		c = &ByteCount{}
		m.counts[address] = c
	}
	return c
}

// Each calls f for every peer, in no particular order. f must not call the meter.
func (m *Meter) Each(f func(address string, in, out int64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, c := range m.counts {
		f(address, c.In.Load(), c.Out.Load())
	}
}

// Total returns the bytes exchanged with all peers.
func (m *Meter) Total() (in, out int64) {
	m.Each(func(_ string, i, o int64) { in, out = in+i, out+o })
	return in, out
}

// Inbound is the key under which all clients of a server are counted together.
// Their ports differ for every connection, so counting by address would use
// unbounded memory.
const Inbound = "inbound"

// statsHandler counts the bytes of one peer's calls.
type statsHandler struct{ bytes *ByteCount }

func (m *Meter) statsHandler(address string) stats.Handler { return statsHandler{m.ForPeer(address)} }

func (h statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (h statsHandler) HandleConn(context.Context, stats.ConnStats) {}

func (h statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (h statsHandler) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		h.bytes.In.Add(int64(s.WireLength))
	case *stats.OutPayload:
		h.bytes.Out.Add(int64(s.WireLength))
	case *stats.InHeader:
		h.bytes.In.Add(int64(s.WireLength))
	}
}
