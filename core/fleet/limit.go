package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/limit"
)

const (
	// minLimit is the lowest limit that is kept, in requests a second. With less the
	// backend server could hardly say that it needs the limit no more.
	minLimit = 0.05
	// minShare is the lowest share of a limit that a gateway gets, in requests a second,
	// unless the limit itself is lower. Fewer gateways share a lower limit.
	minShare = 1.0
	// When no answer of a limited backend server has come for firstTurn, other gateways
	// get its shares in turns of nextTurn: those that have them may have no requests.
	firstTurn = 5 * time.Second
	nextTurn  = time.Second
	// limitRefresh is the age of a limit after which the next request goes to the
	// backend server if it may, so that an end of the limit is noticed.
	limitRefresh = 2 * time.Second
	// limitMemory is how long a limit is kept that no answer names.
	limitMemory = time.Minute
)

// ServerLimit is the rate of requests that a backend server takes from all gateways
// together, as it said in an answer.
type ServerLimit struct {
	ID          string
	StartMillis int64         // the start of the backend server that said it
	PerSecond   float64       // 0: it named none in its latest answer
	HeardAt     time.Duration // when that answer arrived
	Own         bool          // this gateway got the answer
}

// Limits holds the latest that each backend server said about its limit.
type Limits map[string]ServerLimit // by id

// Record records what a backend server said. It reports whether that differs from what
// was known before. What is older than that is ignored.
func (l Limits) Record(said ServerLimit) bool {
	known, ok := l[said.ID]
	if !ok && said.PerSecond == 0 || ok && (known.StartMillis > said.StartMillis || known.StartMillis == said.StartMillis && known.HeardAt > said.HeardAt) {
		return false
	}
	if said.PerSecond > 0 {
		said.PerSecond = max(said.PerSecond, minLimit)
	}
	l[said.ID] = said
	return !ok || known.StartMillis != said.StartMillis || known.PerSecond != said.PerSecond
}

// Expire removes what was heard too long ago.
func (l Limits) Expire(at time.Duration) {
	for id, said := range l {
		if at-said.HeardAt > limitMemory {
			delete(l, id)
		}
	}
}

// All returns everything that is kept, sorted by id.
func (l Limits) All() []ServerLimit {
	out := make([]ServerLimit, 0, len(l))
	for _, said := range l {
		out = append(out, said)
	}
	slices.SortFunc(out, func(a, b ServerLimit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// bucket limits the requests of this gateway to a limited backend server.
type bucket struct {
	limit.Rate
	start int64 // the start of the backend server
}

// SetGateways replaces the addresses of all gateways, which share the limits of backend
// servers; self is this one's.
func (f *Fleet) SetGateways(self string, all []string) {
	before := f.gateways
	f.self, f.gateways = self, all
	f.setSharers(before, all)
}

// RecordLimit records what a backend server said about its limit. It reports whether that
// differs from what was known before.
func (f *Fleet) RecordLimit(said ServerLimit) bool {
	changed := f.limits.Record(said)
	if b := f.buckets[said.ID]; changed && (b == nil || b.start != said.StartMillis) {
		f.buckets[said.ID] = &bucket{start: said.StartMillis}
	}
	return changed
}

// Limit returns the limit of this start of a backend server, if it named one in its latest
// answer.
func (f *Fleet) Limit(a tanagerroad.Announcement) (ServerLimit, bool) {
	l, ok := f.limits[a.ID]
	return l, ok && l.StartMillis == a.StartMillis && l.PerSecond > 0
}

// OwnLimits returns what backend servers said in answers to this gateway.
func (f *Fleet) OwnLimits() []ServerLimit {
	return slices.DeleteFunc(f.limits.All(), func(l ServerLimit) bool { return !l.Own })
}

// Limited returns the limits of the usable backend servers of a pool.
func (f *Fleet) Limited(pool string) []ServerLimit {
	if len(f.limits) == 0 {
		return nil
	}
	var out []ServerLimit
	for _, s := range f.pools[pool] {
		if l, ok := f.Limit(s.Announcement); ok {
			out = append(out, l)
		}
	}
	return out
}

// AddressLimited reports whether the backend server at an address has a limit.
func (f *Fleet) AddressLimited(address string) bool {
	for id := range f.limits {
		if s, ok := f.servers[id]; ok && s.Address == address {
			_, limited := f.Limit(s.Announcement)
			return limited
		}
	}
	return false
}

// AtLimit returns the limits of the usable backend servers of a pool that allow this
// gateway no request now.
func (f *Fleet) AtLimit(at time.Duration, pool string) []ServerLimit {
	return slices.DeleteFunc(f.Limited(pool), func(l ServerLimit) bool { return f.limitedUntil(at, f.servers[l.ID].Announcement) == 0 })
}

// ExpireLimits removes the limits that no answer has named for long.
func (f *Fleet) ExpireLimits(at time.Duration) {
	f.limits.Expire(at)
	for id := range f.buckets {
		if _, ok := f.limits[id]; !ok {
			delete(f.buckets, id)
		}
	}
}

// share returns this gateway's share of a limit in requests a second, 0 if it has none at
// present. Gateways that know the same limit and the same gateways agree on the shares
// without communicating: the limit is divided among as many gateways as get minShare, by
// rendezvous hashing. While the backend server sends no answers, others take their turn.
func (f *Fleet) share(at time.Duration, l ServerLimit) float64 {
	n := min(max(int(l.PerSecond/minShare), 1), max(len(f.gateways), 1))
	turn, _ := l.turn(at)
	hash := func(gateway string) uint64 {
		return xxhash.Sum64String(l.ID + "|" + strconv.FormatInt(turn, 10) + "|" + gateway)
	}
	own, above := hash(f.self), 0
	for _, gateway := range f.gateways {
		if gateway != f.self && hash(gateway) > own {
			above++
		}
	}
	if above >= n {
		return 0
	}
	return l.PerSecond / float64(n)
}

// turn returns the number of the current turn since the latest answer, from 0, and its end.
func (l ServerLimit) turn(at time.Duration) (number int64, end time.Duration) {
	end = l.HeardAt + firstTurn
	if at < end {
		return 0, end
	}
	number = 1 + int64((at-end)/nextTurn)
	return number, end + time.Duration(number)*nextTurn
}

// limitedUntil returns when the limit of a backend server allows this gateway the next
// request, 0 if it does so now.
func (f *Fleet) limitedUntil(at time.Duration, a tanagerroad.Announcement) time.Duration {
	l, ok := f.Limit(a)
	if !ok {
		return 0
	}
	share := f.share(at, l)
	if share == 0 {
		_, end := l.turn(at)
		return end
	}
	b := f.buckets[a.ID]
	b.Set(at, share)
	if wait := b.Wait(at); wait > 0 {
		return at + wait
	}
	return 0
}

// takeToken counts a request against the limit of a backend server, if it has one. It
// reports whether it has.
func (f *Fleet) takeToken(a tanagerroad.Announcement) bool {
	if _, ok := f.Limit(a); !ok {
		return false
	}
	f.buckets[a.ID].Take()
	return true
}

// Allow reports whether a request that was chosen for a backend server may be sent now,
// and counts it against a limit that was named since.
func (f *Fleet) Allow(at time.Duration, c Choice) bool {
	if f.PausedUntil(at, c.Announcement) > 0 {
		return false
	}
	if !c.Limited && f.limitedUntil(at, c.Announcement) > 0 || !f.allowCold(at, c) {
		return false
	}
	if !c.Limited {
		f.takeToken(c.Announcement)
	}
	return true
}
