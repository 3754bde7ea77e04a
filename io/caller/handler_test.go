package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

const (
	testRoutes = `{"routes": [
		{"name": "ask", "deadline": "2s", "stages": [{"name": "s", "pool": "p"}]},
		{"name": "book", "deadline": "2s", "repeatable": false, "stages": [{"name": "s", "pool": "p"}]}]}`
	testPools = `{"pools": [{"name": "p", "kind": "service"}]}`
)

// newTestEntry returns an entry that has tables but no backend server, and whose
// only control instance does not exist.
func newTestEntry(tb testing.TB) *Entry {
	tb.Helper()
	s := settings.DefaultEntry()
	s.Common = settings.Common{Process: "entry", Zone: "a", Region: "west"}
	s.Control = []string{"127.0.0.1:1"}
	s.Caller.MaxBody = 1 << 10
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	tb.Cleanup(closeConns)
	e, closeEntry, err := New(Config{
		Settings: s, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Conns: conns, Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(closeEntry)
	e.applyUpdate(&wire.Update{Revision: &wire.Revision{Number: 1, Routes: []byte(testRoutes), Pools: []byte(testPools)}})
	return e
}

func TestBadRequestsGetAReason(t *testing.T) {
	handler := newTestEntry(t).Handler()
	for _, c := range []struct {
		name, method, path, workspace, header, value, body string
		status                                             int
		reason                                             string
	}{
		{"no such route", "POST", "/v1/routes/nowhere", "w", "", "", "", 404, "no such route"},
		{"no workspace", "POST", "/v1/routes/ask", "", "", "", "", 400, "Workspace header"},
		{"not a post", "GET", "/v1/routes/ask", "w", "", "", "", 405, "are posted"},
		{"another path", "POST", "/", "w", "", "", "", 404, "/v1/routes"},
		{"id with a slash", "POST", "/v1/routes/ask", "w", HeaderRequestID, "a/b", "", 400, "Request-Id"},
		{"long id", "POST", "/v1/routes/ask", "w", HeaderRequestID, strings.Repeat("x", 65), "", 400, "64 bytes"},
		{"deadline without unit", "POST", "/v1/routes/ask", "w", HeaderDeadline, "8", "", 400, "duration"},
		{"repeatable maybe", "POST", "/v1/routes/ask", "w", HeaderRepeatable, "maybe", "", 400, "true or false"},
		{"body too large", "POST", "/v1/routes/ask", "w", "", "", strings.Repeat("x", 2000), 413, "1024 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			request.Header.Set(HeaderWorkspace, c.workspace)
			if c.header != "" {
				request.Header.Set(c.header, c.value)
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, request)
			var summary AnswerSummary
			if err := json.Unmarshal(w.Body.Bytes(), &summary); err != nil {
				t.Fatalf("%q is not valid JSON: %v", w.Body, err)
			}
			if w.Code != c.status || summary.Kind != kindBadRequest || !strings.Contains(summary.Reason, c.reason) {
				t.Errorf("status %d, %+v; want %d with a reason that contains %q", w.Code, summary, c.status, c.reason)
			}
		})
	}
}

// TestRevisionNeverGoesBack guards against an update from a lagging control
// instance that replaces the tables in force by an older revision.
func TestRevisionNeverGoesBack(t *testing.T) {
	e := newTestEntry(t)
	later := &wire.Revision{Number: 3, Routes: []byte(testRoutes), Pools: []byte(testPools)}
	earlier := &wire.Revision{Number: 2, Routes: []byte(`{"routes": []}`), Pools: []byte(testPools)}
	e.applyUpdate(&wire.Update{Revision: later})
	e.applyUpdate(&wire.Update{Revision: earlier})
	if _, ok := e.router.Route("ask"); !ok || e.Revision() != 3 {
		t.Errorf("revision %d is in force, want 3", e.Revision())
	}
}

// TestMetricsAreBounded guards against unbounded metrics: callers may send any
// workspace name, and only those listed in the tables get metrics of their own.
func TestMetricsAreBounded(t *testing.T) {
	e := newTestEntry(t)
	for i := range 50 {
		request := httptest.NewRequest(http.MethodPost, "/v1/routes/ask", strings.NewReader("x"))
		request.Header.Set(HeaderWorkspace, fmt.Sprintf("made-up-%d", i))
		e.Handler().ServeHTTP(httptest.NewRecorder(), request)
	}
	if n := len(e.config.Metrics.GetAll()); n > 20 {
		t.Errorf("%d metrics after 50 made-up workspaces", n)
	}
}

// FuzzDoor checks that every request, however malformed, gets a JSON answer with a
// kind and a reason. The entry has no backend server, so no answer is complete and
// none waits for the deadline.
func FuzzDoor(f *testing.F) {
	handler := newTestEntry(f).Handler()
	f.Add("ask", "w", "id-1", "1s", "true", []byte("body"))
	f.Add("book", "w", "", "", "false", []byte{})
	f.Add("ask", "W W", "a/b", "-1s", "x", bytes.Repeat([]byte("x"), 2000))
	f.Fuzz(func(t *testing.T, route, workspace, id, deadline, repeatable string, body []byte) {
		request := httptest.NewRequest(http.MethodPost, "/v1/routes/x", bytes.NewReader(body))
		request.URL.Path = "/v1/routes/" + route
		request.Header = http.Header{
			HeaderWorkspace: {workspace}, HeaderRequestID: {id}, HeaderDeadline: {deadline}, HeaderRepeatable: {repeatable},
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request)
		var summary AnswerSummary
		if err := json.Unmarshal(w.Body.Bytes(), &summary); err != nil || summary.Kind == "" || summary.Reason == "" {
			t.Errorf("status %d without a kind or a reason: %q", w.Code, w.Body)
		}
	})
}
