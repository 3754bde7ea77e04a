package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/catalog"
	"tanagerroad/core/fleet"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/wire"
)

type answer = func(w http.ResponseWriter, r *http.Request)

// newScripted returns backend servers of the pool p that give these answers, one for each
// request that reaches any of them, the last one also to further requests.
func newScripted(t *testing.T, servers int, answers ...answer) (all []*backend, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	for i := range servers {
		all = append(all, newBackend(t, fmt.Sprintf("s%d", i+1), func(w http.ResponseWriter, r *http.Request) {
			answers[min(int(runs.Add(1)), len(answers))-1](w, r)
		}))
	}
	return all, runs
}

// Answers of backend servers.
func good(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") }

func failed(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, failure)
}

const failure = "data: failed\n\n" // looks like an event of a stream

// short announces a longer body than it sends, or sends chunks without the last one if
// length is -1.
func short(length, sent int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		if length >= 0 {
			w.Header().Set("Content-Length", strconv.Itoa(length))
		}
		_, _ = io.WriteString(w, strings.Repeat("a", sent))
		_ = http.NewResponseController(w).Flush()
		lost(w, r)
	}
}

// status answers with a status, without the signature if it is not signed.
func status(code int, signed bool) answer {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !signed {
			w.Header().Del(headerSigned)
		}
		w.WriteHeader(code)
	}
}

func encoded(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Encoding", "gzip")
	good(w, r)
}

// newVersion sends events of two versions and breaks off.
func newVersion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerVersion, "w0")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: 1\n\nid: 2\nversion: w1\ndata: 2\n\n")
	_ = http.NewResponseController(w).Flush()
	lost(w, r)
}

// comment sends whole events and a comment at the end.
func comment(w http.ResponseWriter, _ *http.Request) {
	events(w, 1, 2)
	_, _ = io.WriteString(w, ": done\n")
}

func rejected(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "yes")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func misplaced(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerServer, "another")
	w.Header().Set(headerNotRun, "yes")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func lost(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// events writes events with the given ids, those below 0 without an id.
func events(w http.ResponseWriter, ids ...int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, id := range ids {
		if id >= 0 {
			fmt.Fprintf(w, "id: %d\n", id)
		}
		fmt.Fprintf(w, "data: %d\n\n", id)
	}
	_ = http.NewResponseController(w).Flush()
}

func brokenStream(ids ...int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerVersion, "w1")
		events(w, ids...)
		lost(w, r)
	}
}

// rest sends the events after the last one that the request names, up to 3.
func rest(w http.ResponseWriter, r *http.Request) {
	first := 1
	_, _ = fmt.Sscan(r.Header.Get(headerLast), &first)
	if r.Header.Get(headerLast) != "" {
		first++
		if r.Header.Get(headerVersion) != "w1" {
			rejected(w, r)
			return
		}
	}
	var ids []int
	for id := first; id <= 3; id++ {
		ids = append(ids, id)
	}
	events(w, ids...)
}

const (
	halfStream  = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	wholeStream = halfStream + "id: 3\ndata: 3\n\n"
)

