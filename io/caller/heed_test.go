package caller

import (
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

var emptyDigest = xxhash.Sum64(nil)

// fakeSidecar answers all calls with one part.
type fakeSidecar struct {
	wire.UnimplementedSidecarServer
	part  *wire.Part
	calls atomic.Int64
}

func (s *fakeSidecar) Run(r *wire.RunRequest, stream grpc.ServerStreamingServer[wire.Part]) error {
	s.calls.Add(1)
	return stream.Send(&wire.Part{Key: r.GetKey(), Body: s.part.GetBody(), Leaving: s.part.GetLeaving()})
}

// start starts the sidecar and returns its address.
func (s *fakeSidecar) start(t *testing.T) string {
	t.Helper()
	listener := settings.DefaultSidecar().Peer
	listener.Address = "127.0.0.1:0"
	server, stop, err := peer.NewServer(listener, peer.NewMeter(), func(g *grpc.Server) { wire.RegisterSidecarServer(g, s) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stop(t.Context()) })
	return server.Address
}

// TestLeavingSidecarIsPicked guards against calls to a sidecar that has said in an answer
// that it takes no new work, while no control instance says so, or says the contrary.
func TestLeavingSidecarIsPicked(t *testing.T) {
	leaves := &fakeSidecar{part: &wire.Part{
		Body: &wire.Part_NotRun{NotRun: &wire.NotRun{Reason: "the sidecar is stopping"}}, Leaving: &wire.Leaving{Server: "a", Generation: 3, Sequence: 7},
	}}
	stays := &fakeSidecar{part: &wire.Part{Body: &wire.Part_End{End: &wire.End{Digest: emptyDigest}}}}
	e := newTestEntry(t)
	announce := func(generation, sequence uint64) {
		server := tanagerroad.Server{ID: "a", Pool: "p", Kind: "service", Capacity: 4, Address: leaves.start(t), Generation: generation, Sequence: sequence, State: tanagerroad.Serving}
		other := server
		other.ID, other.Address = "b", stays.start(t)
		e.applyUpdate(&wire.Update{Sequence: 1, Full: true, Servers: []*wire.Server{peer.ServerToWire(server), peer.ServerToWire(other)}})
	}
	announce(3, 6)
	handler := e.Handler()
	ask := func() int {
		r := httptest.NewRequest("POST", "/v1/routes/ask", strings.NewReader(""))
		r.Header.Set(HeaderWorkspace, "w")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code
	}
	const requests = 40
	for range requests {
		if code := ask(); code != 200 {
			t.Errorf("answered %d", code)
		}
		if leaves.calls.Load() == 1 {
			announce(3, 7) // sent before it began to leave
		}
	}
	if n := leaves.calls.Load(); n != 1 {
		t.Errorf("%d of %d requests were sent to the sidecar that leaves, want 1", n, requests)
	}
	announce(3, 8) // it has a new backend server, or its own next start
	leaves.part = stays.part
	for range requests {
		ask()
	}
	if leaves.calls.Load() == 1 {
		t.Error("no request was sent to it after it had come back")
	}
}

// TestOnlyLeavingSidecarsAreLeft guards against requests that are refused for what an answer
// said, after the control instances have gone and nothing can say that it has ended.
func TestOnlyLeavingSidecarsAreLeft(t *testing.T) {
	s := &fakeSidecar{part: &wire.Part{
		Body: &wire.Part_NotRun{NotRun: &wire.NotRun{Reason: "the backend server is down"}}, Leaving: &wire.Leaving{Server: "a", Generation: 3, Sequence: 7},
	}}
	e := newTestEntry(t)
	server := tanagerroad.Server{ID: "a", Pool: "p", Kind: "service", Capacity: 4, Address: s.start(t), Generation: 3, Sequence: 6, State: tanagerroad.Serving}
	e.applyUpdate(&wire.Update{Sequence: 1, Full: true, Servers: []*wire.Server{peer.ServerToWire(server)}})
	for i, want := range []int{503, 200} {
		r := httptest.NewRequest("POST", "/v1/routes/ask", strings.NewReader(""))
		r.Header.Set(HeaderWorkspace, "w")
		w := httptest.NewRecorder()
		e.Handler().ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("request %d was answered %d, want %d", i+1, w.Code, want)
		}
		s.part = &wire.Part{Body: &wire.Part_End{End: &wire.End{Digest: emptyDigest}}}
	}
}
