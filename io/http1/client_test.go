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
	"sync/atomic"
	"testing"
	"time"
)

// startBackend starts a backend server that calls serve for each connection, and
// returns its address.
func startBackend(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads a request and its body.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

// respond writes a response with the given Id header.
func respond(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// request returns a GET request that accepts only responses with its own id.
func request(address, id string) Request {
	return Request{
		Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// get sends r and reads the whole body of its response.
func get(t *testing.T, c *Client, r Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	res, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer res.Close()
	body, err := io.ReadAll(res)
	return string(body), err
}

// TestNoRetry: if a reused connection closes after a request was sent on it, the
// call fails. net/http's transport would retry a GET by itself.
func TestNoRetry(t *testing.T) {
	var received atomic.Int64
	address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			received.Add(1)
			if n > 0 {
				return // closes after the second request, without a response
			}
			respond(conn, req.Header.Get("Id"), "one")
		}
	})
	c, closeClient := New()
	defer closeClient()
	if body, err := get(t, c, request(address, "1")); body != "one" || err != nil {
		t.Fatal(body, err)
	}
	_, err := get(t, c, request(address, "2"))
	var unsent *UnsentError
	if err == nil || errors.As(err, &unsent) || received.Load() != 2 {
		t.Errorf("got error %v after %d requests; want an error that is not an UnsentError, after 2", err, received.Load())
	}
}

// TestClosedIdleConnectionIsNotReused: after the server closed an idle connection,
// the next request opens a new one.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
		if req, err := readRequest(r); err == nil {
			respond(conn, req.Header.Get("Id"), "one")
		}
	})
	c, closeClient := New()
	defer closeClient()
	for i := range 3 {
		if body, err := get(t, c, request(address, fmt.Sprint(i))); body != "one" || err != nil {
			t.Fatal(i, body, err)
		}
		time.Sleep(20 * time.Millisecond) // until the client's kernel has seen the close
	}
	if c.Opened.Load() != 3 {
		t.Errorf("%d connections, want 3", c.Opened.Load())
	}
}

// TestRefusedConnectionIsUnsent: a refused connection is reported as not sent.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	c, closeClient := New()
	defer closeClient()
	var unsent *UnsentError
	if _, err := get(t, c, request(address, "1")); !errors.As(err, &unsent) {
		t.Errorf("got error %v, want an UnsentError", err)
	}
}

// TestDisallowedRequestIsUnsent: a request that is called off when its connection is
// ready is not written, and the connection serves the next request.
func TestDisallowedRequestIsUnsent(t *testing.T) {
	var received atomic.Int64
	address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			received.Add(1)
			respond(conn, req.Header.Get("Id"), "one")
		}
	})
	c, closeClient := New()
	defer closeClient()
	calledOff := errors.New("called off")
	r := request(address, "1")
	r.Allow = func() error { return calledOff }
	var unsent *UnsentError
	if _, err := get(t, c, r); !errors.As(err, &unsent) || !errors.Is(err, calledOff) {
		t.Errorf("got error %v, want an UnsentError with the reason", err)
	}
	r.Allow = func() error { return nil }
	if body, err := get(t, c, r); body != "one" || err != nil || received.Load() != 1 || c.Opened.Load() != 1 {
		t.Errorf("got %q, %v after %d requests on %d connections, want one of each", body, err, received.Load(), c.Opened.Load())
	}
}

// TestStrayResponseIsSkipped: a duplicate response to the previous request arrives
// before the response to the current one.
func TestStrayResponseIsSkipped(t *testing.T) {
	address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			if n == 1 {
				respond(conn, "1", "late duplicate")
			}
			respond(conn, req.Header.Get("Id"), "body of "+req.Header.Get("Id"))
		}
	})
	c, closeClient := New()
	defer closeClient()
	for _, id := range []string{"1", "2", "3"} {
		if body, err := get(t, c, request(address, id)); body != "body of "+id || err != nil {
			t.Errorf("%s: %q, %v", id, body, err)
		}
	}
	if c.StrayResponses.Load() != 1 || c.Opened.Load() != 2 {
		t.Errorf("%d stray responses on %d connections, want 1 on 2: a connection with a stray response is not reused", c.StrayResponses.Load(), c.Opened.Load())
	}
}

// TestStrayResponseOnIdleConnection: an unsolicited response that arrives on an idle
// connection is not taken for the response to the next request.
func TestStrayResponseOnIdleConnection(t *testing.T) {
	address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			respond(conn, id, "body of "+id)
			time.Sleep(5 * time.Millisecond)
			respond(conn, id, "duplicate")
		}
	})
	c, closeClient := New()
	defer closeClient()
	for _, id := range []string{"1", "2"} {
		if body, err := get(t, c, request(address, id)); body != "body of "+id || err != nil {
			t.Errorf("%s: %q, %v", id, body, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if c.Opened.Load() != 2 {
		t.Errorf("%d connections, want 2", c.Opened.Load())
	}
}

// TestTruncatedBodyIsAnError: a body that is cut off by a reset of the connection, or
// by its close before the announced end, is not taken for a complete one. Without a
// length and chunks, the close of the connection is the end of the body.
func TestTruncatedBodyIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		reset bool
		whole bool
	}{
		"length, reset":  {"Content-Length: 10\r\n\r\nhalf", true, false},
		"chunks, reset":  {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true, false},
		"neither, reset": {"\r\nhalf", true, false},
		"length, close":  {"Content-Length: 10\r\n\r\nhalf", false, false},
		"chunks, close":  {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false, false},
		"chunk, close":   {"Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", false, false},
		"no end, close":  {"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", false, false},
		"neither, close": {"\r\nhalf", false, true},
	} {
		address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n"+c.head)
			time.Sleep(20 * time.Millisecond)
			if c.reset {
				_ = conn.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
			}
		})
		client, closeClient := New()
		if body, err := get(t, client, request(address, "1")); (err == nil) != c.whole {
			t.Errorf("%s: got body %q (error %v), want an error: %t", name, body, err, !c.whole)
		}
		closeClient()
	}
}

// TestEarlyResponseToLongBody: the response arrives before the request body was
// written completely. The connection must not be reused, or the next request would
// be read as part of that body.
func TestEarlyResponseToLongBody(t *testing.T) {
	var corrupted atomic.Bool
	address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			respond(conn, req.Header.Get("Id"), "no")
			time.Sleep(100 * time.Millisecond)
			body, _ := io.ReadAll(req.Body)
			if strings.Trim(string(body), "a") != "" {
				corrupted.Store(true)
			}
		}
	})
	c, closeClient := New()
	defer closeClient()
	for _, id := range []string{"1", "2"} {
		r := request(address, id)
		r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("a", 8<<20))
		if body, err := get(t, c, r); body != "no" || err != nil {
			t.Errorf("%s: %q, %v", id, body, err)
		}
	}
	if c.Opened.Load() != 2 {
		t.Errorf("%d connections, want 2: one whose request is still being written is not reused", c.Opened.Load())
	}
	time.Sleep(250 * time.Millisecond)
	if corrupted.Load() {
		t.Error("the request body contains bytes that are not part of it")
	}
}

// TestCancelClosesConnection: when the context is cancelled, the backend server sees
// the connection close at once.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startBackend(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = r.ReadByte() // returns when the connection closes
		close(closed)
	})
	c, closeClient := New()
	defer closeClient()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	if _, err := c.Do(ctx, request(address, "1")); err == nil {
		t.Error("a cancelled request returned a response")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}
