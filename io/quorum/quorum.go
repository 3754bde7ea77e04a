// Package quorum runs a control instance's part in the replicated registry: it
// carries out what package replica decides on a real disk and real
// connections. One goroutine owns the replica; changes that wait together are
// written and synced as one.
package quorum

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/registry"
	"tanagerroad/core/replica"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// Sizes of the loop.
const (
	inboxLength = 4096
	groupMost   = 512 // changes written as one
	entriesMost = 512
	chunkBytes  = 256 << 10
	tickEvery   = 20 * time.Millisecond
	// retireAfter is longer than a restart takes, and shorter than the pause
	// in which a second instance may be lost.
	retireAfter = 5 * time.Second
	// slowSync is a write that callers feel.
	slowSync = 100 * time.Millisecond
)

// Config is what a quorum member needs.
type Config struct {
	Settings settings.Control
	Registry registry.Config
	Disk     tanagerroad.Disk
	Clock    tanagerroad.Clock
	Links    *peer.ConnPool
	Logger   *zap.Logger
}

// View is what the rest of the process may know of the registry and replica.
type View struct {
	ID         string
	Role       string
	Term       uint64
	Commit     uint64
	Leader     string // address
	Spared     bool   // the leader has a quorum without this instance
	Revision   *wire.Revision
	Quarantine *wire.Quarantine
	Members    []*wire.Member
	Claims     int
	ClaimBytes int
	LogEntries int
	DiskFailed bool
	Catalog    *wire.Catalog
	Instances  []string // peer addresses of the members, sorted
}

type proposal struct {
	command *wire.Command
	reply   chan *wire.Outcome
}

type reading struct {
	serve func(*registry.Registry)
	done  chan bool
}

type waiter struct {
	term  uint64
	reply chan *wire.Outcome
}

// Counters are what the loop counts.
type Counters struct {
	Syncs, Changes, SentMessages, DroppedMessages atomic.Int64
}

// Quorum is one control instance's part.
type Quorum struct {
	config    Config
	id        string
	store     *replica.Store
	replica   *replica.Replica
	registry  *registry.Registry
	transport *transport
	Counters  Counters

	inbox     chan *wire.Message
	proposals chan proposal
	readings  chan reading
	leaving   chan struct{} // closed when the process stops
	leaveOnce sync.Once

	waiters      map[uint64]waiter
	reads        map[uint64]reading
	nextRead     uint64
	journalBytes int64
	failed       bool
	view         atomic.Pointer[View]

	news   *signal.Signal
	formed atomic.Bool
	mu     sync.Mutex
	first  []*wire.Member // of the first membership
	seeds  []string       // addresses of instances that the settings name
}

// New opens the store and starts the loop. The returned function ends it.
func New(config Config) (*Quorum, func(), error) {
	q := &Quorum{
		config:    config,
		store:     replica.NewStore(config.Disk),
		registry:  registry.New(config.Registry),
		inbox:     make(chan *wire.Message, inboxLength),
		proposals: make(chan proposal, inboxLength),
		readings:  make(chan reading, inboxLength),
		leaving:   make(chan struct{}),
		news:      signal.New(),
		waiters:   map[uint64]waiter{},
		reads:     map[uint64]reading{},
		seeds:     config.Settings.Instances,
	}
	id, err := q.store.Identity(func() string { return ulid.Make().String() })
	if err != nil {
		return nil, nil, fmt.Errorf("control instance: %w", err)
	}
	q.id = id
	stored, empty, err := q.store.Load()
	if err != nil {
		return nil, nil, fmt.Errorf("control instance: %w", err)
	}
	q.transport = newTransport(config.Links, config.Settings.Peer.AdvertisedAddress(), config.Logger, &q.Counters)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	if !empty {
		q.begin(stored)
	}
	q.publish()
	go func() {
		defer close(done)
		if empty && !q.form(ctx) {
			return
		}
		q.run(ctx)
	}()
	return q, func() {
		cancel()
		<-done
		q.transport.close()
	}, nil
}

