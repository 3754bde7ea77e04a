package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
	"tanagerroad/core/fleet"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// evacuate has the gateway learn that the zones are evacuated, and no others.
func evacuate(g *Gateway, changes uint64, zones ...string) {
	update := &wire.Update{EvacuationChanges: changes}
	for _, zone := range zones {
		update.Evacuations = append(update.Evacuations, &wire.Evacuation{Zone: zone, Active: true, Version: 1})
	}
	g.applyUpdate("127.0.0.1:1", update)
}

// moveTo moves backend servers to a zone.
func moveTo(g *Gateway, zone string, servers ...*backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.roster.Usable() {
		for _, b := range servers {
			if a.ID == b.id {
				a.Zone, a.Sequence = zone, a.Sequence+1
				g.roster.Apply(g.now(), "c", a)
			}
		}
	}
	g.applyRoster(g.now())
}

// TestEvacuatedServersAreChosen guards against requests that are sent to an evacuated zone,
// and against evacuations that an older update ends or a newer one does not.
func TestEvacuatedServersAreChosen(t *testing.T) {
	servers, _ := newScripted(t, 2, good)
	g, address := newTestGateway(t, servers...)
	moveTo(g, "far", servers[1])
	for i, c := range []struct {
		changes         uint64
		zones           []string
		usable, without int
	}{{1, nil, 2, 0}, {3, []string{"z"}, 1, 1}, {2, nil, 1, 1}, {0, nil, 1, 1}, {4, []string{"z", "far"}, 0, 2}, {5, []string{"far", "other"}, 1, 1}, {6, nil, 2, 0}} {
		evacuate(g, c.changes, c.zones...)
		before := [2]int64{servers[0].runs.Load(), servers[1].runs.Load()}
		sent := time.Now()
		status, _, _ := call(t, address, "/book/", "a")
		if _, without := g.Evacuated(); g.ServerCount() != c.usable || without != c.without {
			t.Errorf("update %d: %d backend servers are used and %d left out, want %d and %d", i, g.ServerCount(), without, c.usable, c.without)
		}
		if took := time.Since(sent); (status == http.StatusOK) != (c.usable > 0) || status != http.StatusOK && (status != http.StatusServiceUnavailable || took > time.Second) {
			t.Errorf("update %d: status %d after %s with %d backend servers", i, status, took, c.usable)
		}
		for n, zone := range []string{"z", "far"} {
			if g.evacuations.view.Active(zone) && servers[n].runs.Load() > before[n] {
				t.Errorf("update %d: a request ran in the evacuated zone %s", i, zone)
			}
		}
	}
}

// TestChosenServerIsEvacuated guards against requests, pieces and calls that free results
// which are sent to an evacuated zone since the backend server was chosen before.
func TestChosenServerIsEvacuated(t *testing.T) {
	servers, _ := newScripted(t, 1, good)
	p := newPieceServer(t)
	g, _ := newTestGateway(t, append(servers, p.backend)...)
	g.mu.Lock()
	choice, _ := g.fleet.Pick(g.now(), fleet.Request{Pool: "p", From: g.config.Settings.Place()})
	g.mu.Unlock()
	piece := &batch.Call{Server: firstServer(g, "prep"), Expected: time.Second}
	evacuate(g, 2, "z")
	if err := g.checkServer(choice); !errors.Is(err, errServerUnavailable) {
		t.Errorf("a request may be sent: %v", err)
	}
	if _, full, err := g.batcher("").send(piece, []tanagerroad.PieceItem{{RequestID: "a"}}); !full || !errors.Is(err, errServerUnavailable) || p.calls.Load() > 0 {
		t.Errorf("a call for pieces: error %v, to be sent elsewhere %t, %d calls", err, full, p.calls.Load())
	}
	g.batcher("").release([]string{p.Listener.Addr().String() + "/1"})
	time.Sleep(3 * freeInterval)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.freed) > 0 {
		t.Errorf("results are freed in the evacuated zone: %v", p.freed)
	}
}

