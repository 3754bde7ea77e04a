// Package pipeline follows one request through the stages that come before it
// runs: which stages can start, by when each must end, and which results the
// request itself needs.
package pipeline

import (
	"slices"
	"time"

	"tanagerroad"
)

const (
	// engineTime is kept for the request itself after its last stage.
	engineTime = 150 * time.Millisecond
	// waitTime is kept for each stage's wait beside its call.
	waitTime = 100 * time.Millisecond
	// leastTime is the least that the request itself takes.
	leastTime = 30 * time.Millisecond
	// largeResult is the size, in bytes, from which room is short of results.
	largeResult = 32 << 10
	// restartsMost bounds how often stages are made again after results were
	// lost.
	restartsMost = 2
)

// Config is one request.
type Config struct {
	Stages   []tanagerroad.CatalogStage
	Pieces   []int // of each stage; a stage without pieces is left out
	Traits   func(pool string) *tanagerroad.PieceTraits
	Home     string        // zone in which the request itself will likely run; empty: any
	Aim      time.Duration // when the request is in time
	Deadline time.Duration
}

// Job is one stage to be made.
type Job struct {
	Stage    int
	Pool     string
	Pieces   []int
	Inputs   []string
	Due      time.Duration
	Deadline time.Duration
	Bytes    int
	LastUse  bool   // no other stage takes the inputs, and they take much room
	Zone     string // in which the fewest bytes would cross zones; empty: any
	Pull     int    // bytes that would cross if it is made elsewhere
}

type result struct {
	handle, zone string
}

type stage struct {
	started bool
	results []result // by piece; an empty handle is missing
	missing int
}

// Pipeline is the progress of one request.
type Pipeline struct {
	config   Config
	stages   []stage
	tails    []time.Duration // what follows a stage, at the usual speed
	shortest []time.Duration // what follows it at the least
	restarts int
}

// New returns a request with all its stages to be made.
func New(config Config) *Pipeline {
	p := &Pipeline{config: config}
	p.reset()
	p.tails = p.following(func(t *tanagerroad.PieceTraits) time.Duration {
		return t.Call + time.Duration(t.Batch/2)*t.Item + waitTime
	}, engineTime)
	p.shortest = p.following(func(t *tanagerroad.PieceTraits) time.Duration { return t.Call + t.Item }, leastTime)
	return p
}

func (p *Pipeline) count(i int) int {
	if i < len(p.config.Pieces) {
		return p.config.Pieces[i]
	}
	return 0
}

func (p *Pipeline) reset() {
	p.stages = make([]stage, len(p.config.Stages))
	for i := range p.stages {
		p.stages[i] = stage{results: make([]result, p.count(i)), missing: p.count(i)}
	}
}

// following sums the longest chain of stages that come after each.
func (p *Pipeline) following(cost func(*tanagerroad.PieceTraits) time.Duration, end time.Duration) []time.Duration {
	out := make([]time.Duration, len(p.stages))
	for i := range out {
		out[i] = end
	}
	for range p.stages { // stages may stand in any order
		for i, s := range p.config.Stages {
			own := time.Duration(0)
			if traits := p.config.Traits(s.Pool); traits != nil && p.count(i) > 0 {
				own = cost(traits)
			}
			for _, before := range s.After {
				out[before] = max(out[before], out[i]+own)
			}
		}
	}
	return out
}

// Demands is the number of pieces asked of each pool.
func (p *Pipeline) Demands() map[string]int {
	out := map[string]int{}
	for i, s := range p.config.Stages {
		if n := p.count(i); n > 0 {
			out[s.Pool] += n
		}
	}
	return out
}

// Chain lists the pools of the chain of stages that takes longest.
func (p *Pipeline) Chain() []string {
	var out []string
	at := -1
	for {
		next := -1
		for i, s := range p.config.Stages {
			follows := at < 0 && len(s.After) == 0 || at >= 0 && slices.Contains(s.After, at)
			if follows && (next < 0 || p.tails[i] > p.tails[next] || p.tails[i] == p.tails[next] && p.count(i) > p.count(next)) {
				next = i
			}
		}
		if next < 0 || len(out) > len(p.stages) {
			return out
		}
		if p.count(next) > 0 {
			out = append(out, p.config.Stages[next].Pool)
		}
		at = next
	}
}

// Due is when all stages must have ended for the request to be in time.
func (p *Pipeline) Due() time.Duration { return p.config.Aim - engineTime }

// End is when all stages must have ended at the latest.
func (p *Pipeline) End() time.Duration { return p.config.Deadline - leastTime }

