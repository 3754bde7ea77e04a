package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/request"
	"tanagerroad/core/router"
	"tanagerroad/core/table"
)

// HTTP headers of the protocol for callers, documented in docs/CALLERS.md.
const (
	HeaderRequestID    = "Request-Id"
	HeaderWorkspace    = "Workspace"
	HeaderDeadline     = "Deadline"   // a duration from now, capped at the route's deadline
	HeaderRepeatable   = "Repeatable" // "false": the request must run at most once
	HeaderResend       = "Resend"     // "true": the caller has sent this request id before
	HeaderAnswerKind   = "Answer-Kind"
	HeaderAnswerDigest = "Answer-Digest" // xxhash64 of the body, in hexadecimal
)

// maxRequestIDBytes is the maximum length of the Request-Id header.
const maxRequestIDBytes = 64

// AnswerSummary describes how a request ended. It is the JSON body of every answer
// other than a complete one, and the data of the last event of a stream.
type AnswerSummary struct {
	RequestID        string `json:"request-id,omitempty"`
	Kind             string `json:"kind"`
	Reason           string `json:"reason,omitempty"`
	RetryAfterMillis int64  `json:"retry-after-ms,omitempty"`
	Length           uint64 `json:"length"`           // of the result, in bytes
	Digest           string `json:"digest,omitempty"` // of the result: xxhash64 in hexadecimal
}

// kindBadRequest is the answer kind of requests that are rejected before admission
// control because they are malformed or name an unknown route.
const kindBadRequest = "bad-request"

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post("/v1/routes/{route}", e.servePost)
	mux.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeSummary(w, http.StatusNotFound, AnswerSummary{Kind: kindBadRequest, Reason: "requests are posted to /v1/routes/{route}"})
	})
	mux.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeSummary(w, http.StatusMethodNotAllowed, AnswerSummary{Kind: kindBadRequest, Reason: "requests are posted"})
	})
	return mux
}

// requestError rejects an invalid request; its reason is sent to the caller with
// the HTTP status.
type requestError struct {
	status int
	reason string
}

func (e *requestError) Error() string { return e.reason }

// servePost handles one request from validation to its final answer.
func (e *Entry) servePost(w http.ResponseWriter, r *http.Request) {
	config, err := e.parseRequest(w, r)
	if err != nil {
		var invalid *requestError
		if !errors.As(err, &invalid) {
			invalid = &requestError{http.StatusBadRequest, err.Error()}
		}
		event.BadRequest.Log(e.config.Logger, zap.String("reason", invalid.reason), zap.Int("status", invalid.status))
		e.incCounter("bad-requests", 1)
		writeSummary(w, invalid.status, AnswerSummary{Kind: kindBadRequest, Reason: invalid.reason})
		return
	}
	seed := xxhash.Sum64String(config.ID)
	verdict := e.admitRequest(config, seed)
	if !verdict.OK {
		e.answerRefused(w, config, verdict)
		return
	}
	config.ExpectedTimes, config.Alone = verdict.ExpectedTimes, verdict.Alone
	last := config.Route.Stages[len(config.Route.Stages)-1]
	var out answerSink = &bodySink{w: w, id: config.ID}
	if last.Stream {
		out = newStreamSink(w, config.ID)
	}
	e.serve(config, seed, r.Context().Done(), out)
}

// admitRequest runs admission control for a valid request.
func (e *Entry) admitRequest(config request.Config, seed uint64) router.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepRouterLocked(router.Event{
		Kind: router.Admit, Route: config.Route.Name, Workspace: config.Workspace, Fingerprint: config.Fingerprint, PrefixDigest: router.PrefixDigest(config.Body),
		Remaining: config.Deadline - e.config.Clock.Now(), Seed: seed,
	})
}

// answerRefused answers a request that admission control refused.
func (e *Entry) answerRefused(w http.ResponseWriter, config request.Config, verdict router.Verdict) {
	event.Refused.Log(e.config.Logger, zap.String("request", config.ID), zap.String("route", config.Route.Name),
		zap.String("workspace", config.Workspace), zap.String("reason", verdict.Reason), zap.Duration("retry-after", verdict.RetryAfter))
	e.countRequest(config, "refused")
	e.incCounter("refusals."+config.Route.Name, 1)
	answer := tanagerroad.Answer{Kind: tanagerroad.AnswerNotRun, Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}
	if config.Once && config.Resend {
		// This request did not run, but an earlier one with the same id may
		// have: its claim was not looked up.
		answer.Kind = tanagerroad.AnswerUnknown
	}
	e.incCounter("answers."+string(answer.Kind), 1)
	(&bodySink{w: w, id: config.ID}).finish(answer)
}

