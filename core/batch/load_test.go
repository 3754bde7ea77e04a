package batch_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
	"tanagerroad/core/region"
)

// loadPattern describes servers, arriving jobs and bounds on how they are served.
type loadPattern struct {
	Description   string  `json:"what"`
	Workers       int     `json:"workers"`
	Batch         int     `json:"batch"`
	CallMs        float64 `json:"call-ms"`
	PieceMs       float64 `json:"item-ms"`
	ResultSpaceMB float64 `json:"room-mb"`
	Seconds       float64 `json:"seconds"`
	// Kinds of jobs. Burst multiplies the arrival rate between the seconds From
	// and To.
	Kinds []struct {
		Name       string  `json:"name"`
		PerSecond  float64 `json:"per-second"`
		Pieces     int     `json:"pieces"`
		DueMs      float64 `json:"due-ms"`
		DeadlineMs float64 `json:"deadline-ms"`
		Priority   int     `json:"priority"`
		Bytes      int     `json:"bytes"`
		HoldMs     float64 `json:"hold-ms"` // time from a result to its release
		Burst      float64 `json:"burst"`
		From       float64 `json:"from"`
		To         float64 `json:"to"`
		// Regions in which its jobs may be executed; empty: all.
		Regions []string `json:"regions"`
	} `json:"kinds"`
	Zones           []string `json:"zones"`       // of the servers in turn, each its own region; empty: a
	SlowWorker      float64  `json:"slow-worker"` // factor on the call durations of the first server
	LoseAnswerEvery int      `json:"mute-every"`  // every n-th answer is lost; 0: none
	// Bounds on the time until the last piece of a job is done.
	P50Ms    float64            `json:"p50-ms"`
	P95Ms    float64            `json:"p95-ms"`
	MaxMs    float64            `json:"max-ms"` // bound for every job
	MaxCalls int                `json:"most-calls"`
	InTime   map[string]float64 `json:"in-time"` // minimum share of jobs done by their due time, by kind
	NoFailed bool               `json:"none-failed"`
}

