package balance_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerroad"
	"tanagerroad/core/balance"
	"tanagerroad/core/fleet"
)

// The customers' model engines. Rates of requests and of prefill, slots, cache and the
// shared part are theirs (docs/design/hard-load.md); lengths of outputs and own parts are
// assumed.
const (
	engineSlots  = 64
	cacheTokens  = 546056
	prefillPerMs = 56.6
	prefillChunk = 512 // tokens read in one step
	stepTime     = 3.8 // ms
	stepPerSlot  = 0.05
	sharedTokens = 5382
	longShare    = 0.39 // of requests with long outputs
	parts        = 36
	replaySeeds  = 8
)

// seesAll is a picker that knows the load of every engine at the moment of its choice.
const seesAll = "sees all"

// replay is a load on a pool of engines.
type replay struct {
	Name     string  `json:"name"`
	Gateways int     `json:"gateways"`
	Servers  int     `json:"servers"`
	Rate     float64 `json:"rate"`   // requests a second per server before the burst
	Output   float64 `json:"output"` // factor of the lengths of outputs
	Skew     float64 `json:"skew"`   // exponent of the popularity of the shared parts
	Burst    float64 `json:"burst"`  // factor of the rate
	AgeMs    [2]int  `json:"age-ms"` // least and greatest age of a report when it is sent
	Third    bool    `json:"third"`  // one gateway has a third of the callers
	Seed     uint64  `json:"seed"`
}

const (
	burstFrom = 20 * time.Second
	burstTo   = 35 * time.Second
	replayEnd = 36 * time.Second
)

// loadInterval is the resolution of old reports.
const loadInterval = 50 * time.Millisecond

// result is what a replay showed.
type result struct {
	Ratio     float64 // mean over the burst of busiest/mean
	RatioP95  float64
	Mean      float64       // mean load in the burst
	FirstP99  time.Duration // time to the first token of requests of the burst
	FirstMean time.Duration
	ReadAgain float64 // shared tokens read beyond the first read of each part, in millions
}

