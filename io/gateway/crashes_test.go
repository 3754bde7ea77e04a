package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/batch"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
	"tanagerroad/io/http1"
)

// closedAddress returns an address that nothing listens on.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// convict applies a quarantine that holds one cause.
func convict(g *Gateway, version, fingerprint uint64, convicted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyQuarantine(&wire.Quarantine{Version: version, Convictions: []*wire.Conviction{{
		Fingerprint: fingerprint, Label: "x", Convicted: convicted, TrialWaitMillis: 60_000,
	}}})
}

// brokenSuspects returns the requests whose attempts ended with the connections of the
// first start of a backend server.
func brokenSuspects(g *Gateway, server string) []*wire.CrashSuspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	broken := g.broken[serverStart{server, 1}]
	if broken == nil {
		return nil
	}
	return broken.suspects
}

// TestLostCallsCountAsCrashes guards against jobs that are suspected because a call was lost
// or not sent, and against those that are not although the backend server crashed.
func TestLostCallsCountAsCrashes(t *testing.T) {
	up := newBackend(t, "prep1", good).Listener.Addr().String()
	down := closedAddress(t)
	for _, c := range []struct {
		what     string
		address  string
		err      error
		outcomes []tanagerroad.PieceOutcome
		jobs     int
		crashed  bool
		begun    bool
	}{
		{"lost", up, io.ErrUnexpectedEOF, nil, 1, false, false},
		{"not sent", down, &http1.UnsentError{Err: io.EOF}, nil, 1, false, false},
		{"silent", down, timeoutError(t), nil, 1, false, false},
		{"made", down, nil, []tanagerroad.PieceOutcome{{Handle: "x"}}, 1, false, false},
		{"crashed", down, io.ErrUnexpectedEOF, nil, 1, true, true},
		{"crashed with others", down, io.ErrUnexpectedEOF, nil, 2, true, false},
	} {
		g, _ := newTestGateway(t)
		call := &batch.Call{Server: tanagerroad.Announcement{ID: "prep1", Pool: "prep", Address: c.address, StartMillis: 1}}
		for i := range c.jobs {
			call.Pieces = append(call.Pieces, &batch.Piece{Job: &batch.Job{ID: string(rune('a' + i)), Cause: uint64(7 + i)}})
		}
		if b := g.batcher(""); c.outcomes == nil {
			b.recordCrash(call, c.err)
		} else {
			b.recordEnd(call, nil)
		}
		suspects := brokenSuspects(g, "prep1")
		want := 0
		if c.crashed {
			want = c.jobs
		}
		if call.Crashed != c.crashed || len(suspects) != want || call.GiveUp {
			t.Errorf("%s: crashed %t, %d suspects, given up %t", c.what, call.Crashed, len(suspects), call.GiveUp)
		}
		for _, s := range suspects {
			if s.GetBegun() != c.begun || len(s.GetCauses()) != 1 {
				t.Errorf("%s: suspect %v", c.what, s)
			}
		}
	}
}

// TestConvictedPiecesAreMadeAgain guards against pieces that crash one backend server after
// the other when their job has been convicted, and against jobs that have got an answer and
// are suspected.
func TestConvictedPiecesAreMadeAgain(t *testing.T) {
	g, _ := newTestGateway(t)
	lose := func(cause uint64) (*batch.Call, int) {
		call := &batch.Call{
			Server: tanagerroad.Announcement{ID: "prep1", Pool: "prep", Address: closedAddress(t), StartMillis: 1},
			Pieces: []*batch.Piece{{Job: &batch.Job{ID: "a", Cause: cause}}},
		}
		g.batcher("").recordCrash(call, io.ErrUnexpectedEOF)
		return call, len(brokenSuspects(g, "prep1"))
	}
	convict(g, 2, 7, true)
	convict(g, 1, 7, false) // late
	if call, _ := lose(7); !call.GiveUp {
		t.Error("pieces of a convicted job are made again")
	}
	if call, _ := lose(8); call.GiveUp {
		t.Error("pieces of another job are given up")
	}
	_, before := lose(9)
	g.recordSurvival(quarantine.Survival{SpeaksFor: []quarantine.Cause{quarantine.JobCause(10)}})
	if _, after := lose(10); after != before {
		t.Errorf("%d suspects, want %d: a job that a server has just outlived is none", after, before)
	}
}

