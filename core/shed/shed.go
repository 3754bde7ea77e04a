// Package shed implements admission control for staged requests: it rejects
// requests under overload, before any of their work is done.
//
// It is built for bursts of nearly three times the usual load. A request that
// would be late behind the queued ones is rejected immediately, with the time
// after which to retry. This way the servers spend their time on requests that
// can still be in time, and intermediate results don't expire in queues. A stream
// that goes on is admitted as long as it can meet its deadline: its caller has a
// part of the answer, which is worth nothing without the rest.
//
// A request that is retried after a rejection is late already, since its objective
// counts from its first attempt. If all such requests were admitted in a burst, they
// would make the new ones late, and in the end all would be. While the queue is long,
// they get a small share of the admissions.
//
// A controller may divide the work fairly among workspaces (package fair). While the queue is
// long, one that was admitted more than its fair share lately needs additional slack, so that
// its requests are rejected before those of others, and one that was admitted less than half
// of its share gets a small part of the admissions.
//
// Predictions leave out what only shows in operation, such as slow calls or a lack of
// room for results. So the controller learns by how much the stages of admitted requests
// end later than predicted.
package shed

import (
	"math"
	"time"

	"tanagerroad/core/fair"
	"tanagerroad/core/quantile"
)

const (
	// usableCapacity is the fraction of a pool's full throughput that predictions
	// rely on, since calls are seldom all full.
	usableCapacity = 0.8
	// maxLateWait is the longest queueing time with which a request that will
	// miss its due time is still admitted: with so short a queue it uses capacity
	// that no other request needs.
	maxLateWait = 300 * time.Millisecond
	// yieldStep is the additional slack that a request needs for each rank of its
	// route, so that less urgent routes are rejected first.
	yieldStep = 150 * time.Millisecond
	// retryFraction limits the retry delay to this fraction of the time until the
	// deadline.
	retryFraction = 0.3
	// minRetryDelay is the shortest retry delay.
	minRetryDelay = 300 * time.Millisecond
	// minRetryShare is the least share of the longest retry delay. A burst lasts for
	// seconds, and callers that return during it are mostly rejected again.
	minRetryShare = 0.5
	// rejectionTTL is how long a rejection is remembered.
	rejectionTTL = 15 * time.Second
	// lateShare is the number of retried requests that are admitted late for each request
	// that is admitted in time.
	lateShare = 0.1
	// maxLateCredit is the largest number of such admissions that is saved up.
	maxLateCredit = 4
	// shareYield is the additional slack that a request needs if its workspace was admitted
	// twice its fair share, and the most. It grows with the square root of the excess, since an
	// excess of a few percent must already leave room in the queue for the requests of others.
	shareYield = 500 * time.Millisecond
	// starvedShare is the number of requests of starved workspaces that are admitted late
	// for each request that is admitted in time; maxStarvedCredit are saved up at most.
	starvedShare     = 0.05
	maxStarvedCredit = 2
	// errorQuantile is the fraction of admitted requests whose stages end no later than
	// predicted once predictions are corrected. errorStep is the largest change of the
	// correction by one request.
	errorQuantile = 0.5
	errorStep     = 50 * time.Millisecond
	// maxError bounds the correction. Without a bound, stages that end late in an outage
	// would stop all admissions, and nothing could show that the outage is over.
	maxError = 500 * time.Millisecond
)

// Stage is one stage on the critical path of a request.
type Stage struct {
	Pieces   int           // queued at the stage's pool or reserved for it
	Capacity float64       // of the pool, in pieces per second with full calls
	CallTime time.Duration // duration of a call
}

// Request is a request for admission.
type Request struct {
	Subject      string        // identifies the request over its retries; empty: unknown
	Due          time.Duration // latest end of the stages that meets the latency objective
	Deadline     time.Duration // latest end of the stages
	CriticalPath []Stage
	Begun        bool    // a stream that goes on, whose pieces come first
	Rank         int     // priority in force; 0 is the most urgent
	Jitter       float64 // random, in [0, 1); spreads the retry delays
	Workspace    string  // empty: none, or unknown; it has no share and no limit
	Work         float64 // in seconds of the capacity of the pools, summed over them
}

// Decision is the answer to a request for admission.
type Decision struct {
	Admit       bool
	OnTime      bool          // admitted because its stages will end by their due time
	IsRetry     bool          // the request is a retry after a recent rejection
	Wait        time.Duration // predicted queueing time over all stages
	End         time.Duration // predicted end of the stages, if admitted now
	Uncorrected time.Duration // the same without what earlier predictions were wrong by
	RetryDelay  time.Duration // delay before the next try, if rejected
	OverShare   float64       // by how much the workspace exceeds its fair share, as a fraction of it; only in overload
	Starved     bool          // admitted because its workspace got less than half of its share
}

// Controller decides on admission. It remembers recent rejections and the pieces
// that admitted requests will send to later pools.
type Controller struct {
	rejected map[string]time.Duration          // time of the latest rejection, by subject
	reserved map[string]map[string]reservation // by request and pool
	totals   map[string]int                    // reserved pieces, by pool
	running  map[string]*running               // admitted requests whose stages have not ended
	late     float64                           // retried requests that may be admitted late
	lateness *quantile.Estimate                // of the ends of stages, compared with the predictions
	shares   *fair.Shares                      // of the workspaces; nil: they have no shares
	starved  float64                           // requests of starved workspaces that may be admitted late
}

// running is an admitted request.
type running struct {
	pieces int           // that are not made yet
	end    time.Duration // predicted, without the correction
	until  time.Duration // its deadline
}

type reservation struct {
	pieces int
	until  time.Duration
}

