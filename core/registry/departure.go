package registry

import (
	"slices"

	"tanagerroad"
	"tanagerroad/core/wire"
)

// departures are the starts of backend servers that are known to leave, or to have shut down.
// They outlive the instances, so that an announcement that was delayed does not bring a
// server back after all instances have restarted.
type departures struct {
	list  []*wire.Departure // oldest first; appended to and cut, never changed, since views share it
	count uint64            // of all that were ever recorded
}

// Departures returns the recorded departures, oldest first, and how many were ever recorded.
// The list is shared and must not be changed.
func (r *Registry) Departures() (list []*wire.Departure, count uint64) {
	return r.departures.list, r.departures.count
}

// HasDeparture reports whether the list has the departure of this start of a backend server.
func HasDeparture(list []*wire.Departure, id string, startMillis int64) bool {
	return slices.ContainsFunc(list, func(d *wire.Departure) bool {
		return d.GetAnnouncement().GetId() == id && d.GetAnnouncement().GetBornMillis() == startMillis
	})
}

// applyRecordDeparture records the departure of a start of a backend server, once.
func (r *Registry) applyRecordDeparture(a *wire.Announcement) *wire.Outcome {
	state := tanagerroad.ServerState(a.GetState())
	if a.GetId() == "" || state != tanagerroad.Leaving && state != tanagerroad.Down {
		return &wire.Outcome{Kind: Invalid, Reason: "not a departure"}
	}
	d := &r.departures
	if !HasDeparture(d.list, a.GetId(), a.GetBornMillis()) {
		d.list = keepLast(append(d.list, &wire.Departure{Announcement: a, AtMillis: r.latestMillis}), r.config.MaxDepartures)
		d.count++
	}
	return &wire.Outcome{Kind: Accepted}
}

// expire drops the departures that were recorded at cutoff (Unix milliseconds) or before.
func (d *departures) expire(cutoff int64) {
	for len(d.list) > 0 && d.list[0].GetAtMillis() <= cutoff {
		d.list = d.list[1:]
	}
}
