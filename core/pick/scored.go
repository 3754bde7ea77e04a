package pick

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"tanagerroad"
)

// Constants of the scored policy.
const (
	othersWeight    = 0.5                    // of what others are thought to have there: entries that trust it fully herd
	reportHalfLife  = 2 * time.Second        // a load report counts half after it
	serviceWeight   = 0.2                    // of a new service time in the running mean
	stragglerFactor = 4.0                    // times the pool's median service time
	clearFactor     = 2                      // times the pool's median, or its part, that is no chance
	stragglerRuns   = 3                      // attempts before a mean is believed
	failuresToEject = 3                      // in a row
	ejection        = 5 * time.Second        // first time aside; doubles up to maxEjection
	maxEjection     = 40 * time.Second       // the longest time aside
	ejectShare      = 0.34                   // of a pool that may be aside at once
	warmUp          = 5 * time.Second        // a new or returned server is eased in over it
	serviceHalfLife = 5 * time.Second        // a service time counts half after it, so that who is shunned is tried again
	prefixHalfLife  = 30 * time.Second       // belief that a server holds a prefix
	prefixSaves     = 0.5                    // of the service time
	prefixesKept    = 4096                   // pairs of server and prefix, the oldest go first
	firstService    = 100 * time.Millisecond // before anything is known of a pool
	noise           = 0.05                   // of the score, so that equals are spread
)

// belief is what the picker holds true of one server.
type belief struct {
	server     tanagerroad.Server
	reportedAt time.Duration
	ownThen    int // own attempts in flight when the report came
	own        int
	starts     []time.Duration // of own attempts in flight, oldest first
	service    time.Duration   // running mean; 0: not known
	learned    time.Duration   // when the mean was last learned
	runs       int
	failures   int
	aside      time.Duration // until then; 0: not aside
	asideFor   time.Duration
	since      time.Duration // first seen, or returned
}

// Scored weighs, for each server, the wait that its queue means, its learned
// service time, what a warm prefix saves, and the price of the crossing.
// Reports lag, so it corrects them by what it has itself sent and seen since.
type Scored struct {
	prices   Prices
	beliefs  map[string]*belief
	prefixes map[prefixKey]time.Duration
	order    []prefixKey
	started  bool
}

type prefixKey struct {
	server string
	prefix uint64
}

// NewScored returns a picker that knows no servers yet.
func NewScored(prices Prices) *Scored {
	return &Scored{prices: prices, beliefs: map[string]*belief{}, prefixes: map[prefixKey]time.Duration{}}
}

// Observe takes the directory's servers with their reported loads.
func (p *Scored) Observe(at time.Duration, servers []tanagerroad.Server) {
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
		b, known := p.beliefs[s.ID]
		if !known {
			b = &belief{since: at}
			if !p.started {
				b.since = at - warmUp // those there from the start are warm
			}
			p.beliefs[s.ID] = b
		}
		if known && b.server.Generation != s.Generation {
			*b = belief{since: at, own: b.own, starts: b.starts}
		}
		if !known || s.Newer(b.server) {
			b.reportedAt, b.ownThen = at, b.own
		}
		b.server = s
	}
	for id := range p.beliefs {
		if !present[id] {
			delete(p.beliefs, id)
		}
	}
	p.started = len(servers) > 0
}

// Pick chooses the server with the lowest score.
func (p *Scored) Pick(at time.Duration, ask tanagerroad.Ask) tanagerroad.Choice {
	can := p.usable(at, ask)
	if len(can) == 0 {
		return tanagerroad.Choice{Reason: "no server of the pool serves this"}
	}
	typical := p.typical(can)
	price := p.prices(ask.Pool)
	var best *belief
	var least score
	var lowest time.Duration
	for i, b := range can {
		s := p.score(at, b, ask, typical, price)
		spread := float64(draw(ask, i)%1000) / 1000
		sum := s.work + s.wait + s.crossing
		sum += time.Duration(noise * spread * float64(sum))
		if best == nil || sum < lowest {
			best, least, lowest = b, s, sum
		}
	}
	best.own++
	best.starts = append(best.starts, at)
	return tanagerroad.Choice{
		Server:     best.server.ID,
		Address:    best.server.Address,
		Reason:     "lowest score: " + least.String(),
		Candidates: beliefNames(can),
	}
}

