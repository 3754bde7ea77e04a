package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Listener notices requests that name a length beside chunks. net/http drops
// the length before a handler sees it; where the caller and something before
// this gateway disagree on which of the two holds, what follows on the
// connection may be a request that nobody sent.
type Listener struct{ net.Listener }

// watchedConn remembers that a length was named since the last request.
type watchedConn struct {
	net.Conn
	tail  []byte // of the read before, since a header may lie across two
	named atomic.Bool
}

var lengthHeader = []byte("content-length")

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	seen := bytes.ToLower(append(c.tail, p[:n]...))
	if bytes.Contains(seen, lengthHeader) {
		c.named.Store(true)
	}
	c.tail = append(c.tail[:0], seen[max(0, len(seen)-len(lengthHeader)):]...)
	return n, err
}

type connKey struct{}

// ConnContext lets a request's handler find its connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ambiguous reports whether a request's body may end elsewhere than it seems.
func ambiguous(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*watchedConn)
	return ok && conn.named.Swap(false) && len(r.TransferEncoding) > 0
}
