// Package pick implements the policies that choose a backend server for a stage.
// All of them implement tanagerroad.Picker. Scored is the policy for production;
// random, round robin and least in flight are baselines to compare it with. The
// policies read no clock and no random source: the caller passes the time, and
// randomness is derived from the seed of each tanagerroad.PickRequest.
package pick

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
)

// New returns the picker for a policy name. It returns an error if the name is not
// in Policies. Only the scored policy uses prices.
func New(policy string, prices PriceFunc) (tanagerroad.Picker, error) {
	switch policy {
	case "random":
		return newBaseline(random), nil
	case "round-robin":
		return newBaseline(roundRobin), nil
	case "least-in-flight":
		return newBaseline(leastInFlight), nil
	case "scored":
		return NewScored(prices), nil
	}
	return nil, fmt.Errorf("unknown policy %q: want scored, least-in-flight, round-robin or random", policy)
}

// Policies lists the policy names that New accepts.
var Policies = []string{"scored", "least-in-flight", "round-robin", "random"}

// PriceFunc returns the prices of a pool.
type PriceFunc func(pool string) Price

// Price is the cost of sending an input to another availability zone, expressed as
// a delay: a server farther away is chosen only if it would finish earlier by more
// than this. Zone applies between availability zones of one region, and Region
// between regions.
type Price struct {
	Zone, Region time.Duration
	PerKiB       time.Duration // added to Region for each KiB of input
}

// eligible returns the servers that are serving, belong to the pool, have the model
// and are not excluded, in the order of servers. Those to avoid are returned only if there
// are no others.
func eligible(servers []tanagerroad.Server, req tanagerroad.PickRequest) []tanagerroad.Server {
	var out, avoided []tanagerroad.Server
	for _, s := range servers {
		if s.Pool != req.Pool || s.State != tanagerroad.Serving || !s.HasModel(req.Model) {
			continue
		}
		if slices.Contains(req.Exclude, s.ID) {
			continue
		}
		if slices.Contains(req.Avoid, s.ID) {
			avoided = append(avoided, s)
			continue
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return avoided
	}
	return out
}

// draw returns the k-th pseudo-random number of a pick, a hash of its seed and k.
func draw(req tanagerroad.PickRequest, k int) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(req.Seed >> (8 * i))
		b[8+i] = byte(k >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// baseline is a picker that ignores load reports. It uses only the list of servers
// and the number of its own attempts in flight.
type baseline struct {
	servers  []tanagerroad.Server
	inFlight map[string]int // own attempts, by server id
	picks    int            // counted by roundRobin
	choose   func(b *baseline, candidates []tanagerroad.Server, req tanagerroad.PickRequest) tanagerroad.Server
}

func newBaseline(choose func(*baseline, []tanagerroad.Server, tanagerroad.PickRequest) tanagerroad.Server) *baseline {
	return &baseline{inFlight: map[string]int{}, choose: choose}
}

func (b *baseline) Observe(_ time.Duration, servers []tanagerroad.Server) { b.servers = servers }

func (b *baseline) Pick(_ time.Duration, req tanagerroad.PickRequest) tanagerroad.Choice {
	candidates := eligible(b.servers, req)
	if len(candidates) == 0 {
		return tanagerroad.Choice{Reason: "no server of the pool serves this"}
	}
	chosen := b.choose(b, candidates, req)
	b.inFlight[chosen.ID]++
	return tanagerroad.Choice{Server: chosen.ID, Address: chosen.Address, Reason: "baseline", Candidates: serverIDs(candidates)}
}

func (b *baseline) Done(_ time.Duration, r tanagerroad.AttemptResult) { b.inFlight[r.Server]-- }

func random(_ *baseline, candidates []tanagerroad.Server, req tanagerroad.PickRequest) tanagerroad.Server {
	return candidates[draw(req, 0)%uint64(len(candidates))]
}

func roundRobin(b *baseline, candidates []tanagerroad.Server, _ tanagerroad.PickRequest) tanagerroad.Server {
	b.picks++
	return candidates[b.picks%len(candidates)]
}

// leastInFlight begins its search at a random candidate, so that ties are broken at
// random.
func leastInFlight(b *baseline, candidates []tanagerroad.Server, req tanagerroad.PickRequest) tanagerroad.Server {
	start := int(draw(req, 0) % uint64(len(candidates)))
	best := candidates[start]
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if b.inFlight[c.ID] < b.inFlight[best.ID] {
			best = c
		}
	}
	return best
}

// maxListedCandidates bounds the candidates listed in a Choice, which is logged.
const maxListedCandidates = 8

func serverIDs(servers []tanagerroad.Server) []string {
	out := make([]string, 0, min(len(servers), maxListedCandidates))
	for _, s := range servers[:min(len(servers), maxListedCandidates)] {
		out = append(out, s.ID)
	}
	return out
}

// median returns the median of a non-empty list, and sorts the list. For an even
// length it is the upper of the two middle values.
func median[T cmp.Ordered](list []T) T {
	slices.Sort(list)
	return list[len(list)/2]
}
