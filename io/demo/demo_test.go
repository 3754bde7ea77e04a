package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/io/demo"
	"tanagerroad/io/load"
	"tanagerroad/io/operator"
	"tanagerroad/io/relay"
	"tanagerroad/io/standin"
)

const testTime = 60 * time.Second

// cluster starts the demo's layout, changed as a test needs it.
func cluster(t *testing.T, change func(*demo.Config)) (*demo.Cluster, context.Context) {
	t.Helper()
	layout, err := demo.Layout(t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&layout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	t.Cleanup(cancel)
	c, closeCluster, err := demo.Start(ctx, layout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeCluster)
	return c, ctx
}

func call(t *testing.T, ctx context.Context, c *demo.Cluster, entry int, r load.Request) load.Reply {
	t.Helper()
	r.Workspace = "demo"
	reply, err := load.Call(ctx, http.DefaultClient, c.EntryURLs[entry], r)
	if err != nil {
		t.Fatalf("%s: %v", r.Route, err)
	}
	return reply
}

// runs is how often a request's first stage ran, at all stand-ins.
func runs(c *demo.Cluster, id string) int {
	n := 0
	for _, s := range c.StandIns {
		n += s.RunCount(id, 0)
	}
	return n
}

func TestDemoAnswersAreRight(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	defer cancel()
	result, err := demo.Run(ctx, demo.Options{For: time.Second, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	if !result.Right {
		t.Errorf("of %d answers %d were right: %v", result.Sent, result.Attained, result.Outcomes)
	}
}

// relayed puts a relay before every sidecar that a pool's filter names.
func relayed(t *testing.T, relays *[]*relay.Relay) func(*demo.Config) {
	return func(c *demo.Config) {
		c.Sidecar = func(s *settings.Sidecar) {
			r, closeRelay, err := relay.New("127.0.0.1:0", s.Peer.Address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(closeRelay)
			*relays = append(*relays, r)
			s.Peer.Advertise = r.Address
		}
	}
}

// TestSilentConnections freezes every established connection between entries
// and sidecars while streams and bookings are under way. New connections work;
// every answer still comes whole and inside its deadline.
func TestSilentConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for silence")
	}
	var relays []*relay.Relay
	c, ctx := cluster(t, func(config *demo.Config) {
		relayed(t, &relays)(config)
		for i := range config.Backends {
			config.Backends[i].Time = tanagerroad.Duration(300 * time.Millisecond)
		}
	})
	type outcome struct {
		reply load.Reply
		route string
		id    string
	}
	done := make(chan outcome)
	routes := []string{"assist", "history", "book"}
	for i := range 9 {
		route, id := routes[i%3], fmt.Sprintf("silent-%d", i)
		go func() {
			reply, err := load.Call(ctx, http.DefaultClient, c.EntryURLs[i%3], load.Request{
				Route: route, Workspace: "demo", ID: id, Body: []byte("hello"), Repeatable: route != "book",
			})
			if err != nil {
				t.Errorf("%s: %v", id, err)
			}
			done <- outcome{reply, route, id}
		}()
	}
	time.Sleep(150 * time.Millisecond)
	frozen := 0
	for _, r := range relays {
		frozen += r.Freeze()
	}
	if frozen == 0 {
		t.Fatal("no connection was there to be frozen")
	}
	for range 9 {
		o := <-done
		if !o.reply.Verified {
			t.Errorf("%s %s: %+v", o.route, o.id, o.reply)
		}
		if n := runs(c, o.id); o.route == "book" && n != 1 {
			t.Errorf("%s ran %d times", o.id, n)
		}
	}
}

// TestSilentControlConnections freezes every established connection to and
// between control instances. A change made then is in force everywhere within
// seconds, and bookings go on.
func TestSilentControlConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for silence")
	}
	var relays []*relay.Relay
	c, ctx := cluster(t, func(config *demo.Config) {
		config.Control = func(s *settings.Control) {
			behind, err := demo.Free(1)
			if err != nil {
				t.Fatal(err)
			}
			r, closeRelay, err := relay.New(s.Peer.Address, behind[0])
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(closeRelay)
			relays = append(relays, r)
			s.Peer.Advertise, s.Peer.Address = s.Peer.Address, behind[0]
		}
	})
	call(t, ctx, c, 0, load.Request{Route: "book", ID: "before", Body: []byte("x")})
	frozen := 0
	for _, r := range relays {
		frozen += r.Freeze()
	}
	if frozen == 0 {
		t.Fatal("no connection was there to be frozen")
	}
	const bound = 10 * time.Second
	start := time.Now()
	revision := uint64(1)
	put := operator.TableChange{ChangeID: "thawed", Operator: "test", FromRevision: revision, Pools: demoPools(t)}
	for {
		reply, err := operator.PutTables(ctx, http.DefaultClient, c.ControlOps[0], "", put)
		if err == nil && reply.Outcome == "accepted" {
			break
		}
		if time.Since(start) > bound {
			t.Fatalf("no change is accepted %s after the freeze: %+v, %v", bound, reply, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for {
		var status operator.TableStatus
		_, err := operator.Call(ctx, http.DefaultClient, http.MethodGet, c.ControlOps[0], "/tables/status", "", nil, &status)
		if err == nil && status.Revision == revision+1 && status.InForce == status.Processes && status.InForce >= 15 {
			break
		}
		if time.Since(start) > bound {
			t.Fatalf("%s after the freeze: %+v, %v", bound, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("in force everywhere %s after the freeze", time.Since(start))
	if reply := call(t, ctx, c, 1, load.Request{Route: "book", ID: "after", Body: []byte("x")}); !reply.Verified {
		t.Errorf("a booking afterwards: %+v", reply)
	}
}

// demoPools is the demo's pools table, as a change of its own.
func demoPools(t *testing.T) []byte {
	t.Helper()
	layout, err := demo.Layout(t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return layout.Pools
}

// TestBookingOnADeadConnectionRunsOnce: the backend server reads the request,
// counts it and closes the connection. Nobody sends it again by itself.
func TestBookingOnADeadConnectionRunsOnce(t *testing.T) {
	c, ctx := cluster(t, nil)
	call(t, ctx, c, 0, load.Request{Route: "book", ID: "warm-up", Body: []byte("x")})
	reply := call(t, ctx, c, 0, load.Request{Route: "book", ID: "severed", Body: []byte(standin.FaultClose)})
	if reply.Kind != tanagerroad.AnswerUnknown {
		t.Errorf("the answer is %s, want unknown: it may have run", reply.Kind)
	}
	if n := runs(c, "severed"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
	again := call(t, ctx, c, 1, load.Request{Route: "book", ID: "severed", Body: []byte(standin.FaultClose), Resend: true})
	if again.Kind != tanagerroad.AnswerUnknown || runs(c, "severed") != 1 {
		t.Errorf("a resend is %s and it ran %d times by now", again.Kind, runs(c, "severed"))
	}
}

// TestBrokenStreamIsResumed: the engine's stream breaks in the middle and goes
// on from its offset; no token is lost or doubled.
func TestBrokenStreamIsResumed(t *testing.T) {
	c, ctx := cluster(t, func(config *demo.Config) {
		config.Routes = []byte(`{"routes": [{"name": "ask", "deadline": "4s", "stages": [{"name": "generate", "pool": "models", "stream": true}]}]}`)
	})
	body := []byte("tell me " + standin.FaultBreak)
	reply := call(t, ctx, c, 0, load.Request{Route: "ask", Body: body, Repeatable: true})
	want := standin.Answer(settings.StandInServer{Kind: table.ModelEngine, Tokens: 40}, body)
	if !reply.Verified || !bytes.Equal(reply.Body, want) {
		t.Errorf("got %+v, want %q", reply, want)
	}
}

// TestWhatIsLeftAtTheBoundIsAnsweredTruthfully: an entry stops while a booking
// hangs; at the stop's bound its caller learns that it may have run.
func TestWhatIsLeftAtTheBoundIsAnsweredTruthfully(t *testing.T) {
	c, ctx := cluster(t, func(config *demo.Config) {
		config.Entry = func(s *settings.Entry) { s.Stop.Timeout = tanagerroad.Duration(300 * time.Millisecond) }
	})
	got := make(chan load.Reply, 1)
	go func() {
		reply, err := load.Call(ctx, http.DefaultClient, c.EntryURLs[0], load.Request{
			Route: "book", Workspace: "demo", ID: "hangs", Body: []byte(standin.FaultHang),
		})
		if err != nil {
			t.Errorf("the caller was cut off: %v", err)
		}
		got <- reply
	}()
	for runs(c, "hangs") == 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	if left := c.Entries[0].Stop(); left != 1 {
		t.Errorf("the stop says that %d were left, want 1", left)
	}
	if reply := <-got; reply.Kind != tanagerroad.AnswerUnknown {
		t.Errorf("the caller was told %s, want unknown: it may run", reply.Kind)
	}
}

// TestRequestThatKills: a request that crashes each backend server that runs it
// is run a second time alone and then refused everywhere, also under new ids
// and at other entries; others are served, and an operator may lift it.
func TestRequestThatKills(t *testing.T) {
	c, ctx := cluster(t, nil)
	killer := load.Request{Route: "history", Body: []byte("kills " + standin.FaultCrash), Repeatable: true}
	var last load.Reply
	for i := range 6 {
		killer.ID = fmt.Sprintf("killer-%d", i)
		last = call(t, ctx, c, i%3, killer)
		if last.Kind == tanagerroad.AnswerComplete {
			t.Fatal("a request that kills was answered")
		}
		awaitReports(t, ctx, c)
	}
	if last.Kind != tanagerroad.AnswerNotRun || !strings.Contains(last.Reason, "quarantined") {
		t.Errorf("the sixth sending is %s (%s), want it refused as quarantined", last.Kind, last.Reason)
	}
	if n := crashes(c); n > 3 {
		t.Errorf("it killed %d backend servers before it was refused", n)
	}
	innocent := call(t, ctx, c, 1, load.Request{Route: "history", Body: []byte("harmless"), Repeatable: true})
	if !innocent.Verified {
		t.Errorf("another request of the route is %+v", innocent)
	}
}

func crashes(c *demo.Cluster) int {
	n := 0
	for _, s := range c.StandIns {
		n += s.CrashCount()
	}
	return n
}

// awaitReports waits until the quorum knows of every crash, and entries have had
// the time of a watch to hear of it.
func awaitReports(t *testing.T, ctx context.Context, c *demo.Cluster) {
	t.Helper()
	known := 0
	for known < crashes(c) {
		var list []struct{ Crashes int }
		if _, err := operator.Call(ctx, http.DefaultClient, http.MethodGet, c.ControlOps[0], "/quarantine", "", nil, &list); err != nil {
			t.Fatal(err)
		}
		known = 0
		for _, conviction := range list {
			known += conviction.Crashes
		}
	}
	time.Sleep(300 * time.Millisecond)
}

// TestNoQuorumIsSaidAtOnce: without a quorum a booking is refused as not run,
// a resend of one is unknown, and other routes are served as before.
func TestNoQuorumIsSaidAtOnce(t *testing.T) {
	c, ctx := cluster(t, nil)
	c.Controls[0].Close()
	c.Controls[1].Close()
	start := time.Now()
	reply := call(t, ctx, c, 0, load.Request{Route: "book", ID: "no-quorum", Body: []byte("x")})
	if reply.Kind != tanagerroad.AnswerNotRun || reply.RetryAfter <= 0 || runs(c, "no-quorum") != 0 {
		t.Errorf("got %+v after %d runs", reply, runs(c, "no-quorum"))
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("it took %s to say so", took)
	}
	again := call(t, ctx, c, 1, load.Request{Route: "book", ID: "no-quorum", Body: []byte("x"), Resend: true})
	if again.Kind != tanagerroad.AnswerUnknown {
		t.Errorf("a resend is %s, want unknown", again.Kind)
	}
	for range 5 {
		if served := call(t, ctx, c, 2, load.Request{Route: "history", Body: []byte("y"), Repeatable: true}); !served.Verified {
			t.Errorf("a repeatable request during the outage: %+v", served)
		}
		time.Sleep(time.Second) // beyond the leases: the outage empties no directory
	}
}
