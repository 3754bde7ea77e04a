package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// planInterval is the time between two plans.
	planInterval = time.Second
	// popularityTime is the time over which requests of a prompt part are counted. A
	// gateway has some 10 requests a second, so that less gives each its own plan.
	popularityTime = time.Minute
	// minCount is the number of requests from which a part is planned: two within half a
	// minute. With 3 too many parts that others plan are not planned here.
	minCount = 1.5
	// maxPlanned bounds the parts that are planned, and with it the time that it takes.
	maxPlanned = 64
	// leastShare is the least share that a part gets of a backend server, of the mean load
	// of one, unless it needs less. Smaller ones differ from gateway to gateway, and each
	// costs a prefill. What is left below half of it goes to the part's last server, above
	// the bound.
	leastShare = 0.6
)

// Share is the share of a prompt part's requests that a backend server is to get.
type Share struct {
	Server int // index of the backend server
	Weight float64
}

// PlanServer is a backend server that may cache prompt parts.
type PlanServer struct {
	Index int // in the pool's list
	ID    string
	Slots int
}

// Plan spreads the hot prompt parts of a pool over its backend servers, by consistent
// hashing with bounded loads: a part's requests go to the first backend servers in its
// rendezvous order, to each up to the bound. Gateways see about the same popularity, so
// they arrive at about the same plan without messages.
type Plan struct {
	counts  map[string]float64 // recent requests by shared part
	total   float64            // recent requests
	shares  map[string][]Share // by part
	load    []float64          // planned load by index of the backend server; 1: the mean
	builtAt time.Duration
	servers []PlanServer     // of the latest plan
	orders  map[string][]int // indexes of servers in rendezvous order, by hot part
}

// Count counts a request with a shared prompt part; empty: none.
func (p *Plan) Count(part string) {
	if p.counts == nil {
		p.counts = map[string]float64{}
	}
	p.total++
	if part != "" {
		p.counts[part]++
	}
}

// Due reports whether the plan is to be made again.
func (p *Plan) Due(at time.Duration) bool {
	return p.load == nil || at-p.builtAt >= planInterval
}

// Discard discards the plan, since the list of backend servers has changed.
func (p *Plan) Discard() { p.shares, p.load = nil, nil }

// Shares returns how the requests of a part are spread, nothing if the part is not planned.
func (p *Plan) Shares(part string) []Share { return p.shares[part] }

// Load returns the planned load of a backend server; 1: the mean.
func (p *Plan) Load(index int) float64 {
	if index >= len(p.load) {
		return 1
	}
	return p.load[index]
}

// demand is a hot part with the requests that are not planned yet.
type demand struct {
	part  string
	left  float64
	order []int // indexes of servers in rendezvous order
}

// Make makes the plan for a pool whose list has n backend servers.
func (p *Plan) Make(at time.Duration, n int, servers []PlanServer) {
	p.fade(at)
	p.builtAt, p.shares, p.load = at, map[string][]Share{}, slices.Repeat([]float64{1}, n)
	slots := 0.0
	for _, s := range servers {
		slots += float64(max(1, s.Slots))
	}
	hot := p.hot(servers)
	rest := p.total
	for _, d := range hot {
		rest -= d.left
	}
	average := make([]float64, len(servers)) // in requests
	room := make([]float64, len(servers))
	for i, s := range servers {
		average[i] = p.total * float64(max(1, s.Slots)) / slots
		room[i] = average[i]
		p.load[s.Index] = 0
	}
	for rank := range servers {
		for i := range hot {
			d := &hot[i]
			s := d.order[rank]
			share := min(d.left, room[s])
			if d.left <= 0 || share < min(d.left, leastShare*average[s]) {
				continue
			}
			d.left -= share
			if d.left < leastShare/2*average[s] {
				share, d.left = share+d.left, 0
			}
			room[s] -= share
			p.shares[d.part] = append(p.shares[d.part], Share{Server: servers[s].Index, Weight: share})
			p.load[servers[s].Index] += share / average[s]
		}
	}
	// The other requests can go anywhere, so they are expected where there is room.
	left := 0.0
	for _, r := range room {
		left += max(0, r)
	}
	for i, s := range servers {
		p.load[s.Index] += rest * max(0, room[i]) / left / average[i]
	}
}

// fade lets the counted requests fade.
func (p *Plan) fade(at time.Duration) {
	if p.builtAt == 0 {
		return
	}
	kept := math.Exp(-float64(at-p.builtAt) / float64(popularityTime))
	p.total *= kept
	for part, count := range p.counts {
		if count *= kept; count < 0.5 {
			delete(p.counts, part)
		} else {
			p.counts[part] = count
		}
	}
}

// hot returns the hottest parts, sorted by id so that gateways plan them in the same order.
func (p *Plan) hot(servers []PlanServer) []demand {
	var hot []demand
	for part, count := range p.counts {
		if count >= minCount {
			hot = append(hot, demand{part: part, left: count})
		}
	}
	slices.SortFunc(hot, func(a, b demand) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.part, b.part))
	})
	hot = hot[:min(len(hot), maxPlanned)]
	slices.SortFunc(hot, func(a, b demand) int { return cmp.Compare(a.part, b.part) })
	orders := map[string][]int{}
	kept := slices.Equal(p.servers, servers)
	for i := range hot {
		part := hot[i].part
		if order, ok := p.orders[part]; ok && kept {
			orders[part] = order
		} else {
			orders[part] = rendezvousOrder(part, servers)
		}
		hot[i].order = orders[part]
	}
	p.servers, p.orders = servers, orders
	return hot
}

// rendezvousOrder returns the indexes of servers in the rendezvous order of a part.
func rendezvousOrder(part string, servers []PlanServer) []int {
	order, hashes := make([]int, len(servers)), make([]uint64, len(servers))
	for i, s := range servers {
		order[i], hashes[i] = i, Hash(part, s.ID)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[b], hashes[a]) })
	return order
}

// Hash decides the rendezvous order of backend servers for a prompt part.
func Hash(part, server string) uint64 {
	var buffer [128]byte
	return xxhash.Sum64(append(append(append(buffer[:0], part...), '|'), server...))
}
