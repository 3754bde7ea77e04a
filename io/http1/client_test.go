package http1_test

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

	"tanagerroad/io/http1"
)

// backend is a backend server that does with each connection what a test says.
func backend(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) string {
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

func readRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

func answer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(address, id string) http1.Request {
	return http1.Request{
		Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Mine: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func get(t *testing.T, c *http1.Client, r http1.Request) (string, error) {
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

// TestNothingIsSentAgain: a kept connection that dies under a request ends the
// call; net/http's transport would send a GET once more by itself.
func TestNothingIsSentAgain(t *testing.T) {
	var arrived atomic.Int64
	address := backend(t, func(conn net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			arrived.Add(1)
			if n > 0 {
				return // reads the second request and closes without an answer
			}
			answer(conn, req.Header.Get("Id"), "one")
		}
	})
	c, closeClient := http1.New()
	defer closeClient()
	if body, err := get(t, c, request(address, "1")); body != "one" || err != nil {
		t.Fatal(body, err)
	}
	_, err := get(t, c, request(address, "2"))
	var unsent *http1.Unsent
	if err == nil || errors.As(err, &unsent) || arrived.Load() != 2 {
		t.Errorf("got %v after %d arrivals; want an error that does not say unsent, after 2", err, arrived.Load())
	}
}

// TestClosedIdleConnectionIsNotUsed: the far end closes an idle connection; the
// next request goes out on a new one.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := backend(t, func(conn net.Conn, r *bufio.Reader) {
		if req, err := readRequest(r); err == nil {
			answer(conn, req.Header.Get("Id"), "one")
		}
	})
	c, closeClient := http1.New()
	defer closeClient()
	for i := range 3 {
		if body, err := get(t, c, request(address, fmt.Sprint(i))); body != "one" || err != nil {
			t.Fatal(i, body, err)
		}
		time.Sleep(20 * time.Millisecond) // the close arrives
	}
	if c.Opened.Load() != 3 {
		t.Errorf("%d connections, want 3", c.Opened.Load())
	}
}

// TestRefusedConnectionIsUnsent: nobody listens.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	c, closeClient := http1.New()
	defer closeClient()
	var unsent *http1.Unsent
	if _, err := get(t, c, request(address, "1")); !errors.As(err, &unsent) {
		t.Errorf("got %v, want unsent", err)
	}
}

// TestStrayAnswerIsReadPast: a second answer to the request before stands where
// the next answer is due.
func TestStrayAnswerIsReadPast(t *testing.T) {
	address := backend(t, func(conn net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			if n == 1 {
				answer(conn, "1", "late and doubled")
			}
			answer(conn, req.Header.Get("Id"), "body of "+req.Header.Get("Id"))
		}
	})
	c, closeClient := http1.New()
	defer closeClient()
	for _, id := range []string{"1", "2", "3"} {
		if body, err := get(t, c, request(address, id)); body != "body of "+id || err != nil {
			t.Errorf("%s: %q, %v", id, body, err)
		}
	}
	if c.Stray.Load() != 1 || c.Opened.Load() != 2 {
		t.Errorf("%d strays on %d connections, want 1 on 2: the connection is given up after it", c.Stray.Load(), c.Opened.Load())
	}
}

// TestStrayAnswerOnAnIdleConnection: it came before the next request was sent.
func TestStrayAnswerOnAnIdleConnection(t *testing.T) {
	address := backend(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			answer(conn, id, "body of "+id)
			time.Sleep(5 * time.Millisecond)
			answer(conn, id, "doubled")
		}
	})
	c, closeClient := http1.New()
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

// TestCutBodyIsNoWholeBody: with a length, in chunks and without either.
func TestCutBodyIsNoWholeBody(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nhalf", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "neither": "\r\nhalf",
	} {
		address := backend(t, func(conn net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head)
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0) // the close resets the connection
		})
		c, closeClient := http1.New()
		if body, err := get(t, c, request(address, "1")); err == nil {
			t.Errorf("%s: %q passed for a whole body", name, body)
		}
		closeClient()
	}
}

// TestEarlyAnswerToALongBody: the answer comes before the body was read. The
// connection is not used again while the rest of the body is due there.
func TestEarlyAnswerToALongBody(t *testing.T) {
	var mixed atomic.Bool
	address := backend(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(conn, req.Header.Get("Id"), "no")
			time.Sleep(100 * time.Millisecond)
			body, _ := io.ReadAll(req.Body)
			if strings.Trim(string(body), "a") != "" {
				mixed.Store(true)
			}
		}
	})
	c, closeClient := http1.New()
	defer closeClient()
	for _, id := range []string{"1", "2"} {
		r := request(address, id)
		r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("a", 8<<20))
		if body, err := get(t, c, r); body != "no" || err != nil {
			t.Errorf("%s: %q, %v", id, body, err)
		}
	}
	time.Sleep(250 * time.Millisecond)
	if mixed.Load() {
		t.Error("other bytes came where the rest of the body was due")
	}
}

// TestCancelClosesTheConnection: the backend server sees it at once.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := backend(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = r.ReadByte() // returns when the connection closes
		close(closed)
	})
	c, closeClient := http1.New()
	defer closeClient()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	if _, err := c.Do(ctx, request(address, "1")); err == nil {
		t.Error("an answer came")
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection is still open")
	}
}
