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
	"tanagerroad/core/region"
)

// coldScene describes gateways in front of a pool some of whose servers become cold at coldAt.
type coldScene struct {
	What     string
	Gateways int
	Busy     int // gateways that have requests; 0: all
	Cold     int // servers that become cold; 0: one
	Warm     int // others, which are busy
	Rate     float64
	Used     float64 // least part of the rate that is used
	Event    string  // again: without a restart; zone: after an evacuation; empty: a new start
	Silent   bool    // the announcement does not say that the server is cold
	LearnMs  int     `json:"learn-ms"` // most that a gateway takes to learn of it; 0: 100
	QuietMs  int     `json:"quiet-ms"` // there are no requests for so long
	Groups   int     // a second before, the gateways split into groups that list only their own
	Joining  int     // gateways that start then, and list only themselves
	Lacking  int     // gateways that each list lacks
	Frozen   int     // gateways that are frozen
	FrozenMs int     `json:"frozen-ms"`
}

const (
	coldAt     = 6 * time.Second
	coldTime   = 3 * time.Second
	coldRate   = 16
	coldMost   = coldRate*3/2 + 5 // in any one second
	coldTick   = 5 * time.Millisecond
	coldFreeze = coldAt + 300*time.Millisecond
	// A request waits so long for a turn, as long as the strictest latency objective of a stream.
	coldPatience = 1200 * time.Millisecond
)

type coldSimulation struct {
	coldScene
	random   *rand.Rand
	now      time.Duration
	fleets   []*fleet.Fleet
	names    []string
	servers  []tanagerroad.Announcement
	events   map[time.Duration][]func()
	arrivals map[string][]time.Duration
}

func (s *coldSimulation) between(from, to int) time.Duration {
	return time.Duration(from+s.random.IntN(to-from+1)) * time.Millisecond
}

// after calls f later, for a gateway once it is not frozen any more; -1: for none.
func (s *coldSimulation) after(d time.Duration, gateway int, f func()) {
	at := (s.now + d).Truncate(coldTick) + coldTick
	if thaw := coldFreeze + time.Duration(s.FrozenMs)*time.Millisecond; gateway >= 0 && gateway < s.Frozen && at >= coldFreeze && at < thaw {
		at = thaw
	}
	s.events[at] = append(s.events[at], f)
}

// request sends a request of a gateway, which waits for a turn if it has to.
func (s *coldSimulation) request(i int, arrived time.Duration, promised bool) {
	g := s.fleets[i]
	choice, ok := g.Pick(s.now, fleet.Request{Pool: "p", From: tanagerroad.Place{Zone: "z2", Region: "north"}, TieBreak: s.random.Uint64(), Promised: promised})
	if !ok {
		if until := g.PoolPausedUntil(s.now, "p", region.Set{}); until > 0 && until < arrived+coldPatience {
			g.Promise("p", until, region.Set{})
			s.after(max(0, until-s.now-coldTick), i, func() { s.request(i, arrived, true) })
		}
		return
	}
	s.after(s.between(0, 40), i, func() {
		if g.Allow(s.now, choice) {
			delivery := s.between(1, 20)
			s.after(delivery, -1, func() { s.arrivals[choice.ID] = append(s.arrivals[choice.ID], s.now) })
		}
		s.after(300*time.Millisecond, i, func() { g.RecordEnd(s.now, choice.ID, fleet.Outcome{}) })
	})
}

// housekeep does what a gateway does regularly, with reports of the load of warm servers.
func (s *coldSimulation) housekeep(i int) {
	s.fleets[i].ExpireCold(s.now)
	for _, a := range s.servers {
		if a.Zone != "z1" {
			s.fleets[i].RecordAnswer(s.now, a.ID, fleet.Outcome{Latency: 600 * time.Millisecond, Running: 64, Queued: 10, Slots: 64})
		}
	}
}

