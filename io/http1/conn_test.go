package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// brokenConn is a connection that breaks after a number of written bytes.
type brokenConn struct {
	net.Conn
	left int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	n := min(len(p), c.left)
	c.left -= n
	if n < len(p) {
		return n, net.ErrClosed
	}
	return n, nil
}

// TestPartlyWrittenRequestIsUnsent guards against a request of which a part was written,
// and that is reported as not sent.
func TestPartlyWrittenRequestIsUnsent(t *testing.T) {
	for _, length := range []int{10, maxInlineRequest} {
		for _, written := range []int{0, 1} {
			conn := &connection{Conn: &brokenConn{left: written}}
			_, err := conn.send(Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: make([]byte, length)})
			var unsent *UnsentError
			if err == nil || errors.As(err, &unsent) != (written == 0) {
				t.Errorf("%d bytes of a request with a body of %d written: got %v", written, length, err)
			}
		}
	}
}

// TestRequestOnClosingConnection guards against a request on a connection that its server
// is about to close.
func TestRequestOnClosingConnection(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5": 3 * time.Second, "max=100, Timeout = 2": defaultIdleTimeout, "max=100, Timeout=2": 1200 * time.Millisecond, "timeout=0": 0,
		"": defaultIdleTimeout, "timeout=-1": defaultIdleTimeout, "timeout=soon": defaultIdleTimeout, "max=1": defaultIdleTimeout,
	} {
		if got := keepAliveTimeout(header); got != want {
			t.Errorf("Keep-Alive %q: reused for %v, want %v", header, got, want)
		}
	}
}

// echo answers each request with its body and a Keep-Alive timeout of 5 s.
func echo(conn net.Conn, reader *bufio.Reader) {
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// TestIdleConnectionsOfGoneServers guards against connections that stay open to backend
// servers that are gone, or for longer than these keep them.
func TestIdleConnectionsOfGoneServers(t *testing.T) {
	c, closeClient := New()
	defer closeClient()
	now := time.Unix(1000, 0)
	c.clock = func() time.Time { return now }
	address := startBackend(t, echo)
	reused := func() int64 {
		t.Helper()
		before := c.Reused.Load()
		res, err := c.Do(t.Context(), Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("b")})
		if err != nil {
			t.Fatal(err)
		}
		defer res.Close()
		if body, err := io.ReadAll(res); string(body) != "b" || err != nil {
			t.Fatalf("got %q %v", body, err)
		}
		return c.Reused.Load() - before
	}
	reused()
	c.PruneIdle(map[string]bool{address: true})
	if reused() != 1 {
		t.Error("the connection to a present server is closed")
	}
	c.PruneIdle(nil)
	if reused() != 0 {
		t.Error("the connection to a server that is gone stays")
	}
	now = now.Add(3 * time.Second)
	if reused() != 0 {
		t.Error("a connection is reused after the time that its server keeps it for")
	}
	now = now.Add(3 * time.Second)
	if c.PruneIdle(map[string]bool{address: true}); len(c.idle) != 0 {
		t.Errorf("%d addresses have idle connections that their servers no longer keep", len(c.idle))
	}
}

// TestConnectionOfEndedContextIsReused guards against a connection whose deadline has been
// set to the past, and that the next request gets.
func TestConnectionOfEndedContextIsReused(t *testing.T) {
	c, closeClient := New()
	defer closeClient()
	address := startBackend(t, echo)
	ctx, cancel := context.WithCancel(t.Context())
	res, err := c.Do(ctx, Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("a")})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(res); err != nil {
		t.Fatal(err)
	}
	cancel()
	res.Close()
	res, err = c.Do(t.Context(), Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("b")})
	if err != nil {
		t.Fatal(err)
	}
	defer res.Close()
	if body, err := io.ReadAll(res); string(body) != "b" || err != nil || c.Reused.Load() != 0 {
		t.Errorf("got %q %v on %d reused connections, want none", body, err, c.Reused.Load())
	}
}

