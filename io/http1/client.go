// Package http1 calls backend servers over HTTP/1.1. Unlike net/http's
// transport it never sends a request again by itself, tells whether anything of
// a request was sent, and closes a connection on which an answer arrives that
// nobody waits for.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of connections.
const (
	connectTimeout = time.Second
	probeIdle      = 2 * time.Second // a quiet connection is probed from then on
	probeEvery     = time.Second
	probeCount     = 2
	userTimeout    = 3 * time.Second // sent data without acknowledgement
	idleUsual      = 4 * time.Second // where the backend server does not say
	idlePart       = 0.6             // of the timeout that it says, against the race with its close
	idleMost       = 32              // kept connections to one backend server
	readBuffer     = 4 << 10         // bytes
	writeAhead     = 8 << 10         // bytes that a connection takes without a reader, at least
	interimMost    = 4               // 1xx answers before the final one
	straysMost     = 2               // answers to other requests before this one's
	strayBody      = 256 << 10       // bytes of such an answer that are read past
	tcpUserTimeout = 0x12            // TCP_USER_TIMEOUT, which package syscall does not name
)

// Request is one call.
type Request struct {
	Address string // of the backend server
	Method  string
	Target  string // path and query, as the caller wrote them
	Host    string
	Header  http.Header
	Body    []byte
	Fresh   bool // never on a kept connection
	// Mine reports whether an answer is this call's; nil takes any. One that
	// is not is read past.
	Mine func(http.Header) bool
}

// Unsent is an error before anything of the request was written.
type Unsent struct{ Err error }

func (u *Unsent) Error() string { return "not sent: " + u.Err.Error() }

// Unwrap is the cause.
func (u *Unsent) Unwrap() error { return u.Err }

// Client keeps connections to backend servers.
type Client struct {
	dialer net.Dialer
	clock  func() time.Time
	mu     sync.Mutex
	idle   map[string][]*connection
	ended  bool

	// Opened counts new connections, Kept calls on kept ones, Stray answers
	// that nobody waited for.
	Opened, Kept, Stray atomic.Int64
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time     // idle
	limit  time.Duration // of idleness
}

// New returns a client and the function that closes its idle connections.
func New() (*Client, func()) {
	c := &Client{idle: map[string][]*connection{}, clock: time.Now}
	c.dialer = net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return c, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		for _, list := range c.idle {
			for _, conn := range list {
				_ = conn.Close() // idle: nothing is lost
			}
		}
		c.idle = nil
	}
}

// Response is an answer whose body is still to be read. Close ends the call;
// before the body's end it also ends the backend server's work.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1: not known
	// Delimited is false for a body that ends with its connection.
	Delimited bool
	body      io.ReadCloser
	client    *Client
	conn      *connection
	address   string
	keep      bool
	stop      func() bool
	written   chan error // nil once the request is written
	once      sync.Once
	whole     bool
}

// Do sends the request and returns once the answer's header has come. The
// context bounds the whole call, the body included.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	conn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &Unsent{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) }) // wakes reads and writes
	fail := func(err error) (*Response, error) {
		stop()
		_ = conn.Close() // the call has failed
		return nil, err
	}
	written, err := conn.send(r)
	if err != nil {
		return fail(err)
	}
	answer, err := conn.receive(r.Method)
	strays := 0
	for ; err == nil && r.Mine != nil && !r.Mine(answer.Header); strays++ {
		c.Stray.Add(1)
		if strays == straysMost {
			err = errors.New("answers to other requests only")
			break
		}
		if _, err = io.CopyN(io.Discard, answer.Body, strayBody); err == nil {
			err = errors.New("a long answer to another request")
			break
		} else if !errors.Is(err, io.EOF) {
			break
		}
		answer, err = conn.receive(r.Method)
	}
	if err != nil {
		return fail(fmt.Errorf("answer of %s: %w", r.Address, err))
	}
	res := &Response{
		Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, body: answer.Body,
		Delimited: answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0,
		client:    c, conn: conn, address: r.Address, stop: stop, written: written, keep: !answer.Close && strays == 0,
	}
	conn.limit = idleLimit(answer.Header.Get("Keep-Alive"))
	return res, nil
}

// idleLimit is how long a connection may be idle before it is not used again.
func idleLimit(header string) time.Duration {
	for item := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(idlePart * float64(seconds) * float64(time.Second))
		}
	}
	return idleUsual
}

func (c *Client) connect(ctx context.Context, r Request) (*connection, error) {
	for !r.Fresh {
		conn := c.take(r.Address)
		if conn == nil {
			break
		}
		if conn.usable(c.clock()) {
			c.Kept.Add(1)
			return conn, nil
		}
		_ = conn.Close() // closed by the far end, or an answer that nobody asked for
	}
	c.Opened.Add(1)
	raw, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (c *Client) take(address string) *connection {
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

func (c *Client) put(address string, conn *connection) {
	conn.since = c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.idle[address]) >= idleMost {
		_ = conn.Close() // idle: nothing is lost
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// Retain closes idle connections to all other addresses, and those that have
// been idle for too long.
func (c *Client) Retain(addresses map[string]bool) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		var kept []*connection
		for _, conn := range list {
			if addresses[address] && now.Sub(conn.since) < conn.limit {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close() // idle: nothing is lost
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// usable reports whether a kept connection is still open and silent.
func (conn *connection) usable(now time.Time) bool {
	if now.Sub(conn.since) >= conn.limit || conn.reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// send writes the request. A long body is written while the answer is read,
// since a backend server may answer before it has read all of it; the channel
// then tells how that ended.
func (conn *connection) send(r Request) (chan error, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a buffer takes everything
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	if b.Len()+len(r.Body) <= writeAhead {
		b.Write(r.Body)
		n, err := conn.Write(b.Bytes())
		if err != nil && n == 0 {
			return nil, &Unsent{err}
		}
		return nil, err
	}
	if n, err := conn.Write(b.Bytes()); err != nil {
		if n == 0 {
			return nil, &Unsent{err}
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

// receive reads an answer's header, past interim ones.
func (conn *connection) receive(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range interimMost {
		answer, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// Read reads the body. It returns io.EOF only at the end of a body that came
// whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Close ends the call and keeps the connection where that is safe.
func (r *Response) Close() {
	r.once.Do(func() {
		stopped := r.stop()
		if !r.reusable() || !stopped {
			_ = r.conn.Close() // ends the backend server's work, if there is any
			return
		}
		r.client.put(r.address, r.conn)
	})
}

func (r *Response) reusable() bool {
	if !r.keep || !r.whole || !r.Delimited {
		return false
	}
	if r.written != nil {
		select {
		case err := <-r.written:
			if err != nil {
				return false
			}
		default:
			return false // the rest of the request is still due
		}
	}
	if r.conn.reader.Buffered() > 0 {
		r.client.Stray.Add(1)
		return false
	}
	return true
}

// Discard closes the connection whatever has been read.
func (r *Response) Discard() {
	r.keep = false
	r.Close()
}
