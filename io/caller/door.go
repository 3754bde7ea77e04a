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

// Headers of the protocol towards callers.
const (
	HeaderRequest    = "Request-Id"
	HeaderWorkspace  = "Workspace"
	HeaderDeadline   = "Deadline"   // a duration; never beyond the route's
	HeaderRepeatable = "Repeatable" // false: run at most once
	HeaderResend     = "Resend"     // true: this id was sent before
	HeaderKind       = "Answer-Kind"
	HeaderDigest     = "Answer-Digest" // xxhash64 of the body, hexadecimal
)

// maxID is the longest request id, in bytes.
const maxID = 64

// Ended is the JSON of an answer without a result, and of a stream's end.
type Ended struct {
	Request         string `json:"request-id,omitempty"`
	Kind            string `json:"kind"`
	Reason          string `json:"reason,omitempty"`
	RetryAfterMilli int64  `json:"retry-after-ms,omitempty"`
	Length          uint64 `json:"length"`
	Digest          string `json:"digest,omitempty"`
}

// kindBad is the kind of answer to a request that was malformed.
const kindBad = "bad-request"

// Handler serves callers.
func (e *Entry) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post("/v1/routes/{route}", e.post)
	mux.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusNotFound, Ended{Kind: kindBad, Reason: "requests are posted to /v1/routes/{route}"})
	})
	mux.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusMethodNotAllowed, Ended{Kind: kindBad, Reason: "requests are posted"})
	})
	return mux
}

// fault is a caller's mistake.
type fault struct {
	status int
	reason string
}

func (f *fault) Error() string { return f.reason }

func (e *Entry) post(w http.ResponseWriter, r *http.Request) {
	config, err := e.parse(w, r)
	if err != nil {
		var f *fault
		if !errors.As(err, &f) {
			f = &fault{http.StatusBadRequest, err.Error()}
		}
		event.BadRequest.Log(e.config.Logger, zap.String("reason", f.reason), zap.Int("status", f.status))
		e.count("bad-requests", 1)
		refuse(w, f.status, Ended{Kind: kindBad, Reason: f.reason})
		return
	}
	seed := xxhash.Sum64String(config.ID)
	verdict := e.admit(config, seed)
	if !verdict.OK {
		e.refused(w, config, verdict)
		return
	}
	config.ExpectedTimes, config.Alone = verdict.ExpectedTimes, verdict.Alone
	last := config.Route.Stages[len(config.Route.Stages)-1]
	var out sink = &wholeSink{w: w, id: config.ID}
	if last.Stream {
		out = newStreamSink(w, config.ID)
	}
	e.serve(config, seed, r.Context().Done(), out)
}

func (e *Entry) admit(config request.Config, seed uint64) router.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decide(router.Event{
		Kind: router.Admit, Route: config.Route.Name, Workspace: config.Workspace, Fingerprint: config.Fingerprint,
		Remaining: config.Deadline - e.config.Clock.Now(), Seed: seed,
	})
}

func (e *Entry) refused(w http.ResponseWriter, config request.Config, verdict router.Verdict) {
	event.Refused.Log(e.config.Logger, zap.String("request", config.ID), zap.String("route", config.Route.Name),
		zap.String("workspace", config.Workspace), zap.String("reason", verdict.Reason), zap.Duration("retry-after", verdict.RetryAfter))
	e.countRequest(config, "refused")
	e.count("refusals."+config.Route.Name, 1)
	answer := tanagerroad.Answer{Kind: tanagerroad.NotRun, Reason: verdict.Reason, RetryAfter: verdict.RetryAfter}
	if config.Once && config.Resend {
		// This sending did not run, but what became of the one before was
		// not looked up.
		answer.Kind = tanagerroad.Unknown
	}
	e.count("answers."+string(answer.Kind), 1)
	(&wholeSink{w: w, id: config.ID}).finish(answer)
}

func (e *Entry) parse(w http.ResponseWriter, r *http.Request) (request.Config, error) {
	var c request.Config
	e.mu.Lock()
	route, ok := e.router.Route(chi.URLParam(r, "route"))
	e.mu.Unlock()
	if !ok {
		return c, &fault{http.StatusNotFound, "no such route"}
	}
	c.Route = route
	c.Workspace = r.Header.Get(HeaderWorkspace)
	if !table.ValidName(c.Workspace) {
		return c, &fault{http.StatusBadRequest, "the Workspace header needs a name of 1 to 64 lower-case letters, digits and hyphens"}
	}
	var err error
	if c.ID, err = requestID(r.Header.Get(HeaderRequest)); err != nil {
		return c, err
	}
	c.Execution = ulid.Make().String()
	if c.Once, err = once(r.Header.Get(HeaderRepeatable), route); err != nil {
		return c, err
	}
	c.Resend = r.Header.Get(HeaderResend) == "true"
	left, err := deadline(r.Header.Get(HeaderDeadline), route)
	if err != nil {
		return c, err
	}
	c.Deadline = e.config.Clock.Now() + left
	if c.Body, err = e.body(w, r); err != nil {
		return c, err
	}
	c.Fingerprint = fingerprint(route.Name, c.Body)
	return c, nil
}

