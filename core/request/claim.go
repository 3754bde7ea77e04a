package request

// This file follows the claim of a not-repeatable request: granted, held by
// another call, asked about, settled or given back.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/registry"
)

func (m *Machine) granted(at time.Duration, e Event) {
	c, ok := m.calls[e.Key]
	if !ok || m.state != claiming || m.pending != e.Key {
		m.stray(e, "no such claim")
		return
	}
	m.move("grant")
	key := c.key
	m.bound = &key
	m.run(at, c)
}

// denied: the quorum refused, or could not be asked. Nothing was sent for this
// call and nothing will be.
func (m *Machine) denied(at time.Duration, e Event) {
	if m.state != claiming || m.pending != e.Key {
		m.stray(e, "no such claim")
		return
	}
	m.dropCall(m.calls[e.Key])
	m.noteRetry(e.RetryAfter)
	if e.State == registry.Mismatch {
		m.finish(tanagerroad.Answer{Kind: tanagerroad.Failed, Reason: e.Reason})
		return
	}
	if e.State == registry.Full {
		m.finish(tanagerroad.Answer{Kind: tanagerroad.NotRun, Reason: e.Reason, RetryAfter: m.retryAfter()})
		return
	}
	m.giveUp(at, e.Reason)
}

// held: another call has the claim, perhaps from another entry; follow it.
func (m *Machine) held(e Event) {
	if m.state != claiming {
		m.stray(e, "no such claim")
		return
	}
	m.dropCall(m.calls[m.pending])
	switch e.State {
	case "complete":
		if e.Length > 0 && len(e.Bytes) == 0 {
			break // its answer was too large to keep; the sidecar may have it
		}
		m.finish(m.whole(e.Bytes))
		return
	case "failed":
		m.finish(tanagerroad.Answer{Kind: tanagerroad.Failed, Reason: e.Reason})
		return
	case "unknown":
		m.finish(tanagerroad.Answer{Kind: tanagerroad.Unknown, Reason: e.Reason})
		return
	}
	m.move("join")
	m.ran = true
	key := e.Key
	m.bound = &key
	if key.Stage != m.stage {
		// What the stages before gave is known only to who ran them.
		m.input, m.noInput = m.config.Body, key.Stage > 0
	}
	m.enterStage(key.Stage)
	c := &call{key: key, server: e.Server, address: e.Address, generation: e.Generation, state: callAsking, reported: true, sent: true}
	m.add(c)
	m.question(c, false)
}

func (m *Machine) whole(body []byte) tanagerroad.Answer {
	return tanagerroad.Answer{Kind: tanagerroad.Complete, Body: body, Length: uint64(len(body)), Digest: xxhash.Sum64(body)}
}

func (m *Machine) question(c *call, fence bool) {
	c.questions++
	m.do(Action{Kind: Question, Key: c.key, Address: c.address, Generation: c.generation, Fence: fence})
}

// settled: the quorum answered, or was waited for long enough. A result is
// true whether or not the quorum keeps it; that nothing ran is true only if the
// quorum took the claim back.
func (m *Machine) settled(e Event) {
	switch m.state {
	case settling:
		m.finish(*m.answer)
	case releasing:
		if e.State != registry.Accepted {
			m.answer.Kind, m.answer.Reason = tanagerroad.Unknown, "whether another sending of it runs is not known"
		}
		m.finish(*m.answer)
	default:
		m.stray(e, "nothing waits for it")
	}
}

func (m *Machine) askOrUnknown(at time.Duration, c *call, fence bool) {
	if c.questions > maxQuestions {
		// Not settled: a later resend may still find the sidecar.
		m.finish(tanagerroad.Answer{Kind: tanagerroad.Unknown, Reason: "its sidecar cannot be reached"})
		return
	}
	m.question(c, fence)
}

// told: a sidecar answered what became of a call.
func (m *Machine) told(at time.Duration, e Event) {
	c, ok := m.calls[e.Key]
	if !ok || c.state != callAsking {
		m.stray(e, "nothing was asked")
		return
	}
	switch e.State {
	case "never-started":
		m.neverStarted(at, c)
	case "new":
		// Its entry may be about to send it; fence it off if it is not
		// there soon.
		m.do(Action{Kind: SetTimer, Name: "fence", Key: c.key, At: at + fenceAfter})
	case "queued", "running", "done", "failed":
		m.turn(c, "found")
		c.questions = 0
		m.do(Action{Kind: Fetch, Key: c.key, Address: c.address, From: uint64(len(c.data))})
	case "unknown":
		m.turn(c, "fail")
		m.settleAndFinish(c, tanagerroad.Unknown, "its sidecar cannot say whether it ran")
	default: // no answer
		m.do(Action{Kind: SetTimer, Name: "ask", Key: c.key, At: at + askAgain})
	}
}

func (m *Machine) neverStarted(at time.Duration, c *call) {
	m.turn(c, "turn-away")
	m.learn(c, false, true)
	m.exclude = append(m.exclude, c.server)
	m.refusals++
	m.ran = m.mayHaveRun()
	if m.refusals >= maxTurnedAway {
		m.giveUp(at, "no sidecar took it")
		return
	}
	m.pick(at, false)
}

// release gives the claim back before the request is answered: only the quorum
// knows whether another sending has taken it over and runs.
func (m *Machine) release(at time.Duration, answer tanagerroad.Answer) {
	if !m.move("release") {
		return
	}
	m.dropOthers(nil)
	m.answer = &answer
	m.do(Action{Kind: Settle, Key: *m.bound, State: string(answer.Kind), Reason: answer.Reason})
	m.do(Action{Kind: SetTimer, Name: "settle", At: at + releasePatience})
}

func (m *Machine) settleAndFinish(c *call, kind tanagerroad.AnswerKind, reason string) {
	m.do(Action{Kind: Settle, Key: c.key, State: string(kind), Reason: reason})
	m.finish(tanagerroad.Answer{Kind: kind, Reason: reason})
}
