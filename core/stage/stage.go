// Package stage decides what happens at one backend server's sidecar: which
// attempts wait, which start and when, which are turned away, how long their
// results are kept, and what may truthfully be said of an attempt. It moves no
// bytes and opens no sockets; package io/backend carries out its actions.
package stage

import (
	"cmp"
	_ "embed"
	"slices"
	"time"

	"tanagerroad"
	"tanagerroad/core/chart"
	"tanagerroad/core/limit"
)

//go:embed attempt.json
var attemptJSON []byte

var attemptChart = chart.MustParse("attempt.json", attemptJSON)

// States of an attempt, as the chart names them.
const (
	New     = "new"
	Queued  = "queued"
	Running = "running"
	Done    = "done"
	Failed  = "failed"
	Unknown = "unknown"
	NotRun  = "not-run"
	Fenced  = "fenced"
)

// NeverStarted answers a question about an attempt that did not start here and
// from now on never will.
const NeverStarted = "never-started"

// OtherStart is the reason given for an attempt that is bound to another start
// of the sidecar.
const OtherStart = "bound to another start of this sidecar"

// Config bounds a desk.
type Config struct {
	Generation uint64        `json:"generation"` // of this sidecar
	Queue      int           `json:"queue"`      // attempts that may wait
	Keep       time.Duration `json:"keep"`       // a repeatable attempt's result
	KeepOnce   time.Duration `json:"keep-once"`  // what is known of a not-repeatable attempt
	KeptBytes  int           `json:"kept-bytes"` // of all results together
	KeptOnce   int           `json:"kept-once"`  // not-repeatable attempts known at once
	Knee       bool          `json:"knee"`       // find the concurrency limit below the announced capacity
}

// Event kinds.
const (
	Announce = "announce" // the backend server announced capacity and state
	Submit   = "submit"   // an entry wants an attempt run
	Finish   = "finish"   // the backend server gave the whole result
	Fail     = "fail"     // it failed, and said so
	Refuse   = "refuse"   // it said, or the connection shows, that it did not run
	Lose     = "lose"     // contact was lost under a running attempt
	Crash    = "crash"    // the backend server died
	Cancel   = "cancel"   // nobody waits for the attempt any more
	Question = "question" // did this run?
	Tick     = "tick"     // time passed
	Stop     = "stop"     // the sidecar is to stop
)

// Event is something that happened at the sidecar.
type Event struct {
	Kind        string                  `json:"kind"`
	Key         tanagerroad.Key         `json:"key,omitzero"`
	Deadline    time.Duration           `json:"deadline,omitempty"`
	Expected    time.Duration           `json:"expected,omitempty"`
	Once        bool                    `json:"once,omitempty"`
	Alone       bool                    `json:"alone,omitempty"`
	Convicted   bool                    `json:"convicted,omitempty"`
	Fingerprint uint64                  `json:"fingerprint,omitempty"`
	Generation  uint64                  `json:"generation,omitempty"`
	Fence       bool                    `json:"fence,omitempty"`
	Capacity    int                     `json:"capacity,omitempty"`
	State       tanagerroad.ServerState `json:"state,omitempty"`
	Bytes       int                     `json:"bytes,omitempty"`
}

// Action kinds.
const (
	Start      = "start"      // send the attempt to the backend server
	TurnAway   = "turn-away"  // tell the entry that it did not run
	Interrupt  = "interrupt"  // cancel it at the backend server
	Tell       = "tell"       // answer a question
	Forget     = "forget"     // free what is kept of it
	Report     = "report"     // report a fingerprint that was running at a crash
	Clear      = "clear"      // report that a suspect ran alone and did no harm
	Conclude   = "conclude"   // tell the entry that it failed or that its fate is unknown
	Unexpected = "unexpected" // the chart has no arrow
	Idle       = "idle"       // stopping and nothing is in flight
	Attached   = "attached"   // the attempt is known; watch it
	Placed     = "placed"     // the attempt waits
)

// Action is what the sidecar must do.
type Action struct {
	Kind        string          `json:"kind"`
	Key         tanagerroad.Key `json:"key,omitzero"`
	Reason      string          `json:"reason,omitempty"`
	RetryAfter  time.Duration   `json:"retry-after,omitempty"`
	State       string          `json:"state,omitempty"`
	Fingerprint uint64          `json:"fingerprint,omitempty"`
	Alone       bool            `json:"alone,omitempty"`
	Waited      time.Duration   `json:"waited,omitempty"`
}

