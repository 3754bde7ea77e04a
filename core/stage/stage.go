// Package stage schedules attempts at one backend server's sidecar. It decides
// which attempts are queued, started or rejected, how long results are kept,
// and how to answer queries about whether an attempt ran. It does no I/O;
// package io/backend executes the actions it returns.
package stage

import (
	"cmp"
	_ "embed"
	"slices"
	"time"

	"tanagerroad"
	"tanagerroad/core/chart"
	"tanagerroad/core/limit"
	"tanagerroad/core/quarantine"
)

//go:embed attempt.json
var attemptJSON []byte

var attemptChart = chart.MustParse("attempt.json", attemptJSON)

// States of an attempt, as named in attempt.json.
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

// NeverStarted is the answer to a query about an attempt that has not started
// here and is prevented from ever starting.
const NeverStarted = "never-started"

// OtherGeneration is the reason given for an attempt that is bound to another
// generation (process start) of the sidecar.
const OtherGeneration = "bound to another start of this sidecar"

// Config holds the limits of a scheduler. A repeatable attempt may run more
// than once; a non-repeatable one ("once") must run at most once.
type Config struct {
	Generation       uint64        `json:"generation"` // identifies this start of the sidecar process
	MaxQueued        int           `json:"queue"`      // maximum number of queued attempts
	Retention        time.Duration `json:"keep"`       // retention of a repeatable attempt's result
	OnceRetention    time.Duration `json:"keep-once"`  // retention of a non-repeatable attempt's state and result
	MaxRetainedBytes int           `json:"kept-bytes"` // maximum total size of retained results
	MaxRetainedOnce  int           `json:"kept-once"`  // maximum number of non-repeatable attempts retained
	AdaptiveLimit    bool          `json:"knee"`       // adapt the concurrency limit below the announced capacity
}

// Event kinds.
const (
	Announce    = "announce" // the backend server announced its capacity and state
	Submit      = "submit"   // an entry submitted an attempt
	Finish      = "finish"   // the backend server returned the complete result
	Fail        = "fail"     // the backend server reported a failure
	Refuse      = "refuse"   // the backend server, or the connection's state, shows that the attempt did not run
	LoseContact = "lose"     // contact was lost while the attempt was running
	Crash       = "crash"    // the backend server crashed
	Cancel      = "cancel"   // no caller waits for the attempt any more
	Query       = "question" // an entry asks whether an attempt ran
	Tick        = "tick"     // time passed
	Stop        = "stop"     // the sidecar must shut down
	SetLimit    = "limit"    // the backend server named how many attempts a second it takes
	Retain      = "retain"   // the control instances named how long they keep a settled claim
	Leave       = "leave"    // the backend server said in an answer that it takes no new work
	Pause       = "pause"    // the backend server asked in an answer for no new work for a time
)

// Event is an input to the scheduler. Which fields are set depends on Kind.
type Event struct {
	Kind        string                  `json:"kind"`
	Key         tanagerroad.AttemptKey  `json:"key,omitzero"`
	Deadline    time.Duration           `json:"deadline,omitempty"`    // on the clock of the time passed to Step
	Expected    time.Duration           `json:"expected,omitempty"`    // expected service time
	Once        bool                    `json:"once,omitempty"`        // not repeatable: must run at most once
	Alone       bool                    `json:"alone,omitempty"`       // suspected of crashing servers: nothing else may run at the same time
	Convicted   bool                    `json:"convicted,omitempty"`   // convicted of crashing servers: must not run
	Fingerprint uint64                  `json:"fingerprint,omitempty"` // hash of the request's route and body, for crash reports
	Generation  uint64                  `json:"generation,omitempty"`  // start of the sidecar that the attempt is bound to
	Fence       bool                    `json:"fence,omitempty"`       // with Query: prevent the attempt from ever starting
	Capacity    int                     `json:"capacity,omitempty"`    // announced number of concurrent attempts
	State       tanagerroad.ServerState `json:"state,omitempty"`       // announced state
	Bytes       int                     `json:"bytes,omitempty"`       // size of the result
	PerSecond   float64                 `json:"per-second,omitempty"`  // with SetLimit; 0: any number
	Retention   time.Duration           `json:"retention,omitempty"`   // with Retain
	Start       int                     `json:"start,omitempty"`       // with Announce, Leave and Pause: generation of the backend server
	Pause       time.Duration           `json:"pause,omitempty"`       // with Pause; maxPause counts at most
	LastSeen    time.Duration           `json:"last-seen,omitempty"`   // with Crash: when the backend server was last heard of; 0: now
	Planned     bool                    `json:"planned,omitempty"`     // with Crash: it had said that it leaves
}

