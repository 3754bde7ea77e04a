// Package origin keeps at which software version each stream began. What two versions of a
// backend server's software write does not fit together, so a stream that breaks off may go
// on only at the version that began it. It is built for releases, when two versions of a
// pool serve side by side, and for gateways that end while they last: whoever takes a stream
// up names only the attempt that began it.
//
// Each pool has a base version. Only streams that begin at another version are recorded,
// each before its first event is passed on, so a stream without a record began at the base
// version. The base moves on only when no stream can be left that began at it.
//
// Ledger is the replicated state. Base decides when the base of a pool moves on.
package origin

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/wire"
)

// Slack is how much longer than a stream its record is kept, since clocks differ and step.
const Slack = 10 * time.Second

// Stream returns the identifier in records of the stream that the attempt with this id began.
func Stream(attemptID string) uint64 { return xxhash.Sum64String(attemptID) }

// Ledger holds the base version of each pool and the versions of the recorded streams. It
// is deterministic: the same calls lead to the same state.
type Ledger struct {
	bases    map[string]string // by pool
	baseList []*wire.PoolBase  // the same, in ascending order of the pools
	changes  uint64            // of bases
	origins  map[uint64]*wire.Origin
	expiring map[int64][]uint64 // streams, by the second until which they are kept
	expired  int64              // the second up to which streams have been dropped
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{bases: map[string]string{}, origins: map[uint64]*wire.Origin{}, expiring: map[int64][]uint64{}}
}

// Record records streams at a Unix time in milliseconds. The first version recorded for a
// pool becomes its base.
func (l *Ledger) Record(atMillis int64, streams []*wire.Origin) {
	for _, s := range streams {
		if _, ok := l.bases[s.GetPool()]; !ok {
			l.setBase(s.GetPool(), s.GetSoftware())
		}
		l.add(&wire.Origin{Stream: s.GetStream(), Pool: s.GetPool(), Software: s.GetSoftware(), UntilMillis: atMillis + max(0, s.GetKeepMillis())})
	}
}

func (l *Ledger) add(o *wire.Origin) {
	l.origins[o.GetStream()] = o
	second := max(o.GetUntilMillis()/1000, l.expired)
	l.expiring[second] = append(l.expiring[second], o.GetStream())
}

// Software returns the version at which a stream of a pool began. Without a record it is
// the pool's base version, empty if the pool has none.
func (l *Ledger) Software(pool string, stream uint64) string {
	if l.IsRecorded(pool, stream) {
		return l.origins[stream].GetSoftware()
	}
	return l.bases[pool]
}

// IsRecorded reports whether a stream of a pool has a record.
func (l *Ledger) IsRecorded(pool string, stream uint64) bool {
	o := l.origins[stream]
	return o != nil && o.GetPool() == pool
}

// ChangeBase replaces the base version of a pool, unless it is not from any more.
func (l *Ledger) ChangeBase(pool, from, to string) {
	if l.bases[pool] == from {
		l.setBase(pool, to)
	}
}

func (l *Ledger) setBase(pool, software string) {
	l.bases[pool] = software
	l.changes++
	l.updateBaseList()
}

func (l *Ledger) updateBaseList() {
	l.baseList = nil
	for pool, software := range l.bases {
		l.baseList = append(l.baseList, &wire.PoolBase{Pool: pool, Software: software})
	}
	slices.SortFunc(l.baseList, func(a, b *wire.PoolBase) int { return cmp.Compare(a.GetPool(), b.GetPool()) })
}

// Expire drops the records that were kept until a second before the given time.
func (l *Ledger) Expire(atMillis int64) {
	now := atMillis / 1000
	first := now
	for second := range l.expiring {
		first = min(first, second)
	}
	l.expired = max(l.expired, first)
	for ; l.expired < now; l.expired++ {
		for _, stream := range l.expiring[l.expired] {
			if o := l.origins[stream]; o != nil && o.GetUntilMillis()/1000 <= l.expired {
				delete(l.origins, stream)
			}
		}
		delete(l.expiring, l.expired)
	}
}

// Len returns the number of recorded streams.
func (l *Ledger) Len() int { return len(l.origins) }

// Bases returns the base versions, in ascending order of the pools, and a number that grows
// with each change of them. The list is shared and must not be changed.
func (l *Ledger) Bases() ([]*wire.PoolBase, uint64) { return l.baseList, l.changes }

// Origins returns the recorded streams for a snapshot, in ascending order.
func (l *Ledger) Origins() []*wire.Origin {
	var out []*wire.Origin
	for _, o := range l.origins {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *wire.Origin) int { return cmp.Compare(a.GetStream(), b.GetStream()) })
	return out
}

// Restore replaces the state with that of a snapshot: what Bases and Origins returned.
func (l *Ledger) Restore(bases []*wire.PoolBase, changes uint64, origins []*wire.Origin) {
	*l = *New()
	for _, b := range bases {
		l.bases[b.GetPool()] = b.GetSoftware()
	}
	l.changes = changes
	l.updateBaseList()
	for _, o := range origins {
		l.add(o)
	}
}

// Base watches the backend servers of all pools and decides when a base version has gone. Its
// owner calls Observe all the time, or Forget while it does not watch.
type Base struct {
	absence time.Duration
	seenAt  map[string]time.Duration // by pool: when a server of the base version was last seen
}

// NewBase returns a watch. A base version has gone once no backend server of it has been
// seen for the time absence, which must be longer than any stream.
func NewBase(absence time.Duration) *Base {
	return &Base{absence: absence, seenAt: map[string]time.Duration{}}
}

// Forget starts the watch anew: servers may have come and gone since the latest observation,
// and the streams that began at them have no record.
func (b *Base) Forget() { clear(b.seenAt) }

// Change is a base version that has gone, and the version that replaces it.
type Change struct{ Pool, From, To string }

// Observe returns the bases to change, given the bases and the announcements that are known.
// The version of the most servers replaces one that has gone.
func (b *Base) Observe(at time.Duration, bases []*wire.PoolBase, known []tanagerroad.Announcement) []Change {
	var out []Change
	for _, base := range bases {
		pool := base.GetPool()
		counts := map[string]int{}
		for _, a := range known {
			if a.Pool == pool && a.State != tanagerroad.Down {
				counts[a.Software]++
			}
		}
		if _, ok := b.seenAt[pool]; !ok || counts[base.GetSoftware()] > 0 || len(counts) == 0 {
			b.seenAt[pool] = at
		}
		if at-b.seenAt[pool] < b.absence {
			continue
		}
		to := ""
		for software, n := range counts {
			if to == "" || n > counts[to] || n == counts[to] && software < to {
				to = software
			}
		}
		out = append(out, Change{Pool: pool, From: base.GetSoftware(), To: to})
		delete(b.seenAt, pool)
	}
	return out
}
