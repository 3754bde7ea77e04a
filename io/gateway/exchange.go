package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/catalog"
	"tanagerroad/core/event"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/region"
	"tanagerroad/core/sse"
	"tanagerroad/io/http1"
	"tanagerroad/io/operator"
)

const (
	// defaultTimeout applies to requests without a timeout of their own. A
	// shorter timeout of the route still applies.
	defaultTimeout = time.Minute
	// defaultRetryDelay is sent in Retry-After if there is no better estimate.
	defaultRetryDelay = 500 * time.Millisecond
	// drainRetryDelay is sent in Retry-After while this gateway drains: another
	// gateway can serve the retry immediately.
	drainRetryDelay = 20 * time.Millisecond
	// maxBufferedBody is the size in bytes below which an answer is buffered
	// whole before it is forwarded, so that the request can be retried if the
	// answer is cut short.
	maxBufferedBody = 128 << 10
	// writeGrace is how long after the request's deadline the answer may still
	// be written.
	writeGrace = time.Second
	// maxEventSize is the maximum size of a stream's event, in bytes.
	maxEventSize = 1 << 20
	// pauseSpread is the time over which requests are spread after all backend
	// servers of a pool wanted none.
	pauseSpread = 300 * time.Millisecond
	// maxPieces bounds the pieces of a request; memory is kept for the results of all.
	maxPieces = 4096
	// copyBufferSize is the size of the buffer for forwarding answers, in bytes.
	copyBufferSize = 8 << 10
)

// bufferedAnswer is a complete answer that has not been forwarded yet.
type bufferedAnswer struct {
	res  *http1.Response
	body []byte
}

// received describes the body of a backend server's answer, for the log.
type received struct {
	framing   http1.Framing // empty: no answer that could be forwarded
	bytes     int64
	lastEvent string // id of the last complete event of a stream
	partial   int    // bytes of a stream that is inside an event, after its last complete one
}

// fields returns the log fields, none if there was no answer.
func (r received) fields() []zap.Field {
	if r.framing == "" {
		return nil
	}
	return []zap.Field{
		zap.String("framing", string(r.framing)), zap.Int64("bytes", r.bytes), zap.String("last-event", r.lastEvent), zap.Int("partial", r.partial),
	}
}

// exchange is one caller's request, from its arrival to its final answer.
type exchange struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	ctx         context.Context
	arrived     time.Duration  // on the gateway's clock, like deadline
	index       *catalog.Index // configuration that the whole request uses
	route       *tanagerroad.CatalogRoute
	headers     tanagerroad.RequestHeaders // decoded headers
	workspace   string
	regions     region.Set // where it may be served, cached and stored
	priority    int        // 0 is the most urgent
	deadline    time.Duration
	pool        string
	body        []byte
	retryState  attempt.Request
	stages      *stageRun       // nil if the route has no stages
	exclude     []string        // ids of the backend servers tried so far
	committed   bool            // the answer's header has been written
	status      int             // of the committed answer
	buffered    *bufferedAnswer // the latest that an attempt ended with; nil if none
	splitter    sse.Splitter
	version     string             // of the model weights that the stream started with
	software    string             // version of the backend servers at which the stream may go on; empty: any
	origin      streamOrigin       // of the stream, if this request begins it
	server      string             // id of the backend server of the latest attempt; empty: none was chosen
	causes      []quarantine.Cause // what may make the request crash backend servers
	allCauses   []quarantine.Cause // the same, and what may make its pieces do so
	trialOf     atomic.Uint64      // fingerprint of the convicted cause that the request is a trial of; 0: none
	trial       trial              // the latest that was granted
	progress    attempt.Progress   // of the answer to the latest attempt
	whole       bool               // its answer is whole
	brokenOff   bool               // the latest attempt ended with its connection
	flowing     atomic.Bool        // an answer has got as far as attempt.Flowing
	received    received           // in the latest attempt
	pausedUntil time.Duration      // earliest time at which a backend server accepts requests; after attempt.Paused
	awaitsTurn  bool               // attempt.Paused, and cold backend servers take turns
	promised    bool               // a turn at a cold backend server is kept for the request
	reason      string             // of the latest refusal or failure
	retryAfter  time.Duration      // for the Retry-After header
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: g.now(), headers: g.config.Dialect.DecodeRequestHeaders(r.Header), retryAfter: defaultRetryDelay}
	if ambiguous(r) {
		w.Header().Set("Connection", "close") // don't parse what follows the body
	}
	// The body may take longer to arrive than requests are accepted.
	if x.refusedByDrain() || !x.parseRequest() || x.refusedByDrain() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline-g.now())
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	x.ctx = ctx
	g.track(x, end)
	defer g.untrack(x)
	x.serve()
}

