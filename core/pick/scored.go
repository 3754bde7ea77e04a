package pick

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"tanagerroad"
)

// Parameters of the scored policy. Shares and weights are between 0 and 1.
const (
	othersWeight        = 0.5                    // weight of other entries' attempts in a load report; at 1 all entries would pick the same idle server
	reportHalfLife      = 2 * time.Second        // age at which a load report counts half
	serviceWeight       = 0.2                    // weight of a new service time in the running mean
	stragglerFactor     = 4.0                    // a straggler's mean service time exceeds the pool's median by this factor
	outlierFactor       = 2                      // a mean within this factor of the pool's median, above or below, may differ by chance
	stragglerMinSamples = 3                      // service times needed before a server can be a straggler
	failuresToEject     = 3                      // consecutive failures
	initialEjection     = 5 * time.Second        // length of a server's first ejection; doubles with each further one
	maxEjection         = 40 * time.Second       // longest ejection
	maxEjectedShare     = 0.34                   // share of a pool that may be ejected at once
	warmUpTime          = 5 * time.Second        // time over which a new or returned server reaches its full share of the load
	serviceHalfLife     = 5 * time.Second        // age at which a service time counts half, so that a server avoided as slow is tried again
	prefixHalfLife      = 30 * time.Second       // time since a server last used a prefix at which the expected saving is halved
	prefixSaving        = 0.5                    // share of the service time that a cached prefix saves
	maxPrefixes         = 4096                   // pairs of server and prefix that are remembered; those added first are dropped first, even if used since
	defaultService      = 100 * time.Millisecond // service time assumed for a pool without measurements
	scoreNoise          = 0.05                   // largest random addition, as a share of the score, to spread load over equal servers
)

// serverStats is what the picker has recorded about one server.
type serverStats struct {
	server       tanagerroad.Server // as last observed; Load may be newer, from an AttemptResult
	reportedAt   time.Duration      // time of the latest load report
	ownAtReport  int                // own attempts in flight at that time
	ownInFlight  int                // own attempts in flight now
	ownStarts    []time.Duration    // start times of own attempts in flight, oldest first
	meanService  time.Duration      // running mean of the service time; 0: not measured
	measuredAt   time.Duration      // time of the latest sample in meanService
	samples      int                // number of samples in meanService
	failures     int                // consecutive failures
	ejectedUntil time.Duration      // 0: not ejected
	lastEjection time.Duration      // length of the latest ejection
	warmUpStart  time.Duration      // when the server was first seen, was restarted or returned from an ejection
}

// Scored estimates for each server how soon an attempt would finish there and picks
// the lowest estimate. The estimate is the sum of the service time, reduced if the
// prefix is likely cached; the wait in the server's queue; and the price of the
// distance. Load reports arrive late, so they are corrected by the picker's own
// attempts since the report. Servers that fail repeatedly or are much slower than
// their pool are ejected for a while.
type Scored struct {
	prices      PriceFunc
	stats       map[string]*serverStats     // by server id
	prefixes    map[prefixKey]time.Duration // time of the last use
	prefixOrder []prefixKey                 // keys of prefixes, in the order in which they were added
	hadServers  bool                        // the latest list of servers was not empty
}

type prefixKey struct {
	server string
	prefix uint64
}

// NewScored returns a picker without servers. Observe adds them.
func NewScored(prices PriceFunc) *Scored {
	return &Scored{prices: prices, stats: map[string]*serverStats{}, prefixes: map[prefixKey]time.Duration{}}
}

