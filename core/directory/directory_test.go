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
	renewEvery  = time.Second
	lossPercent = 30
	mostLag     = 500 * time.Millisecond
	leaveBound  = 3 * time.Second // from an announcement to the last pick
)

func server(i int, state tanagerroad.ServerState, sequence uint64) tanagerroad.Server {
	return tanagerroad.Server{ID: fmt.Sprintf("s%02d", i), Pool: "p", Generation: 1, Sequence: sequence, State: state, Capacity: 1}
}

// arrival is a renewal on its way to the control instance.
type arrival struct {
	at     time.Duration
	server tanagerroad.Server
}

// TestLeavingServersAreSeen runs renewals that are lost three times in ten and
// late by up to half a second. A leaving server repeats its announcement at
// once and with each renewal; no view names it as serving after the bound, and
// servers that go on serving are never removed.
func TestLeavingServersAreSeen(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 10
		d := directory.New(directory.DefaultConfig())
		view := directory.NewView()
		leaves := rapid.IntRange(0, n-1).Draw(rt, "leaves")
		leavesAt := time.Duration(rapid.IntRange(2000, 6000).Draw(rt, "ms")) * time.Millisecond
		var way []arrival
		var sequence uint64
		send := func(at time.Duration, s tanagerroad.Server) {
			if rapid.IntRange(0, 99).Draw(rt, "loss") < lossPercent {
				return
			}
			lag := time.Duration(rapid.IntRange(0, int(mostLag/time.Millisecond)).Draw(rt, "lag")) * time.Millisecond
			way = append(way, arrival{at + lag, s})
		}
		lost := 0
		for now := time.Duration(0); now < 12*time.Second; now += 100 * time.Millisecond {
			for i := range n {
				state := tanagerroad.Serving
				if i == leaves && now >= leavesAt {
					state = tanagerroad.Leaving
				}
				due := now%renewEvery == time.Duration(i)*renewEvery/n
				hurry := state == tanagerroad.Leaving && now < leavesAt+directory.HurryFor && now%directory.HurryEvery == 0
				if due || hurry {
					sequence++
					send(now, server(i, state, sequence))
				}
			}
			var rest []arrival
			for _, a := range way {
				if a.at <= now {
					d.Renew(now, a.server)
				} else {
					rest = append(rest, a)
				}
			}
			way = rest
			d.Expire(now)
			view.Take(d.Since(view.Sequence))
			known := map[string]tanagerroad.ServerState{}
			for _, s := range view.Servers() {
				known[s.ID] = s.State
			}
			id := fmt.Sprintf("s%02d", leaves)
			if now > leavesAt+leaveBound && known[id] == tanagerroad.Serving {
				lost++
			}
		}
		if lost > 0 {
			rt.Fatalf("s%02d was named as serving %d times after %s", leaves, lost, leaveBound)
		}
	})
}

// TestSilenceOfMostRemovesNobody: when most servers fall silent at once it is
// the hearing that failed; when a few do, they are removed.
func TestSilenceOfMostRemovesNobody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(rt, "servers")
		silent := rapid.IntRange(0, n).Draw(rt, "silent")
		config := directory.DefaultConfig()
		d := directory.New(config)
		for now := time.Duration(0); now < 30*time.Second; now += renewEvery {
			for i := range n {
				if now < 5*time.Second || i >= silent {
					d.Renew(now, server(i, tanagerroad.Serving, uint64(now/renewEvery)+1))
				}
			}
			d.Expire(now)
		}
		want := n - silent
		if silent > 1 && float64(silent) > config.Most*float64(n) {
			want = n
		}
		if d.Len() != want {
			rt.Fatalf("%d of %d fell silent and %d are left, want %d", silent, n, d.Len(), want)
		}
	})
}

// TestViewKeepsWhatAFreshInstanceLacks: a control instance that has just
// started sends a whole directory with few servers; the view believes it only
// when little is missing.
func TestViewKeepsWhatAFreshInstanceLacks(t *testing.T) {
	for _, c := range []struct{ held, sent, want int }{{10, 0, 10}, {10, 3, 10}, {10, 9, 9}, {10, 7, 7}, {1, 0, 0}} {
		view := directory.NewView()
		var all []tanagerroad.Server
		for i := range c.held {
			all = append(all, server(i, tanagerroad.Serving, 1))
		}
		view.Take(directory.Delta{Full: true, Servers: all, Sequence: 1})
		view.Take(directory.Delta{Full: true, Servers: all[:c.sent], Sequence: 2})
		if got := len(view.Servers()); got != c.want {
			t.Errorf("of %d held, a whole directory of %d leaves %d, want %d", c.held, c.sent, got, c.want)
		}
	}
}

func TestViewFollowsAClockThatWentBack(t *testing.T) {
	view := directory.NewView()
	late, early := server(1, tanagerroad.Serving, 1), server(1, tanagerroad.Serving, 1)
	late.Generation = 9
	view.Take(directory.Delta{Full: true, Servers: []tanagerroad.Server{late}, Sequence: 1})
	view.Take(directory.Delta{Full: true, Servers: []tanagerroad.Server{early}, Sequence: 2})
	if got := view.Servers()[0].Generation; got != 9 {
		t.Errorf("a whole directory that lags brought generation %d back", got)
	}
	view.Take(directory.Delta{Servers: []tanagerroad.Server{early}, Sequence: 3})
	if got := view.Servers()[0].Generation; got != 1 {
		t.Errorf("the view holds generation %d after the directory changed to 1", got)
	}
}

func TestOlderAnnouncementsAreDropped(t *testing.T) {
	d := directory.New(directory.DefaultConfig())
	d.Renew(0, server(1, tanagerroad.Leaving, 5))
	if d.Renew(0, server(1, tanagerroad.Serving, 4)) {
		t.Error("an older announcement brought a leaving server back")
	}
	again := server(1, tanagerroad.Serving, 1)
	again.Generation = 2
	if !d.Renew(0, again) {
		t.Error("the announcement of a restarted sidecar was dropped")
	}
}

// TestLoadReportsAreBounded: whatever the servers' loads do, a watcher hears of
// about 50 of them a second.
func TestLoadReportsAreBounded(t *testing.T) {
	const n, span = 600, 30 * time.Second
	d := directory.New(directory.DefaultConfig())
	view := directory.NewView()
	told := 0
	for now := time.Duration(0); now < span; now += renewEvery {
		for i := range n {
			s := server(i, tanagerroad.Serving, uint64(now/renewEvery)+1)
			s.Load.InFlight = int(now/renewEvery) % 2 * 8
			d.Renew(now, s)
		}
		delta := d.Since(view.Sequence)
		if view.Sequence > 0 {
			told += len(delta.Servers)
		}
		view.Take(delta)
	}
	if most := int(span.Seconds()) * 50; told > most {
		t.Errorf("%d servers' loads were told in %s, want %d at most", told, span, most)
	}
}