func (s *coldSimulation) start(i int, listed []string) {
	g := fleet.New(regions)
	g.SetPools([]tanagerroad.CatalogPool{{Name: "p", ColdTime: coldTime, ColdPerSecond: coldRate}})
	g.SetGateways(s.names[i], listed)
	g.Update(s.servers)
	g.UpdateCold(s.now, s.now.Milliseconds())
	s.fleets = append(s.fleets, g)
}

// coldIDs returns the ids of the servers that become cold.
func (s *coldSimulation) coldIDs() (ids []string) {
	for i := range max(s.Cold, 1) {
		ids = append(ids, fmt.Sprint("c", i))
	}
	return ids
}

// becomeCold makes servers cold, and lets the gateways learn of it.
func (s *coldSimulation) becomeCold() {
	for i, a := range s.servers {
		if a.Zone == "z1" {
			s.servers[i].Sequence++
			if s.Event != "zone" && !s.Silent {
				s.servers[i].WarmUp = coldTime
			}
		}
	}
	if s.Event == "" {
		for _, id := range s.coldIDs() {
			a := tanagerroad.Announcement{ID: id, Pool: "p", Address: id, Zone: "z1", Slots: 64, StartMillis: s.now.Milliseconds(), Sequence: 1, WarmUp: coldTime}
			if s.Silent {
				a.WarmUp = 0
			}
			s.servers = append(s.servers, a)
		}
	}
	for i := len(s.fleets); i < len(s.names); i++ {
		s.start(i, s.names[i:i+1])
	}
	for i, g := range s.fleets {
		learn := s.between(0, max(s.LearnMs, 100))
		if i < s.Frozen && s.Event == "again" {
			learn = coldFreeze - s.now + time.Duration(s.FrozenMs)*time.Millisecond + 50*time.Millisecond
		}
		s.after(learn, i, func() {
			if s.Event == "zone" {
				g.MarkCold(s.now, "z1")
			}
			g.Update(s.servers)
			g.UpdateCold(s.now, s.now.Milliseconds())
		})
	}
}

