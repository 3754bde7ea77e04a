package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/roster"
	"tanagerroad/io/http1"
	"tanagerroad/io/httpserver"
)

// attempt chooses a backend server, sends the request to it and forwards a usable
// answer. It returns how the attempt ended and the HTTP status of the answer, 0 if
// there was none.
func (x *exchange) attempt() (attempt.End, int) {
	g := x.g
	x.received, x.server, x.progress, x.brokenOff, x.whole = received{}, "", attempt.Waiting, false, false
	request := fleet.Request{
		Pool: x.pool, From: g.config.Settings.Place(), Exclude: x.exclude, PromptParts: x.headers.PromptParts, Software: x.software, Regions: x.regions,
		TieBreak: xxhash.Sum64String(x.headers.AttemptID), Promised: x.promised,
	}
	x.promised = false
	if x.stages != nil {
		request.ResultBytes = x.stages.pipeline.RequestInputBytes()
	}
	g.mu.Lock()
	now := g.now()
	avoided := avoidedField(now, g.roster.Departures(x.pool), g.fleet.Pauses(now, x.pool), g.fleet.AtLimit(now, x.pool))
	choice, restarted, ok := x.pick(now, request)
	version := g.fleet.Version()
	var pausedUntil time.Duration
	if !ok {
		pausedUntil = g.fleet.PoolPausedUntil(now, x.pool, x.regions)
		x.awaitsTurn = pausedUntil > 0 && g.fleet.PoolCold(now, x.pool, x.regions)
	}
	limit, _ := g.fleet.Limit(choice.Announcement)
	g.mu.Unlock()
	if pausedUntil > 0 {
		x.reason, x.pausedUntil = "all backend servers want no requests for a time, are at their limits, or are cold", pausedUntil
		return attempt.Paused, 0
	}
	x.retryState.Begin()
	if !ok {
		x.reason = "no backend server can be used"
		if !x.regions.AllowsAll() {
			x.reason = reasonNotAllowed
		}
		event.NotRouted.Log(g.config.Logger, zap.String("request", x.headers.AttemptID), zap.String("pool", x.pool),
			zap.Strings("excluded", x.exclude), zap.Strings("may-have-restarted", restarted), zap.Uint64("roster", version), x.regionsField(), avoided)
		return attempt.Unsent, 0
	}
	x.exclude, x.server = append(x.exclude, choice.ID), choice.ID
	x.recordOrigin(choice.Software)
	event.Routed.Log(g.config.Logger, zap.String("request", x.headers.AttemptID), zap.String("route", x.route.Name), zap.String("pool", x.pool),
		zap.String("server", choice.ID), zap.String("software", choice.Software), zap.Duration("cost", choice.Cost), zap.Int("in-flight", choice.InFlight),
		zap.Int("reported", choice.ReportedLoad), zap.Duration("report-age", choice.ReportAge), zap.Int("kept", choice.CachedTokens),
		zap.Int("candidates", choice.Candidates), zap.Uint64("roster", version), zap.Duration("left", x.deadline-now), zap.Int("try", x.retryState.Attempts()),
		evenField(choice), limitField(now, limit), avoided)
	g.meters.recordPlacing(choice)
	begins := !x.committed && x.headers.LastEventID == ""
	end, status, outcome := x.send(choice)
	switch {
	case x.brokenOff:
		g.client.RecordBroken(choice.Address)
		g.recordBrokenAttempt(choice.Announcement, x.causes, x.progress)
	case end.MayHaveRun():
		g.recordEnd(choice.Announcement, x.causes, begins && x.whole)
	}
	if end.MayHaveRun() {
		x.trial.sent = true
		x.endTrial()
	}
	g.mu.Lock()
	g.fleet.RecordEnd(g.now(), choice.ID, outcome)
	if end == attempt.Misplaced {
		g.fleet.RecordMisplaced(g.now(), choice.ID)
	}
	g.mu.Unlock()
	return end, status
}

// limitField returns the log field with the limit of a backend server, if it has one, and
// how long ago an answer named it.
func limitField(now time.Duration, l fleet.ServerLimit) zap.Field {
	if l.PerSecond == 0 {
		return zap.Skip()
	}
	return zap.String("limit", fmt.Sprintf("%g/s, said %v ago", l.PerSecond, now-l.HeardAt))
}

// avoidedField returns the log field with the backend servers that were passed over
// because of what they had said in an answer, and how long ago that was.
func avoidedField(now time.Duration, departures []roster.Departure, pauses []fleet.Pause, limits []fleet.ServerLimit) zap.Field {
	var avoided []string
	for _, d := range departures {
		avoided = append(avoided, fmt.Sprintf("%s departing, said %v ago", d.ID, now-d.At))
	}
	for _, p := range pauses {
		avoided = append(avoided, fmt.Sprintf("%s paused for %v, said %v ago", p.ID, p.Until-p.From, now-p.From))
	}
	for _, l := range limits {
		avoided = append(avoided, fmt.Sprintf("%s at its limit of %g/s, said %v ago", l.ID, l.PerSecond, now-l.HeardAt))
	}
	if avoided == nil {
		return zap.Skip()
	}
	return zap.Strings("avoided", avoided)
}

