// Package router holds the decisions that an entry's requests share: which to
// admit, which backend server takes a stage, whether a retry or a hedge may be
// afforded, and how long stages take. A Router takes events and returns
// verdicts; like every package under core it knows no clock and no socket.
package router

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/limit"
	"tanagerroad/core/pick"
	"tanagerroad/core/table"
)

// Config sets a router.
type Config struct {
	Place       tanagerroad.Place `json:"place"`
	Policy      string            `json:"policy"`
	MaxInFlight int               `json:"max-in-flight"`
	RetryRatio  float64           `json:"retry-ratio"` // extra attempts for each first attempt
	RetryBurst  float64           `json:"retry-burst"`
}

// Event kinds.
const (
	Tables     = "tables"
	Servers    = "servers"
	Quarantine = "quarantine"
	Admit      = "admit"
	Pick       = "pick"
	Learn      = "learn"
	Finish     = "finish"
)

// Verdict on a fingerprint.
const (
	Suspect   = "suspect"
	Convicted = "convicted"
)

// Event is something that the router is told or asked.
type Event struct {
	Kind        string               `json:"kind"`
	Tables      *table.Tables        `json:"tables,omitempty"`
	Servers     []tanagerroad.Server `json:"servers,omitempty"`
	Fingerprint uint64               `json:"fingerprint,omitempty"`
	Known       map[uint64]string    `json:"known,omitempty"` // fingerprint to suspect or convicted
	Route       string               `json:"route,omitempty"`
	Workspace   string               `json:"workspace,omitempty"`
	Stage       int                  `json:"stage,omitempty"`
	Left        time.Duration        `json:"left,omitempty"` // until the deadline
	Bytes       int                  `json:"bytes,omitempty"`
	Prefix      uint64               `json:"prefix,omitempty"`
	From        tanagerroad.Place    `json:"from,omitzero"`
	Exclude     []string             `json:"exclude,omitempty"`
	Extra       bool                 `json:"extra,omitempty"`
	Seed        uint64               `json:"seed,omitempty"`
	Result      *tanagerroad.Result  `json:"result,omitempty"`
	OnTime      bool                 `json:"on-time,omitempty"`
}

// Verdict answers an event.
type Verdict struct {
	OK         bool               `json:"ok"`
	Reason     string             `json:"reason,omitempty"`
	RetryAfter time.Duration      `json:"retry-after,omitempty"`
	Alone      bool               `json:"alone,omitempty"`
	Expected   []time.Duration    `json:"expected,omitempty"`
	Choice     tanagerroad.Choice `json:"choice,omitzero"`
	Generation uint64             `json:"generation,omitempty"`
	HedgeAfter time.Duration      `json:"hedge-after,omitempty"`
}

type stageKey struct {
	route string
	stage int
}

// Router is the state that an entry's requests share.
type Router struct {
	config  Config
	tables  *table.Tables
	servers map[string]tanagerroad.Server
	picker  tanagerroad.Picker
	budget  *limit.Budget
	shares  *limit.Admission
	times   map[stageKey]*stageTime
	known   map[uint64]string
}

// New returns a router that knows no tables and no servers.
func New(config Config) (*Router, error) {
	r := &Router{
		config:  config,
		tables:  &table.Tables{},
		servers: map[string]tanagerroad.Server{},
		budget:  limit.NewBudget(config.RetryRatio, config.RetryBurst),
		shares:  limit.NewAdmission(config.MaxInFlight),
		times:   map[stageKey]*stageTime{},
	}
	picker, err := pick.New(config.Policy, r.price)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	r.picker = picker
	return r, nil
}

func (r *Router) price(pool string) pick.Price {
	p := r.tables.Pools[pool]
	return pick.Price{Zone: p.ZonePrice.D(), Region: p.RegionPrice.D(), KiB: p.BytePrice.D()}
}

// Route is a route of the tables in force.
func (r *Router) Route(name string) (table.Route, bool) {
	route, ok := r.tables.Routes[name]
	return route, ok
}

// Listed reports whether the tables name a workspace.
func (r *Router) Listed(workspace string) bool {
	_, ok := r.tables.Shares[workspace]
	return ok
}

// InFlight is the number of requests admitted and not ended, and the limit.
func (r *Router) InFlight() (now, most int) { return r.shares.InFlight(), r.shares.Limit() }

