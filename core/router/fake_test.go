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

// This file simulates a deployment in virtual time. Each simulated backend server
// has slots, a service time and a prefix cache. Routing and admission are decided by
// the real router, and queueing at a backend server by the real stage.Scheduler.

// simScenario is a load or fault that the policies are compared under.
type simScenario struct {
	name      string
	burst     float64       // factor on the request rate, from 40 s to 70 s; 0: none
	straggler float64       // factor on the service time of one model server, from 20 s on; 0: none
	zoneLost  bool          // one availability zone fails at 40 s
	reportLag time.Duration // added to the delay of load reports
}

var scenarios = []simScenario{
	{name: "calm"},
	{name: "burst 3x for 30 s", burst: 3},
	{name: "one straggler at 10x", straggler: 10},
	{name: "one zone lost", zoneLost: true},
	{name: "reports 2 s late", reportLag: 2 * time.Second},
}

// simDeployment describes one operator's system at its current size.
type simDeployment struct {
	name       string
	places     []tanagerroad.Place
	latency    [3]time.Duration // one-way network latency, indexed by tanagerroad.Distance
	pools      []simPool
	tables     *table.Tables
	rate       map[string]float64 // requests per second by route, over all entries
	workspaces map[string]float64 // share of the requests, by workspace
}

type simPool struct {
	name    string
	servers int
	slots   int           // of each server
	service time.Duration // mean service time on an idle server without the prefix cached
	engine  bool          // a model engine: caches prefixes
}

const (
	arrivalPeriod    = 90 * time.Second        // requests arrive from 0 until then
	warmUp           = 5 * time.Second         // requests that arrive earlier are not measured
	faultAt          = 40 * time.Second        // start of a burst or loss of an availability zone
	burstLength      = 30 * time.Second        // how long a burst lasts
	reportInterval   = time.Second             // between load reports
	silenceInterval  = 1500 * time.Millisecond // interval at which an entry checks whether the server of a running attempt was lost
	directoryTimeout = 4 * time.Second         // after which a lost server is removed from the directory
	bodyBytes        = 2 << 10                 // of each input and each answer
)

type simServer struct {
	server    tanagerroad.Server
	scheduler *stage.Scheduler
	pool      simPool
	factor    float64 // on the service time
	lost      bool
	running   int
	prefixes  map[uint64]time.Duration // time of the last use
	attempts  map[tanagerroad.AttemptKey]*attempt
}

type attempt struct {
	request   *request
	key       tanagerroad.AttemptKey
	sentAt    time.Duration
	server    *simServer
	queueTime time.Duration
	ended     bool
}

type request struct {
	id        int
	entry     *entry
	route     table.Route
	workspace string
	prefix    uint64
	arrivedAt time.Duration
	deadline  time.Duration
	stage     int
	attempts  int
	refusals  int      // refused or failed attempts of the current stage
	exclude   []string // servers of those attempts
	expected  []time.Duration
}

// entry is a simulated entry.
type entry struct {
	place  tanagerroad.Place
	router *router.Router
}

// simOutcome holds the measurements of one run.
type simOutcome struct {
	sent, onTime, refused int
	latencies             []time.Duration // of requests that met their deadline
	cost                  float64         // busy seconds of the servers, weighted by the costs of their pools
	regionBytes           int64           // sent between regions
}

type event struct {
	at  time.Duration
	seq int // orders events of the same time
	run func()
}

// events is a heap of events, ordered by time.
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

// simulation runs one scenario with one policy. Its random numbers depend only on the
// seed.
type simulation struct {
	deployment  simDeployment
	scenario    simScenario
	policy      string
	now         time.Duration
	seq         int // of the latest event added
	queue       events
	random      *rand.Rand
	entries     []*entry
	servers     []*simServer
	serversByID map[string]*simServer
	outcome     simOutcome
	requests    int // number of requests created, and id of the latest
}

// oracle is a policy that sees the current queues of all servers. It shows what could
// be reached without delayed load reports.
const oracle = "true queues"

