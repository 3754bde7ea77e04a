// Package batch decides how the pieces of stages wait, and which backend
// server makes which of them in one call. A call costs much the same whatever
// it holds, so that half-empty calls from many places would saturate a pool at
// a small part of its capacity: one owner gathers the pieces of a pool over all
// requests. It answers bursts of staged requests, where pieces come faster than
// calls end: pieces that can still make their aim go first, by the time that is
// left to them, and a job that cannot be done by its deadline is refused at
// once.
package batch

import (
	"cmp"
	"slices"
	"time"

	"tanagerroad"
)

const (
	// hopTime is what passes between a call's end and the next one's start.
	hopTime = 20 * time.Millisecond
	// speedWeight is the newest call's part in the mean of a server's speed.
	speedWeight = 0.3
	// ejectTime is how long a backend server that failed a call gets none.
	ejectTime = 700 * time.Millisecond
	// slowFactor is how much slower than its pool a backend server may be
	// before it is given work only when no other is idle.
	slowFactor = 2.5
	// sizeMargin covers results that are larger than their stage's usual size,
	// and those that are given up but not yet freed.
	sizeMargin = 1.1
	// fullPause is how long a backend server without room gets no results to
	// keep.
	fullPause = 500 * time.Millisecond
	// largePull is the number of bytes from which a job is worth waiting for a
	// backend server in its zone; deferMost is for how long, and deferSpare
	// what must be left to spare.
	largePull  = 200 << 10
	deferMost  = 250 * time.Millisecond
	deferSpare = 150 * time.Millisecond
	// zoneBonus is how much earlier a job is taken in its zone, and largeBonus
	// one that pulls much.
	zoneBonus  = 100 * time.Millisecond
	largeBonus = 600 * time.Millisecond
	// lateSetback is how much longer a job waits that is late for its aim.
	lateSetback = 3 * time.Second
	// priorityStep is how much a job of one priority may wait longer than one
	// of the next.
	priorityStep = 150 * time.Millisecond
	// overdueFactor and overdueSlack bound a call's length by what it is expected
	// to take, before its pieces are made elsewhere too.
	overdueFactor = 2
	overdueSlack  = 400 * time.Millisecond
	// promptFactor is how much longer than usual a call may take without the
	// suspicion that it stood behind another owner's.
	promptFactor = 1.3
	// triesMost is how often a piece is tried before its job fails.
	triesMost = 4
)

// Job is the pieces of one stage of one request.
type Job struct {
	ID       string // unique to the owner
	Request  string
	Stage    int
	Pieces   []int
	Key      string
	Inputs   []string
	Deadline time.Duration // of the request
	Due      time.Duration // until then it is in time for the request's aim
	Priority int
	Bytes    int    // of one result
	Zone     string // in which it should be made; empty: any
	Pull     int    // bytes that cross zones if it is made elsewhere
	LastUse  bool   // nothing else takes the inputs
}

// size is the room that a result is counted with.
func (j *Job) size() int64 { return int64(sizeMargin * float64(j.Bytes)) }

// Piece is one piece of a job.
type Piece struct {
	Job   *Job
	Piece int
	tries int
	done  bool // its result is there
}

// Call is one call to a backend server.
type Call struct {
	Server   tanagerroad.Announcement
	Pieces   []*Piece
	Started  time.Duration
	Expected time.Duration // its length
	Waiting  int           // pieces left waiting
	Prompt   bool          // the backend server began on the call before at once
	expected float64       // work of the call at the pool's usual speed

	abandoned, ended bool
}

// Made is the end of one piece.
type Made struct {
	Job    *Job
	Piece  int
	Handle string // empty: not made, and Reason says why
	Reason string
	Zone   string
	Extra  bool // the piece had been made before
}

// Reasons beside those of backend servers.
const (
	Lapsed   = "deadline passed"
	NoServer = "no backend server"
)

