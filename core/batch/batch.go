// Package batch queues the pieces of pipeline stages and decides which backend
// server executes which pieces together in one call. The cost of a call hardly
// depends on the number of pieces in it, so half-empty calls from many callers
// would saturate a pool at a fraction of its capacity. Therefore a single
// gateway, the owner, batches the pieces of a pool across all requests.
//
// The package is built for bursts of staged requests, in which pieces arrive
// faster than calls finish. Pieces that can still meet the latency objective of
// their request go first, earliest due time first, and a job that cannot meet
// its deadline is rejected immediately.
package batch

import (
	"cmp"
	"slices"
	"time"

	"tanagerroad"
	"tanagerroad/core/region"
)

const (
	// dispatchOverhead is the time between the end of one call and the start of
	// the next.
	dispatchOverhead = 20 * time.Millisecond
	// slowdownWeight is the weight of the latest call in the moving average of a
	// server's slowdown.
	slowdownWeight = 0.3
	// ejectTime is how long a backend server gets no calls after one failed.
	ejectTime = 700 * time.Millisecond
	// slowFactor is how much slower than its pool a backend server may be
	// before it is used only when no other server is idle.
	slowFactor = 2.5
	// sizeMargin allows for results larger than the usual size of their stage
	// and for results that were released but are not freed yet.
	sizeMargin = 1.1
	// fullPause is how long a backend server that is out of result memory gets
	// no calls whose results it must store.
	fullPause = 500 * time.Millisecond
	// largeTransfer is the number of bytes from which a job waits for a backend
	// server in its own zone. It waits at most maxDefer, and only if deferSlack
	// then remains before its due time.
	largeTransfer = 200 << 10
	maxDefer      = 250 * time.Millisecond
	deferSlack    = 150 * time.Millisecond
	// zonePenalty is how far a job is moved back in the queue for a backend
	// server outside its zone, and largeTransferPenalty the same for a job with
	// a large transfer.
	zonePenalty          = 100 * time.Millisecond
	largeTransferPenalty = 600 * time.Millisecond
	// latePenalty is how far a job past its due time is moved back.
	latePenalty = 3 * time.Second
	// priorityStep is how far each lower priority level is moved back.
	priorityStep = 150 * time.Millisecond
	// begunBonus is how far a stream that goes on is moved ahead: its caller
	// waits in the middle of an answer, and has the least time left of all.
	begunBonus = 10 * time.Second
	// A call is overdue, and its pieces are queued again, when it takes
	// overdueFactor times its expected duration, but at least overdueSlack
	// longer than expected.
	overdueFactor = 2
	overdueSlack  = 400 * time.Millisecond
	// uncontendedFactor is how much longer than usual a call may take before it
	// is assumed to have queued behind a call of another owner.
	uncontendedFactor = 1.3
	// maxTries is how often a piece is tried before its job fails.
	maxTries = 4
)

// Job holds the pieces of one stage of one request.
type Job struct {
	ID             string // unique within the owner
	Request        string
	Stage          int
	Pieces         []int         // indexes of the pieces within the stage
	Key            string        // input from the caller, for a stage that reads no results
	Inputs         []string      // handles of the results the stage reads
	Deadline       time.Duration // hard deadline of the request
	Due            time.Duration // latest end that still meets the request's latency objective
	Priority       int           // 0 is the most urgent
	Bytes          int           // size of one result
	Zone           string        // preferred availability zone; empty: any
	CrossZoneBytes int           // bytes transferred between zones if executed outside Zone
	LastUse        bool          // no other stage reads the inputs
	Regions        region.Set    // of the backend servers that may execute it
	Begun          bool          // of a stream that goes on
	Cause          uint64        // fingerprint of what may make it crash backend servers; 0: none
	alone          bool          // a call with it crashed a backend server: it shares none any more
}

// size returns the bytes to reserve for one result.
func (j *Job) size() int64 { return int64(sizeMargin * float64(j.Bytes)) }

// Piece is one piece of a job, the smallest unit of work that is dispatched.
type Piece struct {
	Job   *Job
	Index int // position in the stage, counted from 0
	tries int
	done  bool // a result has arrived
}