// TestEvacuatedPoolKeepsRequestsWaiting guards against requests whose pool has no backend
// server outside the evacuated zones, and that wait for their deadline or run some stages.
func TestEvacuatedPoolKeepsRequestsWaiting(t *testing.T) {
	p, last := newPieceServer(t), newPieceServerOf(t, "last")
	p.status = func(int64) int { return holdCall }
	servers, runs := newScripted(t, 1, good)
	g, address := newTestGateway(t, append(servers, p.backend, last.backend)...)
	moveTo(g, "far", append(servers, last.backend)...)
	statuses := make(chan int, 3)
	for _, id := range []string{"a", "b", "c"} { // some wait in the queue, one is being made
		go func() {
			status, _, _ := call(t, address, "/chain/", id, headerPieces, "2,1")
			statuses <- status
		}()
	}
	if !eventually(func() bool { return p.calls.Load() > 0 }) {
		t.Fatal("no call for pieces")
	}
	evacuate(g, 2, "z")
	ordered := time.Now()
	for range 3 {
		if status := <-statuses; status != http.StatusServiceUnavailable || time.Since(ordered) > 500*time.Millisecond {
			t.Errorf("a request under way: status %d %s after the order, want 503 at once", status, time.Since(ordered))
		}
	}
	evacuate(g, 3, "far")
	calls := p.calls.Load()
	sent := time.Now()
	if status, _, _ := call(t, address, "/chain/", "d", headerPieces, "2,1"); status != http.StatusServiceUnavailable || time.Since(sent) > 500*time.Millisecond {
		t.Errorf("a new request: status %d after %s, want 503 at once", status, time.Since(sent))
	}
	if runs.Load() > 0 || p.calls.Load() > calls {
		t.Errorf("%d requests and %d calls for pieces ran in vain", runs.Load(), p.calls.Load()-calls)
	}
}

// TestStartingGatewayUsesEvacuatedZone guards against a gateway that starts during an
// evacuation and uses the zone until it learns of it, and against one that waits for control
// instances which never tell.
func TestStartingGatewayUsesEvacuatedZone(t *testing.T) {
	const hold = 5 * time.Second
	g, _ := newTestGateway(t)
	g.evacuations.hold = hold
	servers := func() *wire.Update {
		a := peer.AnnouncementToWire(tanagerroad.Announcement{ID: "a", Pool: "p", Address: "a:1", Zone: "z", State: tanagerroad.Serving, Sequence: 1, StartMillis: 1000})
		a.Heard = true
		return &wire.Update{Whole: true, Announced: []*wire.Announcement{a}}
	}
	g.applyUpdate("127.0.0.1:1", servers()) // of an instance that has just restarted
	if g.ServerCount() > 0 || g.Ready() {
		t.Errorf("%d backend servers are used, ready %t, before the evacuations are known", g.ServerCount(), g.Ready())
	}
	evacuate(g, 1)
	if g.ServerCount() != 1 || !g.Ready() {
		t.Errorf("%d backend servers are used, ready %t, without evacuations", g.ServerCount(), g.Ready())
	}
	g, _ = newTestGateway(t)
	g.evacuations.hold = hold
	g.applyUpdate("127.0.0.1:1", servers())
	g.mu.Lock()
	g.evacuations.updatedAt -= hold
	g.mu.Unlock()
	g.housekeep()
	if g.ServerCount() != 1 || !g.Ready() {
		t.Errorf("%d backend servers are used, ready %t, %s after control instances that don't tell", g.ServerCount(), g.Ready(), hold)
	}
}

// TestEvacuatedPoolWithoutPieces guards against requests that are refused since a stage has an
// evacuated pool, although they have no pieces there.
func TestEvacuatedPoolWithoutPieces(t *testing.T) {
	p, last := newPieceServer(t), newPieceServerOf(t, "last")
	servers, _ := newScripted(t, 1, good)
	g, address := newTestGateway(t, append(servers, p.backend, last.backend)...)
	moveTo(g, "far", last.backend)
	evacuate(g, 2, "far")
	if status, body, err := call(t, address, "/chain/", "a", headerPieces, "1,0"); status != http.StatusOK {
		t.Errorf("a request without pieces for the evacuated pool: status %d %q (%v), want 200", status, body, err)
	}
}

// TestLeavingServerInEvacuatedZoneIsAsked guards against calls that free results which reach an
// evacuated zone, since their backend server leaves and so is not a usable one.
func TestLeavingServerInEvacuatedZoneIsAsked(t *testing.T) {
	p := newPieceServer(t)
	g, _ := newTestGateway(t, p.backend)
	leaving := firstServer(g, "prep")
	evacuate(g, 2, "z")
	g.heedDeparture(leaving)
	g.batcher("").release([]string{p.Listener.Addr().String() + "/1"})
	time.Sleep(3 * freeInterval)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.freed) > 0 {
		t.Errorf("results are freed in the evacuated zone: %v", p.freed)
	}
}