// Pool is the waiting pieces and the backend servers of one pool.
type Pool struct {
	traits  tanagerroad.PieceTraits
	workers map[string]*worker
	queue   []*Piece
	jobs    map[string]*Job
	speed   float64 // mean of the pool
	sent    time.Duration
}

// New returns a pool without backend servers.
func New(traits tanagerroad.PieceTraits) *Pool {
	return &Pool{traits: traits, workers: map[string]*worker{}, jobs: map[string]*Job{}, speed: 1}
}

// Retrait replaces the traits, which a configuration may change.
func (p *Pool) Retrait(traits tanagerroad.PieceTraits) { p.traits = traits }

// Update replaces the backend servers.
func (p *Pool) Update(at time.Duration, servers []tanagerroad.Announcement) {
	next := map[string]*worker{}
	for _, a := range servers {
		w, ok := p.workers[a.ID]
		if !ok || w.Born != a.Born || w.Address != a.Address {
			w = &worker{speed: 1, results: map[string]result{}, idleFrom: at}
		}
		w.Announcement = a
		next[a.ID] = w
	}
	p.workers = next
}

// Waiting is the number of pieces that wait.
func (p *Pool) Waiting() int { return len(p.queue) }

// Usual is the length of a call that is half full.
func (p *Pool) Usual() time.Duration {
	return time.Duration(float64(p.traits.Call+time.Duration(p.traits.Batch/2)*p.traits.Item) * p.speed)
}

// Capacity is the pieces that the pool makes in a second with full calls.
func (p *Pool) Capacity() float64 {
	full := p.traits.Call + time.Duration(p.traits.Batch)*p.traits.Item
	return float64(len(p.workers)) * float64(p.traits.Batch) / (full.Seconds() * max(p.speed, 0.1))
}

// Predict is when a job of so many pieces that is due then would be made: what
// goes before it, at the pool's full speed, and its own call.
func (p *Pool) Predict(at time.Duration, pieces int, due time.Duration, priority int) time.Duration {
	before, own := 0, (&Job{Due: due, Priority: priority}).turn(at, "")
	for _, q := range p.queue {
		if q.Job.turn(at, "") < own {
			before++
		}
	}
	wait := time.Duration(0)
	if c := p.Capacity(); c > 0 {
		wait = time.Duration(float64(before) / c * float64(time.Second))
	}
	free := time.Duration(-1)
	for _, w := range p.workers {
		if left := max(0, w.freeAt-at); free < 0 || left < free {
			free = left
		}
	}
	call := time.Duration(float64(p.traits.Call+time.Duration(min(pieces, p.traits.Batch))*p.traits.Item) * p.speed)
	return at + max(free, 0) + wait + call
}

// Add takes a job in. It reports false, and when there may be room again, for
// one that cannot be made by its deadline.
func (p *Pool) Add(at time.Duration, job *Job) (ok bool, retry time.Duration) {
	if len(p.workers) > 0 {
		if end := p.Predict(at, len(job.Pieces), job.Due, job.Priority); end > job.Deadline {
			return false, end - job.Deadline
		}
	}
	p.jobs[job.ID] = job
	for _, n := range job.Pieces {
		p.queue = append(p.queue, &Piece{Job: job, Piece: n})
	}
	return true, 0
}

// Cancel forgets a job; pieces in a call are made all the same.
func (p *Pool) Cancel(id string) {
	delete(p.jobs, id)
	p.queue = slices.DeleteFunc(p.queue, func(q *Piece) bool { return q.Job.ID == id })
}

// turn is a job's place in the order for a zone: less urgent ones, and those that
// should be made in another zone, are set back a little; those that are late for
// their aim by more, but not for ever.
func (j *Job) turn(at time.Duration, zone string) time.Duration {
	turn := j.Due + time.Duration(j.Priority)*priorityStep
	if j.Zone != "" && zone != "" && j.Zone != zone {
		turn += zoneBonus
		if j.Pull >= largePull {
			turn += largeBonus - zoneBonus
		}
	}
	if j.Due < at {
		turn += lateSetback
	}
	return turn
}

