// Package request decides the life of one request at the entry that owns it,
// from its admission to exactly one final answer. A Machine takes events and
// returns actions; it knows no clock, socket or other request, so that a
// recorded trace of its events replays to the same actions.
//
// The machine speaks of calls: the entry's side of an attempt that runs at
// a sidecar.
package request

import (
	_ "embed"
	"time"

	"tanagerroad"
	"tanagerroad/core/chart"
	"tanagerroad/core/table"
)

//go:embed request.json
var requestJSON []byte

//go:embed call.json
var callJSON []byte

var (
	requestChart = chart.MustParse("request.json", requestJSON)
	callChart    = chart.MustParse("call.json", callJSON)
)

// States of a request and of a call that the code asks for, as the charts name
// them.
const (
	staging   = "staging"   // a stage is picked, run or waited for
	claiming  = "claiming"  // the quorum is asked for the claim
	settling  = "settling"  // the quorum is asked to keep the answer
	releasing = "releasing" // the quorum is asked to take the claim back

	callRunning    = "running"
	callAsking     = "asking" // contact was lost; its fate is asked
	callEnded      = "ended"
	callTurnedAway = "turned-away"
)

// Config is a request as the entry admitted it.
type Config struct {
	ID          string          `json:"id"`        // the caller's; claims go by it
	Execution   string          `json:"execution"` // unique in the system; keys of calls go by it
	Workspace   string          `json:"workspace"`
	Route       table.Route     `json:"route"`
	Body        []byte          `json:"body"`
	Fingerprint uint64          `json:"fingerprint"` // of route and body
	Deadline    time.Duration   `json:"deadline"`    // when, not how long
	Once        bool            `json:"once"`        // not repeatable
	Resend      bool            `json:"resend"`      // the caller says that it sent this id before
	Alone       bool            `json:"alone"`       // a suspect: runs with nothing beside it
	Expected    []time.Duration `json:"expected"`    // learned time of each stage
}

// Event kinds.
const (
	Start      = "start"
	Picked     = "picked"      // a server was chosen
	NoPick     = "no-pick"     // none could be
	Granted    = "granted"     // the quorum bound the claim to the call
	Held       = "held"        // the claim is bound elsewhere, or settled
	Denied     = "denied"      // the claim was refused and nothing is bound
	Data       = "data"        // bytes of a result
	End        = "end"         // a result is whole
	TurnedAway = "turned-away" // the sidecar says that it did not run
	Fail       = "fail"        // it ran and failed
	Lost       = "lost"        // the stream broke or went silent
	Told       = "told"        // a sidecar answered a question
	Settled    = "settled"     // the quorum keeps the answer, or could not be reached in time
	Timer      = "timer"
	Gone       = "gone" // the caller went away
)

// Reference is a result that stays at its sidecar.
type Reference struct {
	Key     tanagerroad.Key `json:"key"`
	Address string          `json:"address"`
	Length  uint64          `json:"length"`
	Digest  uint64          `json:"digest"`
	Region  string          `json:"region"`
}

// Event is something that happened to the request.
type Event struct {
	Kind       string            `json:"kind"`
	Key        tanagerroad.Key   `json:"key,omitzero"`
	Server     string            `json:"server,omitempty"`
	Address    string            `json:"address,omitempty"`
	Generation uint64            `json:"generation,omitempty"`
	HedgeAfter time.Duration     `json:"hedge-after,omitempty"` // with picked; 0: no hedge
	Offset     uint64            `json:"offset,omitempty"`
	Bytes      []byte            `json:"bytes,omitempty"`
	Length     uint64            `json:"length,omitempty"`
	Digest     uint64            `json:"digest,omitempty"`
	Kept       *Reference        `json:"kept,omitempty"`
	Reason     string            `json:"reason,omitempty"`
	RetryAfter time.Duration     `json:"retry-after,omitempty"`
	Unknown    bool              `json:"unknown,omitempty"` // with fail: it may have run
	Crashed    bool              `json:"crashed,omitempty"` // with fail: the backend server died
	InputGone  bool              `json:"input-gone,omitempty"`
	State      string            `json:"state,omitempty"`  // with told and held
	Name       string            `json:"name,omitempty"`   // of a timer
	Load       *tanagerroad.Load `json:"load,omitempty"`   // of the sidecar that answered
	Waited     time.Duration     `json:"waited,omitempty"` // with end: in the sidecar\'s queue
}