// Action kinds.
const (
	Start         = "start"      // send the attempt to the backend server
	Reject        = "turn-away"  // report to the entry that the attempt did not run
	Interrupt     = "interrupt"  // cancel the attempt at the backend server
	AnswerQuery   = "tell"       // answer a query
	Release       = "forget"     // release everything retained for the attempt
	ReportCrash   = "report"     // report a fingerprint that was running at a crash
	ClearSuspect  = "clear"      // report that a suspect ran alone without a crash
	ReportOutcome = "conclude"   // report to the entry that the attempt failed or its outcome is unknown
	Unexpected    = "unexpected" // the state chart has no transition for the event
	Idle          = "idle"       // shutting down and nothing is in flight
	Attached      = "attached"   // the attempt already exists; follow its progress
	Enqueued      = "placed"     // the attempt was queued
)

// Action is an instruction to the sidecar. Which fields are set depends on Kind.
type Action struct {
	Kind        string                 `json:"kind"`
	Key         tanagerroad.AttemptKey `json:"key,omitzero"`
	Reason      string                 `json:"reason,omitempty"`
	RetryAfter  time.Duration          `json:"retry-after,omitempty"` // how long the entry should wait before a retry
	State       string                 `json:"state,omitempty"`       // of the attempt
	Fingerprint uint64                 `json:"fingerprint,omitempty"`
	Alone       bool                   `json:"alone,omitempty"`  // nothing else ran at the same time
	QueueTime   time.Duration          `json:"waited,omitempty"` // time spent in the queue
	Paused      bool                   `json:"paused,omitempty"` // with Reject: only because of a pause; sent again, it waits for the pause's end
}

// attempt is a submitted or fenced attempt and its current state.
type attempt struct {
	Event
	state       string
	stateSince  time.Duration // when the current state was entered
	submittedAt time.Duration // when the attempt was submitted
	waited      time.Duration // time spent in the queue
	resultBytes int
	overlapped  bool // another attempt ran at the same time
}

// Scheduler queues and dispatches the attempts of one sidecar. It is not safe for
// concurrent use.
type Scheduler struct {
	config             Config
	adaptive           *limit.Adaptive
	capacity           int
	state              tanagerroad.ServerState
	stopping           bool
	attempts           map[tanagerroad.AttemptKey]*attempt
	queue              []*attempt // ordered by deadline, earliest first
	running            int
	exclusive          bool                     // the running attempt must run alone
	meanService        time.Duration            // moving average of the service time
	finishedRepeatable []tanagerroad.AttemptKey // repeatable attempts in a final state, oldest first
	finishedOnce       []tanagerroad.AttemptKey // non-repeatable attempts in a final state, oldest first
	retainedBytes      int                      // total size of retained results
	onceCount          int                      // non-repeatable attempts in the attempts map
	rate               limit.Rate               // of starts
	startsPerSecond    float64                  // that rate; 0: unlimited
	start              int                      // generation of the backend server
	left               bool                     // leftStart is set
	leftStart          int                      // generation that has said that it leaves
	pausedUntil        time.Duration            // nothing is started before
}

// maxPause is the longest time for which a backend server may ask for no new work. A
// longer one would be an error, and the server would be idle for as long.
const maxPause = time.Minute

// NewScheduler returns a scheduler whose backend server counts as down until it
// announces itself.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{config: config, state: tanagerroad.Down, attempts: map[tanagerroad.AttemptKey]*attempt{}}
}