// Call is one call to a backend server.
type Call struct {
	Server            tanagerroad.Announcement
	Pieces            []*Piece
	Started           time.Duration
	Expected          time.Duration // expected duration
	Queued            int           // pieces left in the queue
	ServerUncontended bool          // the server's previous call started without queueing
	Crashed           bool          // the backend server crashed during the call
	GiveUp            bool          // its pieces are not to be tried again
	nominal           float64       // duration by the pool's traits, in nanoseconds

	abandoned, ended bool
}

// PieceResult is the outcome of one piece.
type PieceResult struct {
	Job       *Job
	Piece     int
	Handle    string // of the result; empty if the piece failed
	Reason    string // why the piece failed
	Zone      string // where the result is stored
	Duplicate bool   // an earlier call already returned a result for the piece
}

// Failure reasons in addition to those that backend servers return.
const (
	ReasonDeadlinePassed = "deadline passed"
	ReasonNoServer       = "no backend server"
	ReasonNotAllowed     = "no backend server in an allowed region"
)

// Pool holds the queued pieces and the backend servers of one pool.
type Pool struct {
	traits   tanagerroad.PieceTraits
	regions  map[string]string // by zone
	workers  map[string]*worker
	queue    []*Piece
	jobs     map[string]*Job
	slowdown float64       // mean over the workers; 1 is as fast as the traits say, 2 twice as slow
	lastCall time.Duration // start of the latest call
}

// New returns a pool without backend servers.
func New(traits tanagerroad.PieceTraits) *Pool {
	return &Pool{traits: traits, workers: map[string]*worker{}, jobs: map[string]*Job{}, slowdown: 1}
}

// SetTraits replaces the traits after a change of configuration.
func (p *Pool) SetTraits(traits tanagerroad.PieceTraits) { p.traits = traits }

// SetServers replaces the list of backend servers. The state of a backend server
// is kept unless it has restarted or its address has changed.
func (p *Pool) SetServers(at time.Duration, servers []tanagerroad.Announcement) {
	next := map[string]*worker{}
	for _, a := range servers {
		w, ok := p.workers[a.ID]
		if !ok || w.StartMillis != a.StartMillis || w.Address != a.Address {
			w = &worker{slowdown: 1, results: map[string]storedResult{}, idleSince: at}
		}
		w.Announcement, w.region = a, p.regions[a.Zone]
		next[a.ID] = w
	}
	p.workers = next
}

// HasServer reports whether the pool has a backend server.
func (p *Pool) HasServer(id string) bool { return p.workers[id] != nil }

// Pause keeps calls from a backend server until the given time.
func (p *Pool) Pause(server tanagerroad.Announcement, until time.Duration) {
	if w := p.workers[server.ID]; w != nil && w.StartMillis == server.StartMillis {
		w.pausedUntil = max(w.pausedUntil, until)
	}
}

// SetLimit sets how many calls a second a backend server takes; 0: any number.
func (p *Pool) SetLimit(at time.Duration, id string, startMillis int64, perSecond float64) {
	w := p.workers[id]
	if w == nil || w.StartMillis != startMillis || w.limit == perSecond {
		return
	}
	w.limit, w.limitedUntil = perSecond, 0
	w.recordCall(at) // calls were just sent without a limit
}

// SetCold sets how many calls a second a cold backend server takes, and until when; 0: any
// number.
func (p *Pool) SetCold(at time.Duration, id string, startMillis int64, perSecond float64, until time.Duration) {
	w := p.workers[id]
	if w == nil || w.StartMillis != startMillis {
		return
	}
	w.warmUp(at)
	before := w.coldLimit
	w.coldLimit, w.coldUntil = perSecond, until
	if perSecond > 0 && before == 0 {
		w.recordCall(at) // calls may just have been sent without a limit
	}
}

// QueueLen returns the number of queued pieces.
func (p *Pool) QueueLen() int { return len(p.queue) }

// UsualCallTime returns the expected duration of a half-full call.
func (p *Pool) UsualCallTime() time.Duration {
	return time.Duration(float64(p.traits.CallTime+time.Duration(p.traits.MaxBatch/2)*p.traits.PieceTime) * p.slowdown)
}

