package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/catalog"
	"tanagerroad/core/event"
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
	version   string // of the weights that the stream began with
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
	if x.index.RequiresKey() && !x.authorize() {
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
	x.splitter.Field = g.config.Dialect.VersionField()
	x.pool = catalog.PickPool(x.route, chance(x.call.ID))
	x.request = attempt.Request{
		Repeat: x.route.Repeat, Resumable: x.route.Resumable, MaxServers: x.route.MaxServers, Deadline: x.deadline,
	}
	event.RequestArrived.Log(g.config.Logger, zap.String("request", x.call.ID), zap.String("route", x.route.Name))
	return true
}

// chance is a number from 0 to below 1 that follows from a request's id.
func chance(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

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
	x.g.budget(x.pool).RecordFirst()
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
			event.AttemptEndedAtGateway.Log(x.g.config.Logger, zap.String("request", x.call.ID), zap.String("end", string(end)),
				zap.Int("status", status), zap.Int("tries", x.request.Attempts()), zap.String("next", string(action)), zap.String("reason", x.reason))
		}
		if x.kept != nil && action != attempt.Retry {
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
	return x.g.budget(x.pool).TakeExtra()
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
	case x.request.MayHaveRun():
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
		zap.Int("tries", x.request.Attempts()), zap.Uint64("catalog", version))
}