type attempt struct {
	Event
	state   string
	since   time.Duration // of the present state
	queued  time.Duration // when it was submitted
	waited  time.Duration // in the queue
	bytes   int
	crowded bool // something ran beside it
}

// Desk is the state of one sidecar.
type Desk struct {
	config   Config
	knee     *limit.Knee
	capacity int
	state    tanagerroad.ServerState
	stopping bool
	attempts map[tanagerroad.Key]*attempt
	queue    []*attempt // by deadline, earliest first
	running  int
	alone    bool // what runs must run alone
	service  time.Duration
	ended    []tanagerroad.Key // repeatable, oldest first
	settled  []tanagerroad.Key // not repeatable, oldest first
	kept     int               // bytes of ended attempts
	once     int               // not-repeatable attempts known
}

// NewDesk returns a desk whose backend server has not announced itself yet.
func NewDesk(config Config) *Desk {
	return &Desk{config: config, state: tanagerroad.Down, attempts: map[tanagerroad.Key]*attempt{}}
}

// Load is what the sidecar reports of itself.
func (d *Desk) Load() tanagerroad.Load {
	return tanagerroad.Load{InFlight: d.running, Queued: len(d.queue), Limit: d.limit(), Latency: d.service}
}

// State of the backend server, as entries should see it.
func (d *Desk) State() tanagerroad.ServerState {
	if d.stopping && d.state == tanagerroad.Serving {
		return tanagerroad.Leaving
	}
	return d.state
}

// StateOf is the state of an attempt; empty when it is not known.
func (d *Desk) StateOf(key tanagerroad.Key) string {
	if a, ok := d.attempts[key]; ok {
		return a.state
	}
	return ""
}

func (d *Desk) limit() int {
	if d.knee != nil && d.config.Knee {
		return min(d.capacity, d.knee.Limit())
	}
	return d.capacity
}

// Step takes one event and returns what must be done, in order.
func (d *Desk) Step(at time.Duration, e Event) []Action {
	var out []Action
	switch e.Kind {
	case Announce:
		out = d.announce(at, e)
	case Submit:
		out = d.submit(at, e)
	case Finish, Fail, Lose, Refuse:
		out = d.end(at, e)
	case Crash:
		out = d.crash(at)
	case Cancel:
		out = d.cancel(at, e)
	case Question:
		out = d.question(at, e)
	case Stop:
		d.stopping = true
		out = d.flush(at, "the sidecar is stopping")
	}
	out = append(out, d.forgetOld(at)...)
	out = append(out, d.startNext(at)...)
	if d.stopping && d.running == 0 && len(d.queue) == 0 {
		out = append(out, Action{Kind: Idle})
	}
	return out
}

// move follows the chart. An event without an arrow changes nothing and comes
// out as a finding.
func (d *Desk) move(at time.Duration, a *attempt, on string) (Action, bool) {
	next, err := attemptChart.Next(a.state, on)
	if err != nil {
		return Action{Kind: Unexpected, Key: a.Key, Reason: err.Error()}, false
	}
	a.state, a.since = next, at
	if attemptChart.IsFinal(next) && a.Once {
		d.settled = append(d.settled, a.Key)
	} else if attemptChart.IsFinal(next) {
		d.ended = append(d.ended, a.Key)
	}
	return Action{}, true
}

func (d *Desk) announce(at time.Duration, e Event) []Action {
	if e.Capacity > 0 && e.Capacity != d.capacity {
		d.capacity = e.Capacity
		d.knee = limit.NewKnee(e.Capacity, e.Capacity)
	}
	d.state = e.State
	if e.State == tanagerroad.Serving {
		return nil
	}
	return d.flush(at, "the backend server is "+string(e.State))
}

// flush turns away all that waits.
func (d *Desk) flush(at time.Duration, reason string) []Action {
	var out []Action
	for _, a := range d.queue {
		out = append(out, d.turnAway(at, a, reason, 0))
	}
	d.queue = nil
	return out
}

func (d *Desk) turnAway(at time.Duration, a *attempt, reason string, wait time.Duration) Action {
	if finding, ok := d.move(at, a, "turn-away"); !ok {
		return finding
	}
	retry := limit.RetryAfter(wait, a.Fingerprint+uint64(a.Key.Attempt))
	return Action{Kind: TurnAway, Key: a.Key, Reason: reason, RetryAfter: retry}
}