// refusedByDrain refuses the request, and returns true, if the gateway has been draining for
// so long that it accepts no more requests.
func (x *exchange) refusedByDrain() bool {
	g := x.g
	if !g.draining.Load() {
		return false
	}
	x.w.Header().Set("Connection", "close")
	if g.now()-time.Duration(g.drainingSince.Load()) <= drainAcceptTime {
		return false
	}
	x.retryAfter = drainRetryDelay
	x.refuse(errStopping.Error())
	return true
}

// parseRequest finds the route and the workspace, and reads the body. If one of
// them is missing or invalid it answers with the error and returns false.
func (x *exchange) parseRequest() bool {
	g := x.g
	x.index = g.catalog.Load()
	if x.index == nil {
		x.refuse("no configuration is held yet")
		return false
	}
	path, _, _ := strings.Cut(x.target(), "?")
	x.route = x.index.Match(x.r.Host, path)
	if x.route == nil {
		x.answer(http.StatusNotFound, "no route has this host and path")
		return false
	}
	x.priority, x.regions = x.route.Priority, region.Intersect(x.route.Regions, nil)
	if x.index.RequiresKey() && !x.authorize() {
		x.answer(http.StatusUnauthorized, "no workspace holds this key")
		return false
	}
	if len(x.route.Stages) > 0 && !x.canTravel() {
		x.answer(http.StatusBadRequest, "a request with stages needs an id, a piece key and prompt parts in UTF-8")
		return false
	}
	if x.pieces() > maxPieces {
		x.answer(http.StatusBadRequest, fmt.Sprintf("the stages have more than %d pieces", maxPieces))
		return false
	}
	timeout := x.headers.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.arrived + min(timeout, x.route.Timeout)
	if !x.readBody() {
		return false
	}
	x.splitter.Field = g.config.Dialect.VersionField()
	if x.headers.LastEventID != "" {
		x.splitter.Resume(x.headers.LastEventID)
	}
	x.pool = catalog.PickPool(x.route, hashFraction(cmp.Or(x.begunBy(), x.headers.AttemptID)))
	x.retryState = attempt.Request{
		Repeat: x.route.Repeatability, Resumable: x.route.Resumable, MaxServers: x.route.MaxServers, Deadline: x.deadline,
	}
	x.causes = quarantine.Causes(x.r.Host+x.target(), x.workspace, x.body, x.headers.PromptParts)
	x.allCauses = slices.Clone(x.causes)
	for i, stage := range x.route.Stages {
		x.allCauses = append(x.allCauses, quarantine.PieceCause(x.causes[0], stage.Pool, i))
	}
	event.RequestArrived.Log(g.config.Logger, zap.String("request", x.headers.AttemptID), zap.String("route", x.route.Name))
	return true
}

// canTravel reports whether messages between gateways, and calls for pieces, can carry what
// the request's headers say.
func (x *exchange) canTravel() bool {
	texts := append(x.partIDs(), x.headers.AttemptID, x.headers.PieceKey)
	return !slices.ContainsFunc(texts, func(s string) bool { return !utf8.ValidString(s) })
}

// pieces returns the number of pieces that all stages of the route have.
func (x *exchange) pieces() int {
	sum := 0
	for _, n := range x.headers.PieceCounts[:min(len(x.headers.PieceCounts), len(x.route.Stages))] {
		sum += n
	}
	return sum
}

// hashFraction returns a number in [0, 1) that is derived from a request's id and
// evenly distributed over ids.
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// subject identifies the request over the caller's retries, which have ids of
// their own: the last part of its prompt, which no other request shares, or its
// piece key.
func (x *exchange) subject() string {
	if n := len(x.headers.PromptParts); n > 0 {
		return x.headers.PromptParts[n-1].ID
	}
	return x.headers.PieceKey
}

// partIDs returns the ids of the prompt's parts.
func (x *exchange) partIDs() []string {
	ids := make([]string, len(x.headers.PromptParts))
	for i, part := range x.headers.PromptParts {
		ids[i] = part.ID
	}
	return ids
}

