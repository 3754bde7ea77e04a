package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

const testTimeout = 60 * time.Second

// startCluster starts the demo's cluster with its configuration changed by change, if set.
func startCluster(t *testing.T, change func(*demo.Config)) (*demo.Cluster, context.Context) {
	t.Helper()
	config, err := demo.DefaultConfig(t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&config)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c, closeCluster, err := demo.Start(ctx, config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeCluster)
	return c, ctx
}

// call sends a request to the entry with this index and fails the test if no answer
// arrives.
func call(t *testing.T, ctx context.Context, c *demo.Cluster, entry int, r load.Request) load.Reply {
	t.Helper()
	r.Workspace = "demo"
	reply, err := load.Call(ctx, http.DefaultClient, c.EntryURLs[entry], r)
	if err != nil {
		t.Fatalf("%s: %v", r.Route, err)
	}
	return reply
}

// runCount returns how often the first stage of a request ran, over all stand-ins.
func runCount(c *demo.Cluster, id string) int {
	n := 0
	for _, s := range c.StandIns {
		n += s.RunCount(id, 0)
	}
	return n
}

func TestDemoAnswersAreCorrect(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	result, err := demo.Run(ctx, demo.Options{Duration: time.Second, Logger: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	if !result.Correct {
		t.Errorf("of %d answers only %d were correct: %v", result.Sent, result.Attained, result.Outcomes)
	}
}

// withRelays returns a change of the configuration that puts a relay in front of the
// peer address of every sidecar and appends it to relays.
func withRelays(t *testing.T, relays *[]*relay.Relay) func(*demo.Config) {
	return func(c *demo.Config) {
		c.AdjustSidecar = func(s *settings.Sidecar) {
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

// TestSilentConnections freezes every established connection between entries and
// sidecars while streams and bookings are in flight. Such a connection delivers no data
// and no error; new connections work. Every request must still be answered completely
// within its deadline, and each booking must run exactly once.
func TestSilentConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for timeouts of frozen connections")
	}
	var relays []*relay.Relay
	c, ctx := startCluster(t, func(config *demo.Config) {
		withRelays(t, &relays)(config)
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
		t.Fatal("no connection to freeze was found")
	}
	for range 9 {
		o := <-done
		if !o.reply.Verified {
			t.Errorf("%s %s was not answered completely: %+v", o.route, o.id, o.reply)
		}
		if n := runCount(c, o.id); o.route == "book" && n != 1 {
			t.Errorf("%s ran %d times, want 1", o.id, n)
		}
	}
}

// TestSilentControlConnections freezes every established connection to and between
// control instances. A change of the tables made afterwards must be in force in every
// process within 10 seconds, and bookings must still be answered.
func TestSilentControlConnections(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for timeouts of frozen connections")
	}
	var relays []*relay.Relay
	c, ctx := startCluster(t, func(config *demo.Config) {
		config.AdjustControl = func(s *settings.Control) {
			listen, err := demo.FreeAddresses(1)
			if err != nil {
				t.Fatal(err)
			}
			r, closeRelay, err := relay.New(s.Peer.Address, listen[0])
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(closeRelay)
			relays = append(relays, r)
			s.Peer.Advertise, s.Peer.Address = s.Peer.Address, listen[0]
		}
	})
	call(t, ctx, c, 0, load.Request{Route: "book", ID: "before", Body: []byte("x")})
	frozen := 0
	for _, r := range relays {
		frozen += r.Freeze()
	}
	if frozen == 0 {
		t.Fatal("no connection to freeze was found")
	}
	const bound = 10 * time.Second
	start := time.Now()
	revision := uint64(1)
	put := operator.TableChange{ChangeID: "thawed", Operator: "test", FromRevision: revision, Pools: demoPools(t)}
	for {
		reply, err := operator.PutTables(ctx, http.DefaultClient, c.ControlOperatorAddrs[0], "", put)
		if err == nil && reply.Outcome == "accepted" {
			break
		}
		if time.Since(start) > bound {
			t.Fatalf("no change was accepted within %s of the freeze: %+v, %v", bound, reply, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for {
		var status operator.TableStatus
		_, err := operator.Call(ctx, http.DefaultClient, http.MethodGet, c.ControlOperatorAddrs[0], "/tables/status", "", nil, &status)
		if err == nil && status.Revision == revision+1 && status.InForce == status.Processes && status.InForce >= 15 {
			break
		}
		if time.Since(start) > bound {
			t.Fatalf("the change was not in force everywhere within %s of the freeze: %+v, %v", bound, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("in force everywhere %s after the freeze", time.Since(start))
	if reply := call(t, ctx, c, 1, load.Request{Route: "book", ID: "after", Body: []byte("x")}); !reply.Verified {
		t.Errorf("booking after the freeze was not answered completely: %+v", reply)
	}
}

// demoPools returns the pools table of the demo.
func demoPools(t *testing.T) []byte {
	t.Helper()
	config, err := demo.DefaultConfig(t.TempDir(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return config.Pools
}

// TestBookingOnClosedConnectionRunsOnce has the backend server read a booking, count it
// as run and close the connection without an answer. The HTTP client and the sidecar
// must not send it again, and a resend by the caller must not run it either.
func TestBookingOnClosedConnectionRunsOnce(t *testing.T) {
	c, ctx := startCluster(t, nil)
	call(t, ctx, c, 0, load.Request{Route: "book", ID: "warm-up", Body: []byte("x")})
	reply := call(t, ctx, c, 0, load.Request{Route: "book", ID: "severed", Body: []byte(standin.FaultClose)})
	if reply.Kind != tanagerroad.AnswerUnknown {
		t.Errorf("the answer is %s, want unknown since the booking may have run", reply.Kind)
	}
	if n := runCount(c, "severed"); n != 1 {
		t.Errorf("the booking ran %d times, want 1", n)
	}
	resent := call(t, ctx, c, 1, load.Request{Route: "book", ID: "severed", Body: []byte(standin.FaultClose), Resend: true})
	if resent.Kind != tanagerroad.AnswerUnknown || runCount(c, "severed") != 1 {
		t.Errorf("the resend was answered with %s and the booking ran %d times, want unknown and 1", resent.Kind, runCount(c, "severed"))
	}
}

// TestBrokenStreamIsResumed breaks the engine's stream in the middle. It must be
// resumed at its offset, with no token lost or duplicated.
func TestBrokenStreamIsResumed(t *testing.T) {
	c, ctx := startCluster(t, func(config *demo.Config) {
		config.Routes = []byte(`{"routes": [{"name": "ask", "deadline": "4s", "stages": [{"name": "generate", "pool": "models", "stream": true}]}]}`)
	})
	body := []byte("tell me " + standin.FaultBreak)
	reply := call(t, ctx, c, 0, load.Request{Route: "ask", Body: body, Repeatable: true})
	want := standin.Answer(settings.StandInServer{Kind: table.ModelEngine, Tokens: 40}, body)
	if !reply.Verified || !bytes.Equal(reply.Body, want) {
		t.Errorf("got %+v, want %q", reply, want)
	}
}

// TestStopTimeoutAnswersUnknown stops an entry while a booking hangs. When the stop
// times out, the caller must be answered that the booking may have run.
func TestStopTimeoutAnswersUnknown(t *testing.T) {
	c, ctx := startCluster(t, func(config *demo.Config) {
		config.AdjustEntry = func(s *settings.Entry) { s.Stop.Timeout = tanagerroad.Duration(300 * time.Millisecond) }
	})
	got := make(chan load.Reply, 1)
	go func() {
		reply, err := load.Call(ctx, http.DefaultClient, c.EntryURLs[0], load.Request{
			Route: "book", Workspace: "demo", ID: "hangs", Body: []byte(standin.FaultHang),
		})
		if err != nil {
			t.Errorf("the call failed without an answer: %v", err)
		}
		got <- reply
	}()
	for runCount(c, "hangs") == 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	if unfinished := c.Entries[0].Stop(); unfinished != 1 {
		t.Errorf("Stop returned %d unfinished requests, want 1", unfinished)
	}
	if reply := <-got; reply.Kind != tanagerroad.AnswerUnknown {
		t.Errorf("the answer is %s, want unknown since the booking may have run", reply.Kind)
	}
}

// TestCrashingRequestIsQuarantined sends a request that crashes every backend server that
// runs it. It is run a second time on a server with no other call, and then must be refused
// at every entry, also under new request IDs, after at most three crashes. Other requests
// of the route must be served. An operator may lift the quarantine, which is not part of
// this test.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c, ctx := startCluster(t, nil)
	crasher := load.Request{Route: "history", Body: []byte("kills " + standin.FaultCrash), Repeatable: true}
	var last load.Reply
	for i := range 6 {
		crasher.ID = fmt.Sprintf("crasher-%d", i)
		last = call(t, ctx, c, i%3, crasher)
		if last.Kind == tanagerroad.AnswerComplete {
			t.Fatal("a request that crashes its server was answered")
		}
		awaitCrashReports(t, ctx, c)
	}
	if last.Kind != tanagerroad.AnswerNotRun || !strings.Contains(last.Reason, "quarantined") {
		t.Errorf("the sixth attempt was answered with %s (%s), want not-run and quarantined", last.Kind, last.Reason)
	}
	if n := crashCount(c); n > 3 {
		t.Errorf("it crashed %d backend servers before it was refused, want at most 3", n)
	}
	other := call(t, ctx, c, 1, load.Request{Route: "history", Body: []byte("harmless"), Repeatable: true})
	if !other.Verified {
		t.Errorf("another request of the route was not answered completely: %+v", other)
	}
}

// TestSharedPrefixKeepsCrashingServers guards against requests that crash every backend
// server because of how they begin, and of which no two are alike. They must be refused
// after at most eight crashes, and requests that begin otherwise must be served.
func TestSharedPrefixKeepsCrashingServers(t *testing.T) {
	c, ctx := startCluster(t, nil)
	prefix := standin.FaultCrash + strings.Repeat("a", 300)
	sound := load.Request{Route: "history", Body: []byte(strings.Repeat("b", 300)), Repeatable: true}
	var last load.Reply
	for i := range 12 {
		last = call(t, ctx, c, i%3, load.Request{ID: fmt.Sprintf("prefix-%d", i), Route: "history", Body: fmt.Appendf(nil, "%s %d", prefix, i), Repeatable: true})
		if last.Kind == tanagerroad.AnswerComplete {
			t.Fatal("a request that crashes its server was answered")
		}
		served := 0
		for end := time.Now().Add(5 * time.Second); served < 4 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if call(t, ctx, c, served%3, sound).Verified {
				served++
			}
		}
		if served < 4 {
			t.Fatalf("after %d requests that crash servers, and %d crashes: a request that begins otherwise is not served", i+1, crashCount(c))
		}
	}
	if last.Kind != tanagerroad.AnswerNotRun || !strings.Contains(last.Reason, "quarantined") {
		t.Errorf("the twelfth request was answered with %s (%s), want not-run and quarantined", last.Kind, last.Reason)
	}
	if n := crashCount(c); n > 8 {
		t.Errorf("they crashed %d backend servers, want at most 8", n)
	}
}

// TestCrashBehindAnswersIsNotHeldAgainstThem guards against requests that crash every
// backend server after a part of their answers, or all of it, because of how they begin or
// as a whole, and that are taken for sound since they were answered. Three may reach
// servers later than 3 s after the third crash, of different ones after the fifth.
func TestCrashBehindAnswersIsNotHeldAgainstThem(t *testing.T) {
	const contactTime, mostLate = 3 * time.Second, 3
	for what, c := range map[string]struct {
		route   string
		same    bool // one request, sent again with new ids
		crashes int  // from which on the time counts
	}{
		"a request, behind its whole answer":         {"history", true, 3},
		"a request, halfway through its stream":      {"assist", true, 3},
		"requests that begin alike, halfway through": {"assist", false, 5},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			cluster, ctx := startCluster(t, nil)
			body := standin.FaultMidway + strings.Repeat("a", 300)
			var countsFrom time.Time
			late := 0
			for i := range 16 {
				sent := time.Now()
				before := crashCount(cluster)
				request := load.Request{ID: fmt.Sprint("late-", i), Route: c.route, Body: []byte(body), Repeatable: true}
				if !c.same {
					request.Body = fmt.Append(request.Body, i)
				}
				call(t, ctx, cluster, i%3, request)
				time.Sleep(1500 * time.Millisecond) // the servers are back
				after := crashCount(cluster)
				if !countsFrom.IsZero() && sent.After(countsFrom) && after > before {
					late++
				}
				if countsFrom.IsZero() && after >= c.crashes {
					countsFrom = time.Now().Add(contactTime)
				}
			}
			if n := crashCount(cluster); n < 2 || late > mostLate {
				t.Errorf("%d requests reached servers later than %v after crash %d of %d, want at most %d", late, contactTime, c.crashes, n, mostLate)
			}
			if other := call(t, ctx, cluster, 1, load.Request{Route: c.route, Body: []byte(strings.Repeat("b", 300)), Repeatable: true}); !other.Verified {
				t.Errorf("another request of the route was not answered: %+v", other)
			}
		})
	}
}

// crashCount returns the number of crashes of all stand-ins.
func crashCount(c *demo.Cluster) int {
	n := 0
	for _, s := range c.StandIns {
		n += s.CrashCount()
	}
	return n
}

// awaitCrashReports waits until every crash is recorded in the control instances' quarantine
// list, and then 300 ms for the entries to receive the list.
func awaitCrashReports(t *testing.T, ctx context.Context, c *demo.Cluster) {
	t.Helper()
	reported := 0
	for reported < crashCount(c) {
		var list []struct{ Crashes int }
		if _, err := operator.Call(ctx, http.DefaultClient, http.MethodGet, c.ControlOperatorAddrs[0], "/quarantine", "", nil, &list); err != nil {
			t.Fatal(err)
		}
		reported = 0
		for _, record := range list {
			reported += record.Crashes
		}
	}
	time.Sleep(300 * time.Millisecond)
}

// TestServersGetMoreThanTheirLimit guards against a backend server that names in its
// answers how many calls a second it takes and gets more, through all entries. In any 4 s
// from 3 s after it first did so it may get one and a half times what that allows, and 5.
func TestServersGetMoreThanTheirLimit(t *testing.T) {
	const limit, window, contact = 2.0, 4 * time.Second, 3 * time.Second
	c, ctx := startCluster(t, func(config *demo.Config) {
		for i := range config.Backends {
			if config.Backends[i].Pool == "histories" || config.Backends[i].Pool == "models" {
				config.Backends[i].Limit = limit
			}
		}
	})
	var group sync.WaitGroup
	var served atomic.Int64
	start := time.Now()
	for i := 0; time.Since(start) < contact+2*window; i++ {
		group.Go(func() {
			route := []string{"history", "assist"}[i%2]
			if call(t, ctx, c, i%3, load.Request{Route: route, Body: fmt.Appendf(nil, "%d", i), Repeatable: true}).Kind == tanagerroad.AnswerComplete {
				served.Add(1)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	group.Wait()
	allowed := int(1.5*limit*window.Seconds()) + 5
	for i, s := range c.StandIns {
		if pool := c.StandIns[i].Pool(); pool != "histories" && pool != "models" {
			continue
		}
		arrivals := s.Arrivals()
		if len(arrivals) == 0 {
			t.Errorf("%s %d got no call", s.Pool(), i)
			continue
		}
		for n, from := range arrivals {
			last := n
			for last < len(arrivals) && arrivals[last].Sub(from) < window {
				last++
			}
			if from.Sub(arrivals[0]) >= contact && last-n > allowed {
				t.Errorf("%s %d named %g a second and got %d calls in 4 s, allowed %d", s.Pool(), i, limit, last-n, allowed)
				break
			}
		}
	}
	// Two servers of each pool; each request of both routes ends at one of them.
	if want := int64(limit * 2 * 2 * (2 * window).Seconds() / 2); served.Load() < want {
		t.Errorf("%d requests were served, want half of what the servers take or more, %d", served.Load(), want)
	}
}

// TestNoQuorumFailsFast closes two of three control instances. A booking must be refused
// as not run within 2 s and without having run, a resend of it must be answered as
// unknown, and repeatable requests must be served as before.
func TestNoQuorumFailsFast(t *testing.T) {
	c, ctx := startCluster(t, nil)
	c.Controls[0].Close()
	c.Controls[1].Close()
	start := time.Now()
	reply := call(t, ctx, c, 0, load.Request{Route: "book", ID: "no-quorum", Body: []byte("x")})
	if reply.Kind != tanagerroad.AnswerNotRun || reply.RetryAfter <= 0 || runCount(c, "no-quorum") != 0 {
		t.Errorf("got %+v after %d runs, want not-run with a retry time after 0 runs", reply, runCount(c, "no-quorum"))
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("the refusal took %s, want at most 2s", elapsed)
	}
	resent := call(t, ctx, c, 1, load.Request{Route: "book", ID: "no-quorum", Body: []byte("x"), Resend: true})
	if resent.Kind != tanagerroad.AnswerUnknown {
		t.Errorf("the resend was answered with %s, want unknown", resent.Kind)
	}
	for range 5 {
		if served := call(t, ctx, c, 2, load.Request{Route: "history", Body: []byte("y"), Repeatable: true}); !served.Verified {
			t.Errorf("a repeatable request during the outage was not answered completely: %+v", served)
		}
		time.Sleep(time.Second) // 5 s in all outlast the leases: expired leases must not empty the directories
	}
}
