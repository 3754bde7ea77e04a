// Package attempt decides what follows when an attempt at a backend server has
// ended: another attempt, or which final answer. It answers backend servers
// that refuse, crash, lose answers or break streams off, and holds what must be
// true of each answer: "not run" is said only of what was never sent or what
// the backend server itself says it did not run, and what may run only once is
// never sent after it may have run.
package attempt

import (
	"net/http"
	"time"

	"tanagerroad"
)

// End is how an attempt ended.
type End string

// Ends of an attempt.
const (
	Unsent    End = "unsent"    // no connection; nothing was written
	Rejected  End = "rejected"  // the backend server states that it did not run
	Misplaced End = "misplaced" // another backend server stands at the address
	Lost      End = "lost"      // written, and no usable answer came
	Answered  End = "answered"  // an answer with its status
	Broken    End = "broken"    // a stream broke off after its first event
)

// Action is what follows.
type Action string

// Actions.
const (
	Again   Action = "again"   // another backend server
	Resume  Action = "resume"  // another backend server goes on after the last event
	Deliver Action = "deliver" // the answer as it is
	Refuse  Action = "refuse"  // not run: come back later
	Fail    Action = "fail"    // it may have run
	Abort   Action = "abort"   // the answer has begun and cannot be finished
)

// Request is what the decisions know of a request.
type Request struct {
	Repeat     tanagerroad.Repeat
	Resumable  bool
	MaxServers int           // it may be sent to
	Deadline   time.Duration // of its final answer
	ran        int           // attempts that may have run
	begun      bool          // the caller has a part of the answer
	tries      int
}

// triesMost bounds the attempts that did not run.
const triesMost = 4

// leastLeft is the time below which another attempt is not worth its cost.
const leastLeft = 30 * time.Millisecond

// Begun counts an attempt.
func (r *Request) Begun() { r.tries++ }

// Tries is the number of attempts begun.
func (r *Request) Tries() int { return r.tries }

// Ran reports whether the request may have run.
func (r *Request) Ran() bool { return r.ran > 0 }

// repeatable reports whether it may run again.
func (r *Request) repeatable() bool {
	return r.Repeat == tanagerroad.Idempotent || r.Repeat == tanagerroad.Stream && r.Resumable
}

// Next decides after an attempt. status is the answer's; budget reports
// whether one more arrival may be spent, and is asked only when it is needed.
func (r *Request) Next(at time.Duration, end End, status int, budget func() bool) Action {
	another := func() bool { return r.tries < triesMost && r.Deadline-at > leastLeft && budget() }
	switch end {
	case Unsent, Rejected, Misplaced:
		if end == Unsent {
			budget = func() bool { return true } // nothing arrives a second time
		}
		if another() {
			return Again
		}
		switch {
		case r.begun:
			return Abort
		case r.ran > 0:
			return Fail
		}
		return Refuse
	case Lost, Broken:
		r.ran++
		r.begun = r.begun || end == Broken
		again := r.repeatable() && r.ran < r.MaxServers && another()
		switch {
		case again && r.begun:
			return Resume
		case again:
			return Again
		case r.begun:
			return Abort
		}
		return Fail
	}
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		r.ran++
		if r.repeatable() && r.ran < r.MaxServers && another() {
			return Again
		}
	}
	return Deliver
}
