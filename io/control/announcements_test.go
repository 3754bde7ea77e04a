package control_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/io/control"
	"tanagerroad/io/demo"
)

// TestLateAnnouncementRevivesDepartedServer guards against an announcement that was sent
// before its backend server left, arrives after all control instances have restarted, and
// brings the server back although its departure was acknowledged; against one that holds up
// the next start of the server; and against a departure that is acknowledged without a quorum.
func TestLateAnnouncementRevivesDepartedServer(t *testing.T) {
	instances, err := demo.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var all []control.Announcements
	var stops []func()
	start := func(count int) {
		all, stops = nil, nil
		for i, address := range instances[:count] {
			o, stop := startInstance(t, dirs[i], address, instances)
			all, stops = append(all, control.Announcements{Service: o.Service, Client: o.Client}), append(stops, stop)
		}
	}
	stop := func() {
		for _, stop := range stops {
			stop()
		}
	}
	announce := func(instance int, id string, sequence uint64, state tanagerroad.ServerState, born int64) error {
		return all[instance].RecordAnnouncement(t.Context(), tanagerroad.Announcement{
			ID: id, Pool: "p", Address: id + ":1", Zone: "z", Slots: 1, State: state, Sequence: sequence, StartMillis: born,
		})
	}
	leave := func(id string, state tanagerroad.ServerState) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); announce(0, id, 9, state, 1000) != nil; { // once a leader is elected
			if time.Now().After(end) {
				t.Fatal("the departure is not acknowledged")
			}
		}
	}
	start(3)
	leave("gone", tanagerroad.Down)
	leave("draining", tanagerroad.Leaving)
	stop()
	start(3)
	leave("other", tanagerroad.Down) // a quorum has applied what was committed before
	states := func() map[string]string {
		out := map[string]string{}
		for _, u := range firstUpdates(control.Orders{Client: all[1].Client}, instances[1], 500*time.Millisecond) {
			for _, a := range u.GetAnnounced() {
				out[a.GetId()] = a.GetState()
			}
		}
		return out
	}
	for _, s := range []struct {
		what, id string
		sequence uint64
		born     int64
		want     tanagerroad.ServerState
	}{
		{"a late announcement of a server that is gone", "gone", 8, 1000, tanagerroad.Down},
		{"a late announcement of a server that leaves", "draining", 8, 1000, tanagerroad.Leaving},
		{"the next start of a server that is gone", "gone", 1, 2000, tanagerroad.Serving},
		{"the next start of a server that leaves", "draining", 1, 2000, tanagerroad.Serving},
	} {
		if err := announce(1, s.id, s.sequence, tanagerroad.Serving, s.born); err != nil {
			t.Errorf("%s is refused: %v", s.what, err)
		}
		if got := states()[s.id]; got != string(s.want) {
			t.Errorf("after %s it is %q, want %q", s.what, got, s.want)
		}
	}
	stop()
	start(1)
	defer stop()
	if err := announce(0, "unsettled", 9, tanagerroad.Down, 1000); err == nil {
		t.Error("a departure is acknowledged without a quorum")
	}
}