// send makes one attempt at the chosen backend server.
func (x *exchange) send(choice fleet.Choice) (attempt.End, int, fleet.Outcome) {
	g := x.g
	options := tanagerroad.ForwardOptions{
		Server: choice.ID, Remaining: x.deadline - g.now(), Workspace: x.workspace, Priority: min(max(x.priority, 0), 9),
	}
	if x.stages != nil {
		options.Inputs = x.stages.pipeline.RequestInputs()
	}
	if x.committed { // resume after the last event, with the model weights that sent it
		options.LastEventID, options.Version = x.splitter.LastID(), x.version
		if changed := x.splitter.Value(); changed != "" {
			options.Version = changed
		}
	}
	x.splitter.Reset()
	started := g.now()
	stopTimer := x.releaseAfterFetch(options.Inputs)
	res, err := g.client.Do(x.ctx, http1.Request{
		Address: choice.Address, Method: x.r.Method, Target: x.target(), Host: x.r.Host,
		Header: g.config.Dialect.ForwardHeaders(x.r.Header, options), Body: x.body,
		NewConn: x.headers.AttemptID == "", // on a used one a late copy of another answer could not be told from its own
		Allow:   func() error { return errors.Join(g.checkServer(choice), x.checkQuarantine()) },
		Matches: func(h http.Header) bool {
			return x.headers.AttemptID == "" || g.config.Dialect.DecodeResponseHeaders(0, h).AttemptID == x.headers.AttemptID
		},
	})
	stopTimer()
	if err != nil {
		x.reason = err.Error()
		unknown := x.ctx.Err() != nil || errors.Is(err, errServerUnavailable) || errors.Is(err, errQuarantined)
		outcome := fleet.Outcome{Failed: !unknown, Unknown: unknown}
		if isUnsent(err) {
			return attempt.Unsent, 0, outcome
		}
		x.brokenOff = endsWithConnection(err)
		return x.incompleteEnd(), 0, outcome
	}
	defer res.Close()
	x.recordProgress(attempt.Begun)
	reply := g.config.Dialect.DecodeResponseHeaders(res.StatusCode, res.Header)
	g.heed(choice.Announcement, reply)
	g.meters.recordLoad(choice, reply)
	outcome := fleet.Outcome{Latency: g.now() - started, Running: reply.Running, Queued: reply.Waiting, Slots: reply.Slots, WorkPercent: reply.WorkPercent, InFlight: choice.InFlight}
	g.mu.Lock()
	g.fleet.RecordAnswer(g.now(), choice.ID, outcome)
	if x.stages != nil && !x.committed && x.headers.LastEventID == "" && isSuccess(res.StatusCode) {
		g.recordRequestTime(x.route.Name, outcome.Latency)
	}
	g.mu.Unlock()
	if reply.NotRun {
		x.reason = "the backend server did not run it: status " + strconv.Itoa(res.StatusCode)
		res.Discard()
		if res.StatusCode == http.StatusMisdirectedRequest && reply.Server != choice.ID {
			return attempt.Misplaced, res.StatusCode, outcome
		}
		if res.StatusCode == http.StatusConflict && x.stages != nil {
			x.stages.inputGone = true
		}
		return attempt.Rejected, res.StatusCode, outcome
	}
	success := isSuccess(res.StatusCode)
	if success && (!reply.Signed || res.Header.Get("Content-Encoding") != "") {
		x.reason = "an answer without the backend server's signature"
		res.Discard()
		outcome.Failed = true
		return x.incompleteEnd(), res.StatusCode, outcome
	}
	if x.stages != nil {
		x.stages.releaseAll()
	}
	if !x.committed {
		x.version = reply.Version
	}
	x.received.framing = res.Framing
	end := x.forward(res, success)
	x.received.bytes, x.received.lastEvent = res.BytesRead(), x.splitter.LastID()
	g.meters.recordReceived(x.received)
	if end == attempt.Lost || end == attempt.Broken {
		outcome.Unknown = errors.Is(x.ctx.Err(), context.Canceled)
		outcome.Failed = !outcome.Unknown
	}
	return end, res.StatusCode, outcome
}

// releaseAfterFetch starts a timer that releases the inputs of an attempt after
// inputFetchTime: the backend server fetches them before it runs the request.
// Waiting for the answer, which may take long, would hold scarce memory on the
// backend servers that store the inputs. The returned function stops the timer.
func (x *exchange) releaseAfterFetch(inputs []string) func() {
	if len(inputs) == 0 {
		return func() {}
	}
	shards := maps.Clone(x.stages.shards)
	timer := time.AfterFunc(inputFetchTime, func() { x.g.owners.releaseAll(inputs, shards) })
	return func() {
		if !timer.Stop() {
			x.stages.markReleased(inputs)
		}
	}
}

