package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/batch"
	"tanagerroad/core/event"
	"tanagerroad/core/fleet"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/region"
	"tanagerroad/core/shed"
	"tanagerroad/core/wire"
	"tanagerroad/io/http1"
)

const (
	// The HTTP request of a call is cancelled after callTimeoutFactor times the
	// call's expected duration plus callTimeoutSlack. That is generous because a
	// backend server may be slow for a while. The call's pieces are queued again
	// earlier, after its Timeout.
	callTimeoutFactor = 6
	callTimeoutSlack  = 2 * time.Second
	// freeInterval is how long released results are collected before one call
	// to each backend server frees them.
	freeInterval = 30 * time.Millisecond
	// inputFetchTime is how long a backend server takes to fetch the inputs of a
	// call or a request from another region.
	inputFetchTime = 100 * time.Millisecond
	// minDispatchDelay is the shortest delay of a scheduled dispatch, so that a
	// pool that is due again and again does not use up the processor.
	minDispatchDelay = 5 * time.Millisecond
	// freeTimeout is the timeout of a call that frees results.
	freeTimeout = 2 * time.Second
	// maxCallAnswer is the maximum size of the answer to a call, in bytes.
	maxCallAnswer = 4 << 20
)

// pieceBatcher is the owner's side of one shard: it queues the jobs of all gateways that
// have chosen this one as the owner, and sends the calls that package batch decides on.
type pieceBatcher struct {
	g              *Gateway
	shard          string
	mu             sync.Mutex
	pools          map[string]*batch.Pool
	jobs           map[string]*queuedJob
	toFree         map[string][]string    // handles of results to free, by the backend server's address
	freeTimer      *time.Timer            // calls flushFree; nil if toFree is empty
	dispatchTimers map[string]*time.Timer // scheduled dispatches, by pool
	admission      *shed.Controller
	evacuated      map[string]bool // pools that have no backend server in the shard because of evacuations
}

// queuedJob is a queued job with the function that returns its results.
type queuedJob struct {
	job       *batch.Job
	pool      string
	number    uint64 // of the job on its stream
	remaining int    // pieces without an outcome
	failed    bool   // a piece was not made
	deliver   func(*wire.PieceResult)
}

func newPieceBatcher(g *Gateway, shard string) *pieceBatcher {
	admission := shed.New()
	if g.config.Settings.Placing.FairShares {
		admission = shed.NewFair()
	}
	return &pieceBatcher{g: g, shard: shard, pools: map[string]*batch.Pool{}, jobs: map[string]*queuedJob{}, toFree: map[string][]string{}, dispatchTimers: map[string]*time.Timer{}, admission: admission, evacuated: map[string]bool{}}
}

// pool returns the named pool, or nil if the configuration in force has no such
// pool or the pool doesn't execute pieces. b.mu must be held.
func (b *pieceBatcher) pool(name string) *batch.Pool {
	index := b.g.catalog.Load()
	if index == nil {
		return nil
	}
	traits := index.Pool(name)
	if traits == nil || traits.Pieces == nil {
		return nil
	}
	p, ok := b.pools[name]
	if !ok {
		p = batch.New(*traits.Pieces)
		p.SetRegions(b.g.regions)
		b.pools[name] = p
	}
	p.SetTraits(*traits.Pieces)
	return p
}

// batcher returns the batcher of a shard.
func (g *Gateway) batcher(shard string) *pieceBatcher {
	g.batchersMu.Lock()
	defer g.batchersMu.Unlock()
	b, ok := g.batchers[shard]
	if !ok {
		b = newPieceBatcher(g, shard)
		g.batchers[shard] = b
	}
	return b
}

// allBatchers returns the batchers of all shards that this gateway has or had jobs of.
func (g *Gateway) allBatchers() []*pieceBatcher {
	g.batchersMu.Lock()
	defer g.batchersMu.Unlock()
	return slices.Collect(maps.Values(g.batchers))
}

