// Package fleet places requests on the backend servers of a pool. It answers
// two loads: steady traffic from many gateways, each of which sees only its own
// part, and traffic while some backend servers fail, slow down or come back.
package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
)

// Costs of a placement, in the time that they cost a caller.
const (
	regionCost    = 30 * time.Millisecond   // there and back between regions, and the price of the bytes
	zoneCost      = 2 * time.Millisecond    // there and back between zones of a region
	waitingCost   = 400 * time.Millisecond  // for each request that waits for a slot there
	runningCost   = 1500 * time.Microsecond // a request beside it slows every token
	tokenCost     = 20 * time.Microsecond   // a prompt token read anew, which delays all that run there
	resultCost    = 30 * time.Nanosecond    // a byte of stage results fetched across zones, with its price
	coldCost      = 50 * time.Millisecond   // a backend server that is still warming up
	firstGuess    = 30 * time.Millisecond   // latency of one that has not answered yet
	reportLife    = 1500 * time.Millisecond // a load report says nothing after it
	ejectFirst    = 500 * time.Millisecond  // pause after a failure, doubled for each further one
	ejectMost     = 8 * time.Second         // longest pause
	partLife      = 20 * time.Second        // a prompt part counts as kept for so long after its use
	latencyWeight = 0.2                     // of the newest answer in the mean
	partsMost     = 4096                    // prompt parts remembered of one backend server
)

// Ask is what a request needs.
type Ask struct {
	Pool    string
	From    tanagerroad.Place
	Results map[string]int // bytes of its stage results, by the zone where they lie
	Parts   []tanagerroad.PromptPart
	Exclude []string
	Chance  uint64 // breaks ties
}

// Choice is one placement and why it fell so.
type Choice struct {
	tanagerroad.Announcement
	Cost       time.Duration
	InFlight   int // own requests there, this one included
	Reported   int // requests there by its latest report
	ReportAge  time.Duration
	Candidates int
	Kept       int // prompt tokens believed to be kept there
}

// Outcome is how an attempt ended.
type Outcome struct {
	Failed  bool          // the backend server or the way to it is at fault
	Latency time.Duration // to the first byte of its answer; 0: none came
	Running int           // load that the answer reported
	Waiting int
	Slots   int // 0: nothing was reported
}

type server struct {
	tanagerroad.Announcement
	inFlight int
	latency  time.Duration
	reported int // requests by others when it was reported
	waiting  int
	reportAt time.Duration
	failures int
	ejected  time.Duration // until then
	parts    map[string]time.Duration
}

// Fleet is what one gateway believes about the backend servers.
type Fleet struct {
	regions map[string]string // by zone
	servers map[string]*server
	pools   map[string][]*server
	version uint64
}

// New returns an empty fleet; regions holds the region of each zone.
func New(regions map[string]string) *Fleet {
	return &Fleet{regions: regions, servers: map[string]*server{}, pools: map[string][]*server{}}
}

// Update replaces the backend servers that may be used.
func (f *Fleet) Update(usable []tanagerroad.Announcement) {
	f.version++
	next := map[string]*server{}
	f.pools = map[string][]*server{}
	for _, a := range usable {
		s, ok := f.servers[a.ID]
		if !ok || s.Born != a.Born || s.Address != a.Address {
			s = &server{latency: firstGuess, parts: map[string]time.Duration{}}
		}
		s.Announcement = a
		next[a.ID] = s
		f.pools[a.Pool] = append(f.pools[a.Pool], s)
	}
	f.servers = next
}

// Version grows with each update.
func (f *Fleet) Version() uint64 { return f.version }

// Pool lists the usable backend servers of a pool.
func (f *Fleet) Pool(name string) []tanagerroad.Announcement {
	out := make([]tanagerroad.Announcement, len(f.pools[name]))
	for i, s := range f.pools[name] {
		out[i] = s.Announcement
	}
	return out
}

// Len is the number of usable backend servers.
func (f *Fleet) Len() int { return len(f.servers) }

// sharedPart is the part of a prompt that places it: the last one that other
// requests share.
func sharedPart(parts []tanagerroad.PromptPart) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// home is the backend server of the pool that keeps a prompt part: all gateways
// that know the same backend servers agree on it without a word.
func (f *Fleet) home(at time.Duration, pool, part string) *server {
	var best *server
	var most uint64
	for _, s := range f.pools[pool] {
		if at < s.ejected || s.Cold > 0 {
			continue
		}
		if weight := xxhash.Sum64String(part + "|" + s.ID); best == nil || weight > most {
			best, most = s, weight
		}
	}
	return best
}