// New returns a controller without rejections or reservations.
func New() *Controller {
	return &Controller{
		rejected: map[string]time.Duration{}, reserved: map[string]map[string]reservation{}, totals: map[string]int{},
		running: map[string]*running{}, lateness: quantile.New(errorQuantile, errorStep, 0),
	}
}

// NewFair returns a controller that divides the work fairly among workspaces in overload.
func NewFair() *Controller {
	c := New()
	c.shares = fair.New()
	return c
}

// Decide admits or rejects a request.
func (c *Controller) Decide(at time.Duration, req Request) Decision {
	out := Decision{End: at}
	for _, s := range req.CriticalPath {
		if s.Capacity > 0 {
			// The pool continues to drain its queue until this request reaches it.
			speed := usableCapacity * s.Capacity
			ahead := float64(s.Pieces) - speed*(out.End-at).Seconds()
			if req.Begun {
				ahead = 0 // its pieces come first
			}
			wait := time.Duration(max(0, ahead) / speed * float64(time.Second))
			out.Wait += wait
			out.End += wait
		}
		out.End += s.CallTime
	}
	out.Uncorrected = out.End
	out.End += max(0, c.lateness.Value())
	yield := time.Duration(req.Rank) * yieldStep
	rejectedAt, ok := c.rejected[req.Subject]
	out.IsRetry = ok && req.Subject != "" && at-rejectedAt < rejectionTTL
	due := req.Due
	if out.IsRetry { // the objective counts from its first attempt
		due -= at - rejectedAt
	}
	overloaded := !req.Begun && out.Wait+yield > maxLateWait
	hasShare := c.shares != nil && req.Workspace != ""
	if hasShare && !out.IsRetry {
		c.shares.Ask(at, req.Workspace, req.Work)
	}
	if hasShare && overloaded {
		out.OverShare = c.shares.Over(at, req.Workspace)
		yield += time.Duration(math.Sqrt(min(1, out.OverShare)) * float64(shareYield))
	}
	switch {
	case out.Uncorrected > req.Deadline:
	case !overloaded:
		out.Admit = true
	case out.End+yield <= due:
		out.Admit, out.OnTime = true, true
		c.late = min(c.late+lateShare, maxLateCredit)
		c.starved = min(c.starved+starvedShare, maxStarvedCredit)
	case out.IsRetry && c.late >= 1 && out.OverShare == 0:
		out.Admit = true
		c.late--
	case hasShare && c.starved >= 1 && c.shares.Starved(at, req.Workspace):
		out.Admit, out.Starved = true, true
		c.starved--
	}
	if out.Admit {
		if hasShare {
			c.shares.Admit(at, req.Workspace, req.Work)
		}
		delete(c.rejected, req.Subject)
		return out
	}
	if req.Subject != "" && !out.IsRetry {
		c.rejected[req.Subject] = at
	}
	limit := time.Duration(retryFraction * float64(req.Deadline-at))
	out.RetryDelay = max(minRetryDelay, time.Duration((minRetryShare+(1-minRetryShare)*req.Jitter)*float64(limit)))
	return out
}

// Reserve counts the pieces that an admitted request will send to a pool. It
// replaces an earlier reservation of the same request for the pool.
func (c *Controller) Reserve(request, pool string, pieces int, until time.Duration) {
	if c.reserved[request] == nil {
		c.reserved[request] = map[string]reservation{}
	}
	c.totals[pool] += pieces - c.reserved[request][pool].pieces
	c.reserved[request][pool] = reservation{pieces, until}
}

// Release drops the reservation of a request for one pool, after its pieces have
// arrived there.
func (c *Controller) Release(request, pool string) {
	c.totals[pool] -= c.reserved[request][pool].pieces
	delete(c.reserved[request], pool)
	if len(c.reserved[request]) == 0 {
		delete(c.reserved, request)
	}
}

// ReleaseAll drops all reservations of a request.
func (c *Controller) ReleaseAll(request string) {
	for pool := range c.reserved[request] {
		c.Release(request, pool)
	}
}

// Start records the predicted end of the stages of an admitted request, which have a
// number of pieces. Only those that will be in time are used to learn: late ones yield to
// others in the queues, so that their lateness says nothing about these.
func (c *Controller) Start(request string, d Decision, pieces int, deadline time.Duration) {
	if pieces > 0 && d.OnTime {
		c.running[request] = &running{pieces: pieces, end: d.Uncorrected, until: deadline}
	}
}

// RecordPieces records that pieces of a request were made. With the last one it learns how
// wrong the predicted end was.
func (c *Controller) RecordPieces(at time.Duration, request string, pieces int) {
	r := c.running[request]
	if r == nil {
		return
	}
	if r.pieces -= pieces; r.pieces <= 0 {
		c.lateness.Add(min(max(0, at-r.end), maxError))
		delete(c.running, request)
	}
}

// Forget drops what is known of the stages of a request that was cancelled or failed.
func (c *Controller) Forget(request string) { delete(c.running, request) }

// Lateness returns how much later than predicted the stages of admitted requests usually
// end.
func (c *Controller) Lateness() time.Duration { return c.lateness.Value() }

// Reserved returns the number of pieces reserved for a pool.
func (c *Controller) Reserved(pool string) int { return c.totals[pool] }

// Expire drops rejections, reservations and workspaces that are too old.
func (c *Controller) Expire(at time.Duration) {
	if c.shares != nil {
		c.shares.Expire(at)
	}
	for subject, rejectedAt := range c.rejected {
		if at-rejectedAt > rejectionTTL {
			delete(c.rejected, subject)
		}
	}
	for request, r := range c.running {
		if at > r.until {
			delete(c.running, request)
		}
	}
	for request, pools := range c.reserved {
		for pool, r := range pools {
			if at > r.until {
				c.Release(request, pool)
			}
		}
	}
}
