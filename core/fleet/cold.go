package fleet

import (
	"math"
	"slices"
	"time"

	"tanagerroad"
	"tanagerroad/core/cold"
	"tanagerroad/core/region"
)

const (
	// coldMemory is how long it is remembered what was known of a backend server that is
	// not usable, longer than an evacuation order or a lost link takes to pass.
	coldMemory = time.Minute
	// lostGatewayMemory is how long a gateway that is no longer listed counts when the rate
	// of a cold server is divided. It may be cut off from this one only, and send. Its share is
	// unused if it has ended: with a longer time the loss of a zone would be felt for longer.
	lostGatewayMemory = time.Minute
	// settleTime is how long a gateway takes a small share after its start. Control
	// instances list the gateways every second, so that until then it knows of all others,
	// and they of it.
	settleTime = 3 * time.Second
	// frozenAfter is the time without housekeeping, which runs every 0.5 s, after which the
	// gateway was frozen, and does not know whether a server became cold meanwhile.
	frozenAfter = 1500 * time.Millisecond
	// frozenCaution is how long all servers with a rate count as cold then. Updates that
	// arrived meanwhile are read within milliseconds.
	frozenCaution = time.Second
	// promiseGrace is how long a turn is kept for a request that waits for it.
	promiseGrace = 250 * time.Millisecond
)

// coldPool holds the limits of a pool's cold backend servers.
type coldPool struct {
	time      time.Duration
	perSecond float64
}

// coldServer is what is known of whether one start of a backend server is cold.
type coldServer struct {
	latest   tanagerroad.Announcement
	unread   bool          // latest is not applied yet
	known    bool          // an announcement was applied
	saidCold bool          // one said that the server is cold
	returns  bool          // marked while it was not usable: its next announcement may be older than the mark
	seenAt   time.Duration // of the first announcement
	since    time.Duration // start of the cold time
	until    time.Duration // end of the cold time
	usableAt time.Duration // when it was last among the usable servers
	sentAt   time.Duration // of this gateway's latest request
	sent     bool
	pacer    cold.Pacer
	rank     int    // of this gateway among all
	ranked   uint64 // version of the list of gateways that rank is of; 0: none
}

// coldState is the part of a fleet that concerns cold backend servers.
type coldState struct {
	pools     map[string]coldPool
	servers   map[string]*coldServer   // by id
	zones     map[string]time.Duration // when MarkCold was called, by zone
	poolSeen  map[string]time.Duration // when a server of the pool was first seen
	gateways  []string                 // those that share: the listed ones, and those lost a short while ago
	lost      map[string]time.Duration // gateways that are no longer listed, and since when
	unstamped []string                 // gateways that are no longer listed, since an unknown time
	version   uint64                   // of gateways
	bornAt    time.Duration
	born      bool
	keptAt    time.Duration        // of the latest housekeeping; 0: none
	cautious  time.Duration        // end of the caution after a freeze
	promises  map[string][]promise // turns that requests wait for, by pool
	divisions map[divisionKey]cold.Division
}

// divisionKey is what a division of a rate depends on.
type divisionKey struct {
	perSecond float64
	gateways  int
	settling  bool
}

func newColdState() coldState {
	return coldState{
		pools: map[string]coldPool{}, servers: map[string]*coldServer{}, zones: map[string]time.Duration{},
		poolSeen: map[string]time.Duration{}, lost: map[string]time.Duration{}, promises: map[string][]promise{}, divisions: map[divisionKey]cold.Division{}, version: 1,
	}
}

// SetPools sets the rates of cold backend servers from the configuration in force.
func (f *Fleet) SetPools(pools []tanagerroad.CatalogPool) {
	clear(f.cold.divisions)
	f.cold.pools = map[string]coldPool{}
	for _, p := range pools {
		if p.ColdPerSecond > 0 {
			f.cold.pools[p.Name] = coldPool{p.ColdTime, p.ColdPerSecond}
		}
	}
}

// announce keeps an announcement of a usable backend server until the time of its arrival
// is known.
func (f *Fleet) announce(a tanagerroad.Announcement) *coldServer {
	c, ok := f.cold.servers[a.ID]
	if !ok || c.latest.StartMillis != a.StartMillis {
		c = &coldServer{latest: a, unread: true}
		f.cold.servers[a.ID] = c
		return c
	}
	if c.latest.Sequence != a.Sequence || c.latest.WarmUp != a.WarmUp {
		c.latest, c.unread = a, true
	} else {
		c.returns = false
	}
	return c
}

