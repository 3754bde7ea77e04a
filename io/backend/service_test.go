package backend

import (
	"fmt"
	"net"
	"testing"

	"github.com/cespare/xxhash/v2"

	"tanagerroad/core/table"
)

// TestCutResultLooksComplete guards against a service's result that is cut off by the
// close of its connection and counts as complete.
func TestCutResultLooksComplete(t *testing.T) {
	digest := HeaderDigest + ": " + hexDigest(xxhash.Sum64String("whole")) + "\r\n"
	for _, c := range []struct {
		name, head, body string
		want             outcomeKind
	}{
		{"ends with its connection", "", "who", indeterminate},
		{"ends with its connection, cut before its digest", digest, "who", indeterminate},
		{"ends with its connection, as its digest says", digest, "whole", completed},
		{"has a length", "Content-Length: 5\r\n", "whole", completed},
		{"has a length and is cut", "Content-Length: 5\r\n", "who", indeterminate},
		{"has a length and another digest", digest + "Content-Length: 5\r\n", "other", failed},
		{"has chunks", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", completed},
		{"has chunks and is cut", "Transfer-Encoding: chunked\r\n", "3\r\nwho\r\n", indeterminate},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s", c.head, c.body)
			result, got := runAgainst(t, call{kind: table.Service}, answer, func(*net.TCPConn) {})
			if result.kind != c.want || result.serverDown || (result.kind == completed) != (got == "whole") {
				t.Errorf("got outcome %+v and result %q, want kind %d", result, got, c.want)
			}
		})
	}
}
