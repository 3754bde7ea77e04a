// Package http1 is an HTTP/1.1 client for calls to backend servers. Unlike
// net/http's transport it never retries a request, reports whether any byte of a
// request was sent, and closes a connection on which an unsolicited response
// arrives.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits and timeouts of connections.
const (
	connectTimeout      = time.Second
	keepAliveIdle       = 2 * time.Second // idle time before the first TCP keep-alive probe
	keepAliveInterval   = time.Second
	keepAliveProbes     = 2
	unackedTimeout      = 3 * time.Second // a connection is closed if sent data stays unacknowledged for so long
	defaultIdleTimeout  = 4 * time.Second // for a backend server that sends no Keep-Alive timeout
	idleTimeoutFactor   = 0.6             // of the Keep-Alive timeout, so that a request does not race with the server's close
	maxIdlePerServer    = 32              // idle connections
	readBufferSize      = 4 << 10         // bytes
	maxInlineRequest    = 8 << 10         // bytes written before the response is read; they fit into the socket buffers even if the server reads nothing
	maxHeaderBytes      = 64 << 10        // of one response header
	maxInterimResponses = 4               // 1xx responses before the final one
	maxStrayResponses   = 2               // responses to other requests before the one to this request
	maxStrayBody        = 256 << 10       // bytes; the body of a response to another request is skipped up to this size
	endedMemory         = 10 * time.Second
	optTCPUserTimeout   = 0x12 // TCP_USER_TIMEOUT, which package syscall does not define
	tcpClose            = 7    // TCP_CLOSE, the state of a connection that was reset or has timed out
)

// Request is an HTTP request to a backend server.
type Request struct {
	Address string // host:port of the backend server
	Method  string
	Target  string // path and query, unchanged from the caller's request
	Host    string
	Header  http.Header
	Body    []byte
	NewConn bool // opens a new connection, even if an idle one exists
	// Allow, unless nil, is called when the connection is ready. If it returns an error
	// the request is not sent.
	Allow func() error
	// Matches reports whether a response header belongs to this request. Other
	// responses are skipped. If Matches is nil, the first response is returned, which may
	// be a late copy of an earlier one.
	Matches func(http.Header) bool
}

// UnsentError is the error of a request whose connection failed before any byte was
// written.
type UnsentError struct{ Err error }

func (u *UnsentError) Error() string { return "not sent: " + u.Err.Error() }

// Unwrap returns the cause.
func (u *UnsentError) Unwrap() error { return u.Err }

// Client sends requests to backend servers and reuses idle connections.
type Client struct {
	dialer net.Dialer
	clock  func() time.Time
	mu     sync.Mutex
	idle   map[string][]*connection // by address
	closed bool

	openMu sync.Mutex
	open   map[string]map[*connection]bool // idle or in use, by address
	signs  map[string]sign                 // of ended processes, by address

	// Opened counts new connections, Reused counts requests sent on idle ones, and
	// StrayResponses counts unsolicited responses and responses to other requests.
	Opened, Reused, StrayResponses atomic.Int64
}

// sign is the latest sign that the process at an address may have ended.
type sign struct {
	closed  time.Time // when a connection was last found closed by the other end, or refused
	noticed time.Time // closed, or when a request's connection ended before its answer did, if that is later
	before  time.Time // if the process has ended, no connection that was opened earlier is left
}

type connection struct {
	net.Conn
	client      *Client
	address     string
	opened      time.Time
	inUse       atomic.Bool
	limited     *limitedReader // reads from Conn, for reader
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration // how long the connection may be idle before it is no longer reused
	shared      any           // see Response.Shared
}

// New returns a client and the function that closes its idle connections.
func New() (*Client, func()) {
	c := &Client{idle: map[string][]*connection{}, open: map[string]map[*connection]bool{}, signs: map[string]sign{}, clock: time.Now}
	c.dialer = net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
	}
	return c, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		for _, list := range c.idle {
			for _, conn := range list {
				_ = conn.Close() // idle: an error loses nothing
			}
		}
		c.idle = nil
	}
}

// SetConnectTimeout sets how long the opening of a connection may take. It must be called
// before the first request.
func (c *Client) SetConnectTimeout(d time.Duration) { c.dialer.Timeout = d }

// Framing is how the end of a response body is marked.
type Framing string

