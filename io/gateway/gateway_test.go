package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/catalog"
	"tanagerroad/core/memory"
	"tanagerroad/core/settings"
	"tanagerroad/io/httpserver"
	"tanagerroad/io/peer"
)

// Headers of the plain dialect.
const (
	headerID         = "Id"
	headerLeft       = "Left-Ms"
	headerServer     = "Server-Id"
	headerSigned     = "Signed"
	headerNotRun     = "Not-Run"
	headerKey        = "Key"
	headerWorkspace  = "Workspace"
	headerInputs     = "Inputs"
	headerLast       = "Last-Event"
	headerVersion    = "Version"
	headerPieces     = "Pieces"
	headerPieceKey   = "Piece-Key"
	headerRetryAfter = "Retry-After"
	headerLeaving    = "Leaving"
	headerPriority   = "Priority"
	headerBegunBy    = "Begun-By"
)

// plain is a dialect of plain headers and JSON documents.
type plain struct{ tanagerroad.Dialect }

func (plain) Paths() tanagerroad.Paths {
	return tanagerroad.Paths{Ready: "/ready", RunPieces: "/run-pieces", FreePieces: "/free-pieces"}
}

func millis(text string) time.Duration {
	n, _ := strconv.Atoi(text)
	return time.Duration(n) * time.Millisecond
}

func (plain) DecodeRequestHeaders(h http.Header) tanagerroad.RequestHeaders {
	out := tanagerroad.RequestHeaders{
		AttemptID: h.Get(headerID), Timeout: millis(h.Get(headerLeft)), APIKey: h.Get(headerKey), PieceKey: h.Get(headerPieceKey),
		LastEventID: h.Get(headerLast), BegunBy: h.Get(headerBegunBy),
	}
	for count := range strings.SplitSeq(h.Get(headerPieces), ",") {
		if n, err := strconv.Atoi(count); err == nil {
			out.PieceCounts = append(out.PieceCounts, n)
		}
	}
	return out
}

func (plain) ForwardHeaders(h http.Header, f tanagerroad.ForwardOptions) http.Header {
	out := http.Header{}
	out.Set(headerID, h.Get(headerID))
	out.Set(headerServer, f.Server)
	out.Set(headerLeft, strconv.FormatInt(f.Remaining.Milliseconds(), 10))
	out.Set(headerWorkspace, f.Workspace)
	out.Set(headerInputs, strings.Join(f.Inputs, " "))
	out.Set(headerLast, f.LastEventID)
	out.Set(headerVersion, f.Version)
	out.Set(headerPriority, strconv.Itoa(f.Priority))
	return out
}

func (plain) DecodeResponseHeaders(_ int, h http.Header) tanagerroad.ResponseHeaders {
	return tanagerroad.ResponseHeaders{
		AttemptID: h.Get(headerID), Signed: h.Get(headerSigned) != "", NotRun: h.Get(headerNotRun) != "", Server: h.Get(headerServer),
		Leaving: h.Get(headerLeaving) != "", RetryAfter: millis(h.Get(headerRetryAfter)), Version: h.Get(headerVersion),
	}
}

func (plain) VersionField() string { return "version" }

func (plain) EncodePieceRequest(items []tanagerroad.PieceItem) ([]byte, error) {
	return json.Marshal(items)
}

func (plain) PieceRequestHeaders(server string) http.Header {
	return http.Header{headerServer: {server}}
}

func (plain) DecodePieceOutcomes(body []byte) (out []tanagerroad.PieceOutcome, err error) {
	return out, json.Unmarshal(body, &out)
}

func (plain) HandleAddress(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

func (plain) EncodeFreeRequest(handles []string) ([]byte, error) { return json.Marshal(handles) }

// maxTestBody is the limit of a request's body in the configuration, in bytes.
const maxTestBody = 1000

// lateClock is a clock whose process has run for long.
type lateClock struct{ tanagerroad.SystemClock }

func (c lateClock) Now() time.Duration { return time.Hour + c.SystemClock.Now() }

// backend is a backend server whose answers a test scripts. Unless an answer says
// otherwise, it is signed and carries the request's id.
type backend struct {
	*httptest.Server
	id   string
	runs atomic.Int64
}

func newBackend(t testing.TB, id string, answer func(w http.ResponseWriter, r *http.Request)) *backend {
	t.Helper()
	b := &backend{id: id}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerServer, id)
		w.Header().Set(headerSigned, "yes")
		answer(w, r)
	}))
	t.Cleanup(b.Close)
	return b
}

