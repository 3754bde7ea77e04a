package control_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/demo"
)

// registrars are the control instances of a cluster, to which backend servers announce
// themselves. The instances do not tell each other what they hear.
type registrars struct {
	t         *testing.T
	addresses []string
	dirs      []string
	all       []control.Announcements
	stops     []func()
}

// newRegistrars starts a cluster of n control instances.
func newRegistrars(t *testing.T, n int) *registrars {
	t.Helper()
	addresses, err := demo.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	r := &registrars{t: t, addresses: addresses, all: make([]control.Announcements, n), stops: make([]func(), n)}
	for i := range n {
		r.dirs = append(r.dirs, t.TempDir())
		r.start(i)
	}
	t.Cleanup(func() {
		for i := range r.stops {
			r.stop(i)
		}
	})
	return r
}

func (r *registrars) start(i int) {
	o, stop := startInstance(r.t, r.dirs[i], r.addresses[i], r.addresses)
	r.all[i], r.stops[i] = control.Announcements{Service: o.Service, Client: o.Client}, stop
}

func (r *registrars) stop(i int) {
	if r.stops[i] != nil {
		r.stops[i]()
		r.stops[i] = nil
	}
}

// restartAll restarts all instances at once, and waits until a quorum has applied what was
// committed before.
func (r *registrars) restartAll() {
	r.t.Helper()
	for i := range r.all {
		r.stop(i)
	}
	for i := range r.all {
		r.start(i)
	}
	r.leave("other", tanagerroad.Down, 1000)
}

// announce sends an announcement to an instance.
func (r *registrars) announce(i int, id string, sequence uint64, state tanagerroad.ServerState, born int64) error {
	a := tanagerroad.Announcement{ID: id, State: state, Sequence: sequence, StartMillis: born}
	if state != tanagerroad.Down {
		a.Pool, a.Address, a.Zone, a.Slots = "p", id+":1", "z", 1
	}
	return r.all[i].RecordAnnouncement(r.t.Context(), a)
}

// serve announces to an instance that a backend server serves.
func (r *registrars) serve(i int, id string, sequence uint64, born int64) {
	r.t.Helper()
	if err := r.announce(i, id, sequence, tanagerroad.Serving, born); err != nil {
		r.t.Errorf("an announcement of %s, born %d, is refused: %v", id, born, err)
	}
}

// leave announces a departure to the first instance until that acknowledges it, which it does
// once a leader is elected. A departure of start 0 names none.
func (r *registrars) leave(id string, state tanagerroad.ServerState, born int64) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); r.announce(0, id, 9, state, born) != nil; {
		if time.Now().After(end) {
			r.t.Fatal("the departure is not acknowledged")
		}
	}
}

// wantState checks what an instance tells gateways of a backend server.
func (r *registrars) wantState(i int, id string, want tanagerroad.ServerState, after string) {
	r.t.Helper()
	var got string
	for _, u := range firstUpdates(control.Orders{Client: r.all[i].Client}, r.addresses[i], 500*time.Millisecond) {
		for _, a := range u.GetAnnounced() {
			if a.GetId() == id {
				got = a.GetState()
			}
		}
	}
	if got != string(want) {
		r.t.Errorf("after %s, %s is %q, want %q", after, id, got, want)
	}
}

// TestLateAnnouncementRevivesDepartedServer guards against an announcement that was sent
// before its backend server left, arrives after all control instances have restarted, and
// brings the server back although its departure was acknowledged; against one that holds up
// the next start of the server; and against a departure that is acknowledged without a quorum.
func TestLateAnnouncementRevivesDepartedServer(t *testing.T) {
	r := newRegistrars(t, 3)
	r.leave("gone", tanagerroad.Down, 1000)
	r.leave("draining", tanagerroad.Leaving, 1000)
	r.serve(0, "unnamed", 7, 1000)
	r.leave("unnamed", tanagerroad.Down, 0)
	r.leave("unheard", tanagerroad.Down, 0)
	r.restartAll()
	for _, s := range []struct {
		what, id string
		sequence uint64
		born     int64
		want     tanagerroad.ServerState
	}{
		{"a late announcement of a server that is gone", "gone", 8, 1000, tanagerroad.Down},
		{"a late announcement of a server that leaves", "draining", 8, 1000, tanagerroad.Leaving},
		{"a late announcement of a server that left without naming its start", "unnamed", 8, 1000, tanagerroad.Down},
		{"a late announcement of a server that was not heard of before it left", "unheard", 8, 1000, tanagerroad.Down},
		{"the next start of a server that is gone", "gone", 1, 2000, tanagerroad.Serving},
		{"the next start of a server that leaves", "draining", 1, 2000, tanagerroad.Serving},
		{"the next start of a server that was not heard of before it left", "unheard", 1, time.Now().UnixMilli() + 1, tanagerroad.Serving},
	} {
		r.serve(1, s.id, s.sequence, s.born)
		r.wantState(1, s.id, s.want, s.what)
	}
	r.stop(1)
	r.stop(2)
	if err := r.announce(0, "unsettled", 9, tanagerroad.Down, 1000); err == nil {
		t.Error("a departure is acknowledged without a quorum")
	}
}