// TestQueueOfEvacuatedShard guards against jobs that stay queued until their deadline at the
// owner of a shard all of whose backend servers are evacuated, while the pool has others.
func TestQueueOfEvacuatedShard(t *testing.T) {
	var all, near []*backend
	var calls []*pieceServer
	for i := range 4 {
		p := newPieceServerOf(t, fmt.Sprint("prep", i))
		all, calls = append(all, p.backend, p.second), append(calls, p)
		if i < 2 {
			near = append(near, p.backend, p.second)
		}
	}
	hold := make(chan struct{})
	for _, p := range calls[:2] {
		p.status = func(int64) int { <-hold; return http.StatusServiceUnavailable }
	}
	g, _ := newTestGateway(t, all...)
	moveTo(g, "far", all[4:]...)
	results := make(chan *wire.PieceResult, 30)
	submit := func(number uint64) {
		g.batcher("z").submit("a", &wire.PieceJob{
			Number: number, Request: fmt.Sprint(number), Pool: "prep", Shard: "z", LeftMillis: 5000, SlackMillis: 5000, Pieces: []uint32{0, 1, 2, 3},
		}, func(r *wire.PieceResult) { results <- r })
	}
	for n := range uint64(len(near) + 2) { // a call to each server, and two jobs that wait
		submit(n)
	}
	if !eventually(func() bool { return calls[0].calls.Load()+calls[1].calls.Load() == int64(len(near)) }) {
		t.Fatalf("%d calls", calls[0].calls.Load()+calls[1].calls.Load())
	}
	expect := func(what string, n int) {
		t.Helper()
		for range n {
			select {
			case r := <-results:
				if r.GetRefused() != reasonShardEvacuated {
					t.Errorf("%s: got %v, want a refusal with which it is made elsewhere", what, r)
				}
			case <-time.After(500 * time.Millisecond):
				t.Errorf("%s: a job waits", what)
			}
		}
	}
	evacuate(g, 2, "z")
	expect("queued jobs", 2)
	submit(100)
	expect("a new job", 1)
	close(hold) // the servers have not run the pieces
	expect("jobs that were not run", len(near))
}

// TestJobsMoveOutOfEvacuatedShard guards against requests that fail, or wait, since the shard
// that makes their pieces is evacuated while the pool has backend servers elsewhere.
func TestJobsMoveOutOfEvacuatedShard(t *testing.T) {
	var all []*backend
	var calls []*pieceServer
	for i := range 4 {
		p := newPieceServerOf(t, fmt.Sprint("prep", i))
		all, calls = append(all, p.backend, p.second), append(calls, p)
	}
	servers, _ := newScripted(t, 1, good)
	g, address := newTestGateway(t, append(all, servers...)...)
	moveTo(g, "far", all[4:]...)
	hold := make(chan struct{})
	for _, p := range calls[:2] {
		p.status = func(int64) int { <-hold; return http.StatusServiceUnavailable }
	}
	const requests = 6
	statuses := make(chan int, requests)
	for n := range requests {
		go func() {
			status, _, _ := call(t, address, "/chain/", fmt.Sprint(n), headerPieces, "4,0")
			statuses <- status
		}()
	}
	if !eventually(func() bool { return calls[0].calls.Load()+calls[1].calls.Load() > 0 }) {
		t.Fatal("no call in the zone")
	}
	evacuate(g, 2, "z")
	moveTo(g, "far", servers...)
	close(hold)
	for range requests {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
}

// TestMissedEvacuationEnds guards against servers that are taken for warm since the gateway
// learned of the beginning and the end of an evacuation at once, after an earlier one.
func TestMissedEvacuationEnds(t *testing.T) {
	servers, _ := newScripted(t, 1, good)
	g, _ := newTestGateway(t, servers...)
	g.mu.Lock()
	g.fleet.SetPools([]tanagerroad.CatalogPool{{Name: "p", ColdTime: time.Minute, ColdPerSecond: 10}})
	g.mu.Unlock()
	wall := g.config.Clock.Wall().UnixMilli()
	for i, c := range []struct {
		millis int64
		cold   bool
	}{{wall - 60_000, false}, {wall - 1000, true}} {
		g.applyUpdate("127.0.0.1:1", &wire.Update{EvacuationChanges: uint64(3 + 2*i), Evacuations: []*wire.Evacuation{{Zone: "z", Version: uint64(2 + 2*i), AtMillis: c.millis}}})
		if got := g.isLimited(servers[0].Listener.Addr().String()); got != c.cold {
			t.Errorf("update %d: cold is %t, want %t", i, got, c.cold)
		}
	}
}
