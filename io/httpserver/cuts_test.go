package httpserver

import (
	"io"
	"net"
	"strings"
	"testing"
)

// TestCutRequestHeadRuns guards against a request that ends inside its head, a chunk-size line
// or its trailers, and that is handled as one.
func TestCutRequestHeadRuns(t *testing.T) {
	address := start(t)
	for what, text := range map[string]string{
		"length":                         post("/a", 34) + strings.Repeat("x", 34),
		"length 0":                       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX-Note: a\r\n\r\n",
		"chunks and trailers":            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1a;a=b\r\n" + strings.Repeat("x", 26) + "\r\n0\r\nSum: 1f\r\n\r\n",
		"no body":                        "GET /a HTTP/1.1\r\nHost: h\r\nX-Note: a\r\n\r\n",
		"lines that end with LF":         "GET /a HTTP/1.1\nHost: h\nX-Note: a\n\n",
		"HTTP/1.0":                       "GET /a HTTP/1.0\r\nX-Note: a\r\n\r\n",
		"behind another on a connection": "GET /b HTTP/1.1\r\nHost: h\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\nX-Note: a\r\n\r\n",
	} {
		for n := range len(text) + 1 {
			conn, r := dial(t, address, strings.NewReader(text[:n]))
			_ = conn.(*net.TCPConn).CloseWrite() // the server may have closed it
			answers, _ := io.ReadAll(r)          // the same
			if handled := strings.Contains(string(answers), "/a"); handled != (n == len(text)) {
				t.Errorf("%s, cut at %d of %d, %q: got %q", what, n, len(text), text[max(0, n-20):n], answers)
			}
			_ = conn.Close()
		}
	}
}
