package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"tanagerroad"
	"tanagerroad/core/wire"
)

// pieceServer runs pieces at two addresses and keeps their results at the first.
type pieceServer struct {
	*backend
	second *backend
	calls  atomic.Int64

	mu      sync.Mutex
	stored  map[string]string // what a result was made of, by handle
	freed   []string
	keys    []string                 // piece keys of the calls
	outcome func(call int64) *string // what a call is answered with in place of results; nil: results
	status  func(call int64) int     // of the answer to a call; 0: 200

	freeTime time.Duration // of a call that frees results
}

func newPieceServer(t *testing.T) *pieceServer {
	t.Helper()
	return newPieceServerOf(t, "prep")
}

func newPieceServerOf(t *testing.T, pool string) *pieceServer {
	t.Helper()
	p := &pieceServer{stored: map[string]string{}}
	serve := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the gateway has given up
		}
		if r.URL.Path == "/free-pieces" {
			time.Sleep(p.freeTime)
			p.free(t, body)
			return
		}
		p.run(t, w, r, body)
	}
	p.backend, p.second = newBackend(t, pool+"1", serve), newBackend(t, pool+"2", serve)
	return p
}

func (p *pieceServer) free(t *testing.T, body []byte) {
	var handles []string
	if err := json.Unmarshal(body, &handles); err != nil {
		t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freed = append(p.freed, handles...)
}

func (p *pieceServer) run(t *testing.T, w http.ResponseWriter, r *http.Request, body []byte) {
	call := p.calls.Add(1)
	if p.status != nil {
		switch status := p.status(call); status {
		case 0:
		case holdCall:
			<-r.Context().Done()
			return
		case http.StatusServiceUnavailable:
			w.Header().Set(headerNotRun, "yes")
			fallthrough
		default:
			w.WriteHeader(status)
			return
		}
	}
	if p.outcome != nil {
		if text := p.outcome(call); text != nil {
			_, _ = io.WriteString(w, *text) // the gateway reads it whole
			return
		}
	}
	var items []tanagerroad.PieceItem
	if err := json.Unmarshal(body, &items); err != nil {
		t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []tanagerroad.PieceOutcome
	for _, i := range items {
		handle := fmt.Sprintf("%s/%d-%s-%d-%d", p.Listener.Addr(), call, i.RequestID, i.Stage, i.Piece)
		p.stored[handle] = i.RequestID
		p.keys = append(p.keys, i.PieceKey)
		out = append(out, tanagerroad.PieceOutcome{Handle: handle})
	}
	_ = json.NewEncoder(w).Encode(out) // the gateway reads it whole
}

// unfreed returns the handles that were stored and not freed once.
func (p *pieceServer) unfreed() (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for handle := range p.stored {
		if n := len(slices.DeleteFunc(slices.Clone(p.freed), func(h string) bool { return h != handle })); n != 1 {
			out = append(out, fmt.Sprintf("%s freed %d times", handle, n))
		}
	}
	return out
}

// eventually waits until ok holds, for at most a second.
func eventually(ok func() bool) bool {
	for range 600 { // a backend server has to outlive a run for quarantine.SurvivalTime
		if ok() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// useResults answers a request that reads two results, if they are its own.
func useResults(p *pieceServer, answers ...answer) answer {
	var runs atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		inputs := strings.Fields(r.Header.Get(headerInputs))
		p.mu.Lock()
		own := len(inputs) == 2
		for _, handle := range inputs {
			own = own && p.stored[handle] == r.Header.Get(headerID) && !slices.Contains(p.freed, handle)
		}
		p.mu.Unlock()
		if !own {
			w.WriteHeader(http.StatusConflict)
			return
		}
		if n := int(runs.Add(1)); n <= len(answers) {
			answers[n-1](w, r)
			return
		}
		rest(w, r)
	}
}

func inputGone(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "yes")
	w.WriteHeader(http.StatusConflict)
}

// TestRequestsWithLostPieces guards against requests that run without all results of their
// stages, or that end as calls for these fail, and against results that stay stored.
func TestRequestsWithLostPieces(t *testing.T) {
	text := func(s string) func(int64) *string {
		return func(call int64) *string {
			if call > 1 {
				return nil
			}
			return &s
		}
	}
	firstStatus := func(status int) func(int64) int {
		return func(call int64) int {
			if call > 1 {
				return 0
			}
			return status
		}
	}
	for _, c := range []struct {
		what    string
		outcome func(int64) *string
		status  func(int64) int
		answers []answer // of the request's backend servers
		calls   int64
	}{
		{"nothing fails", nil, nil, nil, 1},
		{"fewer outcomes than pieces", text(`[{"Handle":"x"}]`), nil, nil, 2},
		{"no outcomes", text(`{`), nil, nil, 2},
		{"a failed call", nil, firstStatus(http.StatusInternalServerError), nil, 2},
		{"a full backend server", nil, firstStatus(http.StatusServiceUnavailable), nil, 2},
		{"results that the request's backend server misses", nil, nil, []answer{inputGone}, 2},
		{"a stream that breaks off, when the results are freed", nil, nil, []answer{brokenStream(1, 2)}, 2},
	} {
		p := newPieceServer(t)
		p.outcome, p.status = c.outcome, c.status
		use := useResults(p, c.answers...)
		servers, _ := newScripted(t, 3, use)
		_, address := newTestGateway(t, append(servers, p.backend, p.second)...)
		status, body, err := call(t, address, "/staged/", "a", headerPieces, "2", headerPieceKey, "key")
		if status != http.StatusOK || body != wholeStream || err != nil || p.calls.Load() != c.calls {
			t.Errorf("%s: got %d %q (%v) after %d calls, want the whole stream after %d", c.what, status, body, err, p.calls.Load(), c.calls)
		}
		if !eventually(func() bool { return len(p.unfreed()) == 0 }) {
			t.Errorf("%s: %v", c.what, p.unfreed())
		}
		if slices.ContainsFunc(p.keys, func(key string) bool { return key != "key" }) {
			t.Errorf("%s: piece keys %q", c.what, p.keys)
		}
	}
}

// TestRequestsWithoutTheirPieces guards against a request that runs, or is held, although
// its stages cannot be made, and against a false "not run".
func TestRequestsWithoutTheirPieces(t *testing.T) {
	afterFirst := func(call int64) int { return int(min(call/2, 1)) * http.StatusInternalServerError }
	lostLate := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(inputFetchTime + 20*time.Millisecond) // the results have been freed meanwhile
		lost(w, r)
	}
	gone := `[{"Reason":"` + tanagerroad.PieceInputGone + `"},{"Reason":"` + tanagerroad.PieceInputGone + `"}]`
	for _, c := range []struct {
		what    string
		outcome func(int64) *string
		status  func(int64) int
		answers []answer
		want    int
		cut     bool
		calls   int64 // 0: any number
	}{
		{"inputs that are gone each time", func(int64) *string { return &gone }, nil, nil, 503, false, 3},
		{"calls that fail each time", nil, func(int64) int { return 500 }, nil, 503, false, 0},
		{"a stream that breaks off, and no results for the rest", nil, afterFirst, []answer{brokenStream(1, 2)}, 200, true, 0},
		{"a lost answer, and no results for another", nil, afterFirst, []answer{lostLate}, 502, false, 0},
	} {
		p := newPieceServer(t)
		p.outcome, p.status = c.outcome, c.status
		servers, runs := newScripted(t, 3, useResults(p, c.answers...))
		_, address := newTestGateway(t, append(servers, p.backend, p.second)...)
		status, body, err := call(t, address, "/staged/", "a", headerPieces, "2", headerLeft, "400")
		if status != c.want || (err != nil) != c.cut || int(runs.Load()) != len(c.answers) || c.calls > 0 && p.calls.Load() != c.calls {
			t.Errorf("%s: got %d %q (%v) after %d runs and %d calls, want %d (cut: %t) after %d and %d",
				c.what, status, body, err, runs.Load(), p.calls.Load(), c.want, c.cut, len(c.answers), c.calls)
		}
	}
}

// TestJobsOfOtherGateways guards against jobs that wait for pools that run no pieces, that
// are ended with those of another gateway, or whose results nobody frees.
func TestJobsOfOtherGateways(t *testing.T) {
	hold := make(chan struct{})
	p := newPieceServer(t)
	p.status = func(int64) int { <-hold; return 0 }
	g, _ := newTestGateway(t, p.backend)
	results := make(chan string, 10)
	submit := func(stream, pool string, number uint64, left time.Duration, admission *wire.Admission) {
		g.batcher("").submit(stream, &wire.PieceJob{
			Number: number, Request: stream, Pool: pool, Pieces: []uint32{0}, LeftMillis: left.Milliseconds(), SlackMillis: left.Milliseconds(), Admission: admission,
		}, func(r *wire.PieceResult) {
			reason := r.GetRefused()
			for _, piece := range r.GetPieces() {
				reason += "made " + piece.GetReason()
			}
			results <- stream + ": " + strings.TrimSpace(reason)
		})
	}
	index := g.catalog.Load()
	for _, pool := range []string{"p", "other", "no configuration"} {
		if pool == "no configuration" {
			g.catalog.Store(nil)
		}
		if submit("a", pool, 1, time.Second, nil); <-results != "a: the pool is not known" {
			t.Errorf("%s: a job is not refused as that of an unknown pool", pool)
		}
	}
	g.catalog.Store(index)
	if submit("a", "prep", 1, 0, nil); <-results != "a: it cannot be made in time" {
		t.Error("a job without time is not refused as such")
	}
	if submit("a", "prep", 1, 0, &wire.Admission{Chain: []string{"prep", "other"}}); <-results != "a: too many wait before it" {
		t.Error("a request without time is not refused as such")
	}
	reserved := func(pool string) int {
		g.batcher("").mu.Lock()
		defer g.batcher("").mu.Unlock()
		return g.batcher("").admission.Reserved(pool)
	}
	demands := []*wire.Demand{{Pool: "prep", Pieces: 1}, {Pool: "last", Pieces: 2}}
	if submit("e", "prep", 1, 0, &wire.Admission{Chain: []string{"prep"}, Demands: demands}); <-results == "" || reserved("last") != 0 {
		t.Errorf("%d pieces are reserved for a refused request, want none", reserved("last"))
	}
	for _, stream := range []string{"a", "aa", "b", "c", "d"} { // one runs, the others wait
		submit(stream, "prep", 1, 10*time.Second, &wire.Admission{LeftMillis: 10_000, SlackMillis: 10_000, Chain: []string{"prep"}, Demands: demands})
	}
	if prep, last := reserved("prep"), reserved("last"); prep != 0 || last != 10 {
		t.Errorf("%d pieces reserved where they are queued, want none; %d for later, want 10", prep, last)
	}
	g.batcher("").cancelAll("a")
	g.batcher("").cancel("b", 2)
	g.batcher("").cancel("c", 1)
	close(hold)
	var got []string
	for range 3 {
		select {
		case r := <-results:
			got = append(got, r)
		case <-time.After(2 * time.Second):
		}
	}
	jobs := func() int {
		g.batcher("").mu.Lock()
		defer g.batcher("").mu.Unlock()
		return len(g.batcher("").jobs)
	}
	if !eventually(func() bool { return jobs() == 0 }) {
		t.Errorf("%d jobs are still kept, want none", jobs())
	}
	slices.Sort(got)
	if want := []string{"aa: made", "b: made", "d: made"}; !slices.Equal(got, want) {
		t.Errorf("got the results %q, want %q", got, want)
	}
	if !eventually(func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.freed) == 1 && p.stored[p.freed[0]] == "a"
	}) {
		t.Errorf("freed %q, want the result of the job that had been cancelled", p.freed)
	}
}