// ColdServer is a backend server that became cold.
type ColdServer struct {
	tanagerroad.Announcement
	Until time.Duration
}

// UpdateCold applies the announcements of the latest Update, which arrived at the given
// time, and returns the servers that became cold. nowMillis is the Unix time. Without
// UpdateCold they count as having arrived when the server is first considered.
func (f *Fleet) UpdateCold(at time.Duration, nowMillis int64) []ColdServer {
	var out []ColdServer
	for _, pool := range f.pools {
		for _, s := range pool {
			c := s.cold
			before := max(c.until, at)
			f.readAnnouncement(at, nowMillis, c)
			c.usableAt = at
			if c.until > before && c.since == at {
				out = append(out, ColdServer{s.Announcement, c.until})
			}
		}
	}
	return out
}

// readAnnouncement applies an announcement that arrived at the given time. A server is cold
// until its arrival plus WarmUp: it was sent earlier, so that this is never too short. One
// that says it is warm is believed unless it may come from a server that does not announce
// that it is cold, see ColdTime; the first servers of a pool may all be new and warm.
func (f *Fleet) readAnnouncement(at time.Duration, nowMillis int64, c *coldServer) {
	if !c.unread {
		return
	}
	f.noteTime(at)
	pool := f.cold.pools[c.latest.Pool]
	poolSeen, seen := f.cold.poolSeen[c.latest.Pool]
	if !seen {
		poolSeen = at
		f.cold.poolSeen[c.latest.Pool] = at
	}
	first := !c.known
	c.unread, c.known = false, true
	if first {
		c.seenAt, c.usableAt = at, at
	}
	switch {
	case c.latest.WarmUp > 0:
		c.saidCold = true
		f.setCold(at, c, at+c.latest.WarmUp)
	case first && nowMillis-c.latest.StartMillis < pool.time.Milliseconds() && at-poolSeen >= pool.time:
		f.setCold(at, c, at+pool.time)
	case c.returns:
		c.returns = false
	case c.saidCold || at-c.seenAt >= pool.time || nowMillis-c.latest.StartMillis >= pool.time.Milliseconds():
		c.until = 0
	}
	if marked, ok := f.cold.zones[c.latest.Zone]; ok && first {
		f.setCold(at, c, max(c.until, marked+pool.time))
	}
}

// setCold records that a server is cold until a time.
func (f *Fleet) setCold(at time.Duration, c *coldServer, until time.Duration) {
	if until <= at {
		return
	}
	if at >= c.until {
		c.since = at
		if p, ok := f.cold.pools[c.latest.Pool]; ok {
			c.pacer.Start(at, c.sentAt, c.sent, f.division(at, p), f.rank(c))
		}
	}
	c.until = until
}

// MarkCold records that the backend servers of a zone may be cold, since they had no
// requests. That holds for their pools' ColdTime, or until an announcement with another
// sequence number says otherwise. Servers that become usable afterwards count too.
func (f *Fleet) MarkCold(at time.Duration, zone string) {
	f.cold.zones[zone] = at
	for id, c := range f.cold.servers {
		if c.latest.Zone == zone {
			f.readAnnouncement(at, 0, c)
			c.returns = f.servers[id] == nil
			f.setCold(at, c, max(c.until, at+f.cold.pools[c.latest.Pool].time))
		}
	}
}

// ExpireCold removes what is no longer of use, and records that the gateway runs. It is
// called at least once a second.
func (f *Fleet) ExpireCold(at time.Duration) {
	f.noteTime(at)
	f.cold.keptAt = at
	for id, c := range f.cold.servers {
		if _, ok := f.servers[id]; ok {
			c.usableAt = at
		} else if at-c.usableAt > coldMemory {
			delete(f.cold.servers, id)
		}
	}
	for zone, marked := range f.cold.zones {
		if at-marked > coldMemory {
			delete(f.cold.zones, zone)
		}
	}
	for gateway, since := range f.cold.lost {
		// With no other gateway listed it is this one that is cut off.
		if at-since > lostGatewayMemory && len(f.gateways) > 1 {
			delete(f.cold.lost, gateway)
			f.listSharers()
		}
	}
}

