package roster_test

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/roster"
	"tanagerroad/core/schedule"
)

func TestMain(m *testing.M) { schedule.Main(m, 2000, 300) }

type step struct {
	At          int                     `json:"at"` // seconds
	Source      string                  `json:"by"`
	ID          string                  `json:"id"`
	Address     string                  `json:"address"`
	Pool        string                  `json:"pool"`
	Pools       []string                `json:"pools"` // of the configuration
	StartMillis int64                   `json:"born"`
	Sequence    uint64                  `json:"seq"`
	State       tanagerroad.ServerState `json:"state"`
	Lapse       string                  `json:"lapse"`
	Expire      string                  `json:"expire"`
	Departing   string                  `json:"said-leaving"` // id of a backend server that said in an answer that it leaves
	Usable      *[]string               `json:"usable"`
	Addresses   []string                `json:"addresses"` // of the usable backend servers
}

// TestScripts runs the scenarios in testdata/scripts.json: which backend servers
// are usable after a sequence of announcements, lapses and expiries.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		What  string `json:"what"`
		Steps []step `json:"steps"`
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		r := roster.New(roster.DefaultConfig())
		for i, s := range script.Steps {
			at := time.Duration(s.At) * time.Second
			switch {
			case s.Usable != nil:
				if got := ids(r); !slices.Equal(got, *s.Usable) {
					t.Errorf("%s: step %d: usable %v, want %v", script.What, i, got, *s.Usable)
				}
			case s.Addresses != nil:
				if got := addresses(r); !slices.Equal(got, s.Addresses) {
					t.Errorf("%s: step %d: usable addresses %v, want %v", script.What, i, got, s.Addresses)
				}
			case s.Pools != nil:
				r.SetPools(s.Pools)
			case s.Departing != "":
				r.RecordDeparture(at, s.Departing, s.StartMillis)
			case s.Lapse != "":
				r.Lapse(s.Lapse, s.ID)
			case s.Expire != "":
				r.Expire(at, s.Expire)
			default:
				address := s.Address
				if address == "" {
					address = s.ID + ":1"
				}
				r.Apply(at, s.Source, tanagerroad.Announcement{ID: s.ID, Pool: s.Pool, Address: address, StartMillis: s.StartMillis, Sequence: s.Sequence, State: s.State})
			}
		}
	}
}

func ids(r *roster.Roster) []string {
	out := []string{}
	for _, a := range r.Usable() {
		out = append(out, a.ID)
	}
	return out
}

func addresses(r *roster.Roster) []string {
	out := []string{}
	for _, a := range r.Usable() {
		out = append(out, a.Address)
	}
	return out
}

// TestOrderDoesNotMatter checks that two rosters that receive the same
// announcements of a backend server in different orders list the same usable
// backend servers.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var announcements []tanagerroad.Announcement
		for start := int64(1); start <= int64(rapid.IntRange(1, 3).Draw(t, "starts")); start++ {
			n := rapid.IntRange(1, 4).Draw(t, "announcements")
			for seq := 1; seq <= n; seq++ {
				state := rapid.SampledFrom([]tanagerroad.ServerState{tanagerroad.Serving, tanagerroad.Leaving}).Draw(t, "state")
				if seq == n && rapid.Bool().Draw(t, "ends") {
					state = tanagerroad.Down
				}
				announcements = append(announcements, tanagerroad.Announcement{ID: "a", Address: "a:1", StartMillis: start, Sequence: uint64(seq), State: state})
			}
		}
		first, second := roster.New(roster.DefaultConfig()), roster.New(roster.DefaultConfig())
		for _, a := range announcements {
			first.Apply(0, "c", a)
		}
		for _, a := range rapid.Permutation(announcements).Draw(t, "order") {
			second.Apply(0, "c", a)
		}
		if !slices.Equal(ids(first), ids(second)) {
			t.Fatalf("usable %v when received in order, %v in another order", ids(first), ids(second))
		}
	})
}

// TestFrozenInstanceNamesNoPeers checks that an outdated list of gateways is
// ignored. A control instance that froze together with the gateway on its host
// still lists that gateway, which all others have lost.
func TestFrozenInstanceNamesNoPeers(t *testing.T) {
	lists := []roster.PeerList{
		{ReceivedAt: 10 * time.Second, Gateways: []tanagerroad.Gateway{{Address: "a"}, {Address: "b"}}},
		{ReceivedAt: 6 * time.Second, Gateways: []tanagerroad.Gateway{{Address: "a"}, {Address: "b"}, {Address: "frozen"}}},
	}
	if got := roster.Peers(10500*time.Millisecond, tanagerroad.Gateway{Address: "a"}, lists); !slices.Equal(got, []tanagerroad.Gateway{{Address: "a"}, {Address: "b"}}) {
		t.Errorf("peers %v, want a and b", got)
	}
}