func beliefNames(can []*belief) []string {
	out := make([]string, 0, min(len(can), shownCandidates))
	for _, b := range can[:min(len(can), shownCandidates)] {
		out = append(out, b.server.ID)
	}
	return out
}

// usable lists beliefs about servers that may serve the ask. Those set aside
// are left out unless nothing else is there.
func (p *Scored) usable(at time.Duration, ask tanagerroad.Ask) []*belief {
	var can, aside []*belief
	for _, b := range p.beliefs {
		s := b.server
		if s.Pool != ask.Pool || s.State != tanagerroad.Serving || !s.HasModel(ask.Model) || slices.Contains(ask.Exclude, s.ID) {
			continue
		}
		if b.aside > at {
			aside = append(aside, b)
			continue
		}
		if b.aside != 0 { // its time aside has ended: ease it in
			b.aside, b.since, b.failures = 0, at, 0
			b.service, b.runs = 0, 0
		}
		can = append(can, b)
	}
	if len(can) == 0 {
		can = aside
	}
	slices.SortFunc(can, func(a, b *belief) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return can
}

// typical is the median service time of the servers.
func (p *Scored) typical(can []*belief) time.Duration {
	var known []time.Duration
	for _, b := range can {
		if b.service > 0 {
			known = append(known, b.service)
		}
	}
	if len(known) == 0 {
		return firstService
	}
	return median(known)
}

// score is a server's predicted finish, and the price of reaching it.
type score struct{ work, wait, crossing time.Duration }

func (s score) String() string {
	return fmt.Sprintf("work %s, wait %s, crossing %s", s.work.Round(time.Microsecond), s.wait.Round(time.Microsecond), s.crossing)
}

func (p *Scored) score(at time.Duration, b *belief, ask tanagerroad.Ask, typical time.Duration, price Price) score {
	busy := p.inFlight(at, b)
	slots := float64(max(1, b.server.Load.Limit))
	if b.server.Load.Limit == 0 {
		slots = float64(max(1, b.server.Capacity))
	}
	service := p.service(at, b, typical, busy < slots)
	warm := p.warmth(at, b.server.ID, ask.Prefix)
	work := time.Duration(float64(service) * (1 - prefixSaves*warm))
	if eased := at - b.since; eased < warmUp {
		slots = max(0.25, slots*float64(eased)/float64(warmUp))
	}
	// Below its slots a server still slows a little with each attempt; beyond
	// them each waits for a slot.
	load := busy / slots
	wait := time.Duration(float64(service) * load * load / 2)
	if load >= 1 {
		wait = time.Duration(float64(service) * (busy + 1.5 - slots) / slots)
	}
	return score{work, wait, crossing(b.server.Place, ask, price)}
}

// service is the time that a server takes for one attempt. Service times vary,
// so a server counts as different from the pool only when it clearly is.
func (p *Scored) service(at time.Duration, b *belief, typical time.Duration, free bool) time.Duration {
	service := typical
	if b.service > clearFactor*typical || clearFactor*b.service < typical && b.service > 0 {
		service += time.Duration(faded(at-b.learned) * float64(b.service-typical))
	}
	// Where nothing waits, an attempt that is out for longer than usual says
	// more than the mean of those that came back.
	if free && len(b.starts) > 0 {
		service = max(service, at-b.starts[0])
	}
	return service
}

// faded is the weight, from 1 down to 0, of a service time learned so long ago.
func faded(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(serviceHalfLife)) }