// Load returns the sidecar's current load, as reported to entries.
func (s *Scheduler) Load(at time.Duration) tanagerroad.Load {
	return tanagerroad.Load{InFlight: s.running, Queued: len(s.queue), Limit: s.limit(), Latency: s.meanService, Pause: s.pause(at)}
}

// pause returns the time for which nothing is started.
func (s *Scheduler) pause(at time.Duration) time.Duration { return max(0, s.pausedUntil-at) }

// State returns the backend server's state as reported to entries: a serving
// one counts as leaving while the sidecar shuts down.
func (s *Scheduler) State() tanagerroad.ServerState {
	if s.stopping && s.state == tanagerroad.Serving {
		return tanagerroad.Leaving
	}
	return s.state
}

// StateOf returns the state of an attempt, or an empty string if the attempt is
// unknown.
func (s *Scheduler) StateOf(key tanagerroad.AttemptKey) string {
	if a, ok := s.attempts[key]; ok {
		return a.state
	}
	return ""
}

func (s *Scheduler) limit() int {
	if s.adaptive != nil && s.config.AdaptiveLimit {
		return min(s.capacity, s.adaptive.Limit())
	}
	return s.capacity
}

// Step processes one event and returns the resulting actions in order.
func (s *Scheduler) Step(at time.Duration, e Event) []Action {
	var out []Action
	switch e.Kind {
	case Announce:
		out = s.announce(at, e)
	case Submit:
		out = s.submit(at, e)
	case Finish, Fail, LoseContact, Refuse:
		out = s.endAttempt(at, e)
	case Crash:
		out = s.crash(at, e)
	case Cancel:
		out = s.cancel(at, e)
	case Query:
		out = s.query(at, e)
	case SetLimit:
		s.rate.Set(at, e.PerSecond)
		s.startsPerSecond = e.PerSecond
	case Leave:
		out = s.leave(at, e)
	case Pause:
		out = s.recordPause(at, e)
	case Retain:
		s.config.OnceRetention = max(s.config.OnceRetention, e.Retention)
	case Stop:
		s.stopping = true
		out = s.rejectQueued(at, "the sidecar is stopping", 0)
	}
	out = append(out, s.evictExpired(at)...)
	out = append(out, s.startQueued(at)...)
	if s.stopping && s.running == 0 && len(s.queue) == 0 {
		out = append(out, Action{Kind: Idle})
	}
	return out
}

// transition moves the attempt to its next state. If the chart has no
// transition for the event, nothing changes and it returns an Unexpected action
// and false.
func (s *Scheduler) transition(at time.Duration, a *attempt, event string) (Action, bool) {
	next, err := attemptChart.Next(a.state, event)
	if err != nil {
		return Action{Kind: Unexpected, Key: a.Key, Reason: err.Error()}, false
	}
	a.state, a.stateSince = next, at
	if attemptChart.IsFinal(next) && a.Once {
		s.finishedOnce = append(s.finishedOnce, a.Key)
	} else if attemptChart.IsFinal(next) {
		s.finishedRepeatable = append(s.finishedRepeatable, a.Key)
	}
	return Action{}, true
}

func (s *Scheduler) announce(at time.Duration, e Event) []Action {
	if e.Capacity > 0 && e.Capacity != s.capacity {
		s.capacity = e.Capacity
		s.adaptive = limit.NewAdaptive(e.Capacity, e.Capacity)
	}
	s.state, s.start = e.State, e.Start
	if s.left && s.leftStart == e.Start && e.State == tanagerroad.Serving {
		s.state = tanagerroad.Leaving // what it said in an answer outlives its announcements
	}
	if s.state == tanagerroad.Serving {
		return nil
	}
	return s.rejectQueued(at, "the backend server is "+string(s.state), 0)
}

// leave marks the backend server as leaving until its next start.
func (s *Scheduler) leave(at time.Duration, e Event) []Action {
	if e.Start != s.start || s.left && s.leftStart == e.Start {
		return nil
	}
	s.left, s.leftStart = true, e.Start
	if s.state != tanagerroad.Serving {
		return nil
	}
	return s.announce(at, Event{State: tanagerroad.Leaving, Start: e.Start})
}

