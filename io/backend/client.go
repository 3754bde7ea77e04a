// Package backend implements the sidecar of a backend server. The sidecar
// receives the server's announcements, runs attempts on the server over HTTP,
// retains their results until they are fetched, and serves entries over gRPC.
// Package core/stage schedules the attempts and decides how queries about them
// are answered.
//
// The protocol between sidecar and backend server is documented in
// docs/BACKEND.md.
package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/table"
	"tanagerroad/io/http1"
)

// Headers of the protocol between sidecar and backend server.
const (
	HeaderRequest   = "Request-Id"
	HeaderExecution = "Execution-Id" // with stage and attempt, the key by which a stream is resumed or cancelled
	HeaderStage     = "Stage"
	HeaderAttempt   = "Attempt"
	HeaderWorkspace = "Workspace"
	HeaderModel     = "Model"
	HeaderBudget    = "Budget-Ms"     // milliseconds until the deadline
	HeaderNotRun    = "Not-Run"       // "true" on an error response: the call did not run
	HeaderDigest    = "Result-Digest" // xxhash64 of the result, in hexadecimal
	HeaderLimit     = "Server-Limit"  // calls per second that the backend server takes for now, a decimal number

	HeaderLeaving    = "Server-Leaving" // "1" on any answer: the backend server takes no new work until its next start
	HeaderRetryAfter = "Retry-After"    // on a 503: seconds, a decimal number, for which it wants no new work
)

// Paths of the protocol between sidecar and backend server.
const (
	PathRun      = "/run"      // POST: call a service
	PathGenerate = "/generate" // POST: call a model engine; answered by a stream of server-sent events
	PathStreams  = "/streams"  // GET ?attempt=&from= resumes a stream at a byte offset, DELETE ?attempt= cancels it
	PathLive     = "/live"     // GET: liveness probe; any response counts
)

// StreamEnd is the JSON data of the event named "end", which closes a complete
// stream.
type StreamEnd struct {
	Length uint64 `json:"length"` // bytes of all data
	Digest string `json:"digest"` // xxhash64 of all data, in hexadecimal
}

// outcomeKind classifies how a call ended.
type outcomeKind int

const (
	completed     outcomeKind = iota // the whole result was received
	notRun                           // the call did not run
	failed                           // the call ran and failed
	indeterminate                    // contact was lost: the call may have run
)

// outcome describes how one call ended.
type outcome struct {
	kind       outcomeKind
	reason     string
	serverDown bool // the backend server does not answer on a new connection either
}

// call is one attempt as sent to the backend server.
type call struct {
	key        tanagerroad.AttemptKey
	requestID  string // assigned by the caller
	workspace  string
	model      string
	kind       string // of the pool: model-engine or service
	input      []byte
	atMostOnce bool          // not repeatable
	budget     time.Duration // until the deadline
	start      int           // generation of the backend server that it is sent to
}

// client sends calls to one backend server.
type client struct {
	address        string
	silenceTimeout time.Duration // time without output after which a connection counts as lost
	maxBody        int64         // bytes of one result
	maxResumes     int
	http           *http1.Client
	close          func() // closes the idle connections

	// handleAnswer is called with each answer to a call, the call's method and the generation
	// of the backend server that it was sent to; nil: not.
	handleAnswer func(start int, method string, answer *http1.Response)
}

const dialTimeout = 2 * time.Second

func newClient(address string, silenceTimeout time.Duration, maxBody int64, maxResumes int) *client {
	c := &client{address: address, silenceTimeout: silenceTimeout, maxBody: maxBody, maxResumes: maxResumes}
	c.http, c.close = http1.New()
	c.http.SetConnectTimeout(dialTimeout)
	return c
}

// pruneIdle closes connections that have been idle for too long.
func (c *client) pruneIdle() { c.http.PruneIdle(map[string]bool{c.address: true}) }

// newRequest returns the POST request for an attempt, with the headers that describe
// it.
func (c *client) newRequest(attempt call, path string) http1.Request {
	header := http.Header{}
	header.Set(HeaderRequest, attempt.requestID)
	header.Set(HeaderExecution, attempt.key.Request)
	header.Set(HeaderStage, strconv.Itoa(attempt.key.Stage))
	header.Set(HeaderAttempt, strconv.Itoa(attempt.key.Attempt))
	header.Set(HeaderWorkspace, attempt.workspace)
	header.Set(HeaderBudget, strconv.FormatInt(attempt.budget.Milliseconds(), 10))
	if attempt.model != "" {
		header.Set(HeaderModel, attempt.model)
	}
	return http1.Request{
		Address: c.address, Method: http.MethodPost, Target: path, Host: c.address, Header: header, Body: attempt.input, NewConn: attempt.atMostOnce,
	}
}