// cancelAllJobs cancels all jobs of a stream that has ended.
func (g *Gateway) cancelAllJobs(streamID string) {
	for _, b := range g.allBatchers() {
		b.cancelAll(streamID)
	}
}

// poolServers returns the backend servers of a pool in a shard, and their limits. It
// returns false if the pool is not divided into that shard any more.
func (g *Gateway) poolServers(shard, pool string) ([]tanagerroad.Announcement, []fleet.ServerLimit, bool) {
	servers, ok := g.owners.plan().Servers(pool, shard)
	return servers, g.fleet.Limited(pool), ok
}

// setServers replaces the backend servers of all pools, and their limits. g.mu must be
// held.
func (b *pieceBatcher) setServers(at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.pools {
		b.setPoolServers(name, p, at)
		b.refuseEvacuated(name)
		b.dispatch(name, p)
	}
}

// preparePools gives the pools that this batcher has not had yet their backend servers.
func (b *pieceBatcher) preparePools(at time.Duration, names []string) {
	b.mu.Lock()
	isNew := func(name string) bool { return b.pools[name] == nil }
	anyNew := slices.ContainsFunc(names, isNew)
	b.mu.Unlock()
	if !anyNew {
		return
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range slices.DeleteFunc(names, func(name string) bool { return !isNew(name) }) {
		if p := b.pool(name); p != nil {
			b.setPoolServers(name, p, at)
		}
	}
}

// setPoolServers replaces the backend servers of a pool. A pool that is divided into
// other shards now keeps the usable ones that it has, for the jobs that are queued.
// g.mu and b.mu must be held.
func (b *pieceBatcher) setPoolServers(name string, p *batch.Pool, at time.Duration) {
	servers, limits, ok := b.g.poolServers(b.shard, name)
	if !ok {
		usable := b.g.fleet.Pool(name)
		servers = slices.DeleteFunc(usable, func(a tanagerroad.Announcement) bool { return !p.HasServer(a.ID) })
	}
	p.SetServers(at, servers)
	b.evacuated[name] = len(servers) == 0 && (b.g.evacuations.heldBack || b.g.evacuations.reduced[name])
	for _, l := range limits {
		p.SetLimit(at, l.ID, l.StartMillis, l.PerSecond)
	}
	b.g.setColdRates(at, name, p)
}

// limit applies what a backend server said about its limit.
func (b *pieceBatcher) limit(l fleet.ServerLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		p.SetLimit(b.g.now(), l.ID, l.StartMillis, l.PerSecond)
	}
}

