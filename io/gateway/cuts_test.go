package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Answers to the request ID that are sent up to a byte.
const (
	cutPlain    = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/plain\r\nSigned: 3e1b.07.5a2\r\nContent-Length: 34\r\n\r\n0123456789012345678901234567890123"
	cutEmpty    = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 3e1b\r\nContent-Length: 0\r\nX-Note: a long one\r\n\r\n"
	cutLF       = "HTTP/1.1 200 OK\nId: ID\nSigned: 3e1b\nContent-Length: 12\n\n012345678901"
	cutInterim  = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nSigned: y\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n01234567890123456789012345\r\n0\r\nSum: 1f\r\n\r\n"
	cutRefusal  = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: yes\r\nRetry-After: 12\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	cutFailure  = "HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nContent-Length: 4\r\nSigned: y\r\n\r\nfull"
	cutStream   = "HTTP/1.1 200 OK\r\nSigned: y\r\nVersion: w1\r\nId: ID\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	cutNoEvents = cutStream + "0\r\nSum: 1f\r\n\r\n"
	cutEvents   = cutStream + "f\r\nid: 1\ndata: 1\n\n\r\n1e\r\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n\r\n0\r\n\r\n"
	cutRest     = cutStream + "f\r\nid: 3\ndata: 3\n\n\r\n0\r\n\r\n"
	cutOutcomes = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 24\r\n\r\n[{\"Handle\":\"10.0.0.9:80/"
)

// cutAt sends the first n bytes of an answer, and then closes or resets the connection, or
// is silent.
func cutAt(t *testing.T, text string, n int, ending string) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // unread data would turn the close into a reset
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		if id := r.Header.Get(headerID); len(id) > 0 { // as long as ID
			text = strings.ReplaceAll(text, "ID", id)
		}
		_, _ = io.WriteString(conn, text[:n])
		switch ending {
		case "reset":
			if n%2 == 0 {
				time.Sleep(time.Millisecond) // the gateway reads the bytes before
			}
			_ = conn.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
		case "half-close":
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn) // returns when the gateway closes
		case "silence":
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// newPatientGateway returns a gateway whose requests have time enough on a busy machine.
func newPatientGateway(t *testing.T, servers ...*backend) (*Gateway, string) {
	t.Helper()
	g, address := newTestGateway(t, servers...)
	config := g.catalog.Load().Catalog
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Minute
	}
	return g, address
}

// TestCutHeadLooksWhole guards against an answer that a backend server breaks off inside its
// head, a chunk-size line or its trailers, and that reaches the caller as one.
func TestCutHeadLooksWhole(t *testing.T) {
	again := answer(good)
	for _, c := range []struct {
		what   string
		path   string
		before []answer
		text   string // cut at every byte
		after  answer
		status int
		body   string // of a whole answer; empty: none may look whole
		runs   int    // 0: any number
	}{
		{"run again", "/look/", nil, cutPlain, again, 200, "good", 2},
		{"run again, length 0", "/look/", nil, cutEmpty, again, 200, "good", 2},
		{"run again, lines that end with LF", "/look/", nil, cutLF, again, 200, "good", 2},
		{"run again, interim answers before", "/look/", nil, cutInterim, again, 200, "good", 2},
		{"run again after a failure", "/look/", []answer{lost}, cutPlain, again, 200, "good", 3},
		{"runs once", "/book/", nil, cutPlain, again, 502, "", 1},
		{"runs once, length 0", "/book/", nil, cutEmpty, again, 502, "", 1},
		{"runs once, interim answers before", "/book/", nil, cutInterim, again, 502, "", 1},
		{"runs once, a cut refusal", "/book/", nil, cutRefusal, again, 502, "", 1},
		{"runs once, a cut failure", "/book/", nil, cutFailure, again, 502, "", 1},
		{"runs once after a refusal", "/book/", []answer{rejected}, cutPlain, again, 502, "", 2},
		{"a stream", "/stream/", nil, cutEvents, rest, 200, wholeStream, 2},
		{"a stream without events", "/stream/", nil, cutNoEvents, rest, 200, wholeStream, 2},
		{"a resumed stream", "/stream/", []answer{brokenStream(1, 2)}, cutRest, rest, 200, wholeStream, 3},
		{"a resumed stream that nobody resumes again", "/stream/", []answer{brokenStream(1, 2)}, cutRest, rejected, 200, "", 0},
		{"a resumed stream whose refusal is cut", "/stream/", []answer{brokenStream(1, 2)}, cutRefusal, rest, 200, wholeStream, 3},
		{"a stream that cannot be resumed", "/live/", nil, cutStream + "0\r\n\r\n", rest, 502, "", 1},
	} {
		for _, ending := range []string{"close", "reset", "half-close"} {
			t.Run(c.what+", "+ending, func(t *testing.T) {
				t.Parallel()
				step := map[string]int{"close": 1, "reset": 3, "half-close": 7}[ending]
				if testing.Short() {
					step = 7
				}
				for n := 0; n < len(c.text); n += step {
					answers := append(append([]answer(nil), c.before...), cutAt(t, c.text, n, ending), c.after)
					servers, runs := newScripted(t, 4, answers...)
					_, address := newPatientGateway(t, servers...)
					status, body, err := call(t, address, c.path, "id", headerLeft, "60000")
					if status != c.status || (err == nil) != (c.body != "" || c.status != http.StatusOK) || c.body != "" && body != c.body || c.runs > 0 && int(runs.Load()) != c.runs {
						t.Errorf("cut at %d, %q: got %d %q (%v) after %d runs, want %d %q after %d", n, c.text[max(0, n-20):n], status, body, err, runs.Load(), c.status, c.body, c.runs)
					}
					if c.body == "" && c.status == http.StatusOK && !strings.HasPrefix(wholeStream, body) {
						t.Errorf("cut at %d: the caller's stream holds other bytes: %q", n, body)
					}
					for _, s := range servers {
						s.CloseClientConnections()
					}
				}
			})
		}
	}
}

// TestSilentHeadLooksWhole guards against an answer whose head stops without an end of the
// connection, and that is taken for one at the request's deadline.
func TestSilentHeadLooksWhole(t *testing.T) {
	for n := 0; n < len(cutEmpty); n += 7 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			servers, runs := newScripted(t, 1, cutAt(t, cutEmpty, n, "silence"))
			_, address := newTestGateway(t, servers...)
			if status, body, err := call(t, address, "/book/", "id", headerLeft, "500"); status != http.StatusGatewayTimeout || runs.Load() != 1 {
				t.Errorf("got %d %q (%v) after %d runs, want 504 after 1", status, body, err, runs.Load())
			}
		})
	}
}

