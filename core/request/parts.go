package request

// This file handles the events of running calls: result data, ends, refusals,
// failures and lost connections.

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
)

// findCall returns the call that e belongs to, or nil if there is none that still
// waits for a result.
func (m *Machine) findCall(e Event) *call {
	c, ok := m.calls[e.Key]
	if !ok || e.Key.Stage != m.stage || (c.state != callRunning && c.state != callAsking) {
		m.discard(e, "no call waits for it")
		return nil
	}
	return c
}

// onData appends result bytes to the call. Duplicate bytes are discarded; after a
// gap the call is fetched again from the first missing byte.
func (m *Machine) onData(at time.Duration, e Event) {
	c := m.findCall(e)
	if c == nil {
		return
	}
	have := uint64(len(c.data))
	switch {
	case e.Offset > have:
		m.discard(e, "a gap")
		m.emit(Action{Kind: Fetch, Key: c.key, Address: c.address, Offset: have})
		return
	case e.Offset+uint64(len(e.Bytes)) <= have:
		m.discard(e, "doubled")
		return
	}
	if c.state == callAsking {
		m.transitionCall(c, "found")
	}
	c.probes = 0
	c.data = append(c.data, e.Bytes[have-e.Offset:]...)
	if m.isStreaming() {
		m.deliver(c)
	}
	if c.pendingEnd != nil && uint64(len(c.data)) >= c.pendingEnd.Length && !m.Ended() {
		m.onEnd(at, *c.pendingEnd)
	}
}

// isStreaming reports whether the current stage's result is streamed to the
// caller.
func (m *Machine) isStreaming() bool {
	last := m.stage == len(m.config.Route.Stages)-1
	return last && m.config.Route.Stages[m.stage].Stream
}

// deliver sends the caller the bytes that it has not received yet. A retry or a
// hedge that continues a stream must reproduce the bytes already delivered; if it
// does not, the request fails, since the stream can't be completed.
func (m *Machine) deliver(c *call) {
	n := min(len(c.data), len(m.delivered))
	if !bytes.Equal(c.data[:n], m.delivered[:n]) {
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerFailed, Reason: "a repeated run differs from what was already streamed"})
		return
	}
	if len(c.data) <= len(m.delivered) {
		return
	}
	fresh := c.data[len(m.delivered):]
	m.delivered = append(m.delivered, fresh...)
	m.emit(Action{Kind: Deliver, Key: c.key, Bytes: fresh})
	m.dropOthers(c) // the first call to stream wins; cancel the others
}

// onEnd completes the current stage with the call's result, after checking its
// length and digest, and starts the next stage or completes the request.
func (m *Machine) onEnd(at time.Duration, e Event) {
	c := m.findCall(e)
	if c == nil {
		return
	}
	if e.Kept == nil && uint64(len(c.data)) < e.Length {
		m.deferEnd(at, c, e)
		return
	}
	if e.Kept == nil && !matchesDigest(c.data, e) {
		e.MayHaveRun = true // it ran, but its result was corrupted
		e.Reason = fmt.Sprintf("the result has %d bytes and another digest, not the %d announced", len(c.data), e.Length)
		m.onFail(at, e)
		return
	}
	m.transitionCall(c, "end")
	c.load, c.kept, c.queueTime = e.Load, e.Kept, e.QueueTime
	m.reportOutcome(c, true, false)
	m.dropOthers(c)
	if m.stage < len(m.config.Route.Stages)-1 {
		m.input, m.reference, m.inputMissing = c.data, e.Kept, false
		m.enterStage(m.stage + 1)
		m.pick(at, false)
		return
	}
	m.complete(at, c)
}

// deferEnd keeps an end event that arrived before all of its data, and fetches the
// missing bytes.
func (m *Machine) deferEnd(at time.Duration, c *call, e Event) {
	c.probes++
	if c.probes > maxProbes {
		e.MayHaveRun, e.Reason = true, "the result never came whole"
		m.onFail(at, e)
		return
	}
	c.pendingEnd = &e
	m.emit(Action{Kind: Fetch, Key: c.key, Address: c.address, Offset: uint64(len(c.data))})
}

// matchesDigest reports whether data has the length and the xxhash64 digest that e
// announces.
func matchesDigest(data []byte, e Event) bool {
	return uint64(len(data)) == e.Length && xxhash.Sum64(data) == e.Digest
}