// submit queues a job, or delivers a refusal. streamID identifies the stream that
// the job came on; with the job's number it identifies the job for cancel. deliver
// is called with each result, which may cover some of the pieces only; it must not
// block.
func (b *pieceBatcher) submit(streamID string, job *wire.PieceJob, deliver func(*wire.PieceResult)) {
	now := b.g.now()
	b.preparePools(now, append(slices.Clone(job.GetAdmission().GetChain()), job.GetPool()))
	if b.g.isPoolEvacuated(job.GetPool()) {
		deliver(newEvacuatedResult(job.GetNumber()))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(job.GetPool())
	if p == nil {
		deliver(&wire.PieceResult{Number: job.GetNumber(), Refused: "the pool is not known", RetryMillis: refusalRetryDelay.Milliseconds()})
		return
	}
	regions := region.Decode(job.GetRegions(), job.GetNoRegion())
	if !p.HasAllowed(regions) {
		deliver(&wire.PieceResult{Number: job.GetNumber(), Refused: batch.ReasonNotAllowed, RetryMillis: refusalRetryDelay.Milliseconds()})
		return
	}
	b.admission.Release(job.GetRequest(), job.GetPool())
	if key := confined(job.GetPool(), regions); key != "" {
		b.admission.Release(job.GetRequest(), key)
	}
	if decision := b.admit(now, job); !decision.Admit {
		deliver(&wire.PieceResult{
			Number: job.GetNumber(), Refused: "too many wait before it", RetryMillis: decision.RetryDelay.Milliseconds(), WaitMillis: uint32(decision.Wait.Milliseconds()),
		})
		return
	}
	id := jobID(streamID, job.GetNumber())
	queued := &queuedJob{
		job: &batch.Job{
			ID: id, Request: job.GetRequest(), Stage: int(job.GetStage()), Key: job.GetKey(), Inputs: job.GetInputs(),
			Deadline: now + time.Duration(job.GetLeftMillis())*time.Millisecond,
			Due:      now + time.Duration(job.GetSlackMillis())*time.Millisecond,
			Priority: int(job.GetPriority()), Bytes: int(job.GetResultBytes()),
			Zone: job.GetZone(), CrossZoneBytes: int(job.GetPullBytes()), LastUse: job.GetLastUse(), Cause: job.GetCause(), Begun: job.GetBegun(),
			Regions: regions,
		},
		pool: job.GetPool(), number: job.GetNumber(), remaining: len(job.GetPieces()), deliver: deliver,
	}
	for _, n := range job.GetPieces() {
		queued.job.Pieces = append(queued.job.Pieces, int(n))
	}
	if ok, retry := p.Add(now, queued.job); !ok {
		b.admission.ReleaseAll(job.GetRequest())
		b.admission.Forget(job.GetRequest())
		deliver(&wire.PieceResult{Number: queued.number, Refused: "it cannot be made in time", RetryMillis: retry.Milliseconds()})
		return
	}
	b.jobs[id] = queued
	b.dispatch(queued.pool, p)
}

// admit decides whether to admit a request, if the job is its first. For an
// admitted request it reserves capacity at the pools of later stages. b.mu must
// be held.
func (b *pieceBatcher) admit(at time.Duration, job *wire.PieceJob) shed.Decision {
	a := job.GetAdmission()
	if a == nil {
		return shed.Decision{Admit: true}
	}
	request := shed.Request{
		Subject: a.GetSubject(), Due: at + time.Duration(a.GetSlackMillis())*time.Millisecond,
		Deadline: at + time.Duration(a.GetLeftMillis())*time.Millisecond,
		Jitter:   hashFraction(job.GetRequest()), Rank: int(a.GetRank()), Begun: job.GetBegun(),
	}
	b.fillShare(&request, a)
	regions := region.Decode(job.GetRegions(), job.GetNoRegion())
	for _, pool := range a.GetChain() {
		if p := b.pool(pool); p != nil {
			ahead := p.Load(regions, b.admission.Reserved(pool), b.admission.Reserved(confined(pool, regions)))
			stage := shed.Stage{Pieces: int(math.Ceil(ahead)), Capacity: p.Capacity(regions), CallTime: p.UsualCallTime()}
			if request.Begun { // refused only if it is hopeless
				stage.CallTime = p.LeastCallTime()
			}
			request.CriticalPath = append(request.CriticalPath, stage)
		}
	}
	decision := b.admission.Decide(at, request)
	if !decision.Admit || decision.IsRetry || decision.Starved {
		event.Admission.Log(b.g.config.Logger, zap.String("request", job.GetRequest()), zap.Bool("admitted", decision.Admit),
			zap.Bool("returning", decision.IsRetry), zap.Duration("wait", decision.Wait), zap.Duration("spare", request.Due-decision.End), zap.Duration("correction", decision.End-decision.Uncorrected),
			zap.Duration("retry-after", decision.RetryDelay), zap.String("workspace", request.Workspace), zap.Float64("over-share", decision.OverShare), zap.Bool("starved", decision.Starved))
	}
	b.countShare(decision)
	if !decision.Admit {
		return decision
	}
	pieces := 0
	for _, demand := range a.GetDemands() {
		pieces += int(demand.GetPieces())
	}
	b.admission.Start(job.GetRequest(), decision, pieces, request.Deadline)
	for _, demand := range a.GetDemands() {
		if demand.GetPool() != job.GetPool() {
			b.admission.Reserve(job.GetRequest(), demand.GetPool(), int(demand.GetPieces()), request.Deadline)
			if key := confined(demand.GetPool(), regions); key != "" {
				b.admission.Reserve(job.GetRequest(), key, int(demand.GetPieces()), request.Deadline)
			}
		}
	}
	return decision
}

// jobID returns the id of a job, which is unique over all streams.
func jobID(stream string, number uint64) string { return stream + "/" + strconv.FormatUint(number, 10) }

// pause keeps calls from a backend server until the given time.
func (b *pieceBatcher) pause(server tanagerroad.Announcement, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[server.Pool]; p != nil {
		p.Pause(server, until)
	}
}

// cancel cancels a job.
func (b *pieceBatcher) cancel(streamID string, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(jobID(streamID, number))
}

// cancelAll cancels all jobs of a stream that has ended.
func (b *pieceBatcher) cancelAll(streamID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.jobs {
		if strings.HasPrefix(id, streamID+"/") {
			b.remove(id)
		}
	}
}

// remove removes a job and its reservations. b.mu must be held.
func (b *pieceBatcher) remove(id string) {
	if queued, ok := b.jobs[id]; ok {
		b.admission.ReleaseAll(queued.job.Request)
		b.admission.Forget(queued.job.Request)
		b.pools[queued.pool].Cancel(id)
		delete(b.jobs, id)
	}
}

// dispatch starts the calls of a pool that are due and schedules the next
// dispatch. b.mu must be held.
func (b *pieceBatcher) dispatch(name string, p *batch.Pool) {
	now := b.g.now()
	b.deliverResults(name, p, p.Expire(now))
	b.refuseQueued(name, p)
	for {
		call, ok := p.Next(now)
		if !ok {
			break
		}
		event.PiecesSent.Log(b.g.config.Logger, zap.String("pool", name), zap.String("server", call.Server.ID),
			zap.Int("pieces", len(call.Pieces)), zap.Int("waiting", call.Queued), zap.Duration("expected", call.Expected))
		items := make([]tanagerroad.PieceItem, len(call.Pieces))
		for i, piece := range call.Pieces {
			items[i] = tanagerroad.PieceItem{
				RequestID: piece.Job.Request, Stage: piece.Job.Stage, Piece: piece.Index, Remaining: piece.Job.Deadline - now, PieceKey: piece.Job.Key, Inputs: piece.Job.Inputs,
			}
		}
		go b.execute(name, p, call, items)
	}
	if wake, ok := p.NextWake(now); ok && b.g.ctx.Err() == nil {
		b.dispatchAfter(name, p, max(wake-now, minDispatchDelay))
	}
}

// dispatchAfter schedules a dispatch of the pool after d. b.mu must be held.
func (b *pieceBatcher) dispatchAfter(name string, p *batch.Pool, d time.Duration) {
	if timer := b.dispatchTimers[name]; timer != nil {
		timer.Reset(d)
		return
	}
	b.dispatchTimers[name] = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.dispatch(name, p)
	})
}