// TestResultsOfAnUnwillingServer guards against a request to free results that reaches a
// backend server which wants no requests.
func TestResultsOfAnUnwillingServer(t *testing.T) {
	p := newPieceServer(t)
	g, _ := newTestGateway(t, p.backend)
	server := firstServer(g, "prep")
	g.heed(server, tanagerroad.ResponseHeaders{Server: server.ID, RetryAfter: 100 * time.Millisecond, NotRun: true})
	handle := p.Listener.Addr().String() + "/x"
	g.batcher("").release([]string{handle})
	time.Sleep(2 * freeInterval)
	freed := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.freed)
	}
	if freed() != 0 {
		t.Error("a paused backend server got a request to free results")
	}
	if !eventually(func() bool { return freed() == 1 }) {
		t.Errorf("%d results freed after the pause, want 1", freed())
	}
	g.batcher("").release([]string{"127.0.0.1:1/x"}) // nothing listens there
	g.heed(server, tanagerroad.ResponseHeaders{Server: server.ID, Limit: 1})
	g.batcher("").release([]string{handle})
	time.Sleep(2 * freeInterval)
	if freed() != 1 {
		t.Error("a backend server with a limit got a request to free results")
	}
}

// TestInputsOfRunningCallsAreFreed guards against inputs that are freed while another owner's
// call may still be ahead, or after a call that failed and is made again.
func TestInputsOfRunningCallsAreFreed(t *testing.T) {
	for _, c := range []struct {
		what     string
		failures int64 // calls that fail first
		quick    int64 // calls that are answered at once
	}{{"after a failed call", 1, 0}, {"in a call to an idle backend server", 0, 1}} {
		prep, last := newPieceServer(t), newPieceServerOf(t, "last")
		var freed atomic.Int64
		last.status = func(call int64) int {
			switch {
			case call <= c.failures:
				return http.StatusInternalServerError
			case call <= c.quick:
				return 0
			}
			prep.mu.Lock()
			before := len(prep.freed)
			prep.mu.Unlock()
			time.Sleep(inputFetchTime + 2*freeInterval)
			prep.mu.Lock()
			defer prep.mu.Unlock()
			freed.Store(int64(len(prep.freed) - before))
			return 0
		}
		servers, _ := newScripted(t, 1, good)
		servers = append(servers, prep.backend, last.backend)
		if c.failures > 0 {
			servers = append(servers, last.second)
		}
		_, address := newTestGateway(t, servers...)
		for last.calls.Load() <= c.failures+c.quick {
			status, body, err := call(t, address, "/chain/", "a", headerPieces, "1,1")
			if status != http.StatusOK || err != nil {
				t.Fatalf("%s: got %d %q (%v)", c.what, status, body, err)
			}
			eventually(func() bool { return len(prep.unfreed())+len(last.unfreed()) == 0 })
		}
		if freed.Load() != 0 {
			t.Errorf("%s: %d inputs were freed during the call", c.what, freed.Load())
		}
		if left := append(prep.unfreed(), last.unfreed()...); len(left) > 0 {
			t.Errorf("%s: %v", c.what, left)
		}
	}
}

