package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/memory"
)

const (
	capacity = 16 << 20
	maxBody  = 4 << 20
)

// start starts a server that answers with the number of bytes of the body, or reads none of
// it at the path /unread, and returns its address.
func start(t *testing.T) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewLimiter(Config{
		Account: memory.New(memory.DefaultConfig(capacity)), Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, err := ReadBody(w, r, maxBody, time.Now().Add(5*time.Second))
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, memory.ErrFull) || errors.Is(err, memory.ErrDropped):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			fmt.Fprint(w, r.URL.Path, len(body), bytes.Count(body, []byte("x")))
		}
	})}
	limited := l.Apply(server, inner, Limits{Name: "test", MaxConnections: 100})
	go func() { _ = server.Serve(limited) }() // returns when it is closed
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

// dial opens a connection and writes text on it.
func dial(t *testing.T, address string, text io.Reader) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // the connection is open
	_, _ = io.Copy(conn, text)                             // the server may have closed it
	return conn, bufio.NewReader(conn)
}

// read reads one answer.
func read(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// TestPipelinedRequests guards against requests that are cut or mixed up since the end of a
// head is found before net/http reads it, and against bodies whose lines count as fields.
func TestPipelinedRequests(t *testing.T) {
	address := start(t)
	lines := strings.Repeat("x\r\n\r\n", 500)
	all := post("/a", len(lines)) + lines + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n" + post("/c", 1) + "x" +
		fmt.Sprintf("POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(lines), lines) +
		post("/e", 0) + post("/f", 5) + "\r\n\r\nx"
	for name, reader := range map[string]io.Reader{"at once": strings.NewReader(all), "byte by byte": iotest.OneByteReader(strings.NewReader(all))} {
		_, r := dial(t, address, reader)
		for _, want := range []string{"/a2500 500", "/b0 0", "/c1 1", "/d2500 500", "/e0 0", "/f5 1"} {
			if res, body := read(t, r); res.StatusCode != http.StatusOK || body != want {
				t.Errorf("%s: got %d %q, want 200 %q", name, res.StatusCode, body, want)
			}
		}
	}
}

// TestManyFields guards against a head of legal size whose fields take hundreds of kilobytes.
func TestManyFields(t *testing.T) {
	address := start(t)
	for name, end := range map[string]string{"complete": "\r\n", "without end": ""} {
		_, r := dial(t, address, strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n \r\n"+strings.Repeat("a:\r\n", 300)+end))
		if res, _ := read(t, r); res.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: got %d, want 431", name, res.StatusCode)
		}
	}
	_, r := dial(t, address, strings.NewReader("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 200)+"\r\n"))
	if res, _ := read(t, r); res.StatusCode != http.StatusOK {
		t.Errorf("200 fields: got %d, want 200", res.StatusCode)
	}
}

// TestBodySizes guards against bodies that are cut where their buffer grows, and against
// memory for bodies over the limit.
func TestBodySizes(t *testing.T) {
	address := start(t)
	for _, size := range []int{0, 1, firstStep - 1, firstStep, firstStep + 1, 8<<10 + 1, maxBody - 1, maxBody, maxBody + 1, 2 * maxBody} {
		data := strings.Repeat("x", size)
		for name, body := range map[string]io.Reader{"declared": strings.NewReader(data), "chunked": iotest.HalfReader(strings.NewReader(data))} {
			res, err := http.Post("http://"+address+"/", "", body)
			if err != nil {
				if size > maxBody {
					continue // the connection may be closed while the body is sent
				}
				t.Fatal(err)
			}
			got, _ := io.ReadAll(res.Body) // an error shows in what was read
			_ = res.Body.Close()
			want, text := http.StatusOK, fmt.Sprint("/", size, size)
			if size > maxBody {
				want, text = http.StatusRequestEntityTooLarge, ""
			}
			if res.StatusCode != want || string(got) != text {
				t.Errorf("%d bytes, %s: got %d %q, want %d %q", size, name, res.StatusCode, got, want, text)
			}
		}
	}
}

// TestHugeDeclaredLength guards against memory, or time, for a body that is known to be too large.
func TestHugeDeclaredLength(t *testing.T) {
	_, r := dial(t, start(t), strings.NewReader(post("/", 4<<30)))
	if res, _ := read(t, r); res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d, want 413", res.StatusCode)
	}
}

// TestUnreadBodyIsNotAwaited guards against a connection that stays open for a body that no
// handler reads: net/http waits for its end before it answers, without any limit in time.
func TestUnreadBodyIsNotAwaited(t *testing.T) {
	address := start(t)
	began := time.Now()
	_, r := dial(t, address, strings.NewReader(post("/unread", 10)+"123456789"))
	if res, _ := read(t, r); res.StatusCode != http.StatusNotFound {
		t.Errorf("got %d, want 404", res.StatusCode)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) || time.Since(began) > 2*time.Second {
		t.Errorf("the connection ended with %v after %v, want EOF within 2s", err, time.Since(began))
	}
	// A body that is there doesn't cost the connection.
	_, r = dial(t, address, strings.NewReader(post("/unread", 1)+"1"+post("/", 1)+"x"))
	for _, want := range []int{http.StatusNotFound, http.StatusOK} {
		if res, _ := read(t, r); res.StatusCode != want {
			t.Errorf("got %d, want %d", res.StatusCode, want)
		}
	}
}

// TestDroppedBodyIsRefused guards against a body that stopped and loses its memory, and
// whose caller isn't told that its request has not run.
func TestDroppedBodyIsRefused(t *testing.T) {
	address := start(t)
	text := post("/", maxBody) + strings.Repeat("x", maxBody-1)
	_, first := dial(t, address, strings.NewReader(text))
	time.Sleep(300 * time.Millisecond) // on a busy machine the second body could arrive before the first
	_, _ = dial(t, address, strings.NewReader(text))
	time.Sleep(1200 * time.Millisecond) // longer than the stall time of large requests
	res, err := http.Post("http://"+address+"/", "", strings.NewReader(strings.Repeat("x", maxBody)))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("beside bodies that stopped: got %d, want 200", res.StatusCode)
	}
	if res, _ := read(t, first); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("the body that stopped first: got %d, want 503 with Retry-After", res.StatusCode)
	}
}