// Action kinds.
const (
	Pick       = "pick"
	Claim      = "claim"
	Rebind     = "rebind"
	Run        = "run"
	Fetch      = "fetch" // attach to a call that the sidecar knows
	Question   = "question"
	Cancel     = "cancel"
	Settle     = "settle"
	Deliver    = "deliver" // bytes to the caller, in order
	Finish     = "finish"
	SetTimer   = "set-timer"
	Learn      = "learn" // a call ended; tell the picker
	Stray      = "stray" // a part was dropped
	Unexpected = "unexpected"
)

// Action is what the entry must do.
type Action struct {
	Kind       string              `json:"kind"`
	Key        tanagerroad.Key     `json:"key,omitzero"`
	Bound      tanagerroad.Key     `json:"bound,omitzero"` // with rebind: what the claim was bound to
	Server     string              `json:"server,omitempty"`
	Address    string              `json:"address,omitempty"`
	Generation uint64              `json:"generation,omitempty"`
	Extra      bool                `json:"extra,omitempty"` // with pick: a retry or a hedge, from the budget
	Exclude    []string            `json:"exclude,omitempty"`
	Input      []byte              `json:"input,omitempty"`
	Reference  *Reference          `json:"reference,omitempty"`
	From       uint64              `json:"from,omitempty"`
	Fence      bool                `json:"fence,omitempty"`
	Bytes      []byte              `json:"bytes,omitempty"`
	State      string              `json:"state,omitempty"`
	Reason     string              `json:"reason,omitempty"`
	Answer     *tanagerroad.Answer `json:"answer,omitempty"`
	Name       string              `json:"name,omitempty"`
	At         time.Duration       `json:"at,omitempty"`
	OK         bool                `json:"ok,omitempty"`
	Refused    bool                `json:"refused,omitempty"`
	Alone      bool                `json:"alone,omitempty"`
	Load       *tanagerroad.Load   `json:"load,omitempty"`   // with learn
	Size       int                 `json:"size,omitempty"`   // with learn: bytes of the result
	Waited     time.Duration       `json:"waited,omitempty"` // with learn: in the sidecar's queue
}

// Bounds of a request's patience.
const (
	maxTurnedAway   = 4                      // refusals of one stage before it is given up
	maxTries        = 3                      // runs of one stage
	askAgain        = 100 * time.Millisecond // between questions to a sidecar that does not answer
	maxQuestions    = 8                      // before the answer is unknown
	fenceAfter      = 300 * time.Millisecond // how long a bound call may take to reach its sidecar
	settlePatience  = 2 * time.Second        // how long a finished booking waits for the quorum
	releasePatience = 500 * time.Millisecond // how long one given up waits for it
)

// call is the entry's side of one attempt.
type call struct {
	key        tanagerroad.Key
	server     string
	address    string
	generation uint64
	state      string
	data       []byte
	questions  int
	reported   bool // the picker heard of its end
	sent       bool // it went out to its sidecar
	hedgeAfter time.Duration
	load       *tanagerroad.Load
	kept       *Reference
	waited     time.Duration
	ending     *Event // an end that came before its data
}

// Machine is one request's life.
type Machine struct {
	config Config
	state  string

	stage     int
	input     []byte
	reference *Reference
	noInput   bool // this entry does not hold the present stage's input
	calls     map[tanagerroad.Key]*call
	order     []tanagerroad.Key // of calls, oldest first
	attempts  []int             // highest attempt number used, by stage
	tries     int               // runs of the present stage
	refusals  int               // of the present stage
	exclude   []string
	retry     time.Duration // soonest that a refusing sidecar asked for
	ran       bool          // something may have run
	alone     bool
	bound     *tanagerroad.Key // what the claim is bound to
	delivered []byte
	answer    *tanagerroad.Answer // while settling or releasing
	pending   tanagerroad.Key     // call that waits for the quorum
	out       []Action
}

// New returns a machine that waits for its start event.
func New(config Config) *Machine {
	return &Machine{
		config:   config,
		state:    requestChart.Initial,
		calls:    map[tanagerroad.Key]*call{},
		attempts: make([]int, len(config.Route.Stages)),
		input:    config.Body,
		alone:    config.Alone,
	}
}

// State is the request's state, as the chart names it.
func (m *Machine) State() string { return m.state }

// Ended reports whether the final answer was given.
func (m *Machine) Ended() bool { return requestChart.IsFinal(m.state) }

