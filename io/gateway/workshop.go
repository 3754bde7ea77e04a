package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/batch"
	"tanagerroad/core/event"
	"tanagerroad/core/shed"
	"tanagerroad/core/wire"
	"tanagerroad/io/http1"
)

const (
	// callFactor and callSlack bound a call's length by what it is expected
	// to take: a backend server may be slow for a while.
	callFactor = 6
	callSlack  = 2 * time.Second
	// freeEvery gathers results that are given up into one call to each
	// backend server.
	freeEvery = 30 * time.Millisecond
	// fetchTime is what a backend server takes to fetch the inputs of a call
	// or a request, over two regions.
	fetchTime = 100 * time.Millisecond
	// leastWake keeps what is due again and again from taking the processor.
	leastWake = 5 * time.Millisecond
	// freeTimeout bounds a call that gives results up.
	freeTimeout = 2 * time.Second
	// answerMost is the largest answer to a call, in bytes.
	answerMost = 4 << 20
)

// workshop has pieces made for all gateways that ask this one. It carries out
// what package batch decides.
type workshop struct {
	g     *Gateway
	mu    sync.Mutex
	pools map[string]*batch.Pool
	jobs  map[string]*order
	free  map[string][]string    // results to give up, by address
	timer *time.Timer            // for freeing
	wakes map[string]*time.Timer // by pool, for what is due without another event
	desk  *shed.Controller
}

// order is a job with who waits for it.
type order struct {
	job     *batch.Job
	pool    string
	number  uint64
	left    int
	deliver func(*wire.PieceResult)
}

func newWorkshop(g *Gateway) *workshop {
	return &workshop{g: g, pools: map[string]*batch.Pool{}, jobs: map[string]*order{}, free: map[string][]string{}, wakes: map[string]*time.Timer{}, desk: shed.New()}
}

// pool returns the pool of that name; nil when the configuration in force has
// none that works in pieces. The caller holds the lock.
func (s *workshop) pool(name string) *batch.Pool {
	index := s.g.catalog.Load()
	if index == nil {
		return nil
	}
	traits := index.Pool(name)
	if traits == nil || traits.Pieces == nil {
		return nil
	}
	p, ok := s.pools[name]
	if !ok {
		p = batch.New(*traits.Pieces)
		s.pools[name] = p
	}
	p.SetTraits(*traits.Pieces)
	return p
}

// update replaces the backend servers of all pools.
func (s *workshop) update(at time.Duration, servers func(pool string) []tanagerroad.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		p.SetServers(at, servers(name))
		s.pump(name, p)
	}
}

// submit takes a job. deliver is called for each part of it that ends; it must
// not block. from names the gateway's stream; with the job's number it cancels.
func (s *workshop) submit(from string, job *wire.PieceJob, deliver func(*wire.PieceResult)) {
	at := s.g.now()
	known := s.g.servers(job.GetPool())
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(job.GetPool())
	if p == nil {
		deliver(&wire.PieceResult{Number: job.GetNumber(), Refused: "the pool is not known", RetryMillis: ownerRetry.Milliseconds()})
		return
	}
	if _, waiting := p.NextWake(at); !waiting {
		p.SetServers(at, known)
	}
	s.desk.Release(job.GetRequest(), job.GetPool())
	if decision := s.admit(at, job); !decision.Admit {
		deliver(&wire.PieceResult{Number: job.GetNumber(), Refused: "too many wait before it", RetryMillis: decision.RetryDelay.Milliseconds()})
		return
	}
	id := jobID(from, job.GetNumber())
	o := &order{
		job: &batch.Job{
			ID: id, Request: job.GetRequest(), Stage: int(job.GetStage()), Key: job.GetKey(), Inputs: job.GetInputs(),
			Deadline: at + time.Duration(job.GetLeftMillis())*time.Millisecond,
			Due:      at + time.Duration(job.GetSlackMillis())*time.Millisecond,
			Priority: int(job.GetPriority()), Bytes: int(job.GetResultBytes()),
			Zone: job.GetZone(), CrossZoneBytes: int(job.GetPullBytes()), LastUse: job.GetLastUse(),
		},
		pool: job.GetPool(), number: job.GetNumber(), left: len(job.GetPieces()), deliver: deliver,
	}
	for _, n := range job.GetPieces() {
		o.job.Pieces = append(o.job.Pieces, int(n))
	}
	if ok, retry := p.Add(at, o.job); !ok {
		deliver(&wire.PieceResult{Number: o.number, Refused: "it cannot be made in time", RetryMillis: retry.Milliseconds()})
		return
	}
	s.jobs[id] = o
	s.pump(o.pool, p)
}

