package batch

import (
	"slices"
	"time"

	"tanagerroad"
)

// worker is the pool's state of one backend server.
type worker struct {
	tanagerroad.Announcement
	region       string        // of its zone; empty: not known
	calls        int           // in flight
	freeAt       time.Duration // predicted end of its latest call
	slowdown     float64       // moving average of the call duration relative to the pool's traits
	ejectedUntil time.Duration
	pausedUntil  time.Duration // it wants no calls before
	limit        float64       // calls a second that it takes; 0: any number
	coldLimit    float64       // calls a second that it takes until coldUntil; 0: it is not cold, or takes any number
	coldUntil    time.Duration
	limitedUntil time.Duration // the limit allows no call before
	idleSince    time.Duration
	results      map[string]storedResult // by handle
	resultBytes  int64                   // total size of results
	pendingBytes int64                   // reserved for the results of calls in flight
	uncontended  bool                    // its last call started without queueing
}

// storedResult is a result that a backend server keeps for later stages.
type storedResult struct {
	bytes int64
	until time.Duration // expiry
}

// unknownResults is the handle under which results of other owners are counted.
const unknownResults = ""

// freeBytes returns the bytes of results that a backend server can still store,
// after dropping those that have expired.
func (p *Pool) freeBytes(at time.Duration, w *worker) int64 {
	for handle, r := range w.results {
		if r.until < at {
			w.resultBytes -= r.bytes
			delete(w.results, handle)
		}
	}
	if p.traits.ResultSpace <= 0 {
		return 1 << 62 // no limit
	}
	return p.traits.ResultSpace - w.resultBytes - w.pendingBytes
}

// usableFrom returns when the backend server may get calls again.
func (w *worker) usableFrom() time.Duration {
	return max(w.ejectedUntil, w.pausedUntil, w.limitedUntil)
}

// recordCall counts a call against the limits.
func (w *worker) recordCall(at time.Duration) {
	w.warmUp(at)
	w.limitedUntil = 0
	for _, limit := range []float64{w.limit, w.coldLimit} {
		if limit > 0 {
			w.limitedUntil = max(w.limitedUntil, at+time.Duration(float64(time.Second)/limit))
		}
	}
}

// warmUp ends the cold time of a backend server.
func (w *worker) warmUp(at time.Duration) {
	if at >= w.coldUntil {
		w.coldLimit = 0
	}
}

// idleWorkers lists the backend servers that have a free slot and are neither
// ejected nor paused, in order of preference.
func (p *Pool) idleWorkers(at time.Duration) []*worker {
	var out []*worker
	for _, w := range p.workers {
		w.warmUp(at)
		if w.calls < p.traits.Slots && at >= w.usableFrom() {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int {
		if p.prefer(a, b) {
			return -1
		}
		return 1
	})
	return out
}

// prefer reports whether a is used before b: slow servers come last, and the one
// that has been idle for longest comes first.
func (p *Pool) prefer(a, b *worker) bool {
	slowA, slowB := a.slowdown > slowFactor*p.slowdown, b.slowdown > slowFactor*p.slowdown
	if slowA != slowB {
		return slowB
	}
	if a.idleSince != b.idleSince {
		return a.idleSince < b.idleSince
	}
	return a.ID < b.ID
}

// markFull counts all result memory of the server as used until fullPause has
// passed. The server reported that it is out of memory, so it must hold results
// of a previous owner, which this one has not counted.
func (w *worker) markFull(at time.Duration, capacity int64) {
	if unknown := w.results[unknownResults]; unknown.until > at {
		return
	}
	w.resultBytes -= w.results[unknownResults].bytes
	rest := max(0, capacity-w.resultBytes-w.pendingBytes)
	w.results[unknownResults] = storedResult{rest, at + fullPause}
	w.resultBytes += rest
}

// updateWorker updates a backend server's load, slowdown and ejection after a
// call.
func (p *Pool) updateWorker(at time.Duration, w *worker, call *Call, outcomes []tanagerroad.PieceOutcome, full bool) {
	if !call.abandoned {
		w.calls = max(0, w.calls-1)
		w.idleSince, w.freeAt = at, at
	}
	for _, q := range call.Pieces {
		w.pendingBytes -= q.Job.size()
	}
	if outcomes == nil && call.abandoned {
		return
	}
	if outcomes == nil {
		w.ejectedUntil = at + ejectTime
		if full {
			w.ejectedUntil = at + p.traits.CallTime/2
		}
		return
	}
	ratio := float64(at-call.Started-dispatchOverhead) / max(call.nominal, 1)
	w.uncontended = ratio < uncontendedFactor*w.slowdown
	w.slowdown += slowdownWeight * (ratio - w.slowdown)
	var sum float64
	for _, other := range p.workers {
		sum += min(other.slowdown, 4)
	}
	p.slowdown = sum / float64(len(p.workers))
}

// ReleaseResults subtracts released results from the memory counted for their
// backend servers. Those with a limit, and cold ones with one, are not asked to free results.
func (p *Pool) ReleaseResults(handles []string) {
	for _, handle := range handles {
		for _, w := range p.workers {
			if r, ok := w.results[handle]; ok && w.limit == 0 && w.coldLimit == 0 {
				w.resultBytes -= r.bytes
				delete(w.results, handle)
			}
		}
	}
}
