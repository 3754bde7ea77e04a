package directory_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/directory"
)

const (
	renewInterval = time.Second
	lossPercent   = 30
	maxLag        = 500 * time.Millisecond
	maxLeaveDelay = 3 * time.Second // after this, no view may have a leaving server as serving
)

func server(i int, state tanagerroad.ServerState, sequence uint64) tanagerroad.Server {
	return tanagerroad.Server{ID: fmt.Sprintf("s%02d", i), Pool: "p", Generation: 1, Sequence: sequence, State: state, Capacity: 1}
}

// message is a renewal in flight to the control instance.
type message struct {
	arrivesAt time.Duration
	server    tanagerroad.Server
}

// TestLeavingServersAreSeen checks that a watcher's view no longer has a leaving
// server as serving once maxLeaveDelay has passed. Renewals are lost three times
// in ten and delayed by up to half a second. The leaving server repeats its
// announcement for a while, in addition to its regular renewals.
func TestLeavingServersAreSeen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 10
		d := directory.New(directory.DefaultConfig())
		view := directory.NewView()
		leaving := rapid.IntRange(0, n-1).Draw(rt, "leaves")
		leavesAt := time.Duration(rapid.IntRange(2000, 6000).Draw(rt, "ms")) * time.Millisecond
		var inFlight []message
		var sequence uint64
		send := func(at time.Duration, s tanagerroad.Server) {
			if rapid.IntRange(0, 99).Draw(rt, "loss") < lossPercent {
				return
			}
			lag := time.Duration(rapid.IntRange(0, int(maxLag/time.Millisecond)).Draw(rt, "lag")) * time.Millisecond
			inFlight = append(inFlight, message{at + lag, s})
		}
		staleViews := 0
		for now := time.Duration(0); now < 12*time.Second; now += 100 * time.Millisecond {
			for i := range n {
				state := tanagerroad.Serving
				if i == leaving && now >= leavesAt {
					state = tanagerroad.Leaving
				}
				due := now%renewInterval == time.Duration(i)*renewInterval/n
				repeat := state == tanagerroad.Leaving && now < leavesAt+directory.AnnounceRepeatPeriod && now%directory.AnnounceRepeatInterval == 0
				if due || repeat {
					sequence++
					send(now, server(i, state, sequence))
				}
			}
			var pending []message
			for _, m := range inFlight {
				if m.arrivesAt <= now {
					d.Renew(now, m.server)
				} else {
					pending = append(pending, m)
				}
			}
			inFlight = pending
			d.Expire(now)
			view.Apply(d.ChangesSince(view.Sequence))
			states := map[string]tanagerroad.ServerState{}
			for _, s := range view.Servers() {
				states[s.ID] = s.State
			}
			id := fmt.Sprintf("s%02d", leaving)
			if now > leavesAt+maxLeaveDelay && states[id] == tanagerroad.Serving {
				staleViews++
			}
		}
		if staleViews > 0 {
			rt.Fatalf("s%02d was still in the view as serving at %d steps more than %s after it left", leaving, staleViews, maxLeaveDelay)
		}
	})
}

// TestMassLapseRemovesNoServers checks that no server is removed when more than
// the configured share stop renewing at once, since then the control instance's
// own connections have probably failed. Fewer silent servers are removed.
func TestMassLapseRemovesNoServers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(rt, "servers")
		silent := rapid.IntRange(0, n).Draw(rt, "silent")
		config := directory.DefaultConfig()
		d := directory.New(config)
		for now := time.Duration(0); now < 30*time.Second; now += renewInterval {
			for i := range n {
				if now < 5*time.Second || i >= silent {
					d.Renew(now, server(i, tanagerroad.Serving, uint64(now/renewInterval)+1))
				}
			}
			d.Expire(now)
		}
		want := n - silent
		if silent > 1 && float64(silent) > config.MaxLapsedShare*float64(n) {
			want = n
		}
		if d.Len() != want {
			rt.Fatalf("%d of %d servers stopped renewing: the directory has %d, want %d", silent, n, d.Len(), want)
		}
	})
}