// Step takes one event and returns the verdict on it.
func (r *Router) Step(at time.Duration, e Event) Verdict {
	switch e.Kind {
	case Tables:
		r.tables = e.Tables
		r.shares.SetShares(e.Tables.Shares)
	case Servers:
		r.observe(at, e.Servers)
	case Quarantine:
		r.known = e.Known
	case Admit:
		return r.admit(at, e)
	case Pick:
		return r.pick(at, e)
	case Learn:
		r.learn(at, e)
	case Finish:
		r.finish(e)
	}
	return Verdict{OK: true}
}

func (r *Router) observe(at time.Duration, servers []tanagerroad.Server) {
	clear(r.servers)
	for _, s := range servers {
		r.servers[s.ID] = s
	}
	r.picker.Observe(at, servers)
}

func (r *Router) admit(at time.Duration, e Event) Verdict {
	route, ok := r.tables.Routes[e.Route]
	if !ok {
		return Verdict{Reason: "no such route"}
	}
	if r.known[e.Fingerprint] == Convicted {
		return Verdict{Reason: "quarantined: requests like it crash backend servers", RetryAfter: limit.RetryAfter(quarantineRetry, e.Fingerprint)}
	}
	expected, total := r.expected(at, route)
	if total > e.Left {
		return Verdict{Reason: "its deadline cannot be met", RetryAfter: limit.RetryAfter(total-e.Left, e.Seed)}
	}
	if !r.shares.Admit(e.Workspace) {
		return Verdict{Reason: "as many requests are in flight as this workspace's share allows", RetryAfter: limit.RetryAfter(total, e.Seed)}
	}
	r.budget.RecordFirst()
	return Verdict{OK: true, Alone: r.known[e.Fingerprint] == Suspect, Expected: expected}
}

// quarantineRetry is when a caller of a convicted request may come back.
const quarantineRetry = 30 * time.Second

func (r *Router) expected(at time.Duration, route table.Route) ([]time.Duration, time.Duration) {
	var total time.Duration
	out := make([]time.Duration, len(route.Stages))
	for i, s := range route.Stages {
		out[i] = r.stageTime(route.Name, i).expect(at, s.Expected.D())
		total += out[i]
	}
	return out, total
}

func (r *Router) stageTime(route string, stage int) *stageTime {
	key := stageKey{route, stage}
	t, ok := r.times[key]
	if !ok {
		t = &stageTime{}
		r.times[key] = t
	}
	return t
}

func (r *Router) pick(at time.Duration, e Event) Verdict {
	route := r.tables.Routes[e.Route]
	if e.Stage >= len(route.Stages) {
		return Verdict{Reason: "the route has lost this stage", RetryAfter: limit.RetryAfter(0, e.Seed)}
	}
	if e.Extra && !r.budget.TakeExtra() {
		return Verdict{Reason: "the retry budget is spent", RetryAfter: limit.RetryAfter(0, e.Seed)}
	}
	stage := route.Stages[e.Stage]
	ask := tanagerroad.Ask{
		Pool: stage.Pool, Model: stage.Model, Prefix: e.Prefix, From: e.From, Bytes: e.Bytes,
		Left: e.Left, Exclude: e.Exclude, Seed: e.Seed,
	}
	choice := r.picker.Pick(at, ask)
	if choice.Server == "" {
		return Verdict{Reason: choice.Reason, RetryAfter: limit.RetryAfter(0, e.Seed), Choice: choice}
	}
	v := Verdict{OK: true, Choice: choice, Generation: r.servers[choice.Server].Generation}
	if r.tables.Pools[stage.Pool].Hedge {
		v.HedgeAfter = r.stageTime(e.Route, e.Stage).late()
	}
	return v
}

func (r *Router) learn(at time.Duration, e Event) {
	if e.Result.OK {
		r.stageTime(e.Route, e.Stage).learn(at, e.Result.Service)
	}
	r.picker.Done(at, *e.Result)
}

func (r *Router) finish(e Event) {
	r.shares.Release(e.Workspace)
	if e.OnTime {
		r.shares.RaiseLimit()
		return
	}
	r.shares.LowerLimit()
}

// prefixBytes is how much of an input names the cached prefix that it shares.
const prefixBytes = 256

// Prefix digests an input's start; 0 for inputs too short to be worth it.
func Prefix(input []byte) uint64 {
	if len(input) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(input[:prefixBytes])
}