// execute sends a call and processes its outcome.
func (b *pieceBatcher) execute(name string, p *batch.Pool, call *batch.Call, items []tanagerroad.PieceItem) {
	// ReleasableOnStart lists inputs only if the backend server is idle and so
	// fetches them immediately. They are released after inputFetchTime rather
	// than at the end of the call, which saves memory where they are stored. If
	// another gateway may be an owner too, the call may be queued behind one of
	// that owner's calls, and its inputs are released when it ends.
	var releaseTimer *time.Timer
	if inputs := call.ReleasableOnStart(); len(inputs) > 0 && b.g.owners.soleOwner(call.Started, b.shard) {
		releaseTimer = time.AfterFunc(inputFetchTime, func() { b.release(inputs) })
	}
	overdueTimer := time.AfterFunc(call.Timeout(), func() { b.abandon(name, p, call) })
	outcomes, full, err := b.send(call, items)
	overdueTimer.Stop()
	if outcomes == nil {
		b.recordCrash(call, err)
	}
	if outcomes == nil && releaseTimer != nil {
		releaseTimer.Stop()
	}
	if inputs := call.ReleasableInputs(); outcomes != nil && releaseTimer == nil && len(inputs) > 0 {
		b.release(inputs)
	}
	whole := b.complete(name, p, call, outcomes, full, err)
	if outcomes != nil {
		b.recordEnd(call, whole)
	}
}

