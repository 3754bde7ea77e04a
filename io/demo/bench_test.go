package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/io/demo"
	"tanagerroad/io/load"
	"tanagerroad/io/standin"
)

// benchCluster starts a cluster of one entry and, for each of three pools, a sidecar
// with a stand-in that answers without delay. It also returns the address of a
// stand-in outside the cluster, for direct calls.
func benchCluster(b *testing.B, controls int, change func(*demo.Config)) (*demo.Cluster, string) {
	b.Helper()
	place := tanagerroad.Place{Zone: "a", Region: "west"}
	addresses, err := demo.FreeAddresses(1)
	if err != nil {
		b.Fatal(err)
	}
	server, closeServer, err := standin.New(settings.StandInServer{
		Announce: "127.0.0.1:1", Address: addresses[0], Pool: "services", Kind: table.Service, Capacity: 64,
	})
	if err != nil {
		b.Fatal(err)
	}
	_ = server
	b.Cleanup(closeServer)
	config := demo.Config{
		Places: []tanagerroad.Place{place}, ControlCount: controls, DataDir: b.TempDir(), Logger: zap.NewNop(),
		Backends: []demo.Backend{
			{Place: place, StandInServer: settings.StandInServer{Pool: "services", Kind: table.Service, Capacity: 64}},
			{Place: place, StandInServer: settings.StandInServer{Pool: "bookings", Kind: table.Service, Capacity: 64}},
			{Place: place, StandInServer: settings.StandInServer{Pool: "models", Kind: table.ModelEngine, Capacity: 64, Tokens: 20000}},
		},
		Routes: []byte(`{"routes": [
			{"name": "look-up", "deadline": "10s", "stages": [{"name": "s", "pool": "services"}]},
			{"name": "book", "deadline": "10s", "repeatable": false, "stages": [{"name": "s", "pool": "bookings"}]},
			{"name": "ask", "deadline": "60s", "stages": [{"name": "s", "pool": "models", "stream": true}]}]}`),
		Pools: []byte(`{"pools": [{"name": "services", "kind": "service"}, {"name": "bookings", "kind": "service"}, {"name": "models", "kind": "model-engine"}]}`),
	}
	if change != nil {
		change(&config)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	b.Cleanup(cancel)
	c, closeCluster, err := demo.Start(ctx, config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(closeCluster)
	return c, addresses[0]
}

// reportQuantiles reports the median and the 99th percentile of times, which it sorts.
func reportQuantiles(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

// measureCalls calls f in the benchmark's loop and reports quantiles of the time that a
// call takes.
func measureCalls(b *testing.B, f func(i int) error) {
	b.ReportAllocs()
	times := make([]time.Duration, 0, b.N)
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		if err := f(i); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	reportQuantiles(b, times)
}

// BenchmarkHop compares a direct call to a stand-in with the same call through an
// entry and a sidecar. The difference is the latency that these two add.
func BenchmarkHop(b *testing.B) {
	c, direct := benchCluster(b, 1, nil)
	body := []byte("a short body")
	b.Run("direct", func(b *testing.B) {
		measureCalls(b, func(int) error {
			response, err := http.Post("http://"+direct+"/run", "", bytes.NewReader(body))
			if err != nil {
				return err
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		})
	})
	b.Run("proxied", func(b *testing.B) {
		measureCalls(b, func(int) error { return callEntry(c, "look-up", "", body) })
	})
}

// callEntry sends a request to the first entry and returns an error unless it is answered
// completely.
func callEntry(c *demo.Cluster, route, id string, body []byte) error {
	reply, err := load.Call(context.Background(), http.DefaultClient, c.EntryURLs[0], load.Request{
		Route: route, Workspace: "bench", ID: id, Body: body, Repeatable: route != "book",
	})
	if err == nil && !reply.Verified {
		err = fmt.Errorf("incomplete answer: %+v", reply)
	}
	return err
}

// BenchmarkClaim measures a booking, which is not repeatable and so needs a claim from
// the control instances, with one and with three of them. The difference to
// BenchmarkHop/proxied is the cost of taking and settling the claim.
func BenchmarkClaim(b *testing.B) {
	for _, controls := range []int{1, 3} {
		b.Run(fmt.Sprintf("controls-%d", controls), func(b *testing.B) {
			c, _ := benchCluster(b, controls, nil)
			measureCalls(b, func(i int) error { return callEntry(c, "book", fmt.Sprintf("b-%d-%d", b.N, i), []byte("x")) })
		})
		b.Run(fmt.Sprintf("controls-%d-parallel", controls), func(b *testing.B) {
			c, _ := benchCluster(b, controls, nil)
			b.SetParallelism(8)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := callEntry(c, "book", "", []byte("x")); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "bookings/s")
		})
	}
}

// BenchmarkTokens measures the throughput of a stream of tokens that the engine sends
// without delay. The CPU time covers the whole process: engine, sidecar, entry and
// caller.
func BenchmarkTokens(b *testing.B) {
	c, _ := benchCluster(b, 1, nil)
	const tokens = 20000
	before := cpuTime()
	for b.Loop() {
		if err := callEntry(c, "ask", "", []byte("x")); err != nil {
			b.Fatal(err)
		}
	}
	used := cpuTime() - before
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(b.N*tokens)/used.Seconds(), "tokens/cpu-s")
}

// cpuTime returns the user and system CPU time of this process, or 0 if it is not
// available.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
