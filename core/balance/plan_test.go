package balance_test

import (
	"fmt"
	"testing"

	"tanagerroad/core/balance"
)

// TestHotPartTakesNoMoreServersThanItNeeds guards against a hot prompt part that is cached by
// most servers of a pool because all take a little of it, beside requests that can go anywhere.
func TestHotPartTakesNoMoreServersThanItNeeds(t *testing.T) {
	const n, requests = 42, 2000
	var servers []balance.PlanServer
	for i := range n {
		servers = append(servers, balance.PlanServer{Index: i, ID: fmt.Sprint("e", i), Slots: 64})
	}
	for _, percent := range []int{3, 10, 30, 60} {
		var p balance.Plan
		for i := range requests {
			if i%100 < percent {
				p.Count("hot")
			} else {
				p.Count(fmt.Sprint("own", i))
			}
		}
		p.Make(1, n, servers)
		need := float64(percent) / 100 * n // mean loads of a server
		if got := len(p.Shares("hot")); float64(got) > need+1 || float64(got) < need/1.35 {
			t.Errorf("a part with %d %% of the requests, the load of %.1f servers, is planned for %d", percent, need, got)
		}
		sum := 0.0
		for i := range n {
			sum += p.Load(i) / n
			if p.Load(i) > 1.35 {
				t.Errorf("%d %%: a server is to get %.2f times the mean", percent, p.Load(i))
			}
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("%d %%: the mean of the planned loads is %.3f", percent, sum)
		}
	}
}
