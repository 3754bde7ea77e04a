package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/load"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// The benchmarks here give the slopes of docs/CAPACITY.md. Control instances
// are real processes; what they serve is small clients in this process.

// controlsOnly starts control instances and nothing else.
func controlsOnly(b *testing.B, change func(*settings.Control)) *system {
	b.Helper()
	y := newSystem(b)
	for i := range 3 {
		s := y.controlSettings(i)
		if change != nil {
			change(&s)
		}
		y.write(s.Process, s)
		y.start(s.Process)
	}
	y.leader()
	return y
}

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	resident  int64 // bytes
	in, out   int64 // bytes of gRPC messages
}

const clockTick = 10 * time.Millisecond // of /proc, USER_HZ 100

func (y *system) usage(i int) usage {
	y.t.Helper()
	u := y.spent(fmt.Sprintf("control-%d", i))
	all, err := load.ReadMetrics(context.Background(), y.http, y.controls[i], "")
	if err != nil {
		y.t.Fatal(err)
	}
	u.in, u.out = int64(all["control-bytes.in"]["value"]), int64(all["control-bytes.out"]["value"])
	return u
}

// spent is the processor time and the memory of a process.
func (y *system) spent(name string) usage {
	y.t.Helper()
	pid := y.cmd(name).Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		y.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	number := func(k int) int64 {
		n, _ := strconv.ParseInt(fields[k], 10, 64)
		return n
	}
	return usage{
		processor: time.Duration(number(11)+number(12)) * clockTick,
		resident:  number(21) * int64(os.Getpagesize()),
	}
}

// swarm is small clients: of each 98, 38 are entries and 60 sidecars.
type swarm struct {
	revision []atomic.Uint64
	meters   []*peer.Meter
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

func newSwarm(y *system, n int) *swarm {
	ctx, cancel := context.WithCancel(context.Background())
	s := &swarm{revision: make([]atomic.Uint64, n), cancel: cancel}
	for i := range n {
		meter := peer.NewMeter()
		links, closeLinks := peer.NewConnPool(meter, 16<<20)
		s.meters = append(s.meters, meter)
		client := control.NewClient(links, y.peers, zap.NewNop())
		w := control.Watcher{Client: client, NoticeInterval: time.Second, NoticeDue: signal.New(), HandleUpdate: func(u *wire.Update) {
			if r := u.GetRevision().GetNumber(); r > s.revision[i].Load() {
				s.revision[i].Store(r)
			}
		}}
		entry := i%98 < 38
		var sequence atomic.Uint64
		w.NewNotice = func() *wire.Notice {
			notice := &wire.Notice{
				Process: fmt.Sprintf("client-%d", i), Role: "sidecar", Zone: "a", Region: "west", Revision: s.revision[i].Load(),
				WantDirectory: entry,
			}
			if !entry {
				notice.Server = peer.ServerToWire(tanagerroad.Server{
					ID: notice.Process, Pool: "models", Kind: "model-engine", Models: []string{"guide-7b"}, Capacity: 8,
					Address: "10.0.0.1:7000", Place: tanagerroad.Place{Zone: "a", Region: "west"}, Generation: 1,
					Sequence: sequence.Add(1), State: tanagerroad.Serving,
				})
			}
			return notice
		}
		if entry {
			s.group.Go(func() { w.Watch(ctx, []string{y.peers[i%3]}) })
		} else {
			for _, address := range y.peers {
				s.group.Go(func() { w.Watch(ctx, []string{address}) })
			}
		}
		s.group.Go(func() {
			<-ctx.Done()
			closeLinks()
		})
	}
	return s
}

func (s *swarm) bytes() (total int64) {
	for _, m := range s.meters {
		in, out := m.Total()
		total += in + out
	}
	return total
}

// behind counts the clients that do not have the revision yet.
func (s *swarm) behind(revision uint64) int {
	n := 0
	for i := range s.revision {
		if s.revision[i].Load() < revision {
			n++
		}
	}
	return n
}

// BenchmarkControlPlane: what a control instance and a client spend at three
// sizes, at rest, and how long a change takes to be in force everywhere.
func BenchmarkControlPlane(b *testing.B) {
	for _, n := range []int{50, 200, 980} {
		b.Run(fmt.Sprintf("processes-%d", n), func(b *testing.B) {
			y := controlsOnly(b, nil)
			s := newSwarm(y, n)
			defer func() {
				s.cancel()
				s.group.Wait()
			}()
			revision := y.put("first", 0, 0)
			y.await("the first revision everywhere", func() bool { return s.behind(revision) == 0 })
			time.Sleep(3 * time.Second)
			const rest = 8 * time.Second
			before, bytes := y.usage(0), s.bytes()
			time.Sleep(rest)
			after := y.usage(0)
			b.ReportMetric(100*(after.processor-before.processor).Seconds()/rest.Seconds(), "control-%core")
			b.ReportMetric(float64(after.resident)/(1<<20), "control-MB")
			b.ReportMetric(float64(after.in-before.in+after.out-before.out)/rest.Seconds()/1000, "control-KB/s")
			b.ReportMetric(float64(s.bytes()-bytes)/rest.Seconds()/float64(n), "client-B/s")
			var worst, sum time.Duration
			const changes = 5
			for i := range changes {
				start := time.Now()
				revision = y.put(fmt.Sprintf("change-%d", i), revision, i)
				y.await("the change everywhere", func() bool { return s.behind(revision) == 0 })
				took := time.Since(start)
				worst, sum = max(worst, took), sum+took
			}
			b.ReportMetric(float64(sum.Milliseconds())/changes, "in-force-ms")
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// BenchmarkChanges: changes a second through three instances, and syncs, with
// group commit on and off.
func BenchmarkChanges(b *testing.B) {
	for _, group := range []bool{true, false} {
		b.Run(fmt.Sprintf("group-%v", group), func(b *testing.B) {
			y := controlsOnly(b, func(s *settings.Control) { s.GroupCommit = group })
			const span = 4 * time.Second
			done, syncs := y.hammer(64, span)
			b.ReportMetric(float64(done)/span.Seconds(), "changes/s")
			b.ReportMetric(float64(syncs)/float64(done), "syncs/change")
		})
	}
}

// hammer proposes from many goroutines at once.
func (y *system) hammer(workers int, span time.Duration) (done, syncs int64) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	links, closeLinks := peer.NewConnPool(peer.NewMeter(), 1<<20)
	defer closeLinks()
	client := control.NewClient(links, y.peers, zap.NewNop())
	var count atomic.Int64
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				command := &wire.Command{Body: &wire.Command_Fence{Fence: &wire.Fence{
					Server: fmt.Sprintf("server-%d", w), Holder: fmt.Sprintf("holder-%d", i),
				}}}
				if outcome, err := client.Propose(ctx, command); err == nil && outcome.GetKind() == "granted" {
					count.Add(1)
				}
			}
		})
	}
	group.Wait()
	for i := range 3 {
		if all, err := load.ReadMetrics(context.Background(), y.http, y.controls[i], ""); err == nil {
			syncs = max(syncs, int64(all["quorum.syncs"]["value"]))
		}
	}
	return count.Load(), syncs
}

