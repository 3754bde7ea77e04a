package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/region"
	"tanagerroad/core/shard"
	"tanagerroad/core/wire"
)

// TestRefusedJobsKeepOwnerWaiting guards against an owner that is taken for lost since jobs
// that it has refused, or whose pieces have failed, count as pending.
func TestRefusedJobsKeepOwnerWaiting(t *testing.T) {
	gone := `[{"Reason":"` + tanagerroad.PieceInputGone + `"},{"Reason":"` + tanagerroad.PieceInputGone + `"}]`
	p := newPieceServer(t)
	p.outcome = func(call int64) *string {
		if call <= 3 { // the first run and both restarts
			return &gone
		}
		return nil
	}
	servers, _ := newScripted(t, 1, useResults(p))
	_, asking, address, _, _ := newOwner(t, append(servers, p.backend)...)
	if status, body, err := call(t, address, "/staged/", "a", headerPieces, "2"); status != http.StatusServiceUnavailable {
		t.Errorf("inputs that are gone each time: got %d %q (%v), want 503", status, body, err)
	}
	if status, body, err := call(t, address, "/staged/", "b", headerPieces, "2", headerLeft, "31"); status != http.StatusServiceUnavailable {
		t.Errorf("without time: got %d %q (%v), want 503", status, body, err)
	}
	time.Sleep(ownerTimeout + heartbeatInterval)
	if status, body, err := call(t, address, "/staged/", "c", headerPieces, "2"); status != http.StatusOK || body != wholeStream {
		t.Errorf("got %d %q (%v), want the whole stream", status, body, err)
	}
	asking.owners.mu.Lock()
	defer asking.owners.mu.Unlock()
	if len(asking.owners.streams) != 1 {
		t.Errorf("%d streams to owners, want the first one", len(asking.owners.streams))
	}
	for _, stream := range asking.owners.streams {
		if len(stream.pending) > 0 {
			t.Errorf("%d jobs are still pending", len(stream.pending))
		}
	}
}

// TestLaterStagesFindNoServers guards against pools of later stages that are known from an
// admission and get no backend servers.
func TestLaterStagesFindNoServers(t *testing.T) {
	p, last := newPieceServer(t), newPieceServerOf(t, "last")
	g, _ := newTestGateway(t, p.backend, last.backend)
	results := make(chan *wire.PieceResult, 2)
	submit := func(number uint64, pool string, admission *wire.Admission) {
		g.batcher("").submit("a", &wire.PieceJob{
			Number: number, Request: "r", Pool: pool, Pieces: []uint32{0}, LeftMillis: 1000, SlackMillis: 1000, Admission: admission,
		}, func(r *wire.PieceResult) { results <- r })
		select {
		case r := <-results:
			if len(r.GetPieces()) != 1 || r.GetPieces()[0].GetHandle() == "" {
				t.Errorf("pool %s: got %v, want a result", pool, r)
			}
		case <-time.After(time.Second):
			t.Fatalf("pool %s: no result", pool)
		}
	}
	submit(1, "prep", &wire.Admission{LeftMillis: 1000, SlackMillis: 1000, Chain: []string{"prep", "last"}, Demands: []*wire.Demand{{Pool: "last", Pieces: 1}}})
	submit(2, "last", nil)
}

// TestIdleOwnersAreAsked guards against heartbeats to gateways that have no jobs at an
// owner: their number would grow with the deployment.
func TestIdleOwnersAreAsked(t *testing.T) {
	p := newPieceServer(t)
	servers, _ := newScripted(t, 2, useResults(p))
	_, asking, address, _, _ := newOwner(t, append(servers, p.backend)...)
	progress := func() time.Duration {
		asking.owners.mu.Lock()
		defer asking.owners.mu.Unlock()
		for _, stream := range asking.owners.streams {
			return stream.progressAt
		}
		return 0
	}
	for i := range 2 {
		if status, _, err := call(t, address, "/staged/", fmt.Sprint(i), headerPieces, "2"); status != http.StatusOK {
			t.Fatalf("request %d: %d (%v)", i, status, err)
		}
		time.Sleep(heartbeatInterval) // the last heartbeat that the jobs cause
		before := progress()
		time.Sleep(ownerTimeout + heartbeatInterval)
		if after := progress(); after != before {
			t.Errorf("request %d: a message came %v after the last one though there were no jobs", i, after-before)
		}
	}
}

// TestRefusedWhileOtherShardsAreIdle guards against a request that is refused, since its
// shard is busy, while another one could serve it.
func TestRefusedWhileOtherShardsAreIdle(t *testing.T) {
	var all []*backend
	servers := map[string]*pieceServer{}
	for i := range 8 {
		p := newPieceServerOf(t, fmt.Sprint("prep", i))
		servers[p.id] = p
		all = append(all, p.backend)
	}
	g, _ := newTestGateway(t, all...)
	g.mu.Lock()
	g.regions["y"] = "r"
	for i, b := range all {
		zone := "z"
		if i >= 4 {
			zone = "y"
		}
		g.roster.Apply(g.now(), "c", tanagerroad.Announcement{
			ID: b.id, Pool: "prep", Address: b.Listener.Addr().String(), Zone: zone, Slots: 4, State: tanagerroad.Serving, Sequence: 2, StartMillis: 1000,
		})
	}
	g.applyRoster(g.now())
	g.mu.Unlock()
	own := g.owners.plan().Shard("prep", shard.Anchor{Zone: "z"}, region.Set{})
	other := g.owners.plan().Shard("prep", shard.Anchor{Zone: "y"}, region.Set{})
	if own == other {
		t.Fatalf("one shard %q, want one for each zone", own)
	}
	g.owners.recordWait(own, time.Second)
	if anchor, ok := g.owners.chooseShard("r", "prep", "z", []string{own}, region.Set{}); !ok || g.owners.plan().Shard("prep", anchor, region.Set{}) != other {
		t.Errorf("refused by %q: chose %+v (%t), want %q", own, anchor, ok, other)
	}
	g.owners.recordWait(other, 2*time.Second)
	if anchor, ok := g.owners.chooseShard("r", "prep", "z", []string{own}, region.Set{}); ok {
		t.Errorf("refused by %q while %q has a longer queue: chose %+v, want none", own, other, anchor)
	}
}