// HomeZone is the zone in which a prompt's shared parts are likely kept; empty
// when there is none.
func (f *Fleet) HomeZone(at time.Duration, pool string, parts []tanagerroad.PromptPart) string {
	if len(parts) == 0 {
		return ""
	}
	if s := f.home(at, pool, sharedPart(parts)); s != nil {
		return s.Zone
	}
	return ""
}

// Pick chooses a backend server and counts the attempt as in flight there;
// false when the pool has none that is not excluded.
func (f *Fleet) Pick(at time.Duration, ask Ask) (Choice, bool) {
	var best *server
	var least time.Duration
	var kept int
	candidates := 0
	list := f.pools[ask.Pool]
	var home *server
	if len(ask.Parts) > 0 {
		home = f.home(at, ask.Pool, sharedPart(ask.Parts))
	}
	for i := range list {
		// Starting at a place of chance spreads equal costs.
		s := list[(uint64(i)+ask.Chance)%uint64(len(list))]
		if slices.Contains(ask.Exclude, s.ID) {
			continue
		}
		candidates++
		cost, tokens := f.cost(at, s, ask, s == home)
		if best == nil || cost < least {
			best, least, kept = s, cost, tokens
		}
	}
	if best == nil {
		return Choice{}, false
	}
	best.inFlight++
	best.remember(at, ask.Parts)
	return Choice{
		Announcement: best.Announcement, Cost: least, InFlight: best.inFlight, Reported: best.reported + best.waiting,
		ReportAge: at - best.reportAt, Candidates: candidates, Kept: kept,
	}, true
}

// cost predicts what a placement costs the caller, and the prompt tokens that
// are kept there.
func (f *Fleet) cost(at time.Duration, s *server, ask Ask, home bool) (time.Duration, int) {
	total, kept := s.latency, 0
	if len(ask.Parts) > 0 {
		fresh := 0
		hit := true
		for i, p := range ask.Parts {
			used, ok := s.parts[p.ID]
			shared := i < len(ask.Parts)-1 || i == 0
			hit = hit && (ok && at-used < partLife || home && shared)
			if hit {
				kept += p.Tokens
			} else {
				fresh += p.Tokens
			}
		}
		total += time.Duration(fresh) * tokenCost
	}
	load := s.inFlight
	if age := at - s.reportAt; age < reportLife {
		load = max(load, s.inFlight+int(float64(s.reported)*(1-float64(age)/float64(reportLife))))
		load += s.waiting
	}
	total += time.Duration(load) * runningCost
	if over := load + 1 - max(1, s.Slots); over > 0 {
		total += time.Duration(over) * waitingCost
	}
	total += f.distance(ask.From.Zone, s.Zone)
	for zone, bytes := range ask.Results {
		if zone != s.Zone {
			total += time.Duration(bytes) * resultCost
		}
	}
	if s.Cold > 0 {
		total += coldCost
	}
	if at < s.ejected {
		total += time.Hour // only where nothing else is left
	}
	return total, kept
}

func (f *Fleet) distance(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case f.regions[a] == f.regions[b]:
		return zoneCost
	}
	return regionCost
}

func (s *server) remember(at time.Duration, parts []tanagerroad.PromptPart) {
	if len(s.parts) > partsMost {
		for id, used := range s.parts {
			if at-used > partLife {
				delete(s.parts, id)
			}
		}
	}
	for _, p := range parts {
		s.parts[p.ID] = at
	}
}

// Answered notes that the first byte of an answer came, with its load report.
func (f *Fleet) Answered(at time.Duration, id string, o Outcome) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	if o.Latency > 0 {
		s.latency += time.Duration(latencyWeight * float64(o.Latency-s.latency))
	}
	if o.Slots > 0 {
		s.reported, s.waiting, s.reportAt = max(0, o.Running-s.inFlight), o.Waiting, at
	}
}

// Done notes the end of an attempt.
func (f *Fleet) Done(at time.Duration, id string, o Outcome) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if !o.Failed {
		s.failures, s.ejected = 0, 0
		return
	}
	s.failures++
	pause := ejectFirst << min(s.failures-1, 4)
	s.ejected = at + min(pause, ejectMost)
}

// Misplaced notes that another backend server answered at the address of this
// one: it is gone until it announces itself anew.
func (f *Fleet) Misplaced(at time.Duration, id string) {
	if s, ok := f.servers[id]; ok {
		s.ejected = at + ejectMost
	}
}
