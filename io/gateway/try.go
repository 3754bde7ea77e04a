package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/io/http1"
)

// attempt places the request and passes a usable answer on. It returns how
// that ended, and the status of an answer.
func (x *exchange) attempt() (attempt.End, int) {
	g := x.g
	x.request.Begin()
	ask := fleet.Request{
		Pool: x.pool, From: g.config.Settings.Place(), Exclude: x.exclude, PromptParts: x.call.Parts,
		TieBreak: xxhash.Sum64String(x.call.ID),
	}
	if x.stages != nil {
		ask.ResultBytes = x.stages.pipeline.RequestInputBytes()
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
		zap.Int("reported", choice.ReportedLoad), zap.Duration("report-age", choice.ReportAge), zap.Int("kept", choice.CachedTokens),
		zap.Int("candidates", choice.Candidates), zap.Uint64("roster", version), zap.Duration("left", x.deadline-at))
	end, status, outcome := x.send(choice)
	g.mu.Lock()
	g.fleet.RecordEnd(g.now(), choice.ID, outcome)
	if end == attempt.Misplaced {
		g.fleet.RecordMisplaced(g.now(), choice.ID)
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
		forwarding.Inputs = x.stages.pipeline.RequestInputs()
	}
	if x.committed {
		forwarding.Resume, forwarding.Version = x.splitter.LastID(), x.version
		if changed := x.splitter.Value(); changed != "" {
			forwarding.Version = changed
		}
		x.splitter.Reset()
	}
	started := g.now()
	early := x.freeFetched(forwarding.Inputs)
	res, err := g.client.Do(x.ctx, http1.Request{
		Address: choice.Address, Method: x.r.Method, Target: x.target(), Host: x.r.Host,
		Header: g.config.Dialect.Forward(x.r.Header, forwarding), Body: x.body,
		Mine: func(h http.Header) bool { return x.call.ID == "" || g.config.Dialect.Reply(0, h).ID == x.call.ID },
	})
	early()
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
	outcome := fleet.Outcome{Latency: g.now() - started, Running: reply.Running, Queued: reply.Waiting, Slots: reply.Slots}
	g.mu.Lock()
	g.fleet.RecordAnswer(g.now(), choice.ID, outcome)
	g.mu.Unlock()
	if reply.NotRun {
		x.reason = "the backend server did not run it: status " + strconv.Itoa(res.Status)
		res.Discard()
		if res.Status == http.StatusMisdirectedRequest && reply.Server != choice.ID {
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
	if !x.committed {
		x.version = reply.Version
	}
	end := x.pass(res, success)
	outcome.Failed = end == attempt.Lost || end == attempt.Broken
	return end, res.Status, outcome
}

// freeFetched gives the inputs of an attempt up once the backend server has
// fetched them, which it does before it works on the request: the room is short
// at those that made them, and the first answer may be long in coming. The
// returned function ends the wait.
func (x *exchange) freeFetched(inputs []string) func() {
	if len(inputs) == 0 {
		return func() {}
	}
	timer := time.AfterFunc(fetchTime, func() { x.g.owners.free(inputs) })
	return func() {
		if !timer.Stop() {
			x.stages.given(inputs)
		}
	}
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