var routes = []tanagerroad.CatalogRoute{
	{Name: "book", Host: "h", PathPrefix: "/book/", Repeatability: tanagerroad.AtMostOnce, MaxServers: 1, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}}},
	{Name: "look", Host: "h", PathPrefix: "/look/", Repeatability: tanagerroad.Idempotent, MaxServers: 3, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}}},
	{Name: "stream", Host: "h", PathPrefix: "/stream/", Repeatability: tanagerroad.Stream, Resumable: true, MaxServers: 3, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}}},
	{Name: "split", Host: "h", PathPrefix: "/split/", Repeatability: tanagerroad.Stream, MaxServers: 1, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}, {Pool: "last", Weight: 1}}},
	{Name: "live", Host: "h", PathPrefix: "/live/", Repeatability: tanagerroad.Stream, MaxServers: 3, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}}},
	{Name: "open", Host: "h", PathPrefix: "/open/", Repeatability: tanagerroad.Idempotent, Public: true, MaxServers: 1, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}}},
	{
		Name: "staged", Host: "h", PathPrefix: "/staged/", Repeatability: tanagerroad.Stream, Resumable: true, MaxServers: 2, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}},
		Stages: []tanagerroad.CatalogStage{{Pool: "prep", Bytes: 100}},
	},
	{
		Name: "chain", Host: "h", PathPrefix: "/chain/", Repeatability: tanagerroad.Idempotent, MaxServers: 1, Targets: []tanagerroad.Target{{Pool: "p", Weight: 1}},
		Stages: []tanagerroad.CatalogStage{{Pool: "prep", Bytes: 40 << 10}, {Pool: "last", Bytes: 100, After: []int{0}}},
	},
}

// newTestGateway returns a gateway that holds a configuration and the given backend servers
// of the pool p, or prep or last if their ids begin so, and the address of its callers' listener.
func newTestGateway(t testing.TB, servers ...*backend) (*Gateway, string) {
	t.Helper()
	return newLoggedGateway(t, zap.NewNop(), servers...)
}

func newLoggedGateway(t testing.TB, logger *zap.Logger, servers ...*backend) (*Gateway, string) {
	t.Helper()
	return newGatewayAt(t, "127.0.0.1:1", logger, servers...)
}