// BenchmarkRestart: how long a killed control instance takes to serve again.
func BenchmarkRestart(b *testing.B) {
	b.Run("table-changes-1600", func(b *testing.B) {
		y := controlsOnly(b, func(s *settings.Control) { s.CompactAtSize = 64 << 10 })
		for i := range uint64(1600) {
			y.put(fmt.Sprintf("change-%d", i), i, int(i))
		}
		y.restart(b)
	})
	b.Run("changes-100000", func(b *testing.B) {
		y := controlsOnly(b, func(s *settings.Control) { s.CompactAtSize = 1 << 20 })
		total := int64(0)
		for total < 100000 {
			done, _ := y.hammer(128, 4*time.Second)
			total += done
		}
		b.ReportMetric(float64(total), "changes")
		y.restart(b)
	})
}

func (y *system) restart(b *testing.B) {
	y.kill("control-0")
	start := time.Now()
	y.start("control-0")
	y.await("control-0", func() bool {
		response, err := http.Get("http://" + y.controls[0] + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	b.ReportMetric(float64(time.Since(start).Milliseconds()), "restart-ms")
}

// BenchmarkRequestPath: what an entry and a sidecar spend on requests, at three
// rates of single calls and of streams of 40 tokens.
func BenchmarkRequestPath(b *testing.B) {
	for _, route := range []string{"look-up", "ask"} {
		for _, rate := range []float64{10, 20, 40} {
			b.Run(fmt.Sprintf("%s-%.0f", route, rate), func(b *testing.B) {
				y := startSystem(b)
				sidecar := map[string]string{"look-up": "sidecar-2", "ask": "sidecar-4"}[route]
				const span = 6 * time.Second
				before, beforeSidecar := y.spent("entry-0"), y.spent(sidecar)
				report, err := load.Run(context.Background(), load.Plan{
					Entries: []string{"http://" + y.entries[0]}, Duration: settingsDuration(span), Seed: 1,
					Mix: []load.TrafficClass{{Route: route, Workspace: "test", Rate: rate, BodyBytes: 500}},
				})
				if err != nil || report.Attainment < 1 {
					b.Fatalf("%v, attainment %f", err, report.Attainment)
				}
				after, afterSidecar := y.spent("entry-0"), y.spent(sidecar)
				b.ReportMetric(100*(after.processor-before.processor).Seconds()/span.Seconds(), "entry-%core")
				b.ReportMetric(float64(after.resident)/(1<<20), "entry-MB")
				b.ReportMetric(100*(afterSidecar.processor-beforeSidecar.processor).Seconds()/span.Seconds(), "sidecar-%core")
				b.ReportMetric(float64(afterSidecar.resident)/(1<<20), "sidecar-MB")
				b.ReportMetric(float64(report.Sent), "requests")
			})
		}
	}
}

// BenchmarkRelay: tokens that an entry and a sidecar relay for each second of
// their own processor time, from an engine that gives them as fast as it can.
func BenchmarkRelay(b *testing.B) {
	const tokens, streams = 50000, 12
	y := startSystem(b, func(s *settings.StandInServer) {
		if s.Kind == "model-engine" {
			s.Tokens, s.Time = tokens, 0
		}
	})
	spent := func() (entry, sidecars time.Duration) {
		return y.spent("entry-0").processor, y.spent("sidecar-4").processor + y.spent("sidecar-5").processor
	}
	entry, sidecars := spent()
	for range streams {
		reply, err := load.Call(context.Background(), http.DefaultClient, "http://"+y.entries[0], load.Request{
			Route: "ask", Workspace: "test", Body: []byte("x"), Repeatable: true,
		})
		if err != nil || !reply.Verified {
			b.Fatalf("%v, %s", err, reply.Kind)
		}
	}
	entryAfter, sidecarsAfter := spent()
	b.ReportMetric(tokens*streams/(entryAfter-entry).Seconds(), "entry-tokens/cpu-s")
	b.ReportMetric(tokens*streams/(sidecarsAfter-sidecars).Seconds(), "sidecar-tokens/cpu-s")
}