// TestCutHeadOnKeptConnection guards against a cut head that is taken for an answer when its
// connection has carried a whole one before.
func TestCutHeadOnKeptConnection(t *testing.T) {
	for n := 0; n < len(cutPlain); n += 3 {
		for _, ending := range []string{"close", "reset"} {
			servers, runs := newScripted(t, 1, good, cutAt(t, cutPlain, n, ending), good)
			g, address := newPatientGateway(t, servers...)
			if status, body, err := call(t, address, "/book/", "a", headerLeft, "60000"); status != http.StatusOK || err != nil {
				t.Fatalf("got %d %q (%v), want 200", status, body, err)
			}
			if status, body, err := call(t, address, "/book/", "id", headerLeft, "60000"); status != http.StatusBadGateway || g.client.Reused.Load() != 1 || runs.Load() != 2 {
				t.Errorf("cut at %d by a %s: got %d %q (%v) after %d runs and %d on a kept connection, want 502 after 2 and 1", n, ending, status, body, err, runs.Load(), g.client.Reused.Load())
			}
		}
	}
}

// TestCutHeadOfPieces guards against a call for pieces whose answer breaks off inside its
// head, and that counts as made.
func TestCutHeadOfPieces(t *testing.T) {
	for _, ending := range []string{"close", "reset"} {
		t.Run(ending, func(t *testing.T) {
			t.Parallel()
			step := 1
			if testing.Short() {
				step = 7
			}
			for n := 0; n < len(cutOutcomes); n += step {
				p := &pieceServer{stored: map[string]string{}}
				serve := func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/free-pieces" {
						cutAt(t, cutOutcomes, n, ending)(w, r)
						return
					}
					if p.calls.Load() == 0 {
						p.calls.Add(1)
						cutAt(t, cutOutcomes, n, ending)(w, r)
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return // the gateway has given up
					}
					p.run(t, w, r, body)
				}
				p.backend, p.second = newBackend(t, "prep1", serve), newBackend(t, "prep2", serve)
				servers, runs := newScripted(t, 3, func(w http.ResponseWriter, r *http.Request) {
					inputs := strings.Fields(r.Header.Get(headerInputs))
					p.mu.Lock()
					made := len(inputs) == 2 && p.stored[inputs[0]] == "a" && p.stored[inputs[1]] == "a" && inputs[0] != inputs[1]
					p.mu.Unlock()
					if !made {
						w.WriteHeader(http.StatusConflict)
						return
					}
					rest(w, r)
				})
				_, address := newPatientGateway(t, append(servers, p.backend, p.second)...)
				status, body, err := call(t, address, "/staged/", "a", headerPieces, "2", headerPieceKey, "key", headerLeft, "60000")
				if status != http.StatusOK || body != wholeStream || err != nil || p.calls.Load() < 2 || runs.Load() != 1 {
					t.Errorf("cut at %d, %q: got %d %q (%v) after %d calls and %d runs, want the whole stream after 2 or more and 1", n, cutOutcomes[max(0, n-20):n], status, body, err, p.calls.Load(), runs.Load())
				}
			}
		})
	}
}