func (q *Quorum) begin(stored replica.Stored) {
	s := q.config.Settings
	q.replica = replica.New(replica.Config{
		ID: q.id, Address: s.Peer.AdvertisedAddress(), ElectionTimeout: s.ElectionTimeout.Std(), HeartbeatInterval: s.HeartbeatInterval.Std(),
		Seed: xxhash.Sum64String(q.id), MaxEntries: entriesMost, MaxChunkBytes: chunkBytes,
		OpenMembership: s.OpenMembership, RemoveAfter: retireAfter,
	}, q.config.Clock.Now(), stored)
	q.mu.Lock()
	q.first = q.replica.SnapshotMembers()
	q.mu.Unlock()
	q.formed.Store(true)
}

// Hello answers who this instance is and whether it holds a history.
func (q *Quorum) Hello() *wire.HelloReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &wire.HelloReply{
		Id: q.id, Address: q.config.Settings.Peer.AdvertisedAddress(), Empty: !q.formed.Load(), Members: q.first,
	}
}

// helloEvery is how often an empty instance asks the others.
const helloEvery = 250 * time.Millisecond

// form lets an empty instance find its membership; false when it was stopped.
func (q *Quorum) form(ctx context.Context) bool {
	ticker := time.NewTicker(helloEvery)
	defer ticker.Stop()
	for {
		listed := q.Instances()
		answers := q.transport.hello(ctx, q.Hello(), listed)
		answers[q.config.Settings.Peer.AdvertisedAddress()] = q.Hello()
		formation, members := replica.DecideFormation(q.Hello(), listed, answers)
		if formation == replica.Form && !q.config.Settings.Bootstrap && !formedElsewhere(answers) {
			formation = replica.Wait // an emptied instance begins no history of its own
		}
		switch formation {
		case replica.Form:
			if q.adopt(members) {
				event.ClusterFormed.Log(q.config.Logger, zap.String("id", q.id), zap.Int("members", len(members)))
				return true
			}
		case replica.JoinExisting:
			if q.adopt(nil) {
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// SetSeeds replaces the instances that the settings name.
func (q *Quorum) SetSeeds(addresses []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seeds = addresses
}

// Instances lists the addresses of the members and of the seeds, sorted.
func (q *Quorum) Instances() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := slices.Concat(q.seeds, q.View().Instances)
	slices.Sort(all)
	return slices.Compact(all)
}

// formedElsewhere reports whether some instance holds a history.
func formedElsewhere(answers map[string]*wire.HelloReply) bool {
	for _, answer := range answers {
		if !answer.GetEmpty() {
			return true
		}
	}
	return false
}

// adopt begins a journal with the first membership.
func (q *Quorum) adopt(members []*wire.Member) bool {
	mark := &wire.SnapshotMark{Members: members}
	if len(members) > 0 {
		record := &wire.Record{Body: &wire.Record_Snapshot{Snapshot: mark}}
		if err := q.store.Replace([]*wire.Record{record}); err != nil {
			q.diskFailed(err)
			return false
		}
	}
	q.begin(replica.Stored{Snapshot: mark})
	return true
}

func (q *Quorum) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	q.carryOut()
	leaving := q.leaving
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-leaving:
			leaving = nil
			q.replica.Leave()
		case m := <-q.inbox:
			q.replica.Step(q.config.Clock.Now(), m)
		case p := <-q.proposals:
			q.propose(p)
		case r := <-q.readings:
			q.read(r)
		case <-ticker.C:
			now := q.config.Clock.Now()
			q.replica.Tick(now)
			q.replica.Join(now, q.transport.known())
		}
		q.drain()
		q.replica.Flush()
		q.carryOut()
	}
	for _, w := range q.waiters {
		close(w.reply)
	}
}

// drain takes what else is waiting, so that one sync serves all of it.
func (q *Quorum) drain() {
	if !q.config.Settings.GroupCommit {
		return
	}
	for range groupMost {
		select {
		case m := <-q.inbox:
			q.replica.Step(q.config.Clock.Now(), m)
		case p := <-q.proposals:
			q.propose(p)
		default:
			return
		}
	}
}

func (q *Quorum) propose(p proposal) {
	if q.failed {
		p.reply <- &wire.Outcome{Kind: registry.NoQuorum, Reason: "this instance's disk has failed"}
		return
	}
	p.command.AtMillis = q.config.Clock.Wall().UnixMilli()
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.reply <- &wire.Outcome{Kind: registry.Invalid, Reason: err.Error()}
		return
	}
	index, term, ok := q.replica.Propose(data)
	if !ok {
		p.reply <- q.redirect()
		return
	}
	q.waiters[index] = waiter{term, p.reply}
}

