package fleet_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/fleet"
)

// limitedPool describes gateways in front of a pool of which some backend servers name a
// limit from limitNamed to limitLifted.
type limitedPool struct {
	What      string
	Gateways  int
	Busy      int // gateways that have requests; 0: all
	Servers   int
	Limited   int // servers that name a limit
	Limit     float64
	Rate      float64 // requests a second
	LatencyMs int     `json:"latency-ms"` // most that an answer takes; 0: 400
	ChurnMs   int     `json:"churn-ms"`   // every so often one gateway leaves the list for half as long; 0: none
	ContactMs int     `json:"contact-ms"`
}

const (
	limitTick   = 5 * time.Millisecond
	limitNamed  = 3 * time.Second
	limitLifted = 23 * time.Second
	limitEnd    = 35 * time.Second
	limitWindow = 4 * time.Second // of the users' rule
)

// limitSimulation plays a limited pool in virtual time.
type limitSimulation struct {
	limitedPool
	random   *rand.Rand
	now      time.Duration
	gateways []*fleet.Fleet
	names    []string
	shared   fleet.Limits // what a control instance knows
	events   map[time.Duration][]func()
	arrivals map[string][]time.Duration // by server
	unserved int
}

func (s *limitSimulation) after(d time.Duration, f func()) {
	at := (s.now + d).Truncate(limitTick) + limitTick
	s.events[at] = append(s.events[at], f)
}

// share sends what a gateway heard to the control instance, which sends it on to all.
func (s *limitSimulation) share(gateway int) {
	own := s.gateways[gateway].OwnLimits()
	s.after(10*time.Millisecond, func() {
		changed := false
		for _, l := range own {
			changed = s.shared.Record(l) || changed
		}
		if changed {
			s.after(100*time.Millisecond, s.publish)
		}
	})
}

func (s *limitSimulation) publish() {
	all := s.shared.All()
	for _, g := range s.gateways {
		s.after(10*time.Millisecond, func() {
			for _, l := range all {
				l.Own = false
				g.RecordLimit(l)
			}
		})
	}
}

// request sends a request of a gateway, unless all servers are at their limits.
func (s *limitSimulation) request() {
	gateway := s.random.IntN(s.Gateways)
	if s.Busy > 0 {
		gateway = s.random.IntN(s.Busy)
	}
	g := s.gateways[gateway]
	own := s.random.Uint64()
	choice, ok := g.Pick(s.now, fleet.Request{
		Pool: "p", From: tanagerroad.Place{Zone: "z1", Region: "north"}, TieBreak: own,
		PromptParts: []tanagerroad.PromptPart{{ID: "a", Tokens: 100}, {ID: fmt.Sprint("b", own%40), Tokens: 200}, {ID: fmt.Sprint(own), Tokens: 300}},
	})
	if !ok {
		s.unserved++
		return
	}
	s.after(time.Duration(s.random.IntN(10))*time.Millisecond, func() {
		if !g.Allow(s.now, choice) {
			s.unserved++
			g.RecordEnd(s.now, choice.ID, fleet.Outcome{})
			return
		}
		s.arrivals[choice.ID] = append(s.arrivals[choice.ID], s.now)
		latency := s.LatencyMs
		if latency == 0 {
			latency = 400
		}
		s.after(time.Duration(50+s.random.IntN(latency))*time.Millisecond, func() {
			said := fleet.ServerLimit{ID: choice.ID, HeardAt: s.now, Own: true}
			if s.isLimited(choice.ID) && s.now >= limitNamed && s.now < limitLifted {
				said.PerSecond = s.Limit
			}
			if g.RecordLimit(said) {
				s.share(gateway)
			}
			g.RecordEnd(s.now, choice.ID, fleet.Outcome{})
		})
	})
}

func (s *limitSimulation) isLimited(id string) bool {
	return slices.Contains(limitedIDs(s.Limited), id)
}

func limitedIDs(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("s", i))
	}
	return out
}

func (s *limitSimulation) setGateways(all []string) {
	for i, g := range s.gateways {
		s.after(time.Duration(s.random.IntN(300))*time.Millisecond, func() { g.SetGateways(s.names[i], all) })
	}
}

