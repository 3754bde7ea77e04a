package roster

import (
	"cmp"
	"slices"
	"time"

	"tanagerroad"
)

// Departure says that a backend server stated in an answer that it leaves.
type Departure struct {
	ID, Pool    string
	StartMillis int64         // the start that leaves
	At          time.Duration // time of the first such answer
}

// NameStart returns a departure that names no start with the start that it is of: the known one,
// if that has not shut down. Otherwise it is now, in Unix milliseconds, which covers every start
// until now and none that follows. It has to be called where the departure arrives, since other
// processes may know a later start.
func (r *Roster) NameStart(nowMillis int64, a tanagerroad.Announcement) tanagerroad.Announcement {
	if a.State != tanagerroad.Down || a.StartMillis != 0 {
		return a
	}
	a.StartMillis = nowMillis
	if rec, ok := r.records[a.ID]; ok && rec.announcement.State != tanagerroad.Down && rec.announcement.StartMillis != 0 {
		a.StartMillis = rec.announcement.StartMillis
	}
	return a
}

// Suspend takes a backend server out of use until its next announcement, if a departure that
// source received, and Apply has dropped, is of a start that is earlier by no more than a step
// of the server's clock. The clock may have been set back before the start that now leaves, or
// the departure of an earlier start is late; the next announcement tells. Suspend reports
// whether anything changed.
func (r *Roster) Suspend(source string, a tanagerroad.Announcement) bool {
	rec, ok := r.records[a.ID]
	if !ok || rec.announcement.State != tanagerroad.Serving || a.State == tanagerroad.Serving || a.StartMillis == 0 {
		return false
	}
	if earlier := rec.announcement.StartMillis - a.StartMillis; earlier <= 0 || earlier > r.config.ClockStep.Milliseconds() {
		return false
	}
	if a.State != tanagerroad.Down && !r.isConfigured(a.Pool) {
		return false
	}
	rec.announcement.State = tanagerroad.Leaving
	delete(rec.sources, source)
	r.markChanged(rec)
	return true
}

// RecordDeparture records that a backend server stated in an answer that it leaves. That
// holds for its start, whatever it announces later. RecordDeparture reports whether it is
// new; an answer of another start than the current one changes nothing.
func (r *Roster) RecordDeparture(at time.Duration, id string, startMillis int64) bool {
	rec, ok := r.records[id]
	if !ok || rec.announcement.StartMillis != startMillis || r.HasDeparted(id, startMillis) {
		return false
	}
	r.departed[id] = Departure{ID: id, Pool: rec.announcement.Pool, StartMillis: startMillis, At: at}
	return true
}

// HasDeparted reports whether this start of a backend server stated in an answer that it
// leaves.
func (r *Roster) HasDeparted(id string, startMillis int64) bool {
	d, ok := r.departed[id]
	return ok && d.StartMillis == startMillis
}

// IsLeaving reports whether this start of a backend server leaves, as an answer stated or
// its announcements say. A departure may be of every start until a moment (NameStart).
func (r *Roster) IsLeaving(id string, startMillis int64) bool {
	rec, ok := r.records[id]
	return r.HasDeparted(id, startMillis) || ok && rec.announcement.StartMillis >= startMillis && rec.announcement.State != tanagerroad.Serving
}

// Departures returns the backend servers of a pool that would be usable if they had not
// stated in an answer that they leave, sorted by id.
func (r *Roster) Departures(pool string) []Departure {
	var out []Departure
	for id, d := range r.departed {
		rec := r.records[id]
		if d.Pool == pool && d.StartMillis == rec.announcement.StartMillis && rec.announcement.State == tanagerroad.Serving && len(rec.sources) > 0 {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
