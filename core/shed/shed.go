// Package shed decides which staged requests are turned away, before any of
// their work is done. It answers bursts to nearly three times the usual load: a
// request that would come too late behind those that wait already is refused at
// once and told when the wait will be short again, so that the servers' time
// goes to requests that are still in time, and intermediate results do not lapse
// in queues. Those that were refused and come back are not refused again while
// they can be served at all.
package shed

import (
	"time"
)

const (
	// capacityPart is the part of a pool's full speed that is counted on: its
	// calls are seldom all full.
	capacityPart = 0.8
	// lateWait is the wait up to which a request is taken that will be late
	// whatever is done: there is capacity that nobody else wants.
	lateWait = 300 * time.Millisecond
	// yieldStep is how much more time to spare a less urgent route must have,
	// for each rank, so that it yields first.
	yieldStep = 150 * time.Millisecond
	// retryPart is the most of the time left that a caller is told to wait.
	retryPart = 0.3
	// retryLeast is the least that a caller is told to wait.
	retryLeast = 300 * time.Millisecond
	// drainFactor stretches the wait until a backlog is gone, since others go
	// on coming.
	drainFactor = 3
	// memory is how long a refusal is remembered.
	memory = 15 * time.Second
)

// Stage is one pool on a request's longest chain of stages.
type Stage struct {
	Pieces   int           // that wait there or are on their way there
	Capacity float64       // pieces a second with full calls
	Call     time.Duration // length of a call
}

// Ask is a request to be decided on.
type Ask struct {
	Subject  string        // the same when the caller sends the request again
	Due      time.Duration // when the stages must end for the request to be in time
	Deadline time.Duration // when they must end at the latest
	Chain    []Stage
	Rank     int     // of the route; 0 yields last
	Chance   float64 // from 0 to below 1; spreads those who come back
}

// Decision is what becomes of it, and why.
type Decision struct {
	Admit     bool
	Returning bool
	Wait      time.Duration // behind others, over all stages
	End       time.Duration // predicted
	Retry     time.Duration // for one that is refused: when to come back
}

// Desk decides and remembers whom it refused and what it promised.
type Desk struct {
	refused  map[string]time.Duration // by subject: when
	promised map[string]map[string]promise
	totals   map[string]int // pieces on their way, by pool
}

type promise struct {
	pieces int
	until  time.Duration
}

// New returns a desk that has refused nobody.
func New() *Desk {
	return &Desk{refused: map[string]time.Duration{}, promised: map[string]map[string]promise{}, totals: map[string]int{}}
}

// Decide admits or refuses a request.
func (d *Desk) Decide(at time.Duration, ask Ask) Decision {
	out := Decision{End: at}
	for _, s := range ask.Chain {
		if s.Capacity > 0 {
			// What is there now goes on being made until this request comes.
			speed := capacityPart * s.Capacity
			ahead := float64(s.Pieces) - speed*(out.End-at).Seconds()
			wait := time.Duration(max(0, ahead) / speed * float64(time.Second))
			out.Wait += wait
			out.End += wait
		}
		out.End += s.Call
	}
	yield := time.Duration(ask.Rank) * yieldStep
	when, ok := d.refused[ask.Subject]
	out.Returning = ok && ask.Subject != "" && at-when < memory
	switch {
	case out.End > ask.Deadline:
	case out.End+yield <= ask.Due, out.Wait+yield <= lateWait, out.Returning:
		out.Admit = true
	}
	if out.Admit {
		delete(d.refused, ask.Subject)
		return out
	}
	if ask.Subject != "" {
		d.refused[ask.Subject] = at
	}
	left := time.Duration(retryPart * float64(ask.Deadline-at))
	wanted := max(retryLeast, drainFactor*out.Wait)
	out.Retry = max(retryLeast, min(left, wanted+time.Duration(ask.Chance*float64(wanted))))
	return out
}

// Promise counts pieces that an admitted request will bring to a pool.
func (d *Desk) Promise(request, pool string, pieces int, until time.Duration) {
	if d.promised[request] == nil {
		d.promised[request] = map[string]promise{}
	}
	d.totals[pool] += pieces - d.promised[request][pool].pieces
	d.promised[request][pool] = promise{pieces, until}
}

// Kept takes back what was promised of a request for a pool: its pieces have
// come.
func (d *Desk) Kept(request, pool string) {
	d.totals[pool] -= d.promised[request][pool].pieces
	delete(d.promised[request], pool)
	if len(d.promised[request]) == 0 {
		delete(d.promised, request)
	}
}

// Ended takes back all that was promised of a request.
func (d *Desk) Ended(request string) {
	for pool := range d.promised[request] {
		d.Kept(request, pool)
	}
}

// Coming is the number of pieces promised to a pool.
func (d *Desk) Coming(pool string) int { return d.totals[pool] }

// Expire forgets refusals and promises that are old.
func (d *Desk) Expire(at time.Duration) {
	for subject, when := range d.refused {
		if at-when > memory {
			delete(d.refused, subject)
		}
	}
	for request, pools := range d.promised {
		for pool, p := range pools {
			if at > p.until {
				d.Kept(request, pool)
			}
		}
	}
}
