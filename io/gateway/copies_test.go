package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"testing"

	"tanagerroad"
)

// exchangeSeen is a request and its answer, as a backend server has them on a connection.
type exchangeSeen struct {
	path   string
	answer []byte
}

// serveCopies passes connections on to a server. When a request has arrived it sends what
// late returns for it, if anything, before the request's own answer.
func serveCopies(t *testing.T, server string, late func(before []exchangeSeen, path string) []byte) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		var before []exchangeSeen
		for requests := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			if len(before) > 0 {
				if _, err := conn.Write(late(before, request.URL.Path)); err != nil {
					return
				}
			}
			request.URL.Scheme, request.URL.Host, request.RequestURI, request.Body = "http", server, "", io.NopCloser(bytes.NewReader(body))
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				return
			}
			answer, err := httputil.DumpResponse(response, true)
			if err != nil {
				return
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
			before = append(before, exchangeSeen{request.URL.Path, answer})
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// TestLateCopyIsTakenForAnswerWithoutID guards against the copy of another caller's answer
// that a request without an id gets, and against new connections for those that have one.
func TestLateCopyIsTakenForAnswerWithoutID(t *testing.T) {
	p := newBackend(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "for "+r.URL.Path) // the gateway reads it whole
	})
	var copies atomic.Int64
	backendAddress := serveCopies(t, p.Listener.Addr().String(), func(before []exchangeSeen, path string) []byte {
		if path != "/book/3" && path != "/book/4" {
			return nil
		}
		copies.Add(1)
		return before[len(before)-1].answer
	})
	g, address := newTestGateway(t, p)
	g.mu.Lock()
	g.roster.Apply(g.now(), "c", tanagerroad.Announcement{
		ID: p.id, Pool: "p", Address: backendAddress, Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 1, StartMillis: 2000,
	})
	g.applyRoster(g.now())
	g.mu.Unlock()
	for i, id := range []string{"a", "b", "", "d"} {
		path := fmt.Sprint("/book/", i+1)
		if status, body, err := call(t, address, path, id); status != http.StatusOK || body != "for "+path {
			t.Errorf("%s with the id %q: got %d %q (%v), want its own answer", path, id, status, body, err)
		}
	}
	if conns := g.client.Opened.Load(); conns != 2 || copies.Load() != 1 {
		t.Errorf("%d connections and %d copies, want one for those with an id and one without, and a copy", conns, copies.Load())
	}
}
