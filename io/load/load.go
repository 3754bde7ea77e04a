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

// Plan describes a load run. It is read from a JSON file.
type Plan struct {
	Entries           []string             `json:"entries" required:"true"` // base URLs, such as http://127.0.0.1:7100
	OperatorAddresses []string             `json:"operators"`               // of the entries, to read costs and bytes from
	Token             string               `json:"token"`                   // operators' bearer token; empty: none
	Duration          tanagerroad.Duration `json:"for" required:"true"`
	Seed              int                  `json:"seed"` // of arrival times and bodies
	Mix               []TrafficClass       `json:"mix" required:"true"`
	Bursts            []Burst              `json:"bursts"`
}

// TrafficClass is one kind of request in the mix of a plan, sent at its own rate.
type TrafficClass struct {
	Route      string  `json:"route" required:"true"`
	Workspace  string  `json:"workspace" required:"true"`
	Rate       float64 `json:"rate" required:"true"` // requests a second
	BodyBytes  int     `json:"body-bytes"`           // at least 16 are sent
	Repeatable *bool   `json:"repeatable"`           // absent: true
}

// Burst multiplies the rates of all traffic classes by Factor for a limited time.
// Where bursts overlap, the first one in the plan applies.
type Burst struct {
	Start    tanagerroad.Duration `json:"at"` // counted from the start of the run
	Duration tanagerroad.Duration `json:"for"`
	Factor   float64              `json:"factor"`
}

// ParsePlan decodes and checks the plan in data. The name of the file appears in
// the findings only.
func ParsePlan(file string, data []byte) (Plan, tanagerroad.Findings) {
	var p Plan
	lines, findings := document.DecodeLines(file, data, &p)
	addFinding := func(path, found, want string) {
		findings = append(findings, tanagerroad.Finding{File: file, Line: document.LineOf(lines, path), Path: path, Found: found, Want: want})
	}
	if p.Duration <= 0 {
		addFinding("for", p.Duration.Std().String(), "a time above zero")
	}
	if len(p.Entries) == 0 {
		addFinding("entries", "none", "at least one")
	}
	for i, m := range p.Mix {
		if m.Rate <= 0 {
			addFinding(fmt.Sprintf("mix[%d].rate", i), fmt.Sprint(m.Rate), "a rate above zero")
		}
	}
	return p, findings
}

// Report is the result of a load run. Times are in milliseconds; attained requests
// are those that got a complete and correct answer, and only they count in the
// latencies.
type Report struct {
	Sent             int                     `json:"sent"`
	Attained         int                     `json:"attained"`
	Attainment       float64                 `json:"attainment"` // share of the requests that were attained, 0 to 1
	Outcomes         map[string]int          `json:"outcomes"`   // requests by kind of answer, or error or wrong
	P50              float64                 `json:"p50-ms"`
	P95              float64                 `json:"p95-ms"`
	P99              float64                 `json:"p99-ms"`
	FirstByteP95     float64                 `json:"first-byte-p95-ms"`
	CostByStage      map[string]float64      `json:"cost-by-stage"`
	BytesByZonePair  map[string]int64        `json:"bytes-by-zone-pair"`
	CrossRegionBytes int64                   `json:"bytes-between-regions"`
	Latency          *hdrhistogram.Histogram `json:"-"`
}

// Range and precision of the latency histograms. Longer latencies are recorded as
// maxLatencyMicros.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
)

// Recorder collects the outcomes and latencies of requests. It is safe for
// concurrent use.
type Recorder struct {
	mu        sync.Mutex
	report    Report
	latency   *hdrhistogram.Histogram
	firstByte *hdrhistogram.Histogram
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		report:    Report{Outcomes: map[string]int{}, CostByStage: map[string]float64{}, BytesByZonePair: map[string]int64{}},
		latency:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		firstByte: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

// Record adds the outcome of one request: its reply, or err if the call failed. ok
// reports whether the answer was correct; took is the latency.
func (r *Recorder) Record(reply Reply, err error, ok bool, took time.Duration) {
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
	_ = r.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))              // cannot fail: in range
	_ = r.firstByte.RecordValue(min(reply.FirstByte.Microseconds(), maxLatencyMicros)) // cannot fail: in range
}

// Report returns the results so far, without costs and bytes.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.report
	if out.Sent > 0 {
		out.Attainment = float64(out.Attained) / float64(out.Sent)
	}
	quantileMillis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	out.P50, out.P95, out.P99 = quantileMillis(r.latency, 50), quantileMillis(r.latency, 95), quantileMillis(r.latency, 99)
	out.FirstByteP95 = quantileMillis(r.firstByte, 95)
	out.Latency = r.latency
	return out
}