func (q *Quorum) redirect() *wire.Outcome {
	if leader := q.replica.LeaderAddress(); leader != "" && leader != q.config.Settings.Peer.AdvertisedAddress() {
		return &wire.Outcome{Kind: registry.Redirect, Leader: leader}
	}
	return &wire.Outcome{Kind: registry.NoQuorum, Reason: "no leader is known here"}
}

func (q *Quorum) read(r reading) {
	q.nextRead++
	q.reads[q.nextRead] = r
	q.replica.Read(q.nextRead)
}

// carryOut does what the replica decided, in the order that its contract asks
// for. After a failed write or sync nothing is acknowledged any more.
func (q *Quorum) carryOut() {
	out := q.replica.TakeOutput()
	if out.Empty() || q.failed {
		return
	}
	if err := q.persist(out); err != nil {
		q.diskFailed(err)
		return
	}
	q.transport.send(out.Send)
	if out.Restore != nil {
		if err := q.registry.Restore(out.Restore); err != nil {
			q.diskFailed(err)
			return
		}
	}
	for _, e := range out.Apply {
		q.apply(e)
	}
	q.finishReads(out.Reads, true)
	q.finishReads(out.FailedReads, false)
	q.compact()
	q.publish()
}

func (q *Quorum) persist(out replica.Output) error {
	if out.Install != nil {
		q.journalBytes = 0
		if err := q.store.Replace(out.Install); err != nil {
			return err
		}
	}
	if len(out.Save) == 0 {
		return nil
	}
	q.Counters.Syncs.Add(1)
	started := q.config.Clock.Now()
	n, err := q.store.Save(out.Save)
	if took := q.config.Clock.Now() - started; took >= slowSync {
		event.DiskSlow.Log(q.config.Logger, zap.Duration("took", took), zap.Int("bytes", n), zap.Int("records", len(out.Save)))
	}
	q.journalBytes += int64(n)
	return err
}

func (q *Quorum) diskFailed(err error) {
	q.failed = true
	event.DiskFailed.Log(q.config.Logger, zap.Error(err))
	q.publish()
}

func (q *Quorum) apply(e *wire.Entry) {
	var outcome *wire.Outcome
	if len(e.GetMembers()) > 0 {
		event.MembershipChanged.Log(q.config.Logger, zap.Any("members", e.GetMembers()))
	}
	if len(e.GetCommand()) > 0 {
		var command wire.Command
		if err := proto.Unmarshal(e.GetCommand(), &command); err != nil {
			q.diskFailed(fmt.Errorf("entry %d: %w", e.GetIndex(), err))
			return
		}
		outcome = q.registry.Apply(e.GetIndex(), &command)
		q.Counters.Changes.Add(1)
		q.logOutcome(&command, outcome)
	}
	w, ok := q.waiters[e.GetIndex()]
	if !ok {
		return
	}
	delete(q.waiters, e.GetIndex())
	if w.term != e.GetTerm() {
		w.reply <- &wire.Outcome{Kind: registry.NoQuorum, Reason: "another leader's entry took its place"}
		return
	}
	w.reply <- outcome
}

func (q *Quorum) logOutcome(command *wire.Command, outcome *wire.Outcome) {
	if put := command.GetPutTables(); put != nil {
		e := event.ChangeAccepted
		if outcome.GetKind() != registry.Accepted {
			e = event.ChangeConflicted
		}
		e.Log(q.config.Logger, zap.String("change-id", put.GetChangeId()), zap.String("operator", put.GetOperator()),
			zap.Uint64("from-revision", put.GetFromRevision()), zap.String("outcome", outcome.GetKind()),
			zap.Uint64("revision", outcome.GetRevision()))
	}
	if crash := command.GetCrash(); crash != nil {
		event.Convicted.Log(q.config.Logger, zap.Uint64("fingerprint", crash.GetFingerprint()),
			zap.String("route", crash.GetRoute()), zap.String("verdict", outcome.GetReason()))
	}
}

func (q *Quorum) finishReads(tokens []uint64, ok bool) {
	for _, token := range tokens {
		r := q.reads[token]
		delete(q.reads, token)
		if ok {
			r.serve(q.registry)
		}
		r.done <- ok
	}
}