// requestID checks the caller's id, or makes one.
func requestID(id string) (string, error) {
	if id == "" {
		return ulid.Make().String(), nil
	}
	if len(id) > maxID {
		return "", &fault{http.StatusBadRequest, fmt.Sprintf("the Request-Id header may have %d bytes", maxID)}
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' || b == '/' {
			return "", &fault{http.StatusBadRequest, "the Request-Id header takes printable ASCII without spaces and slashes"}
		}
	}
	return id, nil
}

// once reports whether the request may run at most once. The mark on the route
// cannot be lifted by the caller.
func once(header string, route table.Route) (bool, error) {
	switch header {
	case "", "true":
		return !route.IsRepeatable(), nil
	case "false":
		return true, nil
	}
	return false, &fault{http.StatusBadRequest, "the Repeatable header is true or false"}
}

func deadline(header string, route table.Route) (time.Duration, error) {
	if header == "" {
		return route.Deadline.D(), nil
	}
	d, err := time.ParseDuration(header)
	if err != nil || d <= 0 {
		return 0, &fault{http.StatusBadRequest, "the Deadline header is a duration above zero, such as 2s"}
	}
	return min(d, route.Deadline.D()), nil
}

func (e *Entry) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	most := int64(e.config.Settings.Caller.MaxBody)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &fault{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may have %d bytes", most)}
	}
	if err != nil {
		return nil, &fault{http.StatusBadRequest, "the body could not be read whole"}
	}
	return body, nil
}

// fingerprint names what a request asks for, whoever asks under whatever id.
func fingerprint(route string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(route + "\x00") // never fails
	_, _ = h.Write(body)                 // never fails
	return h.Sum64()
}

func hexDigest(d uint64) string { return strconv.FormatUint(d, 16) }

func refuse(w http.ResponseWriter, code int, ended Ended) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderKind, ended.Kind)
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(ended) // the caller may be gone
}

// ended is the JSON of an answer.
func ended(id string, a tanagerroad.Answer) Ended {
	out := Ended{Request: id, Kind: string(a.Kind), Reason: a.Reason, RetryAfterMilli: a.RetryAfter.Milliseconds()}
	if a.Kind == tanagerroad.Complete {
		out.Length, out.Digest = a.Length, hexDigest(a.Digest)
	}
	return out
}

// statusOf is the HTTP status of an answer.
func statusOf(kind tanagerroad.AnswerKind) int {
	switch kind {
	case tanagerroad.Complete:
		return http.StatusOK
	case tanagerroad.NotRun:
		return http.StatusServiceUnavailable
	case tanagerroad.Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// wholeSink answers with one body.
type wholeSink struct {
	w  http.ResponseWriter
	id string
}

func (s *wholeSink) deliver([]byte) {}

func (s *wholeSink) finish(a tanagerroad.Answer) {
	header := s.w.Header()
	header.Set(HeaderRequest, s.id)
	header.Set(HeaderKind, string(a.Kind))
	if a.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	if a.Kind != tanagerroad.Complete {
		refuse(s.w, statusOf(a.Kind), ended(s.id, a))
		return
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	header.Set(HeaderDigest, hexDigest(a.Digest))
	_, _ = s.w.Write(a.Body) // the caller may be gone
}

// streamSink answers with server-sent events. Each carries its offset as id
// and a JSON string as data; the last is named end and says how it ended, so
// that a stream that was cut never passes for a whole one.
type streamSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	id      string
	offset  int
	begun   bool
	partial []byte // start of a character whose rest has not come
}

func newStreamSink(w http.ResponseWriter, id string) *streamSink {
	return &streamSink{w: w, flusher: http.NewResponseController(w), id: id}
}

func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set(HeaderRequest, s.id)
}

func (s *streamSink) deliver(piece []byte) {
	s.begin()
	text := append(s.partial, piece...)
	whole := wholeRunes(text)
	s.partial = append([]byte(nil), text[whole:]...)
	s.event(text[:whole])
}

func (s *streamSink) event(text []byte) {
	if len(text) == 0 {
		return
	}
	data, err := json.Marshal(string(text))
	if err != nil {
		return // a string always marshals
	}
	line := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", s.offset, data)
	s.offset += len(text)
	_, _ = s.w.Write(line) // the caller may be gone
	_ = s.flusher.Flush()  // likewise
}

func (s *streamSink) finish(a tanagerroad.Answer) {
	if !s.begun && a.Kind != tanagerroad.Complete {
		(&wholeSink{w: s.w, id: s.id}).finish(a)
		return
	}
	s.begin()
	s.event(s.partial)
	if s.offset == 0 && len(a.Body) > 0 {
		s.event(a.Body) // an answer kept from before
	}
	data, err := json.Marshal(ended(s.id, a))
	if err != nil {
		return // the struct always marshals
	}
	_, _ = fmt.Fprintf(s.w, "event: end\ndata: %s\n\n", data)
	_ = s.flusher.Flush()
}

// wholeRunes is the length of text up to a UTF-8 character that is cut off.
func wholeRunes(text []byte) int {
	for back := 1; back <= 3 && back <= len(text); back++ {
		b := text[len(text)-back]
		if b < 0x80 {
			return len(text)
		}
		if b >= 0xC0 { // a character starts here
			if need := runeLength(b); need > back {
				return len(text) - back
			}
			return len(text)
		}
	}
	return len(text)
}

func runeLength(first byte) int {
	switch {
	case first >= 0xF0:
		return 4
	case first >= 0xE0:
		return 3
	}
	return 2
}