// TestRunningServerIsReportedAsCrashed guards against a crash report about a backend server
// that listens, and against more than one about the same start.
func TestRunningServerIsReportedAsCrashed(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	g, _ := newLoggedGateway(t, zap.New(core))
	up := newBackend(t, "up", good).Listener.Addr().String()
	for id, address := range map[string]string{"up": up, "down": closedAddress(t)} {
		for cause := range uint64(2) {
			server := tanagerroad.Announcement{ID: id, Pool: "p", Address: address, StartMillis: 1}
			progress := []attempt.Progress{attempt.Begun, attempt.Waiting}[cause]
			g.recordBrokenAttempt(server, []quarantine.Cause{{Fingerprint: cause + 1, Label: "x"}}, progress)
		}
	}
	crashed := func() int { return logs.FilterMessage("server-crashed").Len() }
	eventually(func() bool { return crashed() > 0 })
	time.Sleep(crashWindow)
	if crashed() != 1 {
		t.Fatalf("%d crashes reported, want 1", crashed())
	}
	got := logs.FilterMessage("server-crashed").All()[0].ContextMap()
	if got["server"] != "down" || got["suspects"] != int64(2) || got["begun"] != int64(1) {
		t.Errorf("reported %v", got)
	}
}

// TestQuickRestartIsNoCrash guards against a crash that nobody reports, since the backend
// server has started again before it was asked whether it listens.
func TestQuickRestartIsNoCrash(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	g, _ := newLoggedGateway(t, zap.New(core))
	server := tanagerroad.Announcement{ID: "up", Pool: "p", Address: newBackend(t, "up", good).Listener.Addr().String(), StartMillis: 1, State: tanagerroad.Serving}
	other := server
	other.ID, other.Address = "other", newBackend(t, "other", good).Listener.Addr().String()
	for _, s := range []tanagerroad.Announcement{server, other} {
		g.recordBrokenAttempt(s, []quarantine.Cause{{Fingerprint: 1, Label: "x"}}, attempt.Waiting)
	}
	eventually(func() bool { return logs.FilterMessage("server-broke-off").Len() == 2 })
	server.StartMillis = 2
	g.mu.Lock()
	for _, a := range []tanagerroad.Announcement{server, other} {
		g.roster.Apply(g.now(), "c", a)
	}
	g.applyRoster(g.now())
	g.mu.Unlock()
	crashed := logs.FilterMessage("server-crashed").All()
	if len(crashed) != 1 || crashed[0].ContextMap()["server"] != "up" {
		t.Errorf("reported %v, want the server that has started again", crashed)
	}
}

