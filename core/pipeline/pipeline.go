// Package pipeline tracks the stages that one request runs before it is executed
// itself: which stages can start, by when each must end, and which results the
// request reads.
package pipeline

import (
	"slices"
	"time"

	"tanagerroad"
)

const (
	// DefaultRequestTime is Config.RequestTime while none has been measured.
	DefaultRequestTime = 150 * time.Millisecond
	// queueTime is reserved for the queueing of each stage, besides its call.
	queueTime = 100 * time.Millisecond
	// minRequestTime is the shortest execution time of the request.
	minRequestTime = 30 * time.Millisecond
	// largeResult is the size, in bytes, from which results are worth releasing
	// early, since they use up the memory of the backend servers.
	largeResult = 32 << 10
	// maxRestarts is how often the stages are run again after lost results.
	maxRestarts = 2
)

// Config describes one request.
type Config struct {
	Stages []tanagerroad.CatalogStage
	Pieces []int // number of pieces by stage; a stage without pieces is skipped
	// Traits returns the traits of a pool, or nil if there is no such pool.
	Traits       func(pool string) *tanagerroad.PieceTraits
	ExpectedZone string        // zone in which the request will likely be executed; empty: any
	Due          time.Duration // latest end of the request that meets its latency objective
	Deadline     time.Duration // latest end of the request
	RequestTime  time.Duration // usual time from the end of the last stage to the answer; 0: DefaultRequestTime
}

// Job is a stage that is ready to run.
type Job struct {
	Stage          int
	Pool           string
	Pieces         []int
	Inputs         []string      // handles of the results the stage reads
	Due            time.Duration // latest end that still meets the latency objective
	Deadline       time.Duration // latest end that still meets the request's deadline
	LatestStart    time.Duration // latest start of its last call that still meets the deadline
	Bytes          int           // size of one result
	LastUse        bool          // the inputs are large and no other stage reads them
	Zone           string        // where the stage transfers the fewest bytes between zones; empty: any
	CrossZoneBytes int           // bytes transferred between zones if executed outside Zone
}

type result struct {
	handle, zone string
}

type stage struct {
	started bool
	results []result // by piece; the handle is empty until there is a result
	missing int      // pieces without a result
}

// Pipeline is the progress of one request.
type Pipeline struct {
	config     Config
	stages     []stage
	usualAfter []time.Duration // usual time from a stage's end to the request's, by stage
	leastAfter []time.Duration // least time from a stage's end to the request's, by stage
	restarts   int
}

// New returns a pipeline of which no stage has started.
func New(config Config) *Pipeline {
	if config.RequestTime <= 0 {
		config.RequestTime = DefaultRequestTime
	}
	p := &Pipeline{config: config}
	p.reset()
	p.usualAfter = p.timeAfter(func(t *tanagerroad.PieceTraits) time.Duration {
		return t.CallTime + time.Duration(t.MaxBatch/2)*t.PieceTime + queueTime
	}, config.RequestTime)
	p.leastAfter = p.timeAfter(func(t *tanagerroad.PieceTraits) time.Duration { return t.CallTime + t.PieceTime }, minRequestTime)
	return p
}

// pieces returns the number of pieces of a stage.
func (p *Pipeline) pieces(i int) int {
	if i < len(p.config.Pieces) {
		return p.config.Pieces[i]
	}
	return 0
}

// reset drops all results and marks all stages as not started.
func (p *Pipeline) reset() {
	p.stages = make([]stage, len(p.config.Stages))
	for i := range p.stages {
		p.stages[i] = stage{results: make([]result, p.pieces(i)), missing: p.pieces(i)}
	}
}

// timeAfter returns, for each stage, the duration of the longest chain of stages
// after it, given the cost of a stage and the execution time of the request.
func (p *Pipeline) timeAfter(cost func(*tanagerroad.PieceTraits) time.Duration, request time.Duration) []time.Duration {
	out := make([]time.Duration, len(p.stages))
	for i := range out {
		out[i] = request
	}
	for range p.stages { // repeated, since stages are listed in any order
		for i, s := range p.config.Stages {
			own := time.Duration(0)
			if traits := p.config.Traits(s.Pool); traits != nil && p.pieces(i) > 0 {
				own = cost(traits)
			}
			for _, input := range s.After {
				out[input] = max(out[input], out[i]+own)
			}
		}
	}
	return out
}

// PieceCounts returns the number of pieces that the request runs in each pool.
func (p *Pipeline) PieceCounts() map[string]int {
	out := map[string]int{}
	for i, s := range p.config.Stages {
		if n := p.pieces(i); n > 0 {
			out[s.Pool] += n
		}
	}
	return out
}

