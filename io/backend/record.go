package backend

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad/core/wire"
	"tanagerroad/io/signal"
)

// record holds the state of one attempt at the sidecar: its result so far, how it
// ended, and the number of watchers, which are streams that send the result to an
// entry.
type record struct {
	call        call
	request     *wire.RunRequest
	cancel      context.CancelFunc // cancels the call at the backend server; nil until it starts
	arrived     time.Duration      // when the request arrived
	changed     *signal.Signal     // data or end changed
	cancelTimer *time.Timer        // cancels the attempt when nobody watches it; guarded by Sidecar.mu

	mu       sync.Mutex // guards the fields below
	data     []byte
	end      *wire.Part    // the final part; nil until the attempt ends
	started  time.Duration // when the call was sent to the backend server
	watchers int
}

func newRecord(request *wire.RunRequest, arrived time.Duration) *record {
	return &record{request: request, arrived: arrived, changed: signal.New()}
}

// appendAndNotify appends a chunk of the result and wakes the watchers.
func (r *record) appendAndNotify(chunk []byte) {
	r.appendData(chunk)
	r.changed.Broadcast()
}

// appendData appends a chunk of the result without waking the watchers.
func (r *record) appendData(chunk []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = append(r.data, chunk...)
}

// close sets the final part and wakes the watchers. If one is set already, it is
// kept.
func (r *record) close(end *wire.Part) {
	r.mu.Lock()
	if r.end == nil {
		r.end = end
	}
	r.mu.Unlock()
	r.changed.Broadcast()
}

// size returns the size of the result so far in bytes.
func (r *record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.data)
}

// digest returns the xxhash64 of the result so far.
func (r *record) digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return xxhash.Sum64(r.data)
}

// maxTailBytes is the maximum size of the data sent within the final part.
const maxTailBytes = 16 << 10

// withTail returns a copy of the final part that includes the rest of the data,
// which starts at offset from. This saves a message and its wake-ups for every
// small result.
func withTail(end *wire.Part, from uint64, tail []byte) *wire.Part {
	if len(tail) == 0 {
		return end
	}
	e := end.GetEnd()
	return &wire.Part{Key: end.GetKey(), Leaving: end.GetLeaving(), Body: &wire.Part_End{End: &wire.End{
		Length: e.GetLength(), Digest: e.GetDigest(), ServiceMicros: e.GetServiceMicros(), QueueMicros: e.GetQueueMicros(),
		Load: e.GetLoad(), Tail: &wire.Data{Offset: from, Bytes: tail},
	}}}
}

// maxChunkBytes is the maximum size of the data in one data part.
const maxChunkBytes = 64 << 10

// next returns what to send to a watcher that has received all data before the byte
// offset from: a chunk of data, or else the final part, or else neither. The channel
// is closed when the record changes.
func (r *record) next(from uint64) (chunk []byte, end *wire.Part, changed <-chan struct{}) {
	changed = r.changed.Changed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withheld() {
		return nil, r.end, changed
	}
	if remaining := uint64(len(r.data)) - min(from, uint64(len(r.data))); r.end.GetEnd() != nil && remaining <= maxTailBytes {
		return nil, withTail(r.end, from, r.data[uint64(len(r.data))-remaining:]), changed
	}
	if from < uint64(len(r.data)) {
		return r.data[from:min(uint64(len(r.data)), from+maxChunkBytes)], nil, changed
	}
	return nil, r.end, changed
}

// withheld reports whether the data must not be sent. If the request sets
// keep_above, the data is withheld until the attempt ends and its size is known;
// a result above that size stays here and only a reference to it is sent. The
// caller holds the lock.
func (r *record) withheld() bool {
	threshold := r.request.GetKeepAbove()
	if threshold == 0 {
		return false
	}
	return r.end == nil || r.end.GetEnd().GetKept() != nil
}

// adjustWatchers changes the number of watchers by delta and returns the new number.
func (r *record) adjustWatchers(delta int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers += delta
	return r.watchers
}
