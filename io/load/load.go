package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerroad"
	"tanagerroad/core/document"
)

// Plan is a load plan, as PLAN.json holds it.
type Plan struct {
	Entries   []string             `json:"entries" required:"true"` // such as http://127.0.0.1:7100
	Operators []string             `json:"operators"`               // operator's addresses of the entries, for costs and bytes
	Token     string               `json:"token"`
	For       tanagerroad.Duration `json:"for" required:"true"`
	Seed      int                  `json:"seed"`
	Mix       []Part               `json:"mix" required:"true"`
	Bursts    []Burst              `json:"bursts"`
}

// Part is one kind of request in the mix.
type Part struct {
	Route      string  `json:"route" required:"true"`
	Workspace  string  `json:"workspace" required:"true"`
	Rate       float64 `json:"rate" required:"true"` // requests a second
	BodyBytes  int     `json:"body-bytes"`
	Repeatable *bool   `json:"repeatable"` // absent: true
}

// Burst multiplies all rates for a time.
type Burst struct {
	At     tanagerroad.Duration `json:"at"`
	For    tanagerroad.Duration `json:"for"`
	Factor float64              `json:"factor"`
}

// ParsePlan reads and checks a plan.
func ParsePlan(file string, data []byte) (Plan, tanagerroad.Findings) {
	var p Plan
	lines, findings := document.DecodeLines(file, data, &p)
	fault := func(path, found, want string) {
		findings = append(findings, tanagerroad.Finding{File: file, Line: document.LineOf(lines, path), Path: path, Found: found, Want: want})
	}
	if p.For <= 0 {
		fault("for", p.For.Std().String(), "a time above zero")
	}
	if len(p.Entries) == 0 {
		fault("entries", "none", "at least one")
	}
	for i, m := range p.Mix {
		if m.Rate <= 0 {
			fault(fmt.Sprintf("mix[%d].rate", i), fmt.Sprint(m.Rate), "a rate above zero")
		}
	}
	return p, findings
}

// Report is what a load run measured. Times are in milliseconds.
type Report struct {
	Sent       int                     `json:"sent"`
	Attained   int                     `json:"attained"`
	Attainment float64                 `json:"attainment"`
	Outcomes   map[string]int          `json:"outcomes"`
	P50        float64                 `json:"p50-ms"`
	P95        float64                 `json:"p95-ms"`
	P99        float64                 `json:"p99-ms"`
	FirstP95   float64                 `json:"first-byte-p95-ms"`
	Cost       map[string]float64      `json:"cost-by-stage"`
	Bytes      map[string]int64        `json:"bytes-by-zone-pair"`
	Region     int64                   `json:"bytes-between-regions"`
	Latency    *hdrhistogram.Histogram `json:"-"`
}

// Bounds of the histograms, in microseconds.
const (
	lowest  = 1
	highest = 120_000_000
	digits  = 3
)

// Recorder collects replies. It may be used by many goroutines.
type Recorder struct {
	mu      sync.Mutex
	report  Report
	latency *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
}

// NewRecorder returns an empty one.
func NewRecorder() *Recorder {
	return &Recorder{
		report:  Report{Outcomes: map[string]int{}, Cost: map[string]float64{}, Bytes: map[string]int64{}},
		latency: hdrhistogram.New(lowest, highest, digits),
		first:   hdrhistogram.New(lowest, highest, digits),
	}
}

// Take records one reply, or the error that came in its place. ok says that
// the answer was right.
func (r *Recorder) Take(reply Reply, err error, ok bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	outcome := string(reply.Kind)
	if err != nil {
		outcome = "error"
	}
	if reply.Kind == tanagerroad.AnswerComplete && !ok {
		outcome = "wrong"
	}
	r.report.Outcomes[outcome]++
	if outcome != string(tanagerroad.AnswerComplete) {
		return
	}
	r.report.Attained++
	_ = r.latency.RecordValue(min(took.Microseconds(), highest))          // within bounds
	_ = r.first.RecordValue(min(reply.FirstByte.Microseconds(), highest)) // within bounds
}

// Report sums up.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report
	if out.Sent > 0 {
		out.Attainment = float64(out.Attained) / float64(out.Sent)
	}
	millis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out.P50, out.P95, out.P99 = millis(r.latency, 50), millis(r.latency, 95), millis(r.latency, 99)
	out.FirstP95 = millis(r.first, 95)
	out.Latency = r.latency
	return out
}

