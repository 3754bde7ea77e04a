// Package fleet places requests on the backend servers of a pool. It is built
// for two situations: steady traffic from many gateways, each of which sees only
// its own share, and traffic while backend servers fail, slow down or recover.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/balance"
	"tanagerroad/core/region"
)

// The cost model of a placement. Every cost is expressed as latency for the
// caller, so that costs can be added up and compared.
const (
	crossRegionCost    = 30 * time.Millisecond   // round trip between regions, and the price of the traffic
	crossZoneCost      = 2 * time.Millisecond    // round trip between availability zones of a region
	queuedRequestCost  = 400 * time.Millisecond  // for each request that waits for a slot
	runningRequestCost = 1500 * time.Microsecond // each concurrent request slows down every token
	prefillTokenCost   = 20 * time.Microsecond   // for each prompt token not cached there; prefill delays all running requests
	resultByteCost     = 30 * time.Nanosecond    // for each byte of stage results fetched from another zone, including the price of the traffic
	warmUpCost         = 50 * time.Millisecond   // for a backend server that is still warming up
	initialLatency     = 30 * time.Millisecond   // assumed until the first answer
	reportMaxAge       = 1500 * time.Millisecond // older load reports are ignored
	ejectMin           = 500 * time.Millisecond  // ejection after a failure; doubles with each consecutive one
	ejectMax           = 8 * time.Second         // longest ejection
	promptPartTTL      = 20 * time.Second        // a prompt part is assumed to be cached for this long after its use
	latencyWeight      = 0.2                     // weight of the newest sample in the moving average
	maxPromptParts     = 4096                    // tracked for each backend server; above it, expired ones are removed
)

// maxPause is the longest time for which a backend server may ask for no requests. A
// longer one is likely a mistake, and would take the server out of use unnoticed.
const maxPause = time.Minute

// Request describes a request to place.
type Request struct {
	Pool        string
	From        tanagerroad.Place
	ResultBytes map[string]int // bytes of its stage results, by the zone that holds them
	PromptParts []tanagerroad.PromptPart
	Exclude     []string
	Regions     region.Set // of the backend servers that may serve it
	Software    string     // version that a backend server must have; empty: any
	Promised    bool       // it waited for a turn that Promise kept
	TieBreak    uint64     // random; spreads requests over servers of equal cost
}

// Choice is a placement and the figures behind it.
type Choice struct {
	tanagerroad.Announcement
	Cost         time.Duration
	InFlight     int // this gateway's requests there, including this one
	ReportedLoad int // other requests there, running or queued, by its latest load report
	ReportAge    time.Duration
	Candidates   int
	CachedTokens int   // prompt tokens assumed to be cached there
	Even         *Even // figures of the policy balance.Even; nil with another one
	Limited      bool  // the request counts against a limit that the backend server named
	Batched      bool  // a call with pieces, which package batch paces
	coldTurn     uint64
	chosenAt     time.Duration
}

// Outcome is what an attempt showed about its backend server.
type Outcome struct {
	Failed  bool          // the backend server or the network path to it failed
	Unknown bool          // the attempt was ended on this side, so it shows nothing
	Latency time.Duration // to the first byte of the answer; 0: no answer
	Running int           // running requests by the answer's load report
	Queued  int           // queued requests by the answer's load report
	Slots   int           // 0: the answer had no load report
	// WorkPercent is how long work takes on its machine by the answer's load report; 100:
	// as usual; 0: not specified.
	WorkPercent int
	InFlight    int // this gateway's requests there when this one was sent, as in Choice; 0: unknown
}

// server is a backend server with this gateway's view of it.
type server struct {
	tanagerroad.Announcement
	inFlight       int
	latency        time.Duration
	othersRunning  int           // running requests of other gateways, by the latest load report
	queued         int           // queued requests of all gateways, by the latest load report
	reportAt       time.Duration // time of the latest load report
	failures       int           // in a row
	ejectedUntil   time.Duration
	promptPartUsed map[string]time.Duration // time of the latest use, by part id
	cold           *coldServer
	load           balance.Server // for balance.Even
	index          int            // in the pool's list; for balance.Even
}

// Pause is a time during which a backend server wants no requests from this gateway.
type Pause struct {
	ID          string
	StartMillis int64 // the start of the backend server that asked for it
	From, Until time.Duration
}

