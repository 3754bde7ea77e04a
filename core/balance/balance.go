// Package balance evens the load of a pool's backend servers when many gateways place
// requests on them, each with load reports that come only with its own answers. It holds
// what one gateway believes about the load of the pool and chooses by that. See
// docs/design/even-load.md for what was weighed.
package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Values of the setting placing.balance.
const (
	LowestCost = "lowest-cost" // the backend server with the lowest estimated cost
	Even       = "even"        // this package
)

// Policies lists the values of the setting placing.balance.
var Policies = []string{Even, LowestCost}

const (
	// overload is the epsilon of consistent hashing with bounded loads: a backend server
	// takes no more requests that are not planned while its estimated load exceeds the pool's
	// mean by this share. Estimates err by about a fifth, so the busiest server is well above
	// it; 0.2 gave more than 1.5 times the mean.
	overload = 0.05
	// slack is the number of requests above that bound which a backend server takes. One
	// request more or less says nothing when few are running, and each move of a prompt
	// part costs a prefill.
	slack = 1.0
	// planOverload is that bound for backend servers that the plan chose. The plan keeps to
	// its own bound, so this one only corrects what the plan could not foresee.
	planOverload = 0.3
	// levelWeight is the least weight of a report in the mean load of the pool. With 0.1 the
	// mean followed single reports, and the busiest server was busier.
	levelWeight = 0.05
	// deviationTime is how fast the difference between a report and what was planned fades.
	// Lasting differences are the larger ones: 5 s, the time that a long request runs, made
	// the busiest server busier than 15 s did.
	deviationTime = 15 * time.Second
	// nearCost is the difference of costs up to which two backend servers are equally good;
	// a quarter of the cost if that is more, since latencies are moving means.
	nearCost = 10 * time.Millisecond
	// lastResort is a cost that excludes a backend server while there is a cheaper one.
	lastResort = 30 * time.Minute
	// workMaxAge is the age from which the fourth figure of a report counts for nothing: it
	// changes many times a second.
	workMaxAge = 200 * time.Millisecond
	// workWeight is the weight of that figure at age 0: it holds for a small part of the
	// time that a request takes.
	workWeight = 0.3
	// minWork is the least factor that the figure may give a load.
	minWork = 0.5
)

// Pool is what a gateway knows about the load of a pool's backend servers together.
type Pool struct {
	Plan
	level   float64 // mean load per slot that this gateway's own requests don't explain
	reports float64 // that went into it
}

// Server is what a gateway knows about the load of one backend server.
type Server struct {
	deviation   float64 // of the load per slot of others from what was planned, by the latest report
	workPercent int
	heardAt     time.Duration
	heard       bool
}

// Record records a report of the backend server with the given index in the pool's list.
// load is the load per slot without this gateway's own requests.
func (s *Server) Record(at time.Duration, p *Pool, index int, load float64, slots, workPercent int) {
	if p.reports++; p.reports == 1 {
		p.level = load / 2 // the first server heard from may be busier than all others
	} else {
		// The mean follows the ratio of what was reported to what was expected of the same
		// server: a mean of the reports would be too high, since most come from the servers
		// that get the most requests.
		one := 1 / float64(max(1, slots))
		ratio := (load + one) / (s.others(at, p, index) + one)
		p.level = max(0, (p.level+one)*math.Pow(ratio, max(levelWeight, 1/p.reports))-one)
	}
	*s = Server{deviation: load - p.level*p.Load(index), workPercent: workPercent, heardAt: at, heard: true}
}

// others returns the expected load per slot of others.
func (s *Server) others(at time.Duration, p *Pool, index int) float64 {
	planned := p.level * p.Load(index)
	if !s.heard {
		return planned
	}
	return max(0, planned+s.deviation*math.Exp(-float64(at-s.heardAt)/float64(deviationTime)))
}

// Load returns the estimated load: own requests in flight are known, those of others are
// expected to be as planned, and what the latest report said beyond that fades.
func (s *Server) Load(at time.Duration, p *Pool, index, own, slots int) float64 {
	load := float64(own) + s.others(at, p, index)*float64(max(1, slots))
	if age := at - s.heardAt; s.workPercent > 0 && age < workMaxAge {
		fresh := 1 - float64(age)/float64(workMaxAge)
		load *= max(minWork, 1+workWeight*fresh*(float64(s.workPercent)/100-1))
	}
	return load
}