// admit decides on a request whose first job this is. The caller holds the lock.
func (s *workshop) admit(at time.Duration, job *wire.PieceJob) shed.Decision {
	a := job.GetAdmission()
	if a == nil {
		return shed.Decision{Admit: true}
	}
	ask := shed.Request{
		Subject: a.GetSubject(), Due: at + time.Duration(a.GetSlackMillis())*time.Millisecond,
		Deadline: at + time.Duration(a.GetLeftMillis())*time.Millisecond,
		Jitter:   chance(job.GetRequest()), Rank: int(a.GetRank()),
	}
	for _, pool := range a.GetChain() {
		if p := s.pool(pool); p != nil {
			ask.CriticalPath = append(ask.CriticalPath, shed.Stage{Pieces: p.QueueLen() + s.desk.Reserved(pool), Capacity: p.Capacity(), Call: p.UsualCallTime()})
		}
	}
	decision := s.desk.Decide(at, ask)
	if !decision.Admit || decision.IsRetry {
		event.Admission.Log(s.g.config.Logger, zap.String("request", job.GetRequest()), zap.Bool("admitted", decision.Admit),
			zap.Bool("returning", decision.IsRetry), zap.Duration("wait", decision.Wait), zap.Duration("spare", ask.Due-decision.End),
			zap.Duration("retry-after", decision.RetryDelay))
	}
	if !decision.Admit {
		return decision
	}
	for _, demand := range a.GetDemands() {
		if demand.GetPool() != job.GetPool() {
			s.desk.Reserve(job.GetRequest(), demand.GetPool(), int(demand.GetPieces()), ask.Deadline)
		}
	}
	return decision
}

// jobID names a job of a gateway's stream.
func jobID(from string, number uint64) string { return from + "/" + strconv.FormatUint(number, 10) }

// cancel forgets a job.
func (s *workshop) cancel(from string, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(jobID(from, number))
}

// cancelAll forgets all jobs of a stream that ended.
func (s *workshop) cancelAll(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.jobs {
		if strings.HasPrefix(id, from+"/") {
			s.drop(id)
		}
	}
}

// drop forgets a job. The caller holds the lock.
func (s *workshop) drop(id string) {
	if o, ok := s.jobs[id]; ok {
		s.desk.ReleaseAll(o.job.Request)
		s.pools[o.pool].Cancel(id)
		delete(s.jobs, id)
	}
}

// pump makes the calls that are due. The caller holds the lock.
func (s *workshop) pump(name string, p *batch.Pool) {
	at := s.g.now()
	s.finish(name, p, p.Expire(at))
	for {
		call, ok := p.Next(at)
		if !ok {
			break
		}
		event.PiecesSent.Log(s.g.config.Logger, zap.String("pool", name), zap.String("server", call.Server.ID),
			zap.Int("pieces", len(call.Pieces)), zap.Int("waiting", call.Queued), zap.Duration("expected", call.Expected))
		items := make([]tanagerroad.PieceItem, len(call.Pieces))
		for i, q := range call.Pieces {
			items[i] = tanagerroad.PieceItem{
				Request: q.Job.Request, Stage: q.Job.Stage, Piece: q.Piece, Left: q.Job.Deadline - at, Key: q.Job.Key, Inputs: q.Job.Inputs,
			}
		}
		go s.make(name, p, call, items)
	}
	if wake, ok := p.NextWake(at); ok && s.g.ctx.Err() == nil {
		s.wakeIn(name, p, max(wake-at, leastWake))
	}
}

// wakeIn pumps the pool again after a while. The caller holds the lock.
func (s *workshop) wakeIn(name string, p *batch.Pool, d time.Duration) {
	if timer := s.wakes[name]; timer != nil {
		timer.Reset(d)
		return
	}
	s.wakes[name] = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pump(name, p)
	})
}