// Fleet is one gateway's view of the usable backend servers and their load.
type Fleet struct {
	regions  map[string]string // by zone
	servers  map[string]*server
	pools    map[string][]*server
	pauses   map[string]Pause // by id; kept while a backend server is not usable for a while
	limits   Limits
	buckets  map[string]*bucket // by id; of the backend servers with limits
	self     string             // peer address of this gateway
	gateways []string           // peer addresses of all gateways
	version  uint64
	cold     coldState
	even     *evenLoad // nil: the policy is balance.LowestCost
}

// New returns an empty fleet; regions holds the region of each zone.
func New(regions map[string]string) *Fleet {
	return &Fleet{regions: regions, servers: map[string]*server{}, pools: map[string][]*server{}, pauses: map[string]Pause{}, limits: Limits{}, buckets: map[string]*bucket{}, cold: newColdState()}
}

// Update replaces the set of usable backend servers. The statistics of a backend
// server are kept unless it has restarted or its address has changed.
func (f *Fleet) Update(usable []tanagerroad.Announcement) {
	f.version++
	next := map[string]*server{}
	f.pools = map[string][]*server{}
	for _, a := range usable {
		s, ok := f.servers[a.ID]
		if !ok || s.StartMillis != a.StartMillis || s.Address != a.Address {
			s = &server{latency: initialLatency, promptPartUsed: map[string]time.Duration{}}
		}
		s.Announcement, s.cold = a, f.announce(a)
		next[a.ID] = s
		f.pools[a.Pool] = append(f.pools[a.Pool], s)
	}
	f.servers = next
}

// Version returns the number of updates so far.
func (f *Fleet) Version() uint64 { return f.version }

// Pool returns the usable backend servers of a pool.
func (f *Fleet) Pool(name string) []tanagerroad.Announcement {
	out := make([]tanagerroad.Announcement, len(f.pools[name]))
	for i, s := range f.pools[name] {
		out[i] = s.Announcement
	}
	return out
}

// HasSoftware reports whether a pool has usable backend servers of a software version, and
// whether it has some of another one.
func (f *Fleet) HasSoftware(pool, software string) (this, other bool) {
	for _, s := range f.pools[pool] {
		this = this || s.Software == software
		other = other || s.Software != software
	}
	return this, other
}

// SoftwareVersions returns the number of software versions of a pool's usable backend
// servers.
func (f *Fleet) SoftwareVersions(pool string) int {
	versions := map[string]bool{}
	for _, s := range f.pools[pool] {
		versions[s.Software] = true
	}
	return len(versions)
}

// Len returns the number of usable backend servers.
func (f *Fleet) Len() int { return len(f.servers) }

// lastSharedPart returns the id of the prompt part that decides the placement:
// the last one that other requests share. The final part of a prompt of several
// parts is assumed to belong to this request alone.
func lastSharedPart(parts []tanagerroad.PromptPart) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// homeServer returns the backend server that should cache a prompt part, by
// rendezvous hashing: gateways that know the same backend servers choose the same
// one without communicating. Ejected, paused, limited and cold servers are skipped, and
// those that the request must not reach.
func (f *Fleet) homeServer(at time.Duration, pool, part string, regions region.Set) *server {
	var best *server
	var highest uint64
	for _, s := range f.pools[pool] {
		_, limited := f.Limit(s.Announcement)
		if !f.allowed(regions, s.Zone) || at < s.ejectedUntil || f.coldUntil(at, s.cold) > 0 || limited || f.PausedUntil(at, s.Announcement) > at {
			continue
		}
		if hash := xxhash.Sum64String(part + "|" + s.ID); best == nil || hash > highest {
			best, highest = s, hash
		}
	}
	return best
}

// HomeZone returns the allowed zone in which a prompt's shared parts are likely cached,
// or "" when there is none.
func (f *Fleet) HomeZone(at time.Duration, pool string, parts []tanagerroad.PromptPart, regions region.Set) string {
	if len(parts) == 0 {
		return ""
	}
	if s := f.homeServer(at, pool, lastSharedPart(parts), regions); s != nil {
		return s.Zone
	}
	return ""
}