// TestPausedServerGetsPieces guards against a call for pieces to a backend server that wants
// no requests for a time.
func TestPausedServerGetsPieces(t *testing.T) {
	p := newPieceServer(t)
	g, _ := newTestGateway(t, p.backend)
	server := firstServer(g, "prep")
	made := make(chan struct{}, 1)
	submit := func(number uint64) {
		g.batcher("").submit("a", &wire.PieceJob{Number: number, Request: "a", Pool: "prep", Pieces: []uint32{0}, LeftMillis: 2000, SlackMillis: 2000}, func(*wire.PieceResult) { made <- struct{}{} })
	}
	submit(1)
	<-made
	g.heed(server, tanagerroad.ResponseHeaders{Server: server.ID, RetryAfter: 100 * time.Millisecond, NotRun: true})
	submit(2)
	time.Sleep(50 * time.Millisecond)
	if p.calls.Load() != 1 {
		t.Errorf("%d calls during the pause, want 1 from before", p.calls.Load())
	}
	<-made
}

// TestStopLooksLikeLateStages guards against requests that a stopping gateway ends, and
// that the log and the caller are told were late.
func TestStopLooksLikeLateStages(t *testing.T) {
	const reason = "this gateway is stopping"
	for _, c := range []struct {
		what    string
		pieces  func(int64) int
		answers []answer
		status  int
		next    string
	}{
		{"in its stages", func(int64) int { return holdCall }, nil, 503, ""},
		{"in its stream", nil, []answer{holdStream}, 200, "abort"},
		{"before its answer", nil, []answer{holdAnswer}, 502, "fail"},
	} {
		p := newPieceServer(t)
		p.status = c.pieces
		servers, runs := newScripted(t, 3, useResults(p, c.answers...))
		core, logs := observer.New(zap.InfoLevel)
		g, address := newLoggedGateway(t, zap.New(core), append(servers, p.backend)...)
		type result struct {
			status int
			body   string
		}
		ended := make(chan result)
		go func() {
			status, body, _ := call(t, address, "/staged/", "a", headerPieces, "2") // its error is of no interest
			ended <- result{status, body}
		}()
		if !eventually(func() bool { return p.calls.Load() == 1 && int(runs.Load()) == len(c.answers) }) {
			t.Errorf("%s: %d calls, %d runs", c.what, p.calls.Load(), runs.Load())
		}
		time.Sleep(20 * time.Millisecond) // until the first event has been forwarded
		g.EndAll()
		if got := <-ended; got.status != c.status || c.status == 503 && !strings.Contains(got.body, reason) {
			t.Errorf("%s: got %d %q, want %d", c.what, got.status, got.body, c.status)
		}
		if runs.Load() != int64(len(c.answers)) {
			t.Errorf("%s: %d runs, want %d", c.what, runs.Load(), len(c.answers))
		}
		eventually(func() bool { return logs.FilterMessage("answered").Len() > 0 })
		for _, entry := range logs.FilterMessage("answered").All() {
			if got := entry.ContextMap()["reason"]; got != reason {
				t.Errorf("%s: answered with the reason %q, want %q", c.what, got, reason)
			}
		}
		for _, entry := range logs.FilterMessage("attempt-ended-at-gateway").All() {
			if got := entry.ContextMap(); got["next"] != c.next || got["reason"] != reason {
				t.Errorf("%s: attempt ended with the reason %q, next %q, want %q and %q", c.what, got["reason"], got["next"], reason, c.next)
			}
		}
		if logs.FilterMessage("answered").Len() != 1 {
			t.Errorf("%s: %d answers logged, want 1", c.what, logs.FilterMessage("answered").Len())
		}
	}
}

