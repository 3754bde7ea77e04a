package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/event"
	"tanagerroad/core/pipeline"
	"tanagerroad/core/quantile"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/shard"
	"tanagerroad/core/wire"
)

const (
	// maxOwnerLosses is how many times a request submits a job again, to the next
	// owner, because its owner was lost.
	maxOwnerLosses = 3
	// maxRefusals is how many shards may refuse a request before it is refused.
	maxRefusals = 2
	// requestTimeQuantile is the fraction of requests that are answered within the time
	// reserved for them after their stages, requestTimeStep how fast that is learned.
	requestTimeQuantile = 0.7
	requestTimeStep     = 100 * time.Millisecond
	// maxRequestShare is the most of the latency objective that is reserved so, in percent.
	maxRequestShare = 40
)

// requestTime returns the usual time from sending a route's request, after its stages, to
// the first byte of the answer. g.mu must be held.
func (g *Gateway) requestTime(route string) time.Duration {
	if e := g.requestTimes[route]; e != nil {
		return e.Value()
	}
	return pipeline.DefaultRequestTime
}

// recordRequestTime records such a time. g.mu must be held.
func (g *Gateway) recordRequestTime(route string, d time.Duration) {
	e := g.requestTimes[route]
	if e == nil {
		e = quantile.New(requestTimeQuantile, requestTimeStep, pipeline.DefaultRequestTime)
		g.requestTimes[route] = e
	}
	e.Add(d)
}

// stageRun runs the stages of one request.
type stageRun struct {
	x           *exchange
	pipeline    *pipeline.Pipeline
	results     chan *wire.PieceResult
	jobs        map[uint64]*stageJob // submitted and not ended, by job number
	home        string               // zone where the results will be read
	released    map[string]bool      // handles of released results
	inputGone   bool                 // a backend server rejected the request because a stage result was gone
	ownerLosses int                  // owners lost
	admitted    bool                 // the admission request was sent

	anchor   shard.Anchor // selects the shards that execute the stages
	anchored bool
	refusals []string          // shards that have refused the request
	shards   map[string]string // where results were made, by handle
}

// stageJob is a submitted job: the pieces of one stage.
type stageJob struct {
	pipeline.Job
	submitted
	shard     string
	lastUse   bool // the owner releases the inputs
	remaining int  // pieces without an outcome
	started   time.Duration
}

func newStageRun(x *exchange) *stageRun {
	x.g.mu.Lock()
	zone := x.g.fleet.HomeZone(x.g.now(), x.pool, x.headers.PromptParts, x.regions)
	requestTime := x.g.requestTime(x.route.Name)
	x.g.mu.Unlock()
	// One result for each piece, and for each job and loss of an owner. The
	// factor of 3 covers the first run of the pipeline and its two restarts.
	// Sends must not block.
	bufferSize := (maxOwnerLosses+maxRefusals)*(1+len(x.route.Stages)) + x.pieces()
	home := zone
	if home == "" {
		home = x.g.config.Settings.Zone
	}
	return &stageRun{
		x: x, home: home, results: make(chan *wire.PieceResult, bufferSize*3), jobs: map[uint64]*stageJob{}, released: map[string]bool{}, shards: map[string]string{},
		pipeline: pipeline.New(pipeline.Config{
			Stages: x.route.Stages, Pieces: x.headers.PieceCounts, ExpectedZone: zone, Due: x.arrived + x.route.LatencyObjective, Deadline: x.deadline,
			RequestTime: min(requestTime, maxRequestShare*x.route.LatencyObjective/100),
			Traits: func(pool string) *tanagerroad.PieceTraits {
				if p := x.index.Pool(pool); p != nil {
					return p.Pieces
				}
				return nil
			},
		}),
	}
}

// run executes all stages. If that fails it sets the exchange's reason and
// returns false.
func (s *stageRun) run() bool {
	for !s.pipeline.Done() {
		for _, job := range s.pipeline.Ready() {
			s.submit(job)
		}
		hopeless := time.NewTimer(s.lastMoment() - s.x.g.now())
		select {
		case <-hopeless.C:
			if s.tooLate() {
				s.x.reason = "the stages cannot be made in time any more"
				return false
			}
		case <-s.x.ctx.Done():
			s.x.reason = "the stages were not made in time"
			return false
		case result := <-s.results:
			if !s.handleResult(result) {
				hopeless.Stop()
				return false
			}
		}
		hopeless.Stop()
	}
	return true
}

// refusalTime is reserved for a refusal to reach the caller while another try may still
// succeed.
const refusalTime = 20 * time.Millisecond

// minRecheck is the shortest time between two checks of whether jobs are too late.
const minRecheck = 5 * time.Millisecond

