package backend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/table"
)

// TestCutResultLooksComplete guards against a service's result that is cut off by the
// close of its connection and counts as complete.
func TestCutResultLooksComplete(t *testing.T) {
	digest := HeaderDigest + ": " + hexDigest(xxhash.Sum64String("whole")) + "\r\n"
	for _, c := range []struct {
		name, head, body string
		want             outcomeKind
	}{
		{"ends with its connection", "", "who", indeterminate},
		{"ends with its connection, cut before its digest", digest, "who", indeterminate},
		{"ends with its connection, as its digest says", digest, "whole", completed},
		{"has a length", "Content-Length: 5\r\n", "whole", completed},
		{"has a length and is cut", "Content-Length: 5\r\n", "who", indeterminate},
		{"has a length and another digest", digest + "Content-Length: 5\r\n", "other", failed},
		{"has chunks", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", completed},
		{"has chunks and is cut", "Transfer-Encoding: chunked\r\n", "3\r\nwho\r\n", indeterminate},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == PathLive {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body) // unread data would turn the close into a reset
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", c.head, c.body)
			}))
			defer server.Close()
			client := newClient(server.Listener.Addr().String(), time.Minute, 1<<10, 0)
			defer client.close()
			got := ""
			result := client.run(t.Context(), call{kind: table.Service, key: tanagerroad.AttemptKey{Request: "r", Attempt: 1}, budget: time.Minute}, func(p []byte) { got += string(p) })
			if result.kind != c.want || result.serverDown || (result.kind == completed) != (got == "whole") {
				t.Errorf("got outcome %+v and result %q, want kind %d", result, got, c.want)
			}
		})
	}
}