func (r result) String() string {
	return fmt.Sprintf("%.2f | %.2f | %.1f | %d | %d | %.2f", r.Ratio, r.RatioP95, r.Mean, r.FirstMean.Milliseconds(), r.FirstP99.Milliseconds(), r.ReadAgain)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type job struct {
	part, own, left int // the shared part, tokens to read and tokens to write
	read            bool
	first, end      func()
}

// engine is a batch engine: in each step all running requests get a token, and requests
// that begin have a chunk of their prompts read, one after the other.
type engine struct {
	s       *simulation
	waiting []*job // for a slot
	reading []*job
	writing []*job
	tokens  int // read so far
	used    map[int]int
	active  bool
	loads   [][2]int // running and waiting at each loadInterval
}

func (e *engine) load() int { return len(e.waiting) + len(e.reading) + len(e.writing) }

func (e *engine) start(j *job) {
	e.waiting = append(e.waiting, j)
	if !e.active {
		e.active = true
		e.step()
	}
}

func (e *engine) step() {
	for len(e.waiting) > 0 && len(e.reading)+len(e.writing) < engineSlots {
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if e.load() == 0 {
		e.active = false
		return
	}
	room := prefillChunk
	var read []*job
	for len(e.reading) > 0 && room > 0 {
		j := e.reading[0]
		if !j.read {
			j.read = true
			if used, ok := e.used[j.part]; !ok || e.tokens-used > cacheTokens {
				j.own += sharedTokens
				e.s.sharedRead += sharedTokens
			}
		}
		n := min(room, j.own)
		room, j.own, e.tokens = room-n, j.own-n, e.tokens+n
		if j.own > 0 {
			break
		}
		e.used[j.part] = e.tokens
		read, e.reading = append(read, j), e.reading[1:]
	}
	ms := stepTime + stepPerSlot*float64(len(e.writing)) + float64(prefillChunk-room)/prefillPerMs
	e.s.after(time.Duration(ms*float64(time.Millisecond)), func() {
		e.writing = slices.DeleteFunc(e.writing, func(j *job) bool {
			if j.left--; j.left <= 0 {
				j.end()
			}
			return j.left <= 0
		})
		for _, j := range read {
			j.first()
		}
		e.writing = append(e.writing, read...)
		e.step()
	})
}

type simulation struct {
	replay
	now        time.Duration
	events     events
	seq        int
	random     *rand.Rand
	engines    []*engine
	sharedRead int
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

// drawer returns a function that draws one of n indexes, by weights 1/i^skew.
func drawer(random *rand.Rand, n int, skew float64) func() int {
	sums := make([]float64, n)
	total := 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	return func() int { i, _ := slices.BinarySearch(sums, random.Float64()*total); return min(i, n-1) }
}

// mean returns the means of the replays with replaySeeds seeds.
func (r replay) mean(policy string) result {
	var out result
	for r.Seed = 1; r.Seed <= replaySeeds; r.Seed++ {
		one := r.run(policy)
		out.Ratio += one.Ratio / replaySeeds
		out.RatioP95 += one.RatioP95 / replaySeeds
		out.Mean += one.Mean / replaySeeds
		out.FirstMean += one.FirstMean / replaySeeds
		out.FirstP99 += one.FirstP99 / replaySeeds
		out.ReadAgain += one.ReadAgain / replaySeeds
	}
	return out
}

// run replays the load with a policy: that of the gateways' fleets, or seesAll.
func (r replay) run(policy string) result {
	s := &simulation{replay: r, random: rand.New(rand.NewPCG(r.Seed, 1))}
	zones := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = z[:1]
	}
	oneWay := func(a, b string) time.Duration {
		if a[:1] != b[:1] {
			return 8 * time.Millisecond
		}
		return 900 * time.Microsecond
	}
	var servers []tanagerroad.Announcement
	index := map[string]int{}
	for i := range r.Servers {
		id := fmt.Sprintf("engine-%d-%d", r.Seed, i)
		index[id] = i
		servers = append(servers, tanagerroad.Announcement{ID: id, Pool: "m", Address: id, Zone: zones[i%len(zones)], Slots: engineSlots})
		s.engines = append(s.engines, &engine{s: s, used: map[int]int{}})
	}
	gateways := make([]*fleet.Fleet, r.Gateways)
	for i := range gateways {
		gateways[i] = fleet.New(regions)
		if policy != seesAll {
			gateways[i].SetBalance(policy)
		}
		gateways[i].Update(servers)
	}
	part := drawer(s.random, parts, r.Skew)
	under := make([]int, r.Servers) // on their way
	var out result
	var firsts []time.Duration
	var ratios []float64
	request := func() {
		g := s.random.IntN(r.Gateways)
		if r.Third && s.random.IntN(3) == 0 {
			g = 0
		}
		zone := zones[g%len(zones)]
		j := &job{part: part(), own: 200 + s.random.IntN(1200), left: 60 + s.random.IntN(300)}
		if s.random.Float64() < longShare {
			j.left = 300 + s.random.IntN(1200)
		}
		j.left = int(float64(j.left) * r.Output)
		tie, arrived := s.random.Uint64(), s.now
		prompt := []tanagerroad.PromptPart{{ID: fmt.Sprint("shared-", j.part), Tokens: sharedTokens}, {ID: fmt.Sprint("own-", tie), Tokens: j.own}}
		var choice fleet.Choice
		if policy == seesAll {
			candidates := make([]balance.Candidate, len(servers))
			for i := range candidates {
				candidates[i] = balance.Candidate{Load: float64(s.engines[i].load() + under[i]), Slots: engineSlots, Home: true, Hash: balance.Hash(prompt[0].ID, servers[i].ID)}
			}
			choice.Announcement = servers[balance.Choose(candidates, nil, tie).Index]
		} else {
			choice, _ = gateways[g].Pick(s.now, fleet.Request{Pool: "m", From: tanagerroad.Place{Zone: zone, Region: zone[:1]}, PromptParts: prompt, TieBreak: tie})
		}
		i := index[choice.ID]
		way := oneWay(zone, choice.Zone)
		inBurst := arrived >= burstFrom && arrived < burstTo
		j.first = func() {
			e := s.engines[i]
			report := [2]int{len(e.reading) + len(e.writing) + 1, len(e.waiting)}
			if age := r.AgeMs[0] + s.random.IntN(r.AgeMs[1]-r.AgeMs[0]+1); age > 0 {
				report = e.loads[max(0, len(e.loads)-1-age/int(loadInterval.Milliseconds()))]
			}
			s.after(way, func() {
				if inBurst {
					firsts = append(firsts, s.now-arrived)
				}
				if policy != seesAll {
					gateways[g].RecordAnswer(s.now, choice.ID, fleet.Outcome{Latency: s.now - arrived, Running: report[0], Queued: report[1], Slots: engineSlots, InFlight: choice.InFlight})
				}
			})
		}
		j.end = func() {
			s.after(way, func() { gateways[g].RecordEnd(s.now, choice.ID, fleet.Outcome{}) })
		}
		under[i]++
		s.after(way, func() { under[i]--; s.engines[i].start(j) })
	}
	var arrive func()
	arrive = func() {
		request()
		rate := r.Rate * float64(r.Servers)
		if s.now >= burstFrom && s.now < burstTo {
			rate *= r.Burst
		}
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	var record func()
	record = func() {
		for _, e := range s.engines {
			e.loads = append(e.loads, [2]int{len(e.reading) + len(e.writing), len(e.waiting)})
		}
		s.after(loadInterval, record)
	}
	record()
	var sample func()
	sample = func() {
		if s.now >= burstFrom+time.Second && s.now < burstTo {
			sum, busiest := 0, 0
			for _, e := range s.engines {
				sum, busiest = sum+e.load(), max(busiest, e.load())
			}
			mean := float64(sum) / float64(r.Servers)
			out.Mean += mean
			ratios = append(ratios, float64(busiest)/mean)
		}
		s.after(100*time.Millisecond, sample)
	}
	sample()
	for s.now < replayEnd {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	slices.Sort(firsts)
	for _, f := range firsts {
		out.FirstMean += f / time.Duration(len(firsts))
	}
	for _, ratio := range ratios {
		out.Ratio += ratio / float64(len(ratios))
	}
	slices.Sort(ratios)
	out.Mean /= float64(len(ratios))
	out.RatioP95 = ratios[len(ratios)*95/100]
	out.FirstP99 = firsts[len(firsts)*99/100]
	out.ReadAgain = float64(s.sharedRead-parts*sharedTokens) / 1e6
	return out
}
