// Package pick chooses a backend server for a stage. It holds four policies
// behind the interface tanagerroad.Picker: random, round robin and least in
// flight as baselines, and scored, the one that serves. All are pure: time is
// passed in and chance comes from the request's own seed.
package pick

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
)

// New returns the picker that settings name.
func New(policy string, prices Prices) (tanagerroad.Picker, error) {
	switch policy {
	case "random":
		return newSimple(random), nil
	case "round-robin":
		return newSimple(roundRobin), nil
	case "least-in-flight":
		return newSimple(leastInFlight), nil
	case "scored":
		return NewScored(prices), nil
	}
	return nil, fmt.Errorf("policy %q: want scored, least-in-flight, round-robin or random", policy)
}

// Policies lists the names that New takes.
var Policies = []string{"scored", "least-in-flight", "round-robin", "random"}

// Prices gives a pool's prices for crossing zones and regions.
type Prices func(pool string) Price

// Price is the delay that a crossing is held to be worth.
type Price struct {
	Zone, Region time.Duration
	KiB          time.Duration // for each KiB between regions
}

// usable lists the servers that may serve the ask, by id.
func usable(servers []tanagerroad.Server, ask tanagerroad.Ask) []tanagerroad.Server {
	var out []tanagerroad.Server
	for _, s := range servers {
		if s.Pool != ask.Pool || s.State != tanagerroad.Serving || !s.HasModel(ask.Model) {
			continue
		}
		if slices.Contains(ask.Exclude, s.ID) {
			continue
		}
		out = append(out, s)
	}
	return out
}

// draw returns the k-th random number of an ask.
func draw(ask tanagerroad.Ask, k int) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(ask.Seed >> (8 * i))
		b[8+i] = byte(k >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// simple is a baseline: it sees the servers and its own attempts in flight.
type simple struct {
	servers  []tanagerroad.Server
	inFlight map[string]int
	turn     int
	choose   func(s *simple, usable []tanagerroad.Server, ask tanagerroad.Ask) tanagerroad.Server
}

func newSimple(choose func(*simple, []tanagerroad.Server, tanagerroad.Ask) tanagerroad.Server) *simple {
	return &simple{inFlight: map[string]int{}, choose: choose}
}

func (s *simple) Observe(_ time.Duration, servers []tanagerroad.Server) { s.servers = servers }

func (s *simple) Pick(_ time.Duration, ask tanagerroad.Ask) tanagerroad.Choice {
	can := usable(s.servers, ask)
	if len(can) == 0 {
		return tanagerroad.Choice{Reason: "no server of the pool serves this"}
	}
	chosen := s.choose(s, can, ask)
	s.inFlight[chosen.ID]++
	return tanagerroad.Choice{Server: chosen.ID, Address: chosen.Address, Reason: "baseline", Candidates: names(can)}
}

func (s *simple) Done(_ time.Duration, result tanagerroad.Result) { s.inFlight[result.Server]-- }

func random(_ *simple, can []tanagerroad.Server, ask tanagerroad.Ask) tanagerroad.Server {
	return can[draw(ask, 0)%uint64(len(can))]
}

func roundRobin(s *simple, can []tanagerroad.Server, _ tanagerroad.Ask) tanagerroad.Server {
	s.turn++
	return can[s.turn%len(can)]
}

func leastInFlight(s *simple, can []tanagerroad.Server, ask tanagerroad.Ask) tanagerroad.Server {
	start := int(draw(ask, 0) % uint64(len(can)))
	best := can[start]
	for i := range can {
		c := can[(start+i)%len(can)]
		if s.inFlight[c.ID] < s.inFlight[best.ID] {
			best = c
		}
	}
	return best
}

// shownCandidates bounds the candidates that a decision's log line names.
const shownCandidates = 8

func names(servers []tanagerroad.Server) []string {
	out := make([]string, 0, min(len(servers), shownCandidates))
	for _, s := range servers[:min(len(servers), shownCandidates)] {
		out = append(out, s.ID)
	}
	return out
}

// median of a non-empty list, which it sorts.
func median[T cmp.Ordered](list []T) T {
	slices.Sort(list)
	return list[len(list)/2]
}
