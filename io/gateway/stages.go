package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/event"
	"tanagerroad/core/pipeline"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/wire"
)

// maxOwnerLosses is how many times a request submits a job again, to the next
// owner, because its owner was lost.
const maxOwnerLosses = 3

// stageRun runs the stages of one request.
type stageRun struct {
	x           *exchange
	pipeline    *pipeline.Pipeline
	results     chan *wire.PieceResult
	jobs        map[uint64]*stageJob // submitted and not ended, by job number
	released    map[string]bool      // handles of released results
	inputGone   bool                 // a backend server rejected the request because a stage result was gone
	ownerLosses int                  // owners lost
	admitted    bool                 // the admission request was sent
}

// stageJob is a submitted job: the pieces of one stage.
type stageJob struct {
	pipeline.Job
	cancel    func()
	remaining int // pieces without an outcome
	started   time.Duration
}

func newStageRun(x *exchange) *stageRun {
	x.g.mu.Lock()
	zone := x.g.fleet.HomeZone(x.g.now(), x.pool, x.headers.PromptParts)
	x.g.mu.Unlock()
	// One result for each piece, and for each job and loss of an owner. The
	// factor of 3 covers the first run of the pipeline and its two restarts.
	// Sends must not block.
	bufferSize := maxOwnerLosses * (1 + len(x.route.Stages))
	for _, n := range x.headers.PieceCounts {
		bufferSize += n
	}
	return &stageRun{
		x: x, results: make(chan *wire.PieceResult, bufferSize*3), jobs: map[uint64]*stageJob{}, released: map[string]bool{},
		pipeline: pipeline.New(pipeline.Config{
			Stages: x.route.Stages, Pieces: x.headers.PieceCounts, ExpectedZone: zone, Due: x.arrived + x.route.LatencyObjective, Deadline: x.deadline,
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
		select {
		case <-s.x.ctx.Done():
			s.x.reason = "the stages were not made in time"
			return false
		case result := <-s.results:
			if !s.handleResult(result) {
				return false
			}
		}
	}
	return true
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
	message := &wire.PieceJob{
		Request: x.headers.AttemptID, Pool: job.Pool, Stage: uint32(job.Stage), Inputs: job.Inputs,
		LeftMillis: (job.Deadline - now).Milliseconds(), SlackMillis: (job.Due - now).Milliseconds(),
		Priority: int32(x.priority), ResultBytes: uint32(job.Bytes), Zone: job.Zone, PullBytes: uint32(job.CrossZoneBytes), LastUse: job.LastUse,
		Cause: quarantine.PieceCause(x.causes[0], job.Pool).Fingerprint,
	}
	if len(job.Inputs) == 0 {
		message.Key = x.headers.PieceKey
	}
	message.Admission = s.admission(now)
	for _, n := range job.Pieces {
		message.Pieces = append(message.Pieces, uint32(n))
	}
	j := &stageJob{Job: job, remaining: len(job.Pieces), started: now}
	j.cancel = x.g.owners.submit(message, func(result *wire.PieceResult) { s.results <- result })
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
	if reason := result.GetRefused(); reason != "" {
		delete(s.jobs, result.GetNumber())
		s.logEnd(job, reason)
		if reason == reasonOwnerLost {
			s.admitted = len(job.Inputs) > 0 // the next owner decides anew, unless results of earlier stages exist
		}
		if reason == reasonOwnerLost && s.ownerLosses < maxOwnerLosses && x.deadline > x.g.now() {
			s.ownerLosses++
			s.submit(job.Job)
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
		if !s.pipeline.AddResult(job.Stage, int(piece.GetPiece()), piece.GetHandle(), piece.GetZone()) {
			s.release([]string{piece.GetHandle()})
		}
	}
	if failure != "" {
		delete(s.jobs, result.GetNumber())
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
		if job.LastUse { // the owner has released the inputs
			for _, handle := range job.Inputs {
				s.released[handle] = true
			}
		}
		s.release(s.pipeline.ReleasableResults())
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
		s.x.g.owners.release(unreleased)
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
