package registry

import (
	"cmp"
	"slices"

	"tanagerroad/core/wire"
)

// evacuations is the state of each availability zone that an order was given for.
type evacuations struct {
	zones   []*wire.Evacuation // in ascending order; replaced, never changed, since views share it
	changes uint64             // 1 more than the number of zones' changes, so that 0 stands for an unknown state
}

func (e *evacuations) restore(zones []*wire.Evacuation, changes uint64) {
	e.zones, e.changes = zones, max(1, changes)
}

func (e *evacuations) find(zone string) (int, bool) {
	return slices.BinarySearchFunc(e.zones, zone, func(e *wire.Evacuation, zone string) int { return cmp.Compare(e.GetZone(), zone) })
}

// zone returns the state of a zone, nil if no order was given for it yet.
func (e *evacuations) zone(name string) *wire.Evacuation {
	if i, ok := e.find(name); ok {
		return e.zones[i]
	}
	return nil
}

func (e *evacuations) set(next *wire.Evacuation) {
	i, ok := e.find(next.GetZone())
	e.zones = slices.Clone(e.zones)
	if ok {
		e.zones[i] = next
		return
	}
	e.zones = slices.Insert(e.zones, i, next)
}

// Evacuations returns the state of each zone that an order was given for, in ascending
// order, and a number that grows whenever the evacuation of a zone begins or ends. It is
// never 0. The list is shared and must not be changed.
func (r *Registry) Evacuations() (zones []*wire.Evacuation, changes uint64) {
	return r.evacuations.zones, r.evacuations.changes
}

// applySetEvacuation applies an order for a zone, provided that its state is still the one
// that the order names. The outcome has the version of the state. Each order that is applied
// counts the version up, also one that is in effect already: otherwise a late copy of an
// earlier order, from the same version, would undo the later one.
func (r *Registry) applySetEvacuation(s *wire.SetEvacuation) *wire.Outcome {
	current := r.evacuations.zone(s.GetZone())
	switch {
	case s.GetZone() == "":
		return &wire.Outcome{Kind: Invalid, Reason: "no zone"}
	case s.GetFromVersion() != current.GetVersion():
		return &wire.Outcome{Kind: Conflict, Revision: current.GetVersion(), Reason: "another order was given meanwhile"}
	case current == nil && len(r.evacuations.zones) >= r.config.MaxZones:
		return &wire.Outcome{Kind: LimitReached, Reason: "as many zones as may be kept"}
	}
	next := &wire.Evacuation{Zone: s.GetZone(), Active: s.GetActive(), Version: current.GetVersion() + 1, AtMillis: current.GetAtMillis()}
	if next.GetActive() != current.GetActive() {
		next.AtMillis = r.latestMillis
		r.evacuations.changes++
	}
	r.evacuations.set(next)
	return &wire.Outcome{Kind: Accepted, Revision: next.GetVersion()}
}
