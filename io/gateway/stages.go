package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/event"
	"tanagerroad/core/pipeline"
	"tanagerroad/core/wire"
)

// ownerTries is how often a job is handed to another owner.
const ownerTries = 3

// stageRun has the stages of one request made.
type stageRun struct {
	x        *exchange
	pipeline *pipeline.Pipeline
	results  chan *wire.PieceResult
	jobs     map[uint64]*stageJob // handed out and not ended
	freed    map[string]bool
	gone     bool // a backend server says that an input is gone
	losses   int
	admitted bool
}

type stageJob struct {
	pipeline.Job
	cancel  func()
	left    int
	started time.Duration
}

func newStageRun(x *exchange) *stageRun {
	x.g.mu.Lock()
	zone := x.g.fleet.HomeZone(x.g.now(), x.pool, x.call.Parts)
	x.g.mu.Unlock()
	// A result for each piece, and one for each loss of an owner.
	room := ownerTries * (1 + len(x.route.Stages))
	for _, n := range x.call.Pieces {
		room += n
	}
	return &stageRun{
		x: x, results: make(chan *wire.PieceResult, room*3), jobs: map[uint64]*stageJob{}, freed: map[string]bool{},
		pipeline: pipeline.New(pipeline.Config{
			Stages: x.route.Stages, Pieces: x.call.Pieces, ExpectedZone: zone, Target: x.arrived + x.route.Aim, Deadline: x.deadline,
			Traits: func(pool string) *tanagerroad.PieceTraits {
				if p := x.index.Pool(pool); p != nil {
					return p.Pieces
				}
				return nil
			},
		}),
	}
}

// run has all stages made; false when that cannot be done, with the reason in
// the exchange.
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
			if !s.take(result) {
				return false
			}
		}
	}
	return true
}

// admission describes all stages of the request to whoever decides whether it
// is taken; nil once that was decided.
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

func (s *stageRun) submit(job pipeline.Job) {
	x, now := s.x, s.x.g.now()
	ask := &wire.PieceJob{
		Request: x.call.ID, Pool: job.Pool, Stage: uint32(job.Stage), Inputs: job.Inputs,
		LeftMillis: (job.Deadline - now).Milliseconds(), SlackMillis: (job.Due - now).Milliseconds(),
		Priority: int32(x.priority), ResultBytes: uint32(job.Bytes), Zone: job.Zone, PullBytes: uint32(job.CrossZoneBytes), LastUse: job.LastUse,
	}
	if len(job.Inputs) == 0 {
		ask.Key = x.call.PieceKey
	}
	ask.Admission = s.admission(now)
	for _, n := range job.Pieces {
		ask.Pieces = append(ask.Pieces, uint32(n))
	}
	j := &stageJob{Job: job, left: len(job.Pieces), started: now}
	j.cancel = x.g.owners.submit(ask, func(result *wire.PieceResult) { s.results <- result })
	s.jobs[ask.GetNumber()] = j
}

// take notes a result; false when the request must be given up.
func (s *stageRun) take(result *wire.PieceResult) bool {
	x := s.x
	job, ok := s.jobs[result.GetNumber()]
	if !ok {
		return true
	}
	if reason := result.GetRefused(); reason != "" {
		delete(s.jobs, result.GetNumber())
		s.ended(job, reason)
		if reason == lost {
			s.admitted = len(job.Inputs) > 0 // who comes next has promised nothing
		}
		if reason == lost && s.losses < ownerTries && x.deadline > x.g.now() {
			s.losses++
			s.submit(job.Job)
			return true
		}
		x.reason = "stage " + job.Pool + ": " + reason
		x.retry = max(retryUsual, time.Duration(result.GetRetryMillis())*time.Millisecond)
		return false
	}
	failure := ""
	for _, piece := range result.GetPieces() {
		job.left--
		if piece.GetHandle() == "" {
			failure = piece.GetReason()
			continue
		}
		if !s.pipeline.AddResult(job.Stage, int(piece.GetPiece()), piece.GetHandle(), piece.GetZone()) {
			s.give([]string{piece.GetHandle()})
		}
	}
	if failure != "" {
		delete(s.jobs, result.GetNumber())
		s.ended(job, failure)
		if failure == tanagerroad.PieceGone && s.restart() {
			return true
		}
		x.reason = "stage " + job.Pool + ": " + failure
		return false
	}
	if job.left == 0 {
		delete(s.jobs, result.GetNumber())
		x.g.owners.forget(result.GetNumber())
		s.ended(job, "made")
		if job.LastUse { // whoever made the pieces has given the inputs up
			for _, handle := range job.Inputs {
				s.freed[handle] = true
			}
		}
		s.give(s.pipeline.ReleasableResults())
	}
	return true
}

func (s *stageRun) ended(job *stageJob, outcome string) {
	now := s.x.g.now()
	event.StageEnded.Log(s.x.g.config.Logger, zap.String("request", s.x.call.ID), zap.Int("stage", job.Stage), zap.String("pool", job.Pool),
		zap.Int("pieces", len(job.Pieces)), zap.String("outcome", outcome), zap.Duration("took", now-job.started), zap.Duration("slack", job.Due-now))
	s.x.g.meters.observe("stages.time-ms", now-job.started)
}

// restart makes all stages anew; false when that was done often enough.
func (s *stageRun) restart() bool {
	s.cancel()
	dropped, ok := s.pipeline.Restart()
	s.give(dropped)
	clear(s.freed)
	return ok
}

// renew makes the stages again where the next attempt needs results that are
// gone; false when that cannot be done.
func (s *stageRun) renew(next attempt.Action) bool {
	if !s.gone && next != attempt.Resume && !s.spent() {
		return true
	}
	s.gone = false
	return s.restart() && s.run()
}

// spent reports whether an input of the request itself was given up.
func (s *stageRun) spent() bool {
	return slices.ContainsFunc(s.pipeline.RequestInputs(), func(handle string) bool { return s.freed[handle] })
}

// give frees results that are not needed any more.
func (s *stageRun) give(handles []string) {
	var fresh []string
	for _, h := range handles {
		if !s.freed[h] {
			s.freed[h] = true
			fresh = append(fresh, h)
		}
	}
	if len(fresh) > 0 {
		s.x.g.owners.free(fresh)
	}
}

// given notes results that were given up elsewhere.
func (s *stageRun) given(handles []string) {
	for _, h := range handles {
		s.freed[h] = true
	}
}

// free gives up all results once the backend server has fetched them.
func (s *stageRun) free() { s.give(s.pipeline.Handles()) }

// cancel forgets what is not made yet.
func (s *stageRun) cancel() {
	for _, job := range s.jobs {
		job.cancel()
	}
	clear(s.jobs)
}

func (s *stageRun) end() {
	s.cancel()
	s.free()
}