func newSimulation(d simDeployment, sc simScenario, policy string, seed uint64) *simulation {
	s := &simulation{deployment: d, scenario: sc, policy: policy, random: rand.New(rand.NewPCG(seed, 7)), serversByID: map[string]*simServer{}}
	for _, p := range d.pools {
		for i := range p.servers {
			s.addServer(p, len(s.servers), i)
		}
	}
	routerPolicy := policy
	if policy == oracle {
		routerPolicy = "least-in-flight"
	}
	for i := range 3 {
		r, err := router.New(router.Config{Policy: routerPolicy, MaxInFlight: 1024, RetryRatio: 0.1, RetryBurst: 20})
		if err != nil {
			panic(err)
		}
		s.entries = append(s.entries, &entry{d.places[2*i], r})
		r.Step(0, router.Event{Kind: router.Tables, Tables: d.tables})
	}
	return s
}

// addServer adds the i-th server of a pool, which is the n-th of all servers.
func (s *simulation) addServer(p simPool, n, i int) {
	id := fmt.Sprintf("%s-%d", p.name, i)
	srv := &simServer{
		pool: p, factor: 1, prefixes: map[uint64]time.Duration{}, attempts: map[tanagerroad.AttemptKey]*attempt{},
		server: tanagerroad.Server{
			ID: id, Address: id, Pool: p.name, Capacity: p.slots, Place: s.deployment.places[n%len(s.deployment.places)], Generation: 1,
			State: tanagerroad.Serving, Models: s.deployment.tables.Pools[p.name].Models,
		},
		scheduler: stage.NewScheduler(stage.Config{Generation: 1, MaxQueued: 64, Retention: time.Second, OnceRetention: time.Second, MaxRetainedBytes: 1 << 30, MaxRetainedOnce: 1 << 20}),
	}
	srv.scheduler.Step(0, stage.Event{Kind: stage.Announce, Capacity: p.slots, State: tanagerroad.Serving})
	s.servers = append(s.servers, srv)
	s.serversByID[id] = srv
}

// schedule runs a function d after the current time.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, run})
}