// recordPause starts nothing until the pause is over. It rejects what is queued: another
// server may be free, and else the attempts come back and wait here.
func (s *Scheduler) recordPause(at time.Duration, e Event) []Action {
	if e.Start != s.start {
		return nil
	}
	s.pausedUntil = max(s.pausedUntil, at+min(e.Pause, maxPause))
	out := s.rejectQueued(at, reasonPaused, s.pause(at))
	for i := range out {
		out[i].Paused = out[i].Kind == Reject
	}
	return out
}

const reasonPaused = "the backend server asks for time"

// rejectQueued rejects all queued attempts and empties the queue. wait is when to retry.
func (s *Scheduler) rejectQueued(at time.Duration, reason string, wait time.Duration) []Action {
	var out []Action
	for _, a := range s.queue {
		out = append(out, s.reject(at, a, reason, wait))
	}
	s.queue = nil
	return out
}

func (s *Scheduler) reject(at time.Duration, a *attempt, reason string, wait time.Duration) Action {
	if unexpected, ok := s.transition(at, a, "turn-away"); !ok {
		return unexpected
	}
	retry := limit.RetryAfter(wait, a.Fingerprint+uint64(a.Key.Attempt))
	return Action{Kind: Reject, Key: a.Key, Reason: reason, RetryAfter: retry}
}

