package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/catalog"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/sse"
	"tanagerroad/io/http1"
	"tanagerroad/io/operator"
)

const (
	// unsaidDeadline bounds a request that names none, below its route's
	// timeout.
	unsaidDeadline = time.Minute
	// retryUsual is when to come back where nothing better is known.
	retryUsual = 500 * time.Millisecond
	// retryElsewhere is when to come back where another gateway can serve at
	// once.
	retryElsewhere = 20 * time.Millisecond
	// bodyKept is the largest answer that is gathered before it is passed
	// on, in bytes, so that one cut short can be asked for again.
	bodyKept = 128 << 10
	// writeSlack is how long past its deadline an answer may still be written.
	writeSlack = time.Second
	// eventMost is the largest event of a stream, in bytes.
	eventMost = 1 << 20
	// copyBuffer is the unit in which answers are passed on, in bytes.
	copyBuffer = 8 << 10
)

// keptAnswer is a whole answer that is not passed on yet.
type keptAnswer struct {
	res  *http1.Response
	body []byte
}

// exchange is one caller's request on its way to its final answer.
type exchange struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	arrived   time.Duration
	index     *catalog.Index
	route     *tanagerroad.CatalogRoute
	call      tanagerroad.Call
	workspace string
	priority  int
	deadline  time.Duration
	pool      string
	body      []byte
	request   attempt.Request
	stages    *stageRun
	exclude   []string
	committed bool // the answer's header is on its way
	status    int  // of that answer
	kept      *keptAnswer
	splitter  sse.Splitter
	reason    string // of a refusal or failure
	retry     time.Duration
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.flight.Add(1)
	defer g.flight.Add(-1)
	x := &exchange{g: g, w: w, r: r, arrived: g.now(), call: g.config.Dialect.Call(r.Header), retry: retryUsual}
	if ambiguous(r) {
		w.Header().Set("Connection", "close") // what follows is not read
	}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
		if g.now()-time.Duration(g.leftAt.Load()) > lastWork {
			x.retry = retryElsewhere
			x.refuse("this gateway is stopping")
			return
		}
	}
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline-g.now())
	defer cancel()
	x.ctx = ctx
	g.begin(x, cancel)
	defer g.ended(x)
	x.serve()
}

// admit finds the route and the workspace and reads the body. It answers, and
// returns false, where one of them is not as it must be.
func (x *exchange) admit() bool {
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
	x.priority = x.route.Priority
	if x.index.Closed() && !x.authorize() {
		x.answer(http.StatusUnauthorized, "no workspace holds this key")
		return false
	}
	left := x.call.Left
	if left <= 0 {
		left = unsaidDeadline
	}
	x.deadline = x.arrived + min(left, x.route.Timeout)
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(time.Now().Add(x.deadline - x.arrived)) // a caller that stops sending
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.bodyMost()))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.answer(http.StatusRequestEntityTooLarge, "the body is larger than the limit")
		return false
	case err != nil:
		x.answer(http.StatusBadRequest, "the body could not be read in full")
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})                                          // the next request has its own
	_ = controller.SetWriteDeadline(time.Now().Add(x.deadline - x.arrived + writeSlack)) // a caller that does not read
	x.body = body
	chance := float64(xxhash.Sum64String(x.call.ID)>>11) / (1 << 53)
	x.pool = catalog.Target(x.route, chance)
	x.request = attempt.Request{
		Repeat: x.route.Repeat, Resumable: x.route.Resumable, MaxServers: x.route.MaxServers, Deadline: x.deadline,
	}
	event.RequestArrived.Log(g.config.Logger, zap.String("request", x.call.ID), zap.String("route", x.route.Name))
	return true
}

// subject is the same when the caller sends the request again: the part of its
// prompt that no other request has.
func (x *exchange) subject() string {
	if n := len(x.call.Parts); n > 0 {
		return x.call.Parts[n-1].ID
	}
	return x.call.PieceKey
}

// target is the path and query as the caller wrote them.
func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

