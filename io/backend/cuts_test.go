package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/table"
)

// TestCutHeadLooksComplete guards against an answer that ends inside its head, a chunk-size
// line or its trailers, and that counts as a result, as a failure, or as "not run".
func TestCutHeadLooksComplete(t *testing.T) {
	digest := HeaderDigest + ": " + hexDigest(xxhash.Sum64String("whole")) + "\r\n"
	end := fmt.Sprintf("id: 0\ndata: \"whole\"\n\nevent: end\ndata: {\"length\": 5, \"digest\": %q}\n\n", hexDigest(xxhash.Sum64String("whole")))
	for _, c := range []struct {
		what, answer string
		kind         string
		want         outcomeKind // of the whole answer
	}{
		{"length and digest", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + digest + "Content-Length: 5\r\n\r\nwhole", table.Service, completed},
		{"a digest", "HTTP/1.1 200 OK\r\n" + digest + "\r\nwhole", table.Service, completed},
		{"chunks and trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\nSum: 1f\r\n\r\n", table.Service, completed},
		{"interim answers before", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", table.Service, completed},
		{"lines that end with LF", "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole", table.Service, completed},
		{"a refusal", "HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": true\r\n\r\n", table.Service, notRun},
		{"a failure", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", table.Service, failed},
		{"a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + end, table.ModelEngine, completed},
	} {
		for _, reset := range []bool{false, true} {
			for _, atMostOnce := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %t, at most once %t", c.what, reset, atMostOnce), func(t *testing.T) {
					t.Parallel()
					var cut, runs atomic.Int64
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path == PathLive {
							return
						}
						runs.Add(1)
						_, _ = io.Copy(io.Discard, r.Body) // unread data would turn the close into a reset
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							t.Error(err)
							return
						}
						defer conn.Close()
						_, _ = io.WriteString(conn, c.answer[:cut.Load()])
						if reset && int(cut.Load()) < len(c.answer) {
							if cut.Load()%2 == 0 {
								time.Sleep(time.Millisecond) // the client reads the bytes before
							}
							_ = conn.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
						}
					}))
					defer server.Close()
					for n := 0; n <= len(c.answer); n++ {
						if testing.Short() && n%5 != len(c.answer)%5 {
							continue
						}
						cut.Store(int64(n))
						runs.Store(0)
						client := newClient(server.Listener.Addr().String(), time.Minute, 1<<10, 0)
						attempt := call{kind: c.kind, key: tanagerroad.AttemptKey{Request: "r", Attempt: 1}, budget: time.Minute, atMostOnce: atMostOnce}
						got := ""
						result := client.run(t.Context(), attempt, func(p []byte) { got += string(p) })
						client.close()
						want := indeterminate
						if n == len(c.answer) {
							want = c.want
						}
						if result.kind != want || runs.Load() != 1 || want == completed && got != "whole" {
							t.Errorf("cut at %d, %q: got outcome %+v and result %q after %d runs, want kind %d after 1", n, c.answer[max(0, n-20):n], result, got, runs.Load(), want)
						}
					}
				})
			}
		}
	}
}
