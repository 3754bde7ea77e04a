// Package router makes the decisions that need state shared by all requests of an
// entry: which requests are admitted, which backend server an attempt of a stage is
// sent to, whether the budget allows a retry or a hedge, and how long a stage is
// expected to take. A Router handles events one at a time and answers each with a
// verdict. It reads no clock and does no I/O.
package router

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/limit"
	"tanagerroad/core/pick"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/table"
)

// Config holds the settings of a router.
type Config struct {
	Policy      string  `json:"policy"`        // one of pick.Policies
	MaxInFlight int     `json:"max-in-flight"` // requests admitted and not ended
	RetryRatio  float64 `json:"retry-ratio"`   // retries and hedges allowed for each first attempt
	RetryBurst  float64 `json:"retry-burst"`   // size of the retry budget: retries and hedges it allows at once
}

// Event kinds.
const (
	Tables       = "tables"     // replaces the tables of routes and pools
	Servers      = "servers"    // replaces the list of backend servers
	Quarantine   = "quarantine" // replaces the states of quarantined fingerprints
	Admit        = "admit"      // asks whether a request is admitted
	Pick         = "pick"       // asks for a backend server for an attempt
	RecordResult = "learn"      // records the result of an attempt
	Finish       = "finish"     // records the end of an admitted request
	RecordLeave  = "leave"      // records that a server said in an answer that it takes no new work
)

// States of a quarantined fingerprint. A fingerprint is a hash of a request's route
// and body, or of the beginning of its body.
const (
	Suspect   = "suspect"   // may crash backend servers; its requests run alone
	Convicted = "convicted" // crashes backend servers; its requests are refused
)

// Event is an input of Router.Step. Each kind uses only some of the fields.
type Event struct {
	Kind              string                     `json:"kind"`
	Tables            *table.Tables              `json:"tables,omitempty"`
	Servers           []tanagerroad.Server       `json:"servers,omitempty"`
	Fingerprint       uint64                     `json:"fingerprint,omitempty"`
	FingerprintStates map[uint64]string          `json:"known,omitempty"` // Suspect or Convicted, by fingerprint
	Route             string                     `json:"route,omitempty"`
	Workspace         string                     `json:"workspace,omitempty"`
	Stage             int                        `json:"stage,omitempty"`   // index in the route
	Remaining         time.Duration              `json:"left,omitempty"`    // Admit: until the deadline
	InputBytes        int                        `json:"bytes,omitempty"`   // size of the input
	PrefixDigest      uint64                     `json:"prefix,omitempty"`  // result of the function PrefixDigest; 0: none
	InputPlace        tanagerroad.Place          `json:"from,omitzero"`     // where the input is stored
	Exclude           []string                   `json:"exclude,omitempty"` // ids of servers not to pick
	UseRetryBudget    bool                       `json:"extra,omitempty"`   // a retry or hedge; needs a token of the retry budget
	Seed              uint64                     `json:"seed,omitempty"`    // of the picker's random numbers and of retry-after jitter
	Result            *tanagerroad.AttemptResult `json:"result,omitempty"`
	OnTime            bool                       `json:"on-time,omitempty"` // the request met its deadline
	Leaving           *Leaving                   `json:"leaving,omitempty"` // RecordLeave
}

// Leaving says that a server takes no new work, as of its latest announcement then.
type Leaving struct {
	Server     string `json:"server"`
	Generation uint64 `json:"generation"`
	Sequence   uint64 `json:"sequence"`
}

// Verdict is the answer to an event. Only Admit and Pick can be refused.
type Verdict struct {
	OK            bool               `json:"ok"`
	Reason        string             `json:"reason,omitempty"`      // of a refusal
	RetryAfter    time.Duration      `json:"retry-after,omitempty"` // of a refusal: delay to suggest to the caller
	Alone         bool               `json:"alone,omitempty"`       // Admit: no other attempt may run beside the request's
	ExpectedTimes []time.Duration    `json:"expected,omitempty"`    // Admit: for each stage of the route
	Choice        tanagerroad.Choice `json:"choice,omitzero"`       // Pick
	Generation    uint64             `json:"generation,omitempty"`  // Pick: generation of the chosen server
	HedgeAfter    time.Duration      `json:"hedge-after,omitempty"` // Pick: when to hedge the attempt; 0: don't
}

// stageKey identifies a stage by its route and its index there.
type stageKey struct {
	route string
	stage int
}

