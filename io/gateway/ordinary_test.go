package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkOrdinaryRequest measures a small request on an open connection, with its backend
// server.
func BenchmarkOrdinaryRequest(b *testing.B) {
	server := newBackend(b, "s1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	})
	_, address := newTestGateway(b, server)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request := []byte("POST /book/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: a1\r\nLeft-Ms: 1500\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 900))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			b.Fatal(res, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}
