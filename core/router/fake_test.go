package router_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerroad"
	"tanagerroad/core/router"
	"tanagerroad/core/stage"
	"tanagerroad/core/table"
)

// The fake here stands at the interface of the decision code: it keeps virtual
// time, gives each backend server slots, a service time and a prefix cache, and
// lets the real desk and the real router decide everything else.

// scenario is one row of the comparison.
type scenario struct {
	name      string
	burst     float64       // factor for 30 s, from 40 s on
	straggler float64       // factor on one model server, from 20 s on
	zoneLost  bool          // from 40 s on
	reportLag time.Duration // beyond the usual
}

var scenarios = []scenario{
	{name: "calm"},
	{name: "burst 3x for 30 s", burst: 3},
	{name: "one straggler at 10x", straggler: 10},
	{name: "one zone lost", zoneLost: true},
	{name: "reports 2 s late", reportLag: 2 * time.Second},
}

// deployment is one operator's system at its size of today.
type deployment struct {
	name       string
	places     []tanagerroad.Place
	hop        [3]time.Duration // by distance, one way
	pools      []fakePool
	tables     *table.Tables
	rate       map[string]float64 // requests a second by route, over all entries
	workspaces map[string]float64 // share of the arrivals
}

type fakePool struct {
	name    string
	servers int
	slots   int
	service time.Duration
	engine  bool
}

const (
	span       = 90 * time.Second
	warm       = 5 * time.Second // not counted
	burstAt    = 40 * time.Second
	burstFor   = 30 * time.Second
	reportFor  = time.Second // between load reports
	silence    = 1500 * time.Millisecond
	noticeLoss = 4 * time.Second // a lost server leaves the directory
	bodyBytes  = 2 << 10
)

type fakeServer struct {
	server   tanagerroad.Server
	desk     *stage.Scheduler
	pool     fakePool
	factor   float64
	lost     bool
	running  int
	prefixes map[uint64]time.Duration
	waiting  map[tanagerroad.Key]*attempt
}

type attempt struct {
	request *request
	key     tanagerroad.Key
	sent    time.Duration
	server  *fakeServer
	waited  time.Duration
	done    bool
}

type request struct {
	id        int
	entry     *entry
	route     table.Route
	workspace string
	prefix    uint64
	arrived   time.Duration
	deadline  time.Duration
	stage     int
	attempts  int
	refusals  int
	exclude   []string
	expected  []time.Duration
}

type entry struct {
	place  tanagerroad.Place
	router *router.Router
}

// outcome is what one run measured.
type outcome struct {
	sent, attained, refused int
	latencies               []time.Duration
	cost                    float64
	regionBytes             int64
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type fake struct {
	d       deployment
	s       scenario
	policy  string
	now     time.Duration
	seq     int
	queue   events
	random  *rand.Rand
	entries []*entry
	servers []*fakeServer
	byID    map[string]*fakeServer
	out     outcome
	next    int
}

// oracle is the policy that is shown the true queues.
const oracle = "true queues"

func newFake(d deployment, s scenario, policy string, seed uint64) *fake {
	f := &fake{d: d, s: s, policy: policy, random: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*fakeServer{}}
	for _, p := range d.pools {
		for i := range p.servers {
			f.addServer(p, len(f.servers), i)
		}
	}
	named := policy
	if policy == oracle {
		named = "least-in-flight"
	}
	for i := range 3 {
		r, err := router.New(router.Config{Place: d.places[2*i], Policy: named, MaxInFlight: 1024, RetryRatio: 0.1, RetryBurst: 20})
		if err != nil {
			panic(err)
		}
		f.entries = append(f.entries, &entry{d.places[2*i], r})
		r.Step(0, router.Event{Kind: router.Tables, Tables: d.tables})
	}
	return f
}

func (f *fake) addServer(p fakePool, n, i int) {
	id := fmt.Sprintf("%s-%d", p.name, i)
	fs := &fakeServer{
		pool: p, factor: 1, prefixes: map[uint64]time.Duration{}, waiting: map[tanagerroad.Key]*attempt{},
		server: tanagerroad.Server{
			ID: id, Address: id, Pool: p.name, Capacity: p.slots, Place: f.d.places[n%len(f.d.places)], Generation: 1,
			State: tanagerroad.Serving, Models: f.d.tables.Pools[p.name].Models,
		},
		desk: stage.NewScheduler(stage.Config{Generation: 1, MaxQueued: 64, Retention: time.Second, OnceRetention: time.Second, MaxRetainedBytes: 1 << 30, MaxRetainedOnce: 1 << 20}),
	}
	fs.desk.Step(0, stage.Event{Kind: stage.Announce, Capacity: p.slots, State: tanagerroad.Serving})
	f.servers = append(f.servers, fs)
	f.byID[id] = fs
}

func (f *fake) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, do})
}