// complete completes a call, and returns the jobs whose pieces are all made now.
func (b *pieceBatcher) complete(name string, p *batch.Pool, call *batch.Call, outcomes []tanagerroad.PieceOutcome, full bool, err error) (whole []*batch.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.g.now()
	results := p.Complete(now, call, outcomes, full)
	failed := 0
	for _, outcome := range outcomes {
		if outcome.Handle == "" {
			failed++
		}
	}
	if outcomes == nil {
		failed = len(call.Pieces)
	}
	event.PiecesEnded.Log(b.g.config.Logger, zap.String("pool", name), zap.String("server", call.Server.ID), zap.Int("pieces", len(call.Pieces)),
		zap.Int("failed", failed), zap.Duration("took", now-call.Started), zap.Bool("full", full), zap.Error(err))
	whole = b.deliverResults(name, p, results)
	b.dispatch(name, p)
	return whole
}

// recordEnd records that the jobs of a call have run at its backend server, and which of
// them are whole.
func (b *pieceBatcher) recordEnd(call *batch.Call, whole []*batch.Job) {
	for _, job := range call.Jobs() {
		b.g.recordEnd(call.Server, []quarantine.Cause{quarantine.JobCause(job.Cause)}, slices.Contains(whole, job))
	}
}

// recordCrash records whether the backend server crashed during a call that got no answer.
func (b *pieceBatcher) recordCrash(call *batch.Call, err error) {
	call.Crashed = endsWithConnection(err) && !isUnsent(err) && b.g.client.Refuses(b.g.ctx, call.Server.Address)
	if !call.Crashed {
		return
	}
	jobs := call.Jobs()
	progress := attempt.Waiting
	if len(jobs) == 1 { // nothing else was run
		progress = attempt.Begun
	}
	for _, job := range jobs {
		causes := []quarantine.Cause{quarantine.JobCause(job.Cause)}
		call.GiveUp = call.GiveUp || b.g.isQuarantined(causes)
		b.g.recordBrokenAttempt(call.Server, causes, progress)
	}
}

// abandon queues the pieces of an overdue call again, for other backend servers.
func (b *pieceBatcher) abandon(name string, p *batch.Pool, call *batch.Call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.Abandon(b.g.now(), call) {
		return
	}
	event.PiecesOverdue.Log(b.g.config.Logger, zap.String("pool", name), zap.String("server", call.Server.ID),
		zap.Int("pieces", len(call.Pieces)), zap.Duration("expected", call.Expected), zap.Duration("waited", call.Timeout()))
	b.dispatch(name, p)
}

// Errors of calls that got an answer which is not theirs.
var (
	errRepeatedAnswer = errors.New("the backend server sent the answer of an earlier call again")
	errForeignAnswer  = errors.New("the backend server sent the answer to a request, or to another kind of call")
)

// match returns whether an answer with these outcomes belongs to the call that it came for.
func (b *pieceBatcher) match(res *http1.Response, call *batch.Call, outcomes []tanagerroad.PieceOutcome) batch.Match {
	shared := res.Shared()
	answers, ok := (*shared).(*batch.Answers)
	if !ok {
		answers = &batch.Answers{}
		*shared = answers
	}
	return answers.Match(b.g.now(), call, outcomes)
}