// TestAnswersAfterFailedAttempts guards against requests that run more often than they may,
// false "not run", and answers that are joined, replaced or cut without a sign.
func TestAnswersAfterFailedAttempts(t *testing.T) {
	for _, c := range []struct {
		what    string
		path    string
		servers int
		answers []answer
		status  int // 0: the connection ends instead
		body    string
		cut     bool // the body ends with an error
		runs    int64
	}{
		{"rejected, then run", "/book/", 3, []answer{rejected, good}, 200, "good", false, 2},
		{"misplaced, then run", "/book/", 3, []answer{misplaced, good}, 200, "good", false, 2},
		{"rejected by all", "/book/", 2, []answer{rejected}, 503, "", false, 2},
		{"may have run", "/book/", 3, []answer{lost, good}, 502, "", false, 1},
		{"failed once", "/book/", 3, []answer{failed, good}, 500, failure, false, 1},
		{"lost, then rejected", "/look/", 2, []answer{lost, rejected}, 502, "", false, 2},
		{"failed, then run", "/look/", 3, []answer{failed, good}, 200, "good", false, 2},
		{"failed, then lost", "/look/", 2, []answer{failed, lost}, 500, failure, false, 2},
		{"failed, then a stream", "/stream/", 3, []answer{failed, rest}, 200, wholeStream, false, 2},
		{"cut, then run", "/look/", 3, []answer{short(10, 4), good}, 200, "good", false, 2},
		{"cut, and may have run", "/book/", 3, []answer{short(10, 4), good}, 502, "", false, 1},
		{"cut behind the buffer", "/look/", 3, []answer{short(2*maxBufferedBody, maxBufferedBody+4), good}, 200, "", true, 1},
		{"cut behind the buffer, in chunks", "/look/", 3, []answer{short(-1, maxBufferedBody+4), good}, 200, "", true, 1},
		{"encoded", "/book/", 3, []answer{encoded, good}, 502, "", false, 1},
		{"not found by somebody", "/look/", 3, []answer{status(404, false), good}, 404, "", false, 1},
		{"not found", "/look/", 3, []answer{status(404, true), good}, 404, "", false, 1},
		{"a stream with a comment at its end", "/stream/", 3, []answer{comment}, 200, halfStream + ": done\n", false, 1},
		{"a stream whose version changed", "/stream/", 3, []answer{newVersion, rest}, 200, strings.Replace(wholeStream, "data: 2", "version: w1\ndata: 2", 1), false, 2},
		{"a stream goes on elsewhere", "/stream/", 3, []answer{brokenStream(1, 2), rest}, 200, wholeStream, false, 2},
		{"a stream breaks off before its first event", "/stream/", 3, []answer{brokenStream(), rest}, 200, wholeStream, false, 2},
		{"a stream that nobody resumes", "/stream/", 3, []answer{brokenStream(1, 2), rejected}, 200, halfStream, true, 3},
		{"a stream that is resumed with a failure", "/stream/", 2, []answer{brokenStream(1, 2), failed}, 200, halfStream, true, 2},
		{"a stream without a position", "/stream/", 3, []answer{brokenStream(1, -1), rest}, 200, "id: 1\ndata: 1\n\ndata: -1\n\n", true, 1},
		{"a stream that cannot be resumed", "/live/", 3, []answer{brokenStream(1, 2), rest}, 200, halfStream, true, 1},
	} {
		servers, runs := newScripted(t, c.servers, c.answers...)
		_, address := newTestGateway(t, servers...)
		status, body, err := call(t, address, c.path, "a")
		if status != c.status || c.body != "" && body != c.body || (err != nil) != c.cut || runs.Load() != c.runs {
			t.Errorf("%s: got %d %q (%v) after %d runs, want %d %q (cut: %t) after %d", c.what, status, body, err, runs.Load(), c.status, c.body, c.cut, c.runs)
		}
	}
}

// TestAnswerHeaders guards against headers of an answer that are lost, and against those of
// the backend server's connection that reach the caller.
func TestAnswerHeaders(t *testing.T) {
	servers, _ := newScripted(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range map[string]string{"X-Own": "kept", "Keep-Alive": "timeout=9", "Upgrade": "h2c", "Te": "trailers"} {
			w.Header().Set(name, value)
		}
		w.Header()["Content-Type"] = nil
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "<html>")
	})
	_, address := newTestGateway(t, servers...)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/look/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(headerKey, "k")
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	got := res.Header.Clone()
	for _, name := range []string{"Date", headerServer, headerSigned, headerID} {
		got.Del(name)
	}
	if want := (http.Header{"X-Own": {"kept"}, "Content-Length": {"6"}}); !reflect.DeepEqual(got, want) || res.StatusCode != http.StatusCreated {
		t.Errorf("got %d with the headers %v, want 201 with %v", res.StatusCode, got, want)
	}
}

// TestRequestPastItsDeadline guards against a failure that does not say that the time is up,
// and against a request that is refused though its pool accepts requests again in time.
func TestRequestPastItsDeadline(t *testing.T) {
	servers, runs := newScripted(t, 1, holdAnswer, good)
	g, address := newTestGateway(t, servers...)
	if code, body, _ := call(t, address, "/book/", "a", headerLeft, "50"); code != http.StatusGatewayTimeout || runs.Load() != 1 {
		t.Errorf("got %d %q after %d runs, want 504 after 1", code, body, runs.Load())
	}
	server := firstServer(g, "p")
	g.heed(server, tanagerroad.ResponseHeaders{Server: server.ID, NotRun: true, RetryAfter: 200 * time.Millisecond})
	if code, body, _ := call(t, address, "/book/", "b", headerLeft, "50"); code != http.StatusServiceUnavailable || runs.Load() != 1 {
		t.Errorf("a pool that wants no requests for longer: got %d %q after %d runs, want 503 after 1", code, body, runs.Load())
	}
	if code, body, _ := call(t, address, "/book/", "c"); code != http.StatusOK || runs.Load() != 2 {
		t.Errorf("a pool that wants no requests for a time: got %d %q after %d runs, want 200 after 2", code, body, runs.Load())
	}
}