func (x *exchange) bodyMost() int64 {
	if most := x.index.Limits.BodyBytes; most > 0 {
		return int64(most)
	}
	return int64(x.g.config.Settings.Caller.MaxBody)
}

// authorize finds the workspace that holds the key; a public route needs none.
func (x *exchange) authorize() bool {
	holder := x.index.Workspace(x.call.Key)
	if holder == nil {
		return x.route.Public
	}
	x.workspace = holder.Name
	if holder.Priority != nil {
		x.priority = *holder.Priority
	}
	return true
}

// serve takes the request through its stages and attempts.
func (x *exchange) serve() {
	x.g.mu.Lock()
	x.g.budget(x.pool).First()
	x.g.mu.Unlock()
	if len(x.route.Stages) > 0 {
		x.stages = newStageRun(x)
		defer x.stages.end()
		if !x.stages.run() {
			x.giveUp()
			return
		}
	}
	for {
		end, status := x.attempt()
		if x.r.Context().Err() != nil {
			x.left()
			return
		}
		action := x.request.Next(x.g.now(), end, status, x.spend)
		if end != attempt.Answered {
			event.AttemptEnded.Log(x.g.config.Logger, zap.String("request", x.call.ID), zap.String("end", string(end)),
				zap.Int("status", status), zap.Int("tries", x.request.Tries()), zap.String("next", string(action)), zap.String("reason", x.reason))
		}
		if x.kept != nil && action != attempt.Again {
			x.header(x.kept.res, int64(len(x.kept.body)))
			_, _ = x.w.Write(x.kept.body) // the caller may be gone
			x.done(x.status)
			return
		}
		switch action {
		case attempt.Deliver:
			x.done(status)
			return
		case attempt.Refuse:
			x.refuse(x.reason)
			return
		case attempt.Fail:
			x.fail()
			return
		case attempt.Abort:
			x.abort()
		}
		if x.stages != nil && !x.stages.renew(action) {
			x.giveUp()
			return
		}
	}
}

// spend takes one attempt beyond the first from the pool's budget.
func (x *exchange) spend() bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.budget(x.pool).Extra()
}

// attempt places the request and passes a usable answer on. It returns how
// that ended, and the status of an answer.
func (x *exchange) attempt() (attempt.End, int) {
	g := x.g
	x.request.Begun()
	ask := fleet.Ask{
		Pool: x.pool, From: g.config.Settings.Place(), Exclude: x.exclude, Parts: x.call.Parts,
		Chance: xxhash.Sum64String(x.call.ID),
	}
	if x.stages != nil {
		ask.Results = x.stages.pipeline.Results()
	}
	g.mu.Lock()
	at := g.now()
	choice, ok := g.fleet.Pick(at, ask)
	version := g.fleet.Version()
	g.mu.Unlock()
	if !ok {
		x.reason = "no backend server can be used"
		event.NotRouted.Log(g.config.Logger, zap.String("request", x.call.ID), zap.String("pool", x.pool),
			zap.Strings("excluded", x.exclude), zap.Uint64("roster", version))
		return attempt.Unsent, 0
	}
	x.exclude = append(x.exclude, choice.ID)
	event.Routed.Log(g.config.Logger, zap.String("request", x.call.ID), zap.String("route", x.route.Name), zap.String("pool", x.pool),
		zap.String("server", choice.ID), zap.Duration("cost", choice.Cost), zap.Int("in-flight", choice.InFlight),
		zap.Int("reported", choice.Reported), zap.Duration("report-age", choice.ReportAge), zap.Int("kept", choice.Kept),
		zap.Int("candidates", choice.Candidates), zap.Uint64("roster", version), zap.Duration("left", x.deadline-at))
	end, status, outcome := x.send(choice)
	g.mu.Lock()
	g.fleet.Done(g.now(), choice.ID, outcome)
	if end == attempt.Misplaced {
		g.fleet.Misplaced(g.now(), choice.ID)
	}
	g.mu.Unlock()
	return end, status
}