// target returns the path and query exactly as the caller sent them.
func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// maxBody returns the maximum size of the request's body, in bytes: the limit in
// the configuration, or the setting if there is none.
func (x *exchange) maxBody() int64 {
	if limit := x.index.Limits.MaxBodyBytes; limit > 0 {
		return int64(limit)
	}
	return int64(x.g.config.Settings.Caller.MaxBody)
}

// authorize sets the workspace, its priority and its regions from the request's API key. It
// returns false if no workspace has the key and the route is not public.
func (x *exchange) authorize() bool {
	workspace := x.index.Workspace(x.headers.APIKey)
	if workspace == nil {
		return x.route.Public
	}
	x.workspace, x.regions = workspace.Name, region.Intersect(x.route.Regions, workspace.Regions)
	if workspace.Priority != nil {
		x.priority = *workspace.Priority
	}
	return true
}

// serve runs the request's stages, then makes attempts at backend servers until
// one yields a final answer or none may follow.
func (x *exchange) serve() {
	defer x.endTrial()
	if x.isPoolEvacuated() {
		x.endUnsent()
		return
	}
	if x.passQuarantine() != nil {
		x.endUnsent()
		return
	}
	if !x.checkRegions() || !x.bindToOrigin() {
		x.endUnsent()
		return
	}
	x.g.mu.Lock()
	x.g.retryBudget(x.pool).RecordFirst()
	x.g.mu.Unlock()
	if len(x.route.Stages) > 0 {
		x.stages = newStageRun(x)
		defer x.stages.close()
		if !x.stages.run() {
			x.endUnsent()
			return
		}
	}
	for {
		if x.passQuarantine() != nil {
			x.endUnsent()
			return
		}
		end, status := x.attempt()
		if x.r.Context().Err() != nil {
			x.abortDisconnected()
			return
		}
		action := x.next(end, status)
		if end == attempt.Answered && action == attempt.Fail {
			x.reason = "the backend server answered " + strconv.Itoa(status) + " without saying that it did not run it"
			x.buffered = nil
		}
		if end != attempt.Answered {
			event.AttemptEndedAtGateway.Log(x.g.config.Logger, append(x.received.fields(), zap.String("request", x.headers.AttemptID), zap.String("end", string(end)),
				zap.Int("status", status), zap.Int("tries", x.retryState.Attempts()), zap.String("next", string(action)), zap.String("reason", x.reason),
				zap.String("server", x.server), zap.String("progress", string(x.progress)), zap.Strings("parts", x.partIDs()))...)
			x.g.meters.count("attempts." + string(end) + "." + string(x.progress))
		}
		// A failure that an earlier attempt was answered with says more than one of ours.
		ends := action == attempt.Deliver || action == attempt.Refuse || action == attempt.Fail
		if x.buffered != nil && ends && !x.committed {
			x.releaseBody()
			x.writeHeader(x.buffered.res, int64(len(x.buffered.body)))
			_, _ = x.w.Write(x.buffered.body) // the caller may have disconnected
			x.logAnswered(x.status)
			return
		}
		switch action {
		case attempt.Deliver:
			if x.endsWithConnection() {
				setResetOnClose(x.r, false)
			}
			x.logAnswered(status)
			return
		case attempt.Refuse:
			x.refuse(x.reason)
			return
		case attempt.Fail:
			x.fail()
			return
		case attempt.Abort:
			x.abort()
		case attempt.Wait:
			if !x.waitForServer() {
				x.endUnsent()
				return
			}
		}
		if x.stages != nil && !x.stages.rerunIfNeeded(action) {
			x.endUnsent()
			return
		}
	}
}

// next returns what follows an attempt.
func (x *exchange) next(end attempt.End, status int) attempt.Action {
	if end == attempt.Broken {
		x.retryState.Resumable = x.route.Resumable && x.splitter.CanResume()
	}
	if end != attempt.Answered && x.explainEnd() {
		x.retryState.Stop()
	}
	if end != attempt.Paused {
		return x.retryState.Next(x.g.now(), end, status, x.takeRetry)
	}
	if x.awaitsTurn {
		return x.awaitTurn()
	}
	// Callers that are told to return, and requests that wait, are spread so that they
	// do not come together.
	spread := time.Duration(hashFraction(x.headers.AttemptID) * float64(pauseSpread))
	x.pausedUntil += spread
	x.retryAfter = x.pausedUntil - x.g.now()
	return x.retryState.NextPaused(x.pausedUntil)
}