func (s *Scheduler) submit(at time.Duration, e Event) []Action {
	if a, known := s.attempts[e.Key]; known {
		return []Action{{Kind: Attached, Key: e.Key, State: a.state}}
	}
	if e.Once && e.Generation != s.config.Generation {
		// This may be a delayed duplicate of an attempt that an earlier
		// generation of this sidecar already ran. It must neither run again
		// nor be reported as not run.
		return []Action{{Kind: ReportOutcome, Key: e.Key, State: Unknown, Reason: OtherGeneration}}
	}
	a := &attempt{Event: e, state: attemptChart.Initial, stateSince: at, submittedAt: at}
	if reason, wait := s.rejectReason(at, e); reason != "" {
		// Retain a rejected non-repeatable attempt, so that a delayed
		// duplicate finds it already rejected and does not run.
		s.add(a)
		return []Action{s.reject(at, a, reason, wait)}
	}
	s.add(a)
	if unexpected, ok := s.transition(at, a, "submit"); !ok {
		return []Action{unexpected}
	}
	i, _ := slices.BinarySearchFunc(s.queue, a, func(x, y *attempt) int {
		if x.Deadline <= y.Deadline {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, i, a)
	return []Action{{Kind: Enqueued, Key: e.Key}}
}

func (s *Scheduler) add(a *attempt) {
	s.attempts[a.Key] = a
	if a.Once {
		s.onceCount++
	}
}

// rejectReason returns why an attempt must be rejected and the expected queue
// wait. An empty reason means that the attempt can be accepted.
func (s *Scheduler) rejectReason(at time.Duration, e Event) (reason string, wait time.Duration) {
	wait = s.expectedWait(at)
	switch {
	case s.stopping:
		return "the sidecar is stopping", 0
	case s.state != tanagerroad.Serving:
		return "the backend server is " + string(s.state), 0
	case e.Convicted:
		return "quarantined: it crashes backend servers", wait
	case e.Once && s.onceCount >= s.config.MaxRetainedOnce:
		return "as many not-repeatable attempts are remembered as may be", wait
	case len(s.queue) >= s.config.MaxQueued:
		return "the queue is full", wait
	case at+wait+e.Expected > e.Deadline:
		return "the deadline cannot be met", wait
	}
	return "", 0
}

// expectedWait estimates how long a new attempt would wait for a slot.
func (s *Scheduler) expectedWait(at time.Duration) time.Duration {
	var wait time.Duration
	if slots := max(1, s.limit()); s.running >= slots {
		wait = s.meanService * time.Duration(len(s.queue)+1) / time.Duration(slots)
	}
	if s.startsPerSecond > 0 {
		queued := time.Duration(float64(len(s.queue)) / s.startsPerSecond * float64(time.Second))
		wait = max(wait, s.rate.Wait(at)+queued)
	}
	return max(wait, s.pause(at))
}

// startQueued starts queued attempts while the concurrency limit allows, earliest
// deadline first, and rejects those that can no longer meet their deadline.
func (s *Scheduler) startQueued(at time.Duration) []Action {
	var out []Action
	for len(s.queue) > 0 && s.running < s.limit() && !s.exclusive && s.rate.Wait(at) == 0 && s.pause(at) == 0 {
		a := s.queue[0]
		if a.Alone && s.running > 0 {
			break // wait until nothing runs; later attempts must not overtake it
		}
		s.queue = s.queue[1:]
		if at+a.Expected > a.Deadline {
			out = append(out, s.reject(at, a, "the deadline cannot be met", s.expectedWait(at)))
			continue
		}
		if unexpected, ok := s.transition(at, a, "start"); !ok {
			out = append(out, unexpected)
			continue
		}
		s.running++
		s.rate.Take()
		s.exclusive = a.Alone
		a.waited = at - a.submittedAt
		s.markOverlapped()
		out = append(out, Action{Kind: Start, Key: a.Key, QueueTime: a.waited})
	}
	return out
}

// markOverlapped marks all running attempts if more than one is running.
func (s *Scheduler) markOverlapped() {
	if s.running < 2 {
		return
	}
	for _, a := range s.attempts {
		if a.state == Running {
			a.overlapped = true
		}
	}
}

// serviceWeight is the weight of a new sample in the moving average of service
// times.
const serviceWeight = 0.1

// endAttempt moves a running attempt to its final state, frees its slot and, if
// it finished, updates the mean service time and the concurrency limit.
func (s *Scheduler) endAttempt(at time.Duration, e Event) []Action {
	a, ok := s.attempts[e.Key]
	if !ok {
		return []Action{{Kind: Unexpected, Key: e.Key, Reason: e.Kind + " of an attempt that is not known"}}
	}
	latency := at - a.stateSince
	if unexpected, ok := s.transition(at, a, e.Kind); !ok {
		return []Action{unexpected}
	}
	s.freeSlot(a)
	a.resultBytes = e.Bytes
	s.retainedBytes += e.Bytes
	if e.Kind == Refuse {
		retry := limit.RetryAfter(max(s.meanService, s.pause(at)), a.Fingerprint+uint64(a.Key.Attempt))
		return []Action{{Kind: Reject, Key: a.Key, Reason: "the backend server refused it", RetryAfter: retry, Paused: s.pause(at) > 0}}
	}
	if e.Kind != Finish {
		return []Action{{Kind: ReportOutcome, Key: a.Key, State: a.state}}
	}
	if s.meanService == 0 {
		s.meanService = latency
	}
	s.meanService += time.Duration(serviceWeight * float64(latency-s.meanService))
	if s.adaptive != nil {
		s.adaptive.Observe(latency, s.running)
	}
	if a.Alone {
		return []Action{{Kind: ClearSuspect, Key: a.Key, Fingerprint: a.Fingerprint}}
	}
	return nil
}

func (s *Scheduler) freeSlot(a *attempt) {
	s.running--
	if a.Alone {
		s.exclusive = false
	}
}

// crash ends all running attempts and reports the fingerprint of each, or of those that
// have just completed if none runs. A fingerprint is reported as alone only if the attempt was required to run alone
// and nothing else ran at any time during it.
func (s *Scheduler) crash(at time.Duration, e Event) []Action {
	lastSeen := cmp.Or(e.LastSeen, at)
	s.state, s.pausedUntil = tanagerroad.Down, 0
	var keys, ended []tanagerroad.AttemptKey
	for key, a := range s.attempts {
		switch {
		case a.state == Running:
			keys = append(keys, key)
		case a.state == Done && !e.Planned && lastSeen-a.stateSince < quarantine.SurvivalTime:
			ended = append(ended, key)
		}
	}
	byKey := func(x, y tanagerroad.AttemptKey) int { return cmp.Compare(x.String(), y.String()) }
	slices.SortFunc(keys, byKey)
	slices.SortFunc(ended, byKey)
	var out []Action
	for _, key := range keys {
		a := s.attempts[key]
		event := Fail
		if a.Once {
			event = LoseContact // the attempt may have taken effect before the crash
		}
		if unexpected, ok := s.transition(at, a, event); !ok {
			out = append(out, unexpected)
			continue
		}
		s.freeSlot(a)
		out = append(out,
			Action{Kind: ReportCrash, Key: key, Fingerprint: a.Fingerprint, Alone: a.Alone && !a.overlapped},
			Action{Kind: ReportOutcome, Key: key, State: a.state, Reason: "crashed"})
	}
	if len(keys) > 0 {
		ended = nil // what runs is more likely to be the cause
	}
	for _, key := range ended {
		a := s.attempts[key]
		out = append(out, Action{Kind: ReportCrash, Key: key, Fingerprint: a.Fingerprint, Alone: a.Alone && !a.overlapped && len(ended) == 1})
	}
	return append(out, s.rejectQueued(at, "the backend server is down", 0)...)
}

func (s *Scheduler) cancel(at time.Duration, e Event) []Action {
	a, ok := s.attempts[e.Key]
	if !ok || attemptChart.IsFinal(a.state) {
		return nil
	}
	if a.Once && a.state == Running {
		return nil // it cannot be undone; keep its result for later queries
	}
	wasRunning := a.state == Running
	if unexpected, ok := s.transition(at, a, "cancel"); !ok {
		return []Action{unexpected}
	}
	if wasRunning {
		s.freeSlot(a)
		return []Action{{Kind: Interrupt, Key: a.Key}}
	}
	s.queue = slices.DeleteFunc(s.queue, func(q *attempt) bool { return q == a })
	return []Action{{Kind: Reject, Key: a.Key, Reason: "cancelled"}}
}

// query answers whether an attempt ran. It answers NeverStarted only for an
// attempt that was rejected or permanently fenced here; an unknown attempt is
// fenced only if it is bound to this generation of the sidecar.
func (s *Scheduler) query(at time.Duration, e Event) []Action {
	a, known := s.attempts[e.Key]
	if !known {
		if e.Generation != s.config.Generation {
			return []Action{{Kind: AnswerQuery, Key: e.Key, State: Unknown}}
		}
		if !e.Fence {
			return []Action{{Kind: AnswerQuery, Key: e.Key, State: New}}
		}
		if s.onceCount >= s.config.MaxRetainedOnce {
			return []Action{{Kind: AnswerQuery, Key: e.Key, State: Unknown}}
		}
		e.Once = true
		a = &attempt{Event: e, state: attemptChart.Initial, stateSince: at}
		s.add(a)
	}
	if a.state == New {
		if unexpected, ok := s.transition(at, a, "fence"); !ok {
			return []Action{unexpected}
		}
	}
	state := a.state
	if state == Fenced || state == NotRun {
		state = NeverStarted
	}
	return []Action{{Kind: AnswerQuery, Key: e.Key, State: state}}
}

// evictExpired evicts attempts whose retention has expired, and the oldest
// repeatable results while the total size of results exceeds its limit.
func (s *Scheduler) evictExpired(at time.Duration) []Action {
	var out []Action
	for len(s.finishedRepeatable) > 0 {
		a := s.attempts[s.finishedRepeatable[0]]
		if at-a.stateSince < s.config.Retention && s.retainedBytes <= s.config.MaxRetainedBytes {
			break
		}
		s.finishedRepeatable = s.finishedRepeatable[1:]
		out = append(out, s.evict(a))
	}
	for len(s.finishedOnce) > 0 {
		a := s.attempts[s.finishedOnce[0]]
		if at-a.stateSince < s.config.OnceRetention {
			break
		}
		s.finishedOnce = s.finishedOnce[1:]
		s.onceCount--
		out = append(out, s.evict(a))
	}
	return out
}

func (s *Scheduler) evict(a *attempt) Action {
	s.retainedBytes -= a.resultBytes
	delete(s.attempts, a.Key)
	return Action{Kind: Release, Key: a.Key}
}