// Run sends the plan's load.
func Run(ctx context.Context, plan Plan) (Report, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	recorder := NewRecorder()
	before, err := Costs(ctx, client, plan.Operators, plan.Token)
	if err != nil {
		return Report{}, err
	}
	var group sync.WaitGroup
	start := time.Now()
	for i, part := range plan.Mix {
		random := rand.New(rand.NewPCG(uint64(plan.Seed), uint64(i)))
		group.Go(func() { send(ctx, client, plan, part, random, start, recorder) })
	}
	group.Wait()
	report := recorder.Report()
	after, err := Costs(ctx, client, plan.Operators, plan.Token)
	if err != nil {
		return report, err
	}
	after.subtract(before)
	report.Cost, report.Bytes, report.Region = after.Cost, after.Bytes, after.Region
	return report, nil
}

// send keeps one part of the mix arriving, at exponential intervals.
func send(ctx context.Context, client *http.Client, plan Plan, part Part, random *rand.Rand, start time.Time, recorder *Recorder) {
	var group sync.WaitGroup
	defer group.Wait()
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := part.Rate * factor(plan, at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at > plan.For.Std() || ctx.Err() != nil {
			return
		}
		intended := start.Add(at)
		time.Sleep(time.Until(intended))
		base := plan.Entries[n%len(plan.Entries)]
		body := Body(random, part.BodyBytes)
		group.Go(func() {
			reply, err := Call(ctx, client, base, Request{
				Route: part.Route, Workspace: part.Workspace, Body: body, Repeatable: part.Repeatable == nil || *part.Repeatable,
			})
			recorder.Take(reply, err, reply.Whole, time.Since(intended))
		})
	}
}

func factor(plan Plan, at time.Duration) float64 {
	for _, b := range plan.Bursts {
		if at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			return b.Factor
		}
	}
	return 1
}

// Body is printable random text.
func Body(random *rand.Rand, n int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz "
	out := make([]byte, max(n, 16))
	for i := range out {
		out[i] = letters[random.IntN(len(letters))]
	}
	return out
}

// Spent is what entries say that was spent so far.
type Spent struct {
	Cost   map[string]float64
	Bytes  map[string]int64
	Region int64
}

// Costs reads cost by stage and bytes by zone pair from the entries' metrics.
func Costs(ctx context.Context, client *http.Client, operators []string, token string) (Spent, error) {
	s := Spent{Cost: map[string]float64{}, Bytes: map[string]int64{}}
	for _, address := range operators {
		all, err := Metrics(ctx, client, address, token)
		if err != nil {
			return s, err
		}
		for name, value := range all {
			s.add(name, value)
		}
	}
	return s, nil
}

// Metrics reads a process's metrics.
func Metrics(ctx context.Context, client *http.Client, address, token string) (map[string]map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: %s", address, response.Status)
	}
	var all map[string]map[string]float64
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	return all, nil
}

func (s *Spent) add(name string, value map[string]float64) {
	if stage, ok := strings.CutPrefix(name, "cost."); ok {
		s.Cost[stage] += value["value"]
	}
	if pair, ok := strings.CutPrefix(name, "bytes."); ok {
		s.Bytes[pair] += int64(value["count"])
	}
	if name == "region-bytes" {
		s.Region += int64(value["count"])
	}
}

func (s *Spent) subtract(before Spent) {
	for k, v := range before.Cost {
		s.Cost[k] -= v
	}
	for k, v := range before.Bytes {
		s.Bytes[k] -= v
	}
	s.Region -= before.Region
}

// Table renders a report for people.
func (r Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests      %d\nattainment    %.4f\n", r.Sent, r.Attainment)
	for _, k := range sorted(r.Outcomes) {
		fmt.Fprintf(&b, "  %-11s %d\n", k, r.Outcomes[k])
	}
	fmt.Fprintf(&b, "latency       p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\nfirst byte    p95 %.1f ms\ncost by stage\n", r.P50, r.P95, r.P99, r.FirstP95)
	for _, k := range sorted(r.Cost) {
		fmt.Fprintf(&b, "  %-24s %.4f\n", k, r.Cost[k])
	}
	fmt.Fprintf(&b, "bytes between regions  %d\n", r.Region)
	return b.String()
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