// TestRequestsThatMustNotRun guards against requests without a route, a key, a complete
// body or a configuration that reach a backend server.
func TestRequestsThatMustNotRun(t *testing.T) {
	servers, runs := newScripted(t, 1, good)
	g, address := newTestGateway(t, servers...)
	for _, c := range []struct {
		what, path string
		headers    []string
		status     int
		runs       int64
	}{
		{"no route", "/nowhere/", nil, 404, 0},
		{"a wrong key", "/look/", []string{headerKey, "x"}, 401, 0},
		{"a public route", "/open/", []string{headerKey, "x"}, 200, 1},
	} {
		runs.Store(0)
		if code, _, _ := call(t, address, c.path, "a", c.headers...); code != c.status || runs.Load() != c.runs {
			t.Errorf("%s: got %d after %d runs, want %d after %d", c.what, code, runs.Load(), c.status, c.runs)
		}
	}
	runs.Store(0)
	raw := func(request string) string {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, request)              // a failure shows when the answer is read
		_ = conn.(*net.TCPConn).CloseWrite()              // the same
		line, _ := bufio.NewReader(conn).ReadString('\n') // the same
		return strings.TrimSpace(line)
	}
	head := "POST /look/ HTTP/1.1\r\nHost: h\r\n" + headerKey + ": k\r\nContent-Length: "
	if line := raw(head + "10\r\n\r\nhalf"); runs.Load() != 0 || !strings.Contains(line, "400") {
		t.Errorf("a body that is cut: got %q after %d runs, want 400 after none", line, runs.Load())
	}
	if line := raw(head + fmt.Sprint(maxTestBody+1) + "\r\n\r\n" + strings.Repeat("a", maxTestBody+1)); runs.Load() != 0 || !strings.Contains(line, "413") {
		t.Errorf("a body that is too long: got %q after %d runs, want 413 after none", line, runs.Load())
	}
	index := g.catalog.Swap(nil)
	if code, _, _ := call(t, address, "/look/", "a"); code != http.StatusServiceUnavailable || runs.Load() != 0 {
		t.Errorf("no configuration: got %d after %d runs, want 503 after none", code, runs.Load())
	}
	g.catalog.Store(index)
	g.drainingSince.Store(int64(g.now()))
	g.draining.Store(true)
	if code, body, _ := call(t, address, "/look/", "a"); code != http.StatusOK {
		t.Errorf("a gateway that has begun to stop: got %d %q, want 200", code, body)
	}
	runs.Store(0)
	g.drainingSince.Store(int64(g.now() - drainAcceptTime - time.Millisecond))
	if code, _, _ := call(t, address, "/look/", "a"); code != http.StatusServiceUnavailable || runs.Load() != 0 {
		t.Errorf("a gateway that ends soon: got %d after %d runs, want 503 after none", code, runs.Load())
	}
}