// complete answers the request with the last stage's result. A non-repeatable
// request first has the quorum record the answer.
func (m *Machine) complete(at time.Duration, c *call) {
	answer := m.completeAnswer(c.data)
	if !m.config.Once {
		m.finish(answer)
		return
	}
	if !m.transition("settle") {
		return
	}
	m.pendingAnswer = &answer
	m.emit(Action{Kind: Settle, Key: c.key, State: "complete", Bytes: c.data})
	m.emit(Action{Kind: SetTimer, Name: "settle", At: min(m.config.Deadline, at+settleTimeout)})
}

// onTurnedAway handles a refusal, by which the sidecar guarantees that the call
// did not run.
func (m *Machine) onTurnedAway(at time.Duration, e Event) {
	c := m.findCall(e)
	if c == nil {
		return
	}
	m.transitionCall(c, "turn-away")
	c.load = e.Load
	m.reportOutcome(c, false, true)
	m.noteRetryAfter(e.RetryAfter)
	m.refusals++
	m.runs--
	m.maybeRan = m.mayHaveRun()
	if !e.Paused {
		m.exclude = append(m.exclude, c.server)
	}
	if e.InputGone && m.stage > 0 && !m.config.Once {
		m.rerunPreviousStage(at)
		return
	}
	if m.activeCalls() > 0 {
		return
	}
	if m.refusals >= maxRefusals {
		m.giveUp(at, e.Reason)
		return
	}
	m.pick(at, false)
}

// mayHaveRun reports whether any call was sent and not turned away.
func (m *Machine) mayHaveRun() bool {
	for _, c := range m.calls {
		if c.sent && c.state != callTurnedAway {
			return true
		}
	}
	return false
}

// rerunPreviousStage runs the previous stage again, because the sidecar that kept
// its result no longer has it. Without that stage's input the route restarts from
// its first stage.
func (m *Machine) rerunPreviousStage(at time.Duration) {
	m.dropOthers(nil)
	m.stage--
	m.enterStage(m.stage)
	m.reference = nil
	m.input = m.stageInput(m.stage)
	if m.stage > 0 && m.input == nil {
		m.stage = 0
		m.input = m.config.Body
	}
	m.pick(at, true)
}

// stageInput returns the input of a stage: the request's body for the first stage,
// else the result of the previous one, or nil if this entry does not hold it.
func (m *Machine) stageInput(stage int) []byte {
	if stage == 0 {
		return m.config.Body
	}
	for _, c := range m.calls {
		if c.key.Stage == stage-1 && c.state == callEnded && len(c.data) > 0 {
			return c.data
		}
	}
	return nil
}

// onFail handles a call that ran, or may have run, without a result.
func (m *Machine) onFail(at time.Duration, e Event) {
	c := m.findCall(e)
	if c == nil {
		return
	}
	m.transitionCall(c, "fail")
	m.reportOutcome(c, false, false)
	if m.config.Once {
		kind := tanagerroad.AnswerFailed
		if e.MayHaveRun {
			kind = tanagerroad.AnswerUnknown
		}
		m.settleAndFinish(c, kind, e.Reason)
		return
	}
	if e.Crashed {
		m.alone = true // it may have caused the crash: isolate its retries
	}
	m.retryOrFail(at, c, e.Reason)
}

// retryOrFail picks another server, unless another call of the stage is still
// active or the stage has used up maxRuns.
func (m *Machine) retryOrFail(at time.Duration, c *call, reason string) {
	m.exclude = append(m.exclude, c.server)
	if m.activeCalls() > 0 {
		return
	}
	if m.runs >= maxRuns {
		m.giveUp(at, reason)
		return
	}
	m.pick(at, true)
}

// onLost handles a stream that broke or timed out. The call is not sent again
// before its status is known: a non-repeatable call is queried, any other one is
// fetched once over a new connection and then retried.
func (m *Machine) onLost(at time.Duration, e Event) {
	c := m.findCall(e)
	if c == nil {
		return
	}
	if !m.transitionCall(c, "lose") {
		return
	}
	c.probes++
	if m.config.Once {
		m.queryOrFinishUnknown(at, c, false)
		return
	}
	if c.probes > 1 {
		m.transitionCall(c, "fail")
		m.reportOutcome(c, false, false)
		m.retryOrFail(at, c, "contact with the sidecar was lost")
		return
	}
	m.emit(Action{Kind: Fetch, Key: c.key, Address: c.address, Offset: uint64(len(c.data))})
}