func (s *coldSimulation) run() {
	for i := range s.Gateways + s.Joining {
		s.names = append(s.names, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	for i := range s.Warm {
		s.servers = append(s.servers, tanagerroad.Announcement{ID: fmt.Sprint("w", i), Pool: "p", Address: fmt.Sprint("w:", i), Zone: "z2", Slots: 64, Sequence: 1})
	}
	if s.Event != "" {
		for _, id := range s.coldIDs() {
			s.servers = append(s.servers, tanagerroad.Announcement{ID: id, Pool: "p", Address: id, Zone: "z1", Slots: 64, Sequence: 1})
		}
	}
	for i := range s.Gateways {
		listed := slices.Clone(s.names[:s.Gateways])
		for n := range s.Lacking {
			lacks := s.names[(i+1+n*7)%s.Gateways]
			listed = slices.DeleteFunc(listed, func(name string) bool { return name == lacks })
		}
		s.start(i, listed)
	}
	for ; s.now < coldAt+coldTime+time.Second; s.now += coldTick {
		if s.now == coldAt-time.Second && s.Groups > 0 {
			size := s.Gateways / s.Groups
			for i, g := range s.fleets {
				g.SetGateways(s.names[i], s.names[i/size*size:i/size*size+size])
			}
		}
		if s.now == coldAt-2*time.Second && s.Event == "zone" {
			for _, g := range s.fleets { // the evacuation begins
				g.Update(slices.DeleteFunc(slices.Clone(s.servers), func(a tanagerroad.Announcement) bool { return a.Zone == "z1" }))
			}
		}
		if s.now == coldAt {
			s.becomeCold()
		}
		for n := s.Rate * coldTick.Seconds(); n > 0 && (s.now < coldAt || s.now >= coldAt+time.Duration(s.QuietMs)*time.Millisecond); n-- {
			if s.random.Float64() < n {
				i := s.random.IntN(len(s.fleets))
				if s.Busy > 0 {
					i = s.random.IntN(s.Busy)
				}
				arrived := s.now
				s.after(0, i, func() { s.request(i, arrived, false) })
			}
		}
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
		for i := range s.fleets {
			if s.now%(500*time.Millisecond) == 0 {
				s.after(s.between(1, 100), i, func() { s.housekeep(i) })
			}
		}
	}
}

// TestColdServerIsNotOverrun guards against a cold server that gets the requests of all
// gateways at once, since it is empty, and against one that gets hardly any.
func TestColdServerIsNotOverrun(t *testing.T) {
	data, err := os.ReadFile("testdata/cold.json")
	if err != nil {
		t.Fatal(err)
	}
	var scenes []coldScene
	if err := json.Unmarshal(data, &scenes); err != nil {
		t.Fatal(err)
	}
	for _, scene := range scenes {
		t.Run(scene.What, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := &coldSimulation{coldScene: scene, random: rand.New(rand.NewPCG(seed, 5)), events: map[time.Duration][]func(){}, arrivals: map[string][]time.Duration{}}
				s.run()
				known := coldAt
				if scene.Event != "" {
					known += time.Duration(max(scene.LearnMs, 100))*time.Millisecond + 50*time.Millisecond
				}
				for _, id := range s.coldIDs() {
					from, _ := slices.BinarySearch(s.arrivals[id], known)
					to, _ := slices.BinarySearch(s.arrivals[id], coldAt+coldTime)
					arrivals := s.arrivals[id][from:to]
					most := 0
					for i, first := range arrivals {
						n, _ := slices.BinarySearch(arrivals[i:], first+time.Second)
						most = max(most, n)
					}
					used := float64(len(arrivals)) / (coldAt + coldTime - known).Seconds() / coldRate
					t.Logf("seed %d: %s got at most %d in a second, and used %.2f of its rate", seed, id, most, used)
					if most > coldMost {
						t.Errorf("seed %d: cold server %s got %d requests in a second, allowed %d", seed, id, most, coldMost)
					}
					if used < scene.Used {
						t.Errorf("seed %d: cold server %s used %.2f of its rate although all gateways have requests, want %g", seed, id, used, scene.Used)
					}
				}
			}
		})
	}
}

// coldFleet returns a lone gateway, which started long ago, and a pool of one server of zone
// z1 that starts at 10 s and says for how long it is cold.
func coldFleet(warmUp time.Duration) (*fleet.Fleet, []tanagerroad.Announcement) {
	f := fleet.New(regions)
	f.SetPools([]tanagerroad.CatalogPool{{Name: "p", ColdTime: coldTime, ColdPerSecond: 10}})
	f.SetGateways("g", []string{"g"})
	f.ExpireCold(0)
	servers := []tanagerroad.Announcement{{ID: "c", Pool: "p", Address: "c", Zone: "z1", Slots: 8, StartMillis: 10_000, Sequence: 1, WarmUp: warmUp}}
	f.Update(servers)
	f.UpdateCold(10*time.Second, 10_000)
	return f, servers
}

// coldStep is one step of a script at a gateway with one server.
type coldStep struct {
	At       float64
	Announce []int    // sequence number, and for how many ms it is cold
	Gone     bool     // it is not usable
	Returns  string   // zone whose evacuation ends
	Gateways []string // that are listed
	KeepTo   float64  `json:"keep-to"` // housekeeping runs until then
	Cold     *bool    // a second request at once finds no turn
	Turn     *bool    // a request finds a turn
	Promised bool     // it waited for it
	WaitMs   *int     `json:"wait-ms"` // that a request waits for its turn, which is kept for it
	Sent     []int    // least and most requests in 10 s
}