// Observe replaces the list of servers and their load reports. The statistics of
// servers that are no longer listed are deleted. Those of a restarted server (one
// with a new generation) are reset, except for the picker's attempts in flight.
func (p *Scored) Observe(at time.Duration, servers []tanagerroad.Server) {
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
		st, ok := p.stats[s.ID]
		if !ok {
			st = &serverStats{warmUpStart: at}
			if !p.hadServers {
				st.warmUpStart = at - warmUpTime // the first servers need no warm-up: they may have run for long
			}
			p.stats[s.ID] = st
		}
		if ok && st.server.Generation != s.Generation {
			*st = serverStats{warmUpStart: at, ownInFlight: st.ownInFlight, ownStarts: st.ownStarts}
		}
		if !ok || s.Newer(st.server) {
			st.reportedAt, st.ownAtReport = at, st.ownInFlight
		} else {
			s.Load = st.server.Load // an answer may have brought a later one
		}
		st.server = s
	}
	for id := range p.stats {
		if !present[id] {
			delete(p.stats, id)
		}
	}
	p.hadServers = len(servers) > 0
}

// Pick returns the eligible server with the lowest score and counts the attempt as
// in flight there. Without an eligible server, the choice has no server.
func (p *Scored) Pick(at time.Duration, req tanagerroad.PickRequest) tanagerroad.Choice {
	candidates := p.eligible(at, req)
	if len(candidates) == 0 {
		return tanagerroad.Choice{Reason: "no server of the pool serves this"}
	}
	poolMedian := p.medianService(candidates)
	price := p.prices(req.Pool)
	var best *serverStats
	var bestScore score
	var lowest time.Duration
	for i, st := range candidates {
		s := p.score(at, st, req, poolMedian, price)
		fraction := float64(draw(req, i)%1000) / 1000
		sum := s.work + s.wait + s.crossing
		sum += time.Duration(scoreNoise * fraction * float64(sum))
		if best == nil || sum < lowest {
			best, bestScore, lowest = st, s, sum
		}
	}
	best.ownInFlight++
	best.ownStarts = append(best.ownStarts, at)
	return tanagerroad.Choice{
		Server:     best.server.ID,
		Address:    best.server.Address,
		Reason:     "lowest score: " + bestScore.String(),
		Candidates: statsIDs(candidates),
		Avoided:    pausedServers(at, candidates, best),
	}
}

// pausedServers describes the paused ones of the candidates that were not picked.
func pausedServers(at time.Duration, candidates []*serverStats, picked *serverStats) []string {
	var out []string
	for _, st := range candidates {
		if st != picked && st.pause(at) > 0 && len(out) < maxListedCandidates {
			out = append(out, fmt.Sprintf("%s paused, said %s ago", st.server.ID, (at-st.reportedAt).Round(time.Millisecond)))
		}
	}
	return out
}

// pause returns the rest of the pause that the server last reported.
func (st *serverStats) pause(at time.Duration) time.Duration {
	return max(0, st.reportedAt+st.server.Load.Pause-at)
}

func statsIDs(candidates []*serverStats) []string {
	out := make([]string, 0, min(len(candidates), maxListedCandidates))
	for _, st := range candidates[:min(len(candidates), maxListedCandidates)] {
		out = append(out, st.server.ID)
	}
	return out
}

// eligible returns the servers that may serve the request, sorted by id. Ejected
// servers are returned only if there are no others, and those to avoid only if there are
// none of these either. A server whose ejection is over
// starts its warm-up here.
func (p *Scored) eligible(at time.Duration, req tanagerroad.PickRequest) []*serverStats {
	var candidates, ejected, avoided []*serverStats
	for _, st := range p.stats {
		s := st.server
		if s.Pool != req.Pool || s.State != tanagerroad.Serving || !s.HasModel(req.Model) || slices.Contains(req.Exclude, s.ID) {
			continue
		}
		if slices.Contains(req.Avoid, s.ID) {
			avoided = append(avoided, st)
			continue
		}
		if st.ejectedUntil > at {
			ejected = append(ejected, st)
			continue
		}
		if st.ejectedUntil != 0 { // the ejection is over
			st.ejectedUntil, st.warmUpStart, st.failures = 0, at, 0
			st.meanService, st.samples = 0, 0
		}
		candidates = append(candidates, st)
	}
	if len(candidates) == 0 {
		candidates = ejected
	}
	if len(candidates) == 0 {
		candidates = avoided
	}
	slices.SortFunc(candidates, func(a, b *serverStats) int { return cmp.Compare(a.server.ID, b.server.ID) })
	return candidates
}

