package pick_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/pick"
)

func servers(n int) []tanagerroad.Server {
	var out []tanagerroad.Server
	for i := range n {
		out = append(out, tanagerroad.Server{
			ID: fmt.Sprintf("s%02d", i), Address: fmt.Sprintf("s%02d", i), Pool: "p", State: tanagerroad.Serving, Capacity: 4,
			Generation: 1, Sequence: 1, Place: tanagerroad.Place{Zone: "a", Region: "west"},
		})
	}
	return out
}

func noPrice(string) pick.Price { return pick.Price{} }

var here = tanagerroad.Place{Zone: "a", Region: "west"}

// play sends n attempts one after the other and returns how many each server
// got; service says how long a server takes.
func play(p tanagerroad.Picker, from, n int, at *time.Duration, service func(id string) (time.Duration, bool)) map[string]int {
	got := map[string]int{}
	for i := range n {
		c := p.Pick(*at, tanagerroad.Ask{Pool: "p", From: here, Seed: uint64(from + i)})
		got[c.Server]++
		took, ok := service(c.Server)
		*at += took
		p.Done(*at, tanagerroad.Result{Server: c.Server, Pool: "p", Service: took, OK: ok})
	}
	return got
}

// TestOnlyServersThatMayServeArePicked holds for every policy, whatever the
// directory says.
func TestOnlyServersThatMayServeArePicked(t *testing.T) {
	for _, policy := range pick.Policies {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				p, err := pick.New(policy, noPrice)
				if err != nil {
					rt.Fatal(err)
				}
				list := servers(6)
				can := map[string]bool{}
				for i := range list {
					list[i].State = rapid.SampledFrom([]tanagerroad.ServerState{tanagerroad.Serving, tanagerroad.Leaving, tanagerroad.Down}).Draw(rt, "state")
					list[i].Models = rapid.SampledFrom([][]string{nil, {"m"}}).Draw(rt, "models")
					can[list[i].ID] = list[i].State == tanagerroad.Serving && list[i].HasModel("m")
				}
				p.Observe(0, list)
				excluded := rapid.SampledFrom([]string{"s00", "s03"}).Draw(rt, "excluded")
				can[excluded] = false
				for i := range 20 {
					c := p.Pick(time.Duration(i)*time.Second, tanagerroad.Ask{Pool: "p", Model: "m", From: here, Exclude: []string{excluded}, Seed: uint64(i)})
					if c.Server != "" && !can[c.Server] {
						rt.Fatalf("%s was picked", c.Server)
					}
					if c.Server == "" && (can["s00"] || can["s01"] || can["s02"] || can["s03"] || can["s04"] || can["s05"]) {
						rt.Fatal("none was picked although one may serve")
					}
				}
			})
		})
	}
}

func TestStragglerIsSetAsideAndEasedInAgain(t *testing.T) {
	p := pick.NewScored(noPrice)
	p.Observe(0, servers(5))
	at := time.Duration(0)
	slow := func(id string) (time.Duration, bool) {
		if id == "s02" {
			return 500 * time.Millisecond, true
		}
		return 20 * time.Millisecond, true
	}
	play(p, 0, 100, &at, slow)
	if got := play(p, 100, 100, &at, slow)["s02"]; got > 2 {
		t.Errorf("a straggler at 25 times the usual got %d of 100 attempts", got)
	}
	at += time.Minute
	fast := func(string) (time.Duration, bool) { return 20 * time.Millisecond, true }
	first := play(p, 200, 20, &at, fast)["s02"]
	if first > 8 {
		t.Errorf("the returned server got %d of the first 20 attempts: it is flooded", first)
	}
	if got := play(p, 300, 400, &at, fast)["s02"]; got == 0 {
		t.Error("the returned server got nothing")
	}
}

// TestTheMajorityIsNeverSetAside: when all fail, or all but one, it is hardly the
// servers.
func TestTheMajorityIsNeverSetAside(t *testing.T) {
	for _, good := range []string{"none", "s00"} {
		p := pick.NewScored(noPrice)
		p.Observe(0, servers(6))
		at := time.Duration(0)
		service := func(id string) (time.Duration, bool) { return 10 * time.Millisecond, id == good }
		got := play(p, 0, 300, &at, service)
		recent := play(p, 300, 60, &at, service)
		if len(recent) < 4 {
			t.Errorf("%s succeeds: only %d of 6 servers are still tried; before: %v", good, len(recent), got)
		}
	}
}

func TestPriceKeepsWorkNear(t *testing.T) {
	list := servers(4)
	list[2].Place, list[3].Place = tanagerroad.Place{Zone: "b", Region: "north"}, tanagerroad.Place{Zone: "b", Region: "north"}
	for _, c := range []struct {
		region time.Duration
		far    bool
	}{{0, true}, {time.Second, false}} {
		p := pick.NewScored(func(string) pick.Price { return pick.Price{Region: c.region} })
		p.Observe(0, list)
		at := time.Duration(0)
		got := play(p, 0, 100, &at, func(string) (time.Duration, bool) { return 20 * time.Millisecond, true })
		if far := got["s02"]+got["s03"] > 0; far != c.far {
			t.Errorf("at a price of %s work went to the other region: %v, want %v", c.region, far, c.far)
		}
	}
}

func TestWarmPrefixDraws(t *testing.T) {
	p := pick.NewScored(noPrice)
	p.Observe(0, servers(4))
	at := time.Duration(0)
	play(p, 0, 40, &at, func(string) (time.Duration, bool) { return 50 * time.Millisecond, true })
	ask := tanagerroad.Ask{Pool: "p", From: here, Prefix: 42, Seed: 1}
	first := p.Pick(at, ask)
	at += 50 * time.Millisecond
	p.Done(at, tanagerroad.Result{Server: first.Server, Pool: "p", Prefix: 42, Service: 50 * time.Millisecond, OK: true})
	ask.Seed = 2
	if again := p.Pick(at, ask); again.Server != first.Server {
		t.Errorf("the prefix is warm at %s, and %s was picked", first.Server, again.Server)
	}
}