// newGatewayAt returns a gateway that other gateways know by the given address.
func newGatewayAt(t testing.TB, peerAddress string, logger *zap.Logger, servers ...*backend) (*Gateway, string) {
	t.Helper()
	s := settings.DefaultGateway()
	s.Common = settings.Common{Process: "g", Zone: "z", Region: "r"}
	s.Peer.Address, s.Control = peerAddress, []string{"127.0.0.1:1"}
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	t.Cleanup(closeConns)
	g, closeGateway := New(Config{
		Settings: s, Dialect: plain{}, Clock: lateClock{tanagerroad.NewSystemClock()}, Logger: logger, Conns: conns, Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(closeGateway)
	traits := &tanagerroad.PieceTraits{
		Slots: 1, MaxQueue: 2, MaxBatch: 4, CallTime: 5 * time.Millisecond, PieceTime: time.Millisecond, ResultSpace: 1 << 20, ResultTTL: 4 * time.Second,
	}
	config := &tanagerroad.Catalog{
		Version: 1, Pools: []tanagerroad.CatalogPool{{Name: "p"}, {Name: "prep", Pieces: traits}, {Name: "last", Pieces: traits}},
		Limits:     tanagerroad.CallerLimits{MaxBodyBytes: maxTestBody},
		Workspaces: []tanagerroad.CatalogWorkspace{{Name: "w", APIKeys: []string{"k"}}},
	}
	for _, r := range routes {
		r.Timeout, r.LatencyObjective = 2*time.Second, 200*time.Millisecond
		config.Routes = append(config.Routes, r)
	}
	g.catalog.Store(catalog.New(config))
	g.mu.Lock()
	for _, b := range servers {
		pool := "p"
		for _, other := range []string{"prep", "last"} {
			if strings.HasPrefix(b.id, other) {
				pool = other
			}
		}
		g.roster.Apply(g.now(), "c", tanagerroad.Announcement{
			ID: b.id, Pool: pool, Address: b.Listener.Addr().String(), Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 1, StartMillis: 1000,
		})
	}
	g.applyRoster(g.now())
	g.mu.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := &http.Server{Handler: g}
	limiter := httpserver.NewLimiter(httpserver.Config{
		Account: memory.New(memory.DefaultConfig(64 << 20)), Clock: g.config.Clock, Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	limited := limiter.Apply(front, listener, httpserver.Limits{Name: "caller", MaxConnections: 1000})
	go func() { _ = front.Serve(limited) }() // returns when it is closed
	t.Cleanup(func() { _ = front.Close() })
	return g, listener.Addr().String()
}

// firstServer returns the first backend server of a pool.
func firstServer(g *Gateway, pool string) tanagerroad.Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleet.Pool(pool)[0]
}

// call sends a request and returns the status of its answer, 0 if there is none, the body,
// and the error of reading it.
func call(t *testing.T, address, path, id string, headers ...string) (int, string, error) {
	t.Helper()
	return send(t.Context(), t, address, path, id, strings.NewReader("body"), append([]string{headerLeft, "1500"}, headers...)...)
}

// send is call with a body, and without a deadline unless the headers have one.
func send(ctx context.Context, t *testing.T, address, path, id string, body io.Reader, headers ...string) (int, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set(headerID, id)
	r.Header.Set(headerKey, "k")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, string(answer), err
}

// TestAnswerOfAnotherRequest guards against an answer that a backend server sends for
// another request, and that is handed to this one.
func TestAnswerOfAnotherRequest(t *testing.T) {
	b := newBackend(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		for _, id := range []string{"another", r.Header.Get(headerID)} {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSigned, len(id), id)
		}
	})
	_, address := newTestGateway(t, b)
	if status, body, err := call(t, address, "/book/1", "own"); status != http.StatusOK || body != "own" || err != nil {
		t.Errorf("got %d %q %v, want the request's own answer", status, body, err)
	}
}

// TestUnsignedAnswer guards against an answer that does not come from a backend server and
// counts as one.
func TestUnsignedAnswer(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del(headerSigned)
		_, _ = io.WriteString(w, "unsigned") // the gateway reads it whole
	}
	signed := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "signed") }
	alone := newBackend(t, "s1", unsigned)
	_, address := newTestGateway(t, alone)
	if status, body, _ := call(t, address, "/book/1", "a"); status != http.StatusBadGateway || alone.runs.Load() != 1 {
		t.Errorf("a request that may run once: got %d %q after %d runs, want 502 after 1", status, body, alone.runs.Load())
	}
	first, second := newBackend(t, "s1", unsigned), newBackend(t, "s2", signed)
	_, address = newTestGateway(t, first, second)
	for i := 0; first.runs.Load() == 0 && i < 50; i++ {
		if status, body, _ := call(t, address, "/look/1", fmt.Sprint(i)); status != http.StatusOK || body != "signed" {
			t.Errorf("a request that may be repeated: got %d %q", status, body)
		}
	}
	if first.runs.Load() == 0 {
		t.Error("no request reached the backend server that does not sign")
	}
}

// TestForwardedDeadline guards against a backend server that is told the time of the
// deadline, on a clock that it does not know, in place of the time left.
func TestForwardedDeadline(t *testing.T) {
	left := make(chan time.Duration, 1)
	b := newBackend(t, "s1", func(_ http.ResponseWriter, r *http.Request) { left <- millis(r.Header.Get(headerLeft)) })
	_, address := newTestGateway(t, b)
	for _, c := range []struct {
		asked string
		most  time.Duration
	}{{"1500", 1500 * time.Millisecond}, {"60000", 2 * time.Second}, {"", 2 * time.Second}} { // the route allows 2 s
		call(t, address, "/book/1", "a", headerLeft, c.asked)
		if got := <-left; got > c.most || got < c.most-time.Second {
			t.Errorf("asked for %q: the backend server is told %s, want a little less than %s", c.asked, got, c.most)
		}
	}
}