func crossing(to tanagerroad.Place, ask tanagerroad.Ask, price Price) time.Duration {
	switch ask.From.DistanceTo(to) {
	case tanagerroad.SameRegion:
		return price.Zone
	case tanagerroad.OtherRegion:
		return price.Region + price.KiB*time.Duration(ask.Bytes/1024)
	}
	return 0
}

// inFlight estimates the attempts at a server: those of others from its last
// report, fading as the report ages, and our own as they are now.
func (p *Scored) inFlight(at time.Duration, b *belief) float64 {
	reported := float64(b.server.Load.InFlight + b.server.Load.Queued)
	others := max(0, reported-float64(b.ownThen))
	age := float64(at-b.reportedAt) / float64(reportHalfLife)
	return float64(b.own) + othersWeight*others/(1+age)
}

// warmth is the belief, from 0 to 1, that a server still caches a prefix.
func (p *Scored) warmth(at time.Duration, server string, prefix uint64) float64 {
	used, ok := p.prefixes[prefixKey{server, prefix}]
	if prefix == 0 || !ok {
		return 0
	}
	return 1 / (1 + float64(at-used)/float64(prefixHalfLife))
}

// Done learns from an attempt that ended.
func (p *Scored) Done(at time.Duration, result tanagerroad.Result) {
	b, ok := p.beliefs[result.Server]
	if !ok {
		return
	}
	b.own = max(0, b.own-1)
	b.forgetStart(at - result.Service)
	if result.Load != nil {
		b.server.Load = *result.Load
		b.reportedAt, b.ownThen = at, b.own
	}
	switch {
	case result.Refused:
		return
	case result.OK:
		b.failures = 0
		// As it would have been on a cold server; else servers that hold many
		// prefixes would seem the faster ones and draw all the rest.
		warm := p.warmth(at, result.Server, result.Prefix)
		p.learn(at, b, time.Duration(float64(result.Service-result.Waited)/(1-prefixSaves*warm)))
		p.remember(at, result.Server, result.Prefix)
	default:
		b.failures++
	}
	p.judge(at, b)
}

// forgetStart drops the start nearest to the one given.
func (b *belief) forgetStart(start time.Duration) {
	nearest := -1
	for i, s := range b.starts {
		if nearest < 0 || (s-start).Abs() < (b.starts[nearest]-start).Abs() {
			nearest = i
		}
	}
	if nearest >= 0 {
		b.starts = slices.Delete(b.starts, nearest, nearest+1)
	}
}

func (p *Scored) learn(at time.Duration, b *belief, service time.Duration) {
	b.runs++
	if b.service == 0 {
		b.service, b.learned = service, at
		return
	}
	// What was learned long ago weighs less than its share.
	old := (1 - serviceWeight) * faded(at-b.learned)
	b.service = service + time.Duration(old*float64(b.service-service))
	b.learned = at
}

func (p *Scored) remember(at time.Duration, server string, prefix uint64) {
	if prefix == 0 {
		return
	}
	key := prefixKey{server, prefix}
	if _, known := p.prefixes[key]; !known {
		p.order = append(p.order, key)
	}
	p.prefixes[key] = at
	if len(p.order) > prefixesKept {
		delete(p.prefixes, p.order[0])
		p.order = p.order[1:]
	}
}

// judge sets a failing server or a straggler aside, never more than a third of
// its pool at once.
func (p *Scored) judge(at time.Duration, b *belief) {
	var services []time.Duration
	total, aside := 0, 0
	for _, other := range p.beliefs {
		if other.server.Pool != b.server.Pool {
			continue
		}
		total++
		if other.aside > at {
			aside++
		}
		if other.service > 0 {
			services = append(services, other.service)
		}
	}
	slow := b.runs >= stragglerRuns && len(services) > 2 && float64(b.service) > stragglerFactor*float64(median(services))
	if !slow && b.failures < failuresToEject {
		return
	}
	if b.aside > at || float64(aside+1) > ejectShare*float64(total) {
		return
	}
	b.asideFor = min(max(ejection, 2*b.asideFor), maxEjection)
	b.aside = at + b.asideFor
}
