// Package directory implements a control instance's list of the backend servers.
// The list is soft state: each server has a lease, which its sidecar renews with
// an announcement, and is removed some time after its lease has lapsed.
//
// Every change has a sequence number. A watcher, such as an entry, keeps a View
// up to date with Deltas, which hold the changes after a sequence number. It gets
// the full directory at first, and again if it is too far behind.
//
// Times are readings of the control instance's monotonic clock.
//
// When many leases are lapsed at the same time, the fault is more likely on the
// control instance's side, for instance its network, than with the servers, and
// none of them is removed.
//
// The list serves entries. Package roster holds the one for gateways, whose backend
// servers announce themselves without a sidecar.
package directory

import (
	"cmp"
	_ "embed"
	"slices"
	"time"

	"tanagerroad"
	"tanagerroad/core/chart"
)

//go:embed server.json
var serverJSON []byte

var serverChart = chart.MustParse("server.json", serverJSON)

// stateLapsed is the state of a server whose lease has lapsed.
const stateLapsed = "lapsed"

// Config sets the durations of leases and limits the removal of servers.
type Config struct {
	Lease          time.Duration // a server's lease lapses this long after its last renewal
	RemoveAfter    time.Duration // a server is removed this long after its lease has lapsed
	MaxLapsedShare float64       // share of all servers; none is removed while more than this are lapsed
}

// After a change of its server's state, a sidecar repeats the announcement every
// AnnounceRepeatInterval for AnnounceRepeatPeriod, in addition to the regular
// renewals. The change thus arrives in time even if three in ten announcements
// are lost.
const (
	AnnounceRepeatInterval = 200 * time.Millisecond
	AnnounceRepeatPeriod   = 3 * time.Second
)

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{Lease: 3 * time.Second, RemoveAfter: time.Second, MaxLapsedShare: 0.3}
}

// record is one server with its lease.
type record struct {
	server     tanagerroad.Server // as watchers get it: Load is the one reported last
	state      string             // a state of server.json
	renewedAt  time.Duration      // last renewal
	lapsedAt   time.Duration      // in state lapsed: when the lease lapsed
	changeSeq  uint64             // sequence of the last change reported to watchers
	reportedAt time.Duration      // time of that change
}

// Delta holds the changes between two sequences.
type Delta struct {
	Sequence uint64               // of the latest change included
	Full     bool                 // Servers is the full directory
	Servers  []tanagerroad.Server // added or changed, sorted by id
	Removed  []string             // server ids
}

// Directory holds the servers known to a control instance. The zero value is not
// usable; call New. It is not safe for concurrent use.
type Directory struct {
	config         Config
	records        map[string]*record // by server id
	sequence       uint64             // of the latest change
	removals       []removal          // oldest first
	droppedThrough uint64             // removals up to this sequence are no longer in removals
}

// removal records the removal of a server, so that deltas can include it.
type removal struct {
	id  string
	seq uint64
}

// maxRemovals is the number of removals kept. A watcher that misses more of them
// gets the full directory.
const maxRemovals = 1024

// New returns an empty directory.
func New(config Config) *Directory {
	return &Directory{config: config, records: map[string]*record{}}
}

// Len returns the number of servers, including lapsed ones.
func (d *Directory) Len() int { return len(d.records) }

// Sequence returns the sequence of the latest change.
func (d *Directory) Sequence() uint64 { return d.sequence }

// Renew applies an announcement that arrived at time at, and reports whether it
// is a change that watchers must receive. An announcement that is not newer than
// the stored one is ignored, unless the lease has lapsed: then the sidecar may
// have restarted with its clock set back.
func (d *Directory) Renew(at time.Duration, server tanagerroad.Server) bool {
	r, exists := d.records[server.ID]
	if !exists {
		r = &record{state: serverChart.Initial}
		d.records[server.ID] = r
	}
	if exists && r.state != stateLapsed && !server.Newer(r.server) {
		return false
	}
	state, err := serverChart.Next(r.state, string(server.State))
	if err != nil {
		if !exists {
			delete(d.records, server.ID)
		}
		return false
	}
	loadReportDue := at-r.reportedAt >= time.Duration(len(d.records))*loadReportInterval
	changed := !exists || r.state == stateLapsed || serverChanged(r.server, server) || loadReportDue && loadChanged(r.server, server)
	if !changed {
		server.Load = r.server.Load // the one that watchers have; the next load is compared with it
	}
	r.state, r.renewedAt, r.server = state, at, server
	if changed {
		d.sequence++
		r.changeSeq, r.reportedAt = d.sequence, at
	}
	return changed
}

// loadReportInterval times the number of servers is the minimum time between two
// reports of one server's load. So a watcher gets at most 50 load reports a second,
// however many servers there are.
const loadReportInterval = 20 * time.Millisecond

// loadReportThreshold is the least change of a server's load, in attempts, that is
// reported to watchers. Smaller changes are not worth a report: entries correct the
// reported load by the attempts that they sent themselves.
const loadReportThreshold = 4

// loadChanged reports whether two announcements differ enough in their load, or at
// all in their limit.
func loadChanged(a, b tanagerroad.Server) bool {
	difference := a.Load.InFlight + a.Load.Queued - b.Load.InFlight - b.Load.Queued
	return difference >= loadReportThreshold || difference <= -loadReportThreshold || a.Load.Limit != b.Load.Limit
}