// noteTime records when the gateway started, when gateways were lost, and whether it was
// frozen.
func (f *Fleet) noteTime(at time.Duration) {
	s := &f.cold
	if !s.born {
		s.born, s.bornAt = true, at
	}
	for _, gateway := range s.unstamped {
		s.lost[gateway] = at
	}
	s.unstamped = nil
	if s.keptAt > 0 && at-s.keptAt > frozenAfter {
		s.keptAt, s.cautious = at, at+frozenCaution
		for _, c := range s.servers {
			if _, ok := s.pools[c.latest.Pool]; ok {
				f.setCold(at, c, max(c.until, s.cautious))
			}
		}
	}
}

// setSharers replaces the listed gateways.
func (f *Fleet) setSharers(before, all []string) {
	for _, gateway := range before {
		if !slices.Contains(all, gateway) {
			f.cold.unstamped = append(f.cold.unstamped, gateway)
		}
	}
	for _, gateway := range all {
		delete(f.cold.lost, gateway)
	}
	f.cold.unstamped = slices.DeleteFunc(f.cold.unstamped, func(gateway string) bool { return slices.Contains(all, gateway) })
	f.listSharers()
}

func (f *Fleet) listSharers() {
	s := &f.cold
	s.gateways = append(slices.Clone(f.gateways), s.unstamped...)
	for gateway := range s.lost {
		s.gateways = append(s.gateways, gateway)
	}
	s.version++
	clear(s.divisions)
}

// division returns how the rate of a pool's cold servers is divided.
func (f *Fleet) division(at time.Duration, p coldPool) cold.Division {
	key := divisionKey{p.perSecond, max(len(f.cold.gateways), 1), at-f.cold.bornAt < settleTime}
	d, ok := f.cold.divisions[key]
	if !ok {
		divide := cold.Divide
		if key.settling {
			divide = cold.Settling
		}
		d = divide(key.perSecond, key.gateways)
		f.cold.divisions[key] = d
	}
	return d
}

// rank returns the position of this gateway among those that share a server's rate.
func (f *Fleet) rank(c *coldServer) int {
	if c.ranked != f.cold.version {
		c.rank, c.ranked = cold.Rank(c.latest.ID, c.latest.StartMillis, f.self, f.cold.gateways), f.cold.version
	}
	return c.rank
}

// coldUntil returns until when a server is cold, or 0 if it is not.
func (f *Fleet) coldUntil(at time.Duration, c *coldServer) time.Duration {
	f.readAnnouncement(at, 0, c)
	if at < c.until {
		return c.until
	}
	return 0
}

// paced returns the state of a backend server whose requests are paced now, nil if it is
// not cold or takes any number.
func (f *Fleet) paced(at time.Duration, a tanagerroad.Announcement) (*coldServer, coldPool) {
	p, ok := f.cold.pools[a.Pool]
	if !ok {
		return nil, p
	}
	c := f.cold.servers[a.ID]
	if c == nil || c.latest.StartMillis != a.StartMillis {
		return nil, p
	}
	f.noteTime(at)
	if f.coldUntil(at, c) == 0 {
		return nil, p
	}
	return c, p
}

// pacedUntil returns when a cold backend server takes the next request of this gateway, or 0
// if it does so now.
func (f *Fleet) pacedUntil(at time.Duration, a tanagerroad.Announcement) time.Duration {
	c, p := f.paced(at, a)
	if c == nil {
		return 0
	}
	d := f.division(at, p)
	next := c.pacer.Next(d)
	switch share := d.ShareFrom(f.rank(c), at-c.since); {
	case share == math.MaxInt64:
		next = c.until
	case share > 0:
		next = max(next, at+share)
	}
	if next = min(next, c.until); next <= at {
		return 0
	}
	return next
}

// takeColdTurn takes the turn of a request that was chosen for a backend server, if that is
// cold, and returns its number.
func (f *Fleet) takeColdTurn(at time.Duration, a tanagerroad.Announcement) uint64 {
	if c := f.cold.servers[a.ID]; c != nil {
		c.sentAt, c.sent = at, true
	}
	c, p := f.paced(at, a)
	if c == nil {
		return 0
	}
	return c.pacer.Take(at, f.division(at, p))
}

// allowCold reports whether a request may be sent now to a backend server that may be cold,
// and takes a turn if it became cold after the choice.
func (f *Fleet) allowCold(at time.Duration, choice Choice) bool {
	c, p := f.paced(at, choice.Announcement)
	if c == nil || choice.Batched {
		return true
	}
	hasShare := f.division(at, p).ShareFrom(f.rank(c), at-c.since) == 0
	if choice.coldTurn > 0 && c.pacer.Send(at, choice.chosenAt, choice.coldTurn, hasShare) {
		return true
	}
	if f.pacedUntil(at, choice.Announcement) > 0 {
		return false
	}
	f.takeColdTurn(at, choice.Announcement)
	return true
}