// run plays the whole span and returns what was measured.
func (f *fake) run() outcome {
	f.arrivals()
	f.report()
	if f.s.straggler > 0 {
		f.after(20*time.Second, func() { f.byID[f.d.pools[0].name+"-0"].factor = f.s.straggler })
	}
	if f.s.zoneLost {
		f.after(burstAt, f.loseZone)
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	return f.out
}

// arrivals puts every request in, by its route's rate. They depend on the seed
// alone, so that each policy meets the same.
func (f *fake) arrivals() {
	for _, name := range sortedKeys(f.d.rate) {
		for at := time.Duration(0); at < span; {
			rate := f.d.rate[name]
			if f.s.burst > 0 && at >= burstAt && at < burstAt+burstFor {
				rate *= f.s.burst
			}
			at += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
			f.next++
			r := &request{
				id: f.next, route: f.d.tables.Routes[name], workspace: f.workspace(), arrived: at,
				entry: f.entries[f.random.IntN(len(f.entries))], prefix: uint64(f.random.IntN(100)) + 1,
			}
			r.deadline = at + r.route.Deadline.D()
			f.seq++
			heap.Push(&f.queue, event{at, f.seq, func() { f.arrive(r) }})
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (f *fake) workspace() string {
	x := f.random.Float64()
	for _, w := range sortedKeys(f.d.workspaces) {
		if x -= f.d.workspaces[w]; x < 0 {
			return w
		}
	}
	return "others"
}

// report brings the servers' load to the entries, late.
func (f *fake) report() {
	var servers []tanagerroad.Server
	for _, fs := range f.servers {
		if fs.lost && f.now > burstAt+noticeLoss {
			continue
		}
		fs.server.Sequence++
		fs.server.Load = fs.desk.Load()
		servers = append(servers, fs.server)
	}
	for _, e := range f.entries {
		f.after(100*time.Millisecond+f.s.reportLag, func() {
			e.router.Step(f.now, router.Event{Kind: router.Servers, Servers: servers})
		})
	}
	if f.now < span+10*time.Second {
		f.after(reportFor, f.report)
	}
}

func (f *fake) loseZone() {
	for _, fs := range f.servers {
		fs.lost = fs.lost || fs.server.Place == f.d.places[1]
	}
}

func (f *fake) counted(r *request) bool { return r.arrived >= warm }

func (f *fake) arrive(r *request) {
	if f.counted(r) {
		f.out.sent++
	}
	v := r.entry.router.Step(f.now, router.Event{
		Kind: router.Admit, Route: r.route.Name, Workspace: r.workspace, Left: r.deadline - f.now, Seed: uint64(r.id),
	})
	if !v.OK {
		if f.counted(r) {
			f.out.refused++
		}
		return
	}
	r.expected = v.Expected
	f.pick(r, false)
}

func (f *fake) finish(r *request, onTime bool) {
	r.entry.router.Step(f.now, router.Event{Kind: router.Finish, Workspace: r.workspace, Route: r.route.Name, OnTime: onTime})
	if !f.counted(r) {
		return
	}
	if onTime {
		f.out.attained++
		f.out.latencies = append(f.out.latencies, f.now-r.arrived)
	}
}

func (f *fake) pick(r *request, extra bool) {
	var remaining time.Duration
	for _, d := range r.expected[r.stage:] {
		remaining += d
	}
	if f.now+remaining > r.deadline {
		f.finish(r, false)
		return
	}
	r.attempts++
	ask := router.Event{
		Kind: router.Pick, Route: r.route.Name, Stage: r.stage, Left: r.deadline - f.now, Bytes: bodyBytes, Prefix: r.prefix,
		From: r.entry.place, Exclude: r.exclude, Extra: extra, Seed: uint64(r.id)*97 + uint64(r.attempts),
	}
	chosen := ""
	if f.policy == oracle {
		chosen = f.best(r)
	} else if v := r.entry.router.Step(f.now, ask); v.OK {
		chosen = v.Choice.Server
	}
	if chosen == "" {
		f.finish(r, false)
		return
	}
	f.send(r, f.byID[chosen])
}

// best is the server that would finish first, by the true queues.
func (f *fake) best(r *request) string {
	best, least := "", math.MaxFloat64
	for _, fs := range f.servers {
		if fs.server.Pool != r.route.Stages[r.stage].Pool || fs.lost || slices.Contains(r.exclude, fs.server.ID) {
			continue
		}
		load := fs.desk.Load()
		hop := f.d.hop[r.entry.place.DistanceTo(fs.server.Place)]
		wait := max(0, float64(load.InFlight+load.Queued+1-fs.pool.slots)) / float64(fs.pool.slots)
		score := float64(f.serviceMean(fs, r.prefix))*(1+wait) + 2*float64(hop)
		if score < least {
			best, least = fs.server.ID, score
		}
	}
	return best
}

func (f *fake) hopTo(r *request, fs *fakeServer) time.Duration {
	return f.d.hop[r.entry.place.DistanceTo(fs.server.Place)]
}

func (f *fake) send(r *request, fs *fakeServer) {
	a := &attempt{
		request: r, sent: f.now, server: fs,
		key: tanagerroad.Key{Request: fmt.Sprint(r.id), Stage: r.stage, Attempt: r.attempts},
	}
	if r.entry.place.DistanceTo(fs.server.Place) == tanagerroad.OtherRegion {
		f.out.regionBytes += bodyBytes
	}
	f.after(f.hopTo(r, fs), func() {
		if fs.lost {
			f.after(f.hopTo(r, fs)+connectTime, func() { f.ended(a, false, true) })
			return
		}
		fs.waiting[a.key] = a
		f.act(fs, fs.desk.Step(f.now, stage.Event{Kind: stage.Submit, Key: a.key, Deadline: r.deadline, Expected: r.expected[r.stage]}))
	})
}

// connectTime is how long a connection to a lost server is tried.
const connectTime = time.Second

func (f *fake) act(fs *fakeServer, actions []stage.Action) {
	for _, act := range actions {
		a := fs.waiting[act.Key]
		switch act.Kind {
		case stage.Start:
			a.waited = act.Waited
			f.start(fs, a)
		case stage.Reject:
			f.after(f.hopTo(a.request, fs), func() { f.ended(a, false, true) })
		case stage.Release:
			delete(fs.waiting, act.Key)
		}
	}
}

// serviceMean is a server's service time for a prefix, with what runs beside.
func (f *fake) serviceMean(fs *fakeServer, prefix uint64) time.Duration {
	t := float64(fs.pool.service) * fs.factor * (1 + 0.5*float64(fs.running)/float64(fs.pool.slots))
	if at, ok := fs.prefixes[prefix]; ok && fs.pool.engine && f.now-at < time.Minute {
		t *= 0.6
	}
	return time.Duration(t)
}

func (f *fake) start(fs *fakeServer, a *attempt) {
	took := time.Duration(float64(f.serviceMean(fs, a.request.prefix)) * math.Exp(0.3*f.random.NormFloat64()))
	fs.running++
	fs.prefixes[a.request.prefix] = f.now
	f.out.cost += took.Seconds() * f.d.tables.Pools[fs.pool.name].Cost
	f.after(took, func() {
		fs.running--
		if fs.lost {
			return
		}
		f.act(fs, fs.desk.Step(f.now, stage.Event{Kind: stage.Finish, Key: a.key}))
		f.after(f.hopTo(a.request, fs), func() { f.ended(a, true, false) })
	})
	f.after(silence, func() { f.noticeSilence(a) })
}

// noticeSilence: a lost server sends nothing more, and its entry notices.
func (f *fake) noticeSilence(a *attempt) {
	if a.done {
		return
	}
	if a.server.lost {
		f.ended(a, false, false)
		return
	}
	f.after(silence, func() { f.noticeSilence(a) })
}

func (f *fake) ended(a *attempt, ok, refused bool) {
	if a.done {
		return
	}
	a.done = true
	r := a.request
	load := a.server.desk.Load()
	result := &tanagerroad.Result{
		Server: a.server.server.ID, Pool: a.server.server.Pool, Prefix: r.prefix, Service: f.now - a.sent, Waited: a.waited, OK: ok, Refused: refused,
	}
	if !a.server.lost {
		result.Load = &load
	}
	r.entry.router.Step(f.now, router.Event{Kind: router.Learn, Route: r.route.Name, Stage: r.stage, Result: result})
	switch {
	case f.now > r.deadline:
		f.finish(r, false)
	case !ok:
		r.exclude = append(r.exclude, a.server.server.ID)
		r.refusals++
		if r.refusals >= 4 { // as core/request has it
			f.finish(r, false)
			return
		}
		f.pick(r, !refused)
	case r.stage == len(r.route.Stages)-1:
		f.finish(r, true)
	default:
		if r.entry.place.DistanceTo(a.server.server.Place) == tanagerroad.OtherRegion {
			f.out.regionBytes += bodyBytes
		}
		r.stage++
		r.refusals, r.exclude = 0, nil
		f.pick(r, false)
	}
}
