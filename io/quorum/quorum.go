// Package quorum runs one control instance's replica of the registry (the tables,
// claims, quarantine, fencing tokens and catalog; see package registry). Package
// replica contains the consensus protocol; this package does its disk and network
// I/O. One goroutine owns the replica. Commands that are queued at the same time
// are written and synced together (group commit).
package quorum

import (
	"context"
	"errors"
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

// Sizes and times of the replica's loop.
const (
	queueLength          = 4096 // of messages, of proposals and of reads
	maxGroupSize         = 512  // messages and proposals in one group commit
	maxEntriesPerMessage = 512
	maxChunkBytes        = 256 << 10 // of log entries or of a snapshot in one message
	tickInterval         = 20 * time.Millisecond
	// removalTimeout is how long a member must have been silent before it may be
	// removed: longer than a restart takes, and shorter than the time that is expected
	// between the losses of two instances.
	removalTimeout = 5 * time.Second
	// slowSyncThreshold is the duration from which a write and its sync are logged as
	// slow: callers notice a delay of this length.
	slowSyncThreshold = 100 * time.Millisecond
	// diskRetryInterval is the time between two tries of a write that failed. It is well
	// below the election timeout, so that a disk that was full for a moment costs little.
	diskRetryInterval = 200 * time.Millisecond
)

// Config holds the settings and dependencies of a Quorum.
type Config struct {
	Settings settings.Control
	Registry registry.Config
	Disk     tanagerroad.Disk
	Clock    tanagerroad.Clock
	Conns    *peer.ConnPool
	Logger   *zap.Logger
}

// View is a snapshot of the registry and the replica for the rest of the process.
// It must not be modified.
type View struct {
	ID         string
	Role       string
	Term       uint64
	Commit     uint64 // index of the last committed log entry
	Leader     string // address of the leader, empty if unknown
	Leaving    bool   // whether this instance has announced that it shuts down
	SafeToStop bool   // whether the other voters have a quorum without this instance
	Revision   *wire.Revision
	Quarantine *wire.Quarantine
	Members    []*wire.Member // of the newest membership that is known to be committed
	InForce    []*wire.Member // of the newest membership in the log, which counts for the quorum
	Claims     int            // number of claims that the registry keeps
	ClaimBytes int            // total size of their answers
	LogEntries int            // number of log entries after the snapshot
	DiskFailed bool           // whether a write that failed has not succeeded yet; Leader is empty then
	Catalog    *wire.Catalog
	Bases      []*wire.PoolBase // base versions of the pools, see package origin
	BaseChange uint64           // grows with each change of Bases
	Origins    int              // number of recorded streams
	Instances  []string         // peer addresses of Members and InForce, sorted
	Retention  time.Duration    // of settled claims

	Evacuations      []*wire.Evacuation // of all zones that an order was given for
	EvacuationChange uint64             // grows whenever one begins or ends
	Departures       []*wire.Departure  // recent ones of backend servers, oldest first
	DepartureCount   uint64             // of all that were ever recorded
	CaughtUp         bool               // this instance follows a leader and has applied what that has committed
}

// proposal is a command and the channel for its outcome. The channel is closed
// without an outcome if the loop stops while the command waits in the log.
type proposal struct {
	command *wire.Command
	reply   chan *wire.Outcome
}

// readRequest is a pending linearizable read. done receives true after serve has
// run, or false if the read could not be confirmed.
type readRequest struct {
	serve func(*registry.Registry)
	done  chan bool
}

// waiter is the caller of a command that was appended to the log in the given term.
type waiter struct {
	term  uint64
	reply chan *wire.Outcome
}

// Counters count syncs of the journal, applied commands, and messages to other control
// instances: those queued for sending, and those dropped because the queue was full or
// the receiver's address unknown.
type Counters struct {
	Syncs, AppliedCommands, SentMessages, DroppedMessages atomic.Int64
}

// Quorum is one control instance's member of the replicated registry.
type Quorum struct {
	config    Config
	id        string
	store     *replica.Store
	replica   *replica.Replica
	registry  *registry.Registry
	transport *transport
	Counters  Counters

	inbox        chan *wire.Message
	proposals    chan proposal
	readRequests chan readRequest
	leaving      chan struct{} // closed by Leave
	leaveOnce    sync.Once
	stopped      chan struct{} // closed when the loop has ended

	// Used by the loop only.
	waiters       map[uint64]waiter      // by log index
	pendingReads  map[uint64]readRequest // by read token
	lastReadToken uint64
	journalBytes  int64           // of the journal at the start, and of what was appended since the latest snapshot
	held          *replica.Output // whose records could not be written yet; the replica stands still meanwhile
	broken        bool            // the state cannot be applied; the instance acknowledges nothing more
	diskFailedAt  time.Duration   // when the disk failed, while it does; otherwise 0

	view    atomic.Pointer[View]
	changed *signal.Signal
	formed  atomic.Bool // whether the replica has started

	mu              sync.Mutex     // guards the fields below
	snapshotMembers []*wire.Member // of the snapshot that the replica started from
	seeds           []string       // peer addresses that the settings list
}

// New opens the store and starts the loop. The returned function stops it. An
// instance without stored data first forms a cluster with the others, or joins
// theirs, in the background.
func New(config Config) (*Quorum, func(), error) {
	q := &Quorum{
		config:       config,
		store:        replica.NewStore(config.Disk),
		registry:     registry.New(config.Registry),
		inbox:        make(chan *wire.Message, queueLength),
		proposals:    make(chan proposal, queueLength),
		readRequests: make(chan readRequest, queueLength),
		leaving:      make(chan struct{}),
		stopped:      make(chan struct{}),
		changed:      signal.New(),
		waiters:      map[uint64]waiter{},
		pendingReads: map[uint64]readRequest{},
		seeds:        config.Settings.Instances,
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
	// The snapshot is committed, so it is restored although the disk may refuse the first
	// write of this start.
	if err := q.restore(stored.Snapshot.GetImage()); err != nil {
		return nil, nil, fmt.Errorf("control instance: %w", err)
	}
	q.transport = newTransport(config.Conns, config.Settings.Peer.AdvertisedAddress(), config.Logger, &q.Counters)
	ctx, cancel := context.WithCancel(context.Background())
	if !empty {
		q.startReplica(stored)
	}
	q.publishView()
	q.transport.group.Go(func() { q.findPeers(ctx) })
	go func() {
		defer close(q.stopped)
		if empty && !q.formCluster(ctx) {
			return
		}
		q.run(ctx)
	}()
	return q, func() {
		cancel()
		<-q.stopped
		q.transport.close()
	}, nil
}

// startReplica creates the replica from stored data.
func (q *Quorum) startReplica(stored replica.Stored) {
	s := q.config.Settings
	q.replica = replica.New(replica.Config{
		ID: q.id, Address: s.Peer.AdvertisedAddress(), ElectionTimeout: s.ElectionTimeout.Std(), HeartbeatInterval: s.HeartbeatInterval.Std(),
		Seed: xxhash.Sum64String(q.id), MaxEntries: maxEntriesPerMessage, MaxChunkBytes: maxChunkBytes,
		OpenMembership: s.OpenMembership, RemoveAfter: removalTimeout, Tolerate: s.Tolerate,
	}, q.config.Clock.Now(), stored)
	q.mu.Lock()
	q.snapshotMembers = q.replica.SnapshotMembers()
	q.mu.Unlock()
	q.formed.Store(true)
}

// Hello returns this instance's identity and whether it has no stored data yet.
func (q *Quorum) Hello() *wire.HelloReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &wire.HelloReply{
		Id: q.id, Address: q.config.Settings.Peer.AdvertisedAddress(), Empty: !q.formed.Load(), Members: q.snapshotMembers,
		Bootstrap: q.mayFormByMajority() && !q.formed.Load(),
	}
}

// helloInterval is how often an instance without stored data asks the others for
// their identity.
const helloInterval = 250 * time.Millisecond

// formationPatience is how long an instance that starts with all others waits for each of them,
// before a majority is enough. Instances that get power together start within a second.
const formationPatience = 2 * time.Second

// formCluster runs on an instance without stored data until it has formed a cluster
// with the others or can join an existing one. It returns false if ctx ends first.
func (q *Quorum) formCluster(ctx context.Context) bool {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	started := q.config.Clock.Now()
	for {
		listed := q.knownAddresses()
		replies := q.transport.helloAll(ctx, q.Hello(), listed)
		replies[q.config.Settings.Peer.AdvertisedAddress()] = q.Hello()
		decide := replica.DecideFormation
		if q.mayFormByMajority() && q.config.Clock.Now()-started > formationPatience {
			decide = replica.DecideFormationByMajority
		}
		formation, members := decide(q.Hello(), listed, replies)
		if formation == replica.StartWithMembers && !q.config.Settings.Bootstrap && !clusterExists(replies) {
			formation = replica.Wait // an instance that lost its data must not form a second cluster
		}
		switch formation {
		case replica.StartWithMembers:
			if q.initialize(members) {
				event.ClusterFormed.Log(q.config.Logger, zap.String("id", q.id), zap.Int("members", len(members)))
				return true
			}
		case replica.JoinExisting:
			if q.initialize(nil) {
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

// mayFormByMajority reports whether the settings say that the whole cluster starts for the first
// time. With a closed membership bootstrap may stay set, so that it says nothing of the disk.
func (q *Quorum) mayFormByMajority() bool {
	return q.config.Settings.Bootstrap && q.config.Settings.OpenMembership
}

const (
	// findPeersInterval is how often an instance without a leader asks who is at the
	// addresses that it knows.
	findPeersInterval = time.Second
	// missingLeaderRounds is the number of such rounds after which leader-missing is
	// logged, each time.
	missingLeaderRounds = 3
)

// findPeers keeps the identities at the known addresses up to date while no leader is known:
// all members that were known may have been replaced, or may not lead.
func (q *Quorum) findPeers(ctx context.Context) {
	ticker := time.NewTicker(findPeersInterval)
	defer ticker.Stop()
	rounds := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if q.View().Leader != "" {
			rounds = 0
			continue
		}
		if rounds++; rounds%missingLeaderRounds == 0 {
			q.logMissingLeader()
		}
		if q.formed.Load() { // otherwise formCluster asks them
			q.transport.helloAll(ctx, q.Hello(), q.knownAddresses())
		}
	}
}

// logMissingLeader logs what is known of the members: who does not reply, whose disk refuses
// writes, and who counts for the quorum.
func (q *Quorum) logMissingLeader() {
	v := q.View()
	var members []string
	for _, m := range v.InForce {
		part, last := "learner", "never heard of"
		if m.GetVoter() {
			part = "voter"
		}
		if at, ok := q.transport.lastMessage(m.GetId()); ok {
			last = fmt.Sprint("last message ", (q.config.Clock.Now() - at).Round(time.Millisecond), " ago")
		}
		if m.GetId() == q.id {
			last = "this instance"
		}
		members = append(members, fmt.Sprintf("%s %s %s, %s", m.GetId(), m.GetAddress(), part, last))
	}
	event.LeaderMissing.Log(q.config.Logger, zap.String("id", q.id), zap.Bool("formed", q.formed.Load()), zap.String("replica-role", v.Role),
		zap.Uint64("term", v.Term), zap.Uint64("commit", v.Commit), zap.Bool("disk-failed", v.DiskFailed), zap.Strings("members", members),
		zap.Strings("known", q.knownAddresses()))
}

// knownAddresses returns the peer addresses of Instances and of the instances that this one
// has had messages from, sorted and without duplicates.
func (q *Quorum) knownAddresses() []string {
	all := append(q.Instances(), q.transport.knownAddresses()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// SetSeeds replaces the peer addresses of the instances that the settings list.
func (q *Quorum) SetSeeds(addresses []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seeds = addresses
}

// Instances returns the peer addresses of the members and the configured instances,
// sorted and without duplicates.
func (q *Quorum) Instances() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := slices.Concat(q.seeds, q.View().Instances)
	slices.Sort(all)
	return slices.Compact(all)
}

// clusterExists reports whether any of the instances has stored data.
func clusterExists(replies map[string]*wire.HelloReply) bool {
	for _, reply := range replies {
		if !reply.GetEmpty() {
			return true
		}
	}
	return false
}

// initialize writes the initial members to the journal, if there are any, and starts
// the replica. Without members the replica joins an existing cluster. It returns
// false if the write failed.
func (q *Quorum) initialize(members []*wire.Member) bool {
	mark := &wire.SnapshotMark{Members: members}
	if len(members) > 0 {
		record := &wire.Record{Body: &wire.Record_Snapshot{Snapshot: mark}}
		if err := q.store.Replace([]*wire.Record{record}); err != nil {
			q.logDisk(err)
			q.publishView()
			return false
		}
		q.logDisk(nil)
	}
	q.startReplica(replica.Stored{Snapshot: mark})
	return true
}

// run is the loop that owns the replica.
func (q *Quorum) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	q.processOutput()
	leaving := q.leaving
	for ctx.Err() == nil {
		if q.held != nil {
			q.awaitDisk(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-leaving:
			leaving = nil
			q.replica.Leave()
		case m := <-q.inbox:
			q.replica.Step(q.config.Clock.Now(), m)
		case p := <-q.proposals:
			q.propose(p)
		case r := <-q.readRequests:
			q.startRead(r)
		case <-ticker.C:
			now := q.config.Clock.Now()
			q.replica.Tick(now)
			q.replica.Join(now, q.transport.knownPeers())
		}
		q.drainQueues()
		q.replica.Flush()
		q.processOutput()
		if q.replica.Leaving() {
			q.publishView() // the leader's agreement brings no output
		}
	}
	q.failPending()
}

// awaitDisk retries the write that failed until it succeeds or ctx ends. Calls fail at once,
// and messages are dropped: the replica must not go on from a state that is not durable.
func (q *Quorum) awaitDisk(ctx context.Context) {
	ticker := time.NewTicker(diskRetryInterval)
	defer ticker.Stop()
	for q.held != nil {
		select {
		case <-ctx.Done():
			return
		case <-q.inbox:
		case p := <-q.proposals:
			p.reply <- &wire.Outcome{Kind: registry.NoQuorum, Reason: "this instance's disk refuses writes"}
		case r := <-q.readRequests:
			r.done <- false
		case <-ticker.C:
			q.carryOut(*q.held)
		}
	}
}

// failPending ends the calls that wait for the replica: whether their commands are applied
// is unknown, and their reads are not confirmed.
func (q *Quorum) failPending() {
	for index, w := range q.waiters {
		close(w.reply)
		delete(q.waiters, index)
	}
	for token, r := range q.pendingReads {
		r.done <- false
		delete(q.pendingReads, token)
	}
}

// drainQueues handles the messages and proposals that are already queued, so that one
// sync covers all of them.
func (q *Quorum) drainQueues() {
	if !q.config.Settings.GroupCommit {
		return
	}
	for range maxGroupSize {
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

// propose appends a command to the log if this instance leads.
func (q *Quorum) propose(p proposal) {
	if q.broken {
		p.reply <- &wire.Outcome{Kind: registry.NoQuorum, Reason: "this instance cannot apply the log"}
		return
	}
	p.command.AtMillis = q.config.Clock.Wall().UnixMilli()
	p.command.RetentionMillis = q.config.Registry.ClaimRetention.Milliseconds()
	data, err := proto.Marshal(p.command)
	if err != nil {
		p.reply <- &wire.Outcome{Kind: registry.Invalid, Reason: err.Error()}
		return
	}
	index, term, ok := q.replica.Propose(data)
	if !ok {
		p.reply <- q.notLeaderOutcome()
		return
	}
	q.waiters[index] = waiter{term, p.reply}
}

// notLeaderOutcome redirects the caller to the leader if it is known.
func (q *Quorum) notLeaderOutcome() *wire.Outcome {
	if leader := q.replica.LeaderAddress(); leader != "" && leader != q.config.Settings.Peer.AdvertisedAddress() {
		return &wire.Outcome{Kind: registry.Redirect, Leader: leader}
	}
	return &wire.Outcome{Kind: registry.NoQuorum, Reason: "no leader is known here"}
}

// startRead asks the replica to confirm that this instance leads.
func (q *Quorum) startRead(r readRequest) {
	if q.broken {
		r.done <- false
		return
	}
	q.lastReadToken++
	q.pendingReads[q.lastReadToken] = r
	q.replica.Read(q.lastReadToken)
}

// processOutput carries out the replica's pending output, unless the state cannot be applied
// any more.
func (q *Quorum) processOutput() {
	out := q.replica.TakeOutput()
	if out.Empty() || q.broken {
		return
	}
	q.carryOut(out)
}

// carryOut handles an output in the order that its contract requires: records are persisted
// before messages are sent and entries applied. If they cannot be written, the output is held
// until they can, so that nothing is acknowledged before.
func (q *Quorum) carryOut(out replica.Output) {
	if err := q.persist(out); err != nil {
		q.hold(out, err)
		return
	}
	q.held = nil
	q.logDisk(nil)
	q.transport.send(out.Send)
	if err := q.restore(out.Restore); err != nil {
		q.onBroken(err)
		return
	}
	for _, e := range out.Apply {
		if err := q.apply(e); err != nil {
			q.onBroken(fmt.Errorf("apply entry %d: %w", e.GetIndex(), err))
			return
		}
	}
	q.finishReads(out.Reads, true)
	q.finishReads(out.FailedReads, false)
	q.compact()
	q.publishView()
}

// restore replaces the registry's state with that of an image, if there is one.
func (q *Quorum) restore(image []byte) error {
	if len(image) == 0 {
		return nil
	}
	if err := q.registry.Restore(image); err != nil {
		return fmt.Errorf("restore the snapshot: %w", err)
	}
	return nil
}

// persist writes and syncs the records of out.
func (q *Quorum) persist(out replica.Output) error {
	started := q.config.Clock.Now()
	n, err := q.store.Persist(out, q.replica.JournalRecords)
	if took := q.config.Clock.Now() - started; took >= slowSyncThreshold {
		event.DiskSlow.Log(q.config.Logger, zap.Duration("took", took), zap.Int("bytes", n), zap.Int("records", len(out.Save)))
	}
	if n > 0 {
		q.Counters.Syncs.Add(1)
	}
	if out.Install != nil {
		q.journalBytes = 0
	}
	q.journalBytes += int64(n)
	return err
}

// hold keeps an output whose records could not be written, and fails the pending calls.
func (q *Quorum) hold(out replica.Output, err error) {
	q.held = &out
	q.logDisk(err)
	q.failPending()
	q.publishView()
}

// logDisk logs that the disk begins to refuse writes, or takes them again if err is nil.
func (q *Quorum) logDisk(err error) {
	switch failing := q.diskFailedAt > 0; {
	case err != nil && !failing:
		q.diskFailedAt = max(1, q.config.Clock.Now())
		event.DiskFailed.Log(q.config.Logger, zap.Error(err))
	case err == nil && failing:
		event.DiskRecovered.Log(q.config.Logger, zap.Duration("failed-for", q.config.Clock.Now()-q.diskFailedAt))
		q.diskFailedAt = 0
	}
}

// onBroken stops this instance from acknowledging anything: its state is not that of the
// log any more.
func (q *Quorum) onBroken(err error) {
	q.broken = true
	event.LogUnusable.Log(q.config.Logger, zap.Error(err))
	q.failPending()
	q.publishView()
}

// apply applies a committed entry to the registry and replies to its waiter. It fails if the
// entry cannot be decoded.
func (q *Quorum) apply(e *wire.Entry) error {
	var outcome *wire.Outcome
	if len(e.GetMembers()) > 0 {
		event.MembershipChanged.Log(q.config.Logger, zap.Any("members", e.GetMembers()))
	}
	if len(e.GetCommand()) > 0 {
		var command wire.Command
		if err := proto.Unmarshal(e.GetCommand(), &command); err != nil {
			return err
		}
		outcome = q.registry.Apply(e.GetIndex(), &command)
		q.Counters.AppliedCommands.Add(1)
		q.logOutcome(&command, outcome)
	}
	w, ok := q.waiters[e.GetIndex()]
	if !ok {
		return nil
	}
	delete(q.waiters, e.GetIndex())
	if w.term != e.GetTerm() { // a later leader replaced the entry at this index
		outcome = &wire.Outcome{Kind: registry.NoQuorum, Reason: "another leader's entry took its place"}
	}
	w.reply <- outcome
	return nil
}

// logOutcome logs table changes and convictions.
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
	if reports := command.GetCrashReports(); len(reports.GetReports()) > 0 || outcome.GetReason() != "" && reports != nil {
		q.logCrashes(reports.GetReports(), outcome.GetReason())
	}
	if s := command.GetSetEvacuation(); s != nil {
		event.EvacuationSet.Log(q.config.Logger, zap.String("order-zone", s.GetZone()), zap.Bool("active", s.GetActive()), zap.Uint64("from-version", s.GetFromVersion()),
			zap.String("outcome", outcome.GetKind()), zap.Uint64("version", outcome.GetRevision()))
	}
	if c := command.GetClearCauses(); c != nil {
		event.CausesCleared.Log(q.config.Logger, zap.Uint64s("fingerprints", c.GetFingerprints()))
	}
}

// logCrashes logs the backend servers that were reported to have crashed, and what that
// convicts.
func (q *Quorum) logCrashes(reports []*wire.CrashReport, convicted string) {
	suspects := 0
	var servers []string
	for _, report := range reports {
		servers = append(servers, fmt.Sprintf("%s/%d", report.GetServer(), report.GetStart()))
		suspects += len(report.GetSuspects())
	}
	strongest := q.registry.StrongestSuspect()
	event.CrashReported.Log(q.config.Logger, zap.Strings("servers", servers), zap.Int("suspects", suspects), zap.String("convicted", convicted),
		zap.String("strongest", strongest.Label), zap.Int("outages", strongest.Outages), zap.Int("in-crashes", strongest.Servers),
		zap.Float64("evidence", strongest.Evidence))
}

// finishReads serves the reads that were confirmed, or fails the others.
func (q *Quorum) finishReads(tokens []uint64, ok bool) {
	for _, token := range tokens {
		r, pending := q.pendingReads[token]
		if !pending {
			continue // failed with the disk
		}
		delete(q.pendingReads, token)
		if ok {
			r.serve(q.registry)
		}
		r.done <- ok
	}
}

// compact replaces the journal with a snapshot once it reaches the size that the
// settings allow.
func (q *Quorum) compact() {
	if q.journalBytes < int64(q.config.Settings.CompactAtSize) || q.replica.AppliedLength() == 0 {
		return
	}
	image, err := q.registry.Snapshot()
	if err != nil {
		q.onBroken(fmt.Errorf("encode a snapshot: %w", err))
		return
	}
	q.journalBytes = 0
	if err := q.store.Replace(q.replica.Compact(image)); err != nil {
		q.hold(replica.Output{}, err)
		return
	}
	event.SnapshotTaken.Log(q.config.Logger, zap.Uint64("index", q.replica.CommitIndex()), zap.Int("bytes", len(image)))
}

// publishView stores a new View, logs changes of role and leader, and announces
// changes of the revision, catalog or quarantine.
func (q *Quorum) publishView() {
	v := View{ID: q.id, Revision: q.registry.CurrentRevision(), Quarantine: q.registry.Quarantine(), DiskFailed: q.diskFailedAt > 0, Catalog: q.registry.Catalog(), Retention: q.registry.ClaimRetention()}
	v.Claims, v.ClaimBytes = q.registry.ClaimStats()
	v.Bases, v.BaseChange = q.registry.Origins().Bases()
	v.Evacuations, v.EvacuationChange = q.registry.Evacuations()
	v.Departures, v.DepartureCount = q.registry.Departures()
	v.Origins = q.registry.Origins().Len()
	if q.replica != nil {
		v.Role, v.Term, v.Commit = q.replica.Role(), q.replica.Term(), q.replica.CommitIndex()
		v.Leader, v.Members = q.replica.LeaderAddress(), q.replica.CommittedMembers()
		v.Leaving = q.replica.Leaving()
		v.SafeToStop, v.CaughtUp = q.replica.SafeToStop(), q.replica.CaughtUp()
		v.InForce = q.replica.Members()
		for _, m := range slices.Concat(v.Members, v.InForce) {
			v.Instances = append(v.Instances, m.GetAddress())
		}
		slices.Sort(v.Instances)
		v.Instances = slices.Compact(v.Instances)
		for _, m := range q.replica.Members() {
			q.transport.setAddress(m.GetId(), m.GetAddress())
		}
		v.LogEntries = q.replica.LogLength()
		if v.DiskFailed || q.broken {
			v.Leader, v.CaughtUp = "", false // what the replica says is as of the failure
		}
	}
	old := q.view.Swap(&v)
	if old != nil && (old.Role != v.Role || old.Leader != v.Leader) {
		event.RoleChanged.Log(q.config.Logger, zap.String("role", v.Role), zap.Uint64("term", v.Term), zap.String("leader", v.Leader))
		if old.Role == replica.Leader && v.Role != replica.Leader && v.Leader == "" {
			event.NoQuorum.Log(q.config.Logger, zap.Uint64("term", v.Term))
		}
	}
	if old == nil || old.Revision != v.Revision || old.Catalog != v.Catalog || old.Quarantine.GetVersion() != v.Quarantine.GetVersion() ||
		old.BaseChange != v.BaseChange || old.EvacuationChange != v.EvacuationChange || old.DepartureCount != v.DepartureCount || old.CaughtUp != v.CaughtUp {
		q.changed.Broadcast()
	}
}

// View returns the latest published view.
func (q *Quorum) View() View { return *q.view.Load() }

// Leave prepares the shutdown of this instance: if it leads, it asks another voter to
// take over. Leave returns once the leader has agreed that the other voters have a quorum
// without this instance, or ctx ends. If this instance is the only member, it returns at once.
func (q *Quorum) Leave(ctx context.Context) {
	q.leaveOnce.Do(func() { close(q.leaving) })
	for view := q.View(); len(view.Members) > 1 && !(view.Leaving && view.SafeToStop) && ctx.Err() == nil; view = q.View() {
		select {
		case <-ctx.Done():
		case <-time.After(tickInterval):
		}
	}
}

// Changed returns a channel that closes when the next change of the registry's state that
// other processes are told comes into force.
func (q *Quorum) Changed() <-chan struct{} { return q.changed.Changed() }

// Receive queues a message from another control instance without blocking.
func (q *Quorum) Receive(m *wire.Message) {
	q.transport.noteMessage(q.config.Clock.Now(), m)
	select {
	case q.inbox <- m:
	default: // the queue is full; the protocol tolerates lost messages
	}
}

var errOutcomeUnknown = errors.New("propose: the instance stopped, or its disk failed, before the command's outcome was known")

// Propose appends a command to the replicated log and returns its outcome. It
// returns an error only if it is unknown whether the command was applied.
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
			return nil, errOutcomeUnknown
		}
		return outcome, nil
	case <-q.stopped:
		select {
		case outcome, ok := <-reply:
			if ok {
				return outcome, nil
			}
		default:
		}
		return nil, errOutcomeUnknown
	case <-ctx.Done():
		return nil, fmt.Errorf("propose: %w", ctx.Err())
	}
}

// Read calls serve with the registry after a quorum has confirmed that this instance
// leads, and reports whether it called serve. If ctx ends first it returns false, but
// serve may still be called later.
func (q *Quorum) Read(ctx context.Context, serve func(*registry.Registry)) bool {
	if !q.formed.Load() {
		return false
	}
	r := readRequest{serve, make(chan bool, 1)}
	select {
	case q.readRequests <- r:
	case <-q.stopped:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-r.done:
		return ok
	case <-q.stopped:
		select {
		case ok := <-r.done:
			return ok
		default:
			return false
		}
	case <-ctx.Done():
		return false
	}
}