// Run sends the requests of the plan and waits for all answers. The costs and
// bytes of the report are the increase of the entries' metrics during the run.
func Run(ctx context.Context, plan Plan) (Report, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	recorder := NewRecorder()
	before, err := ReadUsage(ctx, client, plan.OperatorAddresses, plan.Token)
	if err != nil {
		return Report{}, err
	}
	var wg sync.WaitGroup
	start := time.Now()
	for i, class := range plan.Mix {
		random := rand.New(rand.NewPCG(uint64(plan.Seed), uint64(i)))
		wg.Go(func() { sendOpenLoop(ctx, client, plan, class, random, start, recorder) })
	}
	wg.Wait()
	report := recorder.Report()
	after, err := ReadUsage(ctx, client, plan.OperatorAddresses, plan.Token)
	if err != nil {
		return report, err
	}
	after.subtract(before)
	report.CostByStage, report.BytesByZonePair, report.CrossRegionBytes = after.CostByStage, after.BytesByZonePair, after.CrossRegionBytes
	return report, nil
}

// sendOpenLoop sends the requests of one traffic class as a Poisson process:
// the times between arrivals are exponentially distributed. It returns when all
// answers have arrived.
func sendOpenLoop(ctx context.Context, client *http.Client, plan Plan, class TrafficClass, random *rand.Rand, start time.Time, recorder *Recorder) {
	var wg sync.WaitGroup
	defer wg.Wait()
	offset := time.Duration(0)
	for n := 0; ; n++ {
		rate := class.Rate * burstFactor(plan, offset)
		offset += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if offset > plan.Duration.Std() || ctx.Err() != nil {
			return
		}
		scheduled := start.Add(offset)
		time.Sleep(time.Until(scheduled))
		base := plan.Entries[n%len(plan.Entries)]
		body := RandomBody(random, class.BodyBytes)
		wg.Go(func() {
			reply, err := Call(ctx, client, base, Request{
				Route: class.Route, Workspace: class.Workspace, Body: body, Repeatable: class.Repeatable == nil || *class.Repeatable,
			})
			recorder.Record(reply, err, reply.Verified, time.Since(scheduled))
		})
	}
}

// burstFactor returns the factor of the burst at offset since the start of the
// run, or 1 outside of bursts.
func burstFactor(plan Plan, offset time.Duration) float64 {
	for _, b := range plan.Bursts {
		if offset >= b.Start.Std() && offset < b.Start.Std()+b.Duration.Std() {
			return b.Factor
		}
	}
	return 1
}

// RandomBody returns n bytes of random lower-case text, but at least 16.
func RandomBody(random *rand.Rand, n int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz "
	out := make([]byte, max(n, 16))
	for i := range out {
		out[i] = letters[random.IntN(len(letters))]
	}
	return out
}

// Usage holds costs and bytes, summed over entries.
type Usage struct {
	CostByStage      map[string]float64
	BytesByZonePair  map[string]int64
	CrossRegionBytes int64
}

// ReadUsage reads the costs and bytes counted so far from the metrics of the
// entries at the given operator addresses.
func ReadUsage(ctx context.Context, client *http.Client, operators []string, token string) (Usage, error) {
	usage := Usage{CostByStage: map[string]float64{}, BytesByZonePair: map[string]int64{}}
	for _, address := range operators {
		all, err := ReadMetrics(ctx, client, address, token)
		if err != nil {
			return usage, err
		}
		for name, value := range all {
			usage.addMetric(name, value)
		}
	}
	return usage, nil
}

// ReadMetrics reads all metrics from the operator address of a process. The result
// maps the name of a metric to its fields, such as value or count.
func ReadMetrics(ctx context.Context, client *http.Client, address, token string) (map[string]map[string]float64, error) {
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

// addMetric adds a metric if it counts costs or bytes.
func (u *Usage) addMetric(name string, value map[string]float64) {
	if stage, ok := strings.CutPrefix(name, "cost."); ok {
		u.CostByStage[stage] += value["value"]
	}
	if pair, ok := strings.CutPrefix(name, "bytes."); ok {
		u.BytesByZonePair[pair] += int64(value["count"])
	}
	if name == "region-bytes" {
		u.CrossRegionBytes += int64(value["count"])
	}
}

func (u *Usage) subtract(before Usage) {
	for stage, v := range before.CostByStage {
		u.CostByStage[stage] -= v
	}
	for pair, v := range before.BytesByZonePair {
		u.BytesByZonePair[pair] -= v
	}
	u.CrossRegionBytes -= before.CrossRegionBytes
}

// Table formats the report as text for a terminal.
func (r Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests      %d\nattainment    %.4f\n", r.Sent, r.Attainment)
	for _, k := range sortedKeys(r.Outcomes) {
		fmt.Fprintf(&b, "  %-11s %d\n", k, r.Outcomes[k])
	}
	fmt.Fprintf(&b, "latency       p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\nfirst byte    p95 %.1f ms\ncost by stage\n", r.P50, r.P95, r.P99, r.FirstByteP95)
	for _, k := range sortedKeys(r.CostByStage) {
		fmt.Fprintf(&b, "  %-24s %.4f\n", k, r.CostByStage[k])
	}
	fmt.Fprintf(&b, "bytes between regions  %d\n", r.CrossRegionBytes)
	return b.String()
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