// Router holds the state that an entry's requests share. It is not safe for
// concurrent use.
type Router struct {
	config       Config
	tables       *table.Tables
	servers      map[string]tanagerroad.Server // by id
	picker       tanagerroad.Picker
	retryBudget  *limit.Budget
	admission    *limit.Admission
	stageTimes   map[stageKey]*stageTime
	fingerprints map[uint64]string // Suspect or Convicted, by fingerprint
	leaving      map[string]mark   // by server id; of listed servers only
}

// mark is what a server said in an answer, until a later announcement says otherwise.
type mark struct {
	Leaving
	at time.Duration
}

// New returns a router with empty tables and without servers. It returns an error if
// the policy is unknown.
func New(config Config) (*Router, error) {
	r := &Router{
		config:      config,
		tables:      &table.Tables{},
		servers:     map[string]tanagerroad.Server{},
		retryBudget: limit.NewBudget(config.RetryRatio, config.RetryBurst),
		admission:   limit.NewAdmission(config.MaxInFlight),
		stageTimes:  map[stageKey]*stageTime{},
		leaving:     map[string]mark{},
	}
	picker, err := pick.New(config.Policy, r.price)
	if err != nil {
		return nil, fmt.Errorf("create the router's picker: %w", err)
	}
	r.picker = picker
	return r, nil
}

func (r *Router) price(pool string) pick.Price {
	p := r.tables.Pools[pool]
	return pick.Price{Zone: p.ZonePrice.Std(), Region: p.RegionPrice.Std(), PerKiB: p.KiBPrice.Std()}
}

// Route returns the route with the given name in the current tables.
func (r *Router) Route(name string) (table.Route, bool) {
	route, ok := r.tables.Routes[name]
	return route, ok
}

// HasWorkspace reports whether the current tables give a workspace a share.
func (r *Router) HasWorkspace(workspace string) bool {
	_, ok := r.tables.Shares[workspace]
	return ok
}

// InFlight returns the number of requests admitted and not ended, and the current
// limit on it.
func (r *Router) InFlight() (count, maximum int) { return r.admission.InFlight(), r.admission.Limit() }

// Step handles one event and returns the verdict.
func (r *Router) Step(at time.Duration, e Event) Verdict {
	switch e.Kind {
	case Tables:
		r.tables = e.Tables
		r.admission.SetShares(e.Tables.Shares)
	case Servers:
		r.observe(at, e.Servers)
	case Quarantine:
		r.fingerprints = e.FingerprintStates
	case Admit:
		return r.admit(at, e)
	case Pick:
		return r.pick(at, e)
	case RecordResult:
		r.recordResult(at, e)
	case Finish:
		r.finish(e)
	case RecordLeave:
		return Verdict{OK: r.recordLeave(at, *e.Leaving)}
	}
	return Verdict{OK: true}
}

func (r *Router) observe(at time.Duration, servers []tanagerroad.Server) {
	clear(r.servers)
	for _, s := range servers {
		r.servers[s.ID] = s
	}
	for id, m := range r.leaving {
		if s, listed := r.servers[id]; !listed || m.ended(s) {
			delete(r.leaving, id)
		}
	}
	r.picker.Observe(at, servers)
}

// ended reports whether s was announced after the server said that it leaves.
func (l Leaving) ended(s tanagerroad.Server) bool {
	return s.Newer(tanagerroad.Server{Generation: l.Generation, Sequence: l.Sequence})
}

// recordLeave marks a server as leaving. It reports false if the server is marked already,
// is not listed, or has announced itself since.
func (r *Router) recordLeave(at time.Duration, l Leaving) bool {
	s, listed := r.servers[l.Server]
	m, marked := r.leaving[l.Server]
	if !listed || l.ended(s) || marked && m.Generation == l.Generation && m.Sequence >= l.Sequence {
		return false
	}
	if !marked {
		m.at = at
	}
	r.leaving[l.Server] = mark{l, m.at}
	return !marked
}

// avoid returns the marked servers of a pool, and what they said.
func (r *Router) avoid(at time.Duration, pool string) (ids, said []string) {
	for _, id := range slices.Sorted(maps.Keys(r.leaving)) {
		if r.servers[id].Pool == pool {
			ids = append(ids, id)
			said = append(said, fmt.Sprintf("%s leaving, said %s ago", id, (at-r.leaving[id].at).Round(time.Millisecond)))
		}
	}
	return ids, said
}

