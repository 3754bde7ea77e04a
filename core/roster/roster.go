// Package roster decides which backend servers may be used, from the
// announcements that they send about themselves. Announcements arrive from
// several sources (control instances), late, in any order, and from earlier
// starts of a backend server. The latest start wins, and within a start the
// announcement with the highest sequence number.
//
// The roster serves gateways. Package directory holds the list for entries, whose
// backend servers are announced by their sidecars.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tanagerroad"
)

// Config holds the timeouts of a roster.
type Config struct {
	SilenceTimeout time.Duration // a source counts a backend server as lost after this long without an announcement
	Retention      time.Duration // the record of a server lost at all sources is deleted after this long without an announcement
	ClockStep      time.Duration // by which a server's clock may be set back between two starts
}

// DefaultConfig suits announcements that are sent about once a second.
func DefaultConfig() Config {
	return Config{
		SilenceTimeout: 5 * time.Second, // tolerates the loss of four announcements in a row
		Retention:      time.Minute,     // longer than an announcement can be delayed
		ClockStep:      10 * time.Second,
	}
}

// record is what is stored about one backend server.
type record struct {
	announcement tanagerroad.Announcement
	sources      map[string]bool // sources that currently receive its announcements
	lastReceived time.Duration   // time of the latest announcement that was not outdated
	startLearned time.Duration   // time of the first announcement of its start
	changedSeq   uint64          // sequence number of the latest change
	outdatedSeq  uint64          // changedSeq when Outdated last returned true
	coldUntil    time.Duration   // end of the server's cold time, by its announcement at the latest change
}

// coldTolerance is by how much later a server may say that it is warm than others were
// told, before that is a change. Announcements take so long in different ways.
const coldTolerance = 100 * time.Millisecond

// Roster holds the latest announcement of each backend server. Create one with
// New.
type Roster struct {
	config   Config
	records  map[string]*record
	departed map[string]Departure // by id; of the start that the record has, or of an earlier one
	pools    map[string]bool      // in the configuration; nil: not known
	sequence uint64               // of the latest change
}

// New returns an empty roster.
func New(config Config) *Roster {
	return &Roster{config: config, records: map[string]*record{}, departed: map[string]Departure{}}
}

// SetPools sets the names of the pools that the configuration has, or none if they are not
// known, and reports whether they are others than before. An announcement of another pool may
// come from another writer: it takes no backend server of a pool in the configuration out of
// use, neither under its id nor at its address.
func (r *Roster) SetPools(names []string) bool {
	before := r.pools
	r.pools = nil
	for _, name := range names {
		if r.pools == nil {
			r.pools = map[string]bool{}
		}
		r.pools[name] = true
	}
	return !maps.Equal(before, r.pools)
}

// isConfigured reports whether the configuration has a pool, or is not known.
func (r *Roster) isConfigured(pool string) bool { return r.pools == nil || r.pools[pool] }

// supersedes reports whether a takes the place of b: it is later, or it is of a pool that the
// configuration has and b is not. An announcement without a start is not one of a backend
// server that has named its start, unless that it is down.
func (r *Roster) supersedes(a, b tanagerroad.Announcement) bool {
	if r.isConfigured(a.Pool) != r.isConfigured(b.Pool) && a.State != tanagerroad.Down && b.State != tanagerroad.Down {
		return r.isConfigured(a.Pool)
	}
	if (a.StartMillis == 0) != (b.StartMillis == 0) && a.State != tanagerroad.Down && b.State != tanagerroad.Down {
		return a.StartMillis != 0
	}
	if a.StartMillis != b.StartMillis && a.StartMillis != 0 && b.StartMillis != 0 {
		return a.StartMillis > b.StartMillis
	}
	// Down ends a start; it overrides every other announcement of that start,
	// whatever the sequence numbers.
	if (a.State == tanagerroad.Down) != (b.State == tanagerroad.Down) {
		return a.State == tanagerroad.Down
	}
	if a.Sequence == b.Sequence {
		return a.State == tanagerroad.Leaving && b.State == tanagerroad.Serving // see Suspend
	}
	return a.Sequence > b.Sequence
}

// Apply applies an announcement. source is the instance that received it from the
// backend server, or "" when it was only forwarded and is no sign of life. Apply
// reports whether anything changed that other processes need to know. A forwarded departure
// that names no start, as an earlier version sends them, ends none (see NameStart).
func (r *Roster) Apply(at time.Duration, source string, a tanagerroad.Announcement) bool {
	if source == "" && a.State == tanagerroad.Down && a.StartMillis == 0 {
		return false
	}
	rec, ok := r.records[a.ID]
	if !ok {
		rec = &record{announcement: a, sources: map[string]bool{}, startLearned: at}
		r.records[a.ID] = rec
		r.markChanged(rec)
	}
	stale := ok && !r.supersedes(a, rec.announcement) && a != rec.announcement
	if stale && !r.isOutlier(at, rec, a) {
		return false
	}
	rec.lastReceived = at
	changed := !ok
	if source != "" && a.State != tanagerroad.Down && !rec.sources[source] {
		rec.sources[source] = true
		changed = true
	}
	before := rec.announcement
	rec.announcement = mergeDown(before, a)
	if before.StartMillis != rec.announcement.StartMillis {
		rec.startLearned = at
	}
	if before.State != rec.announcement.State || before.StartMillis != rec.announcement.StartMillis || before.Address != rec.announcement.Address ||
		before.Pool != rec.announcement.Pool || before.Software != rec.announcement.Software {
		changed = true
	}
	// The end is compared with that of the latest change, so that many small steps add up.
	if a.WarmUp > 0 && (before.WarmUp == 0 || at+a.WarmUp > rec.coldUntil+coldTolerance) {
		changed = true
	}
	if rec.announcement.State == tanagerroad.Down {
		clear(rec.sources)
	}
	if changed {
		r.markChanged(rec)
	}
	return changed
}