// Candidate is a backend server that may be chosen.
type Candidate struct {
	Load  float64       // estimated: running and waiting
	Slots int           // requests that it runs at once
	Cost  time.Duration // estimated cost apart from its load
	Hash  uint64        // decides the order in which a shared prompt part is spread
	Home  bool          // it may cache the shared prompt part of the request
}

// Decision is a choice and the figures behind it.
type Decision struct {
	Index int     // of the chosen candidate
	Mean  float64 // mean estimated load per slot
	Rank  int     // candidates that come before it in the order of the shared prompt part
}

// Choose chooses among one or more candidates. A request whose shared prompt part is
// planned (shares, with indexes of candidates) goes to the less loaded of two that are
// drawn from the plan. Otherwise it goes to the first one in the order of hashes whose load
// is within the bound, so that a part is cached by as many backend servers as its load
// needs. A request without a shared part goes to one of the cheapest within the bound, at
// random by free capacity. random is evenly distributed.
func Choose(candidates []Candidate, shares []Share, random uint64) Decision {
	load, slots, cheapest := 0.0, 0.0, time.Duration(math.MaxInt64)
	for _, c := range candidates {
		load += c.Load
		slots += c.slots()
		cheapest = min(cheapest, c.Cost)
	}
	d := Decision{Index: -1, Mean: load / slots}
	within := func(c Candidate, epsilon float64) bool {
		return c.Home && c.Cost < cheapest+lastResort && c.room(d.Mean, epsilon) > 0
	}
	if len(shares) > 0 {
		source := rand.NewPCG(random, 0)
		first, second := draw(shares, source), draw(shares, source)
		if candidates[second].Load/candidates[second].slots() < candidates[first].Load/candidates[first].slots() {
			first = second
		}
		if within(candidates[first], planOverload) {
			d.Index = first
		}
	}
	if d.Index < 0 {
		for i, c := range candidates {
			if within(c, overload) && (d.Index < 0 || c.Hash > candidates[d.Index].Hash) {
				d.Index = i
			}
		}
	}
	if d.Index < 0 {
		d.Index = chooseCheap(candidates, d.Mean, cheapest, random)
	}
	for _, c := range candidates {
		if c.Home && c.Hash > candidates[d.Index].Hash {
			d.Rank++
		}
	}
	return d
}

// chooseCheap chooses one of the cheapest candidates within the bound, at random by free
// capacity, or the one with the most room if all exceed it.
func chooseCheap(candidates []Candidate, mean float64, cheapest time.Duration, random uint64) int {
	lowest, most := time.Duration(math.MaxInt64), -1
	for i, c := range candidates {
		if c.Cost >= cheapest+lastResort {
			continue
		}
		if c.room(mean, overload) > 0 {
			lowest = min(lowest, c.Cost)
		}
		if most < 0 || c.room(mean, overload) > candidates[most].room(mean, overload) {
			most = i
		}
	}
	near := max(nearCost, lowest/4)
	weight := func(c Candidate) float64 {
		if c.Cost-lowest > near {
			return 0
		}
		return max(0, c.room(mean, overload))
	}
	sum := 0.0
	for _, c := range candidates {
		sum += weight(c)
	}
	left := fraction(random) * sum
	for i, c := range candidates {
		if left -= weight(c); left < 0 {
			return i
		}
	}
	return most
}

func (c Candidate) slots() float64 { return float64(max(1, c.Slots)) }

// room returns how many requests more the candidate takes until its bound, which is no
// higher than its slots while the pool has free ones.
func (c Candidate) room(mean, epsilon float64) float64 {
	average := mean * c.slots()
	return min((1+epsilon)*average, max(average, c.slots()-slack)) + slack - c.Load
}

// draw draws one of the shares by weight and returns its server.
func draw(shares []Share, source rand.Source) int {
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	left := fraction(source.Uint64()) * sum
	for _, s := range shares {
		if left -= s.Weight; left < 0 {
			return s.Server
		}
	}
	return shares[len(shares)-1].Server
}

// fraction returns a number in [0, 1).
func fraction(random uint64) float64 { return float64(random>>11) / (1 << 53) }