// Ready returns the stages whose inputs are all made, once each.
func (p *Pipeline) Ready() []Job {
	var out []Job
	for i, s := range p.config.Stages {
		if p.stages[i].started || p.count(i) == 0 || !p.inputsMade(i) {
			continue
		}
		p.stages[i].started = true
		job := Job{
			Stage: i, Pool: s.Pool, Bytes: s.Bytes, LastUse: true,
			Due: p.config.Aim - p.tails[i], Deadline: p.config.Deadline - p.shortest[i],
		}
		for n := range p.count(i) {
			job.Pieces = append(job.Pieces, n)
		}
		for _, before := range s.After {
			job.Inputs = append(job.Inputs, p.handles(before)...)
			job.LastUse = job.LastUse && p.followers(before) == 1 && p.config.Stages[before].Bytes >= largeResult
		}
		job.Zone, job.Pull = p.pull(i)
		out = append(out, job)
	}
	return out
}

// pull is the zone that a stage is drawn to, and by how many bytes: each piece
// fetches all inputs for itself, and the request the results of the last stages.
func (p *Pipeline) pull(i int) (zone string, bytes int) {
	draw := map[string]int{}
	for _, before := range p.config.Stages[i].After {
		for _, r := range p.stages[before].results {
			draw[r.zone] += p.config.Stages[before].Bytes * p.count(i)
		}
	}
	if !p.followed(i) && p.config.Home != "" {
		draw[p.config.Home] += p.config.Stages[i].Bytes * p.count(i)
	}
	for z, b := range draw {
		if b > bytes || b == bytes && z < zone {
			zone, bytes = z, b
		}
	}
	return zone, bytes
}

func (p *Pipeline) inputsMade(i int) bool {
	return !slices.ContainsFunc(p.config.Stages[i].After, func(before int) bool { return p.stages[before].missing > 0 })
}

func (p *Pipeline) handles(i int) []string {
	var out []string
	for _, r := range p.stages[i].results {
		if r.handle != "" {
			out = append(out, r.handle)
		}
	}
	return out
}

// Made takes a result. One that is there already is kept; the second is
// reported as superfluous.
func (p *Pipeline) Made(stage, piece int, handle, zone string) bool {
	if stage >= len(p.stages) || piece >= len(p.stages[stage].results) || p.stages[stage].results[piece].handle != "" {
		return false
	}
	p.stages[stage].results[piece] = result{handle, zone}
	p.stages[stage].missing--
	return true
}

// Done reports whether all stages are made.
func (p *Pipeline) Done() bool {
	return !slices.ContainsFunc(p.stages, func(s stage) bool { return s.missing > 0 })
}

// Restart begins anew after results were lost; false when that was done often
// enough. It returns the results that are of no use any more.
func (p *Pipeline) Restart() (dropped []string, ok bool) {
	dropped = p.Handles()
	if p.restarts >= restartsMost {
		return dropped, false
	}
	p.restarts++
	p.reset()
	return dropped, true
}

// Handles lists all results made.
func (p *Pipeline) Handles() []string {
	var out []string
	for i := range p.stages {
		out = append(out, p.handles(i)...)
	}
	return out
}

// Inputs lists the results that the request itself needs: those of stages that
// no other stage follows.
func (p *Pipeline) Inputs() []string {
	var out []string
	for i := range p.stages {
		if !p.followed(i) {
			out = append(out, p.handles(i)...)
		}
	}
	return out
}

func (p *Pipeline) followed(i int) bool {
	return slices.ContainsFunc(p.config.Stages, func(s tanagerroad.CatalogStage) bool { return slices.Contains(s.After, i) })
}

func (p *Pipeline) followers(i int) int {
	n := 0
	for j, s := range p.config.Stages {
		if slices.Contains(s.After, i) && p.count(j) > 0 {
			n++
		}
	}
	return n
}

// Spent lists the results that nothing needs any more once the stage is made:
// those of stages before it that all that follow have taken.
func (p *Pipeline) Spent() []string {
	var out []string
	for i := range p.stages {
		if p.followed(i) && p.followersMade(i) {
			out = append(out, p.handles(i)...)
		}
	}
	return out
}

func (p *Pipeline) followersMade(i int) bool {
	for j, s := range p.config.Stages {
		if slices.Contains(s.After, i) && p.stages[j].missing > 0 {
			return false
		}
	}
	return true
}

// Results is the bytes of the request's own inputs, by the zone where they lie.
func (p *Pipeline) Results() map[string]int {
	out := map[string]int{}
	for i := range p.stages {
		if p.followed(i) {
			continue
		}
		for _, r := range p.stages[i].results {
			if r.handle != "" {
				out[r.zone] += p.config.Stages[i].Bytes
			}
		}
	}
	return out
}
