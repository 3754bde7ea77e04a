// Package memory keeps one account of the memory that the callers of an instance take:
// their connections, the heads and bodies of their requests, and their answers. When the
// account is full it decides whose connection is dropped, or whose request is refused. It
// reads no clock; times are passed in. It is safe for concurrent use.
package memory

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Use is what memory is used for.
type Use int

// Uses.
const (
	Connections Use = iota
	Heads           // and what is kept for the request as a whole
	Bodies
	Answers
	Pieces // of stages, and their results
	numUses
)

// Uses lists all uses; String names them in metrics.
var Uses = []Use{Connections, Heads, Bodies, Answers, Pieces}

func (u Use) String() string {
	return [...]string{"connections", "heads", "bodies", "answers", "pieces"}[u]
}

// Errors of a reservation.
var (
	ErrFull    = errors.New("too much memory is in use")
	ErrDropped = errors.New("the connection was dropped for the memory that it held")
)

// Config holds the capacity of an account and the rules of dropping.
type Config struct {
	Capacity int64 // bytes
	// Reserve is the part of Capacity that only connections and small requests may use.
	Reserve int64
	// SmallRequest is the size in bytes, of head, body and pieces, up to which a request is small.
	SmallRequest int64
	// ConnectionBytes is what an idle connection costs.
	ConnectionBytes int64
	// SmallStall and LargeStall are the times without progress after which a connection may
	// be dropped for a small and for a large request. They apply only when the account is full.
	SmallStall, LargeStall time.Duration
}

// DefaultConfig returns the rules for a capacity in bytes.
func DefaultConfig(capacity int64) Config {
	return Config{
		Capacity: capacity, Reserve: capacity / 4, SmallRequest: 64 << 10,
		// The stack of its goroutine, two buffers of net/http of 4 KiB each, and bookkeeping.
		ConnectionBytes: 20 << 10,
		// A crowd that arrives at once keeps small requests out until it counts as stalled:
		// with 200 ms more than 5 in 100 requests of the first seconds were refused.
		SmallStall: 50 * time.Millisecond, LargeStall: time.Second,
	}
}

// answerShare is the fraction of the capacity in answers above which answers are no longer
// buffered whole.
const answerShare = 0.25

// State is what a connection is doing.
type State int32

// States of a connection.
const (
	Idle      State = iota // between requests
	Receiving              // a request has not been read whole
	Running                // a request has been read whole; the connection is never dropped
	Sending                // a write to the caller has not ended
)

// Account is the memory account of one instance.
type Account struct {
	config  Config
	mu      sync.Mutex // guards the fields below, and those of holders that say so
	used    [numUses]int64
	total   int64
	holders map[*Holder]struct{}
	counts  Counts
	// searchedSmall and searchedLarge are the times before which no connection to drop is
	// looked for, for small and for large requests.
	searchedSmall, searchedLarge time.Duration
}

// searchPause is the time after a search in vain before the next one: each looks at all
// connections, and a crowd that is refused would have it done for each request.
const searchPause = 10 * time.Millisecond

// Counts are numbers of events since the start.
type Counts struct {
	Refused int64 // reservations
	Dropped int64 // connections
}

// New returns an empty account.
func New(config Config) *Account {
	return &Account{config: config, holders: map[*Holder]struct{}{}}
}

// Capacity returns the capacity in bytes.
func (a *Account) Capacity() int64 { return a.config.Capacity }

// Used returns the bytes in use for one thing.
func (a *Account) Used(use Use) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[use]
}

// Counts returns how often the account refused and dropped.
func (a *Account) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// AnswersPressed reports whether answers take so much that they should not be buffered whole.
func (a *Account) AnswersPressed() bool {
	return float64(a.Used(Answers)) > answerShare*float64(a.config.Capacity)
}

// Listener is one listener of the instance. Each has its own limit on connections, so that
// the callers of one can't shut out those of another.
type Listener struct {
	account *Account
	max     int
	exempt  bool
	count   int // guarded by Account.mu
}

// NewListener returns a listener with a limit on connections. The connections of an exempt
// listener are not refused when the account is full: they are few, and serve operators and
// load balancers, who must get through just then.
func (a *Account) NewListener(maxConnections int, exempt bool) *Listener {
	return &Listener{account: a, max: maxConnections, exempt: exempt}
}

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	return l.count
}

// Holder is a connection and the memory held for it.
type Holder struct {
	listener *Listener
	address  string // of the caller, without its port
	drop     func()
	state    atomic.Int32
	progress atomic.Int64 // time of the latest progress, as a time.Duration

	held   [numUses]int64 // guarded by Account.mu, like the fields below
	total  int64
	closed bool // dropped, or closed by its owner
}

// Open adds a connection. drop is called, without locks held, if the account drops it.
func (l *Listener) Open(now time.Duration, address string, drop func()) (*Holder, error) {
	a := l.account
	h := &Holder{listener: l, address: address, drop: drop}
	h.progress.Store(int64(now))
	a.mu.Lock()
	var victims []*Holder
	defer func() { a.mu.Unlock(); dropAll(victims) }()
	for l.count >= l.max {
		victim := a.victim(now, 0, func(v *Holder) bool { return v.listener == l })
		if victim == nil {
			a.counts.Refused++
			return nil, ErrFull
		}
		a.remove(victim)
		victims = append(victims, victim)
		a.counts.Dropped++
	}
	if !a.makeRoom(now, h, a.config.ConnectionBytes, &victims) && !l.exempt {
		a.counts.Refused++
		return nil, ErrFull
	}
	a.holders[h] = struct{}{}
	l.count++
	a.add(h, Connections, a.config.ConnectionBytes)
	return h, nil
}

