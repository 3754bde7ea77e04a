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

// runAttempts runs n attempts one after the other, advances *at by their service
// times and returns the number of attempts that each server received. The seeds of
// the picks are firstSeed, firstSeed+1 and so on. service returns a server's service
// time and whether the attempt succeeds.
func runAttempts(p tanagerroad.Picker, firstSeed, n int, at *time.Duration, service func(id string) (time.Duration, bool)) map[string]int {
	counts := map[string]int{}
	for i := range n {
		c := p.Pick(*at, tanagerroad.PickRequest{Pool: "p", InputPlace: here, Seed: uint64(firstSeed + i)})
		counts[c.Server]++
		took, ok := service(c.Server)
		*at += took
		p.Done(*at, tanagerroad.AttemptResult{Server: c.Server, Pool: "p", ServiceTime: took, OK: ok})
	}
	return counts
}

// TestOnlyServersThatMayServeArePicked checks for every policy, with random states,
// models and exclusions, that a server is picked only if it is eligible, and that one
// is picked if any is.
func TestOnlyServersThatMayServeArePicked(t *testing.T) {
	for _, policy := range pick.Policies {
		t.Run(policy, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				p, err := pick.New(policy, noPrice)
				if err != nil {
					rt.Fatal(err)
				}
				list := servers(6)
				eligible := map[string]bool{}
				for i := range list {
					list[i].State = rapid.SampledFrom([]tanagerroad.ServerState{tanagerroad.Serving, tanagerroad.Leaving, tanagerroad.Down}).Draw(rt, "state")
					list[i].Models = rapid.SampledFrom([][]string{nil, {"m"}}).Draw(rt, "models")
					eligible[list[i].ID] = list[i].State == tanagerroad.Serving && list[i].HasModel("m")
				}
				p.Observe(0, list)
				excluded := rapid.SampledFrom([]string{"s00", "s03"}).Draw(rt, "excluded")
				eligible[excluded] = false
				for i := range 20 {
					c := p.Pick(time.Duration(i)*time.Second, tanagerroad.PickRequest{Pool: "p", Model: "m", InputPlace: here, Exclude: []string{excluded}, Seed: uint64(i)})
					if c.Server != "" && !eligible[c.Server] {
						rt.Fatalf("picked %s, which is not eligible", c.Server)
					}
					if c.Server == "" && (eligible["s00"] || eligible["s01"] || eligible["s02"] || eligible["s03"] || eligible["s04"] || eligible["s05"]) {
						rt.Fatal("picked no server although one is eligible")
					}
				}
			})
		})
	}
}

// TestStragglerIsEjectedAndReturnsGradually checks that a server much slower than its
// pool receives almost no attempts, and that after its ejection it receives attempts
// again, but is not flooded with them.
func TestStragglerIsEjectedAndReturnsGradually(t *testing.T) {
	p := pick.NewScored(noPrice)
	p.Observe(0, servers(5))
	at := time.Duration(0)
	slow := func(id string) (time.Duration, bool) {
		if id == "s02" {
			return 500 * time.Millisecond, true
		}
		return 20 * time.Millisecond, true
	}
	runAttempts(p, 0, 100, &at, slow)
	if got := runAttempts(p, 100, 100, &at, slow)["s02"]; got > 2 {
		t.Errorf("a server that takes 25 times as long as the others got %d of 100 attempts, want at most 2", got)
	}
	at += time.Minute
	fast := func(string) (time.Duration, bool) { return 20 * time.Millisecond, true }
	first := runAttempts(p, 200, 20, &at, fast)["s02"]
	if first > 8 {
		t.Errorf("after its ejection the server got %d of the first 20 attempts, want at most 8", first)
	}
	if got := runAttempts(p, 300, 400, &at, fast)["s02"]; got == 0 {
		t.Error("after its ejection the server got none of 400 attempts")
	}
}

// TestMajorityIsNeverEjected checks that most servers still receive attempts when all
// of them, or all but one, fail. The cause is then unlikely to be the servers, and
// ejecting them would overload the rest.
func TestMajorityIsNeverEjected(t *testing.T) {
	for _, good := range []string{"none", "s00"} {
		p := pick.NewScored(noPrice)
		p.Observe(0, servers(6))
		at := time.Duration(0)
		service := func(id string) (time.Duration, bool) { return 10 * time.Millisecond, id == good }
		got := runAttempts(p, 0, 300, &at, service)
		recent := runAttempts(p, 300, 60, &at, service)
		if len(recent) < 4 {
			t.Errorf("succeeding server: %s; only %d of 6 servers receive attempts, want at least 4; first 300 attempts: %v", good, len(recent), got)
		}
	}
}

