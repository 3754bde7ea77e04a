// Package evacuation keeps a gateway's view of the availability zones that the operator has
// evacuated: nothing more is sent to their backend servers. It is built for the time when
// control instances restart, lag behind or are lost: a gateway keeps what it knows until it
// learns of something newer.
package evacuation

import (
	"time"

	"tanagerroad/core/wire"
)

// View is what a gateway knows of the evacuations. The zero value knows nothing.
type View struct {
	changes uint64
	zones   map[string]zone
}

// zone is the state of an availability zone.
type zone struct {
	active  bool
	ended   bool // an evacuation has ended
	endedAt time.Duration
	millis  int64 // Unix time of the latest change
}

// Apply takes over the evacuations of an update, unless they are not newer than those that
// are known. unixMillis is the wall clock's time. It reports whether they are newer.
func (v *View) Apply(at time.Duration, unixMillis int64, changes uint64, list []*wire.Evacuation) bool {
	if changes <= v.changes {
		return false
	}
	next := map[string]zone{}
	for _, e := range list {
		before := v.zones[e.GetZone()]
		z := zone{active: e.GetActive(), ended: before.ended, endedAt: before.endedAt, millis: e.GetAtMillis()}
		switch {
		case z.active || e.GetAtMillis() == 0: // no evacuation has ended, or another has begun since
			z.ended = false
		case before.active: // clocks differ, and the end may have been long ago by the control instance's
			z.ended, z.endedAt = true, at
		case !before.ended || z.millis != before.millis: // it may have begun and ended between two updates
			z.ended, z.endedAt = true, at-time.Duration(max(0, unixMillis-e.GetAtMillis()))*time.Millisecond
		}
		next[e.GetZone()] = z
	}
	v.changes, v.zones = changes, next
	return true
}

// Known reports whether the evacuations are known.
func (v *View) Known() bool { return v.changes > 0 }

// Active reports whether a zone is evacuated.
func (v *View) Active(zone string) bool { return v.zones[zone].active }

// EndedAt returns when the latest evacuation of a zone ended. ok is false if none has, or
// another has begun since.
func (v *View) EndedAt(zone string) (at time.Duration, ok bool) {
	return v.zones[zone].endedAt, v.zones[zone].ended
}

// Zones returns how many zones are evacuated.
func (v *View) Zones() int {
	n := 0
	for _, z := range v.zones {
		if z.active {
			n++
		}
	}
	return n
}