// run executes events until none are left, and returns the measurements.
func (s *simulation) run() simOutcome {
	s.scheduleArrivals()
	s.sendReports()
	if s.scenario.straggler > 0 {
		s.schedule(20*time.Second, func() { s.serversByID[s.deployment.pools[0].name+"-0"].factor = s.scenario.straggler })
	}
	if s.scenario.zoneLost {
		s.schedule(faultAt, s.loseZone)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.outcome
}

// scheduleArrivals creates all requests, at random times with the rate of their
// routes. It runs before any other use of random, so that the requests depend only on
// the seed and are the same for every policy.
func (s *simulation) scheduleArrivals() {
	for _, name := range sortedKeys(s.deployment.rate) {
		for at := time.Duration(0); at < arrivalPeriod; {
			rate := s.deployment.rate[name]
			if s.scenario.burst > 0 && at >= faultAt && at < faultAt+burstLength {
				rate *= s.scenario.burst
			}
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			s.requests++
			r := &request{
				id: s.requests, route: s.deployment.tables.Routes[name], workspace: s.randomWorkspace(), arrivedAt: at,
				entry: s.entries[s.random.IntN(len(s.entries))], prefix: uint64(s.random.IntN(100)) + 1,
			}
			r.deadline = at + r.route.Deadline.Std()
			s.seq++
			heap.Push(&s.queue, event{at, s.seq, func() { s.arrive(r) }})
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

func (s *simulation) randomWorkspace() string {
	x := s.random.Float64()
	for _, w := range sortedKeys(s.deployment.workspaces) {
		if x -= s.deployment.workspaces[w]; x < 0 {
			return w
		}
	}
	return "others"
}

// sendReports sends the list of servers and their loads to the entries, with a delay,
// and schedules the next report.
func (s *simulation) sendReports() {
	var servers []tanagerroad.Server
	for _, srv := range s.servers {
		if srv.lost && s.now > faultAt+directoryTimeout {
			continue
		}
		srv.server.Sequence++
		srv.server.Load = srv.scheduler.Load(s.now)
		servers = append(servers, srv.server)
	}
	for _, e := range s.entries {
		s.schedule(100*time.Millisecond+s.scenario.reportLag, func() {
			e.router.Step(s.now, router.Event{Kind: router.Servers, Servers: servers})
		})
	}
	if s.now < arrivalPeriod+10*time.Second {
		s.schedule(reportInterval, s.sendReports)
	}
}

func (s *simulation) loseZone() {
	for _, srv := range s.servers {
		srv.lost = srv.lost || srv.server.Place == s.deployment.places[1]
	}
}

// measured reports whether a request counts in the outcome.
func (s *simulation) measured(r *request) bool { return r.arrivedAt >= warmUp }

func (s *simulation) arrive(r *request) {
	if s.measured(r) {
		s.outcome.sent++
	}
	v := r.entry.router.Step(s.now, router.Event{
		Kind: router.Admit, Route: r.route.Name, Workspace: r.workspace, Remaining: r.deadline - s.now, Seed: uint64(r.id),
	})
	if !v.OK {
		if s.measured(r) {
			s.outcome.refused++
		}
		return
	}
	r.expected = v.ExpectedTimes
	s.pick(r, false)
}

func (s *simulation) finish(r *request, onTime bool) {
	r.entry.router.Step(s.now, router.Event{Kind: router.Finish, Workspace: r.workspace, Route: r.route.Name, OnTime: onTime})
	if !s.measured(r) {
		return
	}
	if onTime {
		s.outcome.onTime++
		s.outcome.latencies = append(s.outcome.latencies, s.now-r.arrivedAt)
	}
}

// pick chooses a server for the request's next attempt and sends the attempt there.
// It ends the request if the expected times of the remaining stages exceed the
// deadline, or if there is no server. useRetryBudget is set for a retry, which
// needs a token of the retry budget.
func (s *simulation) pick(r *request, useRetryBudget bool) {
	var remaining time.Duration
	for _, d := range r.expected[r.stage:] {
		remaining += d
	}
	if s.now+remaining > r.deadline {
		s.finish(r, false)
		return
	}
	r.attempts++
	e := router.Event{
		Kind: router.Pick, Route: r.route.Name, Stage: r.stage, InputBytes: bodyBytes, PrefixDigest: r.prefix,
		InputPlace: r.entry.place, Exclude: r.exclude, UseRetryBudget: useRetryBudget, Seed: uint64(r.id)*97 + uint64(r.attempts),
	}
	chosen := ""
	if s.policy == oracle {
		chosen = s.pickByQueues(r)
	} else if v := r.entry.router.Step(s.now, e); v.OK {
		chosen = v.Choice.Server
	}
	if chosen == "" {
		s.finish(r, false)
		return
	}
	s.send(r, s.serversByID[chosen])
}

// pickByQueues returns the server that would finish first according to the current
// queues, or "" if there is none.
func (s *simulation) pickByQueues(r *request) string {
	best, least := "", math.MaxFloat64
	for _, srv := range s.servers {
		if srv.server.Pool != r.route.Stages[r.stage].Pool || srv.lost || slices.Contains(r.exclude, srv.server.ID) {
			continue
		}
		load := srv.scheduler.Load(s.now)
		latency := s.deployment.latency[r.entry.place.DistanceTo(srv.server.Place)]
		wait := max(0, float64(load.InFlight+load.Queued+1-srv.pool.slots)) / float64(srv.pool.slots)
		score := float64(s.serviceTime(srv, r.prefix))*(1+wait) + 2*float64(latency)
		if score < least {
			best, least = srv.server.ID, score
		}
	}
	return best
}

// latencyTo returns the one-way network latency between a request's entry and a
// server.
func (s *simulation) latencyTo(r *request, srv *simServer) time.Duration {
	return s.deployment.latency[r.entry.place.DistanceTo(srv.server.Place)]
}

func (s *simulation) send(r *request, srv *simServer) {
	a := &attempt{
		request: r, sentAt: s.now, server: srv,
		key: tanagerroad.AttemptKey{Request: fmt.Sprint(r.id), Stage: r.stage, Attempt: r.attempts},
	}
	if r.entry.place.DistanceTo(srv.server.Place) == tanagerroad.OtherRegion {
		s.outcome.regionBytes += bodyBytes
	}
	s.schedule(s.latencyTo(r, srv), func() {
		if srv.lost {
			s.schedule(s.latencyTo(r, srv)+connectTimeout, func() { s.endAttempt(a, false, true) })
			return
		}
		srv.attempts[a.key] = a
		s.handleActions(srv, srv.scheduler.Step(s.now, stage.Event{Kind: stage.Submit, Key: a.key, Deadline: r.deadline, Expected: r.expected[r.stage]}))
	})
}

// connectTimeout limits how long an entry tries to connect to a lost server.
const connectTimeout = time.Second

func (s *simulation) handleActions(srv *simServer, actions []stage.Action) {
	for _, act := range actions {
		a := srv.attempts[act.Key]
		switch act.Kind {
		case stage.Start:
			a.queueTime = act.QueueTime
			s.start(srv, a)
		case stage.Reject:
			s.schedule(s.latencyTo(a.request, srv), func() { s.endAttempt(a, false, true) })
		case stage.Release:
			delete(srv.attempts, act.Key)
		}
	}
}

// serviceTime returns the mean time that a server takes for an input with the
// given prefix. Other running attempts slow it down; on a model engine, a prefix
// used in the last minute speeds it up.
func (s *simulation) serviceTime(srv *simServer, prefix uint64) time.Duration {
	t := float64(srv.pool.service) * srv.factor * (1 + 0.5*float64(srv.running)/float64(srv.pool.slots))
	if at, ok := srv.prefixes[prefix]; ok && srv.pool.engine && s.now-at < time.Minute {
		t *= 0.6
	}
	return time.Duration(t)
}

// start runs an attempt for a random time around the server's mean.
func (s *simulation) start(srv *simServer, a *attempt) {
	took := time.Duration(float64(s.serviceTime(srv, a.request.prefix)) * math.Exp(0.3*s.random.NormFloat64()))
	srv.running++
	srv.prefixes[a.request.prefix] = s.now
	s.outcome.cost += took.Seconds() * s.deployment.tables.Pools[srv.pool.name].Cost
	s.schedule(took, func() {
		srv.running--
		if srv.lost {
			return
		}
		s.handleActions(srv, srv.scheduler.Step(s.now, stage.Event{Kind: stage.Finish, Key: a.key}))
		s.schedule(s.latencyTo(a.request, srv), func() { s.endAttempt(a, true, false) })
	})
	s.schedule(silenceInterval, func() { s.checkSilence(a) })
}

// checkSilence ends an attempt as failed if its server was lost, since a lost server
// sends nothing. Otherwise it schedules the next check.
func (s *simulation) checkSilence(a *attempt) {
	if a.ended {
		return
	}
	if a.server.lost {
		s.endAttempt(a, false, false)
		return
	}
	s.schedule(silenceInterval, func() { s.checkSilence(a) })
}

// endAttempt reports an attempt's result to the router, and then retries, starts the
// next stage or ends the request.
func (s *simulation) endAttempt(a *attempt, ok, refused bool) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	load := a.server.scheduler.Load(s.now)
	result := &tanagerroad.AttemptResult{
		Server: a.server.server.ID, Pool: a.server.server.Pool, PrefixDigest: r.prefix, ServiceTime: s.now - a.sentAt, QueueTime: a.queueTime, OK: ok, Refused: refused,
	}
	if !a.server.lost {
		result.Load = &load
	}
	r.entry.router.Step(s.now, router.Event{Kind: router.RecordResult, Route: r.route.Name, Stage: r.stage, Result: result})
	switch {
	case s.now > r.deadline:
		s.finish(r, false)
	case !ok:
		r.exclude = append(r.exclude, a.server.server.ID)
		r.refusals++
		if r.refusals >= 4 { // maxRefusals of core/request
			s.finish(r, false)
			return
		}
		s.pick(r, !refused)
	case r.stage == len(r.route.Stages)-1:
		s.finish(r, true)
	default:
		if r.entry.place.DistanceTo(a.server.server.Place) == tanagerroad.OtherRegion {
			s.outcome.regionBytes += bodyBytes
		}
		r.stage++
		r.refusals, r.exclude = 0, nil
		s.pick(r, false)
	}
}