// Reserve adds bytes to a connection's memory before they are allocated. Connections that
// make no progress are dropped if that is needed; ErrFull says that it is not enough, and
// ErrDropped that the connection itself has been dropped.
func (h *Holder) Reserve(now time.Duration, use Use, bytes int64) error {
	return h.reserve(now, use, bytes, h.listener.exempt)
}

// Add is Reserve for memory that can't be refused, since the request has run.
func (h *Holder) Add(now time.Duration, use Use, bytes int64) error {
	return h.reserve(now, use, bytes, true)
}

func (h *Holder) reserve(now time.Duration, use Use, bytes int64, force bool) error {
	a := h.listener.account
	a.mu.Lock()
	var victims []*Holder
	defer func() { a.mu.Unlock(); dropAll(victims) }()
	if h.closed {
		return ErrDropped
	}
	if !a.makeRoom(now, h, bytes, &victims) && !force {
		a.counts.Refused++
		return ErrFull
	}
	a.add(h, use, bytes)
	return nil
}

// Release gives back all that a connection holds for a use.
func (h *Holder) Release(use Use) {
	a := h.listener.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, use, -h.held[use])
}

// ReleaseBytes gives back a part of what a connection holds for a use.
func (h *Holder) ReleaseBytes(use Use, bytes int64) {
	a := h.listener.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(h, use, -min(bytes, h.held[use]))
}

// StartReceiving says that the first bytes of a request have arrived.
func (h *Holder) StartReceiving(now time.Duration) {
	h.progress.Store(int64(now))
	h.state.Store(int32(Receiving))
}

// Progress records that bytes of a request or of an answer have passed.
func (h *Holder) Progress(now time.Duration) { h.progress.Store(int64(now)) }

// StartRunning says that the request has been read whole: from now on the connection is not
// dropped. It returns ErrDropped if that has happened already.
func (h *Holder) StartRunning() error {
	a := h.listener.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return ErrDropped
	}
	h.state.Store(int32(Running))
	return nil
}

// StartSending says that a write to the caller begins. EndSending must follow.
func (h *Holder) StartSending(now time.Duration) (previous State) {
	h.progress.Store(int64(now))
	return State(h.state.Swap(int32(Sending)))
}

// EndSending says that the write has ended.
func (h *Holder) EndSending(previous State) { h.state.Store(int32(previous)) }

// StartIdle says that the request has ended, and releases all but the connection itself.
func (h *Holder) StartIdle(now time.Duration) {
	a := h.listener.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.progress.Store(int64(now))
	h.state.Store(int32(Idle))
	for use := Heads; use < numUses; use++ {
		a.add(h, use, -h.held[use])
	}
}

// Close removes a connection and all that it holds.
func (h *Holder) Close() {
	a := h.listener.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(h)
}

// add changes what a connection holds. a.mu must be held, here and below.
func (a *Account) add(h *Holder, use Use, bytes int64) {
	if h.closed {
		return
	}
	h.held[use] += bytes
	h.total += bytes
	a.used[use] += bytes
	a.total += bytes
}

// remove takes a connection out of the account.
func (a *Account) remove(h *Holder) {
	if h.closed {
		return
	}
	for use := range numUses {
		a.add(h, use, -h.held[use])
	}
	h.closed = true
	h.listener.count--
	delete(a.holders, h)
}

// makeRoom takes connections without progress out of the account until there is room for so
// many bytes more for h, and reports whether there is.
func (a *Account) makeRoom(now time.Duration, h *Holder, bytes int64, victims *[]*Holder) bool {
	limit, stall, searched := a.config.Capacity, a.config.SmallStall, &a.searchedSmall
	if h.held[Heads]+h.held[Bodies]+h.held[Pieces]+bytes > a.config.SmallRequest {
		limit, stall, searched = a.config.Capacity-a.config.Reserve, a.config.LargeStall, &a.searchedLarge
	}
	for a.total+bytes > limit {
		if now < *searched {
			return false
		}
		victim := a.victim(now, stall, func(v *Holder) bool { return v != h && !v.listener.exempt })
		if victim == nil {
			*searched = now + searchPause
			return false
		}
		a.remove(victim)
		*victims = append(*victims, victim)
		a.counts.Dropped++
	}
	return true
}

// victim returns the connection to drop first among those that allowed admits and that have
// made no progress for some time, or nil. Connections with unfinished requests or answers go
// before idle ones, those of the address that holds most before others, and then the one
// that has held most for longest.
func (a *Account) victim(now, stall time.Duration, allowed func(*Holder) bool) *Holder {
	var candidates []*Holder
	byAddress := map[string]int64{}
	for h := range a.holders {
		state := State(h.state.Load())
		if state == Running || now-time.Duration(h.progress.Load()) < stall || !allowed(h) {
			continue
		}
		candidates = append(candidates, h)
		if state != Idle {
			byAddress[h.address] += h.total
		}
	}
	var best *Holder
	var bestRank rank
	for _, h := range candidates {
		stalled := now - time.Duration(h.progress.Load())
		r := rank{busy: State(h.state.Load()) != Idle, address: byAddress[h.address], waste: stalled.Seconds() * float64(h.total)}
		if best == nil || r.above(bestRank) {
			best, bestRank = h, r
		}
	}
	return best
}

// rank orders connections by how soon they are dropped.
type rank struct {
	busy    bool
	address int64   // bytes that its address holds
	waste   float64 // bytes times seconds without progress
}

func (r rank) above(other rank) bool {
	switch {
	case r.busy != other.busy:
		return r.busy
	case r.busy && r.address != other.address:
		return r.address > other.address
	}
	return r.waste > other.waste
}

func dropAll(victims []*Holder) {
	for _, v := range victims {
		v.drop()
	}
}
