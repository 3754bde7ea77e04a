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

// lonely is an entry with tables in force and no backend server.
func lonely(tb testing.TB) *Entry {
	tb.Helper()
	s := settings.DefaultEntry()
	s.Common = settings.Common{Process: "entry", Zone: "a", Region: "west"}
	s.Control = []string{"127.0.0.1:1"}
	s.Caller.MaxBody = 1 << 10
	links, closeLinks := peer.NewLinks(peer.NewMeter(), 1<<20)
	tb.Cleanup(closeLinks)
	e, closeEntry, err := New(Config{
		Settings: s, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Links: links, Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(closeEntry)
	e.takeUpdate(&wire.Update{Revision: &wire.Revision{Number: 1, Routes: []byte(testRoutes), Pools: []byte(testPools)}})
	return e
}

func TestBadRequestsGetAReason(t *testing.T) {
	handler := lonely(t).Handler()
	for _, c := range []struct {
		name, method, path, workspace, header, value, body string
		status                                             int
		reason                                             string
	}{
		{"no such route", "POST", "/v1/routes/nowhere", "w", "", "", "", 404, "no such route"},
		{"no workspace", "POST", "/v1/routes/ask", "", "", "", "", 400, "Workspace header"},
		{"not a post", "GET", "/v1/routes/ask", "w", "", "", "", 405, "are posted"},
		{"another path", "POST", "/", "w", "", "", "", 404, "/v1/routes"},
		{"id with a slash", "POST", "/v1/routes/ask", "w", HeaderRequest, "a/b", "", 400, "Request-Id"},
		{"long id", "POST", "/v1/routes/ask", "w", HeaderRequest, strings.Repeat("x", 65), "", 400, "64 bytes"},
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
			var ended Ended
			if err := json.Unmarshal(w.Body.Bytes(), &ended); err != nil {
				t.Fatalf("%q is no JSON: %v", w.Body, err)
			}
			if w.Code != c.status || ended.Kind != kindBad || !strings.Contains(ended.Reason, c.reason) {
				t.Errorf("status %d, %+v; want %d with a reason that names %q", w.Code, ended, c.status, c.reason)
			}
		})
	}
}

// TestRevisionNeverGoesBack: a control instance that lags cannot undo what is in
// force.
func TestRevisionNeverGoesBack(t *testing.T) {
	e := lonely(t)
	later := &wire.Revision{Number: 3, Routes: []byte(testRoutes), Pools: []byte(testPools)}
	earlier := &wire.Revision{Number: 2, Routes: []byte(`{"routes": []}`), Pools: []byte(testPools)}
	e.takeUpdate(&wire.Update{Revision: later})
	e.takeUpdate(&wire.Update{Revision: earlier})
	if _, ok := e.router.Route("ask"); !ok || e.Revision() != 3 {
		t.Errorf("revision %d is in force, want 3", e.Revision())
	}
}

// TestMetricsAreBounded: callers who make up workspaces add no metrics.
func TestMetricsAreBounded(t *testing.T) {
	e := lonely(t)
	for i := range 50 {
		request := httptest.NewRequest(http.MethodPost, "/v1/routes/ask", strings.NewReader("x"))
		request.Header.Set(HeaderWorkspace, fmt.Sprintf("made-up-%d", i))
		e.Handler().ServeHTTP(httptest.NewRecorder(), request)
	}
	if n := len(e.config.Metrics.GetAll()); n > 20 {
		t.Errorf("%d metrics after 50 made-up workspaces", n)
	}
}

// FuzzDoor: whatever a caller sends, the answer is typed and comes at once.
func FuzzDoor(f *testing.F) {
	handler := lonely(f).Handler()
	f.Add("ask", "w", "id-1", "1s", "true", []byte("body"))
	f.Add("book", "w", "", "", "false", []byte{})
	f.Add("ask", "W W", "a/b", "-1s", "x", bytes.Repeat([]byte("x"), 2000))
	f.Fuzz(func(t *testing.T, route, workspace, id, deadline, repeatable string, body []byte) {
		request := httptest.NewRequest(http.MethodPost, "/v1/routes/x", bytes.NewReader(body))
		request.URL.Path = "/v1/routes/" + route
		request.Header = http.Header{
			HeaderWorkspace: {workspace}, HeaderRequest: {id}, HeaderDeadline: {deadline}, HeaderRepeatable: {repeatable},
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, request)
		var ended Ended
		if err := json.Unmarshal(w.Body.Bytes(), &ended); err != nil || ended.Kind == "" || ended.Reason == "" {
			t.Errorf("status %d without a reason: %q", w.Code, w.Body)
		}
	})
}
