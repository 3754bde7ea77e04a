package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// earlyAnswers are answers to a long upload that come before it has been read, with what the
// backend server does behind them.
var earlyAnswers = []struct {
	what, answer string
	end          func(conn *net.TCPConn)
	whole        bool
}{
	{"without a length, reset", "HTTP/1.1 200 OK\r\n\r\nwhole", resetConn, false},
	{"without a length, closed with the upload unread", "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn) {
		for unread := 0; unread < 1; time.Sleep(time.Millisecond) { // without unread data the close is not a reset
			unread, _ = (&connection{Conn: conn}).peek()
		}
		_ = conn.Close()
	}, false},
	{"without a length, closed", "HTTP/1.1 200 OK\r\n\r\nwhole", closeWrite, true},
	{"without a length, closed and the upload read", "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}, true},
	{"without a length, closed and then reset", "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		resetConn(conn)
	}, true},
	{"HTTP/1.0, reset", "HTTP/1.0 200 OK\r\n\r\nwhole", resetConn, false},
	{"a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", resetConn, true},
	{"a length, reset before the end", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole", resetConn, false},
	{"chunks, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", resetConn, true},
	{"chunks, reset before the end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", resetConn, false},
	{"a length, the upload read on", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }, true},
}

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // makes Close reset the connection
	_ = conn.Close()
}

// closeWrite ends the answer and leaves the upload unread.
func closeWrite(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(100 * time.Millisecond)
}

// TestResetLooksLikeEnd guards against an answer without a length that is reset while the
// request's body is written, and that counts as complete; and against an early answer that is
// whole and is lost.
func TestResetLooksLikeEnd(t *testing.T) {
	for _, a := range earlyAnswers {
		t.Run(a.what, func(t *testing.T) {
			t.Parallel()
			address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, a.answer)
				time.Sleep(2 * time.Millisecond) // the client's write waits for the backend server
				a.end(conn.(*net.TCPConn))
			})
			client, closeClient := New()
			defer closeClient()
			for try := range 20 {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				r := Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 16<<20), NewConn: true}
				res, err := client.Do(ctx, r)
				if err != nil {
					t.Errorf("try %d: %v, want the head of an answer", try, err)
					cancel()
					continue
				}
				time.Sleep(time.Duration(try%4) * 3 * time.Millisecond) // a caller that is slow to read
				body, err := io.ReadAll(res)
				if a.whole && (string(body) != "whole" || err != nil) {
					t.Errorf("try %d: got %q (error %v), want the whole answer", try, body, err)
				}
				if !a.whole && err == nil {
					t.Errorf("try %d: got %q as a complete answer", try, body)
				}
				if _, again := res.Read(make([]byte, 1)); !errors.Is(again, io.EOF) && err == nil {
					t.Errorf("try %d: got error %v behind the end", try, again)
				}
				res.Close()
				cancel()
			}
		})
	}
}