// run calls the backend server for an attempt and passes each chunk of the result
// to deliver, in order. An attempt that must run at most once gets its own
// connection: a reused one may be dead, and then it would be unknown whether the
// attempt ran.
func (c *client) run(ctx context.Context, attempt call, deliver func([]byte)) outcome {
	if attempt.kind == table.ModelEngine {
		return c.runModelEngine(ctx, attempt, deliver)
	}
	return c.runService(ctx, attempt, deliver)
}

// runService calls a service, which returns its whole result in one response. It
// waits for the response until the silence timeout or the call's budget has passed,
// whichever is longer.
func (c *client) runService(ctx context.Context, attempt call, deliver func([]byte)) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(max(c.silenceTimeout, attempt.budget), cancel)
	defer silenceTimer.Stop()
	request := c.newRequest(attempt, PathRun)
	response, err := c.http.Do(ctx, request)
	if err != nil {
		return c.connectionFailure(ctx, err)
	}
	defer response.Close()
	if result, final := c.checkResponse(attempt, request.Method, response); final {
		return result
	}
	body, err := io.ReadAll(io.LimitReader(response, c.maxBody+1))
	if err != nil {
		return c.connectionFailure(ctx, err)
	}
	if int64(len(body)) > c.maxBody {
		return outcome{kind: failed, reason: fmt.Sprintf("the result is larger than %d bytes", c.maxBody)}
	}
	digest := response.Header.Get(HeaderDigest)
	if digest != hexDigest(xxhash.Sum64(body)) {
		if response.Framing == http1.FramedByClose {
			return c.connectionFailure(ctx, errCutShort)
		}
		if digest != "" {
			return outcome{kind: failed, reason: "the result does not match its digest"}
		}
	}
	deliver(body)
	return outcome{kind: completed}
}

// errCutShort is the error of a result that ends with its connection and has no digest
// that it matches.
var errCutShort = errors.New("the connection closed, and no length, chunk or digest shows that the result is whole")

// hexDigest formats a digest as in HeaderDigest and StreamEnd.
func hexDigest(d uint64) string { return strconv.FormatUint(d, 16) }

// checkResponse returns the outcome of a response whose status is not 200; it returns
// false if the status is 200.
func (c *client) checkResponse(attempt call, method string, response *http1.Response) (outcome, bool) {
	if c.handleAnswer != nil {
		c.handleAnswer(attempt.start, method, response)
	}
	status := fmt.Sprint(response.StatusCode, " ", http.StatusText(response.StatusCode))
	switch {
	case response.StatusCode == http.StatusOK:
		return outcome{}, false
	case response.Header.Get(HeaderNotRun) == "true":
		return outcome{kind: notRun, reason: status}, true
	}
	return outcome{kind: failed, reason: "the backend server answered " + status}, true
}

// connectionFailure returns the outcome of a call whose connection failed. It
// probes the backend server on a new connection to find out whether it is down,
// unless the call was cancelled or timed out. A call of which nothing was sent did not
// run.
func (c *client) connectionFailure(ctx context.Context, err error) outcome {
	var unsent *http1.UnsentError
	if errors.As(err, &unsent) {
		return outcome{kind: notRun, reason: err.Error(), serverDown: !c.alive()}
	}
	return outcome{kind: indeterminate, reason: err.Error(), serverDown: ctx.Err() == nil && !c.alive()}
}

// probeTimeout bounds a liveness probe and the cancellation of a stream.
const probeTimeout = 500 * time.Millisecond

// alive reports whether the backend server answers on a new connection, with a sound answer
// or an odd one.
func (c *client) alive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	response, err := c.http.Do(ctx, http1.Request{Address: c.address, Method: http.MethodGet, Target: PathLive, Host: c.address, NewConn: true})
	if err != nil {
		return errors.Is(err, http1.ErrOddHead)
	}
	response.Discard()
	return true
}

// runModelEngine reads a model engine's stream, and resumes it up to maxResumes
// times if the connection fails.
func (c *client) runModelEngine(ctx context.Context, attempt call, deliver func([]byte)) outcome {
	s := &stream{client: c, call: attempt, deliver: deliver, hash: xxhash.New()}
	result := s.connect(ctx, c.newRequest(attempt, PathGenerate))
	for try := 0; result.kind == indeterminate && !result.serverDown && try < c.maxResumes && ctx.Err() == nil; try++ {
		result = s.connect(ctx, s.newResumeRequest())
		if result.kind == notRun { // the resumption was not: the call ran before
			result.kind = indeterminate
		}
	}
	return result
}