// compact replaces a long journal by a snapshot.
func (q *Quorum) compact() {
	if q.journalBytes < int64(q.config.Settings.CompactAtSize) || q.failed {
		return
	}
	image, err := q.registry.Snapshot()
	if err != nil {
		q.diskFailed(err)
		return
	}
	q.journalBytes = 0
	if err := q.store.Replace(q.replica.Compact(image)); err != nil {
		q.diskFailed(err)
		return
	}
	event.SnapshotTaken.Log(q.config.Logger, zap.Uint64("index", q.replica.CommitIndex()), zap.Int("bytes", len(image)))
}

// publish shows the present view to the rest of the process.
func (q *Quorum) publish() {
	v := View{ID: q.id, Revision: q.registry.CurrentRevision(), Quarantine: q.registry.Quarantine(), DiskFailed: q.failed, Catalog: q.registry.Catalog()}
	v.Claims, v.ClaimBytes = q.registry.ClaimStats()
	if q.replica != nil {
		v.Role, v.Term, v.Commit = q.replica.Role(), q.replica.Term(), q.replica.CommitIndex()
		v.Leader, v.Members = q.replica.LeaderAddress(), q.replica.CommittedMembers()
		v.Spared = q.replica.SafeToStop()
		for _, m := range v.Members {
			v.Instances = append(v.Instances, m.GetAddress())
		}
		slices.Sort(v.Instances)
		for _, m := range q.replica.Members() {
			q.transport.learn(m.GetId(), m.GetAddress())
		}
		v.LogEntries = q.replica.LogLength()
	}
	old := q.view.Swap(&v)
	if old != nil && (old.Role != v.Role || old.Leader != v.Leader) {
		event.RoleChanged.Log(q.config.Logger, zap.String("role", v.Role), zap.Uint64("term", v.Term), zap.String("leader", v.Leader))
		if old.Role == replica.Leader && v.Leader == "" {
			event.NoQuorum.Log(q.config.Logger, zap.Uint64("term", v.Term))
		}
	}
	if old == nil || old.Revision != v.Revision || old.Catalog != v.Catalog || old.Quarantine.GetVersion() != v.Quarantine.GetVersion() {
		q.news.Give()
	}
}

// View is the latest published view.
func (q *Quorum) View() View { return *q.view.Load() }

// Leave hands the lead over, if this instance has it, and returns once another
// leads that has a quorum without this instance, or the context ends.
func (q *Quorum) Leave(ctx context.Context) {
	q.leaveOnce.Do(func() { close(q.leaving) })
	for view := q.View(); len(view.Members) > 1 && !view.Spared && ctx.Err() == nil; view = q.View() {
		select {
		case <-ctx.Done():
		case <-time.After(tickEvery):
		}
	}
}

// News closes when a revision or the quarantine changes.
func (q *Quorum) News() <-chan struct{} { return q.news.Changed() }

// Receive takes a message from another control instance.
func (q *Quorum) Receive(m *wire.Message) {
	q.transport.learn(m.GetFrom(), m.GetAddress())
	select {
	case q.inbox <- m:
	default: // like a lost message
	}
}

// Propose carries a command through the log. It returns an error only when the
// command's fate is not known.
func (q *Quorum) Propose(ctx context.Context, command *wire.Command) (*wire.Outcome, error) {
	if !q.formed.Load() {
		return &wire.Outcome{Kind: registry.NoQuorum, Reason: "no cluster has formed here yet"}, nil
	}
	reply := make(chan *wire.Outcome, 1)
	select {
	case q.proposals <- proposal{command, reply}:
	default:
		return &wire.Outcome{Kind: registry.NoQuorum, Reason: "too many changes wait"}, nil
	}
	select {
	case outcome, ok := <-reply:
		if !ok {
			return nil, fmt.Errorf("propose: the instance stopped before the change was settled")
		}
		return outcome, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("propose: %w", ctx.Err())
	}
}

// Read calls serve with the registry after a quorum has confirmed that this
// instance leads; it reports whether it did.
func (q *Quorum) Read(ctx context.Context, serve func(*registry.Registry)) bool {
	if !q.formed.Load() {
		return false
	}
	r := reading{serve, make(chan bool, 1)}
	select {
	case q.readings <- r:
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-r.done:
		return ok
	case <-ctx.Done():
		return false
	}
}