// TestDepartureKeepsNextStartOut guards against a departure that names no start, is all that
// restarted control instances know of a backend server, and keeps its next start out of use.
func TestDepartureKeepsNextStartOut(t *testing.T) {
	r := newRegistrars(t, 1)
	r.serve(0, "a", 1, 1000)
	r.leave("a", tanagerroad.Down, 0)
	r.serve(0, "a", 1, 2000)
	// As an earlier version recorded it.
	if _, err := r.all[0].Client.Propose(t.Context(), &wire.Command{Body: &wire.Command_RecordDeparture{RecordDeparture: &wire.RecordDeparture{
		Announcement: &wire.Announcement{Id: "b", State: string(tanagerroad.Down)},
	}}}); err != nil {
		t.Fatal(err)
	}
	later := time.Now().UnixMilli() + 1
	r.restartAll()
	r.serve(0, "a", 2, 2000)
	r.wantState(0, "a", tanagerroad.Serving, "a restart of all instances")
	r.serve(0, "b", 1, later)
	r.wantState(0, "b", tanagerroad.Serving, "a restart of all instances")
}

// TestEarlierDepartureEndsNextStart guards against a control instance that learned a departure
// from the replicated log, tells it to others that know a later start of the backend server,
// and thereby ends that start.
func TestEarlierDepartureEndsNextStart(t *testing.T) {
	r := newRegistrars(t, 3)
	r.serve(0, "a", 1, 1000)
	r.leave("a", tanagerroad.Down, 0)
	r.serve(1, "a", 1, 2000)
	r.stop(2)
	r.start(2)
	var told bool
	for end := time.Now().Add(10 * time.Second); !told; { // once the log is applied
		if time.Now().After(end) {
			t.Fatal("the restarted instance knows no departure")
		}
		for _, u := range firstUpdates(control.Orders{Client: r.all[2].Client}, r.addresses[2], 500*time.Millisecond) {
			told = told || len(u.GetAnnounced()) > 0
			r.all[1].Service.ApplyPeerUpdate(u)
		}
	}
	r.wantState(1, "a", tanagerroad.Serving, "an update of a restarted instance")
}

// TestSecondDepartureIsForgotten guards against a second departure within a minute that is
// acknowledged without the replicated log, since one that names no start looks like the first,
// and that is then lost with the instance that was told.
func TestSecondDepartureIsForgotten(t *testing.T) {
	r := newRegistrars(t, 3)
	for _, born := range []int64{1000, 2000} {
		r.serve(0, "a", 1, born)
		r.serve(1, "a", 1, born)
		r.leave("a", tanagerroad.Down, 0)
		r.wantState(1, "a", tanagerroad.Down, "a departure that another instance acknowledged")
	}
	// The instance that is told has not heard of the second start.
	r.serve(0, "b", 1, 1000)
	r.leave("b", tanagerroad.Down, 0)
	r.serve(1, "b", 1, 2000)
	r.leave("b", tanagerroad.Down, 0)
	r.wantState(1, "b", tanagerroad.Down, "a departure of a start that the asked instance does not know")
	r.stop(0)
	for _, id := range []string{"a", "b"} {
		r.serve(1, id, 2, 2000)
		r.wantState(1, id, tanagerroad.Down, "a late announcement of the second start")
	}
}
