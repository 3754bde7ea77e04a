package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/origin"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// originControl is a control instance that holds origins, while it has a quorum.
type originControl struct {
	wire.UnimplementedControlServer
	quorum atomic.Bool
	mu     sync.Mutex
	ledger *origin.Ledger
}

// software returns the version at which the stream of an attempt began.
func (c *originControl) software(attempt string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Software("p", origin.Stream(attempt))
}

func (c *originControl) Propose(_ context.Context, command *wire.Command) (*wire.Outcome, error) {
	if !c.quorum.Load() {
		return &wire.Outcome{Kind: registry.NoQuorum}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := command.GetRecordOrigins(); record != nil {
		c.ledger.Record(0, record.GetOrigins())
	}
	return &wire.Outcome{Kind: registry.Accepted}, nil
}

func (c *originControl) Read(_ context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	if !c.quorum.Load() {
		return &wire.ReadReply{Kind: registry.NoQuorum}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.ReadReply{Kind: "ok", Software: c.ledger.Software(request.GetPool(), request.GetStream())}, nil
}

// newVersionedGateway returns a gateway with a backend server of each of the software
// versions, whose streams name it, and v1 as the base version.
func newVersionedGateway(t *testing.T, versions ...string) (*originControl, *Gateway, string) {
	t.Helper()
	control := &originControl{ledger: origin.New()}
	control.ledger.ChangeBase("p", "", "v1")
	controlAddress, _ := newPeer(t, func(s *grpc.Server) { wire.RegisterControlServer(s, control) })
	var servers []*backend
	for i, version := range versions {
		servers = append(servers, newBackend(t, fmt.Sprint("s", i), func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", version)
			switch r.URL.Path {
			case "/stream/broken":
				_ = http.NewResponseController(w).Flush()
				lost(w, r)
			case "/stream/long":
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}
		}))
	}
	g, address := newTestGateway(t, servers...)
	g.SetControlAddresses([]string{controlAddress})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bases = map[string]string{"p": "v1"}
	for i, b := range servers {
		g.roster.Apply(g.now(), "c", tanagerroad.Announcement{
			ID: b.id, Pool: "p", Address: b.Listener.Addr().String(), Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 2, StartMillis: 1000, Software: versions[i],
		})
	}
	g.applyRoster(g.now())
	return control, g, address
}

// TestFirstEventOutrunsItsRecord guards against a stream whose first event the caller has
// before the software version at which it begins is recorded.
func TestFirstEventOutrunsItsRecord(t *testing.T) {
	control, _, address := newVersionedGateway(t, "v2", "v3")
	if code, body, _ := call(t, address, "/stream/1", "a", headerLeft, "300"); code == http.StatusOK {
		t.Errorf("without a quorum: got %d %q, want no event", code, body)
	}
	time.AfterFunc(300*time.Millisecond, func() { control.quorum.Store(true) })
	started := time.Now()
	code, body, err := call(t, address, "/stream/1", "b")
	if took := time.Since(started); code != http.StatusOK || err != nil || took < 250*time.Millisecond {
		t.Fatalf("with a quorum from 300 ms on: got %d %q (error %v) after %v, want the stream after that", code, body, err, took)
	}
	if got := control.software("b"); body != "id: 1\ndata: "+got+"\n\n" {
		t.Errorf("got %q, recorded is %s", body, got)
	}
}

// TestStreamsWaitForRecordsInVain guards against streams that wait for a quorum although
// they may begin at the base version, or at the only one, and against those that do not.
func TestStreamsWaitForRecordsInVain(t *testing.T) {
	for what, versions := range map[string][]string{"base version": {"v1", "v2"}, "one version": {"v2", "v2"}} {
		_, g, address := newVersionedGateway(t, versions...)
		g.origins.add(g.now()-time.Second, &wire.Origin{Stream: 1, Pool: "p", Software: "v2"}) // has waited for a second
		for i := range 8 {
			code, body, err := call(t, address, "/stream/1", fmt.Sprint("c", i))
			if code != http.StatusOK || err != nil || body != "id: 1\ndata: "+versions[0]+"\n\n" {
				t.Errorf("%s: got %d %q (error %v), want a stream of %s", what, code, body, err, versions[0])
			}
		}
	}
}

// addHolder has a gateway know two others: one that cannot be reached, and one that records
// origins at the control instance that is returned. stop makes that one silent.
func addHolder(t *testing.T, g *Gateway) (control *originControl, stop func()) {
	t.Helper()
	control = &originControl{ledger: origin.New()}
	control.ledger.ChangeBase("p", "", "v1")
	controlAddress, _ := newPeer(t, func(s *grpc.Server) { wire.RegisterControlServer(s, control) })
	var service lateService
	address, _ := newPeer(t, func(s *grpc.Server) { wire.RegisterGatewayServer(s, &service) })
	holder, _ := newGatewayAt(t, address, zap.NewNop())
	holder.SetControlAddresses([]string{controlAddress})
	service.gateway.Store(holder)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gateways = []tanagerroad.Gateway{g.self(), {Address: "127.0.0.1:2", Zone: "z"}, {Address: address, Zone: "other"}}
	return control, func() { service.gateway.Store(nil) }
}

// TestOriginIsLostWithItsGateway guards against a stream that begins without a quorum, at a
// version that is not the base version, and whose version is lost with the gateway.
func TestOriginIsLostWithItsGateway(t *testing.T) {
	_, g, address := newVersionedGateway(t, "v2", "v2")
	control, stop := addHolder(t, g)
	control.quorum.Store(true)
	for i := range 8 {
		id := fmt.Sprint("c", i)
		code, body, err := call(t, address, "/stream/1", id)
		if code != http.StatusOK || err != nil || body != "id: 1\ndata: v2\n\n" {
			t.Errorf("without a quorum: got %d %q (error %v), want a stream of v2", code, body, err)
		}
		if !eventually(func() bool { return control.software(id) == "v2" }) {
			t.Errorf("%s began at %q by what others recorded, want v2", id, control.software(id))
		}
	}
	stop()
	if code, body, _ := call(t, address, "/stream/1", "d", headerLeft, "900"); code == http.StatusOK {
		t.Errorf("without a quorum and another gateway: got %d %q, want no event", code, body)
	}
}

// TestTakenUpStreamIsOfUnknownVersion guards against a stream that is taken up without its
// version being known, and against one that is refused although it is.
func TestTakenUpStreamIsOfUnknownVersion(t *testing.T) {
	for _, c := range []struct {
		what     string
		quorum   bool
		versions []string
		begunBy  string
		want     string // version of the events; empty: refused
	}{
		{"recorded", true, []string{"v1", "v2", "v3"}, "known", "v2"},
		{"not recorded", true, []string{"v2", "v1", "v3"}, "unknown", "v1"},
		{"no server of its version", true, []string{"v1", "v3"}, "known", ""},
		{"a gateway that has not heard of servers of its version", true, []string{"v1", "v1"}, "known", ""},
		{"a gateway that has not heard of servers of the base version", true, []string{"v2", "v2"}, "unknown", ""},
		{"no quorum", false, []string{"v1", "v2"}, "known", ""},
		{"nothing names it", true, []string{"v1", "v2"}, "", ""},
		{"nothing names it, and there is one version", true, []string{"v2", "v2"}, "", "v2"},
	} {
		control, _, address := newVersionedGateway(t, c.versions...)
		control.quorum.Store(c.quorum)
		control.ledger.Record(0, []*wire.Origin{{Stream: origin.Stream("known"), Pool: "p", Software: "v2", KeepMillis: 9000}})
		for i := range 6 {
			code, body, _ := call(t, address, "/stream/1", fmt.Sprint("d", i), headerLast, "0", headerBegunBy, c.begunBy, headerLeft, "400")
			if c.want == "" && code != http.StatusServiceUnavailable || c.want != "" && body != "id: 1\ndata: "+c.want+"\n\n" {
				t.Errorf("%s: got %d %q, want events of %q, or 503 if that is empty", c.what, code, body, c.want)
			}
		}
	}
}

// TestTakenUpStreamGoesOnAtRestartedServer guards against a stream that is taken up at a
// backend server whose connections have ended, so that it may have started again with another
// software version, before that start is announced; and against streams that are refused
// although the server has not ended, or has announced itself again.
func TestTakenUpStreamGoesOnAtRestartedServer(t *testing.T) {
	for _, c := range []struct {
		what             string
		broken           int  // streams of the server that end with their connections
		other, announced bool // another stream of it goes on; it announces a new start
		want             string
	}{
		{"nothing has ended", 0, false, false, "v1"},
		{"a connection has ended", 1, false, false, ""},
		{"one of two connections has ended", 1, true, false, "v1"},
		{"it has announced itself again", 1, false, true, "v1"},
	} {
		control, g, address := newVersionedGateway(t, "v1", "v2", "v2")
		control.quorum.Store(true)
		takeUp := func(path, attempt string) (int, string, error) {
			return call(t, address, path, attempt, headerLast, "0", headerBegunBy, "unknown", headerLeft, "3000")
		}
		if c.other {
			go func() { _, _, _ = takeUp("/stream/long", "long") }()
			if !eventually(func() bool { return g.InFlight() == 1 }) {
				t.Fatal("the long stream does not begin")
			}
			time.Sleep(50 * time.Millisecond) // until its connection is open
		}
		for range c.broken {
			_, _, _ = takeUp("/stream/broken", "broken")
		}
		if c.announced {
			next := firstServer(g, "p")
			next.StartMillis = 2000
			g.mu.Lock()
			g.roster.Apply(g.now(), "c", next)
			g.applyRoster(g.now())
			g.mu.Unlock()
		}
		code, body, err := takeUp("/stream/1", "again")
		if ok := code == http.StatusOK && body == "id: 1\ndata: "+c.want+"\n\n"; ok != (c.want != "") || !ok && code != http.StatusServiceUnavailable {
			t.Errorf("%s: got %d %q (error %v), want events of %q, or 503 if that is empty", c.what, code, body, err, c.want)
		}
	}
}

// TestTakenUpStreamChangesItsPool guards against a stream of a route over two pools that its
// caller takes up with a new attempt id, and that then goes on in the other pool.
func TestTakenUpStreamChangesItsPool(t *testing.T) {
	answer := func(pool string) *backend {
		return newBackend(t, pool+"1", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", pool) })
	}
	_, address := newTestGateway(t, answer("s"), answer("last"))
	_, want, _ := call(t, address, "/split/1", "began")
	for i := range 12 {
		if _, got, _ := call(t, address, "/split/1", fmt.Sprint("e", i), headerLast, "0", headerBegunBy, "began"); got != want {
			t.Fatalf("got %q, began as %q", got, want)
		}
	}
}
