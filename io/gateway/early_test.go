package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// upload sends a long body and returns the status of the answer, the body and the error of
// reading it.
func upload(t *testing.T, address, path, id string) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	return send(ctx, t, address, path, id, bytes.NewReader(make([]byte, 16<<20)))
}

// TestResetAnswerIsPassedOn guards against an early answer to a long upload that is reset, and
// that the caller gets as a complete one; and against one that is whole and that it does not get.
func TestResetAnswerIsPassedOn(t *testing.T) {
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) } // makes Close reset the connection
	closeWrite := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(100 * time.Millisecond)
	}
	const events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	for _, c := range []struct {
		what, path, head, body string
		end                    func(conn *net.TCPConn)
		whole                  bool
	}{
		{"a booking without a length, reset", "/book/1", "", "some", reset, false},
		{"a booking without a length, closed", "/book/1", "", "some", closeWrite, true},
		{"a booking with a length, reset", "/book/1", "Content-Length: 4\r\n", "some", reset, true},
		{"a stream without a length, reset between two events", "/live/1", "Content-Type: text/event-stream\r\n", events, reset, false},
		{"a stream that may go on, reset between two events", "/stream/1", "Content-Type: text/event-stream\r\n", events, reset, false},
		{"a stream without a length, closed", "/live/1", "Content-Type: text/event-stream\r\n", events, closeWrite, true},
		{"a stream with a length, reset", "/live/1", fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(events)), events, reset, true},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, "s1", func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n%s\r\n%s", headerID, r.Header.Get(headerID), headerSigned, c.head, c.body)
				time.Sleep(2 * time.Millisecond) // the gateway's write waits for the backend server
				c.end(conn.(*net.TCPConn))
			})
			g, address := newPatientGateway(t, b)
			g.catalog.Load().Limits.MaxBodyBytes = 32 << 20
			for i := range 8 {
				status, body, err := upload(t, address, c.path, fmt.Sprint(i))
				if c.whole && (status != http.StatusOK || body != c.body || err != nil) {
					t.Errorf("got %d %q (error %v), want the whole answer", status, body, err)
				}
				if !c.whole && status == http.StatusOK && err == nil {
					t.Errorf("got %d %q as a complete answer", status, body)
				}
			}
		})
	}
}