func (d *Desk) submit(at time.Duration, e Event) []Action {
	if a, known := d.attempts[e.Key]; known {
		return []Action{{Kind: Attached, Key: e.Key, State: a.state}}
	}
	if e.Once && e.Generation != d.config.Generation {
		// This may be a late copy of an order that an earlier start of this
		// sidecar carried out. It must not run, and it must not pass for one
		// that did not.
		return []Action{{Kind: Conclude, Key: e.Key, State: Unknown, Reason: OtherStart}}
	}
	a := &attempt{Event: e, state: attemptChart.Initial, since: at, queued: at}
	if reason, wait := d.refusal(at, e); reason != "" {
		// A refused not-repeatable attempt is remembered, so that a late
		// copy of the same order finds it refused and does not run.
		d.remember(a)
		return []Action{d.turnAway(at, a, reason, wait)}
	}
	d.remember(a)
	if finding, ok := d.move(at, a, "submit"); !ok {
		return []Action{finding}
	}
	i, _ := slices.BinarySearchFunc(d.queue, a, func(x, y *attempt) int {
		if x.Deadline <= y.Deadline {
			return -1
		}
		return 1
	})
	d.queue = slices.Insert(d.queue, i, a)
	return []Action{{Kind: Placed, Key: e.Key}}
}

func (d *Desk) remember(a *attempt) {
	d.attempts[a.Key] = a
	if a.Once {
		d.once++
	}
}

// refusal says why an attempt is turned away, or nothing.
func (d *Desk) refusal(at time.Duration, e Event) (reason string, wait time.Duration) {
	wait = d.wait()
	switch {
	case d.stopping:
		return "the sidecar is stopping", 0
	case d.state != tanagerroad.Serving:
		return "the backend server is " + string(d.state), 0
	case e.Convicted:
		return "quarantined: it crashes backend servers", wait
	case e.Once && d.once >= d.config.KeptOnce:
		return "as many not-repeatable attempts are remembered as may be", wait
	case len(d.queue) >= d.config.Queue:
		return "the queue is full", wait
	case at+wait+e.Expected > e.Deadline:
		return "the deadline cannot be met", wait
	}
	return "", 0
}

// wait is how long a new attempt would probably wait for a slot.
func (d *Desk) wait() time.Duration {
	slots := max(1, d.limit())
	if d.running < slots {
		return 0
	}
	return d.service * time.Duration(len(d.queue)+1) / time.Duration(slots)
}

func (d *Desk) startNext(at time.Duration) []Action {
	var out []Action
	for len(d.queue) > 0 && d.running < d.limit() && !d.alone {
		a := d.queue[0]
		if a.Alone && d.running > 0 {
			break // it waits until nothing runs, and nothing passes it
		}
		d.queue = d.queue[1:]
		if at+a.Expected > a.Deadline {
			out = append(out, d.turnAway(at, a, "the deadline cannot be met", d.wait()))
			continue
		}
		if finding, ok := d.move(at, a, "start"); !ok {
			out = append(out, finding)
			continue
		}
		d.running++
		d.alone = a.Alone
		a.waited = at - a.queued
		d.crowd()
		out = append(out, Action{Kind: Start, Key: a.Key, Waited: a.waited})
	}
	return out
}

// crowd marks every running attempt that has another beside it.
func (d *Desk) crowd() {
	if d.running < 2 {
		return
	}
	for _, a := range d.attempts {
		if a.state == Running {
			a.crowded = true
		}
	}
}

// serviceWeight is the weight of a new service time in the running mean.
const serviceWeight = 0.1

func (d *Desk) end(at time.Duration, e Event) []Action {
	a, ok := d.attempts[e.Key]
	if !ok {
		return []Action{{Kind: Unexpected, Key: e.Key, Reason: e.Kind + " of an attempt that is not known"}}
	}
	took := at - a.since
	if finding, ok := d.move(at, a, e.Kind); !ok {
		return []Action{finding}
	}
	d.released(a)
	a.bytes = e.Bytes
	d.kept += e.Bytes
	if e.Kind == Refuse {
		retry := limit.RetryAfter(d.service, a.Fingerprint+uint64(a.Key.Attempt))
		return []Action{{Kind: TurnAway, Key: a.Key, Reason: "the backend server refused it", RetryAfter: retry}}
	}
	if e.Kind != Finish {
		return []Action{{Kind: Conclude, Key: a.Key, State: a.state}}
	}
	if d.service == 0 {
		d.service = took
	}
	d.service += time.Duration(serviceWeight * float64(took-d.service))
	if d.knee != nil {
		d.knee.Sample(took, d.running)
	}
	if a.Alone {
		return []Action{{Kind: Clear, Key: a.Key, Fingerprint: a.Fingerprint}}
	}
	return nil
}