// TestBodyIsTakenForRequest guards against a body without a length, which a backend server
// takes for the next request.
func TestBodyIsTakenForRequest(t *testing.T) {
	c, closeClient := New()
	defer closeClient()
	address := startBackend(t, echo)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		body := "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
		res, err := c.Do(t.Context(), Request{Address: address, Method: method, Target: "/x", Host: "h", Body: []byte(body)})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(res); string(got) != body || err != nil {
			t.Errorf("%s: the backend server read the body %q (%v), want %q", method, got, err, body)
		}
		res.Close()
	}
}

// TestEndlessStrayResponses guards against responses to other requests that are skipped
// without end, or of which one is taken for the request's own as it is too long to skip.
func TestEndlessStrayResponses(t *testing.T) {
	for name, strays := range map[string][]int{"many": {1, 1, 1, 1}, "long": {maxStrayBody}} {
		address := startBackend(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			for _, length := range strays {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", length))
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown")
		})
		c, closeClient := New()
		res, err := c.Do(t.Context(), Request{
			Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Matches: func(h http.Header) bool { return h.Get("Id") == "own" },
		})
		if err == nil {
			body, _ := io.ReadAll(io.LimitReader(res, 10)) // the error is of no interest
			res.Close()
			t.Errorf("%s: got a response to %q with %q, want an error", name, res.Header.Get("Id"), body)
		}
		closeClient()
	}
}

// TestUnreadBodyIsTakenForResponse guards against a connection on which the rest of a body
// is still to come, and that the next request gets.
func TestUnreadBodyIsTakenForResponse(t *testing.T) {
	address := startBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
			time.Sleep(20 * time.Millisecond) // until the caller has gone on
			fmt.Fprint(conn, "cd")
		}
	})
	c, closeClient := New()
	defer closeClient()
	r := Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"}
	res, err := c.Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(res, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	res.Close()
	res, err = c.Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Close()
	if body, err := io.ReadAll(res); string(body) != "abcd" || err != nil {
		t.Errorf("got %q %v, want the whole response", body, err)
	}
}

// TestConnectionOfClosingServerIsReused guards against a request on a connection whose last
// response said that it closes, and against a new connection for each chunked response.
func TestConnectionOfClosingServerIsReused(t *testing.T) {
	for head, want := range map[string]int64{
		"Connection: close\r\nContent-Length: 0\r\n\r\n":        2,
		"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n": 1,
	} {
		address := startBackend(t, func(conn net.Conn, reader *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n"+head)
			}
		})
		c, closeClient := New()
		for range 2 {
			res, err := c.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(res); err != nil {
				t.Error(err)
			}
			res.Close()
		}
		if got := c.Opened.Load(); got != want {
			t.Errorf("%q: two requests on %d connections, want %d", head, got, want)
		}
		closeClient()
	}
}

// brokenTCP is a TCP connection on which nothing can be written.
type brokenTCP struct{ *net.TCPConn }

func (brokenTCP) Write([]byte) (int, error) { return 0, net.ErrClosed }

