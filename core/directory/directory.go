// Package directory keeps the backend servers that announced themselves, as a
// control instance knows them: soft state, held by leases that sidecars
// renew. It numbers every change, so that a watcher that follows the deltas
// can tell a gap and ask for the whole.
//
// When most leases lapse at once it suspects its own hearing, not the
// servers, and removes none of them.
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

const lapsed = "lapsed"

// Config sets the leases.
type Config struct {
	Lease  time.Duration // a server not heard for so long has lapsed
	Remove time.Duration // a lapsed server is removed after so long
	Most   float64       // share of all servers beyond which lapses at once are our own fault
}

// A sidecar repeats a change of its state every HurryEvery for HurryFor, so that
// it is heard in time although three in ten announcements are lost.
const (
	HurryEvery = 200 * time.Millisecond
	HurryFor   = 3 * time.Second
)

// DefaultConfig holds the documented leases.
func DefaultConfig() Config {
	return Config{Lease: 3 * time.Second, Remove: time.Second, Most: 0.3}
}

type record struct {
	server tanagerroad.Server
	state  string
	heard  time.Duration
	lapse  time.Duration
	change uint64 // sequence at which it changed last
	told   time.Duration
}

// Delta is what changed between two sequences.
type Delta struct {
	Sequence uint64
	Full     bool // Servers is the whole directory
	Servers  []tanagerroad.Server
	Removed  []string
}

// Directory is the set of known servers.
type Directory struct {
	config   Config
	records  map[string]*record
	sequence uint64
	removals []removal // newest last
	forgot   uint64    // removals up to this sequence are forgotten
}

type removal struct {
	id     string
	change uint64
}

// keptRemovals is how many removals a delta may reach back over.
const keptRemovals = 1024

// New returns an empty directory.
func New(config Config) *Directory {
	return &Directory{config: config, records: map[string]*record{}}
}

// Len is the number of servers known.
func (d *Directory) Len() int { return len(d.records) }

// Sequence numbers the latest change.
func (d *Directory) Sequence() uint64 { return d.sequence }

// Renew takes an announcement at time at and reports whether watchers must
// hear of it. Older announcements than the one held are dropped, unless the
// lease of that one has lapsed.
func (d *Directory) Renew(at time.Duration, server tanagerroad.Server) bool {
	r, known := d.records[server.ID]
	if !known {
		r = &record{state: serverChart.Initial}
		d.records[server.ID] = r
	}
	if known && r.state != lapsed && !server.Newer(r.server) {
		return false
	}
	state, err := serverChart.Next(r.state, string(server.State))
	if err != nil {
		if !known {
			delete(d.records, server.ID)
		}
		return false
	}
	loadDue := at-r.told >= time.Duration(len(d.records))*loadPace
	matters := !known || r.state == lapsed || differs(r.server, server) || loadDue && loadMoved(r.server, server)
	if !matters {
		server.Load = r.server.Load // what watchers were told
	}
	r.state, r.heard, r.server = state, at, server
	if matters {
		d.sequence++
		r.change, r.told = d.sequence, at
	}
	return matters
}

// loadPace is the least time between reports of a server's load, for each server
// that there is: however many report, watchers hear of 50 loads a second.
const loadPace = 20 * time.Millisecond

// loadStep is the change of a server's load that watchers should hear of. Entries
// correct reports by what they know themselves, so small changes stay here.
const loadStep = 4

func loadMoved(a, b tanagerroad.Server) bool {
	moved := a.Load.InFlight + a.Load.Queued - b.Load.InFlight - b.Load.Queued
	return moved >= loadStep || moved <= -loadStep || a.Load.Limit != b.Load.Limit
}

// differs reports whether a renewal says that the server itself has changed.
func differs(a, b tanagerroad.Server) bool {
	return a.State != b.State || a.Generation != b.Generation || a.Address != b.Address ||
		a.Capacity != b.Capacity || !slices.Equal(a.Models, b.Models)
}

// Expire lapses and removes servers not heard for long, and returns the ids of
// those that lapsed now. A few lapses are the servers' own; when more than the
// configured share lapses within the window, none is removed until it is heard
// again or the share falls.
func (d *Directory) Expire(at time.Duration) (lapsedNow []string, suspectOurselves bool) {
	recent := 0
	for id, r := range d.records {
		if r.state != lapsed && at-r.heard > d.config.Lease {
			if next, err := serverChart.Next(r.state, "lapse"); err == nil {
				r.state, r.lapse = next, at
				lapsedNow = append(lapsedNow, id)
			}
		}
		if r.state == lapsed {
			recent++
		}
	}
	slices.Sort(lapsedNow)
	if float64(recent) > d.config.Most*float64(len(d.records)) && recent > 1 {
		return lapsedNow, true
	}
	d.remove(at)
	return lapsedNow, false
}

func (d *Directory) remove(at time.Duration) {
	var ids []string
	for id, r := range d.records {
		if r.state == lapsed && at-r.lapse >= d.config.Remove {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		d.sequence++
		d.removals = append(d.removals, removal{id, d.sequence})
		delete(d.records, id)
	}
	if extra := len(d.removals) - keptRemovals; extra > 0 {
		d.forgot = d.removals[extra-1].change
		d.removals = slices.Clone(d.removals[extra:])
	}
}

// Since returns what changed after the sequence that a watcher holds; the
// whole directory when the watcher holds none or is too far behind.
func (d *Directory) Since(sequence uint64) Delta {
	if sequence == 0 || sequence < d.forgot || sequence > d.sequence {
		return Delta{Sequence: d.sequence, Full: true, Servers: d.after(0)}
	}
	delta := Delta{Sequence: d.sequence, Servers: d.after(sequence)}
	for _, r := range d.removals {
		if _, back := d.records[r.id]; r.change > sequence && !back {
			delta.Removed = append(delta.Removed, r.id)
		}
	}
	return delta
}

func (d *Directory) after(sequence uint64) []tanagerroad.Server {
	var out []tanagerroad.Server
	for _, r := range d.records {
		if r.change > sequence {
			out = append(out, r.server)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b tanagerroad.Server) int { return cmp.Compare(a.ID, b.ID) }

// View is the directory as a watcher holds it.
type View struct {
	servers  map[string]tanagerroad.Server
	Sequence uint64
}

// NewView returns an empty view.
func NewView() *View { return &View{servers: map[string]tanagerroad.Server{}} }

// mostMissing is the share of the servers held that a full directory may lack
// and still be believed about them. A control instance that has just started,
// or is cut off, has not heard everyone; those it lacks are kept, and routing
// proves them by using them.
const mostMissing = 0.3

// Take applies a delta.
func (v *View) Take(delta Delta) {
	if delta.Full {
		v.dropMissing(delta.Servers)
	}
	for _, s := range delta.Servers {
		// A whole directory may come from an instance that lags. What changes
		// while one is watched is its latest word, even where a sidecar came
		// back with a clock that had gone back.
		held, known := v.servers[s.ID]
		if !delta.Full || !known || !held.Newer(s) {
			v.servers[s.ID] = s
		}
	}
	for _, id := range delta.Removed {
		delete(v.servers, id)
	}
	v.Sequence = delta.Sequence
}

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
	if len(missing) > 1 && float64(len(missing)) > mostMissing*float64(len(v.servers)) {
		return
	}
	for _, id := range missing {
		delete(v.servers, id)
	}
}

// Servers lists the known servers by id.
func (v *View) Servers() []tanagerroad.Server {
	out := make([]tanagerroad.Server, 0, len(v.servers))
	for _, s := range v.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, byID)
	return out
}