func (d *Desk) released(a *attempt) {
	d.running--
	if a.Alone {
		d.alone = false
	}
}

// crash ends all that ran. Each fingerprint is reported; one is reported as
// alone only if nothing ran beside it at any time.
func (d *Desk) crash(at time.Duration) []Action {
	d.state = tanagerroad.Down
	var keys []tanagerroad.Key
	for key, a := range d.attempts {
		if a.state == Running {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y tanagerroad.Key) int { return cmp.Compare(x.String(), y.String()) })
	var out []Action
	for _, key := range keys {
		a := d.attempts[key]
		on := Fail
		if a.Once {
			on = Lose // it may have done its work before the crash
		}
		if finding, ok := d.move(at, a, on); !ok {
			out = append(out, finding)
			continue
		}
		d.released(a)
		out = append(out,
			Action{Kind: Report, Key: key, Fingerprint: a.Fingerprint, Alone: a.Alone && !a.crowded},
			Action{Kind: Conclude, Key: key, State: a.state, Reason: "crashed"})
	}
	return append(out, d.flush(at, "the backend server is down")...)
}

func (d *Desk) cancel(at time.Duration, e Event) []Action {
	a, ok := d.attempts[e.Key]
	if !ok || attemptChart.IsFinal(a.state) {
		return nil
	}
	if a.Once && a.state == Running {
		return nil // it cannot be undone; its result is kept for who asks
	}
	wasRunning := a.state == Running
	if finding, ok := d.move(at, a, "cancel"); !ok {
		return []Action{finding}
	}
	if wasRunning {
		d.released(a)
		return []Action{{Kind: Interrupt, Key: a.Key}}
	}
	d.queue = slices.DeleteFunc(d.queue, func(q *attempt) bool { return q == a })
	return []Action{{Kind: TurnAway, Key: a.Key, Reason: "cancelled"}}
}

// question answers whether an attempt ran. "Never started" is said only of an
// attempt bound to this very start of the sidecar, and only after it has been
// fenced off for good.
func (d *Desk) question(at time.Duration, e Event) []Action {
	a, known := d.attempts[e.Key]
	if !known {
		if e.Generation != d.config.Generation {
			return []Action{{Kind: Tell, Key: e.Key, State: Unknown}}
		}
		if !e.Fence {
			return []Action{{Kind: Tell, Key: e.Key, State: New}}
		}
		if d.once >= d.config.KeptOnce {
			return []Action{{Kind: Tell, Key: e.Key, State: Unknown}}
		}
		e.Once = true
		a = &attempt{Event: e, state: attemptChart.Initial, since: at}
		d.remember(a)
	}
	if a.state == New {
		if finding, ok := d.move(at, a, "fence"); !ok {
			return []Action{finding}
		}
	}
	state := a.state
	if state == Fenced || state == NotRun {
		state = NeverStarted
	}
	return []Action{{Kind: Tell, Key: e.Key, State: state}}
}

// forgetOld ends the retention of what is too old, and of the oldest
// repeatable results when too many bytes are kept.
func (d *Desk) forgetOld(at time.Duration) []Action {
	var out []Action
	for len(d.ended) > 0 {
		a := d.attempts[d.ended[0]]
		if at-a.since < d.config.Keep && d.kept <= d.config.KeptBytes {
			break
		}
		d.ended = d.ended[1:]
		out = append(out, d.forget(a))
	}
	for len(d.settled) > 0 {
		a := d.attempts[d.settled[0]]
		if at-a.since < d.config.KeepOnce {
			break
		}
		d.settled = d.settled[1:]
		d.once--
		out = append(out, d.forget(a))
	}
	return out
}

func (d *Desk) forget(a *attempt) Action {
	d.kept -= a.bytes
	delete(d.attempts, a.Key)
	return Action{Kind: Forget, Key: a.Key}
}
