package request

// This file handles the claim of a non-repeatable request. The claim is a record
// in the replicated registry that binds the request to one call, so that the
// request runs at most once.

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/registry"
)

func (m *Machine) onGranted(at time.Duration, e Event) {
	c, ok := m.calls[e.Key]
	if !ok || m.state != claiming || m.pendingClaim != e.Key {
		m.discard(e, "no such claim")
		return
	}
	m.transition("grant")
	key := c.key
	m.bound = &key
	m.dispatch(at, c)
}

// onDenied handles a claim that the quorum refused or that could not reach a
// quorum. The call is dropped without having been sent to its sidecar. If that is
// stopping, another one is picked.
func (m *Machine) onDenied(at time.Duration, e Event) {
	if m.state != claiming || m.pendingClaim != e.Key {
		m.discard(e, "no such claim")
		return
	}
	c := m.calls[e.Key]
	m.dropCall(c)
	m.noteRetryAfter(e.RetryAfter)
	if e.State == registry.Sealed {
		m.transition("pick-again")
		m.pickElsewhere(at, c)
		return
	}
	if e.State == registry.DigestMismatch {
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerFailed, Reason: e.Reason})
		return
	}
	if e.State == registry.LimitReached || e.State == registry.ClaimMoved && !m.maybeRan {
		// No claim is left to move: its call is fenced and never ran.
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerNotRun, Reason: e.Reason, RetryAfter: m.retryAfter()})
		return
	}
	m.giveUp(at, e.Reason)
}

// onHeld handles a claim that is bound to another call, possibly of another
// entry. It finishes the request with the recorded answer, or attaches to that
// call by querying its sidecar.
func (m *Machine) onHeld(e Event) {
	if m.state != claiming {
		m.discard(e, "no such claim")
		return
	}
	m.dropCall(m.calls[m.pendingClaim])
	switch e.State {
	case "complete":
		if e.Length > 0 && len(e.Bytes) == 0 {
			break // the registry didn't keep an answer this large; the sidecar may have it
		}
		m.finish(m.completeAnswer(e.Bytes))
		return
	case "failed":
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerFailed, Reason: e.Reason})
		return
	case "unknown":
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerUnknown, Reason: e.Reason})
		return
	}
	m.transition("join")
	m.maybeRan = true
	key := e.Key
	m.bound = &key
	if key.Stage != m.stage {
		// Only the entry that ran the earlier stages holds their results.
		m.input, m.inputMissing = m.config.Body, key.Stage > 0
	}
	m.enterStage(key.Stage)
	c := &call{key: key, server: e.Server, address: e.Address, generation: e.Generation, state: callAsking, outcomeReported: true, sent: true}
	m.addCall(c)
	m.queryStatus(c, false)
}

// completeAnswer returns an answer of kind Complete for body.
func (m *Machine) completeAnswer(body []byte) tanagerroad.Answer {
	return tanagerroad.Answer{Kind: tanagerroad.AnswerComplete, Body: body, Length: uint64(len(body)), Digest: xxhash.Sum64(body)}
}

// queryStatus asks the call's sidecar for the status of the call. With fence, the
// sidecar also refuses the call from now on if it hasn't arrived yet.
func (m *Machine) queryStatus(c *call, fence bool) {
	c.probes++
	m.emit(Action{Kind: QueryStatus, Key: c.key, Address: c.address, Generation: c.generation, Fence: fence})
}

// onSettled finishes the request once the quorum has recorded its outcome, or the
// timeout has passed. A result is valid whether or not the quorum recorded it, but
// not-run is valid only if the quorum released the claim.
func (m *Machine) onSettled(e Event) {
	switch m.state {
	case settling:
		if m.pendingAnswer.Kind == tanagerroad.AnswerUnknown {
			m.finishRecorded(e)
			return
		}
		m.finish(*m.pendingAnswer)
	case releasing:
		if e.State != registry.Accepted && !claimGivenBack(e) {
			m.pendingAnswer.Kind, m.pendingAnswer.Reason = tanagerroad.AnswerUnknown, "whether another sending of it runs is not known"
		}
		m.finish(*m.pendingAnswer)
	default:
		m.discard(e, "nothing waits for it")
	}
}

// settleUnknown asks the quorum to record that it is not known whether the request ran. If
// it has recorded another outcome meanwhile, the request is finished with that.
func (m *Machine) settleUnknown(at time.Duration, c *call, reason string) {
	if !m.transition("settle") {
		return
	}
	m.pendingAnswer = &tanagerroad.Answer{Kind: tanagerroad.AnswerUnknown, Reason: reason}
	m.emit(Action{Kind: Settle, Key: c.key, State: string(tanagerroad.AnswerUnknown), Reason: reason})
	m.emit(Action{Kind: SetTimer, Name: "settle", At: min(m.config.Deadline, at+settleTimeout)})
}

