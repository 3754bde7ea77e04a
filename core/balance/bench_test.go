package balance_test

import (
	"fmt"
	"testing"

	"tanagerroad/core/balance"
)

// BenchmarkReplays prints the table of docs/design/even-load.md, one seed a row. Columns:
// busiest/mean over the burst, its 95th percentile, mean load, mean and p99 of the time to
// the first token in ms, million shared tokens read again.
func BenchmarkReplays(b *testing.B) {
	for _, size := range [][2]int{{24, 42}, {24, 300}, {105, 42}, {105, 300}} {
		for _, r := range []replay{
			{Name: "burst", Output: 2.8, AgeMs: [2]int{200, 1500}},
			{Name: "burst, a gateway with a third", Output: 2.8, AgeMs: [2]int{200, 1500}, Third: true},
			{Name: "burst, light load", Output: 1, AgeMs: [2]int{200, 1500}},
		} {
			r.Gateways, r.Servers, r.Rate, r.Skew, r.Burst, r.Seed = size[0], size[1], 1.88, 0.5, 2.8, 1
			for _, policy := range []string{balance.LowestCost, balance.Even, seesAll} {
				fmt.Printf("| %d x %d | %s | %s | %v |\n", r.Gateways, r.Servers, r.Name, policy, r.run(policy))
			}
		}
	}
}