// Pick chooses the backend server with the lowest cost, or by balance.Even if that is set,
// and counts the attempt as in flight there. It returns false when the pool has no backend
// server in an allowed region that is neither excluded nor paused nor at its limit nor cold
// without a turn.
func (f *Fleet) Pick(at time.Duration, req Request) (Choice, bool) {
	var best *server
	var lowest time.Duration
	var cached int
	candidates := 0
	list := f.pools[req.Pool]
	var home *server
	kept := f.keptPromises(at, req.Pool)
	if req.Promised {
		f.redeem(req.Pool, req.Regions)
	}
	if f.even != nil {
		f.beginEven(at, req)
	} else if len(req.PromptParts) > 0 {
		home = f.homeServer(at, req.Pool, lastSharedPart(req.PromptParts), req.Regions)
	}
	for i := range list {
		// A random starting point spreads requests over servers of equal cost.
		s := list[(uint64(i)+req.TieBreak)%uint64(len(list))]
		if !f.allowed(req.Regions, s.Zone) || slices.Contains(req.Exclude, s.ID) || f.unavailableUntil(at, s.Announcement) > 0 || req.Software != "" && s.Software != req.Software {
			continue
		}
		if !req.Promised && f.isPromised(kept, s.Zone) {
			if c, _ := f.paced(at, s.Announcement); c != nil {
				continue // its turns are kept for requests that wait
			}
		}
		candidates++
		if f.even != nil {
			f.addEven(at, s, req)
			continue
		}
		cost, tokens := f.cost(at, s, req, s == home)
		if best == nil || cost < lowest {
			best, lowest, cached = s, cost, tokens
		}
	}
	var even *Even
	if f.even != nil && candidates > 0 {
		best, lowest, cached, even = f.chooseEven(at, req)
	}
	if best == nil {
		return Choice{}, false
	}
	best.inFlight++
	best.recordPromptParts(at, req.PromptParts)
	return Choice{
		coldTurn: f.takeColdTurn(at, best.Announcement), chosenAt: at,
		Limited:      f.takeToken(best.Announcement),
		Announcement: best.Announcement, Cost: lowest, InFlight: best.inFlight, ReportedLoad: best.othersRunning + best.queued,
		ReportAge: at - best.reportAt, Candidates: candidates, CachedTokens: cached, Even: even,
	}, true
}

// cost returns the estimated cost of a placement on s, and the number of prompt
// tokens assumed to be cached there. home says that s is the home server of the
// prompt.
func (f *Fleet) cost(at time.Duration, s *server, req Request, home bool) (time.Duration, int) {
	total, cached := s.latency, 0
	if len(req.PromptParts) > 0 {
		uncached := 0
		hit := true
		for i, p := range req.PromptParts {
			used, ok := s.promptPartUsed[p.ID]
			shared := i < len(req.PromptParts)-1 || i == 0
			hit = hit && (ok && at-used < promptPartTTL || home && shared)
			if hit {
				cached += p.Tokens
			} else {
				uncached += p.Tokens
			}
		}
		total += time.Duration(uncached) * prefillTokenCost
	}
	total += s.loadCost(at)
	total += f.distanceCost(req.From.Zone, s.Zone)
	for zone, bytes := range req.ResultBytes {
		if zone != s.Zone {
			total += time.Duration(bytes) * resultByteCost
		}
	}
	if f.coldUntil(at, s.cold) > 0 {
		total += warmUpCost
	}
	if at < s.ejectedUntil {
		total += time.Hour // an ejected server is the last resort
	} else if l, ok := f.Limit(s.Announcement); ok && at-l.HeardAt > limitRefresh {
		total -= time.Hour // its next answer tells whether it still needs the limit
	}
	return total, cached
}

// loadCost returns the part of the cost that comes from the load of the backend server.
func (s *server) loadCost(at time.Duration) time.Duration {
	load := s.inFlight
	if age := at - s.reportAt; age < reportMaxAge {
		load = max(load, s.inFlight+int(float64(s.othersRunning)*(1-float64(age)/float64(reportMaxAge))))
		load += s.queued
	}
	total := time.Duration(load) * runningRequestCost
	if excess := load + 1 - max(1, s.Slots); excess > 0 {
		total += time.Duration(excess) * queuedRequestCost
	}
	return total
}

func (f *Fleet) distanceCost(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case f.regions[a] == f.regions[b]:
		return crossZoneCost
	}
	return crossRegionCost
}

func (s *server) recordPromptParts(at time.Duration, parts []tanagerroad.PromptPart) {
	if len(s.promptPartUsed) > maxPromptParts {
		for id, used := range s.promptPartUsed {
			if at-used > promptPartTTL {
				delete(s.promptPartUsed, id)
			}
		}
	}
	for _, p := range parts {
		s.promptPartUsed[p.ID] = at
	}
}

