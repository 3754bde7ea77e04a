package httpserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"tanagerroad/core/memory"
)

// Conn is a connection of a limited server. It reads the heads of requests before net/http
// does, to count their fields, and reports its progress to the account. Its methods may be
// called on nil, which stands for a connection without limits.
type Conn struct {
	net.Conn
	limiter   *Limiter
	holder    *memory.Holder
	dropped   atomic.Bool
	inBody    atomic.Bool // ReadBody is reading
	inHead    atomic.Bool // what is read next belongs to a head
	sawLength atomic.Bool // the head has a Content-Length
	deadline  atomic.Bool // a write deadline was set by a handler

	// What follows is used only by Read, and while Read isn't running.
	rest     []byte // read behind the end of a head, and not passed on
	head     headScanner
	bodyLeft int64 // bytes of the body that have not been read, if the request declares them; else 0
	// pipelined is the number of requests in a row that were there before the previous answer.
	pipelined int
	started   bool // bytes of a head have been read
}

// headScanner finds the end of a head, and counts its fields.
type headScanner struct {
	lines   int
	length  int // of the line, without CR
	matched int // bytes of lengthHeader that the line begins with; -1: it does not
}

var lengthHeader = []byte("content-length")

// scan reads bytes of a head. It returns the number of bytes up to the end of the head, or
// all and false if it doesn't end there. It calls foundLength for a Content-Length, also in
// a folded line, which a proxy may take for a field.
func (s *headScanner) scan(p []byte, foundLength func()) (int, bool) {
	for i, b := range p {
		switch b {
		case '\n':
			blank := s.length == 0 && s.lines > 0
			s.lines, s.length, s.matched = s.lines+1, 0, 0
			if blank {
				return i + 1, true
			}
			continue
		case '\r':
			continue
		}
		s.length++
		switch {
		case s.matched < 0 || s.matched == len(lengthHeader):
		case b|0x20 == lengthHeader[s.matched]: // in lower case
			if s.matched++; s.matched == len(lengthHeader) {
				foundLength()
			}
		case s.matched == 0 && (b == ' ' || b == '\t'):
		default:
			s.matched = -1
		}
	}
	return len(p), false
}

var errTooManyFields = errors.New("the head has too many fields")

