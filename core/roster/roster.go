// Package roster decides which backend servers may be used, from what they
// say of themselves. Announcements come by way of several sources, late, in
// any order and from starts that have ended; the newest start wins, and within
// a start the highest sequence.
package roster

import (
	"cmp"
	"slices"
	"time"

	"tanagerroad"
)

// Config bounds a roster.
type Config struct {
	Lapse  time.Duration // silence of a backend server after which it counts as gone
	Forget time.Duration // how long the last word of one that is gone is kept
}

// DefaultConfig follows announcements that come about once a second.
func DefaultConfig() Config {
	return Config{
		Lapse:  5 * time.Second, // four announcements may be lost
		Forget: time.Minute,     // longer than a delayed announcement is on its way
	}
}

type record struct {
	said    tanagerroad.Announcement
	sources map[string]bool // that hear it
	heard   time.Duration
	changed uint64
}

// Roster is what is known of backend servers. The zero value is not ready;
// use New.
type Roster struct {
	config   Config
	records  map[string]*record
	sequence uint64
}

// New returns an empty roster.
func New(config Config) *Roster { return &Roster{config: config, records: map[string]*record{}} }

// newer reports whether a was said after b.
func newer(a, b tanagerroad.Announcement) bool {
	if a.Born != b.Born && a.Born != 0 && b.Born != 0 {
		return a.Born > b.Born
	}
	// Down is the last word of a start, whatever arrives after it.
	if (a.State == tanagerroad.Down) != (b.State == tanagerroad.Down) {
		return a.State == tanagerroad.Down
	}
	return a.Sequence > b.Sequence
}

// Take notes what a backend server says. source is the instance that heard
// it, empty when it was only told of it. It reports whether anything changed
// that others need to know.
func (r *Roster) Take(at time.Duration, source string, a tanagerroad.Announcement) bool {
	known, ok := r.records[a.ID]
	if !ok {
		known = &record{said: a, sources: map[string]bool{}}
		r.records[a.ID] = known
		r.note(known)
	}
	stale := ok && !newer(a, known.said) && a != known.said
	if stale {
		return false
	}
	known.heard = at
	changed := !ok
	if source != "" && a.State != tanagerroad.Down && !known.sources[source] {
		known.sources[source] = true
		changed = true
	}
	before := known.said
	known.said = merge(before, a)
	if before.State != known.said.State || before.Born != known.said.Born || before.Address != known.said.Address ||
		before.Pool != known.said.Pool {
		changed = true
	}
	if known.said.State == tanagerroad.Down {
		clear(known.sources)
	}
	if changed {
		r.note(known)
	}
	return changed
}

// merge fills what a last word leaves out.
func merge(before, a tanagerroad.Announcement) tanagerroad.Announcement {
	if a.State != tanagerroad.Down {
		return a
	}
	out := before
	out.State = tanagerroad.Down
	out.Sequence = max(before.Sequence, a.Sequence)
	if a.Born != 0 {
		out.Born = a.Born
	}
	return out
}

func (r *Roster) note(known *record) {
	r.sequence++
	known.changed = r.sequence
}

// Lapse notes that a source does not hear the backend server any more.
func (r *Roster) Lapse(source, id string) {
	if known, ok := r.records[id]; ok && known.sources[source] {
		delete(known.sources, source)
		r.note(known)
	}
}

// Retain notes that a source hears only those listed.
func (r *Roster) Retain(source string, ids map[string]bool) {
	for id := range r.records {
		if !ids[id] {
			r.Lapse(source, id)
		}
	}
}

// Expire ends what the source itself has not heard for too long, and returns
// their ids.
func (r *Roster) Expire(at time.Duration, source string) []string {
	var lapsed []string
	for id, known := range r.records {
		silent := at - known.heard
		if known.sources[source] && silent > r.config.Lapse {
			r.Lapse(source, id)
			lapsed = append(lapsed, id)
		}
		if len(known.sources) == 0 && silent > r.config.Forget {
			delete(r.records, id)
		}
	}
	slices.Sort(lapsed)
	return lapsed
}

// Entry is one backend server with what is known of it.
type Entry struct {
	tanagerroad.Announcement
	Heard bool // by the source asked for
}

// Since lists what changed after the sequence, and the present sequence.
func (r *Roster) Since(source string, sequence uint64) ([]Entry, uint64) {
	var out []Entry
	for _, known := range r.records {
		if known.changed > sequence {
			out = append(out, Entry{known.said, known.sources[source]})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out, r.sequence
}

// Sequence grows with each change.
func (r *Roster) Sequence() uint64 { return r.sequence }

// Usable lists the backend servers that may be given new work, sorted by id:
// some source hears them, they are not leaving, and no later start stands at
// their address.
func (r *Roster) Usable() []tanagerroad.Announcement {
	latest := map[string]*record{}
	for _, known := range r.records {
		if other, ok := latest[known.said.Address]; !ok || known.said.Born > other.said.Born {
			latest[known.said.Address] = known
		}
	}
	var out []tanagerroad.Announcement
	for _, known := range r.records {
		if known.said.State != tanagerroad.Serving || len(known.sources) == 0 {
			continue
		}
		if other := latest[known.said.Address]; other.said.Born > known.said.Born {
			continue
		}
		out = append(out, known.said)
	}
	slices.SortFunc(out, func(a, b tanagerroad.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