// admit refuses a request if its route is unknown, its fingerprint or that of the
// beginning of its body is convicted, its
// deadline is too early for the expected times, or its workspace has used up its
// share. Otherwise it counts the request as in flight until finish.
func (r *Router) admit(at time.Duration, e Event) Verdict {
	route, ok := r.tables.Routes[e.Route]
	if !ok {
		return Verdict{Reason: "no such route"}
	}
	prefix := quarantine.PrefixCause(e.PrefixDigest)
	if r.fingerprints[e.Fingerprint] == Convicted || r.fingerprints[prefix.Fingerprint] == Convicted {
		return Verdict{Reason: "quarantined: requests like it crash backend servers", RetryAfter: limit.RetryAfter(quarantineRetry, e.Fingerprint)}
	}
	expected, total := r.expectedTimes(at, route)
	if total > e.Remaining {
		return Verdict{Reason: "its deadline cannot be met", RetryAfter: limit.RetryAfter(total-e.Remaining, e.Seed)}
	}
	if !r.admission.Admit(e.Workspace) {
		return Verdict{Reason: "as many requests are in flight as this workspace's share allows", RetryAfter: limit.RetryAfter(total, e.Seed)}
	}
	r.retryBudget.RecordFirst()
	return Verdict{OK: true, Alone: r.fingerprints[e.Fingerprint] == Suspect, ExpectedTimes: expected}
}

// quarantineRetry is the retry-after, before jitter, of requests with a convicted
// fingerprint.
const quarantineRetry = 30 * time.Second

// expectedTimes returns the expected time of each stage of a route, and their sum.
func (r *Router) expectedTimes(at time.Duration, route table.Route) ([]time.Duration, time.Duration) {
	var total time.Duration
	out := make([]time.Duration, len(route.Stages))
	for i, s := range route.Stages {
		out[i] = r.stageTime(route.Name, i).expected(at, s.Expected.Std())
		total += out[i]
	}
	return out, total
}

func (r *Router) stageTime(route string, stage int) *stageTime {
	key := stageKey{route, stage}
	t, ok := r.stageTimes[key]
	if !ok {
		t = &stageTime{}
		r.stageTimes[key] = t
	}
	return t
}

// pick chooses a server for an attempt. A retry or hedge first takes a token of the
// retry budget.
func (r *Router) pick(at time.Duration, e Event) Verdict {
	route := r.tables.Routes[e.Route]
	if e.Stage >= len(route.Stages) {
		return Verdict{Reason: "the route has lost this stage", RetryAfter: limit.RetryAfter(0, e.Seed)}
	}
	if e.UseRetryBudget && !r.retryBudget.TakeExtra() {
		return Verdict{Reason: "the retry budget is spent", RetryAfter: limit.RetryAfter(0, e.Seed)}
	}
	stage := route.Stages[e.Stage]
	req := tanagerroad.PickRequest{
		Pool: stage.Pool, Model: stage.Model, PrefixDigest: e.PrefixDigest, InputPlace: e.InputPlace, InputBytes: e.InputBytes,
		Exclude: e.Exclude, Seed: e.Seed,
	}
	avoid, said := r.avoid(at, stage.Pool)
	req.Avoid = avoid
	choice := r.picker.Pick(at, req)
	if !slices.Contains(avoid, choice.Server) {
		choice.Avoided = append(said, choice.Avoided...)
	}
	if choice.Server == "" {
		return Verdict{Reason: choice.Reason, RetryAfter: limit.RetryAfter(0, e.Seed), Choice: choice}
	}
	verdict := Verdict{OK: true, Choice: choice, Generation: r.servers[choice.Server].Generation}
	if r.tables.Pools[stage.Pool].Hedge {
		verdict.HedgeAfter = r.stageTime(e.Route, e.Stage).hedgeDelay()
	}
	return verdict
}

func (r *Router) recordResult(at time.Duration, e Event) {
	if e.Result.OK {
		r.stageTime(e.Route, e.Stage).add(at, e.Result.ServiceTime)
	}
	r.picker.Done(at, *e.Result)
}

// finish ends an admitted request and adjusts the admission limit: a late request
// lowers it.
func (r *Router) finish(e Event) {
	r.admission.Release(e.Workspace)
	if e.OnTime {
		r.admission.RaiseLimit()
		return
	}
	r.admission.LowerLimit()
}

// prefixBytes is the length of the start of an input that PrefixDigest hashes.
const prefixBytes = 256

// PrefixDigest returns a hash of an input's first bytes. Inputs with the same hash are
// assumed to profit from the same cache of a backend server. For inputs shorter than
// prefixBytes it returns 0, which stands for no prefix: caching them saves little.
func PrefixDigest(input []byte) uint64 {
	if len(input) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(input[:prefixBytes])
}