// TestPriceKeepsAttemptsInRegion checks that attempts go to both regions if the other
// region costs nothing, and stay in the caller's region if it costs a second.
func TestPriceKeepsAttemptsInRegion(t *testing.T) {
	list := servers(4)
	list[2].Place, list[3].Place = tanagerroad.Place{Zone: "b", Region: "north"}, tanagerroad.Place{Zone: "b", Region: "north"}
	for _, c := range []struct {
		region time.Duration
		remote bool
	}{{0, true}, {time.Second, false}} {
		p := pick.NewScored(func(string) pick.Price { return pick.Price{Region: c.region} })
		p.Observe(0, list)
		at := time.Duration(0)
		got := runAttempts(p, 0, 100, &at, func(string) (time.Duration, bool) { return 20 * time.Millisecond, true })
		if remote := got["s02"]+got["s03"] > 0; remote != c.remote {
			t.Errorf("region price %s: attempts in the other region: %v, want %v", c.region, remote, c.remote)
		}
	}
}

// TestCachedPrefixAttractsRequests checks that a request goes to the server that
// served the same prefix before.
func TestCachedPrefixAttractsRequests(t *testing.T) {
	p := pick.NewScored(noPrice)
	p.Observe(0, servers(4))
	at := time.Duration(0)
	runAttempts(p, 0, 40, &at, func(string) (time.Duration, bool) { return 50 * time.Millisecond, true })
	req := tanagerroad.PickRequest{Pool: "p", InputPlace: here, PrefixDigest: 42, Seed: 1}
	first := p.Pick(at, req)
	at += 50 * time.Millisecond
	p.Done(at, tanagerroad.AttemptResult{Server: first.Server, Pool: "p", PrefixDigest: 42, ServiceTime: 50 * time.Millisecond, OK: true})
	req.Seed = 2
	if again := p.Pick(at, req); again.Server != first.Server {
		t.Errorf("picked %[2]s, but %[1]s has the prefix cached", first.Server, again.Server)
	}
}

// TestObserveKeepsFresherLoad guards against a load that came with an answer and is
// overwritten by the directory's older one when any other server changes.
func TestObserveKeepsFresherLoad(t *testing.T) {
	p, err := pick.New("scored", func(string) pick.Price { return pick.Price{} })
	if err != nil {
		t.Fatal(err)
	}
	servers := []tanagerroad.Server{
		{ID: "a", Pool: "p", Capacity: 4, Generation: 1, Sequence: 1, State: tanagerroad.Serving, Load: tanagerroad.Load{Limit: 4}},
		{ID: "b", Pool: "p", Capacity: 4, Generation: 1, Sequence: 1, State: tanagerroad.Serving, Load: tanagerroad.Load{Limit: 4}},
	}
	p.Observe(0, servers)
	const warm = time.Minute
	full := tanagerroad.Load{InFlight: 4, Queued: 40, Limit: 4}
	p.Pick(warm, tanagerroad.PickRequest{Pool: "p", Exclude: []string{"b"}})
	p.Done(warm, tanagerroad.AttemptResult{Server: "a", Pool: "p", ServiceTime: 50 * time.Millisecond, OK: true, Load: &full})
	for seed := range uint64(20) {
		p.Observe(warm, servers) // as of before the answer
		choice := p.Pick(warm, tanagerroad.PickRequest{Pool: "p", Seed: seed})
		p.Done(warm, tanagerroad.AttemptResult{Server: choice.Server, Pool: "p", ServiceTime: 50 * time.Millisecond, OK: true})
		if choice.Server != "b" {
			t.Fatalf("seed %d: picked %s, whose queue is full, want b", seed, choice.Server)
		}
	}
}

// TestPausedServerIsPicked guards against attempts that wait for the end of a server's pause
// while another server is free, or for a later one than they need.
func TestPausedServerIsPicked(t *testing.T) {
	p, err := pick.New("scored", func(string) pick.Price { return pick.Price{} })
	if err != nil {
		t.Fatal(err)
	}
	var servers []tanagerroad.Server
	for i, pause := range []time.Duration{20 * time.Second, 5 * time.Second, 0} {
		servers = append(servers, tanagerroad.Server{
			ID: string(rune('a' + i)), Pool: "p", Capacity: 4, Generation: 1, Sequence: 1, State: tanagerroad.Serving, Load: tanagerroad.Load{Limit: 4, Pause: pause},
		})
	}
	p.Observe(0, servers)
	for seed := range uint64(8) {
		if got := p.Pick(time.Second, tanagerroad.PickRequest{Pool: "p", Seed: seed}); got.Server != "c" {
			t.Errorf("seed %d: picked %s, which is paused: %s", seed, got.Server, got.Reason)
		}
		if got := p.Pick(time.Second, tanagerroad.PickRequest{Pool: "p", Seed: seed, Exclude: []string{"c"}}); got.Server != "b" {
			t.Errorf("seed %d: picked %s, want b, whose pause ends first: %s", seed, got.Server, got.Reason)
		}
	}
}