func (s coldStep) run(t *testing.T, what string, f *fleet.Fleet, servers []tanagerroad.Announcement) {
	t.Helper()
	seconds := func(n float64) time.Duration { return time.Duration(n*1000) * time.Millisecond }
	at := seconds(s.At)
	pick := func(at time.Duration, promised bool) bool {
		_, ok := f.Pick(at, fleet.Request{Pool: "p", Promised: promised})
		return ok
	}
	switch {
	case s.Announce != nil:
		servers[0].Sequence, servers[0].WarmUp = uint64(s.Announce[0]), time.Duration(s.Announce[1])*time.Millisecond
		f.Update(servers)
		f.UpdateCold(at, at.Milliseconds())
	case s.Gone:
		f.Update(nil)
	case s.Returns != "":
		f.MarkCold(at, s.Returns)
	case s.Gateways != nil:
		f.SetGateways("g", s.Gateways)
	case s.KeepTo > 0:
		for ; at < seconds(s.KeepTo); at += 500 * time.Millisecond {
			f.ExpireCold(at)
		}
	case s.Cold != nil:
		pick(at, false)
		if got := !pick(at, false); got != *s.Cold || len(f.ColdRates(at, "p")) > 0 != *s.Cold {
			t.Errorf("%s: at %v: cold is %t, want %t", what, at, got, *s.Cold)
		}
	case s.Turn != nil:
		if got := pick(at, s.Promised); got != *s.Turn {
			t.Errorf("%s: at %v: a turn is %t, want %t", what, at, got, *s.Turn)
		}
	case s.WaitMs != nil:
		until := f.PoolPausedUntil(at, "p", region.Set{})
		if got := max(0, until-at).Round(10 * time.Millisecond); got != time.Duration(*s.WaitMs)*time.Millisecond {
			t.Errorf("%s: at %v: a request waits %v, want %d ms", what, at, got, *s.WaitMs)
		}
		if until > at {
			f.Promise("p", until, region.Set{})
		}
	case s.Sent != nil:
		n := 0
		for now := at; now < at+10*time.Second; now += 20 * time.Millisecond {
			if now%(500*time.Millisecond) == 0 {
				f.ExpireCold(now)
			}
			if pick(now, false) {
				n++
			}
		}
		if n < s.Sent[0] || n > s.Sent[1] {
			t.Errorf("%s: %d requests in 10 s after %v, want %v", what, n, at, s.Sent)
		}
	}
}

// TestColdScripts guards against a server that is taken for cold or warm too long, turns that
// those who wait don't get, and shares of lost gateways that are used twice or never.
func TestColdScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/cold-scripts.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		What   string
		ColdMs int `json:"cold-ms"`
		Steps  []coldStep
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		f, servers := coldFleet(time.Duration(script.ColdMs) * time.Millisecond)
		for _, step := range script.Steps {
			step.run(t, script.What, f, servers)
		}
	}
}

// TestChosenBeforeItWasCold guards against requests that were chosen for a server before it
// became cold, and are all sent afterwards.
func TestChosenBeforeItWasCold(t *testing.T) {
	f, servers := coldFleet(0)
	at, sent := 12*time.Second, 0
	var choices []fleet.Choice
	for range 20 {
		choice, _ := f.Pick(at, fleet.Request{Pool: "p"})
		choices = append(choices, choice)
	}
	servers[0].Sequence, servers[0].WarmUp = 2, coldTime
	f.Update(servers)
	if became := f.UpdateCold(at, at.Milliseconds()); len(became) != 1 || became[0].Until != at+coldTime {
		t.Errorf("%v became cold, want one for %v", became, coldTime)
	}
	for _, choice := range choices {
		at += 10 * time.Millisecond
		if f.Allow(at, choice) {
			sent++
		}
	}
	if sent > 3 {
		t.Errorf("%d of 20 requests were sent within 0.2 s at 10 a second", sent)
	}
	if batched := choices[0]; !f.Allow(at, fleet.Choice{Announcement: batched.Announcement, Batched: true}) || !f.AddressCold(at, "c") {
		t.Error("a call that package batch paced was stopped")
	}
}