// Lapse drops what has passed its deadline.
func (p *Pool) Lapse(at time.Duration) []Made {
	var out []Made
	p.queue = slices.DeleteFunc(p.queue, func(q *Piece) bool {
		if q.Job.Deadline > at {
			return false
		}
		out = append(out, Made{Job: q.Job, Piece: q.Piece, Reason: Lapsed})
		return true
	})
	return out
}

// Next is the next call that should be made now; false when there is none.
func (p *Pool) Next(at time.Duration) (*Call, bool) {
	if len(p.queue) == 0 || at < p.nextStart(at) {
		return nil, false
	}
	for _, w := range p.idle(at) {
		if call := p.fill(at, w); call != nil {
			p.sent = at
			return call, true
		}
	}
	return nil, false
}

// nextStart is when the next call may start. Calls are spaced over the length of
// one, the more so the fewer backend servers are idle: otherwise those that
// become idle together take one piece each and are all at work when the next
// pieces come. A full call need not wait.
func (p *Pool) nextStart(at time.Duration) time.Duration {
	if len(p.queue) >= p.traits.Batch || len(p.workers) == 0 {
		return at
	}
	busy := 0
	for _, w := range p.workers {
		if w.calls > 0 {
			busy++
		}
	}
	n := len(p.workers)
	return p.sent + p.Usual()*time.Duration(busy)/time.Duration(n*n)
}