// TestRequestsOfAnEndedGateway guards against a request that is sent after all have been
// ended, and against one that has been sent and is answered as not run.
func TestRequestsOfAnEndedGateway(t *testing.T) {
	arrived := make(chan struct{}, 1)
	servers, runs := newScripted(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http sees the end of a connection only then
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	g, address := newTestGateway(t, servers...)
	sent := make(chan int)
	go func() {
		status, _, _ := call(t, address, "/book/", "a")
		sent <- status
	}()
	<-arrived
	if n := g.EndAll(); n != 1 {
		t.Errorf("%d requests ended, want 1", n)
	}
	if status := <-sent; status != http.StatusBadGateway {
		t.Errorf("a request that was sent: got %d, want 502", status)
	}
	if code, _, _ := call(t, address, "/book/", "b"); code != http.StatusServiceUnavailable || runs.Load() != 1 {
		t.Errorf("a later request: got %d after %d runs in all, want 503 after 1", code, runs.Load())
	}
}

// TestUnreadyGatewayGetsConnections guards against a gateway that calls itself ready before
// it knows the configuration and the backend servers, or while it stops.
func TestUnreadyGatewayGetsConnections(t *testing.T) {
	g, _ := newTestGateway(t)
	index := g.catalog.Load()
	ask := func(path string) int {
		w := httptest.NewRecorder()
		g.ReadyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	for _, c := range []struct {
		configured, roster, draining bool
		want                         int
	}{{true, true, false, 200}, {false, true, false, 503}, {true, false, false, 503}, {true, true, true, 503}} {
		g.catalog.Store(nil)
		if c.configured {
			g.catalog.Store(index)
		}
		g.rosterComplete = c.roster
		g.draining.Store(c.draining)
		if got := ask("/ready"); got != c.want {
			t.Errorf("configured %t, backend servers known %t, stopping %t: got %d, want %d", c.configured, c.roster, c.draining, got, c.want)
		}
	}
	if got := ask("/other"); got != http.StatusNotFound {
		t.Errorf("another path: got %d, want 404", got)
	}
}

// TestUnheededAnswers guards against new requests at backend servers whose answers say that
// they leave or want none, and against one server speaking for another.
func TestUnheededAnswers(t *testing.T) {
	for _, c := range []struct {
		what          string
		header, value string
		server        string
		status        int // of the next request
	}{
		{"it leaves", headerLeaving, "yes", "s1", 503},
		{"it asks for time", headerRetryAfter, "60000", "s1", 503},
		{"somebody leaves, and does not say who", headerLeaving, "yes", "", 503},
		{"another leaves", headerLeaving, "yes", "other", 200},
		{"another asks for time", headerRetryAfter, "60000", "other", 200},
	} {
		servers, runs := newScripted(t, 1, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(c.header, c.value)
			w.Header().Set(headerServer, c.server)
			good(w, r)
		})
		g, address := newTestGateway(t, servers...)
		if code, _, _ := call(t, address, "/book/", "a"); code != http.StatusOK {
			t.Errorf("%s: its answer became %d", c.what, code)
		}
		status, _, _ := call(t, address, "/book/", "b")
		if want := int64(1 + c.status/200%2); status != c.status || runs.Load() != want {
			t.Errorf("%s: the next request got %d after %d runs in all, want %d after %d", c.what, status, runs.Load(), c.status, want)
		}
		g.mu.Lock()
		chosen := g.roster.Usable()
		g.mu.Unlock()
		if c.header == headerLeaving && (len(chosen) == 0) != (c.status == 503) {
			t.Errorf("%s: %d backend servers can be used", c.what, len(chosen))
		}
	}
}

// TestChosenServerIsAskedAnyway guards against a request that is sent to a backend server
// which has meanwhile said that it leaves, or wants none.
func TestChosenServerIsAskedAnyway(t *testing.T) {
	for _, reply := range []tanagerroad.ResponseHeaders{{Leaving: true}, {NotRun: true, RetryAfter: time.Second}} {
		servers, _ := newScripted(t, 1, good)
		g, _ := newTestGateway(t, servers...)
		g.mu.Lock()
		choice, _ := g.fleet.Pick(g.now(), fleet.Request{Pool: "p", From: g.config.Settings.Place()})
		g.mu.Unlock()
		if err := g.checkServer(choice); err != nil {
			t.Errorf("before %+v: %v", reply, err)
		}
		g.heed(choice.Announcement, reply)
		if err := g.checkServer(choice); !errors.Is(err, errServerUnavailable) {
			t.Errorf("after %+v: %v", reply, err)
		}
	}
}

// TestFailingServerIsNotEjected guards against a backend server that loses or breaks off
// answers and gets requests before the others.
func TestFailingServerIsNotEjected(t *testing.T) {
	for path, a := range map[string]answer{"/book/": lost, "/look/": short(10, 4), "/live/": brokenStream(1)} {
		servers, _ := newScripted(t, 1, a)
		g, address := newTestGateway(t, servers...)
		_, _, _ = call(t, address, path, "a") // fails
		if got := pickCost(g); got < time.Minute {
			t.Errorf("%s: the backend server is not ejected, at a cost of %v", path, got)
		}
	}
}

// pickCost returns the cost of the backend server of the pool p that is picked next.
func pickCost(g *Gateway) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	choice, _ := g.fleet.Pick(g.now(), fleet.Request{Pool: "p", From: g.config.Settings.Place()})
	g.fleet.RecordEnd(g.now(), choice.ID, fleet.Outcome{Unknown: true})
	return choice.Cost
}

