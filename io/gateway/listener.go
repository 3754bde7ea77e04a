package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Listener guards against request smuggling. A request with both Content-Length
// and chunked encoding may be read differently by a proxy in front of the gateway,
// and bytes of its body may then pass for a request that nobody sent. net/http
// drops the length before a handler sees it, so Listener looks for it in the
// bytes received; ServeHTTP closes the connection after such a request.
type Listener struct{ net.Listener }

// sniffedConn records whether a Content-Length header was received since the last
// request. It may also match the text of a body, which at worst closes a
// connection after an answer.
type sniffedConn struct {
	net.Conn
	tail      []byte // end of the previous read: the header may be split across two reads
	sawLength atomic.Bool
}

var lengthHeader = []byte("content-length")

// Accept waits for the next connection and wraps it.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sniffedConn{Conn: conn}, nil
}

func (c *sniffedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	window := bytes.ToLower(append(c.tail, p[:n]...))
	if bytes.Contains(window, lengthHeader) {
		c.sawLength.Store(true)
	}
	c.tail = append(c.tail[:0], window[max(0, len(window)-len(lengthHeader)):]...)
	return n, err
}

// setResetOnClose sets whether the request's connection is reset when it closes, also
// when this process is killed.
func setResetOnClose(r *http.Request, reset bool) {
	conn, ok := r.Context().Value(connKey{}).(*sniffedConn)
	if !ok {
		return
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		seconds := -1 // the default: close in the background, without a reset
		if reset {
			seconds = 0
		}
		_ = tcp.SetLinger(seconds) // fails only on a closed connection
	}
}

type connKey struct{}

// ConnContext makes the connection available to the handlers of its requests, for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ambiguous reports whether a request has both Content-Length and a transfer
// encoding, so that the end of its body depends on who reads it.
func ambiguous(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*sniffedConn)
	return ok && conn.sawLength.Swap(false) && len(r.TransferEncoding) > 0
}