// fill takes the pieces for a call to w; nil when none fits.
func (p *Pool) fill(at time.Duration, w *worker) *Call {
	slices.SortStableFunc(p.queue, func(a, b *Piece) int {
		return cmp.Or(cmp.Compare(a.Job.turn(at, w.Zone), b.Job.turn(at, w.Zone)), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	call := &Call{Server: w.Announcement, Started: at, Prompt: w.prompt}
	room := p.room(at, w)
	var rest []*Piece
	for i := 0; i < len(p.queue); {
		job := p.queue[i].Job
		n := 1
		for i+n < len(p.queue) && p.queue[i+n].Job == job {
			n++
		}
		group := p.queue[i : i+n]
		i += n
		// The pieces of a job go together: a part of them would take room for
		// results that nobody can use before the rest is made.
		if most := p.traits.Batch; n > most && len(call.Pieces) == 0 {
			rest = append(rest, group[most:]...)
			group = group[:most]
		}
		size := int64(len(group)) * job.size()
		if p.defers(at, job, w) || len(call.Pieces)+len(group) > p.traits.Batch || size > room && (size <= p.traits.Room || w.resultBytes+w.pending > 0) {
			rest = append(rest, group...)
			continue
		}
		call.Pieces = append(call.Pieces, group...)
		room -= size
		w.pending += size
	}
	if len(call.Pieces) == 0 {
		return nil
	}
	p.queue = rest
	work := p.traits.Call + time.Duration(len(call.Pieces))*p.traits.Item
	call.expected = float64(work)
	call.Expected = time.Duration(float64(work) * w.speed)
	call.Waiting = len(rest)
	w.calls++
	w.freeAt = at + call.Expected
	return call
}

// defers reports whether a job waits for a backend server in its zone, rather
// than being made by w now.
func (p *Pool) defers(at time.Duration, j *Job, w *worker) bool {
	if j.Pull < largePull || j.Zone == "" || j.Zone == w.Zone || len(p.queue) > p.traits.Batch {
		return false
	}
	for _, other := range p.workers {
		wait := max(0, other.freeAt-at)
		if other.Zone == j.Zone && at >= other.ejected && wait <= deferMost && at+wait+p.Usual()+deferSpare <= j.Due {
			return true
		}
	}
	return false
}

// Taken lists the inputs that nothing needs any more once the backend server
// has begun to work on the call. There are none where the call may stand behind
// that of another owner.
func (c *Call) Taken() []string {
	if !c.Prompt {
		return nil
	}
	return c.Inputs()
}

// Inputs lists the inputs that nothing but this call needs.
func (c *Call) Inputs() []string {
	var out []string
	var last *Job
	for _, q := range c.Pieces {
		if q.Job != last && q.Job.LastUse {
			out = append(out, q.Job.Inputs...)
		}
		last = q.Job
	}
	return out
}

// Wake is when Next may have more to say without another event.
func (p *Pool) Wake(at time.Duration) (time.Duration, bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	next := p.queue[0].Job.Deadline
	if start := p.nextStart(at); start > at {
		next = start
	}
	for _, q := range p.queue {
		next = min(next, q.Job.Deadline)
	}
	for _, w := range p.workers {
		if w.ejected > at {
			next = min(next, w.ejected)
		}
		if unknown := w.results[unknownResults]; unknown.until > at {
			next = min(next, unknown.until)
		}
	}
	return next, true
}

// Patience is how long a call may take before its pieces are made elsewhere.
func (c *Call) Patience() time.Duration {
	return max(overdueFactor*c.Expected, c.Expected+overdueSlack)
}

// Abandon gives a call up that is overdue: its answer may be lost. Its pieces wait
// again; whichever result comes first counts.
func (p *Pool) Abandon(at time.Duration, call *Call) bool {
	if call.ended || call.abandoned {
		return false
	}
	call.abandoned = true
	if w := p.workers[call.Server.ID]; w != nil && w.Born == call.Server.Born {
		w.calls = max(0, w.calls-1)
		w.ejected, w.prompt = at+ejectTime, false
	}
	for _, q := range call.Pieces {
		if p.wanted(q) {
			p.queue = append(p.queue, q)
		}
	}
	return true
}

// wanted reports whether a piece is still to be made.
func (p *Pool) wanted(q *Piece) bool {
	_, known := p.jobs[q.Job.ID]
	return known && !q.done
}

// Done ends a call with the outcomes of its pieces, in their order; nil when
// the call failed as a whole. Pieces that may be tried again wait again.
func (p *Pool) Done(at time.Duration, call *Call, outcomes []tanagerroad.PieceOutcome, full bool) []Made {
	call.ended = true
	w := p.workers[call.Server.ID]
	if w != nil && w.Born != call.Server.Born {
		w = nil
	}
	if w != nil {
		p.settle(at, w, call, outcomes, full)
	}
	var out []Made
	for i, q := range call.Pieces {
		if outcomes != nil && outcomes[i].Handle != "" {
			out = append(out, Made{Job: q.Job, Piece: q.Piece, Handle: outcomes[i].Handle, Zone: call.Server.Zone, Extra: q.done})
			p.made(at, w, q, outcomes[i].Handle)
			continue
		}
		if call.abandoned || !p.wanted(q) {
			continue
		}
		reason := NoServer
		if outcomes != nil {
			reason = outcomes[i].Reason
		}
		if reason == tanagerroad.PieceRoom && w != nil {
			w.fillUp(at, p.traits.Room)
		} else {
			q.tries++
		}
		again := reason != tanagerroad.PieceGone && reason != tanagerroad.PieceLate && at < q.Job.Deadline
		if again && (full || q.tries < triesMost) {
			p.queue = append(p.queue, q)
			continue
		}
		out = append(out, Made{Job: q.Job, Piece: q.Piece, Reason: reason})
	}
	return out
}

// made notes the result of a piece.
func (p *Pool) made(at time.Duration, w *worker, q *Piece, handle string) {
	if !q.done {
		q.done = true
		p.queue = slices.DeleteFunc(p.queue, func(other *Piece) bool { return other == q }) // after an abandoned call
	}
	if w != nil && q.Job.Bytes > 0 {
		w.results[handle] = result{q.Job.size(), at + p.traits.Keep}
		w.resultBytes += q.Job.size()
	}
}

// Forget ends the job when all its pieces have ended.
func (p *Pool) Forget(id string) { delete(p.jobs, id) }