// TestCallerThatLeftLooksLikeLateStages guards against a request whose caller left, and whose
// stages the log calls late.
func TestCallerThatLeftLooksLikeLateStages(t *testing.T) {
	p := newPieceServer(t)
	p.status = func(int64) int { return holdCall }
	core, logs := observer.New(zap.InfoLevel)
	_, address := newLoggedGateway(t, zap.New(core), p.backend)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /staged/ HTTP/1.1\r\nHost: h\r\n%s: k\r\n%s: 2\r\nContent-Length: 0\r\n\r\n", headerKey, headerPieces)
	if !eventually(func() bool { return p.calls.Load() == 1 }) {
		t.Error("the stages have not begun")
	}
	_ = conn.Close() // this is the caller leaving
	eventually(func() bool { return logs.FilterMessage("answered").Len() > 0 })
	for _, entry := range logs.FilterMessage("answered").All() {
		if got := entry.ContextMap(); got["outcome"] != "caller-left" || got["reason"] != "the caller has disconnected" {
			t.Errorf("outcome %q, reason %q", got["outcome"], got["reason"])
		}
	}
	if logs.FilterMessage("answered").Len() != 1 {
		t.Errorf("%d answers logged, want 1", logs.FilterMessage("answered").Len())
	}
}

// holdCall is the status of a call that is not answered.
const holdCall = -1

func holdAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http sees the end of a connection only then
	<-r.Context().Done()
}

func holdStream(w http.ResponseWriter, r *http.Request) {
	events(w, 1)
	holdAnswer(w, r)
}
