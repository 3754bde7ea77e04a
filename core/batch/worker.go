package batch

import (
	"slices"
	"time"

	"tanagerroad"
)

// worker is a backend server as the pool sees it.
type worker struct {
	tanagerroad.Announcement
	calls       int
	freeAt      time.Duration // predicted
	speed       float64       // time of a call against the pool's traits
	ejected     time.Duration
	idleFrom    time.Duration
	results     map[string]result // results, by handle
	resultBytes int64
	pending     int64 // bytes of results being made
	prompt      bool  // it began on its last call at once
}

// result is what a backend server keeps for later stages.
type result struct {
	bytes int64
	until time.Duration
}

// unknownResults stands for results that were made for another owner.
const unknownResults = ""

// room is the bytes of results that a backend server can still keep.
func (p *Pool) room(at time.Duration, w *worker) int64 {
	for handle, h := range w.results {
		if h.until < at {
			w.resultBytes -= h.bytes
			delete(w.results, handle)
		}
	}
	if p.traits.Room <= 0 {
		return 1 << 62
	}
	return p.traits.Room - w.resultBytes - w.pending
}

// idle lists the backend servers that have nothing to do, the one that has been
// so for the longest first, slow ones last.
func (p *Pool) idle(at time.Duration) []*worker {
	var out []*worker
	for _, w := range p.workers {
		if w.calls < p.traits.Slots && at >= w.ejected {
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

func (p *Pool) prefer(a, b *worker) bool {
	slowA, slowB := a.speed > slowFactor*p.speed, b.speed > slowFactor*p.speed
	if slowA != slowB {
		return slowB
	}
	if a.idleFrom != b.idleFrom {
		return a.idleFrom < b.idleFrom
	}
	return a.ID < b.ID
}

// fillUp counts all room as taken for a while: results lie there that were made
// for an owner before this one.
func (w *worker) fillUp(at time.Duration, room int64) {
	if known := w.results[unknownResults]; known.until > at {
		return
	}
	w.resultBytes -= w.results[unknownResults].bytes
	rest := max(0, room-w.resultBytes-w.pending)
	w.results[unknownResults] = result{rest, at + fullPause}
	w.resultBytes += rest
}

// settle takes what a call's end says about its backend server.
func (p *Pool) settle(at time.Duration, w *worker, call *Call, outcomes []tanagerroad.PieceOutcome, full bool) {
	if !call.abandoned {
		w.calls = max(0, w.calls-1)
		w.idleFrom, w.freeAt = at, at
	}
	for _, q := range call.Pieces {
		w.pending -= q.Job.size()
	}
	if outcomes == nil && call.abandoned {
		return
	}
	if outcomes == nil {
		w.ejected = at + ejectTime
		if full {
			w.ejected = at + p.traits.Call/2
		}
		return
	}
	took := float64(at-call.Started-hopTime) / max(call.expected, 1)
	w.prompt = took < promptFactor*w.speed
	w.speed += speedWeight * (took - w.speed)
	var sum float64
	for _, other := range p.workers {
		sum += min(other.speed, 4)
	}
	p.speed = sum / float64(len(p.workers))
}

// Free notes that results are given up.
func (p *Pool) Free(handles []string) {
	for _, handle := range handles {
		for _, w := range p.workers {
			if h, ok := w.results[handle]; ok {
				w.resultBytes -= h.bytes
				delete(w.results, handle)
			}
		}
	}
}