// RecordAnswer records the latency and the load report of an answer whose first
// byte has arrived.
func (f *Fleet) RecordAnswer(at time.Duration, id string, o Outcome) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	if o.Latency > 0 {
		s.latency += time.Duration(latencyWeight * float64(o.Latency-s.latency))
	}
	if o.Slots > 0 {
		s.othersRunning, s.queued, s.reportAt = max(0, o.Running-s.inFlight), o.Queued, at
		if f.even != nil {
			f.even.record(at, s, o)
		}
	}
}

// RecordEnd records the end of an attempt. A failure ejects the backend server
// for a time that doubles with each consecutive failure, up to ejectMax. A success
// readmits it.
func (f *Fleet) RecordEnd(at time.Duration, id string, o Outcome) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if o.Unknown {
		return
	}
	if !o.Failed {
		s.failures, s.ejectedUntil = 0, 0
		return
	}
	s.failures++
	ejection := ejectMin << min(s.failures-1, 4)
	s.ejectedUntil = at + min(ejection, ejectMax)
}

// RecordPause records that a backend server wants no requests for the time d, of which
// maxPause counts at most. It returns the end of the pause.
func (f *Fleet) RecordPause(at time.Duration, a tanagerroad.Announcement, d time.Duration) time.Duration {
	for id, p := range f.pauses {
		if at >= p.Until {
			delete(f.pauses, id)
		}
	}
	until := max(at+min(d, maxPause), f.PausedUntil(at, a))
	f.pauses[a.ID] = Pause{ID: a.ID, StartMillis: a.StartMillis, From: at, Until: until}
	return until
}

// PausedUntil returns the end of the backend server's pause, or 0 if there is none. A
// later start of the backend server has none.
func (f *Fleet) PausedUntil(at time.Duration, a tanagerroad.Announcement) time.Duration {
	if p, ok := f.pauses[a.ID]; ok && p.StartMillis == a.StartMillis && at < p.Until {
		return p.Until
	}
	return 0
}

// AddressPausedUntil is PausedUntil for the backend server at an address.
func (f *Fleet) AddressPausedUntil(at time.Duration, address string) time.Duration {
	for id := range f.pauses {
		if s, ok := f.servers[id]; ok && s.Address == address {
			return f.PausedUntil(at, s.Announcement)
		}
	}
	return 0
}

// Pauses returns the pauses of the usable backend servers of a pool, in the order of
// their ends.
func (f *Fleet) Pauses(at time.Duration, pool string) []Pause {
	var out []Pause
	if len(f.pauses) == 0 {
		return nil
	}
	for _, s := range f.pools[pool] {
		if f.PausedUntil(at, s.Announcement) > at {
			out = append(out, f.pauses[s.ID])
		}
	}
	slices.SortFunc(out, func(a, b Pause) int { return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.ID, b.ID)) })
	return out
}

// unavailableUntil returns when a backend server takes the next request of this gateway: at
// the end of its pause, or when its limit and its turns while it is cold allow it; 0: now.
func (f *Fleet) unavailableUntil(at time.Duration, a tanagerroad.Announcement) time.Duration {
	if until := f.PausedUntil(at, a); until > 0 {
		return until
	}
	return max(f.limitedUntil(at, a), f.pacedUntil(at, a))
}

// PoolPausedUntil returns when the first of the allowed backend servers of a pool takes
// requests of this gateway, if all are paused, at their limits or cold without a turn, and 0
// otherwise. Turns that Promise keeps for other requests are left out.
func (f *Fleet) PoolPausedUntil(at time.Duration, pool string, regions region.Set) time.Duration {
	var first time.Duration
	allowed, kept := false, f.keptPromises(at, pool)
	for _, s := range f.pools[pool] {
		if !f.allowed(regions, s.Zone) {
			continue
		}
		allowed = true
		until := f.unavailableUntil(at, s.Announcement)
		if until == 0 {
			if c, _ := f.paced(at, s.Announcement); c == nil || !f.isPromised(kept, s.Zone) {
				return 0
			}
		}
		if first == 0 || until < first {
			first = until
		}
	}
	if len(kept) > 0 && allowed {
		return f.turnAfter(at, pool, kept, regions)
	}
	return first
}

// RecordMisplaced records that a different backend server answered at this one's
// address. This one is probably gone, so it is ejected for the longest time; a
// restart announced to Update clears that.
func (f *Fleet) RecordMisplaced(at time.Duration, id string) {
	if s, ok := f.servers[id]; ok {
		s.ejectedUntil = at + ejectMax
	}
}