// TestRejectionEndsLimit guards against a limit that ends with an answer that rejects a
// request, and against one that stays when an answer names none.
func TestRejectionEndsLimit(t *testing.T) {
	servers, _ := newScripted(t, 1, good)
	g, _ := newTestGateway(t, servers...)
	server := firstServer(g, "p")
	for _, c := range []struct {
		what    string
		reply   tanagerroad.ResponseHeaders
		limited int
	}{
		{"an answer with a limit", tanagerroad.ResponseHeaders{Limit: 2}, 1},
		{"a rejection without one", tanagerroad.ResponseHeaders{NotRun: true}, 1},
		{"a rejection with another", tanagerroad.ResponseHeaders{NotRun: true, Limit: 1}, 1},
		{"an answer without one", tanagerroad.ResponseHeaders{}, 0},
	} {
		g.heed(server, c.reply)
		g.mu.Lock()
		limits := g.fleet.Limited("p")
		g.mu.Unlock()
		if len(limits) != c.limited || len(limits) > 0 && c.reply.Limit > 0 && limits[0].PerSecond != c.reply.Limit {
			t.Errorf("%s: limits %+v", c.what, limits)
		}
	}
}

// TestPriorityOfWorkspace guards against a request with the priority of its route where its
// workspace has one, and against one that needs a key where no workspace is configured.
func TestPriorityOfWorkspace(t *testing.T) {
	var priority, workspace string
	servers, _ := newScripted(t, 1, func(w http.ResponseWriter, r *http.Request) {
		priority, workspace = r.Header.Get(headerPriority), r.Header.Get(headerWorkspace)
		good(w, r)
	})
	g, address := newTestGateway(t, servers...)
	own := 3
	for _, c := range []struct {
		workspaces []tanagerroad.CatalogWorkspace
		want       string
	}{
		{[]tanagerroad.CatalogWorkspace{{Name: "w", APIKeys: []string{"k"}}}, "2 w"},
		{[]tanagerroad.CatalogWorkspace{{Name: "w", APIKeys: []string{"k"}, Priority: &own}}, "3 w"},
		{nil, "2 "},
	} {
		config := *g.catalog.Load().Catalog
		config.Workspaces, config.Routes = c.workspaces, slices.Clone(config.Routes)
		for i := range config.Routes {
			config.Routes[i].Priority = 2
		}
		g.catalog.Store(catalog.New(&config))
		if code, _, _ := call(t, address, "/look/", "a"); code != http.StatusOK || priority+" "+workspace != c.want {
			t.Errorf("workspaces %+v: got %d, priority and workspace %q, want %q", c.workspaces, code, priority+" "+workspace, c.want)
		}
	}
}

// TestConvictedRequestIsSent guards against requests that are sent although they are
// convicted of crashing backend servers, and against a flowing answer that a conviction cuts.
func TestConvictedRequestIsSent(t *testing.T) {
	cause := func(path string) uint64 {
		return quarantine.Causes("h"+path, "w", []byte("body"), nil)[0].Fingerprint
	}
	arrived, proceed := make(chan struct{}, 1), make(chan struct{})
	servers, runs := newScripted(t, 1, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http sees the end of a connection only then
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			events(w, 1, 2)
		}
		arrived <- struct{}{}
		select {
		case <-proceed:
		case <-r.Context().Done():
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			events(w, 3)
		}
	})
	g, address := newTestGateway(t, servers...)
	ended := make(chan string)
	send := func(path string) {
		status, body, err := call(t, address, path, "a")
		ended <- fmt.Sprint(status, body, err)
	}
	go send("/book/1")
	<-arrived
	convict(g, 1, cause("/book/1"), false)
	select {
	case got := <-ended:
		t.Errorf("a suspected request ended with %s", got)
	case <-time.After(30 * time.Millisecond):
	}
	convict(g, 2, cause("/book/1"), true)
	if got := <-ended; !strings.HasPrefix(got, "502") {
		t.Errorf("a convicted request that was sent: got %s, want 502", got)
	}
	runs.Store(0)
	if code, body, _ := call(t, address, "/book/1", "b"); code != http.StatusServiceUnavailable || runs.Load() != 0 {
		t.Errorf("a convicted request: got %d %s after %d runs, want 503 after none", code, body, runs.Load())
	}
	go send("/stream/1")
	<-arrived
	for flowing := false; !flowing; time.Sleep(time.Millisecond) {
		g.stopMu.Lock()
		for x := range g.cancels {
			flowing = flowing || x.flowing.Load()
		}
		g.stopMu.Unlock()
	}
	convict(g, 3, cause("/stream/1"), true)
	time.Sleep(10 * time.Millisecond)
	close(proceed)
	if got := <-ended; got != fmt.Sprint(200, wholeStream, nil) {
		t.Errorf("a stream that flows: got %s", got)
	}
}