// finishRecorded finishes the request with the answer that the quorum had recorded before,
// or as unknown if there is none or it was too large to be kept.
func (m *Machine) finishRecorded(e Event) {
	switch {
	case e.Claim == string(tanagerroad.AnswerComplete) && len(e.Bytes) == int(e.Length):
		m.finish(m.completeAnswer(e.Bytes))
	case claimGivenBack(e):
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerNotRun, Reason: m.pendingAnswer.Reason, RetryAfter: m.retryAfter()})
	case e.Claim == string(tanagerroad.AnswerFailed):
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerFailed, Reason: e.Reason})
	default:
		m.finish(*m.pendingAnswer)
	}
}

// claimGivenBack reports whether the quorum holds no claim of the request any more: the
// entry that settled it as not run had fenced its call.
func claimGivenBack(e Event) bool { return e.State == registry.ClaimMoved && e.Claim == "" }

// queryOrFinishUnknown sends another status query, or finishes the request as
// unknown after maxProbes of them.
func (m *Machine) queryOrFinishUnknown(at time.Duration, c *call, fence bool) {
	if c.probes > maxProbes {
		// The claim stays open: a later resend may still reach the sidecar.
		m.finish(tanagerroad.Answer{Kind: tanagerroad.AnswerUnknown, Reason: "its sidecar cannot be reached"})
		return
	}
	m.queryStatus(c, fence)
}

// onStatusReply handles a sidecar's reply to a status query. An empty state means
// that the sidecar did not reply.
func (m *Machine) onStatusReply(at time.Duration, e Event) {
	c, ok := m.calls[e.Key]
	if !ok || c.state != callAsking {
		m.discard(e, "nothing was asked")
		return
	}
	switch e.State {
	case "never-started":
		m.onNeverStarted(at, c)
	case "new":
		// The entry that owns the call may be about to send it. Fence the
		// call if it hasn't arrived after fenceDelay.
		m.emit(Action{Kind: SetTimer, Name: "fence", Key: c.key, At: at + fenceDelay})
	case "queued", "running", "done", "failed":
		m.transitionCall(c, "found")
		c.probes = 0
		m.emit(Action{Kind: Fetch, Key: c.key, Address: c.address, Offset: uint64(len(c.data))})
	case "unknown":
		m.transitionCall(c, "fail")
		m.settleUnknown(at, c, "its sidecar cannot say whether it ran")
	default: // no reply
		m.emit(Action{Kind: SetTimer, Name: "ask", Key: c.key, At: at + queryInterval})
	}
}

// onNeverStarted handles a call that its sidecar has not started and never will.
// It picks another server, or gives up after maxRefusals refusals.
func (m *Machine) onNeverStarted(at time.Duration, c *call) {
	m.transitionCall(c, "turn-away")
	m.reportOutcome(c, false, true)
	m.maybeRan = m.mayHaveRun()
	m.pickElsewhere(at, c)
}

// pickElsewhere picks another server than that of a call that was refused, or gives up
// after maxRefusals refusals.
func (m *Machine) pickElsewhere(at time.Duration, refused *call) {
	m.exclude = append(m.exclude, refused.server)
	m.refusals++
	if m.refusals >= maxRefusals {
		m.giveUp(at, "no sidecar took it")
		return
	}
	m.pick(at, false)
}

// releaseClaim asks the quorum to release the claim before the request is
// answered: only the quorum knows whether a resend has taken the claim over and
// may be running.
func (m *Machine) releaseClaim(at time.Duration, answer tanagerroad.Answer) {
	if !m.transition("release") {
		return
	}
	m.dropOthers(nil)
	m.pendingAnswer = &answer
	m.emit(Action{Kind: Settle, Key: *m.bound, State: string(answer.Kind), Reason: answer.Reason})
	m.emit(Action{Kind: SetTimer, Name: "settle", At: at + releaseTimeout})
}

// settleAndFinish records the outcome at the quorum and finishes the request
// without waiting for the reply.
func (m *Machine) settleAndFinish(c *call, kind tanagerroad.AnswerKind, reason string) {
	m.emit(Action{Kind: Settle, Key: c.key, State: string(kind), Reason: reason})
	m.finish(tanagerroad.Answer{Kind: kind, Reason: reason})
}