// Step takes one event and returns what must be done, in order.
func (m *Machine) Step(at time.Duration, e Event) []Action {
	m.out = nil
	if m.Ended() {
		m.stray(e, "the request has ended")
		return m.out
	}
	switch e.Kind {
	case Start:
		m.start(at)
	case Picked:
		m.picked(at, e)
	case NoPick:
		m.noPick(at, e)
	case Granted:
		m.granted(at, e)
	case Held:
		m.held(e)
	case Denied:
		m.denied(at, e)
	case Data:
		m.data(at, e)
	case End:
		m.end(at, e)
	case TurnedAway:
		m.turnedAway(at, e)
	case Fail:
		m.fail(at, e)
	case Lost:
		m.lost(at, e)
	case Told:
		m.told(at, e)
	case Settled:
		m.settled(e)
	case Timer:
		m.timer(at, e)
	case Gone:
		m.callerGone(at)
	default:
		m.stray(e, "an unknown event")
	}
	return m.out
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) stray(e Event, why string) {
	if e.Kind == Timer || e.Kind == Gone {
		return // nothing was dropped that anybody waits for
	}
	m.do(Action{Kind: Stray, Key: e.Key, Reason: e.Kind + ": " + why})
}

// move follows the request's chart and reports whether there was an arrow.
func (m *Machine) move(on string) bool {
	next, err := requestChart.Next(m.state, on)
	if err != nil {
		m.do(Action{Kind: Unexpected, Reason: err.Error()})
		return false
	}
	m.state = next
	return true
}

// turn follows the call's chart.
func (m *Machine) turn(c *call, on string) bool {
	next, err := callChart.Next(c.state, on)
	if err != nil {
		m.do(Action{Kind: Unexpected, Key: c.key, Reason: err.Error()})
		return false
	}
	c.state = next
	return true
}

func (m *Machine) start(at time.Duration) {
	if !m.move("start") {
		return
	}
	m.do(Action{Kind: SetTimer, Name: "deadline", At: m.config.Deadline})
	m.pick(at, false)
}

// pick asks for a server for a new call of the present stage.
func (m *Machine) pick(at time.Duration, extra bool) {
	if m.noInput {
		m.ran = true
		m.giveUp(at, "the entry that ran the stages before was lost with their results")
		return
	}
	if at+m.remaining() > m.config.Deadline {
		m.giveUp(at, "the deadline cannot be met")
		return
	}
	m.attempts[m.stage]++
	key := tanagerroad.Key{Request: m.config.Execution, Stage: m.stage, Attempt: m.attempts[m.stage]}
	m.add(&call{key: key, state: callChart.Initial})
	m.do(Action{Kind: Pick, Key: key, Extra: extra, Exclude: m.exclude})
}

func (m *Machine) add(c *call) {
	m.calls[c.key] = c
	m.order = append(m.order, c.key)
}

// remaining is the learned time of the stages that are left.
func (m *Machine) remaining() time.Duration {
	var sum time.Duration
	for i := m.stage; i < len(m.config.Expected); i++ {
		sum += m.config.Expected[i]
	}
	return sum
}

func (m *Machine) picked(at time.Duration, e Event) {
	c, ok := m.calls[e.Key]
	if !ok || c.state != callChart.Initial {
		m.stray(e, "no such pick")
		return
	}
	c.server, c.address, c.generation, c.hedgeAfter = e.Server, e.Address, e.Generation, e.HedgeAfter
	m.turn(c, "pick")
	if !m.config.Once {
		m.run(at, c)
		return
	}
	if !m.move("claim") {
		return
	}
	m.pending = c.key
	bind := Action{Kind: Claim, Key: c.key, Server: c.server, Address: c.address, Generation: c.generation}
	if m.bound != nil {
		bind.Kind, bind.Bound = Rebind, *m.bound
	}
	m.do(bind)
}

func (m *Machine) noPick(at time.Duration, e Event) {
	c, ok := m.calls[e.Key]
	if !ok || c.state != callChart.Initial {
		m.stray(e, "no such pick")
		return
	}
	m.turn(c, "drop")
	if m.active() > 0 {
		return // a hedge that was not granted; the first call goes on
	}
	if e.RetryAfter > 0 {
		m.noteRetry(e.RetryAfter)
	}
	m.giveUp(at, e.Reason)
}

// active counts the calls of the present stage that may still bring a result.
func (m *Machine) active() int {
	n := 0
	for _, c := range m.calls {
		if c.key.Stage == m.stage && !callChart.IsFinal(c.state) {
			n++
		}
	}
	return n
}