// event is a function to run at a point in virtual time.
type event struct {
	at     time.Duration
	action func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs a load pattern in virtual time against simulated backend
// servers.
type simulation struct {
	load      loadPattern
	pool      *batch.Pool
	events    eventQueue
	now       time.Duration
	stored    map[string]float64 // bytes of results, by server
	calls     int
	elsewhere int // pieces in calls to servers that are not allowed
	latencies []time.Duration
	inTime    map[string]int
	total     map[string]int
	failed    int
	remaining map[string]int
	started   map[string]time.Duration
	kinds     map[string]int
	nextWake  time.Duration
}

func ms(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }

func (s *simulation) schedule(d time.Duration, f func()) { heap.Push(&s.events, event{d, f}) }

// dispatch starts all calls that can start now and schedules the next attempt.
func (s *simulation) dispatch() {
	for _, r := range s.pool.Expire(s.now) {
		s.finish(r)
	}
	for {
		call, ok := s.pool.Next(s.now)
		if !ok {
			break
		}
		s.execute(call)
	}
	if wake, ok := s.pool.NextWake(s.now); ok && wake > s.now && (s.nextWake <= s.now || wake < s.nextWake) {
		s.nextWake = wake
		s.schedule(wake, s.dispatch)
	}
}

// execute simulates a call on a backend server.
func (s *simulation) execute(call *batch.Call) {
	s.calls++
	id := call.Server.ID
	outcomes := make([]tanagerroad.PieceOutcome, len(call.Pieces))
	duration := ms(s.load.CallMs)
	for i, q := range call.Pieces {
		if !q.Job.Regions.Allows(call.Server.Zone) {
			s.elsewhere++
		}
		if bytes := float64(q.Job.Bytes); s.load.ResultSpaceMB > 0 && s.stored[id]+bytes > s.load.ResultSpaceMB*1e6 {
			outcomes[i].Reason = tanagerroad.PieceNoSpace
			continue
		}
		s.stored[id] += float64(q.Job.Bytes)
		outcomes[i].Handle = fmt.Sprintf("%s/%d/%d", id, s.calls, i)
		duration += ms(s.load.PieceMs)
	}
	if id == "w0" && s.load.SlowWorker > 0 {
		duration = time.Duration(float64(duration) * s.load.SlowWorker)
	}
	s.schedule(s.now+call.Timeout(), func() {
		if s.pool.Abandon(s.now, call) {
			s.dispatch()
		}
	})
	if s.load.LoseAnswerEvery > 0 && s.calls%s.load.LoseAnswerEvery == 0 {
		for _, q := range call.Pieces { // the results expire unused on the server
			s.schedule(s.now+4*time.Second, func() { s.stored[id] -= float64(q.Job.Bytes) })
		}
		duration, outcomes = 5*time.Second, nil // timeout of the caller
	}
	s.schedule(s.now+duration+10*time.Millisecond, func() {
		for _, r := range s.pool.Complete(s.now, call, outcomes, false) {
			if !r.Duplicate {
				s.finish(r)
			}
			if r.Handle == "" {
				continue
			}
			hold := ms(s.load.Kinds[s.kinds[r.Job.ID]].HoldMs)
			s.schedule(s.now+hold, func() {
				s.pool.ReleaseResults([]string{r.Handle})
				s.schedule(s.now+100*time.Millisecond, func() { s.stored[id] -= float64(r.Job.Bytes) })
				s.dispatch()
			})
		}
		s.dispatch()
	})
}

// finish records the outcome of a piece, and of its job after the last one.
func (s *simulation) finish(r batch.PieceResult) {
	id := r.Job.ID
	s.remaining[id]--
	if r.Handle == "" {
		s.remaining[id] = 0
		s.failed++
		s.pool.Cancel(id)
		return
	}
	if s.remaining[id] == 0 {
		s.latencies = append(s.latencies, s.now-s.started[id])
		if s.now <= r.Job.Due {
			s.inTime[s.load.Kinds[s.kinds[id]].Name]++
		}
		s.pool.Remove(id)
	}
}

// arrivals schedules the jobs of all kinds, with random gaps between them.
func (s *simulation) arrivals(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	n := 0
	for k, kind := range s.load.Kinds {
		for t := 0.0; t < s.load.Seconds; {
			rate := kind.PerSecond
			if kind.Burst > 0 && t >= kind.From && t < kind.To {
				rate *= kind.Burst
			}
			t += random.ExpFloat64() / rate
			n++
			id := fmt.Sprintf("j%d", n)
			s.schedule(time.Duration(t*float64(time.Second)), func() {
				job := &batch.Job{
					ID: id, Request: id, Due: s.now + ms(kind.DueMs), Deadline: s.now + ms(kind.DeadlineMs),
					Priority: kind.Priority, Bytes: kind.Bytes, Regions: region.Intersect(kind.Regions, nil),
				}
				for i := range kind.Pieces {
					job.Pieces = append(job.Pieces, i)
				}
				s.total[kind.Name]++
				s.kinds[id] = k
				if ok, _ := s.pool.Add(s.now, job); !ok {
					s.failed++
					return
				}
				s.remaining[id], s.started[id] = kind.Pieces, s.now
				s.dispatch()
			})
		}
	}
}

// TestLoads replays the load patterns in testdata in virtual time and checks
// latencies, failures and the number of calls against the bounds given there.
func TestLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no load patterns", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var l loadPattern
			if err := json.Unmarshal(data, &l); err != nil {
				t.Fatal(err)
			}
			s := simulate(l)
			slices.Sort(s.latencies)
			p50, p95 := s.latencies[len(s.latencies)/2], s.latencies[len(s.latencies)*95/100]
			t.Logf("%s: %d jobs done, p50 %s, p95 %s, %d calls, %d failed", l.Description, len(s.latencies), p50, p95, s.calls, s.failed)
			if l.P50Ms > 0 && p50 > ms(l.P50Ms) || l.P95Ms > 0 && p95 > ms(l.P95Ms) {
				t.Errorf("p50 %s, p95 %s; want at most %v ms and %v ms", p50, p95, l.P50Ms, l.P95Ms)
			}
			if longest := s.latencies[len(s.latencies)-1]; l.MaxMs > 0 && longest > ms(l.MaxMs) {
				t.Errorf("the slowest job took %s; want at most %v ms", longest, l.MaxMs)
			}
			if l.MaxCalls > 0 && s.calls > l.MaxCalls {
				t.Errorf("%d calls; want at most %d", s.calls, l.MaxCalls)
			}
			if s.elsewhere > 0 {
				t.Errorf("%d pieces in calls to servers that are not allowed", s.elsewhere)
			}
			if l.NoFailed && s.failed > 0 {
				t.Errorf("%d jobs failed", s.failed)
			}
			for name, least := range l.InTime {
				got := float64(s.inTime[name]) / float64(max(1, s.total[name]))
				t.Logf("%s: %.3f in time", name, got)
				if got < least {
					t.Errorf("%s: %.3f done in time; want at least %.3f", name, got, least)
				}
			}
		})
	}
}

// simulate runs a load pattern to its end.
func simulate(l loadPattern) *simulation {
	s := &simulation{
		load: l, stored: map[string]float64{}, inTime: map[string]int{}, total: map[string]int{}, remaining: map[string]int{},
		started: map[string]time.Duration{}, kinds: map[string]int{},
		pool: batch.New(tanagerroad.PieceTraits{
			Slots: 1, MaxQueue: 2, MaxBatch: l.Batch, CallTime: ms(l.CallMs), PieceTime: ms(l.PieceMs), ResultSpace: int64(l.ResultSpaceMB * 1e6), ResultTTL: 4 * time.Second,
		}),
	}
	zones, regions := l.Zones, map[string]string{}
	if len(zones) == 0 {
		zones = []string{"a"}
	}
	for _, zone := range zones {
		regions[zone] = zone
	}
	s.pool.SetRegions(regions)
	var servers []tanagerroad.Announcement
	for i := range l.Workers {
		servers = append(servers, tanagerroad.Announcement{ID: fmt.Sprintf("w%d", i), Zone: zones[i%len(zones)]})
	}
	s.pool.SetServers(0, servers)
	s.arrivals(1)
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
	return s
}
