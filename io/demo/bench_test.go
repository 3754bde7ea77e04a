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

// benchCluster is one entry, and a sidecar with a stand-in for each pool; the
// stand-ins take no time of their own.
func benchCluster(b *testing.B, controls int, change func(*demo.Config)) (*demo.Cluster, string) {
	b.Helper()
	place := tanagerroad.Place{Zone: "a", Region: "west"}
	direct, err := demo.Free(1)
	if err != nil {
		b.Fatal(err)
	}
	bare, closeBare, err := standin.New(settings.StandInServer{
		Announce: "127.0.0.1:1", Address: direct[0], Pool: "services", Kind: table.Service, Capacity: 64,
	})
	if err != nil {
		b.Fatal(err)
	}
	_ = bare
	b.Cleanup(closeBare)
	config := demo.Config{
		Places: []tanagerroad.Place{place}, Controls: controls, Folder: b.TempDir(), Logger: zap.NewNop(),
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
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	b.Cleanup(cancel)
	c, closeCluster, err := demo.Start(ctx, config)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(closeCluster)
	return c, direct[0]
}

// report adds quantiles of the times to a benchmark's figures.
func report(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

func timed(b *testing.B, f func(i int) error) {
	b.ReportAllocs()
	times := make([]time.Duration, 0, b.N)
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		if err := f(i); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	report(b, times)
}

// BenchmarkHop compares a call of a stand-in with the same call through an
// entry and a sidecar; the difference is what those two add.
func BenchmarkHop(b *testing.B) {
	c, direct := benchCluster(b, 1, nil)
	body := []byte("a short body")
	b.Run("straight", func(b *testing.B) {
		timed(b, func(int) error {
			response, err := http.Post("http://"+direct+"/run", "", bytes.NewReader(body))
			if err != nil {
				return err
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		})
	})
	b.Run("through", func(b *testing.B) {
		timed(b, func(int) error { return whole(c, "look-up", "", body) })
	})
}

func whole(c *demo.Cluster, route, id string, body []byte) error {
	reply, err := load.Call(context.Background(), http.DefaultClient, c.EntryURLs[0], load.Request{
		Route: route, Workspace: "bench", ID: id, Body: body, Repeatable: route != "book",
	})
	if err == nil && !reply.Verified {
		err = fmt.Errorf("%+v", reply)
	}
	return err
}

// BenchmarkClaim is a booking through one and through three control instances;
// against BenchmarkHop/through it shows what the claim and its settling add.
func BenchmarkClaim(b *testing.B) {
	for _, controls := range []int{1, 3} {
		b.Run(fmt.Sprintf("controls-%d", controls), func(b *testing.B) {
			c, _ := benchCluster(b, controls, nil)
			timed(b, func(i int) error { return whole(c, "book", fmt.Sprintf("b-%d-%d", b.N, i), []byte("x")) })
		})
		b.Run(fmt.Sprintf("controls-%d-parallel", controls), func(b *testing.B) {
			c, _ := benchCluster(b, controls, nil)
			b.SetParallelism(8)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if err := whole(c, "book", "", []byte("x")); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "bookings/s")
		})
	}
}

// BenchmarkTokens relays a stream of tokens that the engine gives as fast as it
// can. Processor time is that of the whole process: engine, sidecar, entry and
// caller.
func BenchmarkTokens(b *testing.B) {
	c, _ := benchCluster(b, 1, nil)
	const tokens = 20000
	before := processorTime()
	for b.Loop() {
		if err := whole(c, "ask", "", []byte("x")); err != nil {
			b.Fatal(err)
		}
	}
	spent := processorTime() - before
	b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric(float64(b.N*tokens)/spent.Seconds(), "tokens/cpu-s")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
