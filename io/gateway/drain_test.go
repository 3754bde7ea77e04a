package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLateBodyIsPassedOnDuringStop guards against a request whose body arrives when a
// stopping gateway accepts nothing more, and that is passed on to be cut off a little later.
func TestLateBodyIsPassedOnDuringStop(t *testing.T) {
	b := newBackend(t, "s1", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "done") })
	g, address := newTestGateway(t, b)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	g.StartDrain()
	g.drainingSince.Store(int64(g.now() - drainAcceptTime + 200*time.Millisecond))
	send := func(text string) {
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	send(fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: h\r\n%s: a\r\n%s: k\r\n%s: 1500\r\nContent-Length: 4\r\n\r\n", headerID, headerKey, headerLeft))
	time.Sleep(400 * time.Millisecond)
	send("body")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || b.runs.Load() != 0 {
		t.Errorf("got status %d after %d runs, want 503 and none", res.StatusCode, b.runs.Load())
	}
}