// waitForServer waits until a backend server accepts requests again. Those that have
// rejected the request may be chosen once more. It returns false if the request ends
// before.
func (x *exchange) waitForServer() bool {
	timer := time.NewTimer(x.pausedUntil - x.g.now())
	defer timer.Stop()
	select {
	case <-timer.C:
		x.exclude = nil
		return true
	case <-x.ctx.Done():
		return false
	}
}

// explainEnd reports whether the request has been ended here before its deadline. If so
// it sets the reason and the retry delay.
func (x *exchange) explainEnd() bool {
	cause := context.Cause(x.ctx)
	switch {
	case errors.Is(cause, errStopping):
		x.reason, x.retryAfter = cause.Error(), drainRetryDelay
	case errors.Is(cause, errQuarantined):
		x.reason = cause.Error()
		_ = x.checkQuarantine() // says more, unless the conviction has ended meanwhile
		x.g.meters.count("requests.quarantined")
	default:
		return false
	}
	return true
}

// takeRetry takes one retry from the pool's retry budget and reports whether
// there was one.
func (x *exchange) takeRetry() bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.retryBudget(x.pool).TakeExtra()
}

// refuse answers 503 with a Retry-After header: the request has not run.
func (x *exchange) refuse(reason string) {
	x.reason = reason
	x.w.Header().Set("Retry-After", strconv.FormatFloat(x.retryAfter.Seconds(), 'f', 2, 64))
	event.Refused.Log(x.g.config.Logger, zap.String("request", x.headers.AttemptID), zap.String("reason", reason),
		zap.Duration("retry-after", x.retryAfter), zap.Duration("took", x.g.now()-x.arrived))
	x.answer(http.StatusServiceUnavailable, reason)
}

// fail answers 502 or 504: the request may have run.
func (x *exchange) fail() {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.answer(http.StatusGatewayTimeout, "no answer came in time")
		return
	}
	x.answer(http.StatusBadGateway, x.reason)
}

// endUnsent ends a request that cannot be sent, because its stages failed, no backend
// server accepts it in time, or it is quarantined. It has not run unless an earlier attempt was sent.
func (x *exchange) endUnsent() {
	if !x.explainEnd() && x.checkQuarantine() != nil {
		x.g.meters.count("requests.quarantined")
	}
	switch {
	case x.r.Context().Err() != nil:
		x.abortDisconnected()
	case x.committed:
		x.abort()
	case x.retryState.MayHaveRun():
		x.fail()
	default:
		x.refuse(x.reason)
	}
}

// endsWithConnection reports whether an answer of unknown length ends with the caller's
// connection, since HTTP/1.0 has no chunks.
func (x *exchange) endsWithConnection() bool { return !x.r.ProtoAtLeast(1, 1) }

// abort closes the connection, so that the caller does not take a partial answer
// for a complete one.
func (x *exchange) abort() {
	x.logEnd(x.status, "cut")
	panic(http.ErrAbortHandler)
}

// abortDisconnected ends a request whose caller has disconnected.
func (x *exchange) abortDisconnected() {
	x.reason = "the caller has disconnected"
	x.logEnd(0, "caller-left")
	panic(http.ErrAbortHandler)
}

// answer writes the gateway's own answer, with the reason as its JSON body.
func (x *exchange) answer(status int, reason string) {
	x.reason = reason
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(operator.ErrorReply{Reason: reason}) // the caller may have disconnected
	x.logAnswered(status)
}

func (x *exchange) logAnswered(status int) { x.logEnd(status, "answered") }

// logEnd records the end of the request in the metrics and the log.
func (x *exchange) logEnd(status int, outcome string) {
	took := x.g.now() - x.arrived
	x.g.meters.recordAnswer(status, took)
	route, version := "", uint64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.index != nil {
		version = x.index.Version
	}
	event.Answered.Log(x.g.config.Logger, append(x.received.fields(), zap.String("request", x.headers.AttemptID), zap.String("route", route),
		zap.String("workspace", x.workspace), zap.Int("status", status), zap.String("outcome", outcome), zap.String("reason", x.reason),
		zap.Duration("took", took), zap.Int("tries", x.retryState.Attempts()), zap.Uint64("catalog", version))...)
}
