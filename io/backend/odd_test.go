package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/table"
)

// runAgainst runs an attempt at a backend server that writes an answer before it has read the
// input, and then ends the connection.
func runAgainst(t *testing.T, attempt call, answer string, end func(*net.TCPConn)) (outcome, string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathLive {
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
		time.Sleep(2 * time.Millisecond) // the write of a long input waits for the backend server
		end(conn.(*net.TCPConn))
	}))
	defer server.Close()
	client := newClient(server.Listener.Addr().String(), time.Minute, 1<<10, 0)
	defer client.close()
	attempt.key, attempt.budget = tanagerroad.AttemptKey{Request: "r", Attempt: 1}, time.Minute
	got := ""
	result := client.run(t.Context(), attempt, func(p []byte) { got += string(p) })
	return result, got
}

// TestOddHeadIsAnOutcome guards against an answer with a head that HTTP does not allow, and
// that counts as a result, as a failure, or as "not run".
func TestOddHeadIsAnOutcome(t *testing.T) {
	digest := HeaderDigest + ": " + hexDigest(xxhash.Sum64String("whole")) + "\r\n"
	end := fmt.Sprintf("id: 0\ndata: \"whole\"\n\nevent: end\ndata: {\"length\": 5, \"digest\": %q}\n\n", hexDigest(xxhash.Sum64String("whole")))
	for what, c := range map[string]struct{ answer, kind string }{
		"status 000":                         {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", table.Service},
		"status 000, not run":                {"HTTP/1.1 000 None\r\n" + HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n", table.Service},
		"status 000 before a result":         {"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + digest + "Content-Length: 5\r\n\r\nwhole", table.Service},
		"a blank in a name":                  {"HTTP/1.1 200 OK\r\nX Note: a\r\n" + digest + "Content-Length: 5\r\n\r\nwhole", table.Service},
		"a blank behind the name of a limit": {"HTTP/1.1 200 OK\r\n" + HeaderLimit + " : 1\r\nContent-Length: 5\r\n\r\nwhole", table.Service},
		"a blank in a name, not run":         {"HTTP/1.1 503 Full\r\n" + HeaderNotRun + ": true\r\nX Note: a\r\nContent-Length: 0\r\n\r\n", table.Service},
		"a blank in a name, failed":          {"HTTP/1.1 500 Odd\r\nX Note: a\r\nContent-Length: 0\r\n\r\n", table.Service},
		"a control byte in a name":           {"HTTP/1.1 200 OK\r\nX\x01Note: a\r\n" + digest + "Content-Length: 5\r\n\r\nwhole", table.Service},
		"a stream with a blank in a name":    {"HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Type: text/event-stream\r\n\r\n" + end, table.ModelEngine},
		"a stream with status 000, not run":  {"HTTP/1.1 000 None\r\n" + HeaderNotRun + ": true\r\n\r\n", table.ModelEngine},
	} {
		for _, atMostOnce := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, at most once %t", what, atMostOnce), func(t *testing.T) {
				t.Parallel()
				result, got := runAgainst(t, call{kind: c.kind, atMostOnce: atMostOnce}, c.answer, func(*net.TCPConn) {})
				if result.kind != indeterminate || result.serverDown || got != "" {
					t.Errorf("got outcome %+v and result %q, want kind %d", result, got, indeterminate)
				}
			})
		}
	}
}

// TestEarlyResultIsLost guards against a result that comes before a long input is read, that is
// whole, and that is lost with the connection; and against one that is cut and counts.
func TestEarlyResultIsLost(t *testing.T) {
	digest := HeaderDigest + ": " + hexDigest(xxhash.Sum64String("whole")) + "\r\n"
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) } // makes Close reset the connection
	closeWrite := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}
	for what, c := range map[string]struct {
		answer string
		end    func(*net.TCPConn)
		want   outcomeKind
	}{
		"a length, reset":                     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", reset, completed},
		"a length, closed":                    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", closeWrite, completed},
		"a length, cut":                       {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole", reset, indeterminate},
		"chunks, reset":                       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", reset, completed},
		"a digest, closed":                    {"HTTP/1.1 200 OK\r\n" + digest + "\r\nwhole", closeWrite, completed},
		"neither length nor digest, closed":   {"HTTP/1.1 200 OK\r\n\r\nwhole", closeWrite, indeterminate},
		"neither length nor digest, reset":    {"HTTP/1.1 200 OK\r\n\r\nwhole", reset, indeterminate},
		"a digest, reset before the end":      {"HTTP/1.1 200 OK\r\n" + digest + "\r\nwho", reset, indeterminate},
		"a refusal, reset":                    {"HTTP/1.1 503 Full\r\n" + HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n", reset, notRun},
		"a failure without a length, closed":  {"HTTP/1.1 500 Failed\r\n\r\nwhy", closeWrite, failed},
		"nothing of an answer but its status": {"HTTP/1.1 503 Full\r\n", reset, indeterminate},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			for range 5 {
				result, got := runAgainst(t, call{kind: table.Service, input: make([]byte, 16<<20), atMostOnce: true}, c.answer, c.end)
				if result.kind != c.want || result.serverDown || (got == "whole") != (c.want == completed) {
					t.Errorf("got outcome %+v and result %q, want kind %d", result, got, c.want)
				}
			}
		})
	}
}