// lastMoment returns when to check next whether a job is too late.
func (s *stageRun) lastMoment() time.Duration {
	now := s.x.g.now()
	next := s.x.deadline
	for _, job := range s.jobs {
		moment := job.LatestStart - refusalTime
		if now >= moment {
			moment = job.Deadline
		}
		next = min(next, moment)
	}
	return max(next, now+minRecheck)
}

// tooLate reports whether a job can't be made in time any more: its owner has not even
// accepted it when its last call would have to start, or it has not ended when it would
// have to.
func (s *stageRun) tooLate() bool {
	now := s.x.g.now()
	for _, job := range s.jobs {
		if now >= job.Deadline || now >= job.LatestStart-refusalTime && !job.accepted() {
			return true
		}
	}
	return false
}

// place returns the shard that executes a stage. The first stage decides where the
// request is made: near the backend server that will read the results, if it is known.
func (s *stageRun) place(job pipeline.Job) string {
	if !s.anchored {
		s.anchor, _ = s.x.g.owners.chooseShard(s.x.headers.AttemptID, job.Pool, s.home, s.refusals, s.x.regions)
		s.anchored = true
	}
	return s.x.g.owners.plan().Shard(job.Pool, s.anchor, s.x.regions)
}

// admission returns the request for admission, which describes all stages. It
// goes to the owner with the first job; afterwards admission returns nil.
func (s *stageRun) admission(now time.Duration) *wire.Admission {
	if s.admitted {
		return nil
	}
	s.admitted = true
	a := &wire.Admission{
		Subject: s.x.subject(), Chain: s.pipeline.CriticalPath(), Rank: int32(s.x.route.Priority),
		Workspace: s.x.workspace, Priority: int32(s.x.priority),
		LeftMillis: (s.pipeline.StagesDeadline() - now).Milliseconds(), SlackMillis: (s.pipeline.StagesDue() - now).Milliseconds(),
	}
	for pool, pieces := range s.pipeline.PieceCounts() {
		a.Demands = append(a.Demands, &wire.Demand{Pool: pool, Pieces: uint32(pieces)})
	}
	return a
}

// submit sends the pieces of one stage to the owner.
func (s *stageRun) submit(job pipeline.Job) {
	x, now := s.x, s.x.g.now()
	j := &stageJob{Job: job, shard: s.place(job), remaining: len(job.Pieces), started: now}
	j.lastUse = job.LastUse && !slices.ContainsFunc(job.Inputs, func(handle string) bool { return s.shards[handle] != j.shard })
	message := &wire.PieceJob{
		Request: x.headers.AttemptID, Pool: job.Pool, Stage: uint32(job.Stage), Inputs: job.Inputs,
		LeftMillis: (job.Deadline - now).Milliseconds(), SlackMillis: (job.Due - now).Milliseconds(),
		Priority: int32(x.priority), ResultBytes: uint32(job.Bytes), Zone: job.Zone, PullBytes: uint32(job.CrossZoneBytes), LastUse: j.lastUse, Shard: j.shard, Begun: x.committed || x.headers.LastEventID != "",
		Cause: quarantine.PieceCause(x.causes[0], job.Pool, job.Stage).Fingerprint,
	}
	message.Regions, message.NoRegion = x.regions.Encode()
	if len(job.Inputs) == 0 {
		message.Key = x.headers.PieceKey
	}
	message.Admission = s.admission(now)
	for _, n := range job.Pieces {
		message.Pieces = append(message.Pieces, uint32(n))
	}
	x.trial.sent = x.trial.sent || x.isPieceTrial()
	j.submitted = x.g.owners.submit(message, func(result *wire.PieceResult) { s.results <- result })
	s.jobs[message.GetNumber()] = j
}

