package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
)

// TestOddHeadIsAnAnswer guards against a head that HTTP does not allow and that counts as that
// of an answer, or is skipped so that what follows counts as one.
func TestOddHeadIsAnAnswer(t *testing.T) {
	const rest = "Id: 1\r\nContent-Length: 2\r\n\r\nno"
	const next = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nyes"
	for what, head := range map[string]string{
		"status 000":                          "HTTP/1.1 000 None\r\n" + rest,
		"status 000 before an answer":         "HTTP/1.1 000 None\r\n\r\n" + next,
		"status 099 before an answer":         "HTTP/1.1 099 None\r\n\r\n" + next,
		"a status with a sign":                "HTTP/1.1 +20 OK\r\n" + rest,
		"status 600":                          "HTTP/1.1 600 Odd\r\n" + rest,
		"status 999":                          "HTTP/1.1 999 Odd\r\n" + rest,
		"another protocol":                    "HTTP/2.0 200 OK\r\n" + rest,
		"a blank in a name":                   "HTTP/1.1 200 OK\r\nX Note: a\r\n" + rest,
		"a blank behind a name":               "HTTP/1.1 200 OK\r\nX-Note : a\r\n" + rest,
		"a blank behind the name of a length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 2\r\n\r\nno",
		"a blank before a name":               "HTTP/1.1 200 OK\r\nId: 1\r\nX-Note: a\r\n Content-Length: 1\r\n\r\nno",
		"a tab before a name":                 "HTTP/1.1 200 OK\r\nId: 1\r\nX-Note: a\r\n\tContent-Length: 1\r\n\r\nno",
		"a blank before the first name":       "HTTP/1.1 200 OK\r\n X-Note: a\r\n" + rest,
		"a tab in a name":                     "HTTP/1.1 200 OK\r\nX\tNote: a\r\n" + rest,
		"a control byte in a name":            "HTTP/1.1 200 OK\r\nX\x01Note: a\r\n" + rest,
		"a zero byte in a name":               "HTTP/1.1 200 OK\r\nX\x00Note: a\r\n" + rest,
		"a delete byte in a name":             "HTTP/1.1 200 OK\r\nX\x7fNote: a\r\n" + rest,
		"a name that is not ASCII":            "HTTP/1.1 200 OK\r\nX\xe9Note: a\r\n" + rest,
		"no name":                             "HTTP/1.1 200 OK\r\n: a\r\n" + rest,
		"no colon":                            "HTTP/1.1 200 OK\r\nX-Note\r\n" + rest,
		"a control byte in a value":           "HTTP/1.1 200 OK\r\nX-Note: a\x01b\r\n" + rest,
		"chunks in HTTP/1.0":                  "HTTP/1.0 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"a blank in a name of an interim":     "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + next,
		"a blank in a name of another answer": "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\n" + next,
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			address := startBackend(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(conn, head)
				}
			})
			client, closeClient := New()
			defer closeClient()
			body, err := get(t, client, request(address, "1"))
			var unsent *UnsentError
			if err == nil || errors.As(err, &unsent) {
				t.Errorf("got body %q (error %v), want an error that is not an UnsentError", body, err)
			}
		})
	}
}