// send makes one attempt at the backend server chosen.
func (x *exchange) send(choice fleet.Choice) (attempt.End, int, fleet.Outcome) {
	g := x.g
	forwarding := tanagerroad.Forwarding{
		Server: choice.ID, Left: x.deadline - g.now(), Workspace: x.workspace, Urgency: min(max(x.priority, 0), 9),
	}
	if x.stages != nil {
		forwarding.Inputs = x.stages.pipeline.Inputs()
	}
	if x.committed {
		forwarding.Resume = x.splitter.LastID()
		x.splitter.Reset()
	}
	started := g.now()
	res, err := g.client.Do(x.ctx, http1.Request{
		Address: choice.Address, Method: x.r.Method, Target: x.target(), Host: x.r.Host,
		Header: g.config.Dialect.Forward(x.r.Header, forwarding), Body: x.body,
		Mine: func(h http.Header) bool { return x.call.ID == "" || g.config.Dialect.Reply(0, h).ID == x.call.ID },
	})
	if err != nil {
		x.reason = err.Error()
		failed := fleet.Outcome{Failed: x.ctx.Err() == nil}
		var unsent *http1.Unsent
		if errors.As(err, &unsent) {
			return attempt.Unsent, 0, failed
		}
		return x.brokenEnd(), 0, failed
	}
	defer res.Close()
	reply := g.config.Dialect.Reply(res.Status, res.Header)
	outcome := fleet.Outcome{Latency: g.now() - started, Running: reply.Running, Waiting: reply.Waiting, Slots: reply.Slots}
	g.mu.Lock()
	g.fleet.Answered(g.now(), choice.ID, outcome)
	g.mu.Unlock()
	if reply.NotRun {
		x.reason = "the backend server did not run it: status " + strconv.Itoa(res.Status)
		res.Discard()
		if res.Status == http.StatusMisdirectedRequest {
			return attempt.Misplaced, res.Status, outcome
		}
		if res.Status == http.StatusConflict && x.stages != nil {
			x.stages.gone = true
		}
		return attempt.Rejected, res.Status, outcome
	}
	success := res.Status >= http.StatusOK && res.Status < http.StatusMultipleChoices
	if success && (!reply.Signed || res.Header.Get("Content-Encoding") != "") {
		x.reason = "an answer without the backend server's signature"
		res.Discard()
		outcome.Failed = true
		return x.brokenEnd(), res.Status, outcome
	}
	if x.stages != nil {
		x.stages.free()
	}
	end := x.pass(res, success)
	outcome.Failed = end == attempt.Lost || end == attempt.Broken
	return end, res.Status, outcome
}

// brokenEnd is how an attempt without a usable rest of its answer ended.
func (x *exchange) brokenEnd() attempt.End {
	if x.committed {
		return attempt.Broken
	}
	return attempt.Lost
}

// pass hands the answer's body on.
func (x *exchange) pass(res *http1.Response, success bool) attempt.End {
	if x.committed && !success {
		x.reason = "the stream could not go on elsewhere: status " + strconv.Itoa(res.Status)
		return attempt.Broken
	}
	if x.route.Repeat == tanagerroad.Stream && success {
		return x.passStream(res)
	}
	return x.passWhole(res)
}

// passWhole gathers an answer before the first byte is passed on, unless it is
// large.
func (x *exchange) passWhole(res *http1.Response) attempt.End {
	body, err := io.ReadAll(io.LimitReader(res, bodyKept))
	if err != nil {
		x.reason = "the answer was cut short: " + err.Error()
		return x.brokenEnd()
	}
	if len(body) < bodyKept {
		x.kept = &keptAnswer{res, body}
		return attempt.Answered
	}
	x.header(res, res.Length)
	if _, err := x.w.Write(body); err != nil {
		return attempt.Answered // the caller is gone
	}
	if _, err := io.CopyBuffer(onlyWriter{x.w}, res, make([]byte, copyBuffer)); err != nil {
		x.reason = "the answer was cut short: " + err.Error()
		return attempt.Broken
	}
	return attempt.Answered
}