func (s *limitSimulation) tick() {
	for _, f := range s.events[s.now] {
		f()
	}
	delete(s.events, s.now)
	for n := s.Rate * limitTick.Seconds(); n > 0; n-- {
		if s.random.Float64() < n {
			s.request()
		}
	}
	if s.now%time.Second == 0 {
		for i, g := range s.gateways {
			s.after(time.Duration(s.random.IntN(1000))*time.Millisecond, func() { s.share(i) })
			g.ExpireLimits(s.now)
		}
		s.publish()
	}
	if churn := time.Duration(s.ChurnMs) * time.Millisecond; churn > 0 && s.now%churn == 0 {
		left := s.random.IntN(len(s.names))
		s.setGateways(slices.Delete(slices.Clone(s.names), left, left+1))
		s.after(churn/2, func() { s.setGateways(s.names) })
	}
}

// mostIn returns the most arrivals in a span of limitWindow between two times.
func mostIn(arrivals []time.Duration, from, to time.Duration) int {
	most := 0
	for i, at := range arrivals {
		if at < from || at+limitWindow > to {
			continue
		}
		n := 0
		for _, other := range arrivals[i:] {
			if other < at+limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestLimitsAreShared guards against a backend server that gets more than the limit that it
// named since each of several gateways keeps to it by itself, or hardly anything since the
// gateways that may use it have no requests; and against a limit that lasts.
func TestLimitsAreShared(t *testing.T) {
	data, err := os.ReadFile("testdata/limits.json")
	if err != nil {
		t.Fatal(err)
	}
	var pools []limitedPool
	if err := json.Unmarshal(data, &pools); err != nil {
		t.Fatal(err)
	}
	for _, p := range pools {
		for seed := range uint64(5) {
			s := &limitSimulation{
				limitedPool: p, random: rand.New(rand.NewPCG(seed, 2)), shared: fleet.Limits{},
				events: map[time.Duration][]func(){}, arrivals: map[string][]time.Duration{},
			}
			var servers []tanagerroad.Announcement
			for i := range p.Servers {
				servers = append(servers, tanagerroad.Announcement{ID: fmt.Sprint("s", i), Pool: "p", Address: fmt.Sprint("s:", i), Zone: "z1", Slots: 32})
			}
			for i := range p.Gateways {
				s.names = append(s.names, fmt.Sprintf("10.0.0.%d:7000", i))
				g := fleet.New(regions)
				g.Update(servers)
				s.gateways = append(s.gateways, g)
			}
			for i, g := range s.gateways {
				g.SetGateways(s.names[i], s.names)
			}
			for ; s.now < limitEnd; s.now += limitTick {
				s.tick()
			}
			contact := time.Duration(p.ContactMs) * time.Millisecond
			allowed := int(1.5*p.Limit*limitWindow.Seconds()) + 5
			for _, id := range limitedIDs(p.Limited) {
				arrivals := s.arrivals[id]
				first, _ := slices.BinarySearch(arrivals, limitNamed)
				if first == len(arrivals) {
					if first > 0 {
						t.Errorf("%s, seed %d: %s got no request after it needed a limit", p.What, seed, id)
					}
					continue
				}
				from := arrivals[first] + contact
				if n := mostIn(arrivals, from, limitLifted); n > allowed {
					t.Errorf("%s, seed %d: %s got %d requests in 4 s, allowed %d", p.What, seed, id, n, allowed)
				}
				sum := 0
				for _, at := range arrivals {
					if at >= from && at < limitLifted {
						sum++
					}
				}
				if testing.Verbose() {
					t.Logf("%s, seed %d: %s got %.2f a second of %g, at most %d in 4 s, allowed %d", p.What, seed, id, float64(sum)/(limitLifted-from).Seconds(), p.Limit, mostIn(arrivals, from, limitLifted), allowed)
				}
				if p.Limited == p.Servers && float64(sum) < p.Limit*(limitLifted-from).Seconds()/2 {
					t.Errorf("%s, seed %d: %s got %d requests in %v although more wait, want half of its limit or more", p.What, seed, id, sum, limitLifted-from)
				}
			}
			for i, g := range s.gateways {
				if limits := g.Limited("p"); len(limits) > 0 {
					t.Errorf("%s, seed %d: gateway %d still keeps to %v long after their end", p.What, seed, i, limits)
				}
			}
		}
	}
}
