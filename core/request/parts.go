package request

// This file takes what calls bring: pieces of results, ends, refusals, failures
// and silence.

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
)

// find returns the call that a part belongs to, if it can still take it.
func (m *Machine) find(e Event) *call {
	c, ok := m.calls[e.Key]
	if !ok || e.Key.Stage != m.stage || (c.state != callRunning && c.state != callAsking) {
		m.stray(e, "no call waits for it")
		return nil
	}
	return c
}

func (m *Machine) data(at time.Duration, e Event) {
	c := m.find(e)
	if c == nil {
		return
	}
	have := uint64(len(c.data))
	switch {
	case e.Offset > have:
		m.stray(e, "a gap")
		m.do(Action{Kind: Fetch, Key: c.key, Address: c.address, From: have})
		return
	case e.Offset+uint64(len(e.Bytes)) <= have:
		m.stray(e, "doubled")
		return
	}
	if c.state == callAsking {
		m.turn(c, "found")
	}
	c.questions = 0
	c.data = append(c.data, e.Bytes[have-e.Offset:]...)
	if m.streams() {
		m.deliver(c)
	}
	if c.ending != nil && uint64(len(c.data)) >= c.ending.Length && !m.Ended() {
		m.end(at, *c.ending)
	}
}

func (m *Machine) streams() bool {
	last := m.stage == len(m.config.Route.Stages)-1
	return last && m.config.Route.Stages[m.stage].Stream
}

// deliver hands on what the caller has not yet had. A call that takes over a
// stream must agree with what was already delivered; if it does not, the
// stream cannot be made whole.
func (m *Machine) deliver(c *call) {
	n := min(len(c.data), len(m.delivered))
	if !bytes.Equal(c.data[:n], m.delivered[:n]) {
		m.finish(tanagerroad.Answer{Kind: tanagerroad.Failed, Reason: "a repeated run differs from what was already streamed"})
		return
	}
	if len(c.data) <= len(m.delivered) {
		return
	}
	fresh := c.data[len(m.delivered):]
	m.delivered = append(m.delivered, fresh...)
	m.do(Action{Kind: Deliver, Key: c.key, Bytes: fresh})
	m.dropOthers(c) // the first to stream wins over its hedge
}

func (m *Machine) end(at time.Duration, e Event) {
	c := m.find(e)
	if c == nil {
		return
	}
	if e.Kept == nil && uint64(len(c.data)) < e.Length {
		m.endBeforeData(at, c, e)
		return
	}
	if e.Kept == nil && !intact(c.data, e) {
		e.Unknown = true // it ran, and what it gave is lost
		e.Reason = fmt.Sprintf("the result has %d bytes and another digest, not the %d announced", len(c.data), e.Length)
		m.fail(at, e)
		return
	}
	m.turn(c, "end")
	c.load, c.kept, c.waited = e.Load, e.Kept, e.Waited
	m.learn(c, true, false)
	m.dropOthers(c)
	if m.stage < len(m.config.Route.Stages)-1 {
		m.input, m.reference, m.noInput = c.data, e.Kept, false
		m.enterStage(m.stage + 1)
		m.pick(at, false)
		return
	}
	m.complete(at, c)
}

// endBeforeData keeps an end that overtook its data, and asks for what is
// missing.
func (m *Machine) endBeforeData(at time.Duration, c *call, e Event) {
	c.questions++
	if c.questions > maxQuestions {
		e.Unknown, e.Reason = true, "the result never came whole"
		m.fail(at, e)
		return
	}
	c.ending = &e
	m.do(Action{Kind: Fetch, Key: c.key, Address: c.address, From: uint64(len(c.data))})
}

func intact(data []byte, e Event) bool {
	return uint64(len(data)) == e.Length && xxhash.Sum64(data) == e.Digest
}

func (m *Machine) complete(at time.Duration, c *call) {
	answer := m.whole(c.data)
	if !m.config.Once {
		m.finish(answer)
		return
	}
	if !m.move("settle") {
		return
	}
	m.answer = &answer
	m.do(Action{Kind: Settle, Key: c.key, State: "complete", Bytes: c.data})
	m.do(Action{Kind: SetTimer, Name: "settle", At: min(m.config.Deadline, at+settlePatience)})
}

// turnedAway: the sidecar says for certain that the call did not run.
func (m *Machine) turnedAway(at time.Duration, e Event) {
	c := m.find(e)
	if c == nil {
		return
	}
	m.turn(c, "turn-away")
	c.load = e.Load
	m.learn(c, false, true)
	m.noteRetry(e.RetryAfter)
	m.refusals++
	m.tries--
	m.ran = m.mayHaveRun()
	m.exclude = append(m.exclude, c.server)
	if e.InputGone && m.stage > 0 && !m.config.Once {
		m.stepBack(at)
		return
	}
	if m.active() > 0 {
		return
	}
	if m.refusals >= maxTurnedAway {
		m.giveUp(at, e.Reason)
		return
	}
	m.pick(at, false)
}

// mayHaveRun reports whether any call went out that was not turned away.
func (m *Machine) mayHaveRun() bool {
	for _, c := range m.calls {
		if c.sent && c.state != callTurnedAway {
			return true
		}
	}
	return false
}

// stepBack runs the stage before once more: the sidecar that kept its result
// has it no longer.
func (m *Machine) stepBack(at time.Duration) {
	m.dropOthers(nil)
	m.stage--
	m.enterStage(m.stage)
	m.reference = nil
	m.input = m.inputOf(m.stage)
	if m.stage > 0 && m.input == nil {
		m.stage = 0
		m.input = m.config.Body
	}
	m.pick(at, true)
}

// inputOf is the whole result that the stage before gave, if it is held here.
func (m *Machine) inputOf(stage int) []byte {
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

// fail: the call ran, or may have run, and brings no result.
func (m *Machine) fail(at time.Duration, e Event) {
	c := m.find(e)
	if c == nil {
		return
	}
	m.turn(c, "fail")
	m.learn(c, false, false)
	if m.config.Once {
		kind := tanagerroad.Failed
		if e.Unknown {
			kind = tanagerroad.Unknown
		}
		m.settleAndFinish(c, kind, e.Reason)
		return
	}
	if e.Crashed {
		m.alone = true // from now on it may run only with nothing beside it
	}
	m.retryOrFail(at, c, e.Reason)
}

func (m *Machine) retryOrFail(at time.Duration, c *call, reason string) {
	m.exclude = append(m.exclude, c.server)
	if m.active() > 0 {
		return
	}
	if m.tries >= maxTries {
		m.giveUp(at, reason)
		return
	}
	m.pick(at, true)
}

// lost: the stream broke or went silent. What became of the call is asked over
// a new connection; nothing is sent again blindly.
func (m *Machine) lost(at time.Duration, e Event) {
	c := m.find(e)
	if c == nil {
		return
	}
	if !m.turn(c, "lose") {
		return
	}
	c.questions++
	if m.config.Once {
		m.askOrUnknown(at, c, false)
		return
	}
	if c.questions > 1 {
		m.turn(c, "fail")
		m.learn(c, false, false)
		m.retryOrFail(at, c, "contact with the sidecar was lost")
		return
	}
	m.do(Action{Kind: Fetch, Key: c.key, Address: c.address, From: uint64(len(c.data))})
}