// ColdRate is the rate at which the owner of a pool's pieces sends calls to a cold server.
type ColdRate struct {
	ID          string
	StartMillis int64
	PerSecond   float64
	Until       time.Duration
}

// ColdRates returns the rates of the usable backend servers of a pool that are cold.
func (f *Fleet) ColdRates(at time.Duration, pool string) []ColdRate {
	var out []ColdRate
	for _, s := range f.pools[pool] {
		if c, p := f.paced(at, s.Announcement); c != nil {
			out = append(out, ColdRate{s.ID, s.StartMillis, cold.OwnerRate(p.perSecond), c.until})
		}
	}
	return out
}

// AddressCold reports whether the backend server at an address is cold and has a rate.
func (f *Fleet) AddressCold(at time.Duration, address string) bool {
	if len(f.cold.pools) == 0 {
		return false
	}
	for _, s := range f.servers {
		if s.Address == address {
			c, _ := f.paced(at, s.Announcement)
			return c != nil
		}
	}
	return false
}

// promise is a turn that is kept for a request.
type promise struct {
	until   time.Duration
	regions region.Set // in which the request may be served
}

// Promise keeps a turn of a pool's cold backend servers in the allowed regions for a request
// that waits until the given time, so that requests that arrive later don't take it.
func (f *Fleet) Promise(pool string, until time.Duration, regions region.Set) {
	f.cold.promises[pool] = append(f.cold.promises[pool], promise{until, regions})
}

// keptPromises returns the turns of a pool that are kept for requests.
func (f *Fleet) keptPromises(at time.Duration, pool string) []promise {
	kept := slices.DeleteFunc(f.cold.promises[pool], func(p promise) bool { return at > p.until+promiseGrace })
	if len(kept) == 0 {
		delete(f.cold.promises, pool)
	} else {
		f.cold.promises[pool] = kept
	}
	return kept
}

// isPromised reports whether one of the kept turns may be at a backend server in a zone.
func (f *Fleet) isPromised(kept []promise, zone string) bool {
	for i := range kept {
		if f.allowed(kept[i].regions, zone) {
			return true
		}
	}
	return false
}

// redeem ends the oldest promise for the regions of a request, which is placed now or waits
// again.
func (f *Fleet) redeem(pool string, regions region.Set) {
	kept, oldest := f.cold.promises[pool], -1
	for i, p := range kept {
		if p.regions.Equal(regions) && (oldest < 0 || p.until < kept[oldest].until) {
			oldest = i
		}
	}
	if oldest >= 0 {
		f.cold.promises[pool] = slices.Delete(kept, oldest, oldest+1)
	}
}

// PoolCold reports whether a pool has a cold backend server with a rate in an allowed region,
// so that requests may have to wait for turns.
func (f *Fleet) PoolCold(at time.Duration, pool string, regions region.Set) bool {
	return slices.ContainsFunc(f.pools[pool], func(s *server) bool {
		c, _ := f.paced(at, s.Announcement)
		return c != nil && f.allowed(regions, s.Zone)
	})
}

// turnAfter returns when the turn in the allowed regions after those that are promised comes,
// of a pool all of whose allowed backend servers are unavailable or cold.
func (f *Fleet) turnAfter(at time.Duration, pool string, kept []promise, regions region.Set) time.Duration {
	type sequence struct {
		next, spacing time.Duration
		zone          string
	}
	var turns []sequence
	for _, s := range f.pools[pool] {
		next, spacing := max(at, f.unavailableUntil(at, s.Announcement)), time.Duration(0)
		if c, p := f.paced(at, s.Announcement); c != nil && next < c.until {
			spacing = f.division(at, p).Spacing
		}
		turns = append(turns, sequence{next, spacing, s.Zone})
	}
	first := func(regions region.Set) int {
		first := -1
		for i, s := range turns {
			if f.allowed(regions, s.zone) && (first < 0 || s.next < turns[first].next) {
				first = i
			}
		}
		return first
	}
	for _, p := range kept {
		if i := first(p.regions); i >= 0 {
			turns[i].next += turns[i].spacing // 0: it takes any number
		}
	}
	return turns[first(regions)].next
}