// send sends the items to the call's backend server and returns their outcomes.
// full means that the backend server was busy and executed none of them.
func (b *pieceBatcher) send(call *batch.Call, items []tanagerroad.PieceItem) (outcomes []tanagerroad.PieceOutcome, full bool, err error) {
	body, err := b.g.config.Dialect.EncodePieceRequest(items)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(b.g.ctx, callTimeoutFactor*call.Expected+callTimeoutSlack)
	defer cancel()
	res, err := b.g.client.Do(ctx, http1.Request{
		Address: call.Server.Address, Method: http.MethodPost, Target: b.g.config.Dialect.Paths().RunPieces, Host: call.Server.Address,
		Header: b.g.config.Dialect.PieceRequestHeaders(call.Server.ID), Body: body,
		Allow: func() error {
			return b.g.checkServer(fleet.Choice{Announcement: call.Server, Limited: true, Batched: true})
		},
	})
	if err != nil {
		return nil, errors.Is(err, errServerUnavailable), err
	}
	// Unless the answer is proved to be this call's, its own may be still to come.
	defer res.Discard()
	reply := b.g.config.Dialect.DecodeResponseHeaders(res.StatusCode, res.Header)
	b.g.heed(call.Server, reply)
	answer, err := io.ReadAll(io.LimitReader(res, maxCallAnswer))
	if err != nil {
		return nil, false, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, reply.NotRun && res.StatusCode == http.StatusServiceUnavailable, fmt.Errorf("backend server answered with status %d", res.StatusCode)
	}
	if reply.AttemptID != "" {
		return nil, false, errForeignAnswer
	}
	outcomes, err = b.g.config.Dialect.DecodePieceOutcomes(answer)
	if err != nil {
		return nil, false, err
	}
	if len(outcomes) != len(items) {
		return nil, false, fmt.Errorf("backend server returned %d outcomes for %d pieces", len(outcomes), len(items))
	}
	for i, o := range outcomes {
		if o.Handle != "" && !isHandle(o.Handle) || len(o.Reason) > maxHandle {
			outcomes[i] = tanagerroad.PieceOutcome{Reason: tanagerroad.PieceError}
		}
	}
	switch b.match(res, call, outcomes) {
	case batch.Repeated:
		return nil, false, errRepeatedAnswer
	case batch.Own:
		res.Close()
	}
	return outcomes, false, nil
}

// maxHandle is the maximum size of a result's handle, in bytes.
const maxHandle = 256

// isHandle reports whether a text can be the handle of a result: one in a list that is
// separated by commas in a header.
func isHandle(text string) bool {
	return len(text) <= maxHandle && !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' })
}

// deliverResults delivers the outcomes of pieces to the gateways that submitted
// their jobs, and returns the jobs whose pieces are all made. b.mu must be held.
func (b *pieceBatcher) deliverResults(name string, p *batch.Pool, results []batch.PieceResult) (whole []*batch.Job) {
	replies := map[string]*wire.PieceResult{}
	for _, result := range results {
		queued, ok := b.jobs[result.Job.ID]
		if !ok || result.Duplicate {
			if result.Handle != "" { // the result is no longer needed
				b.queueFree([]string{result.Handle})
			}
			continue
		}
		reply := replies[result.Job.ID]
		if reply == nil {
			reply = &wire.PieceResult{Number: queued.number}
			replies[result.Job.ID] = reply
		}
		reply.Pieces = append(reply.Pieces, &wire.PieceDone{Piece: uint32(result.Piece), Handle: result.Handle, Reason: result.Reason, Zone: result.Zone})
		queued.remaining--
		if result.Handle != "" {
			b.admission.RecordPieces(b.g.now(), queued.job.Request, 1)
		} else {
			b.admission.Forget(queued.job.Request)
		}
		queued.failed = queued.failed || result.Handle == ""
	}
	wait := b.wait()
	for id, reply := range replies {
		queued := b.jobs[id]
		reply.WaitMillis = uint32(wait.Milliseconds())
		if queued.remaining <= 0 {
			delete(b.jobs, id)
			p.Remove(id)
			if !queued.failed {
				whole = append(whole, queued.job)
			}
		}
		queued.deliver(reply)
	}
	return whole
}