// Read implements net.Conn. It passes on no byte behind the end of a head until the server
// asks for it, so that the next head is counted from its beginning.
func (c *Conn) Read(p []byte) (int, error) {
	if c.dropped.Load() {
		return 0, memory.ErrDropped
	}
	if c.bodyLeft > 0 {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	fromRest := len(c.rest) > 0
	var n int
	var err error
	if fromRest {
		n = copy(p, c.rest)
	} else if n, err = c.Conn.Read(p); n == 0 {
		return n, err
	}
	end := n
	if c.inHead.Load() {
		var readErr error
		if end, readErr = c.readHead(p[:n]); readErr != nil {
			return 0, readErr
		}
	} else if c.bodyLeft > 0 {
		c.bodyLeft -= int64(end)
	}
	switch {
	case fromRest:
		if c.rest = c.rest[end:]; len(c.rest) == 0 {
			c.rest = nil
		}
	case end < n:
		c.rest = bytes.Clone(p[end:n])
	}
	return end, err
}

// readHead accounts for bytes of a head. It returns how many of them belong to it, or an
// error if the connection was closed.
func (c *Conn) readHead(p []byte) (int, error) {
	now := c.limiter.Clock.Now()
	if !c.started {
		c.started = true
		c.holder.StartReceiving(now)
	}
	before := c.head.lines
	end, whole := c.head.scan(p, func() { c.sawLength.Store(true) })
	if c.head.lines > maxFields {
		c.limiter.rejected.Inc(1)
		return 0, c.reject("431 Request Header Fields Too Large", errTooManyFields)
	}
	if err := c.holder.Reserve(now, memory.Heads, int64(headFactor*end+fieldBytes*(c.head.lines-before))); err != nil {
		c.limiter.report()
		return 0, c.reject("503 Service Unavailable", err)
	}
	if whole {
		c.inHead.Store(false)
	}
	return end, nil
}

// reject answers a request whose head is not read on, and closes the connection. The answer
// to the previous request has been written by then.
func (c *Conn) reject(status string, reason error) error {
	if errors.Is(reason, memory.ErrDropped) {
		return reason
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(unreadTimeout))
	// The caller may have disconnected.
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nRetry-After: "+retryAfter+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.Conn.Close()
	return reason
}

// startRequest is called when a head has been read whole and its handler starts.
func (c *Conn) startRequest(r *http.Request) error {
	c.inHead.Store(false)
	if r.ContentLength > 0 {
		c.bodyLeft = r.ContentLength // nothing is read before the handler reads the body
	}
	if err := c.holder.Reserve(c.limiter.Clock.Now(), memory.Heads, requestBytes); err != nil {
		c.limiter.report()
		return err
	}
	if r.ContentLength == 0 {
		return c.holder.StartRunning()
	}
	return nil
}

// startIdle is called when an answer has been written and the next request may begin.
func (c *Conn) startIdle() {
	c.head, c.bodyLeft, c.started = headScanner{}, 0, false
	c.deadline.Store(false) // net/http has reset it
	c.inHead.Store(true)
	c.holder.StartIdle(c.limiter.Clock.Now())
	if len(c.rest) == 0 {
		c.pipelined = 0
	} else if c.pipelined++; c.pipelined > freePipelined {
		time.Sleep(pipelineDelay)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	previous := c.holder.StartSending(c.limiter.Clock.Now())
	defer c.holder.EndSending(previous)
	written := 0
	for {
		if !c.deadline.Load() {
			_ = c.Conn.SetWriteDeadline(time.Now().Add(progressTimeout)) // fails only on a closed connection
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+sendSize)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.holder.Progress(c.limiter.Clock.Now())
	}
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. The deadline of a dropped connection stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.dropped.Load() {
		err = c.Conn.SetReadDeadline(past)
	}
	return err
}

// past is a deadline that interrupts reads.
var past = time.Unix(1, 0)

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.holder.Close()
	return c.Conn.Close()
}

// CloseWrite lets the server close its side first, so that a caller that still sends a body
// gets the answer.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// drop ends a connection that the account has dropped. A request whose body is being read is
// still answered.
func (c *Conn) drop() {
	c.dropped.Store(true)
	if c.inBody.Load() {
		_ = c.Conn.SetReadDeadline(past)
	} else {
		_ = c.Conn.Close()
	}
	c.limiter.report()
}

// SetResetOnClose sets whether the connection is reset when it closes, also when this
// process is killed.
func (c *Conn) SetResetOnClose(reset bool) {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		seconds := -1 // the default: close in the background, without a reset
		if reset {
			seconds = 0
		}
		_ = tcp.SetLinger(seconds) // fails only on a closed connection
	}
}

// TakeLengthSeen reports whether a head had a Content-Length since the last call.
func (c *Conn) TakeLengthSeen() bool { return c != nil && c.sawLength.Swap(false) }

// Reserve reserves memory for the request that is being handled.
func (c *Conn) Reserve(use memory.Use, bytes int64) error {
	if c == nil {
		return nil
	}
	err := c.holder.Reserve(c.limiter.Clock.Now(), use, bytes)
	if err != nil {
		c.limiter.report()
	}
	return err
}

// Add accounts for memory of a request that has run.
func (c *Conn) Add(use memory.Use, bytes int64) {
	if c != nil {
		_ = c.holder.Add(c.limiter.Clock.Now(), use, bytes) // fails only once the connection is closed
	}
}

// Release gives back what the request that is being handled holds for a use.
func (c *Conn) Release(use memory.Use) {
	if c != nil {
		c.holder.Release(use)
	}
}

// AnswersPressed reports whether answers should not be buffered whole.
func (c *Conn) AnswersPressed() bool { return c != nil && c.limiter.Account.AnswersPressed() }