// serverChanged reports whether two announcements of a server differ in more than
// its load, or in whether or how long it is paused.
func serverChanged(a, b tanagerroad.Server) bool {
	return a.State != b.State || a.Generation != b.Generation || a.Address != b.Address ||
		a.Capacity != b.Capacity || !slices.Equal(a.Models, b.Models) ||
		(a.Load.Pause > 0) != (b.Load.Pause > 0) || b.Load.Pause > a.Load.Pause
}

// Expire marks the servers whose lease has run out by time at as lapsed and
// returns their ids. It then removes the servers that have been lapsed for long
// enough. It removes none and reports a mass lapse if more than one server and
// more than the configured share of all are lapsed: the fault is then likely on
// this instance's side. Lapsed servers stay until their leases are renewed, or until
// the share of lapsed ones falls.
func (d *Directory) Expire(at time.Duration) (newlyLapsed []string, massLapse bool) {
	lapsed := 0
	for id, r := range d.records {
		if r.state != stateLapsed && at-r.renewedAt > d.config.Lease {
			if next, err := serverChart.Next(r.state, "lapse"); err == nil {
				r.state, r.lapsedAt = next, at
				newlyLapsed = append(newlyLapsed, id)
			}
		}
		if r.state == stateLapsed {
			lapsed++
		}
	}
	slices.Sort(newlyLapsed)
	if float64(lapsed) > d.config.MaxLapsedShare*float64(len(d.records)) && lapsed > 1 {
		return newlyLapsed, true
	}
	d.removeLapsed(at)
	return newlyLapsed, false
}

// removeLapsed removes the servers that have been lapsed for long enough.
func (d *Directory) removeLapsed(at time.Duration) {
	var ids []string
	for id, r := range d.records {
		if r.state == stateLapsed && at-r.lapsedAt >= d.config.RemoveAfter {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.sequence++
		d.removals = append(d.removals, removal{id, d.sequence})
		delete(d.records, id)
	}
	if extra := len(d.removals) - maxRemovals; extra > 0 {
		d.droppedThrough = d.removals[extra-1].seq
		d.removals = slices.Clone(d.removals[extra:])
	}
}

// ChangesSince returns the changes after a sequence. It returns the full directory
// if sequence is 0, is so old that removals after it are no longer kept, or is
// higher than the directory's own.
func (d *Directory) ChangesSince(sequence uint64) Delta {
	if sequence == 0 || sequence < d.droppedThrough || sequence > d.sequence {
		return Delta{Sequence: d.sequence, Full: true, Servers: d.changedSince(0)}
	}
	delta := Delta{Sequence: d.sequence, Servers: d.changedSince(sequence)}
	for _, r := range d.removals {
		if _, returned := d.records[r.id]; r.seq > sequence && !returned {
			delta.Removed = append(delta.Removed, r.id)
		}
	}
	return delta
}

// changedSince returns the servers that changed after a sequence, sorted by id.
func (d *Directory) changedSince(sequence uint64) []tanagerroad.Server {
	var out []tanagerroad.Server
	for _, r := range d.records {
		if r.changeSeq > sequence {
			out = append(out, r.server)
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

func compareIDs(a, b tanagerroad.Server) int { return cmp.Compare(a.ID, b.ID) }

// View is a watcher's copy of the directory.
type View struct {
	servers  map[string]tanagerroad.Server // by id
	Sequence uint64                        // of the last delta; 0 before the first
}

// NewView returns an empty view.
func NewView() *View { return &View{servers: map[string]tanagerroad.Server{}} }

// maxMissingShare is the share of a view's servers that may be missing from a full
// directory. If more than this and more than one are missing, the view keeps all of
// them: the directory may come from a control instance that has just started or is
// cut off and has not received everyone's announcements. Routing finds out which of
// the kept servers are gone when it sends them attempts.
const maxMissingShare = 0.3

// Apply applies a delta to the view.
func (v *View) Apply(delta Delta) {
	if delta.Full {
		v.dropMissing(delta.Servers)
	}
	for _, s := range delta.Servers {
		// A full directory may come from an instance that lags behind, so keep a
		// newer announcement. Any other delta is the watched instance's latest
		// state and replaces what the view holds, even if the announcement looks
		// older: a sidecar may have restarted with its clock set back.
		current, exists := v.servers[s.ID]
		if !delta.Full || !exists || !current.Newer(s) {
			v.servers[s.ID] = s
		}
	}
	for _, id := range delta.Removed {
		delete(v.servers, id)
	}
	v.Sequence = delta.Sequence
}

// dropMissing removes the servers that are not in the full directory, unless too
// many of them are missing.
func (v *View) dropMissing(full []tanagerroad.Server) {
	present := make(map[string]bool, len(full))
	for _, s := range full {
		present[s.ID] = true
	}
	var missing []string
	for id := range v.servers {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	if len(missing) > 1 && float64(len(missing)) > maxMissingShare*float64(len(v.servers)) {
		return
	}
	for _, id := range missing {
		delete(v.servers, id)
	}
}

// Servers returns the servers of the view, sorted by id.
func (v *View) Servers() []tanagerroad.Server {
	out := make([]tanagerroad.Server, 0, len(v.servers))
	for _, s := range v.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, compareIDs)
	return out
}