// Capacity returns the throughput of the pool's backend servers in the allowed regions
// with full calls, in pieces per second.
func (p *Pool) Capacity(regions region.Set) float64 {
	full := p.traits.CallTime + time.Duration(p.traits.MaxBatch)*p.traits.PieceTime
	perWorker, calls := 1/(full.Seconds()*max(p.slowdown, 0.1)), 0.0
	for _, w := range p.workers {
		if !regions.Allows(w.region) {
			continue
		}
		rate := perWorker
		for _, limit := range []float64{w.limit, w.coldLimit} {
			if limit > 0 {
				rate = min(rate, limit)
			}
		}
		calls += rate
	}
	return calls * float64(p.traits.MaxBatch)
}

// PredictEnd returns when a job would finish if it were added now: after the
// pieces ahead of it, processed at full capacity, and its own call.
func (p *Pool) PredictEnd(at time.Duration, job *Job) time.Duration {
	own := job.orderKey(at, "")
	ahead := p.load(job.Regions, 0, 0, func(other *Job) bool { return other.orderKey(at, "") < own })
	wait := time.Duration(0)
	if c := p.Capacity(job.Regions); c > 0 {
		wait = time.Duration(ahead / c * float64(time.Second))
	}
	nextFree := time.Duration(-1)
	for _, w := range p.workers {
		if !job.Regions.Allows(w.region) {
			continue
		}
		if busy := max(0, w.freeAt-at, w.pausedUntil-at, w.limitedUntil-at); nextFree < 0 || busy < nextFree {
			nextFree = busy
		}
	}
	call := time.Duration(float64(p.traits.CallTime+time.Duration(min(len(job.Pieces), p.traits.MaxBatch))*p.traits.PieceTime) * p.slowdown)
	return at + max(nextFree, 0) + wait + call
}

// LeastCallTime returns the duration of a call for one piece that nothing delays.
func (p *Pool) LeastCallTime() time.Duration { return p.traits.CallTime + p.traits.PieceTime }

// Add queues a job. If the job is predicted to miss its deadline, Add rejects it
// and returns false and how long to wait before trying again. Without backend
// servers there is no prediction, and every job is queued.
func (p *Pool) Add(at time.Duration, job *Job) (ok bool, retryAfter time.Duration) {
	if len(p.workers) > 0 {
		if end := p.PredictEnd(at, job); end > job.Deadline {
			return false, end - job.Deadline
		}
	}
	p.jobs[job.ID] = job
	for _, n := range job.Pieces {
		p.queue = append(p.queue, &Piece{Job: job, Index: n})
	}
	return true, 0
}

// Cancel removes a job and its queued pieces. Pieces already in a call are still
// executed.
func (p *Pool) Cancel(id string) {
	delete(p.jobs, id)
	p.queue = slices.DeleteFunc(p.queue, func(q *Piece) bool { return q.Job.ID == id })
}

// orderKey returns the job's sort key in the queue for a backend server in the
// given zone (empty: any): its due time plus penalties. Lower priority and a
// preference for another zone cost little, being past the due time costs more.
// All penalties are bounded, so that no job starves. Streams that go on come first.
func (j *Job) orderKey(at time.Duration, zone string) time.Duration {
	key := j.Due + time.Duration(j.Priority)*priorityStep
	if j.Zone != "" && zone != "" && j.Zone != zone {
		key += zonePenalty
		if j.CrossZoneBytes >= largeTransfer {
			key += largeTransferPenalty - zonePenalty
		}
	}
	switch {
	case j.Begun:
		key -= begunBonus
	case j.Due < at:
		key += latePenalty
	}
	return key
}

// Expire removes the queued pieces whose deadline has passed, or that no backend server
// may execute any more, and returns their outcomes.
func (p *Pool) Expire(at time.Duration) []PieceResult {
	var out []PieceResult
	p.queue = slices.DeleteFunc(p.queue, func(q *Piece) bool {
		reason := ReasonDeadlinePassed
		if q.Job.Deadline > at {
			if p.HasAllowed(q.Job.Regions) {
				return false
			}
			reason = ReasonNotAllowed
		}
		out = append(out, PieceResult{Job: q.Job, Piece: q.Index, Reason: reason})
		return true
	})
	return out
}

// QueuedJobs returns the jobs that have queued pieces.
func (p *Pool) QueuedJobs() []*Job {
	seen := map[*Job]bool{}
	var out []*Job
	for _, q := range p.queue {
		if !seen[q.Job] {
			seen[q.Job] = true
			out = append(out, q.Job)
		}
	}
	return out
}