// medianService returns the median of the candidates' mean service times, or
// defaultService if none was measured.
func (p *Scored) medianService(candidates []*serverStats) time.Duration {
	var measured []time.Duration
	for _, st := range candidates {
		if st.meanService > 0 {
			measured = append(measured, st.meanService)
		}
	}
	if len(measured) == 0 {
		return defaultService
	}
	return median(measured)
}

// score is the estimate for one server: its service time (work), the wait before an
// attempt starts, and the price of the distance (crossing). The lowest sum wins.
type score struct{ work, wait, crossing time.Duration }

func (s score) String() string {
	return fmt.Sprintf("work %s, wait %s, crossing %s", s.work.Round(time.Microsecond), s.wait.Round(time.Microsecond), s.crossing)
}

func (p *Scored) score(at time.Duration, st *serverStats, req tanagerroad.PickRequest, poolMedian time.Duration, price Price) score {
	inFlight := p.inFlight(at, st)
	slots := float64(max(1, st.server.Load.Limit))
	if st.server.Load.Limit == 0 {
		slots = float64(max(1, st.server.Capacity))
	}
	service := p.expectedService(at, st, poolMedian, inFlight < slots)
	cached := p.prefixWarmth(at, st.server.ID, req.PrefixDigest)
	work := time.Duration(float64(service) * (1 - prefixSaving*cached))
	// During the warm-up a server counts as having fewer slots.
	if warmFor := at - st.warmUpStart; warmFor < warmUpTime {
		slots = max(0.25, slots*float64(warmFor)/float64(warmUpTime))
	}
	// While slots are free, each attempt in flight slows the others a little. Once
	// all are taken, an attempt waits until a slot is free.
	load := inFlight / slots
	wait := time.Duration(float64(service) * load * load / 2)
	if load >= 1 {
		wait = time.Duration(float64(service) * (inFlight + 1.5 - slots) / slots)
	}
	wait += st.pause(at)
	return score{work, wait, crossingPrice(st.server.Place, req, price)}
}

// expectedService estimates the service time of one attempt at a server. Service
// times vary, so the server's own mean is used only if it is clearly different from
// the pool's median, and its weight fades with age.
func (p *Scored) expectedService(at time.Duration, st *serverStats, poolMedian time.Duration, slotsFree bool) time.Duration {
	service := poolMedian
	if st.meanService > outlierFactor*poolMedian || outlierFactor*st.meanService < poolMedian && st.meanService > 0 {
		service += time.Duration(decay(at-st.measuredAt) * float64(st.meanService-poolMedian))
	}
	// The mean covers only attempts that have ended. If no attempt waits for a slot,
	// one in flight for longer than the mean shows that the server is slower now.
	if slotsFree && len(st.ownStarts) > 0 {
		service = max(service, at-st.ownStarts[0])
	}
	return service
}

// decay returns the weight, between 0 and 1, of a service time of the given age.
func decay(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(serviceHalfLife)) }

func crossingPrice(to tanagerroad.Place, req tanagerroad.PickRequest, price Price) time.Duration {
	switch req.InputPlace.DistanceTo(to) {
	case tanagerroad.SameRegion:
		return price.Zone
	case tanagerroad.OtherRegion:
		return price.Region + price.PerKiB*time.Duration(req.InputBytes/1024)
	}
	return 0
}

// inFlight estimates the attempts in flight at a server: the picker's own, which it
// counts exactly, and those of other entries, from the latest load report. The
// report's weight falls as it ages.
func (p *Scored) inFlight(at time.Duration, st *serverStats) float64 {
	reported := float64(st.server.Load.InFlight + st.server.Load.Queued)
	others := max(0, reported-float64(st.ownAtReport))
	age := float64(at-st.reportedAt) / float64(reportHalfLife)
	return float64(st.ownInFlight) + othersWeight*others/(1+age)
}

