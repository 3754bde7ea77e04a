package backend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/table"
)

// TestUnresumedStreamDidNotRun guards against a stream that has begun, breaks off, cannot
// be resumed, and then counts as not run.
func TestUnresumedStreamDidNotRun(t *testing.T) {
	for name, resume := range map[string]func(w http.ResponseWriter, server *httptest.Server){
		"nothing listens": func(_ http.ResponseWriter, server *httptest.Server) { _ = server.Listener.Close() },
		"rejected":        nil,
	} {
		t.Run(name, func(t *testing.T) {
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case PathGenerate:
					_, _ = io.WriteString(w, "id: 0\ndata: \"one \"\n\n")
					w.(http.Flusher).Flush()
					if resume != nil {
						resume(w, server)
					}
					panic(http.ErrAbortHandler)
				case PathStreams:
					w.Header().Set(HeaderNotRun, "true")
					w.WriteHeader(http.StatusNotFound)
				}
			}))
			defer server.Close()
			client := newClient(server.Listener.Addr().String(), time.Minute, 1<<10, 2)
			defer client.close()
			result := client.run(t.Context(), call{kind: table.ModelEngine, key: tanagerroad.AttemptKey{Request: "r", Attempt: 1}, budget: time.Minute}, func([]byte) {})
			if result.kind != indeterminate {
				t.Errorf("got outcome %+v, want kind %d: it ran", result, indeterminate)
			}
		})
	}
}
