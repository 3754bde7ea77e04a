// Package shed implements admission control for staged requests: it rejects
// requests under overload, before any of their work is done.
//
// It is built for bursts of nearly three times the usual load. A request that
// would be late behind the queued ones is rejected immediately, with the time
// after which to retry. This way the servers spend their time on requests that
// can still be in time, and intermediate results don't expire in queues. A
// request that is retried soon after a rejection is not rejected again as long
// as it can meet its deadline, and neither is a stream that goes on: its caller
// has a part of the answer, which is worth nothing without the rest.
package shed

import (
	"time"

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
	// drainFactor multiplies the predicted queueing time to get the retry delay,
	// since new requests keep arriving while the queue drains.
	drainFactor = 3
	// rejectionTTL is how long a rejection is remembered.
	rejectionTTL = 15 * time.Second
	// lateShare is how many requests that will be late are admitted for each one that
	// will not, while a queue is too long for both.
	lateShare = 0.1
	// maxLateCredit bounds what of lateShare is saved up.
	maxLateCredit = 4
	// errorQuantile is the fraction of admitted requests whose stages end no later than
	// predicted, once predictions are corrected; errorStep is how fast that is learned.
	errorQuantile = 0.6
	errorStep     = 50 * time.Millisecond
	// maxError bounds the correction, so that an outage does not stop admission.
	maxError = time.Second
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
	Rank         int     // of the route; 0 is the most urgent
	Jitter       float64 // random, in [0, 1); spreads the retry delays
}

// Decision is the answer to a request for admission.
type Decision struct {
	Admit       bool
	IsRetry     bool          // the request is a retry after a recent rejection
	Wait        time.Duration // predicted queueing time over all stages
	End         time.Duration // predicted end of the stages, if admitted now
	Uncorrected time.Duration // the same without what earlier predictions were wrong by
	RetryDelay  time.Duration // delay before the next try, if rejected
}

// Controller decides on admission. It remembers recent rejections and the pieces
// that admitted requests will send to later pools.
type Controller struct {
	rejected map[string]time.Duration          // time of the latest rejection, by subject
	reserved map[string]map[string]reservation // by request and pool
	totals   map[string]int                    // reserved pieces, by pool
	running  map[string]*running               // admitted requests whose stages have not ended
	late     float64                           // requests that may be admitted late
	error    *quantile.Estimate                // of the predicted ends of stages
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
		running: map[string]*running{}, error: quantile.New(errorQuantile, errorStep, 0),
	}
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
	out.End += min(max(0, c.error.Value()), maxError)
	yield := time.Duration(req.Rank) * yieldStep
	rejectedAt, ok := c.rejected[req.Subject]
	out.IsRetry = ok && req.Subject != "" && at-rejectedAt < rejectionTTL
	due := req.Due
	if out.IsRetry { // the objective counts from its first attempt
		due -= at - rejectedAt
	}
	switch {
	case out.Uncorrected > req.Deadline:
	case req.Begun, out.Wait+yield <= maxLateWait:
		out.Admit = true
	case out.End+yield <= due:
		out.Admit = true
		c.late = min(c.late+lateShare, maxLateCredit)
	case out.IsRetry && c.late >= 1:
		out.Admit = true
		c.late--
	}
	if out.Admit {
		delete(c.rejected, req.Subject)
		return out
	}
	if req.Subject != "" && !out.IsRetry {
		c.rejected[req.Subject] = at
	}
	limit := time.Duration(retryFraction * float64(req.Deadline-at))
	delay := max(minRetryDelay, drainFactor*out.Wait)
	out.RetryDelay = max(minRetryDelay, min(limit, delay+time.Duration(req.Jitter*float64(delay))))
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

// Start records that the stages of an admitted request have begun, with the number of
// their pieces.
func (c *Controller) Start(request string, d Decision, pieces int, deadline time.Duration) {
	if pieces > 0 {
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
		c.error.Add(at - r.end)
		delete(c.running, request)
	}
}

// Error returns how much later than predicted stages usually end.
func (c *Controller) Error() time.Duration { return c.error.Value() }

// Reserved returns the number of pieces reserved for a pool.
func (c *Controller) Reserved(pool string) int { return c.totals[pool] }

// Expire drops rejections and reservations that are too old.
func (c *Controller) Expire(at time.Duration) {
	for subject, rejectedAt := range c.rejected {
		if at-rejectedAt > rejectionTTL {
			delete(c.rejected, subject)
		}
	}
	for request, r := range c.running {
		if at > r.until {
			c.error.Add(at - r.end)
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