// prefixWarmth estimates, between 0 and 1, how likely a server still caches a
// prefix. It is 0 for the prefix 0, which stands for none.
func (p *Scored) prefixWarmth(at time.Duration, server string, prefix uint64) float64 {
	lastUse, ok := p.prefixes[prefixKey{server, prefix}]
	if prefix == 0 || !ok {
		return 0
	}
	return 1 / (1 + float64(at-lastUse)/float64(prefixHalfLife))
}

// Done updates the statistics of a server with the result of an attempt there.
// Results for servers that are no longer listed are ignored.
func (p *Scored) Done(at time.Duration, result tanagerroad.AttemptResult) {
	st, ok := p.stats[result.Server]
	if !ok {
		return
	}
	st.ownInFlight = max(0, st.ownInFlight-1)
	st.removeStart(at - result.ServiceTime)
	if result.Load != nil {
		st.server.Load = *result.Load
		st.reportedAt, st.ownAtReport = at, st.ownInFlight
	}
	switch {
	case result.Refused:
		return
	case result.OK:
		st.failures = 0
		// Record the time that a server without the prefix would have taken.
		// Otherwise servers that cache many prefixes would look faster in general
		// and attract requests with other prefixes too.
		cached := p.prefixWarmth(at, result.Server, result.PrefixDigest)
		p.recordService(at, st, time.Duration(float64(result.ServiceTime-result.QueueTime)/(1-prefixSaving*cached)))
		p.recordPrefix(at, result.Server, result.PrefixDigest)
	default:
		st.failures++
	}
	p.ejectIfUnhealthy(at, st)
}

// removeStart removes the recorded start time nearest to the given one. Results
// don't name their attempt, so the start is found by time.
func (st *serverStats) removeStart(start time.Duration) {
	nearest := -1
	for i, s := range st.ownStarts {
		if nearest < 0 || (s-start).Abs() < (st.ownStarts[nearest]-start).Abs() {
			nearest = i
		}
	}
	if nearest >= 0 {
		st.ownStarts = slices.Delete(st.ownStarts, nearest, nearest+1)
	}
}

func (p *Scored) recordService(at time.Duration, st *serverStats, service time.Duration) {
	st.samples++
	if st.meanService == 0 {
		st.meanService, st.measuredAt = service, at
		return
	}
	// The weight of the old mean falls with its age, so the first sample after a
	// long pause counts almost alone.
	oldWeight := (1 - serviceWeight) * decay(at-st.measuredAt)
	st.meanService = service + time.Duration(oldWeight*float64(st.meanService-service))
	st.measuredAt = at
}

func (p *Scored) recordPrefix(at time.Duration, server string, prefix uint64) {
	if prefix == 0 {
		return
	}
	key := prefixKey{server, prefix}
	if _, ok := p.prefixes[key]; !ok {
		p.prefixOrder = append(p.prefixOrder, key)
	}
	p.prefixes[key] = at
	if len(p.prefixOrder) > maxPrefixes {
		delete(p.prefixes, p.prefixOrder[0])
		p.prefixOrder = p.prefixOrder[1:]
	}
}

// ejectIfUnhealthy ejects a server that keeps failing or is a straggler, unless more
// than maxEjectedShare of its pool would then be ejected.
func (p *Scored) ejectIfUnhealthy(at time.Duration, st *serverStats) {
	var means []time.Duration
	total, ejected := 0, 0
	for _, other := range p.stats {
		if other.server.Pool != st.server.Pool {
			continue
		}
		total++
		if other.ejectedUntil > at {
			ejected++
		}
		if other.meanService > 0 {
			means = append(means, other.meanService)
		}
	}
	straggler := st.samples >= stragglerMinSamples && len(means) > 2 && float64(st.meanService) > stragglerFactor*float64(median(means))
	if !straggler && st.failures < failuresToEject {
		return
	}
	if st.ejectedUntil > at || float64(ejected+1) > maxEjectedShare*float64(total) {
		return
	}
	st.lastEjection = min(max(initialEjection, 2*st.lastEjection), maxEjection)
	st.ejectedUntil = at + st.lastEjection
}
