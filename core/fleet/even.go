package fleet

import (
	"slices"
	"time"

	"tanagerroad/core/balance"
)

// evenLoad is a gateway's view of the load for balance.Even.
type evenLoad struct {
	pools      map[string]*balance.Pool
	current    *balance.Pool       // of the current pick
	candidates []balance.Candidate // of the current pick
	servers    []*server           // of the current pick
	positions  []int               // in candidates, by index in the pool's list; -1: no candidate
	shares     []balance.Share     // of the current pick
	version    uint64              // of the fleet at the latest pick
}

// SetBalance sets the policy by which Pick chooses: balance.Even or balance.LowestCost,
// the default.
func (f *Fleet) SetBalance(policy string) {
	f.even = nil
	if policy == balance.Even {
		f.even = &evenLoad{pools: map[string]*balance.Pool{}}
	}
}

func (e *evenLoad) pool(name string) *balance.Pool {
	p, ok := e.pools[name]
	if !ok {
		p = &balance.Pool{}
		e.pools[name] = p
	}
	return p
}

// Even holds the figures behind a choice by balance.Even.
type Even struct {
	Load float64 // estimated requests running and waiting there, without this one
	Mean float64 // that a backend server with as many slots has on average
	Rank int     // backend servers that come before it in the order of the shared prompt part
}

// addEven adds a candidate of the current pick.
func (f *Fleet) addEven(at time.Duration, s *server, req Request) {
	e := f.even
	part, shared := lastSharedPart(req.PromptParts), len(req.PromptParts) > 0
	req.PromptParts = nil // whether it is cached there is decided by the order of hashes
	cost, _ := f.cost(at, s, req, false)
	c := balance.Candidate{Load: s.load.Load(at, e.current, s.index, s.inFlight, s.Slots), Slots: s.Slots, Cost: cost - s.loadCost(at)}
	if shared {
		c.Hash, c.Home = balance.Hash(part, s.ID), f.mayBeHome(at, s)
	}
	e.positions[s.index] = len(e.candidates)
	e.candidates, e.servers = append(e.candidates, c), append(e.servers, s)
}

// mayBeHome reports whether a backend server may cache prompt parts, as in homeServer.
func (f *Fleet) mayBeHome(at time.Duration, s *server) bool {
	_, limited := f.Limit(s.Announcement)
	return at >= s.ejectedUntil && f.coldUntil(at, s.cold) == 0 && !limited && f.PausedUntil(at, s.Announcement) == 0
}

// beginEven begins a pick.
func (f *Fleet) beginEven(at time.Duration, req Request) {
	e := f.even
	if e.version != f.version {
		e.version = f.version
		for name, p := range e.pools {
			p.Discard()
			if len(f.pools[name]) == 0 {
				delete(e.pools, name)
			}
		}
		for _, list := range f.pools {
			for i, s := range list {
				s.index = i
			}
		}
	}
	list := f.pools[req.Pool]
	p := e.pool(req.Pool)
	e.current = p
	p.Count(lastSharedPart(req.PromptParts))
	if len(req.PromptParts) > 0 && p.Due(at) {
		var servers []balance.PlanServer
		for i, s := range list {
			if f.mayBeHome(at, s) {
				servers = append(servers, balance.PlanServer{Index: i, ID: s.ID, Slots: s.Slots})
			}
		}
		p.Make(at, len(list), servers)
	}
	e.candidates, e.servers = e.candidates[:0], e.servers[:0]
	e.positions = slices.Grow(e.positions[:0], len(list))[:len(list)]
	for i := range e.positions {
		e.positions[i] = -1
	}
}

// chooseEven chooses one of the candidates of the current pick.
func (f *Fleet) chooseEven(at time.Duration, req Request) (*server, time.Duration, int, *Even) {
	e := f.even
	e.shares = e.shares[:0]
	for _, share := range e.current.Shares(lastSharedPart(req.PromptParts)) {
		if share.Server = e.positions[share.Server]; share.Server >= 0 {
			e.shares = append(e.shares, share)
		}
	}
	d := balance.Choose(e.candidates, e.shares, req.TieBreak)
	s, c := e.servers[d.Index], e.candidates[d.Index]
	cost, cached := f.cost(at, s, req, c.Home && d.Rank == 0)
	return s, cost, cached, &Even{Load: c.Load, Mean: d.Mean * float64(max(1, s.Slots)), Rank: d.Rank}
}

// record records a load report. Requests that this gateway sent after the answered one may
// not be in it, so at most those in flight at that time are taken for own ones.
func (e *evenLoad) record(at time.Duration, s *server, o Outcome) {
	own := s.inFlight
	if o.InFlight > 0 {
		own = min(own, o.InFlight)
	}
	others := float64(max(0, o.Running+o.Queued-own)) / float64(max(1, s.Slots))
	s.load.Record(at, e.pool(s.Pool), s.index, others, s.Slots, o.WorkPercent)
}
