package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/catalog"
	"tanagerroad/core/wire"
)

const (
	// slowCall is longer than a backend server gets no calls after it has failed one.
	slowCall = 800 * time.Millisecond
	// slowFree is longer than a call takes to follow the copy that a free call got.
	slowFree = 300 * time.Millisecond
)

// exchangeSeen is a request and its answer, as a backend server has them on a connection.
type exchangeSeen struct {
	path   string
	answer []byte
}

// serveCopies passes connections on to a server. When a request has arrived it sends what
// late returns for it, if anything, before the request's own answer.
func serveCopies(t *testing.T, server string, late func(before []exchangeSeen, path string) []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		var before []exchangeSeen
		for requests := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			if len(before) > 0 {
				if _, err := conn.Write(late(before, request.URL.Path)); err != nil {
					return
				}
			}
			request.URL.Scheme, request.URL.Host, request.RequestURI, request.Body = "http", server, "", io.NopCloser(bytes.NewReader(body))
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				return
			}
			answer, err := httputil.DumpResponse(response, true)
			if err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
			before = append(before, exchangeSeen{request.URL.Path, answer})
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// TestLateCopyShiftsAnswers guards against an answer that takes the place of a call's own,
// so that the next call on the connection gets that one, and against new connections for
// calls that got their own.
func TestLateCopyShiftsAnswers(t *testing.T) {
	const runs, frees = "/run-pieces", "/free-pieces"
	after := func(previous, next string) func([]exchangeSeen, string) []byte {
		var sent atomic.Bool
		return func(before []exchangeSeen, path string) []byte {
			last := before[len(before)-1]
			if last.path != previous || path != next || sent.Swap(true) {
				return nil
			}
			return last.answer
		}
	}
	var foreignSent atomic.Bool
	foreign := `[{"Handle":"x:1/foreign"}]`
	failure := `[{"Reason":"` + tanagerroad.PieceLate + `"}]`
	type job struct {
		request string
		pieces  []uint32
	}
	one := func(request string) job { return job{request, []uint32{0}} }
	for what, c := range map[string]struct {
		late    func(before []exchangeSeen, path string) []byte
		outcome func(call int64) *string
		jobs    []job
		free    bool // the first result, before the second job
		leave   bool // the server leaves the pool and comes back, before the second job
		calls   int64
		conns   int64
		failed  string // the request whose piece fails
	}{
		"no copy":                        {after("", ""), nil, []job{one("a"), one("b"), one("c")}, true, false, 3, 1, ""},
		"of a call that frees results":   {after(frees, runs), nil, []job{one("a"), one("b"), one("c")}, true, false, 4, 2, ""},
		"of a larger call":               {after(runs, runs), nil, []job{{"a", []uint32{0, 1}}, one("b"), one("c")}, false, false, 4, 2, ""},
		"of a call that made nothing":    {after(runs, runs), func(call int64) *string { return map[int64]*string{1: &failure}[call] }, []job{one("a"), one("b"), one("c")}, false, false, 3, 2, "b"},
		"of a call for the same piece":   {after(runs, runs), nil, []job{one("a"), one("a"), one("c")}, false, false, 3, 2, ""},
		"from before the server's break": {after(runs, runs), nil, []job{one("a"), one("b"), one("c")}, false, true, 4, 2, ""},
		"for a call that frees results":  {after(runs, frees), nil, []job{one("a"), one("b"), one("c")}, true, false, 3, 2, ""},
		"of a request": {func([]exchangeSeen, string) []byte {
			if foreignSent.Swap(true) {
				return nil
			}
			return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: a\r\nContent-Length: %d\r\n\r\n%s", headerID, len(foreign), foreign)
		}, nil, []job{one("a"), one("b"), one("c")}, false, false, 4, 2, ""},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			p := newPieceServer(t)
			p.outcome = c.outcome
			p.status = func(call int64) int {
				if call > 1 {
					time.Sleep(slowCall)
				}
				return 0
			}
			p.freeTime = slowFree
			address := serveCopies(t, p.Listener.Addr().String(), c.late)
			g, _ := newTestGateway(t, p.backend)
			traits := &tanagerroad.PieceTraits{Slots: 1, MaxQueue: 2, MaxBatch: 4, CallTime: slowCall, PieceTime: time.Millisecond}
			g.catalog.Store(catalog.New(&tanagerroad.Catalog{Version: 2, Pools: []tanagerroad.CatalogPool{{Name: "prep", Pieces: traits}}}))
			g.mu.Lock()
			server := tanagerroad.Announcement{ID: p.id, Pool: "prep", Address: address, Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 1, StartMillis: 2000}
			g.roster.Apply(g.now(), "c", server)
			g.applyRoster(g.now())
			g.mu.Unlock()
			b := g.batcher("")
			for i, j := range c.jobs {
				results := make(chan *wire.PieceResult, len(j.pieces))
				b.submit("s", &wire.PieceJob{
					Number: uint64(i + 1), Request: j.request, Pool: "prep", Pieces: j.pieces, LeftMillis: 10_000, SlackMillis: 10_000,
				}, func(r *wire.PieceResult) { results <- r })
				r := <-results
				if len(r.GetPieces()) != len(j.pieces) {
					t.Fatalf("%s: got %v", j.request, r)
				}
				handle := r.GetPieces()[0].GetHandle()
				p.mu.Lock()
				made := p.stored[handle]
				p.mu.Unlock()
				switch {
				case j.request == c.failed || i == 0 && c.outcome != nil:
				case made != j.request:
					t.Errorf("%s was given the result %q of %q", j.request, handle, made)
				}
				if i == 0 && c.free {
					b.mu.Lock()
					b.toFree[address] = []string{handle} // stored behind the address that passes connections on
					b.mu.Unlock()
					b.flushFree()
					wait := 2 * slowFree
					if what == "for a call that frees results" {
						wait = slowFree / 3
					}
					time.Sleep(wait)
				}
				if i == 0 && c.leave {
					b.mu.Lock()
					b.pools["prep"].SetServers(g.now(), nil)
					b.pools["prep"].SetServers(g.now(), []tanagerroad.Announcement{server})
					b.mu.Unlock()
				}
			}
			if calls, conns := p.calls.Load(), g.client.Opened.Load(); calls != c.calls || conns != c.conns {
				t.Errorf("%d calls on %d connections, want %d on %d", calls, conns, c.calls, c.conns)
			}
		})
	}
}

