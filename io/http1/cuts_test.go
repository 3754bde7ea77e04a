package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// cutAnswers are answers to a request with the id 1 that are cut at every byte from the
// given one on.
var cutAnswers = []struct {
	what, answer string
	from         int
}{
	{"length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\nX-Response-Sign: 3e1b.07.5a2\r\nContent-Length: 34\r\n\r\n" + strings.Repeat("x", 34), 0},
	{"chunks and trailers", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" +
		"1a\r\n" + strings.Repeat("x", 26) + "\r\n10;a=b\r\n" + strings.Repeat("x", 16) + "\r\n0\r\nSum: 1f\r\n\r\n", 0},
	{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + strings.Repeat("x", 16) + "\r\n0\r\n\r\n", 0},
	{"lines that end with LF", "HTTP/1.1 200 OK\nId: 1\nX-Response-Sign: 3e1b.07\nContent-Length: 34\n\n" + strings.Repeat("x", 34), 0},
	{"neither length nor chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nX-Response-Sign: 3e1b.07\r\n\r\n" + strings.Repeat("x", 9), 0},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\n" + strings.Repeat("x", 12), 0},
	{"no body", "HTTP/1.1 204 No Content\r\nId: 1\r\nX-Response-Sign: 3e1b.07\r\n\r\n", 0},
	{"length 0", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\nX-Note: a\r\n\r\n", 0},
	{"a line that goes on in the next one", "HTTP/1.1 200 OK\r\nId: 1\r\nX-Note: a\r\n b\r\nContent-Length: 12\r\n\r\n" + strings.Repeat("x", 12), 0},
	{"interim answers before", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nxxx", 0},
	{"an answer to another request before", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nyyHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nxxx", 0},
	{"a line as long as the buffer", "HTTP/1.1 200 OK\r\nId: 1\r\nX-Fill: " + strings.Repeat("x", 2*readBufferSize) + "\r\nContent-Length: 3\r\n\r\nxxx", 2 * readBufferSize},
	{"a blank line at the end of the buffer", "HTTP/1.1 200 OK\r\nId: 1\r\nX-Fill: " + strings.Repeat("x", readBufferSize-37) + "\r\n\r\nxxx", readBufferSize - 60},
}

// endings are what a backend server does behind the cut.
var endings = map[string]func(conn *net.TCPConn, cut int){
	"close": func(*net.TCPConn, int) {},
	"reset": func(conn *net.TCPConn, cut int) {
		if cut%2 == 0 {
			time.Sleep(time.Millisecond) // the client reads the bytes before
		}
		_ = conn.SetLinger(0) // makes Close reset the connection
	},
	"half-close": func(conn *net.TCPConn, _ int) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // returns when the client closes
	},
	"silence": func(conn *net.TCPConn, _ int) { _, _ = io.Copy(io.Discard, conn) }, // until the client gives up
}

// TestCutHeadLooksWhole guards against an answer that ends inside its head, a chunk-size
// line or its trailers, and that counts as one, with what of a value has arrived.
func TestCutHeadLooksWhole(t *testing.T) {
	for _, a := range cutAnswers {
		separator := "\r\n\r\n"
		if !strings.Contains(a.answer, separator) {
			separator = "\n\n"
		}
		headEnd := strings.LastIndex(a.answer, "Id: 1")
		headEnd += strings.Index(a.answer[headEnd:], separator) + len(separator)
		untilClose := !strings.Contains(a.answer, "Content-Length") && !strings.Contains(a.answer, "chunked")
		for ending, end := range endings {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept %t", a.what, ending, kept), func(t *testing.T) {
					t.Parallel()
					var giveUp atomic.Pointer[context.CancelFunc] // ends the client's call
					address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
						for {
							req, err := readRequest(r)
							if err != nil {
								return
							}
							cut, err := strconv.Atoi(req.URL.Path[1:])
							if err != nil {
								respond(conn, req.Header.Get("Id"), "whole")
								continue
							}
							_, _ = io.WriteString(conn, a.answer[:cut])
							if ending == "silence" {
								time.AfterFunc(10*time.Millisecond, *giveUp.Load())
							}
							end(conn.(*net.TCPConn), cut)
							return
						}
					})
					step := 1
					if testing.Short() || ending == "silence" {
						step = 7
					}
					for cut := a.from; cut < len(a.answer); cut += step {
						client, closeClient := New()
						client.dialer.Timeout = time.Minute // on a busy machine
						if kept {
							if body, err := get(t, client, request(address, "0")); body != "whole" || err != nil {
								t.Fatal(body, err)
							}
						}
						r := request(address, "1")
						r.Target = fmt.Sprint("/", cut)
						ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
						giveUp.Store(&cancel)
						res, err := client.Do(ctx, r)
						var unsent *UnsentError
						switch {
						case errors.As(err, &unsent):
							t.Errorf("cut at %d: %v, want an error that is not an UnsentError", cut, err)
						case err == nil && cut < headEnd:
							t.Errorf("cut at %d, %q: got an answer with status %d, length %d and the header %v", cut, a.answer[max(0, cut-20):cut], res.StatusCode, res.ContentLength, res.Header)
						case err != nil && cut >= headEnd && (ending == "close" || ending == "half-close"):
							t.Errorf("cut at %d, behind the head: %v", cut, err)
						case err == nil:
							body, err := io.ReadAll(res)
							mayLookWhole := untilClose && (ending == "close" || ending == "half-close")
							if (err == nil) != mayLookWhole {
								t.Errorf("cut at %d, %q: got body %q (error %v), want an error: %t", cut, a.answer[max(0, cut-20):cut], body, err, !mayLookWhole)
							}
						}
						if res != nil {
							res.Close()
						}
						cancel()
						if open := len(client.open); open != 0 {
							t.Errorf("cut at %d: the connection is still open", cut)
						}
						if kept != (client.Reused.Load() == 1) {
							t.Errorf("cut at %d: %d connections were reused", cut, client.Reused.Load())
						}
						closeClient()
					}
				})
			}
		}
		t.Run(a.what+", not cut", func(t *testing.T) {
			var served atomic.Int64
			address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					served.Add(1)
					_, _ = io.WriteString(conn, a.answer)
				}
			})
			client, closeClient := New()
			defer closeClient()
			if body, err := get(t, client, request(address, "1")); err != nil || strings.Trim(body, "x") != "" || served.Load() != 1 {
				t.Errorf("got body %q (error %v) after %d requests, want a whole answer after one", body, err, served.Load())
			}
		})
	}
}
