package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"tanagerroad/core/memory"
	"tanagerroad/io/http1"
	"tanagerroad/io/httpserver"
)

const (
	// pieceBytes is what a piece of a stage takes until the request ends: its job, its result,
	// and its place in the messages to owners.
	pieceBytes = 256
	// pressedBufferedBody is maxBufferedBody while answers take much of the memory account.
	pressedBufferedBody = 16 << 10
	// firstAnswerStep is the size of the first buffer for an answer of unknown length, in bytes.
	firstAnswerStep = 4 << 10
)

// readBody reserves memory for the request and reads its body. If that fails it answers with
// the error and returns false; the request has not run.
func (x *exchange) readBody() bool {
	if n := x.pieces(); n > 0 && httpserver.ConnOf(x.r).Reserve(memory.Pieces, int64(n)*pieceBytes) != nil {
		httpserver.RefuseFull(x.w)
		x.refuseFull()
		return false
	}
	body, err := httpserver.ReadBody(x.w, x.r, x.maxBody(), time.Now().Add(x.deadline-x.arrived))
	switch {
	case err == nil:
		// In case the caller stops reading.
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(x.deadline - x.arrived + writeGrace))
		x.body = body
		return true
	case errors.Is(err, memory.ErrFull) || errors.Is(err, memory.ErrDropped):
		x.refuseFull()
	case errors.Is(err, httpserver.ErrTooLarge):
		x.answer(http.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, httpserver.ErrTooSlow):
		x.answer(http.StatusRequestTimeout, err.Error())
	default:
		x.answer(http.StatusBadRequest, "the body could not be read in full")
	}
	return false
}

// refuseFull answers that there is no memory for the request.
func (x *exchange) refuseFull() {
	// What makes no progress is dropped within a second. Callers are spread so that they do
	// not come back together.
	x.retryAfter = time.Second + time.Duration(hashFraction(x.headers.AttemptID)*float64(pauseSpread))
	x.refuse("this gateway has no memory for the request")
}

// releaseBody gives the request's body up, when no attempt can follow.
func (x *exchange) releaseBody() {
	x.body = nil
	httpserver.ConnOf(x.r).Release(memory.Bodies)
}

// readAnswer reads up to limit bytes of an answer into memory of the account.
func (x *exchange) readAnswer(res *http1.Response, limit int) ([]byte, error) {
	conn := httpserver.ConnOf(x.r)
	conn.Release(memory.Answers) // of an earlier attempt
	size := firstAnswerStep
	if res.ContentLength >= 0 {
		size = int(min(int64(limit), res.ContentLength+1)) // one more, to find the end
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= limit {
				return buffer, nil
			}
			size = min(limit, max(size, 2*len(buffer)))
			conn.Add(memory.Answers, int64(size-cap(buffer)))
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			buffer = grown
		}
		n, err := res.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}