// TestViewKeepsServersOnIncompleteDirectory checks that a view drops the servers
// missing from a full directory only if few are missing: a control instance that
// has just started sends a full directory with few servers.
func TestViewKeepsServersOnIncompleteDirectory(t *testing.T) {
	for _, c := range []struct{ held, sent, want int }{{10, 0, 10}, {10, 3, 10}, {10, 9, 9}, {10, 7, 7}, {1, 0, 0}} {
		view := directory.NewView()
		var all []tanagerroad.Server
		for i := range c.held {
			all = append(all, server(i, tanagerroad.Serving, 1))
		}
		view.Apply(directory.Delta{Full: true, Servers: all, Sequence: 1})
		view.Apply(directory.Delta{Full: true, Servers: all[:c.sent], Sequence: 2})
		if got := len(view.Servers()); got != c.want {
			t.Errorf("a view of %d servers that gets a full directory of %d has %d, want %d", c.held, c.sent, got, c.want)
		}
	}
}

// TestViewAppliesLowerGeneration checks that a view ignores a lower generation in a
// full directory, which may come from an instance that lags behind, but applies it
// from a later delta: the sidecar has restarted with its clock set back.
func TestViewAppliesLowerGeneration(t *testing.T) {
	view := directory.NewView()
	late, early := server(1, tanagerroad.Serving, 1), server(1, tanagerroad.Serving, 1)
	late.Generation = 9
	view.Apply(directory.Delta{Full: true, Servers: []tanagerroad.Server{late}, Sequence: 1})
	view.Apply(directory.Delta{Full: true, Servers: []tanagerroad.Server{early}, Sequence: 2})
	if got := view.Servers()[0].Generation; got != 9 {
		t.Errorf("the view has generation %d after an older full directory, want 9", got)
	}
	view.Apply(directory.Delta{Servers: []tanagerroad.Server{early}, Sequence: 3})
	if got := view.Servers()[0].Generation; got != 1 {
		t.Errorf("the view has generation %d after a delta with generation 1", got)
	}
}

func TestOlderAnnouncementsAreIgnored(t *testing.T) {
	d := directory.New(directory.DefaultConfig())
	d.Renew(0, server(1, tanagerroad.Leaving, 5))
	if d.Renew(0, server(1, tanagerroad.Serving, 4)) {
		t.Error("an older announcement was applied: the leaving server is serving again")
	}
	restarted := server(1, tanagerroad.Serving, 1)
	restarted.Generation = 2
	if !d.Renew(0, restarted) {
		t.Error("the announcement of a restarted sidecar was ignored")
	}
}

// TestLoadReportsAreBounded checks that a watcher gets at most 50 load reports a
// second, however many servers change their load and however often.
func TestLoadReportsAreBounded(t *testing.T) {
	const n, span = 600, 30 * time.Second
	d := directory.New(directory.DefaultConfig())
	view := directory.NewView()
	reports := 0
	for now := time.Duration(0); now < span; now += renewInterval {
		for i := range n {
			s := server(i, tanagerroad.Serving, uint64(now/renewInterval)+1)
			s.Load.InFlight = int(now/renewInterval) % 2 * 8
			d.Renew(now, s)
		}
		delta := d.ChangesSince(view.Sequence)
		if view.Sequence > 0 {
			reports += len(delta.Servers)
		}
		view.Apply(delta)
	}
	if limit := int(span.Seconds()) * 50; reports > limit {
		t.Errorf("the watcher got %d load reports in %s, want at most %d", reports, span, limit)
	}
}

// TestPauseIsNotReported guards against entries that learn late that a backend server asked
// for time, or that the time is over.
func TestPauseIsNotReported(t *testing.T) {
	d := directory.New(directory.DefaultConfig())
	for i, c := range []struct {
		pause time.Duration
		want  bool
	}{{0, true}, {0, false}, {3 * time.Second, true}, {2 * time.Second, false}, {5 * time.Second, true}, {0, true}} {
		s := server(1, tanagerroad.Serving, uint64(i+1))
		s.Load.Pause = c.pause
		if got := d.Renew(time.Millisecond*time.Duration(i), s); got != c.want {
			t.Errorf("announcement %d, with a pause of %s: reported %v", i+1, c.pause, got)
		}
	}
}