// Next returns the next call to start now, or false if there is none.
func (p *Pool) Next(at time.Duration) (*Call, bool) {
	if len(p.queue) == 0 || at < p.nextStart(at) {
		return nil, false
	}
	for _, w := range p.idleWorkers(at) {
		if call := p.fill(at, w); call != nil {
			p.lastCall = at
			return call, true
		}
	}
	return nil, false
}

// nextStart returns the earliest start of the next call. Calls are spread over
// the duration of one call, further apart the fewer backend servers are idle.
// Otherwise servers that become idle together would start with one piece each
// and all be busy when the next pieces arrive. A full call starts immediately, as
// does one for a stream that goes on.
func (p *Pool) nextStart(at time.Duration) time.Duration {
	if len(p.queue) >= p.traits.MaxBatch || len(p.workers) == 0 || slices.ContainsFunc(p.queue, func(q *Piece) bool { return q.Job.Begun }) {
		return at
	}
	busy := 0
	for _, w := range p.workers {
		if w.calls > 0 {
			busy++
		}
	}
	n := len(p.workers)
	return p.lastCall + p.UsualCallTime()*time.Duration(busy)/time.Duration(n*n)
}

// fill takes pieces from the queue for a call to w. It returns nil if none fits.
func (p *Pool) fill(at time.Duration, w *worker) *Call {
	slices.SortStableFunc(p.queue, func(a, b *Piece) int {
		return cmp.Or(cmp.Compare(a.Job.orderKey(at, w.Zone), b.Job.orderKey(at, w.Zone)), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	call := &Call{Server: w.Announcement, Started: at, ServerUncontended: w.uncontended}
	free := p.freeBytes(at, w)
	var rest []*Piece
	for i := 0; i < len(p.queue); {
		job := p.queue[i].Job
		n := 1
		for i+n < len(p.queue) && p.queue[i+n].Job == job {
			n++
		}
		group := p.queue[i : i+n]
		i += n
		// Keep the pieces of a job together: the results of a part would occupy
		// memory although the next stage cannot start before the rest is done.
		if limit := p.traits.MaxBatch; n > limit && len(call.Pieces) == 0 {
			rest = append(rest, group[limit:]...)
			group = group[:limit]
		}
		size := int64(len(group)) * job.size()
		shared := len(call.Pieces) > 0 && (job.alone || call.Pieces[0].Job.alone)
		if !job.Regions.Allows(w.region) || shared || p.defers(at, job, w) || len(call.Pieces)+len(group) > p.traits.MaxBatch || size > free && (size <= p.traits.ResultSpace || w.resultBytes+w.pendingBytes > 0) {
			rest = append(rest, group...)
			continue
		}
		call.Pieces = append(call.Pieces, group...)
		free -= size
		w.pendingBytes += size
	}
	if len(call.Pieces) == 0 {
		return nil
	}
	p.queue = rest
	work := p.traits.CallTime + time.Duration(len(call.Pieces))*p.traits.PieceTime
	call.nominal = float64(work)
	call.Expected = time.Duration(float64(work) * w.slowdown)
	call.Queued = len(rest)
	w.calls++
	w.recordCall(at)
	w.freeAt = at + call.Expected
	return call
}

// defers reports whether a job with a large transfer should wait for a backend
// server in its own zone instead of running on w now.
func (p *Pool) defers(at time.Duration, j *Job, w *worker) bool {
	if j.CrossZoneBytes < largeTransfer || j.Zone == "" || j.Zone == w.Zone || len(p.queue) > p.traits.MaxBatch {
		return false
	}
	for _, other := range p.workers {
		wait := max(0, other.freeAt-at)
		if other.Zone == j.Zone && j.Regions.Allows(other.region) && at >= other.usableFrom() && wait <= maxDefer && at+wait+p.UsualCallTime()+deferSlack <= j.Due {
			return true
		}
	}
	return false
}

// ReleasableOnStart lists the handles of the inputs that can be released as soon
// as the backend server starts the call. It lists none if the call may be queued
// behind a call of another owner, since its start is then unknown.
func (c *Call) ReleasableOnStart() []string {
	if !c.ServerUncontended {
		return nil
	}
	return c.ReleasableInputs()
}

// ReleasableInputs lists the handles of the inputs that only this call reads.
func (c *Call) ReleasableInputs() []string {
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

// NextWake returns when to call Expire and Next again if nothing else happens
// before. It returns false if the queue is empty.
func (p *Pool) NextWake(at time.Duration) (time.Duration, bool) {
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
		if w.usableFrom() > at {
			next = min(next, w.usableFrom())
		}
		if unknown := w.results[unknownResults]; unknown.until > at {
			next = min(next, unknown.until)
		}
	}
	return next, true
}

// Timeout returns how long the call may take before it is abandoned and its
// pieces are queued again.
func (c *Call) Timeout() time.Duration {
	return max(overdueFactor*c.Expected, c.Expected+overdueSlack)
}

// Jobs returns the jobs of the call's pieces.
func (c *Call) Jobs() []*Job {
	var out []*Job
	for _, q := range c.Pieces {
		if len(out) == 0 || out[len(out)-1] != q.Job {
			out = append(out, q.Job)
		}
	}
	return out
}

// Abandon gives up on an overdue call, whose answer may be lost, and queues its
// pieces again. If the call is answered after all, the first result of each
// piece counts. Abandon returns false if the call has already ended or been
// abandoned.
func (p *Pool) Abandon(at time.Duration, call *Call) bool {
	if call.ended || call.abandoned {
		return false
	}
	call.abandoned = true
	if w := p.workers[call.Server.ID]; w != nil && w.StartMillis == call.Server.StartMillis {
		w.calls = max(0, w.calls-1)
		w.ejectedUntil, w.uncontended = at+ejectTime, false
	}
	for _, q := range call.Pieces {
		if p.needed(q) {
			p.queue = append(p.queue, q)
		}
	}
	return true
}

// needed reports whether a piece still needs a result.
func (p *Pool) needed(q *Piece) bool {
	_, ok := p.jobs[q.Job.ID]
	return ok && !q.done
}

// Complete ends a call. outcomes has one entry for each piece, in the order of
// the call's pieces, or is nil if the call failed as a whole; full says that the
// server was busy and rejected the call without running any piece. Pieces that
// may be retried are queued again, the outcomes of all others are returned.
func (p *Pool) Complete(at time.Duration, call *Call, outcomes []tanagerroad.PieceOutcome, full bool) []PieceResult {
	call.ended = true
	w := p.workers[call.Server.ID]
	if w != nil && w.StartMillis != call.Server.StartMillis {
		w = nil
	}
	if w != nil {
		p.updateWorker(at, w, call, outcomes, full)
	}
	var out []PieceResult
	for i, q := range call.Pieces {
		if outcomes != nil && outcomes[i].Handle != "" {
			out = append(out, PieceResult{Job: q.Job, Piece: q.Index, Handle: outcomes[i].Handle, Zone: call.Server.Zone, Duplicate: q.done})
			p.recordResult(at, w, q, outcomes[i].Handle)
			continue
		}
		if call.abandoned || !p.needed(q) {
			continue
		}
		reason := ReasonNoServer
		if outcomes != nil {
			reason = outcomes[i].Reason
		}
		if reason == tanagerroad.PieceNoSpace && w != nil {
			w.markFull(at, p.traits.ResultSpace)
		} else {
			q.tries++
		}
		q.Job.alone = q.Job.alone || call.Crashed
		retry := reason != tanagerroad.PieceInputGone && reason != tanagerroad.PieceLate && at < q.Job.Deadline && !call.GiveUp
		if retry && (full || q.tries < maxTries) {
			p.queue = append(p.queue, q)
			continue
		}
		out = append(out, PieceResult{Job: q.Job, Piece: q.Index, Reason: reason})
	}
	return out
}

// recordResult marks a piece as done and counts the memory that its result takes
// on the backend server.
func (p *Pool) recordResult(at time.Duration, w *worker, q *Piece, handle string) {
	if !q.done {
		q.done = true
		p.queue = slices.DeleteFunc(p.queue, func(other *Piece) bool { return other == q }) // queued again when a call was abandoned
	}
	if w != nil && q.Job.Bytes > 0 {
		w.results[handle] = storedResult{q.Job.size(), at + p.traits.ResultTTL}
		w.resultBytes += q.Job.size()
	}
}

// Remove drops a job after the outcomes of all its pieces were returned.
func (p *Pool) Remove(id string) { delete(p.jobs, id) }