// release releases results of any pools and starts the calls that the freed memory
// allows.
func (b *pieceBatcher) release(handles []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queueFree(handles)
	for name, p := range b.pools {
		b.dispatch(name, p)
	}
}

// queueFree queues results for the next call that frees them. b.mu must be held.
func (b *pieceBatcher) queueFree(handles []string) {
	for _, p := range b.pools {
		p.ReleaseResults(handles)
	}
	// Results may date from an earlier owner, so the address where they are
	// stored comes from the handle rather than from the pools' state.
	for _, handle := range handles {
		address := b.g.config.Dialect.HandleAddress(handle)
		b.toFree[address] = append(b.toFree[address], handle)
	}
	if len(b.toFree) > 0 && b.freeTimer == nil {
		b.freeTimer = time.AfterFunc(freeInterval, b.flushFree)
	}
}

// flushFree sends the queued results to the backend servers that store them, to be
// freed. A backend server that wants no requests gets them later.
func (b *pieceBatcher) flushFree() {
	b.mu.Lock()
	handlesByAddress := b.toFree
	b.toFree, b.freeTimer = map[string][]string{}, nil
	b.mu.Unlock()
	for address, handles := range handlesByAddress {
		if left := b.g.pauseLeft(address); left > 0 {
			time.AfterFunc(left, func() { b.release(handles) })
			continue
		}
		if b.g.isLimited(address) || b.g.isEvacuated(address) {
			continue // it drops the results after a while; calls are worth more to a limited or cold one
		}
		go func() {
			if err := b.freeOn(address, handles); err != nil {
				// Not retried: the backend server drops results after a while.
				event.PiecesEnded.Log(b.g.config.Logger, zap.String("address", address), zap.Int("freed", len(handles)), zap.Error(err))
			}
		}()
	}
}

// freeOn asks one backend server to free results.
func (b *pieceBatcher) freeOn(address string, handles []string) error {
	body, err := b.g.config.Dialect.EncodeFreeRequest(handles)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(b.g.ctx, freeTimeout)
	defer cancel()
	res, err := b.g.client.Do(ctx, http1.Request{
		Address: address, Method: http.MethodPost, Target: b.g.config.Dialect.Paths().FreePieces, Host: address,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	})
	if err != nil {
		return err
	}
	defer res.Discard() // see send
	answer, err := io.ReadAll(io.LimitReader(res, maxCallAnswer))
	if err != nil {
		return err
	}
	if !isSuccess(res.StatusCode) {
		return fmt.Errorf("backend server answered with status %d", res.StatusCode)
	}
	if b.g.config.Dialect.DecodeResponseHeaders(res.StatusCode, res.Header).AttemptID != "" {
		return errForeignAnswer
	}
	if outcomes, err := b.g.config.Dialect.DecodePieceOutcomes(answer); err == nil && len(outcomes) > 0 {
		return errForeignAnswer
	}
	// A copy of the answer to another such call can't be told apart. What it leaves to come
	// names no results, so no call for pieces can take it for its own.
	res.Close()
	return nil
}

// wait returns the predicted queueing time of a new request in the pool where it is
// longest. b.mu must be held.
func (b *pieceBatcher) wait() time.Duration {
	var longest time.Duration
	for name, p := range b.pools {
		if capacity := p.Capacity(region.Set{}); capacity > 0 {
			longest = max(longest, time.Duration(float64(p.QueueLen()+b.admission.Reserved(name))/capacity*float64(time.Second)))
		}
	}
	return longest
}

// housekeep removes expired state and dispatches all pools. It runs every
// housekeepingInterval.
func (b *pieceBatcher) housekeep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admission.Expire(b.g.now())
	for name, p := range b.pools {
		b.dispatch(name, p)
	}
}