// TestCrashBehindAnswerIsNoCrash guards against a request that is not suspected, since its
// run had ended when its backend server crashed.
func TestCrashBehindAnswerIsNoCrash(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	g, _ := newLoggedGateway(t, zap.New(core))
	b := newBackend(t, "up", good)
	server := tanagerroad.Announcement{ID: "up", Pool: "p", Address: b.Listener.Addr().String(), StartMillis: 1, State: tanagerroad.Serving}
	g.mu.Lock()
	g.roster.Apply(g.now(), "c", server)
	g.mu.Unlock()
	conn, err := g.client.Do(t.Context(), http1.Request{Address: server.Address, Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	g.recordEnd(server, []quarantine.Cause{{Fingerprint: 1, Label: "x", Exact: true}}, true)
	b.CloseClientConnections()
	b.Close()
	if !eventually(func() bool { return logs.FilterMessage("server-crashed").Len() > 0 }) {
		t.Fatal("no crash reported")
	}
	got := logs.FilterMessage("server-crashed").All()[0].ContextMap()
	if got["server"] != "up" || got["suspects"] != int64(1) || got["flowed"] != int64(1) {
		t.Errorf("reported %v, want the request that had ended", got)
	}
}

// fakeControl is a control instance that answers proposed trials as a test says.
type fakeControl struct {
	wire.UnimplementedControlServer
	grant string // kind of the outcome; empty: an error

	mu       sync.Mutex
	trials   int
	cleared  []uint64
	downTill time.Time           // until then it answers no crash reports
	reports  []*wire.CrashReport // that it has accepted
}

func (f *fakeControl) Propose(_ context.Context, command *wire.Command) (*wire.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch body := command.GetBody().(type) {
	case *wire.Command_ClaimTrial:
		f.trials++
		if f.grant == "" {
			return nil, grpcstatus.Error(codes.Unavailable, "no control instance")
		}
		return &wire.Outcome{Kind: f.grant}, nil
	case *wire.Command_CrashReports:
		if time.Now().Before(f.downTill) {
			return nil, grpcstatus.Error(codes.Unavailable, "no leader")
		}
		f.reports = append(f.reports, body.CrashReports.GetReports()...)
	case *wire.Command_ClearCauses:
		f.cleared = append(f.cleared, body.ClearCauses.GetFingerprints()...)
	}
	return &wire.Outcome{Kind: registry.Accepted}, nil
}

// TestCrashReportIsDropped guards against crashes that are forgotten since no control
// instance could be told of them for some seconds.
func TestCrashReportIsDropped(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for control instances that are away")
	}
	t.Parallel()
	const away = 6 * time.Second
	control := &fakeControl{downTill: time.Now().Add(away)}
	address, _ := newPeer(t, func(s *grpc.Server) { wire.RegisterControlServer(s, control) })
	g, _ := newTestGateway(t)
	g.SetControlAddresses([]string{address})
	g.recordBrokenAttempt(tanagerroad.Announcement{ID: "s", Pool: "p", Address: closedAddress(t), StartMillis: 1}, []quarantine.Cause{{Fingerprint: 1}}, attempt.Waiting)
	time.Sleep(away)
	reports := func() []*wire.CrashReport {
		control.mu.Lock()
		defer control.mu.Unlock()
		return control.reports
	}
	eventually(func() bool { return len(reports()) > 0 })
	if got := reports(); len(got) != 1 || got[0].GetAgeMillis() < away.Milliseconds()-1000 {
		t.Errorf("got the reports %v after %v, want one with its age", got, away)
	}
}

// TestConvictionsStay guards against a conviction that outlasts its cause, since no request
// is tried, and against more than one request that is.
func TestConvictionsStay(t *testing.T) {
	for _, c := range []struct {
		what    string
		path    string
		wait    int64 // milliseconds until a trial is due
		grant   string
		answer  answer
		code    int
		runs    int64
		trials  bool
		cleared bool
	}{
		{"granted", "/look/1", 0, registry.Granted, good, http.StatusOK, 1, true, true},
		{"granted, and it crashes again", "/look/1", 0, registry.Granted, lost, http.StatusBadGateway, 1, true, false},
		{"granted, and it crashes behind its head", "/stream/1", 0, registry.Granted, brokenStream(), http.StatusBadGateway, 1, true, false},
		{"granted to another gateway", "/look/1", 0, registry.AlreadyClaimed, good, http.StatusServiceUnavailable, 0, true, false},
		{"nobody grants it", "/look/1", 0, "", good, http.StatusServiceUnavailable, 0, true, false},
		{"not due", "/look/1", 60_000, registry.Granted, good, http.StatusServiceUnavailable, 0, false, false},
	} {
		fingerprint := quarantine.Causes("h"+c.path, "w", []byte("body"), nil)[0].Fingerprint
		control := &fakeControl{grant: c.grant}
		controlAddress, _ := newPeer(t, func(s *grpc.Server) { wire.RegisterControlServer(s, control) })
		servers, runs := newScripted(t, 2, c.answer)
		g, address := newTestGateway(t, servers...)
		g.SetControlAddresses([]string{controlAddress})
		g.mu.Lock()
		g.applyQuarantine(&wire.Quarantine{Version: 1, Convictions: []*wire.Conviction{{Fingerprint: fingerprint, Convicted: true, TrialWaitMillis: c.wait}}})
		g.mu.Unlock()
		code, body, _ := call(t, address, c.path, "a")
		state := func() (trials int, cleared bool) {
			control.mu.Lock()
			defer control.mu.Unlock()
			return control.trials, slices.Contains(control.cleared, fingerprint)
		}
		if c.cleared {
			eventually(func() bool { _, cleared := state(); return cleared })
		} else {
			time.Sleep(20 * time.Millisecond) // for a request to clear it
		}
		if trials, cleared := state(); code != c.code || runs.Load() != c.runs || (trials > 0) != c.trials || cleared != c.cleared {
			t.Errorf("%s: got %d %q after %d runs, %d trials asked for, cleared %t", c.what, code, body, runs.Load(), trials, cleared)
		}
	}
}