// TestCutOwnAnswerLooksWhole guards against an answer of the gateway that looks whole to its
// caller although the gateway was killed while it wrote it.
func TestCutOwnAnswerLooksWhole(t *testing.T) {
	large := func(length int) answer {
		return func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", length)) // the gateway reads it whole
		}
	}
	for _, c := range []struct {
		what, path, proto string
		answer            answer
		status            int
	}{
		{"a plain answer", "/look/", "HTTP/1.1", good, 200},
		{"a plain answer to HTTP/1.0", "/look/", "HTTP/1.0", large(5000), 200},
		{"an answer that is not buffered", "/look/", "HTTP/1.1", large(maxBufferedBody + 1), 200},
		{"an answer without a body", "/look/", "HTTP/1.1", status(204, true), 204},
		{"a stream", "/stream/", "HTTP/1.1", rest, 200},
		{"a stream without events", "/stream/", "HTTP/1.1", func(w http.ResponseWriter, _ *http.Request) { events(w) }, 200},
		{"a stream to HTTP/1.0", "/stream/", "HTTP/1.0", rest, 200},
		{"a failure", "/book/", "HTTP/1.1", lost, 502},
		{"a refusal", "/book/", "HTTP/1.1", rejected, 503},
		{"no route", "/nowhere/", "HTTP/1.1", good, 404},
	} {
		servers, _ := newScripted(t, 1, c.answer)
		_, address := newPatientGateway(t, servers...)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nKey: k\r\nId: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", c.path, c.proto)
		written, err := io.ReadAll(conn)
		if err != nil {
			t.Errorf("%s: %v", c.what, err)
		}
		_ = conn.Close()
		read := func(n int) (*http.Response, error) {
			res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(written[:n])), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			return res, err
		}
		if res, err := read(len(written)); err != nil || res.StatusCode != c.status {
			t.Errorf("%s: got %v (error %v), want %d", c.what, res, err, c.status)
		}
		end := len(written)
		if c.proto == "HTTP/1.0" && c.path == "/stream/" { // behind its head it is reset
			end = bytes.Index(written, []byte("\r\n\r\n")) + len("\r\n\r\n")
		}
		for n := 0; n < end; n++ {
			if n > 500 {
				n = min(n+100, end-1)
			}
			if res, err := read(n); err == nil {
				t.Errorf("%s: %d of %d bytes look whole: %v", c.what, n, len(written), res)
			}
		}
	}
}

// TestOddHeadIsPassedOn guards against a head that HTTP does not allow, and that the caller gets
// as that of an answer or as a promise that the request did not run.
func TestOddHeadIsPassedOn(t *testing.T) {
	const signed = "Signed: 3e1b\r\nId: ID\r\n"
	for what, c := range map[string]struct{ head, path string }{
		"status 000":                        {"HTTP/1.1 000 None\r\n" + signed + "Content-Length: 0\r\n\r\n", "/book/1"},
		"status 000, not run":               {"HTTP/1.1 000 None\r\nNot-Run: yes\r\n" + signed + "Content-Length: 0\r\n\r\n", "/book/1"},
		"status 000 before an answer":       {"HTTP/1.1 000 None\r\n" + signed + "\r\n" + "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 4\r\n\r\nbody", "/book/1"},
		"a blank in a name":                 {"HTTP/1.1 200 OK\r\nX Note: a\r\n" + signed + "Content-Length: 4\r\n\r\nbody", "/book/1"},
		"a blank behind a name of a length": {"HTTP/1.1 200 OK\r\n" + signed + "Content-Length : 3\r\n\r\nbody", "/book/1"},
		"a blank in a name, not run":        {"HTTP/1.1 503 Full\r\nNot-Run: yes\r\nX Note: a\r\n" + signed + "Content-Length: 0\r\n\r\n", "/book/1"},
		"a control byte in a name":          {"HTTP/1.1 200 OK\r\nX\x01Note: a\r\n" + signed + "Content-Length: 4\r\n\r\nbody", "/book/1"},
		"a blank in a name of a stream":     {"HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Type: text/event-stream\r\n" + signed + "\r\nid: 1\ndata: 1\n\n", "/live/1"},
		"chunks in HTTP/1.0":                {"HTTP/1.0 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "/book/1"},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, "s1", cutAt(t, c.head, len(strings.ReplaceAll(c.head, "ID", "id")), "close"))
			_, address := newPatientGateway(t, b)
			status, body, err := call(t, address, c.path, "id")
			if status != http.StatusBadGateway || err != nil || b.runs.Load() != 1 {
				t.Errorf("got %d %q (error %v) after %d runs, want 502 after 1", status, body, err, b.runs.Load())
			}
		})
	}
}