// TestLateCopyIsTakenForAnswerWithoutID guards against the copy of another caller's answer
// that a request without an id gets, and against new connections for those that have one.
func TestLateCopyIsTakenForAnswerWithoutID(t *testing.T) {
	p := newBackend(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "for "+r.URL.Path) // the gateway reads it whole
	})
	var copies atomic.Int64
	backendAddress := serveCopies(t, p.Listener.Addr().String(), func(before []exchangeSeen, path string) []byte {
		if path != "/book/3" && path != "/book/4" {
			return nil
		}
		copies.Add(1)
		return before[len(before)-1].answer
	})
	g, address := newTestGateway(t, p)
	g.mu.Lock()
	g.roster.Apply(g.now(), "c", tanagerroad.Announcement{
		ID: p.id, Pool: "p", Address: backendAddress, Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 1, StartMillis: 2000,
	})
	g.applyRoster(g.now())
	g.mu.Unlock()
	for i, id := range []string{"a", "b", "", "d"} {
		path := fmt.Sprint("/book/", i+1)
		if status, body, err := call(t, address, path, id); status != http.StatusOK || body != "for "+path {
			t.Errorf("%s with the id %q: got %d %q (%v), want its own answer", path, id, status, body, err)
		}
	}
	if conns := g.client.Opened.Load(); conns != 2 || copies.Load() != 1 {
		t.Errorf("%d connections and %d copies, want one for those with an id and one without, and a copy", conns, copies.Load())
	}
}
