package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"tanagerroad/core/memory"
)

const (
	firstStep = 32 << 10 // bytes of a body that are reserved before any is read
	// stepFactor is how much more is reserved once that has come. A caller that stops has
	// sent at least a quarter of what it holds.
	stepFactor = 4
	// progressBytes is how much of a body counts as progress.
	progressBytes = 16 << 10
)

// Errors of ReadBody, besides those of the account. None of these requests has run.
var (
	ErrTooLarge = errors.New("the body is larger than the limit")
	ErrTooSlow  = errors.New("the body did not come in time")
)

// ReadBody reads the body of a request, of at most limit bytes, until a deadline. The memory
// is reserved before it is read, and stays reserved until the request ends.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	conn, controller := ConnOf(r), http.NewResponseController(w)
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, ErrTooLarge
	}
	conn.startBody()
	_ = controller.SetReadDeadline(deadline) // fails only without a connection
	body, err := conn.readBody(r.Body, r.ContentLength, limit)
	if endErr := conn.endBody(); endErr != nil {
		err = endErr
	}
	if err != nil {
		conn.Release(memory.Bodies)
		w.Header().Set("Connection", "close")
		_ = controller.SetReadDeadline(time.Now().Add(unreadTimeout))
		if errors.Is(err, memory.ErrFull) || errors.Is(err, memory.ErrDropped) {
			RefuseFull(w)
		}
		return nil, err
	}
	_ = controller.SetReadDeadline(time.Time{}) // the connection's next request sets its own
	return body, nil
}

// readBody reads a body of a declared length, or -1, into a buffer that grows in steps.
func (c *Conn) readBody(body io.Reader, declared, limit int64) ([]byte, error) {
	bound := limit
	if declared >= 0 {
		bound = declared
	}
	var buffer []byte
	unmarked := 0
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) == bound {
				return buffer, expectEnd(body)
			}
			size := min(bound, max(firstStep, stepFactor*int64(cap(buffer))))
			if declared < 0 {
				size = min(bound, max(firstStep/stepFactor, 2*int64(cap(buffer)))) // much of a longer one might stay unused
			}
			if err := c.Reserve(memory.Bodies, size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			c.releaseBytes(memory.Bodies, int64(cap(buffer)))
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if unmarked += n; unmarked >= progressBytes {
			unmarked = 0
			c.progress()
		}
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, readError(err)
		}
	}
}

// expectEnd returns an error unless body has ended.
func expectEnd(body io.Reader) error {
	var one [1]byte
	for {
		n, err := body.Read(one[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return readError(err)
		}
	}
}

func readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrTooSlow
	}
	return fmt.Errorf("the body could not be read in full: %w", err)
}

func (c *Conn) startBody() {
	if c != nil {
		c.inBody.Store(true)
	}
}

// endBody says that a body is not read any more. It returns an error if the connection was
// dropped meanwhile.
func (c *Conn) endBody() error {
	if c == nil {
		return nil
	}
	err := c.holder.StartRunning()
	c.inBody.Store(false)
	return err
}

func (c *Conn) progress() {
	if c != nil {
		c.holder.Progress(c.limiter.Clock.Now())
	}
}

func (c *Conn) releaseBytes(use memory.Use, bytes int64) {
	if c != nil {
		c.holder.ReleaseBytes(use, bytes)
	}
}
