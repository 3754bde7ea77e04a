package backend

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/core/wire"
	"tanagerroad/io/bus"
	"tanagerroad/io/peer"
)

// newSidecar starts a sidecar without control instances.
func newSidecar(t *testing.T) *Sidecar {
	t.Helper()
	s := settings.DefaultSidecar()
	s.Common = settings.Common{Process: "sidecar", Zone: "a", Region: "west"}
	s.Control = []string{"127.0.0.1:1"}
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	t.Cleanup(closeConns)
	events, closeBus := bus.New(zap.NewNop())
	t.Cleanup(func() { _ = closeBus() })
	sidecar, closeSidecar, err := New(Config{
		Settings: s, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Conns: conns, Metrics: metrics.NewRegistry(), Bus: events,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeSidecar)
	return sidecar
}

// parts is a stream that keeps the final part.
type parts struct {
	grpc.ServerStream
	ctx   context.Context
	final *wire.Part
}

func (p *parts) Context() context.Context { return p.ctx }

func (p *parts) Send(part *wire.Part) error {
	if part.GetData() == nil && part.GetBeat() == nil {
		p.final = part
	}
	return nil
}

// run runs a request to its end and returns the final part.
func run(t *testing.T, s *Sidecar, id string, budget time.Duration) *wire.Part {
	t.Helper()
	stream := &parts{ctx: t.Context()}
	err := s.Run(&wire.RunRequest{
		Key: &wire.Key{Request: id, Attempt: 1}, Input: []byte(id), InputDigest: xxhash.Sum64String(id), BudgetMillis: budget.Milliseconds(),
		Fingerprint: xxhash.Sum64String(id),
	}, stream)
	if err != nil {
		t.Error(err)
	}
	return stream.final
}

// service is a backend server whose answers a test scripts. answer is called with the
// number of the call, counted from 1.
type service struct {
	*httptest.Server
	mu       sync.Mutex
	arrivals []time.Time
}

func newService(t *testing.T, answer func(n int, w http.ResponseWriter)) *service {
	t.Helper()
	s := &service{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != PathRun {
			return
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		n := len(s.arrivals)
		s.mu.Unlock()
		answer(n, w)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *service) calls() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// announcement is what the service goes on announcing.
func (s *service) announcement(generation int) Announcement {
	return Announcement{Pool: "p", Kind: table.Service, Capacity: 4, Address: s.Listener.Addr().String(), Generation: generation, State: "serving"}
}

// TestLeavingServerGetsNewCalls guards against calls to a backend server that said in an
// answer that it leaves and goes on announcing that it serves.
func TestLeavingServerGetsNewCalls(t *testing.T) {
	backend := newService(t, func(n int, w http.ResponseWriter) {
		if n == 1 {
			w.Header().Set(HeaderLeaving, "1")
		}
	})
	s := newSidecar(t)
	s.applyAnnouncement(backend.announcement(1))
	notice := s.newNotice().GetServer()
	if final := run(t, s, "first", 5*time.Second); final.GetEnd() == nil {
		t.Fatalf("the first call ended with %v", final)
	}
	for i := range 3 {
		s.applyAnnouncement(backend.announcement(1))
		final := run(t, s, fmt.Sprint(i), 5*time.Second)
		if final.GetNotRun() == nil {
			t.Errorf("a call after it ended with %v, want not run", final)
		}
		l := final.GetLeaving()
		if l.GetServer() != notice.GetId() || l.GetGeneration() != notice.GetGeneration() || l.GetSequence() != notice.GetSequence() {
			t.Errorf("the answer says %v, want that it leaves as of %v", l, notice)
		}
	}
	if state := s.newNotice().GetServer().GetState(); state != string(tanagerroad.Leaving) {
		t.Errorf("the control instances are told that it is %s", state)
	}
	s.applyAnnouncement(backend.announcement(2))
	if final := run(t, s, "last", 5*time.Second); final.GetEnd() == nil || final.GetLeaving() != nil {
		t.Errorf("a call to its next start ended with %v", final)
	}
	if n := len(backend.calls()); n != 2 {
		t.Errorf("it got %d calls, want 2", n)
	}
}

// TestPausedServerGetsCalls guards against calls to a backend server before the time is
// over for which it asked.
func TestPausedServerGetsCalls(t *testing.T) {
	const pause = time.Second
	backend := newService(t, func(n int, w http.ResponseWriter) {
		if n == 1 {
			w.Header().Set(HeaderRetryAfter, fmt.Sprint(pause.Seconds()))
			w.Header().Set(HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := newSidecar(t)
	s.applyAnnouncement(backend.announcement(1))
	final := run(t, s, "first", 5*time.Second)
	asked := time.Now()
	if !final.GetNotRun().GetPaused() || final.GetNotRun().GetLoad().GetPauseMillis() == 0 {
		t.Errorf("the call that it turned away ended with %v", final)
	}
	if final := run(t, s, "short", pause/4); final.GetNotRun().GetRetryAfterMillis() < (pause / 2).Milliseconds() {
		t.Errorf("a call that cannot wait ended with %v, want a refusal with the time that is left", final)
	}
	if time.Since(asked) > pause/2 {
		t.Error("a call that cannot wait was not refused at once")
	}
	var calls sync.WaitGroup
	for i := range 8 {
		calls.Go(func() {
			if final := run(t, s, fmt.Sprint(i), 10*time.Second); final.GetEnd() == nil {
				t.Errorf("a call that can wait ended with %v", final)
			}
		})
	}
	calls.Wait()
	for _, at := range backend.calls()[1:] {
		if early := pause - at.Sub(asked); early > 100*time.Millisecond {
			t.Errorf("a call came %s before the time was over", early)
		}
	}
}