// Framings.
const (
	FramedByLength Framing = "length"      // Content-Length
	FramedByChunks Framing = "chunks"      // chunked transfer encoding
	FramedByClose  Framing = "until-close" // the body ends when its connection closes
)

// framingOf returns the framing of a response body.
func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

// Response is a response whose header has been read and whose body has not.
// The caller must close it. Closing it before the end of the body closes the
// connection, which tells the backend server to stop working on the request.
type Response struct {
	StatusCode    int
	Header        http.Header
	ContentLength int64 // of the body in bytes; -1: unknown
	Framing       Framing
	body          io.ReadCloser
	bytesRead     int64
	client        *Client
	conn          *connection
	address       string
	keepAlive     bool        // the response header allows reuse of the connection, and no stray response arrived
	stop          func() bool // detaches the connection from the context; false: the context has ended already
	bodyWritten   chan error  // result of writing the body of a long request; nil: written before the response
	closeOnce     sync.Once
	bodyEnd       error // that Read has returned, io.EOF at the end of a complete body
}

// Do sends the request and returns when the header of its response has been read. The
// context applies until the response is closed, so also while the body is read. If
// no byte of the request was written, the error is an *UnsentError.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	conn, err := c.getConn(ctx, r)
	if err != nil {
		return nil, &UnsentError{err}
	}
	if r.Allow != nil {
		if err := r.Allow(); err != nil {
			c.putIdle(r.Address, conn)
			return nil, &UnsentError{err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // interrupts reads and writes
	fail := func(err error) (*Response, error) {
		stop()
		_ = conn.Close() // the request has failed already
		return nil, err
	}
	written, err := conn.send(r)
	if err != nil {
		return fail(err)
	}
	resp, err := conn.receive(r.Method)
	strays := 0
	for ; err == nil && r.Matches != nil && !r.Matches(resp.Header); strays++ {
		c.StrayResponses.Add(1)
		if strays == maxStrayResponses {
			err = errors.New("too many responses to other requests")
			break
		}
		if _, err = io.CopyN(io.Discard, resp.Body, maxStrayBody); err == nil {
			err = errors.New("response to another request is too long to skip")
			break
		} else if !errors.Is(err, io.EOF) {
			break
		}
		resp, err = conn.receive(r.Method)
	}
	if err != nil {
		return fail(fmt.Errorf("response from %s: %w", r.Address, err))
	}
	res := &Response{
		StatusCode: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, body: resp.Body,
		Framing: framingOf(resp),
		client:  c, conn: conn, address: r.Address, stop: stop, bodyWritten: written, keepAlive: !resp.Close && strays == 0,
	}
	conn.idleTimeout = keepAliveTimeout(resp.Header.Get("Keep-Alive"))
	return res, nil
}

// keepAliveTimeout returns how long a connection may be idle before it is no longer
// reused, given the Keep-Alive header of its last response.
func keepAliveTimeout(header string) time.Duration {
	for item := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(idleTimeoutFactor * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// getConn returns an idle connection that is still usable, or else a new one.
func (c *Client) getConn(ctx context.Context, r Request) (*connection, error) {
	for !r.NewConn {
		conn := c.popIdle(r.Address)
		if conn == nil {
			break
		}
		if conn.usable(c.clock()) {
			conn.inUse.Store(true)
			c.Reused.Add(1)
			return conn, nil
		}
		if conn.isClosed() {
			c.recordEnded(r.Address, conn.opened)
		}
		_ = conn.Close() // idle for too long, closed by the server, or unsolicited data
	}
	c.Opened.Add(1)
	raw, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.recordEnded(r.Address, c.clock())
		}
		return nil, err
	}
	limited := &limitedReader{reader: raw, left: unlimited}
	conn := &connection{
		Conn: raw, client: c, address: r.Address, opened: c.clock(),
		limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize), idleTimeout: defaultIdleTimeout,
	}
	conn.inUse.Store(true)
	c.openMu.Lock()
	defer c.openMu.Unlock()
	if c.open[r.Address] == nil {
		c.open[r.Address] = map[*connection]bool{}
	}
	c.open[r.Address][conn] = true
	return conn, nil
}

// Close closes the connection.
func (conn *connection) Close() error {
	if c := conn.client; c != nil {
		c.openMu.Lock()
		delete(c.open[conn.address], conn)
		if len(c.open[conn.address]) == 0 {
			delete(c.open, conn.address)
		}
		c.openMu.Unlock()
	}
	return conn.Conn.Close()
}

// recordEnded records that the process at an address has ended, as its connections show, at
// some time after the given one.
func (c *Client) recordEnded(address string, after time.Time) {
	c.openMu.Lock()
	defer c.openMu.Unlock()
	now := c.clock()
	c.signs[address] = sign{closed: now, noticed: now, before: after}
}

// Liveness is what connections tell of the process at an address.
type Liveness string

// Liveness values.
const (
	Alive   Liveness = "alive"   // it is the same process, and it runs or is silent
	Ended   Liveness = "ended"   // it has closed connections, as it does when it ends, or refuses them
	Unknown Liveness = "unknown" // there is no connection
)

// LivenessSince returns what became of the process that listened on address at a time in
// the past. Nothing is sent.
func (c *Client) LivenessSince(address string, since time.Time) Liveness {
	c.openMu.Lock()
	defer c.openMu.Unlock()
	out := Unknown
	if c.signs[address].closed.After(since) {
		out = Ended
	}
	for conn := range c.open[address] {
		switch {
		case conn.opened.After(since):
		case conn.inUse.Load() || !conn.isClosed():
			return Alive
		default:
			out = Ended
		}
	}
	return out
}

// RecordBroken records that a request's connection to address ended before its answer did.
func (c *Client) RecordBroken(address string) {
	c.openMu.Lock()
	defer c.openMu.Unlock()
	now := c.clock()
	c.signs[address] = sign{closed: c.signs[address].closed, noticed: now, before: now}
}

// MayHaveEnded reports whether the process that listened on address from start on may have
// ended, by what was noticed after since, at most endedMemory ago: connections ended, or were
// refused, and none from before is left. Nothing is sent.
func (c *Client) MayHaveEnded(address string, start, since time.Time) bool {
	c.openMu.Lock()
	defer c.openMu.Unlock()
	sign, ok := c.signs[address]
	ok = ok && sign.noticed.After(since) && sign.before.After(start)
	var oldest time.Time // of the connections that are left
	for conn := range c.open[address] {
		switch {
		case conn.inUse.Load() || !conn.isClosed():
			if oldest.IsZero() || conn.opened.Before(oldest) {
				oldest = conn.opened
			}
		case conn.opened.After(start) && (!ok || conn.opened.Before(sign.before)):
			sign.before, ok = conn.opened, true
		}
	}
	return ok && (oldest.IsZero() || !oldest.Before(sign.before))
}

// isClosed reports whether the other end has closed an idle connection.
func (conn *connection) isClosed() bool {
	n, err := conn.peek()
	return n == 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek returns the number of bytes, at most one, that could be read without waiting. The
// error is syscall.EAGAIN if there are none now, and nil if there will never be any.
func (conn *connection) peek() (n int, err error) {
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { // Read would wait for another one
		var peeked [1]byte
		n, _, err = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// limitedReader returns an error instead of more than a number of bytes. While it is limited
// it copies what it reads.
type limitedReader struct {
	reader io.Reader
	left   int // bytes, or unlimited
	copied []byte
}

const unlimited = -1

var errHeaderTooLarge = fmt.Errorf("the response header is larger than %d bytes", maxHeaderBytes)

func (l *limitedReader) Read(p []byte) (int, error) {
	switch {
	case l.left == unlimited:
		return l.reader.Read(p)
	case l.left == 0:
		return 0, errHeaderTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.copied = append(l.copied, p[:n]...)
	return n, err
}

// Refuses reports whether connections to address are refused: nothing listens there.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent
	return false
}

// popIdle returns the most recently used idle connection to address, or nil.
func (c *Client) popIdle(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return conn
}

// putIdle keeps conn for reuse, or closes it if there are enough idle connections.
func (c *Client) putIdle(address string, conn *connection) {
	conn.idleSince = c.clock()
	conn.inUse.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[address]) >= maxIdlePerServer {
		_ = conn.Close() // idle: an error loses nothing
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// PruneIdle closes the idle connections to all addresses that are not in addresses,
// and those that have been idle for too long.
func (c *Client) PruneIdle(addresses map[string]bool) {
	now := c.clock()
	c.openMu.Lock()
	maps.DeleteFunc(c.signs, func(_ string, s sign) bool { return now.Sub(s.noticed) > endedMemory })
	c.openMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		var kept []*connection
		for _, conn := range list {
			if addresses[address] && now.Sub(conn.idleSince) < conn.idleTimeout {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close() // idle: an error loses nothing
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// usable reports whether an idle connection may be reused: it has not expired, is
// still open, and no unsolicited data has arrived on it.
func (conn *connection) usable(now time.Time) bool {
	if now.Sub(conn.idleSince) >= conn.idleTimeout || conn.reader.Buffered() > 0 {
		return false
	}
	_, err := conn.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// send writes the request. A long body is written in the background while the
// response is read, since a backend server may respond before it has read the whole
// body; the returned channel then receives the result of that write.
func (conn *connection) send(r Request) (chan error, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // never fails on a buffer
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	if b.Len()+len(r.Body) <= maxInlineRequest {
		b.Write(r.Body)
		n, err := conn.Write(b.Bytes())
		if err != nil && n == 0 {
			return nil, &UnsentError{err}
		}
		return nil, err
	}
	if n, err := conn.Write(b.Bytes()); err != nil {
		if n == 0 {
			return nil, &UnsentError{err}
		}
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := conn.Write(r.Body)
		done <- err
	}()
	return done, nil
}

// receive reads the header of the next response, skipping 1xx responses.
func (conn *connection) receive(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxInterimResponses {
		resp, err := conn.readHead(request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim (1xx) responses")
}

// Read reads the body. It returns io.EOF only at the end of a complete body; a body
// that is cut off ends with another error. A body that is FramedByClose also ends with
// io.EOF if the backend server closes the connection early, unless it resets it.
func (r *Response) Read(p []byte) (int, error) {
	if r.bodyEnd != nil {
		return 0, r.bodyEnd
	}
	n, err := r.body.Read(p)
	r.bytesRead += int64(n)
	if errors.Is(err, io.EOF) && r.Framing == FramedByClose {
		err = r.checkClose()
	}
	r.bodyEnd = err
	return n, err
}

// checkClose returns io.EOF if the backend server has closed the connection, and another error
// if that broke. The system reports the error of a connection only once: if a write of the
// request's body gets it, reads end as if the connection had been closed.
func (r *Response) checkClose() error {
	if r.bodyWritten == nil || !r.conn.isDead() {
		return io.EOF
	}
	// A broken pipe means that the backend server had closed the connection before.
	if err := <-r.bodyWritten; err != nil && !errors.Is(err, syscall.EPIPE) {
		return fmt.Errorf("the connection broke before the end of the body: %w", err)
	}
	return io.EOF
}

// isDead reports whether nothing can be sent or received any more, so that a write in progress
// ends at once. A connection that only the other end has closed is not dead.
func (conn *connection) isDead() bool {
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	dead := true
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection, which is dead
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		dead = err != nil || info.State == tcpClose
	})
	return dead
}

// BytesRead returns the number of bytes of the body that Read has returned.
func (r *Response) BytesRead() int64 { return r.bytesRead }

// Shared returns a value that belongs to the connection. Its calls, one at a time, may use
// it until they are closed.
func (r *Response) Shared() *any { return &r.conn.shared }

// Close ends the call. The connection is kept for reuse if the request was written
// and the response read completely, and closed otherwise. Unless Request.Matches has
// identified the response, the caller must Discard it if it may be the answer to another
// request: the request's own is then still to come, and the next call would get it.
func (r *Response) Close() {
	r.closeOnce.Do(func() {
		stopped := r.stop()
		if !r.connReusable() || !stopped {
			_ = r.conn.Close() // makes the backend server stop working on the request
			return
		}
		r.client.putIdle(r.address, r.conn)
	})
}

// connReusable reports whether the connection can carry another request.
func (r *Response) connReusable() bool {
	if !r.keepAlive || !errors.Is(r.bodyEnd, io.EOF) || r.Framing == FramedByClose {
		return false
	}
	if r.bodyWritten != nil {
		select {
		case err := <-r.bodyWritten:
			if err != nil {
				return false
			}
		default:
			return false // the request body is not yet written completely
		}
	}
	if r.conn.reader.Buffered() > 0 {
		r.client.StrayResponses.Add(1)
		return false
	}
	return true
}

// Discard ends the call and closes the connection, however much was read.
func (r *Response) Discard() {
	r.keepAlive = false
	r.Close()
}
