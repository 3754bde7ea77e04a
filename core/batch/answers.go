package batch

import (
	"maps"
	"time"

	"tanagerroad"
)

const (
	// answerMemory is how long the results that an answer named are remembered at least,
	// and answersRemembered is for how many further answers on the connection. Both must
	// have passed: a connection may be idle, or wait for one answer, for longer than
	// answerMemory.
	answerMemory      = 15 * time.Second
	answersRemembered = 8
)

// Answers are the answers to calls that came on one connection, in order. Calls carry no
// id that their answers repeat, so a late copy of an earlier answer can take the place of
// the answer to a call, which then comes in place of the next one. Only the names of
// results tell them apart.
type Answers struct {
	named    map[string]answeredPiece // by handle
	count    int
	unnamed  bool          // one of them named no result, and so would its copies
	forgetAt time.Duration // when to look for old entries of named
}

// answeredPiece is the piece for which an answer named a result.
type answeredPiece struct {
	request      string
	stage, index int
	at           time.Duration // of the answer
	number       int           // of the answer
}

func (a answeredPiece) isSame(q *Piece) bool {
	return a.request == q.Job.Request && a.stage == q.Job.Stage && a.index == q.Index
}

// Match is whether an answer belongs to the call that it came for.
type Match string

// Matches.
const (
	Own      Match = "own"      // it is the call's
	Repeated Match = "repeated" // it is a copy of the answer to an earlier call
	// Unproved answers may be either. Their outcomes do no harm to the call's pieces: they
	// are failures, or results that were made for the same pieces.
	Unproved Match = "unproved"
)

// Match records the outcomes in the answer to a call, one for each of its pieces, and
// returns whether it is the call's. After any but its own, another answer may be on its
// way, and the connection can't be used for another call. A piece that is made again may
// have the same handle.
func (a *Answers) Match(at time.Duration, call *Call, outcomes []tanagerroad.PieceOutcome) Match {
	a.forget(at)
	isNew, isNamed := false, false
	for i, o := range outcomes {
		if o.Handle == "" {
			continue
		}
		isNamed = true
		earlier, ok := a.named[o.Handle]
		if ok = ok && !a.isOld(at, earlier); ok && !earlier.isSame(call.Pieces[i]) {
			return Repeated
		}
		isNew = isNew || !ok
	}
	if a.named == nil {
		a.named = map[string]answeredPiece{}
	}
	a.count++
	for i, o := range outcomes {
		if q := call.Pieces[i]; o.Handle != "" {
			a.named[o.Handle] = answeredPiece{q.Job.Request, q.Job.Stage, q.Index, at, a.count}
		}
	}
	wasUnnamed := a.unnamed
	a.unnamed = a.unnamed || !isNamed
	if isNew || !isNamed && !wasUnnamed {
		return Own
	}
	return Unproved
}

// isOld reports whether copies of an answer are no longer expected, so that the same name
// is that of another result.
func (a *Answers) isOld(at time.Duration, earlier answeredPiece) bool {
	return at-earlier.at > answerMemory && a.count-earlier.number >= answersRemembered
}

// forget drops what is old. It looks through the answers once in answerMemory only, since
// there may be thousands.
func (a *Answers) forget(at time.Duration) {
	if at < a.forgetAt {
		return
	}
	a.forgetAt = at + answerMemory
	maps.DeleteFunc(a.named, func(_ string, earlier answeredPiece) bool { return a.isOld(at, earlier) })
}