// isSuccess reports whether an HTTP status is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// incompleteEnd returns how an attempt ended whose answer is missing, unusable or
// incomplete: Broken if part of an answer has already been forwarded, else Lost.
func (x *exchange) incompleteEnd() attempt.End {
	if x.committed {
		return attempt.Broken
	}
	return attempt.Lost
}

// forward forwards the answer to the caller.
func (x *exchange) forward(res *http1.Response, success bool) attempt.End {
	if x.committed && (res.StatusCode != x.status || mediaType(res.Header) != mediaType(x.w.Header())) {
		x.reason = fmt.Sprintf("the stream could not go on elsewhere: status %d, type %q", res.StatusCode, res.Header.Get("Content-Type"))
		return attempt.Broken
	}
	if x.route.Repeatability == tanagerroad.Stream && success {
		return x.forwardStream(res)
	}
	return x.forwardWhole(res)
}

// mediaType returns the type of a body, without parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// forwardWhole buffers an answer in x.buffered, for serve to forward. An answer
// too large to buffer is forwarded as it arrives.
func (x *exchange) forwardWhole(res *http1.Response) attempt.End {
	limit := maxBufferedBody
	if httpserver.ConnOf(x.r).AnswersPressed() {
		limit = pressedBufferedBody
	}
	body, err := x.readAnswer(res, limit)
	if err != nil {
		x.brokenOff = endsWithConnection(err)
		x.reason = "the answer was cut short: " + err.Error()
		return x.incompleteEnd()
	}
	if isSuccess(res.StatusCode) {
		x.recordProgress(attempt.Flowing)
	}
	if len(body) < limit {
		x.whole = isSuccess(res.StatusCode)
		x.buffered = &bufferedAnswer{res, body}
		return attempt.Answered
	}
	x.writeHeader(res, res.ContentLength)
	if _, err := x.w.Write(body); err != nil {
		return attempt.Answered // the caller has disconnected
	}
	rest := &erringReader{Reader: res}
	if _, err := io.CopyBuffer(onlyWriter{x.w}, rest, make([]byte, copyBufferSize)); err != nil {
		x.brokenOff = endsWithConnection(rest.err)
		x.reason = "the answer was cut short: " + err.Error()
		return attempt.Broken
	}
	x.whole = true
	return attempt.Answered
}

// erringReader keeps the error that reading ended with.
type erringReader struct {
	io.Reader
	err error
}

func (r *erringReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.err = err
	return n, err
}

// onlyWriter hides a writer's ReadFrom method, so that io.CopyBuffer uses the
// given buffer.
type onlyWriter struct{ io.Writer }

// forwardStream forwards a stream, each event once it is complete.
func (x *exchange) forwardStream(res *http1.Response) attempt.End {
	buffer := make([]byte, copyBufferSize)
	controller := http.NewResponseController(x.w)
	for {
		n, err := res.Read(buffer)
		out := x.splitter.Feed(buffer[:n])
		ended := errors.Is(err, io.EOF)
		if ended {
			if err = x.splitter.CheckEnd(res.Framing != http1.FramedByClose); err == nil {
				out = append(out, x.splitter.Rest()...)
			}
		}
		x.brokenOff = x.splitter.Err() == nil && endsWithConnection(err)
		err = cmp.Or(x.splitter.Err(), err)
		x.received.partial = x.splitter.Partial()
		if x.splitter.Events() > 0 {
			x.recordProgress(attempt.Flowing)
		}
		if len(out) > 0 {
			if !x.beginStream() {
				return x.incompleteEnd()
			}
			x.writeHeader(res, -1)
			if _, err := x.w.Write(out); err != nil {
				return attempt.Answered // the caller has disconnected
			}
			_ = controller.Flush() // if it fails, so does the next write
		}
		if ended && err == nil {
			x.writeHeader(res, 0)
			x.whole = true
			return attempt.Answered
		}
		if err == nil && len(x.splitter.Rest()) > maxEventSize {
			err = errors.New("an event is larger than the limit")
		}
		if err != nil {
			x.reason = "the stream broke off: " + err.Error()
			return x.incompleteEnd()
		}
	}
}

// connectionHeaders are the headers that concern only one connection. They are
// not copied from the backend server's answer.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// writeHeader forwards the answer's status and headers, on the first call only. A
// length of -1 is unknown.
func (x *exchange) writeHeader(res *http1.Response, length int64) {
	if x.committed {
		return
	}
	x.committed, x.status = true, res.StatusCode
	h := x.w.Header()
	for name, values := range res.Header {
		if !slices.Contains(connectionHeaders, name) {
			h[name] = values
		}
	}
	if _, ok := res.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // keep net/http from guessing one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else if x.endsWithConnection() {
		setResetOnClose(x.r, true) // until the answer is whole
	}
	x.w.WriteHeader(res.StatusCode)
}
