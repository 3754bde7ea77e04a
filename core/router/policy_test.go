package router_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/pick"
	"tanagerroad/core/table"
)

// mustTables parses the tables of an example.
func mustTables(t testing.TB, example string) *table.Tables {
	t.Helper()
	readFile := func(name string) []byte {
		data, err := os.ReadFile("../../examples/" + example + "/" + name)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	tables, findings := table.Parse("routes.json", readFile("routes.json"), "pools.json", readFile("pools.json"))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return tables
}

// places returns two availability zones for each region.
func places(regions ...string) []tanagerroad.Place {
	var out []tanagerroad.Place
	for _, r := range regions {
		out = append(out, tanagerroad.Place{Zone: r + "-a", Region: r}, tanagerroad.Place{Zone: r + "-b", Region: r})
	}
	return out
}

// deployments returns the deployments of both operators, at their current sizes.
func deployments(t testing.TB) []simDeployment {
	ms := time.Millisecond
	services := func(names ...string) []simPool {
		var out []simPool
		for _, n := range names {
			out = append(out, simPool{n, 5, 8, 20 * ms, false})
		}
		return append(out, simPool{"bookings", 3, 8, 20 * ms, false})
	}
	shares := func(names ...string) map[string]float64 {
		out := map[string]float64{}
		for i, n := range names {
			out[n] = []float64{0.4, 0.3, 0.15, 0.1, 0.05}[i]
		}
		return out
	}
	return []simDeployment{
		{
			name: "fjellknus", places: places("bergen", "bodo", "trondheim"), latency: [3]time.Duration{ms / 2, ms, 5 * ms},
			pools:      append([]simPool{{"language-models", 20, 8, 500 * ms, true}}, services("depot-logistics", "wear-parts", "cab-confirmation")...),
			tables:     mustTables(t, "fjellknus"),
			rate:       map[string]float64{"hire-quote": 55, "service-history": 20, "delivery-window": 20, "book-hire": 5, "confirm-pickup": 5},
			workspaces: shares("site-managers", "drivers", "depots", "workshop", "office"),
		},
		{
			name: "prairie-keep", places: places("saskatchewan", "alberta", "manitoba"), latency: [3]time.Duration{ms / 4, ms / 2, 5 * ms},
			pools:      append([]simPool{{"guide-models", 10, 8, 500 * ms, true}}, services("volunteer-rostering", "donor-desk", "gate-scanning")...),
			tables:     mustTables(t, "prairie-keep"),
			rate:       map[string]float64{"itinerary": 27, "roster": 10, "donor": 10, "book-entry": 5, "scan": 10},
			workspaces: shares("school-groups", "bus-tours", "families", "volunteers", "donors"),
		},
	}
}

// row holds the results of one policy in one scenario, with a value for each seed:
// attainment (requests that met their deadline) and refused in percent of the
// requests sent, p99 in seconds, bytes between regions in MB.
type row struct {
	attainment, p99, cost, bytes, refused []float64
}

func (r *row) add(o simOutcome) {
	slices.Sort(o.latencies)
	r.attainment = append(r.attainment, 100*float64(o.onTime)/float64(o.sent))
	r.p99 = append(r.p99, o.latencies[len(o.latencies)*99/100].Seconds())
	r.cost = append(r.cost, o.cost)
	r.bytes = append(r.bytes, float64(o.regionBytes)/1e6)
	r.refused = append(r.refused, 100*float64(o.refused)/float64(o.sent))
}

// spread formats the median, minimum and maximum.
func spread(list []float64) string {
	sorted := slices.Sorted(slices.Values(list))
	return fmt.Sprintf("%.2f (%.2f-%.2f)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}

func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

// compare runs one scenario with every policy and the seeds 1 to seeds, four runs
// at a time.
func compare(d simDeployment, s simScenario, seeds int) map[string]*row {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rows := map[string]*row{}
	slots := make(chan struct{}, 4)
	for _, policy := range append(slices.Clone(pick.Policies), oracle) {
		rows[policy] = &row{}
		for seed := range seeds {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				o := newSimulation(d, s, policy, uint64(seed)+1).run()
				mu.Lock()
				defer mu.Unlock()
				rows[policy].add(o)
			})
		}
	}
	wg.Wait()
	return rows
}

// BenchmarkPolicies prints the table in docs/DESIGN.md that compares the policies:
// median, minimum and maximum over 10 seeds.
func BenchmarkPolicies(b *testing.B) {
	for _, d := range deployments(b) {
		for _, s := range scenarios {
			rows := compare(d, s, 10)
			var lines strings.Builder
			for _, policy := range append(slices.Clone(pick.Policies), oracle) {
				r := rows[policy]
				fmt.Fprintf(&lines, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", d.name, s.name, policy,
					spread(r.attainment), spread(r.p99), spread(r.cost), spread(r.bytes), spread(r.refused))
			}
			fmt.Print(lines.String())
		}
	}
}

// TestScoredLeadsTheBaselines compares the scored policy with the baselines and the
// oracle in every scenario, over four seeds. Its median attainment must be higher
// than a baseline's; or at least the baseline's minimum, with a lower median of
// bytes between regions. It must also be at most two percentage points below the
// oracle's.
func TestScoredLeadsTheBaselines(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates two hundred runs")
	}
	const seeds, maxOracleLead = 4, 2.0 // maxOracleLead in percentage points
	for _, d := range deployments(t) {
		for _, s := range scenarios {
			t.Run(d.name+"/"+s.name, func(t *testing.T) {
				rows := compare(d, s, seeds)
				scored := rows["scored"]
				for _, policy := range pick.Policies[1:] {
					baseline := rows[policy]
					better := median(scored.attainment) > median(baseline.attainment)
					cheaper := median(scored.attainment) >= slices.Min(baseline.attainment) && median(scored.bytes) < median(baseline.bytes)
					if !better && !cheaper {
						t.Errorf("scored: attainment %s, %s MB between regions; %s: attainment %s, %s MB", spread(scored.attainment), spread(scored.bytes), policy, spread(baseline.attainment), spread(baseline.bytes))
					}
				}
				if oracleMedian := median(rows[oracle].attainment); median(scored.attainment) < oracleMedian-maxOracleLead {
					t.Errorf("scored: attainment %s; with the true queues: %.2f", spread(scored.attainment), oracleMedian)
				}
			})
		}
	}
}