// parseRequest validates the headers and reads the body. Its errors are of type
// *requestError.
func (e *Entry) parseRequest(w http.ResponseWriter, r *http.Request) (request.Config, error) {
	var c request.Config
	e.mu.Lock()
	route, ok := e.router.Route(chi.URLParam(r, "route"))
	e.mu.Unlock()
	if !ok {
		return c, &requestError{http.StatusNotFound, "no such route"}
	}
	c.Route = route
	c.Workspace = r.Header.Get(HeaderWorkspace)
	if !table.ValidName(c.Workspace) {
		return c, &requestError{http.StatusBadRequest, "the Workspace header needs a name of 1 to 64 lower-case letters, digits and hyphens"}
	}
	var err error
	if c.ID, err = requestID(r.Header.Get(HeaderRequestID)); err != nil {
		return c, err
	}
	c.Execution = ulid.Make().String()
	if c.Once, err = parseAtMostOnce(r.Header.Get(HeaderRepeatable), route); err != nil {
		return c, err
	}
	c.Resend = r.Header.Get(HeaderResend) == "true"
	timeout, err := parseTimeout(r.Header.Get(HeaderDeadline), route)
	if err != nil {
		return c, err
	}
	c.Deadline = e.config.Clock.Now() + timeout
	if c.Body, err = e.readBody(w, r); err != nil {
		return c, err
	}
	c.Fingerprint = requestFingerprint(route.Name, c.Body)
	return c, nil
}

// requestID validates the id that the caller chose, or generates one if it is
// empty.
func requestID(id string) (string, error) {
	if id == "" {
		return ulid.Make().String(), nil
	}
	if len(id) > maxRequestIDBytes {
		return "", &requestError{http.StatusBadRequest, fmt.Sprintf("the Request-Id header may have %d bytes", maxRequestIDBytes)}
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' || b == '/' {
			return "", &requestError{http.StatusBadRequest, "the Request-Id header takes printable ASCII without spaces and slashes"}
		}
	}
	return id, nil
}

// parseAtMostOnce reports whether the request may run at most once, given its
// Repeatable header. A caller cannot make a request repeatable if its route is
// not.
func parseAtMostOnce(header string, route table.Route) (bool, error) {
	switch header {
	case "", "true":
		return !route.IsRepeatable(), nil
	case "false":
		return true, nil
	}
	return false, &requestError{http.StatusBadRequest, "the Repeatable header is true or false"}
}

// parseTimeout returns the time until the request's deadline: the Deadline
// header, capped at the route's deadline, which is also the default.
func parseTimeout(header string, route table.Route) (time.Duration, error) {
	if header == "" {
		return route.Deadline.Std(), nil
	}
	d, err := time.ParseDuration(header)
	if err != nil || d <= 0 {
		return 0, &requestError{http.StatusBadRequest, "the Deadline header is a duration above zero, such as 2s"}
	}
	return min(d, route.Deadline.Std()), nil
}

// readBody reads the request's body, up to the configured maximum size.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	maxBytes := int64(e.config.Settings.Caller.MaxBody)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may have %d bytes", maxBytes)}
	}
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, "the body could not be read whole"}
	}
	return body, nil
}

// requestFingerprint hashes the route and the body, so that equal requests share
// a fingerprint whatever their workspace and id.
func requestFingerprint(route string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(route + "\x00") // the error is always nil
	_, _ = h.Write(body)                 // the error is always nil
	return h.Sum64()
}

func hexDigest(d uint64) string { return strconv.FormatUint(d, 16) }

// writeSummary writes an answer that has no result.
func writeSummary(w http.ResponseWriter, code int, summary AnswerSummary) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderAnswerKind, summary.Kind)
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(summary) // fails if the caller has disconnected
}