// make carries a call out.
func (s *workshop) make(name string, p *batch.Pool, call *batch.Call, items []tanagerroad.PieceItem) {
	// The call went to a backend server with nothing else to do, so that it
	// fetches the inputs at once; they need not take room until it ends. While
	// another gateway may be gathering it may stand behind that one's call.
	var taken *time.Timer
	if inputs := call.ReleasableOnStart(); len(inputs) > 0 && s.g.owners.alone(call.Started) {
		taken = time.AfterFunc(fetchTime, func() { s.giveUp(inputs) })
	}
	overdue := time.AfterFunc(call.Timeout(), func() { s.abandon(name, p, call) })
	outcomes, full, err := s.call(call, items)
	overdue.Stop()
	if outcomes == nil && taken != nil {
		taken.Stop()
	}
	if inputs := call.ReleasableInputs(); outcomes != nil && taken == nil && len(inputs) > 0 {
		s.giveUp(inputs)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.g.now()
	made := p.Complete(at, call, outcomes, full)
	failed := 0
	for _, o := range outcomes {
		if o.Handle == "" {
			failed++
		}
	}
	if outcomes == nil {
		failed = len(items)
	}
	event.PiecesEnded.Log(s.g.config.Logger, zap.String("pool", name), zap.String("server", call.Server.ID), zap.Int("pieces", len(items)),
		zap.Int("failed", failed), zap.Duration("took", at-call.Started), zap.Bool("full", full), zap.Error(err))
	s.finish(name, p, made)
	s.pump(name, p)
}

// abandon has the pieces of an overdue call made elsewhere.
func (s *workshop) abandon(name string, p *batch.Pool, call *batch.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.Abandon(s.g.now(), call) {
		return
	}
	event.PiecesOverdue.Log(s.g.config.Logger, zap.String("pool", name), zap.String("server", call.Server.ID),
		zap.Int("pieces", len(call.Pieces)), zap.Duration("expected", call.Expected), zap.Duration("waited", call.Timeout()))
	s.pump(name, p)
}

// call sends the items and reads what became of them. full says that the
// backend server took none.
func (s *workshop) call(call *batch.Call, items []tanagerroad.PieceItem) (outcomes []tanagerroad.PieceOutcome, full bool, err error) {
	body, err := s.g.config.Dialect.PieceRequest(items)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(s.g.ctx, callFactor*call.Expected+callSlack)
	defer cancel()
	res, err := s.g.client.Do(ctx, http1.Request{
		Address: call.Server.Address, Method: http.MethodPost, Target: s.g.config.Dialect.Paths().RunPieces, Host: call.Server.Address,
		Header: s.g.config.Dialect.PieceHeader(call.Server.ID), Body: body,
	})
	if err != nil {
		return nil, false, err
	}
	defer res.Close()
	answer, err := io.ReadAll(io.LimitReader(res, answerMost))
	if err != nil {
		return nil, false, err
	}
	if res.Status != http.StatusOK {
		reply := s.g.config.Dialect.Reply(res.Status, res.Header)
		return nil, reply.NotRun && res.Status == http.StatusServiceUnavailable, fmt.Errorf("status %d", res.Status)
	}
	outcomes, err = s.g.config.Dialect.PieceOutcomes(answer)
	if err != nil {
		return nil, false, err
	}
	if len(outcomes) != len(items) {
		return nil, false, fmt.Errorf("%d outcomes of %d pieces", len(outcomes), len(items))
	}
	return outcomes, false, nil
}

// finish tells those who wait. The caller holds the lock.
func (s *workshop) finish(name string, p *batch.Pool, made []batch.PieceResult) {
	replies := map[string]*wire.PieceResult{}
	for _, m := range made {
		o, ok := s.jobs[m.Job.ID]
		if !ok || m.Duplicate {
			if m.Handle != "" { // nobody wants it any more
				s.release([]string{m.Handle})
			}
			continue
		}
		reply := replies[m.Job.ID]
		if reply == nil {
			reply = &wire.PieceResult{Number: o.number}
			replies[m.Job.ID] = reply
		}
		reply.Pieces = append(reply.Pieces, &wire.PieceDone{Piece: uint32(m.Piece), Handle: m.Handle, Reason: m.Reason, Zone: m.Zone})
		o.left--
	}
	for id, reply := range replies {
		o := s.jobs[id]
		if o.left <= 0 {
			delete(s.jobs, id)
			p.Remove(id)
		}
		o.deliver(reply)
	}
}

// giveUp frees results, whichever pool made them.
func (s *workshop) giveUp(handles []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(handles)
	for name, p := range s.pools {
		s.pump(name, p)
	}
}

// release gathers results to be freed. The caller holds the lock.
func (s *workshop) release(handles []string) {
	for _, p := range s.pools {
		p.ReleaseResults(handles)
	}
	// An owner before this one may have had them made, so the handle tells
	// where they lie.
	for _, handle := range handles {
		address := s.g.config.Dialect.HandleAddress(handle)
		s.free[address] = append(s.free[address], handle)
	}
	if len(s.free) > 0 && s.timer == nil {
		s.timer = time.AfterFunc(freeEvery, s.sendFree)
	}
}

func (s *workshop) sendFree() {
	s.mu.Lock()
	batches := s.free
	s.free, s.timer = map[string][]string{}, nil
	s.mu.Unlock()
	for address, handles := range batches {
		go func() {
			if err := s.freeAt(address, handles); err != nil {
				// They lapse by themselves after a while.
				event.PiecesEnded.Log(s.g.config.Logger, zap.String("address", address), zap.Int("freed", len(handles)), zap.Error(err))
			}
		}()
	}
}

func (s *workshop) freeAt(address string, handles []string) error {
	body, err := s.g.config.Dialect.FreeRequest(handles)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.g.ctx, freeTimeout)
	defer cancel()
	res, err := s.g.client.Do(ctx, http1.Request{
		Address: address, Method: http.MethodPost, Target: s.g.config.Dialect.Paths().FreePieces, Host: address,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	})
	if err != nil {
		return err
	}
	defer res.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res, answerMost))
	return err
}

// tend makes what only the passing of time makes due.
func (s *workshop) tend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desk.Expire(s.g.now())
	for name, p := range s.pools {
		s.pump(name, p)
	}
}