// TestUnwrittenRequestMayHaveRun guards against a request of which nothing was written, and
// that is reported as sent.
func TestUnwrittenRequestMayHaveRun(t *testing.T) {
	c, closeClient := New()
	defer closeClient()
	address := startBackend(t, echo)
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.putIdle(address, &connection{Conn: brokenTCP{raw.(*net.TCPConn)}, reader: bufio.NewReader(raw), idleTimeout: time.Minute})
	_, err = c.Do(t.Context(), Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h"})
	var unsent *UnsentError
	if !errors.As(err, &unsent) || c.Reused.Load() != 1 {
		t.Errorf("got %v on %d reused connections, want an UnsentError on one", err, c.Reused.Load())
	}
}

// TestIdleConnectionsPileUp guards against idle connections without limit, and against a
// connection that becomes idle when the client has been closed.
func TestIdleConnectionsPileUp(t *testing.T) {
	c, closeClient := New()
	add := func() {
		conn, _ := net.Pipe()
		c.putIdle("a", &connection{Conn: conn})
	}
	for range maxIdlePerServer + 1 {
		add()
	}
	if got := len(c.idle["a"]); got != maxIdlePerServer {
		t.Errorf("%d idle connections, want %d", got, maxIdlePerServer)
	}
	closeClient()
	add()
	if len(c.idle) > 0 {
		t.Error("a closed client keeps an idle connection")
	}
}

// TestRefuses guards against a backend server that listens, and is taken for a crashed one.
func TestRefuses(t *testing.T) {
	c, closeClient := New()
	defer closeClient()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if c.Refuses(t.Context(), address) {
		t.Error("an address that listens counts as refusing")
	}
	_ = listener.Close()
	if !c.Refuses(t.Context(), address) {
		t.Error("an address that nothing listens on counts as listening")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if c.Refuses(ctx, address) {
		t.Error("an address that was not asked counts as refusing")
	}
}

// TestEndedServerLooksAlive guards against a backend server that has ended and started
// again, and that is taken for the one that ran a request.
func TestEndedServerLooksAlive(t *testing.T) {
	for what, c := range map[string]struct {
		close, request bool
		want           Liveness
	}{
		"it runs":                               {false, false, Alive},
		"it runs, and answers another request":  {false, true, Alive},
		"it has closed its connection":          {true, false, Ended},
		"it has, and another request was first": {true, true, Ended},
	} {
		closing := make(chan struct{})
		address := startBackend(t, func(conn net.Conn, reader *bufio.Reader) {
			go func() {
				<-closing
				_ = conn.Close()
			}()
			echo(conn, reader)
		})
		client, closeClient := New()
		call := func() {
			res, err := client.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
			if err != nil {
				return // the new start closes its connections as well
			}
			_, _ = io.ReadAll(res)
			res.Close()
		}
		before := time.Now()
		call()
		ended := time.Now()
		if got := client.LivenessSince(address, before); got != Unknown {
			t.Errorf("%s: before the first connection: got %s, want %s", what, got, Unknown)
		}
		if c.close {
			close(closing)
			time.Sleep(20 * time.Millisecond)
		}
		if c.request {
			call()
		}
		if got := client.LivenessSince(address, ended); got != c.want {
			t.Errorf("%s: got %s, want %s", what, got, c.want)
		}
		closeClient()
	}
}

// TestEndedProcessLooksAlive guards against a process that has ended, and is taken for the one
// that listened there before, and against one that is taken for ended although a connection from
// before is open.
func TestEndedProcessLooksAlive(t *testing.T) {
	for _, c := range []struct {
		what       string
		idle       int  // connections to it
		closed     int  // of these, the newest first
		broken     bool // another one ended before its answer
		restarted  bool // its next start is known
		request    bool // another request is sent then
		mayHaveEnd bool
	}{
		{"no connection", 0, 0, false, false, false, false},
		{"an open one", 1, 0, false, false, false, false},
		{"a closed one", 1, 1, false, false, false, true},
		{"a closed one, found by a request", 1, 1, false, false, true, true},
		{"a closed one of the start before", 1, 1, false, true, false, false},
		{"a closed one of the start before, found by a request", 1, 1, false, true, true, false},
		{"an open one from before the closed one", 2, 1, false, false, false, false},
		{"two closed ones", 2, 2, false, false, false, true},
		{"a broken one", 0, 0, true, false, false, true},
		{"an open one from before the broken one", 1, 0, true, false, false, false},
		{"a broken one of the start before", 0, 0, true, true, false, false},
	} {
		served := make(chan net.Conn, 4)
		address := startBackend(t, func(conn net.Conn, reader *bufio.Reader) {
			served <- conn
			echo(conn, reader)
		})
		client, closeClient := New()
		start := time.Now()
		var all []net.Conn
		call := func(newConn bool) {
			res, err := client.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", NewConn: newConn})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(res)
			res.Close()
		}
		for range c.idle {
			call(true)
			all = append(all, <-served)
		}
		for i := range c.closed {
			_ = all[len(all)-1-i].Close()
		}
		if c.broken {
			client.RecordBroken(address)
		}
		time.Sleep(20 * time.Millisecond) // until the ends have arrived
		if c.restarted {
			start = time.Now()
		}
		if c.request {
			call(false)
		}
		if got := client.MayHaveEnded(address, start, start.Add(-time.Second)); got != c.mayHaveEnd {
			t.Errorf("%s: may have ended: %t, want %t", c.what, got, c.mayHaveEnd)
		}
		closeClient()
	}
}