// Outdated reports whether an announcement that Apply has dropped is of another start or
// state than the one that is known, which it returns: true only once for each change of what
// is known, so that callers can log it.
func (r *Roster) Outdated(a tanagerroad.Announcement) (known tanagerroad.Announcement, ok bool) {
	rec, ok := r.records[a.ID]
	if !ok {
		return tanagerroad.Announcement{}, false
	}
	known = rec.announcement
	same := known.StartMillis == a.StartMillis && known.State == a.State
	if same || rec.outdatedSeq == rec.changedSeq || r.supersedes(a, known) {
		return tanagerroad.Announcement{}, false
	}
	rec.outdatedSeq = rec.changedSeq
	return known, true
}

// isOutlier reports whether the announcement that a record has was not the backend server's
// own: that has been silent since, while a is of the same start. A server that leaves, or
// has left, does not come back.
func (r *Roster) isOutlier(at time.Duration, rec *record, a tanagerroad.Announcement) bool {
	return rec.announcement.State == tanagerroad.Serving && rec.announcement.StartMillis == a.StartMillis && r.isConfigured(a.Pool) &&
		at-rec.lastReceived > r.config.SilenceTimeout
}

// mergeDown returns a, completed from before when it is a Down announcement,
// since those may carry only the id.
func mergeDown(before, a tanagerroad.Announcement) tanagerroad.Announcement {
	if a.State != tanagerroad.Down {
		return a
	}
	out := before
	out.State = tanagerroad.Down
	out.Sequence = max(before.Sequence, a.Sequence)
	if a.StartMillis != 0 {
		out.StartMillis = a.StartMillis
	}
	return out
}

// markChanged gives a record the next sequence number.
func (r *Roster) markChanged(rec *record) {
	r.sequence++
	rec.changedSeq = r.sequence
	rec.coldUntil = rec.lastReceived + rec.announcement.WarmUp
}

// StartLearned returns the time of the first announcement of a backend server's start, or 0 if
// the server is not known.
func (r *Roster) StartLearned(id string) time.Duration {
	if rec, ok := r.records[id]; ok {
		return rec.startLearned
	}
	return 0
}

// Lapse records that a source no longer receives announcements of a backend
// server.
func (r *Roster) Lapse(source, id string) {
	if rec, ok := r.records[id]; ok && rec.sources[source] {
		delete(rec.sources, source)
		r.markChanged(rec)
	}
}

// Retain calls Lapse for every backend server of a source that is not in ids.
func (r *Roster) Retain(source string, ids map[string]bool) {
	for id := range r.records {
		if !ids[id] {
			r.Lapse(source, id)
		}
	}
}

// Expire calls Lapse for the backend servers of a source that have been silent
// for longer than SilenceTimeout, and returns their ids, sorted. It also deletes
// the records whose Retention has passed.
func (r *Roster) Expire(at time.Duration, source string) []string {
	var expired []string
	for id, rec := range r.records {
		silence := at - rec.lastReceived
		if rec.sources[source] && silence > r.config.SilenceTimeout {
			r.Lapse(source, id)
			expired = append(expired, id)
		}
		if len(rec.sources) == 0 && silence > r.config.Retention {
			delete(r.records, id)
			delete(r.departed, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// HasAddress reports whether a backend server of a pool in the configuration, usable or not,
// has an address and is in one of the zones that in selects.
func (r *Roster) HasAddress(address string, in func(zone string) bool) bool {
	for _, rec := range r.records {
		if rec.announcement.Address == address && r.isConfigured(rec.announcement.Pool) && in(rec.announcement.Zone) {
			return true
		}
	}
	return false
}

// Entry is the latest announcement of one backend server.
type Entry struct {
	tanagerroad.Announcement
	Received bool // whether the source passed to Since receives its announcements
}

// Since returns the entries that changed after the given sequence number, sorted
// by id, and the current sequence number.
func (r *Roster) Since(source string, sequence uint64) ([]Entry, uint64) {
	var out []Entry
	for _, rec := range r.records {
		if rec.changedSeq > sequence {
			out = append(out, Entry{rec.announcement, rec.sources[source]})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out, r.sequence
}

// Sequence returns the sequence number of the latest change.
func (r *Roster) Sequence() uint64 { return r.sequence }

// Usable returns the backend servers that may receive new work, sorted by id: at
// least one source receives their announcements, they are serving, no answer said
// that they leave, the configuration has their pool, and no such backend server that
// started later has the same address.
func (r *Roster) Usable() []tanagerroad.Announcement {
	latest := map[string]*record{}
	for _, rec := range r.records {
		if !r.isConfigured(rec.announcement.Pool) {
			continue
		}
		if other, ok := latest[rec.announcement.Address]; !ok || rec.announcement.StartMillis > other.announcement.StartMillis {
			latest[rec.announcement.Address] = rec
		}
	}
	var out []tanagerroad.Announcement
	for _, rec := range r.records {
		if rec.announcement.State != tanagerroad.Serving || len(rec.sources) == 0 || r.HasDeparted(rec.announcement.ID, rec.announcement.StartMillis) ||
			!r.isConfigured(rec.announcement.Pool) {
			continue
		}
		if other := latest[rec.announcement.Address]; other.announcement.StartMillis > rec.announcement.StartMillis {
			continue
		}
		out = append(out, rec.announcement)
	}
	slices.SortFunc(out, func(a, b tanagerroad.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