// TestColdServerIsPassedOn guards against gateways that take a server for warm since it became
// cold, or will be cold for longer, after the announcement that they know; and against a
// message for each announcement of a server that warms up as it said.
func TestColdServerIsPassedOn(t *testing.T) {
	r := roster.New(roster.DefaultConfig())
	for i, s := range []struct {
		what         string
		atMs, coldMs int
		want         bool
	}{
		{"the first announcement", 0, 0, true},
		{"still warm", 1200, 0, false},
		{"cold without a restart", 2400, 3000, true},
		{"warms up", 3600, 1800, false},
		{"warms up, a little late", 4800, 660, false},
		{"in small steps, for much longer", 5200, 380, true},
		{"warm earlier than it said", 5300, 0, false},
		{"cold again for a short time", 5400, 100, true},
		{"warm", 6600, 0, false},
	} {
		a := tanagerroad.Announcement{ID: "a", Address: "a:1", StartMillis: 1, Sequence: uint64(i + 1), State: tanagerroad.Serving, WarmUp: time.Duration(s.coldMs) * time.Millisecond}
		sequence := r.Sequence()
		got := r.Apply(time.Duration(s.atMs)*time.Millisecond, "c", a)
		if changed, _ := r.Since("c", sequence); got != s.want || (len(changed) > 0) != s.want {
			t.Errorf("%s: passed on %t, want %t", s.what, got, s.want)
		}
	}
}

// TestDepartureIsOfAnotherStart guards against a departure without a start that is taken for
// one of a start that the backend server did not have, and against the crash of a server that
// is not known to leave although its departure names none.
func TestDepartureIsOfAnotherStart(t *testing.T) {
	const now = 5000
	for _, s := range []struct {
		what        string
		known       tanagerroad.ServerState // at start 10; "": nothing is known
		state       tanagerroad.ServerState
		start, want int64
	}{
		{"of a server that serves", tanagerroad.Serving, tanagerroad.Down, 0, 10},
		{"of a server that leaves", tanagerroad.Leaving, tanagerroad.Down, 0, 10},
		{"of a server that has left before", tanagerroad.Down, tanagerroad.Down, 0, now},
		{"of an unknown server", "", tanagerroad.Down, 0, now},
		{"that names its start", tanagerroad.Serving, tanagerroad.Down, 20, 20},
		{"that another writer announces", tanagerroad.Serving, tanagerroad.Leaving, 0, 0},
	} {
		r := roster.New(roster.DefaultConfig())
		if s.known != "" {
			r.Apply(0, "c", tanagerroad.Announcement{ID: "a", StartMillis: 10, State: s.known})
		}
		if got := r.NameStart(now, tanagerroad.Announcement{ID: "a", StartMillis: s.start, State: s.state}).StartMillis; got != s.want {
			t.Errorf("a departure %s is of start %d, want %d", s.what, got, s.want)
		}
	}
	r := roster.New(roster.DefaultConfig())
	r.Apply(0, "c", tanagerroad.Announcement{ID: "a", StartMillis: 10, State: tanagerroad.Serving})
	r.Apply(0, "", tanagerroad.Announcement{ID: "a", StartMillis: now, State: tanagerroad.Down})
	if !r.IsLeaving("a", 10) || r.IsLeaving("a", now+1) {
		t.Errorf("after a departure of every start until %d, start 10 leaves: %t, the next one: %t", now, r.IsLeaving("a", 10), r.IsLeaving("a", now+1))
	}
}

// TestClockSetBackHidesDeparture guards against a backend server whose clock was set back
// before it started again, so that the start that leaves looks like an earlier one, and which
// then gets new work; and against a late departure of an earlier start that takes a server out
// of use for longer than until its next announcement.
func TestClockSetBackHidesDeparture(t *testing.T) {
	const start = 100_000
	serving := tanagerroad.Announcement{ID: "a", Address: "a:1", StartMillis: start, Sequence: 5, State: tanagerroad.Serving}
	for _, s := range []struct {
		what   string
		state  tanagerroad.ServerState
		start  int64
		usable bool // after the announcement of the other start
	}{
		{"leaving, a step earlier", tanagerroad.Leaving, start - 2400, false},
		{"down, a step earlier", tanagerroad.Down, start - 2400, false},
		{"serving, a step earlier", tanagerroad.Serving, start - 2400, true},
		{"leaving, much earlier", tanagerroad.Leaving, start - 60_000, true},
		{"leaving, without a start", tanagerroad.Leaving, 0, true},
	} {
		instance, gateway := roster.New(roster.DefaultConfig()), roster.New(roster.DefaultConfig())
		instance.Apply(0, "c", serving)
		gateway.Apply(0, "c", serving)
		tell := func() {
			entries, _ := instance.Since("c", 0)
			for _, e := range entries {
				source := ""
				if e.Received {
					source = "c"
				} else {
					gateway.Lapse("c", e.ID)
				}
				gateway.Apply(0, source, e.Announcement)
			}
		}
		other := tanagerroad.Announcement{ID: "a", Address: "a:1", StartMillis: s.start, Sequence: 1, State: s.state}
		if !instance.Apply(0, "c", other) {
			instance.Suspend("c", other)
		}
		tell()
		if got := len(gateway.Usable()) > 0; got != s.usable {
			t.Errorf("%s: usable %t, want %t", s.what, got, s.usable)
		}
		next := serving
		next.Sequence++
		instance.Apply(0, "c", next)
		tell()
		if len(gateway.Usable()) == 0 {
			t.Errorf("%s: not usable after the next announcement of the later start", s.what)
		}
	}
}