// CriticalPath lists the pools on the critical path, the chain of stages that
// takes longest.
func (p *Pipeline) CriticalPath() []string {
	var out []string
	current := -1
	for range p.stages { // a chain has each stage once; stages in a circle would go on
		next := -1
		for i, s := range p.config.Stages {
			follows := current < 0 && len(s.After) == 0 || current >= 0 && slices.Contains(s.After, current)
			if follows && (next < 0 || p.usualAfter[i] > p.usualAfter[next] || p.usualAfter[i] == p.usualAfter[next] && p.pieces(i) > p.pieces(next)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		if p.pieces(next) > 0 {
			out = append(out, p.config.Stages[next].Pool)
		}
		current = next
	}
	return out
}

// StagesDue returns the latest end of all stages with which the request meets
// its latency objective.
func (p *Pipeline) StagesDue() time.Duration { return p.config.Due - p.config.RequestTime }

// StagesDeadline returns the latest end of all stages with which the request
// meets its deadline.
func (p *Pipeline) StagesDeadline() time.Duration { return p.config.Deadline - minRequestTime }

// Ready starts the stages whose inputs are complete. It returns each stage only
// once.
func (p *Pipeline) Ready() []Job {
	var out []Job
	for i, s := range p.config.Stages {
		if p.stages[i].started || p.pieces(i) == 0 || !p.inputsComplete(i) {
			continue
		}
		p.stages[i].started = true
		job := Job{
			Stage: i, Pool: s.Pool, Bytes: s.Bytes, LastUse: true,
			Due: p.config.Due - p.usualAfter[i], Deadline: p.config.Deadline - p.leastAfter[i],
		}
		job.LatestStart = job.Deadline
		if traits := p.config.Traits(s.Pool); traits != nil {
			job.LatestStart -= traits.CallTime + traits.PieceTime
		}
		for n := range p.pieces(i) {
			job.Pieces = append(job.Pieces, n)
		}
		for _, input := range s.After {
			job.Inputs = append(job.Inputs, p.stageHandles(input)...)
			job.LastUse = job.LastUse && p.dependents(input) == 1 && p.config.Stages[input].Bytes >= largeResult
		}
		job.Zone, job.CrossZoneBytes = p.preferredZone(i)
		out = append(out, job)
	}
	return out
}

// preferredZone returns the zone that a stage exchanges the most bytes with, and
// how many. Running the stage there saves the transfer of these bytes between
// zones. Each piece reads all inputs, and the request reads the results of the
// final stages.
func (p *Pipeline) preferredZone(i int) (zone string, bytes int) {
	transfers := map[string]int{}
	for _, input := range p.config.Stages[i].After {
		for _, r := range p.stages[input].results {
			transfers[r.zone] += p.config.Stages[input].Bytes * p.pieces(i)
		}
	}
	if !p.hasDependents(i) && p.config.ExpectedZone != "" {
		transfers[p.config.ExpectedZone] += p.config.Stages[i].Bytes * p.pieces(i)
	}
	for z, b := range transfers {
		if b > bytes || b == bytes && z < zone {
			zone, bytes = z, b
		}
	}
	return zone, bytes
}

func (p *Pipeline) inputsComplete(i int) bool {
	return !slices.ContainsFunc(p.config.Stages[i].After, func(input int) bool { return p.stages[input].missing > 0 })
}

func (p *Pipeline) stageHandles(i int) []string {
	var out []string
	for _, r := range p.stages[i].results {
		if r.handle != "" {
			out = append(out, r.handle)
		}
	}
	return out
}

// AddResult records the result of a piece. It returns false, and keeps the
// earlier result, if the piece has one already.
func (p *Pipeline) AddResult(stage, piece int, handle, zone string) bool {
	if stage >= len(p.stages) || piece >= len(p.stages[stage].results) || p.stages[stage].results[piece].handle != "" {
		return false
	}
	p.stages[stage].results[piece] = result{handle, zone}
	p.stages[stage].missing--
	return true
}

// Done reports whether all stages are complete.
func (p *Pipeline) Done() bool {
	return !slices.ContainsFunc(p.stages, func(s stage) bool { return s.missing > 0 })
}

// Restart resets all stages after results were lost and returns the handles of
// the results to release. It returns false if the limit of restarts is reached.
func (p *Pipeline) Restart() (dropped []string, ok bool) {
	dropped = p.Handles()
	if p.restarts >= maxRestarts {
		return dropped, false
	}
	p.restarts++
	p.reset()
	return dropped, true
}

// Handles lists the handles of all results.
func (p *Pipeline) Handles() []string {
	var out []string
	for i := range p.stages {
		out = append(out, p.stageHandles(i)...)
	}
	return out
}

// RequestInputs lists the handles of the results that the request itself reads,
// those of the final stages.
func (p *Pipeline) RequestInputs() []string {
	var out []string
	for i := range p.stages {
		if !p.hasDependents(i) {
			out = append(out, p.stageHandles(i)...)
		}
	}
	return out
}

// hasDependents reports whether another stage reads the results of the stage,
// that is, whether it isn't a final one.
func (p *Pipeline) hasDependents(i int) bool {
	return slices.ContainsFunc(p.config.Stages, func(s tanagerroad.CatalogStage) bool { return slices.Contains(s.After, i) })
}

// dependents counts the stages with pieces that read the results of the stage.
func (p *Pipeline) dependents(i int) int {
	n := 0
	for j, s := range p.config.Stages {
		if slices.Contains(s.After, i) && p.pieces(j) > 0 {
			n++
		}
	}
	return n
}

// ReleasableResults lists the handles of results that are no longer needed,
// because all stages that read them are complete.
func (p *Pipeline) ReleasableResults() []string {
	var out []string
	for i := range p.stages {
		if p.hasDependents(i) && p.dependentsComplete(i) {
			out = append(out, p.stageHandles(i)...)
		}
	}
	return out
}

func (p *Pipeline) dependentsComplete(i int) bool {
	for j, s := range p.config.Stages {
		if slices.Contains(s.After, i) && p.stages[j].missing > 0 {
			return false
		}
	}
	return true
}

// RequestInputBytes returns the total size, in bytes, of the results that the
// request itself reads, by the zone where they are stored.
func (p *Pipeline) RequestInputBytes() map[string]int {
	out := map[string]int{}
	for i := range p.stages {
		if p.hasDependents(i) {
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
