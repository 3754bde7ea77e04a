package backend

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad/core/wire"
	"tanagerroad/io/signal"
)

// record is what the sidecar keeps of one attempt: its result so far, and how
// it ended.
type record struct {
	call        call
	request     *wire.RunRequest
	cancel      context.CancelFunc // of the call at the backend server
	arrived     time.Duration
	changed     *signal.Signal
	cancelGrace *time.Timer

	mu       sync.Mutex
	data     []byte
	end      *wire.Part // the closing part; nil while it goes on
	started  time.Duration
	watchers int
}

func newRecord(request *wire.RunRequest, arrived time.Duration) *record {
	return &record{request: request, arrived: arrived, changed: signal.New()}
}

// add takes a piece of the result and wakes who watches.
func (r *record) add(piece []byte) {
	r.hold(piece)
	r.changed.Give()
}

// hold takes a piece of the result.
func (r *record) hold(piece []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = append(r.data, piece...)
}

// close ends the record with its closing part; the first one stands.
func (r *record) close(end *wire.Part) {
	r.mu.Lock()
	if r.end == nil {
		r.end = end
	}
	r.mu.Unlock()
	r.changed.Give()
}

func (r *record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.data)
}

func (r *record) digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return xxhash.Sum64(r.data)
}

// tailBytes is the most data that travels in one part with its end.
const tailBytes = 16 << 10

// withTail is an end that carries the last of the data, which saves a message
// and its wake-ups for every small result.
func withTail(end *wire.Part, from uint64, tail []byte) *wire.Part {
	if len(tail) == 0 {
		return end
	}
	e := end.GetEnd()
	return &wire.Part{Key: end.GetKey(), Body: &wire.Part_End{End: &wire.End{
		Length: e.GetLength(), Digest: e.GetDigest(), ServiceMicros: e.GetServiceMicros(), QueueMicros: e.GetQueueMicros(),
		Load: e.GetLoad(), Tail: &wire.Data{Offset: from, Bytes: tail},
	}}}
}

// chunkBytes is the most that one part carries.
const chunkBytes = 64 << 10

// next returns what follows from: a piece of data, else the closing part, else
// nothing. The channel closes when there is more.
func (r *record) next(from uint64) (piece []byte, end *wire.Part, changed <-chan struct{}) {
	changed = r.changed.Changed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stays() {
		return nil, r.end, changed
	}
	if rest := uint64(len(r.data)) - min(from, uint64(len(r.data))); r.end.GetEnd() != nil && rest <= tailBytes {
		return nil, withTail(r.end, from, r.data[uint64(len(r.data))-rest:]), changed
	}
	if from < uint64(len(r.data)) {
		return r.data[from:min(uint64(len(r.data)), from+chunkBytes)], nil, changed
	}
	return nil, r.end, changed
}

// stays reports whether the result is not sent: it waits for its end to know
// whether it is large enough to be kept here, or it is.
func (r *record) stays() bool {
	above := r.request.GetKeepAbove()
	if above == 0 {
		return false
	}
	return r.end == nil || r.end.GetEnd().GetKept() != nil
}

func (r *record) watch(delta int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers += delta
	return r.watchers
}