// TestSilentControlInstance guards against what a control instance said long ago, and
// against losing what one has just said.
func TestSilentControlInstance(t *testing.T) {
	servers, _ := newScripted(t, 1, good)
	g, _ := newTestGateway(t, servers...)
	g.mu.Lock()
	timeout := g.config.Settings.SourceTimeout.Std()
	g.sources = map[string]*source{
		"recent": {updatedAt: g.now(), connected: true, gateways: map[string]tanagerroad.Gateway{"127.0.0.1:2": {Address: "127.0.0.1:2"}}},
		"silent": {updatedAt: g.now() - timeout - time.Millisecond, connected: true, gateways: map[string]tanagerroad.Gateway{"127.0.0.1:3": {Address: "127.0.0.1:3"}}},
	}
	g.mu.Unlock()
	g.housekeep()
	g.mu.Lock()
	named := addresses(g.gateways)
	if slices.Contains(named, "127.0.0.1:3") || !slices.Contains(named, "127.0.0.1:2") {
		t.Errorf("gateways %v, want that of the recent list only", named)
	}
	if s := g.sources["recent"]; !s.connected || len(s.gateways) != 1 {
		t.Errorf("the instance that has just spoken: %+v", s)
	}
	if s := g.sources["silent"]; s.connected {
		t.Errorf("the silent instance: %+v", s)
	}
	g.mu.Unlock()
	g.applyUpdate("silent", &wire.Update{GatewaysChanged: []*wire.GatewayInfo{{Address: "127.0.0.1:4"}}})
	g.mu.Lock()
	defer g.mu.Unlock()
	if named := addresses(g.gateways); !slices.Contains(named, "127.0.0.1:3") || !slices.Contains(named, "127.0.0.1:4") {
		t.Errorf("gateways %v after the silent instance told a change, want its others too", named)
	}
}

// TestEndsWithConnection guards against a connection that was silent for too long, and that
// counts as one that a crashed backend server ended.
func TestEndsWithConnection(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{{nil, false}, {io.ErrUnexpectedEOF, true}, {fmt.Errorf("read: %w", timeoutError(t)), false}} {
		if got := endsWithConnection(c.err); got != c.want {
			t.Errorf("%v: got %t", c.err, got)
		}
	}
}

// timeoutError returns the error of a read that has timed out.
func timeoutError(t *testing.T) error {
	t.Helper()
	conn, other := net.Pipe()
	defer other.Close()
	defer conn.Close()
	if err := conn.SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// TestCallerThatLeavesEjectsServer guards against a backend server that counts as failing
// because a caller left, or a gateway stopped, while it answered.
func TestCallerThatLeavesEjectsServer(t *testing.T) {
	arrived := make(chan struct{}, 1)
	servers, _ := newScripted(t, 1, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http sees the end of a connection only then
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			events(w, 1)
		}
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	g, address := newTestGateway(t, servers...)
	ended := func() bool { return g.InFlight() == 0 }
	for _, path := range []string{"/stream/", "/look/"} {
		ctx, leave := context.WithCancel(t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set(headerID, "a")
		r.Header.Set(headerKey, "k")
		left := make(chan struct{})
		go func() {
			defer close(left)
			if res, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_, _ = io.Copy(io.Discard, res.Body) // ends when the caller leaves
				_ = res.Body.Close()
			}
		}()
		<-arrived
		leave()
		<-left
		if !eventually(ended) {
			t.Errorf("%s: the request is still in flight", path)
		}
		if got := pickCost(g); got >= time.Minute {
			t.Errorf("%s: the backend server is ejected, at a cost of %v", path, got)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = call(t, address, "/stream/", "a") // cut
	}()
	<-arrived
	g.EndAll()
	<-done
	if got := pickCost(g); got >= time.Minute {
		t.Errorf("a gateway that stops: the backend server is ejected, at a cost of %v", got)
	}
}