// onlyWriter hides other methods of a writer from io.Copy.
type onlyWriter struct{ io.Writer }

// passStream passes whole events on as they come.
func (x *exchange) passStream(res *http1.Response) attempt.End {
	buffer := make([]byte, copyBuffer)
	controller := http.NewResponseController(x.w)
	for {
		n, err := res.Read(buffer)
		out := x.splitter.Feed(buffer[:n])
		ended := errors.Is(err, io.EOF)
		if ended {
			out = append(out, x.splitter.Rest()...)
			x.splitter.Reset()
		}
		if len(out) > 0 {
			x.header(res, -1)
			if _, err := x.w.Write(out); err != nil {
				return attempt.Answered // the caller is gone
			}
			_ = controller.Flush() // a caller that is gone is noticed by the next write
		}
		if ended {
			x.header(res, 0)
			return attempt.Answered
		}
		if err == nil && len(x.splitter.Rest()) > eventMost {
			err = errors.New("an event is larger than the limit")
		}
		if err != nil {
			x.reason = "the stream broke off: " + err.Error()
			return x.brokenEnd()
		}
	}
}

// ownHeaders are written anew for the caller's connection.
var ownHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// header passes the answer's header on, once; length -1 is not known.
func (x *exchange) header(res *http1.Response, length int64) {
	if x.committed {
		return
	}
	x.committed, x.status = true, res.Status
	h := x.w.Header()
	for name, values := range res.Header {
		if !slices.Contains(ownHeaders, name) {
			h[name] = values
		}
	}
	if _, ok := res.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil // none is guessed
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(res.Status)
}

// refuse answers that the request has not run, and when to come back.
func (x *exchange) refuse(reason string) {
	x.reason = reason
	x.w.Header().Set("Retry-After", strconv.FormatFloat(x.retry.Seconds(), 'f', 2, 64))
	event.Refused.Log(x.g.config.Logger, zap.String("request", x.call.ID), zap.String("reason", reason),
		zap.Duration("retry-after", x.retry), zap.Duration("took", x.g.now()-x.arrived))
	x.answer(http.StatusServiceUnavailable, reason)
}

// fail answers a request that may have run.
func (x *exchange) fail() {
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.answer(http.StatusGatewayTimeout, "no answer came in time")
		return
	}
	x.answer(http.StatusBadGateway, x.reason)
}

// giveUp ends a request whose stages were not made: it has not run.
func (x *exchange) giveUp() {
	switch {
	case x.r.Context().Err() != nil:
		x.left()
	case x.committed:
		x.abort()
	case x.request.Ran():
		x.fail()
	default:
		x.refuse(x.reason)
	}
}

// abort cuts the connection, so that what was sent does not look complete.
func (x *exchange) abort() {
	x.log(x.status, "cut")
	panic(http.ErrAbortHandler)
}

// left notes that the caller went away.
func (x *exchange) left() {
	x.log(0, "caller-left")
	panic(http.ErrAbortHandler)
}

// answer writes an answer of the gateway's own.
func (x *exchange) answer(status int, reason string) {
	x.reason = reason
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(operator.Problem{Reason: reason}) // the caller may be gone
	x.done(status)
}

func (x *exchange) done(status int) { x.log(status, "answered") }

func (x *exchange) log(status int, outcome string) {
	took := x.g.now() - x.arrived
	x.g.meters.answered(status, took)
	route, version := "", uint64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.index != nil {
		version = x.index.Version
	}
	event.Answered.Log(x.g.config.Logger, zap.String("request", x.call.ID), zap.String("route", route), zap.String("workspace", x.workspace),
		zap.Int("status", status), zap.String("outcome", outcome), zap.String("reason", x.reason), zap.Duration("took", took),
		zap.Int("tries", x.request.Tries()), zap.Uint64("catalog", version))
}