// handleResult processes a result. If the request cannot be completed it sets the
// exchange's reason and returns false.
func (s *stageRun) handleResult(result *wire.PieceResult) bool {
	x := s.x
	job, ok := s.jobs[result.GetNumber()]
	if !ok {
		return true
	}
	if wait := result.GetWaitMillis(); wait > 0 || result.GetRefused() == "" {
		x.g.owners.recordWait(job.shard, time.Duration(wait)*time.Millisecond)
	}
	if reason := result.GetRefused(); reason != "" {
		delete(s.jobs, result.GetNumber())
		s.logEnd(job, reason)
		lost := reason == reasonOwnerLost || reason == reasonShardEvacuated && s.place(job.Job) != job.shard
		if lost {
			s.admitted = len(job.Inputs) > 0 // the next owner decides anew, unless results of earlier stages exist
		}
		if lost && s.ownerLosses < maxOwnerLosses && x.deadline > x.g.now() {
			s.ownerLosses++
			s.submit(job.Job)
			return true
		}
		if s.moveOn(job) {
			return true
		}
		x.reason = "stage " + job.Pool + ": " + reason
		x.retryAfter = max(defaultRetryDelay, time.Duration(result.GetRetryMillis())*time.Millisecond)
		return false
	}
	failure := ""
	for _, piece := range result.GetPieces() {
		job.remaining--
		if piece.GetHandle() == "" {
			failure = piece.GetReason()
			continue
		}
		s.shards[piece.GetHandle()] = job.shard
		if !s.allowsZone(piece.GetZone()) { // of an owner that does not know of regions
			failure = reasonNotAllowed
			s.release([]string{piece.GetHandle()})
			continue
		}
		if !s.pipeline.AddResult(job.Stage, int(piece.GetPiece()), piece.GetHandle(), piece.GetZone()) {
			s.release([]string{piece.GetHandle()})
		}
	}
	if failure != "" {
		delete(s.jobs, result.GetNumber())
		job.cancel() // the rest of its pieces would be made in vain
		s.logEnd(job, failure)
		if failure == tanagerroad.PieceInputGone && s.restart() {
			return true
		}
		x.reason = "stage " + job.Pool + ": " + failure
		return false
	}
	if job.remaining == 0 {
		delete(s.jobs, result.GetNumber())
		x.g.owners.removePending(result.GetNumber())
		s.logEnd(job, "made")
		if job.lastUse { // the owner has released the inputs
			for _, handle := range job.Inputs {
				s.released[handle] = true
			}
		}
		s.release(s.pipeline.ReleasableResults())
	}
	return true
}

// moveOn submits a request that a shard has refused, and that has no results yet, to
// another shard. It returns false if none is left that is likely to admit it.
func (s *stageRun) moveOn(refused *stageJob) bool {
	if s.refusals = append(s.refusals, refused.shard); len(s.refusals) >= maxRefusals || len(s.shards) > 0 {
		return false
	}
	anchor, ok := s.x.g.owners.chooseShard(s.x.headers.AttemptID, refused.Pool, s.home, s.refusals, s.x.regions)
	if !ok {
		return false
	}
	again := []pipeline.Job{refused.Job}
	for _, job := range s.jobs {
		job.cancel()
		again = append(again, job.Job)
	}
	clear(s.jobs)
	s.anchor, s.admitted = anchor, false
	for _, job := range again {
		s.submit(job)
	}
	return true
}

// logEnd records the end of a job in the log and the metrics.
func (s *stageRun) logEnd(job *stageJob, outcome string) {
	now := s.x.g.now()
	event.StageEnded.Log(s.x.g.config.Logger, zap.String("request", s.x.headers.AttemptID), zap.Int("stage", job.Stage), zap.String("pool", job.Pool),
		zap.Int("pieces", len(job.Pieces)), zap.String("outcome", outcome), zap.Duration("took", now-job.started), zap.Duration("slack", job.Due-now))
	s.x.g.meters.observe("stages.time-ms", now-job.started)
}

// restart discards all results so that the stages run again. It returns false if
// the limit of restarts is reached.
func (s *stageRun) restart() bool {
	s.cancel()
	dropped, ok := s.pipeline.Restart()
	s.release(dropped)
	clear(s.released)
	return ok
}

// rerunIfNeeded runs the stages again if results that the next attempt needs are
// gone. It returns false if that fails.
func (s *stageRun) rerunIfNeeded(next attempt.Action) bool {
	if !s.inputGone && next != attempt.Resume && !s.requestInputReleased() {
		return true
	}
	s.inputGone = false
	return s.restart() && s.run()
}

// requestInputReleased reports whether a result that the request itself reads was
// released.
func (s *stageRun) requestInputReleased() bool {
	return slices.ContainsFunc(s.pipeline.RequestInputs(), func(handle string) bool { return s.released[handle] })
}

// release releases results that are no longer needed, each of them once.
func (s *stageRun) release(handles []string) {
	var unreleased []string
	for _, h := range handles {
		if !s.released[h] {
			s.released[h] = true
			unreleased = append(unreleased, h)
		}
	}
	if len(unreleased) > 0 {
		s.x.g.owners.releaseAll(unreleased, s.shards)
	}
}

// markReleased records results that the timer of releaseAfterFetch has released.
func (s *stageRun) markReleased(handles []string) {
	for _, h := range handles {
		s.released[h] = true
	}
}

// releaseAll releases all results. It is called when the backend server has fetched
// those that the request reads, and when the request ends.
func (s *stageRun) releaseAll() { s.release(s.pipeline.Handles()) }

// cancel cancels the jobs that have not ended.
func (s *stageRun) cancel() {
	for _, job := range s.jobs {
		job.cancel()
	}
	clear(s.jobs)
}

// close cancels the remaining jobs and releases all results.
func (s *stageRun) close() {
	s.cancel()
	s.releaseAll()
}