func (m *Machine) run(at time.Duration, c *call) {
	if !m.turn(c, "run") {
		return
	}
	m.ran, c.sent = true, true
	m.tries++
	m.do(Action{
		Kind: Run, Key: c.key, Server: c.server, Address: c.address, Generation: c.generation,
		Input: m.input, Reference: m.reference, Alone: m.alone,
	})
	if c.hedgeAfter > 0 {
		m.do(Action{Kind: SetTimer, Name: "hedge", Key: c.key, At: at + c.hedgeAfter})
	}
}

func (m *Machine) dropCall(c *call) {
	if c == nil || callChart.IsFinal(c.state) {
		return
	}
	picked := c.state != callChart.Initial
	m.turn(c, "drop")
	if picked {
		m.learn(c, false, true)
	}
}

func (m *Machine) dropOthers(winner *call) {
	for _, key := range m.liveKeys() {
		c := m.calls[key]
		if c == winner {
			continue
		}
		m.dropCall(c)
		if c.sent {
			m.do(Action{Kind: Cancel, Key: key, Address: c.address})
		}
	}
}

// liveKeys lists calls that may still bring something, in order.
func (m *Machine) liveKeys() []tanagerroad.Key {
	var keys []tanagerroad.Key
	for _, key := range m.order {
		if !callChart.IsFinal(m.calls[key].state) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (m *Machine) enterStage(stage int) {
	m.stage = stage
	m.tries, m.refusals, m.exclude = 0, 0, nil
}

func (m *Machine) learn(c *call, ok, refused bool) {
	if c.reported {
		return
	}
	c.reported = true
	m.do(Action{
		Kind: Learn, Key: c.key, Server: c.server, OK: ok, Refused: refused,
		Load: c.load, Reference: c.kept, Size: len(c.data), Waited: c.waited,
	})
}

func (m *Machine) noteRetry(after time.Duration) {
	if after > 0 && (m.retry == 0 || after < m.retry) {
		m.retry = after
	}
}

func (m *Machine) timer(at time.Duration, e Event) {
	switch e.Name {
	case "deadline":
		m.deadline(at)
	case "settle":
		m.settled(e)
	case "ask", "fence":
		if c, ok := m.calls[e.Key]; ok && c.state == callAsking {
			m.askOrUnknown(at, c, e.Name == "fence")
		}
	case "hedge":
		m.hedge(at, e.Key)
	}
}

// hedge runs a second call beside one that is slow to answer.
func (m *Machine) hedge(at time.Duration, key tanagerroad.Key) {
	c, ok := m.calls[key]
	if !ok || key.Stage != m.stage || c.state != callRunning || len(c.data) > 0 || m.active() > 1 || m.config.Once || m.alone {
		return
	}
	if at+m.remaining() > m.config.Deadline {
		return
	}
	m.exclude = append(m.exclude, c.server)
	m.pick(at, true)
}

// deadline: no more waiting. What may still run is told the truth about.
func (m *Machine) deadline(at time.Duration) {
	if m.state == settling || m.state == releasing {
		return // their own timer ends them
	}
	if m.config.Once && m.ran {
		m.finish(tanagerroad.Answer{Kind: tanagerroad.Unknown, Reason: "the deadline passed while it ran"})
		return
	}
	m.giveUp(at, "the deadline passed")
}

// giveUp ends the request without its answer, at once and truthfully.
func (m *Machine) giveUp(at time.Duration, reason string) {
	answer := tanagerroad.Answer{Kind: tanagerroad.NotRun, Reason: reason, RetryAfter: m.retryAfter()}
	if m.ran {
		answer.Kind = tanagerroad.Failed
	}
	switch {
	case !m.config.Once:
	case m.state == staging && m.bound != nil:
		m.release(at, answer)
		return
	case m.bound != nil || m.config.Resend:
		// Another sending of it may run, or have run; only the claim could
		// tell, and the quorum has not been heard.
		answer.Kind = tanagerroad.Unknown
	}
	m.finish(answer)
}

// leastRetryAfter is told to callers when no sidecar named a time.
const leastRetryAfter = 500 * time.Millisecond

func (m *Machine) retryAfter() time.Duration { return max(m.retry, leastRetryAfter) }

func (m *Machine) finish(answer tanagerroad.Answer) {
	if !m.move(string(answer.Kind)) {
		return
	}
	if !m.config.Once {
		m.dropOthers(nil)
	}
	m.do(Action{Kind: Finish, Answer: &answer})
}

// callerGone: nobody waits any more. A not-repeatable call that may run is
// followed to its end, so that a resend finds the answer.
func (m *Machine) callerGone(at time.Duration) {
	if m.config.Once && (m.ran || m.state == releasing) {
		return
	}
	m.giveUp(at, "the caller went away")
}