// TestSecondAnswerIsTakenForNextCall guards against a second copy of an answer that comes
// when the next call is sent, and that is taken for the answer to it.
func TestSecondAnswerIsTakenForNextCall(t *testing.T) {
	p := newPieceServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go repeatAnswers(listener, p.Listener.Addr().String())
	g, _ := newTestGateway(t, p.backend)
	g.mu.Lock()
	g.roster.Apply(g.now(), "c", tanagerroad.Announcement{
		ID: p.id, Pool: "prep", Address: listener.Addr().String(), Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 1, StartMillis: 2000,
	})
	g.applyRoster(g.now())
	g.mu.Unlock()
	made := map[string]string{} // request by handle
	for i := range 4 {
		request := fmt.Sprint("r", i)
		results := make(chan *wire.PieceResult, 1)
		g.batcher("").submit("a", &wire.PieceJob{
			Number: uint64(i + 1), Request: request, Pool: "prep", Pieces: []uint32{0}, LeftMillis: 3000, SlackMillis: 3000,
		}, func(r *wire.PieceResult) { results <- r })
		r := <-results
		if len(r.GetPieces()) != 1 {
			t.Fatalf("%s: %v", request, r)
		}
		handle := r.GetPieces()[0].GetHandle()
		if other, ok := made[handle]; ok {
			t.Errorf("%s was given the result %s of %s", request, handle, other)
		}
		made[handle] = request
	}
}

// TestRefusedCallIsTakenForNextCall guards against a second copy of a refusal that is taken
// for the answer to the next call, whose pieces are then made twice.
func TestRefusedCallIsTakenForNextCall(t *testing.T) {
	p := newPieceServer(t)
	p.status = func(call int64) int {
		if call == 1 {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go repeatAnswers(listener, p.Listener.Addr().String())
	g, _ := newTestGateway(t, p.backend)
	g.mu.Lock()
	g.roster.Apply(g.now(), "c", tanagerroad.Announcement{
		ID: p.id, Pool: "prep", Address: listener.Addr().String(), Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 1, StartMillis: 2000,
	})
	g.applyRoster(g.now())
	g.mu.Unlock()
	results := make(chan *wire.PieceResult, 1)
	g.batcher("").submit("a", &wire.PieceJob{
		Number: 1, Request: "r", Pool: "prep", Pieces: []uint32{0}, LeftMillis: 3000, SlackMillis: 3000,
	}, func(r *wire.PieceResult) { results <- r })
	if r := <-results; len(r.GetPieces()) != 1 || r.GetPieces()[0].GetHandle() == "" || p.calls.Load() != 2 {
		t.Errorf("got %v after %d calls, want a result of the second one", r, p.calls.Load())
	}
}

// TestOddHandleIsPassedOn guards against a handle that other gateways or the header of a
// request cannot carry, or that they take for two.
func TestOddHandleIsPassedOn(t *testing.T) {
	for what, odd := range map[string]string{
		"a comma": "a:1/x,b:1/y", "a line end": "a:1/x\nEvil: 1", "a space": "a:1/x y", "long": strings.Repeat("x", 1<<20), "no ASCII": "a:1/é",
	} {
		p := newPieceServer(t)
		p.outcome = func(call int64) *string {
			if call > 1 {
				return nil
			}
			text, err := json.Marshal([]tanagerroad.PieceOutcome{{Handle: odd}})
			if err != nil {
				t.Error(err)
			}
			return new(string(text))
		}
		g, _ := newTestGateway(t, p.backend, p.second)
		results := make(chan *wire.PieceResult, 1)
		g.batcher("").submit("a", &wire.PieceJob{
			Number: 1, Request: "r", Pool: "prep", Pieces: []uint32{0}, LeftMillis: 3000, SlackMillis: 3000,
		}, func(r *wire.PieceResult) { results <- r })
		r := <-results
		if len(r.GetPieces()) != 1 || !strings.Contains(r.GetPieces()[0].GetHandle(), "2-r-0-0") {
			t.Errorf("%s: got %.200v, want the result of the second call", what, r)
		}
	}
}

// repeatAnswers passes connections on to a server and sends the answer to each request
// again when the next one arrives.
func repeatAnswers(listener net.Listener, server string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			defer func() { _ = conn.Close() }()
			var last []byte
			for requests := bufio.NewReader(conn); ; {
				request, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				request.URL.Scheme, request.URL.Host, request.RequestURI = "http", server, ""
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					return
				}
				answer, err := httputil.DumpResponse(response, true)
				if err != nil {
					return
				}
				if _, err := conn.Write(append(last, answer...)); err != nil {
					return
				}
				last = answer
			}
		}()
	}
}