// streamRequest returns the request that resumes an attempt's stream at a byte offset, or
// cancels it.
func (c *client) streamRequest(method string, key tanagerroad.AttemptKey, from uint64) http1.Request {
	query := url.Values{"attempt": {key.String()}, "from": {strconv.FormatUint(from, 10)}}
	return http1.Request{Address: c.address, Method: method, Target: PathStreams + "?" + query.Encode(), Host: c.address}
}

// cancel asks a model engine to stop generating a stream that nobody reads any
// more. Errors are ignored.
func (c *client) cancel(attempt call) {
	ctx, done := context.WithTimeout(context.Background(), probeTimeout)
	defer done()
	request := c.streamRequest(http.MethodDelete, attempt.key, 0)
	response, err := c.http.Do(ctx, request)
	if err != nil {
		return
	}
	defer response.Close()
	if c.handleAnswer != nil {
		c.handleAnswer(attempt.start, request.Method, response)
	}
}

// stream is a model engine's answer to one call, received over one or more
// connections.
type stream struct {
	client   *client
	call     call
	deliver  func([]byte)
	received uint64         // bytes, without gaps
	hash     *xxhash.Digest // of the bytes received
}

// newResumeRequest returns the request for the data that is still missing.
func (s *stream) newResumeRequest() http1.Request {
	request := s.client.streamRequest(http.MethodGet, s.call.key, s.received)
	request.NewConn = s.call.atMostOnce
	return request
}

// connect sends one request for the stream and reads events until the stream
// ends or the connection fails.
func (s *stream) connect(ctx context.Context, request http1.Request) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(s.client.silenceTimeout, cancel)
	defer silenceTimer.Stop()
	response, err := s.client.http.Do(ctx, request)
	if err != nil {
		return s.client.connectionFailure(ctx, err)
	}
	defer response.Close()
	if result, final := s.client.checkResponse(s.call, request.Method, response); final {
		return result
	}
	return s.readEvents(ctx, response, silenceTimer)
}

// readBufferBytes is the size of the buffer for reading events; longer lines are
// still read whole.
const readBufferBytes = 32 << 10

const (
	maxEscape        = 6       // bytes of a JSON string for each byte of its text
	maxEventOverhead = 4 << 10 // bytes of a line of an event besides its text
)

var errLineTooLong = errors.New("a line of an event is longer than a whole result may be")

// readLine reads up to the end of the line. It returns errLineTooLong after limit bytes.
func readLine(r *bufio.Reader, limit int) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return "", errLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return string(line), err
		}
	}
}

// readEvents reads server-sent events until the end event. Every line restarts
// the silence timer.
func (s *stream) readEvents(ctx context.Context, body io.Reader, silenceTimer *time.Timer) outcome {
	lines := bufio.NewReaderSize(body, readBufferBytes)
	var name, id, data string
	for {
		line, err := readLine(lines, maxEscape*int(s.client.maxBody)+maxEventOverhead)
		if errors.Is(err, errLineTooLong) {
			return outcome{kind: failed, reason: err.Error()}
		}
		if err != nil {
			return s.client.connectionFailure(ctx, err)
		}
		silenceTimer.Reset(s.client.silenceTimeout)
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "" && name == "end":
			return s.handleEnd(data)
		case line == "" && data != "":
			if result, final := s.handleData(id, data); final {
				return result
			}
			name, id, data = "", "", ""
		}
	}
}

// handleData processes the data of one event: a JSON string, whose byte offset in
// the result is the event's id. It returns an outcome and true if reading must stop.
func (s *stream) handleData(id, data string) (outcome, bool) {
	offset, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return outcome{kind: failed, reason: "an event without its offset"}, true
	}
	var text string
	if err := json.Unmarshal([]byte(data), &text); err != nil {
		return outcome{kind: failed, reason: "an event that is no JSON string"}, true
	}
	end := offset + uint64(len(text))
	switch {
	case offset > s.received:
		return outcome{kind: indeterminate, reason: "a gap in the stream"}, true
	case end <= s.received:
		return outcome{}, false // already received before the stream was resumed
	case end > uint64(s.client.maxBody):
		return outcome{kind: failed, reason: "the result is too large"}, true
	}
	added := []byte(text)[s.received-offset:]
	_, _ = s.hash.Write(added) // never fails
	s.received = end
	s.deliver(added)
	return outcome{}, false
}

// handleEnd checks the length and digest of the end event against the data
// received.
func (s *stream) handleEnd(data string) outcome {
	var end StreamEnd
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return outcome{kind: failed, reason: "an end event that is no JSON"}
	}
	if end.Length != s.received {
		return outcome{kind: indeterminate, reason: "the end came before all of it"}
	}
	if end.Digest != hexDigest(s.hash.Sum64()) {
		return outcome{kind: failed, reason: "the result does not match its digest"}
	}
	return outcome{kind: completed}
}