// summarize returns the JSON form of an answer. Length and digest are set only if
// the answer is complete.
func summarize(id string, a tanagerroad.Answer) AnswerSummary {
	summary := AnswerSummary{RequestID: id, Kind: string(a.Kind), Reason: a.Reason, RetryAfterMillis: a.RetryAfter.Milliseconds()}
	if a.Kind == tanagerroad.AnswerComplete {
		summary.Length, summary.Digest = a.Length, hexDigest(a.Digest)
	}
	return summary
}

// httpStatus returns the HTTP status code for an answer.
func httpStatus(kind tanagerroad.AnswerKind) int {
	switch kind {
	case tanagerroad.AnswerComplete:
		return http.StatusOK
	case tanagerroad.AnswerNotRun:
		return http.StatusServiceUnavailable
	case tanagerroad.AnswerUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// bodySink is an answerSink that writes the final answer as one response.
type bodySink struct {
	w  http.ResponseWriter
	id string
}

// deliver does nothing: the final answer holds the whole body.
func (s *bodySink) deliver([]byte) {}

func (s *bodySink) finish(a tanagerroad.Answer) {
	header := s.w.Header()
	header.Set(HeaderRequestID, s.id)
	header.Set(HeaderAnswerKind, string(a.Kind))
	if a.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	if a.Kind != tanagerroad.AnswerComplete {
		writeSummary(s.w, httpStatus(a.Kind), summarize(s.id, a))
		return
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	header.Set(HeaderAnswerDigest, hexDigest(a.Digest))
	_, _ = s.w.Write(a.Body) // fails if the caller has disconnected
}

// streamSink is an answerSink that writes server-sent events. Each event has the
// byte offset of its text as id and a JSON string as data. The last event is named
// "end" and describes how the request ended, so that callers can tell a truncated
// stream from a complete one. A request that fails before any output gets a plain
// response instead of a stream.
type streamSink struct {
	w          http.ResponseWriter
	flusher    *http.ResponseController
	id         string
	offset     int // bytes of the answer written so far
	headersSet bool
	incomplete []byte // first bytes of a UTF-8 character, the rest of which has not arrived
}

func newStreamSink(w http.ResponseWriter, id string) *streamSink {
	return &streamSink{w: w, flusher: http.NewResponseController(w), id: id}
}

// setHeaders sets the response headers on its first call.
func (s *streamSink) setHeaders() {
	if s.headersSet {
		return
	}
	s.headersSet = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set(HeaderRequestID, s.id)
}

func (s *streamSink) deliver(data []byte) {
	s.setHeaders()
	text := append(s.incomplete, data...)
	n := completeLength(text)
	s.incomplete = append([]byte(nil), text[n:]...)
	s.writeEvent(text[:n])
}

func (s *streamSink) writeEvent(text []byte) {
	if len(text) == 0 {
		return
	}
	data, err := json.Marshal(string(text))
	if err != nil {
		return // not reached: a string always marshals
	}
	message := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", s.offset, data)
	s.offset += len(text)
	_, _ = s.w.Write(message) // fails if the caller has disconnected
	_ = s.flusher.Flush()     // likewise
}

func (s *streamSink) finish(a tanagerroad.Answer) {
	if !s.headersSet && a.Kind != tanagerroad.AnswerComplete {
		(&bodySink{w: s.w, id: s.id}).finish(a)
		return
	}
	s.setHeaders()
	s.writeEvent(s.incomplete)
	if s.offset == 0 && len(a.Body) > 0 {
		s.writeEvent(a.Body) // the stored answer of an earlier request with this id
	}
	data, err := json.Marshal(summarize(s.id, a))
	if err != nil {
		return // not reached: the struct always marshals
	}
	_, _ = fmt.Fprintf(s.w, "event: end\ndata: %s\n\n", data)
	_ = s.flusher.Flush()
}

// completeLength returns the length of text without an incomplete UTF-8 character
// at its end.
func completeLength(text []byte) int {
	for back := 1; back <= 3 && back <= len(text); back++ {
		b := text[len(text)-back]
		if b < 0x80 {
			return len(text)
		}
		if b >= 0xC0 { // first byte of a character
			if size := runeLength(b); size > back {
				return len(text) - back
			}
			return len(text)
		}
	}
	return len(text)
}

// runeLength returns the length in bytes of a UTF-8 character, given its first
// byte, which must be at least 0xC0.
func runeLength(first byte) int {
	switch {
	case first >= 0xF0:
		return 4
	case first >= 0xE0:
		return 3
	}
	return 2
}
