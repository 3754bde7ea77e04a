// Package registry is the state that the control instances replicate: both
// tables with their revisions, the claims of not-repeatable requests, what is
// known of requests that crash backend servers, and fencing numbers. Applying
// the same commands in the same order gives the same state on every instance;
// the only time it knows is the one that the leader wrote into each command.
//
// It is not the replication itself; see package replica.
package registry

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/chart"
	"tanagerroad/core/table"
	"tanagerroad/core/wire"
)

//go:embed claim.json
var claimJSON []byte

var claimChart = chart.MustParse("claim.json", claimJSON)

// Config bounds what the registry keeps.
type Config struct {
	Revisions      int           // whole revisions kept
	Changes        int           // lines of the change log kept, with their change ids
	Claims         int           // claims kept; a full registry refuses new ones rather than forget early
	ClaimRetention time.Duration // how long a settled claim and its answer are kept
	KeptAnswer     int           // bytes of an answer kept with its claim
	AnswerBytes    int           // of all answers kept; beyond it only their claims are
	Quarantine     time.Duration // how long a convicted fingerprint is refused
	Suspicion      time.Duration // how long a suspect runs only alone
	Fingerprints   int           // suspects and convicted kept
	Reports        int           // crash reports remembered, so that a resend counts once
}

// DefaultConfig holds the documented bounds.
func DefaultConfig() Config {
	return Config{
		Revisions:      16,
		Changes:        4096,
		Claims:         60000,
		ClaimRetention: 15 * time.Minute,
		KeptAnswer:     16 << 10,
		AnswerBytes:    16 << 20,
		Quarantine:     10 * time.Minute,
		Suspicion:      time.Minute,
		Fingerprints:   1024,
		Reports:        1024,
	}
}

// Kinds of outcome.
const (
	Accepted = "accepted"
	Conflict = "conflict"
	Invalid  = "invalid"
	Granted  = "granted"
	Held     = "held"
	Mismatch = "mismatch" // same request id, other content
	Moved    = "moved"    // the claim is bound to another attempt by now
	Full     = "full"
	NoQuorum = "no-quorum"
	Redirect = "redirect"
)

// Running is the kind of a claim that is not settled.
const Running = "running"

// claimUnknown is the kind of a claim whose fate is lost.
const claimUnknown = "unknown"

// claimKey names a claim: ids belong to their workspace.
type claimKey struct{ workspace, request string }

// opening is the grant of a claim. The same id may be claimed again after its
// claim was given back, so the time tells which grant is meant.
type opening struct {
	key claimKey
	at  int64 // Unix milliseconds
}

// Registry is the replicated state. The zero value is not ready; use New.
type Registry struct {
	config  Config
	current *wire.Revision
	recent  []*wire.Revision
	changes []*wire.Change
	byID    map[string]*wire.Change

	claims  map[claimKey]*wire.Held
	opened  []opening  // in the order in which they were granted
	settled []claimKey // in the order in which they settled
	bytes   int        // of kept answers

	convictions map[uint64]*wire.Conviction
	quarantine  uint64 // version
	reports     []string

	fences  map[string]*wire.FenceState
	catalog *wire.Catalog
	latest  int64 // highest command time seen, Unix milliseconds
}

// New returns an empty registry, at revision 0.
func New(config Config) *Registry {
	return &Registry{
		config:      config,
		current:     &wire.Revision{},
		byID:        map[string]*wire.Change{},
		claims:      map[claimKey]*wire.Held{},
		convictions: map[uint64]*wire.Conviction{},
		fences:      map[string]*wire.FenceState{},
	}
}

// Apply carries out the command that the log holds at index.
func (r *Registry) Apply(index uint64, command *wire.Command) *wire.Outcome {
	r.latest = max(r.latest, command.GetAtMillis())
	r.expire()
	switch body := command.GetBody().(type) {
	case *wire.Command_PutTables:
		return r.putTables(index, body.PutTables)
	case *wire.Command_Claim:
		return r.claim(body.Claim)
	case *wire.Command_Rebind:
		return r.rebind(body.Rebind)
	case *wire.Command_Settle:
		return r.settle(body.Settle)
	case *wire.Command_Crash:
		return r.crash(body.Crash)
	case *wire.Command_Lift:
		return r.lift(body.Lift)
	case *wire.Command_Fence:
		return r.fence(body.Fence)
	case *wire.Command_PutCatalog:
		return r.putCatalog(body.PutCatalog.GetCatalog())
	}
	return &wire.Outcome{Kind: Invalid, Reason: "an unknown command"}
}

// Current is the revision of the tables in force.
func (r *Registry) Current() *wire.Revision { return r.current }

// Revision is a recent revision by its number, or nil.
func (r *Registry) Revision(number uint64) *wire.Revision {
	for _, v := range r.recent {
		if v.GetNumber() == number {
			return v
		}
	}
	return nil
}

// Catalog is the gateways' configuration in force; nil before the first.
func (r *Registry) Catalog() *wire.Catalog { return r.catalog }

// putCatalog keeps the highest version. An older or equal one is accepted and
// changes nothing, so that a resend after a lost answer gets the same answer.
func (r *Registry) putCatalog(c *wire.Catalog) *wire.Outcome {
	if r.catalog == nil || c.GetVersion() > r.catalog.GetVersion() {
		r.catalog = c
	}
	return &wire.Outcome{Kind: Accepted, Revision: r.catalog.GetVersion()}
}

// Changes is the change log, oldest first.
func (r *Registry) Changes() []*wire.Change { return r.changes }

// Claims is the number of claims kept and the bytes of their answers.
func (r *Registry) Claims() (count, answerBytes int) { return len(r.claims), r.bytes }

func (r *Registry) putTables(index uint64, put *wire.PutTables) *wire.Outcome {
	if first, ok := r.byID[put.GetChangeId()]; ok {
		return &wire.Outcome{Kind: Accepted, Revision: first.GetRevision()}
	}
	if put.GetFromRevision() != r.current.GetNumber() {
		return &wire.Outcome{Kind: Conflict, Revision: r.current.GetNumber(), Reason: r.current.GetOperator()}
	}
	next := &wire.Revision{
		Number:   r.current.GetNumber() + 1,
		Index:    index,
		Routes:   r.current.GetRoutes(),
		Pools:    r.current.GetPools(),
		ChangeId: put.GetChangeId(),
		Operator: put.GetOperator(),
		AtMillis: r.latest,
		Base:     put.GetFromRevision(),
	}
	if len(put.GetRoutes()) > 0 {
		next.Routes = put.GetRoutes()
	}
	if len(put.GetPools()) > 0 {
		next.Pools = put.GetPools()
	}
	// The revision accepted last may have moved one table since the leader
	// checked the other, so both are checked again here.
	if _, findings := table.Parse("routes.json", next.GetRoutes(), "pools.json", next.GetPools()); len(findings) > 0 {
		text, _ := json.Marshal(findings)
		return &wire.Outcome{Kind: Invalid, Reason: findings.Error(), Findings: text, Revision: r.current.GetNumber()}
	}
	r.accept(next)
	return &wire.Outcome{Kind: Accepted, Revision: next.GetNumber()}
}

func (r *Registry) accept(next *wire.Revision) {
	r.current = next
	r.recent = keepLast(append(r.recent, next), r.config.Revisions)
	change := &wire.Change{
		ChangeId: next.GetChangeId(),
		Revision: next.GetNumber(),
		Operator: next.GetOperator(),
		AtMillis: next.GetAtMillis(),
		Base:     next.GetBase(),
	}
	r.changes = append(r.changes, change)
	r.byID[change.GetChangeId()] = change
	if len(r.changes) > r.config.Changes {
		delete(r.byID, r.changes[0].GetChangeId())
		r.changes = slices.Clone(r.changes[1:])
	}
}

func keepLast[T any](list []T, most int) []T {
	if len(list) <= most {
		return list
	}
	return slices.Clone(list[len(list)-most:])
}

func (r *Registry) claim(c *wire.Claim) *wire.Outcome {
	key := claimKey{c.GetWorkspace(), c.GetRequest()}
	if held, ok := r.claims[key]; ok {
		if held.GetDigest() != c.GetDigest() {
			return &wire.Outcome{Kind: Mismatch, Reason: "the request id was used with other content"}
		}
		if sameKey(held.GetKey(), c.GetKey()) && held.GetKind() == Running {
			return &wire.Outcome{Kind: Granted, Claim: held} // a resend of the command itself
		}
		return &wire.Outcome{Kind: Held, Claim: held}
	}
	if len(r.claims) >= r.config.Claims {
		return &wire.Outcome{Kind: Full, Reason: "the registry holds as many claims as it may"}
	}
	held := &wire.Held{
		Request:    c.GetRequest(),
		Workspace:  c.GetWorkspace(),
		Digest:     c.GetDigest(),
		Server:     c.GetServer(),
		Address:    c.GetAddress(),
		Generation: c.GetGeneration(),
		Key:        c.GetKey(),
		Kind:       Running,
		AtMillis:   r.latest,
	}
	r.claims[key] = held
	r.opened = append(r.opened, opening{key, r.latest})
	return &wire.Outcome{Kind: Granted, Claim: held}
}

func (r *Registry) rebind(b *wire.Rebind) *wire.Outcome {
	held, ok := r.claims[claimKey{b.GetWorkspace(), b.GetRequest()}]
	if !ok {
		return &wire.Outcome{Kind: Moved, Reason: "no such claim"}
	}
	if held.GetKind() == Running && sameKey(held.GetKey(), b.GetKey()) && held.GetServer() == b.GetServer() {
		return &wire.Outcome{Kind: Granted, Claim: held}
	}
	if held.GetKind() != Running || !sameKey(held.GetKey(), b.GetFenced()) {
		return &wire.Outcome{Kind: Moved, Claim: held}
	}
	next := proto.CloneOf(held)
	next.Key = b.GetKey()
	next.Server = b.GetServer()
	next.Address = b.GetAddress()
	next.Generation = b.GetGeneration()
	r.claims[claimKey{b.GetWorkspace(), b.GetRequest()}] = next
	return &wire.Outcome{Kind: Granted, Claim: next}
}

func (r *Registry) settle(s *wire.Settle) *wire.Outcome {
	key := claimKey{s.GetWorkspace(), s.GetRequest()}
	held, ok := r.claims[key]
	if !ok || !sameKey(held.GetKey(), s.GetKey()) {
		return &wire.Outcome{Kind: Moved, Claim: held}
	}
	state, err := claimChart.Next(held.GetKind(), "settle-"+s.GetKind())
	if err != nil {
		return &wire.Outcome{Kind: Held, Claim: held, Reason: err.Error()}
	}
	if state == claimChart.Initial {
		delete(r.claims, key)
		return &wire.Outcome{Kind: Accepted}
	}
	next := proto.CloneOf(held)
	next.Kind = state
	next.Reason = s.GetReason()
	next.Length = uint64(len(s.GetAnswer()))
	if n := len(s.GetAnswer()); n <= r.config.KeptAnswer && r.bytes+n <= r.config.AnswerBytes {
		next.Answer = s.GetAnswer()
	}
	r.keepSettled(key, next)
	return &wire.Outcome{Kind: Accepted, Claim: next}
}

func (r *Registry) keepSettled(key claimKey, held *wire.Held) {
	held.AtMillis = r.latest
	r.bytes += len(held.GetAnswer())
	r.claims[key] = held
	r.settled = append(r.settled, key)
}

func sameKey(a, b *wire.Key) bool {
	return a.GetRequest() == b.GetRequest() && a.GetStage() == b.GetStage() && a.GetAttempt() == b.GetAttempt()
}

func (r *Registry) crash(c *wire.Crash) *wire.Outcome {
	if slices.Contains(r.reports, c.GetReport()) {
		return &wire.Outcome{Kind: Accepted}
	}
	r.reports = keepLast(append(r.reports, c.GetReport()), r.config.Reports)
	known, ok := r.convictions[c.GetFingerprint()]
	if !ok {
		if len(r.convictions) >= r.config.Fingerprints {
			return &wire.Outcome{Kind: Full, Reason: "as many fingerprints as may be kept"}
		}
		known = &wire.Conviction{Fingerprint: c.GetFingerprint(), Route: c.GetRoute()}
	}
	next := proto.CloneOf(known)
	next.Crashes++
	next.UntilMillis = r.latest + r.config.Suspicion.Milliseconds()
	next.Alone = next.GetAlone() || c.GetAlone()
	// Two crashes convict if one of them had nothing beside it; a neighbour
	// never runs alone when another crashes. The reports come from different
	// sidecars, in any order.
	if next.GetCrashes() > 1 && next.GetAlone() {
		next.Convicted = true
		next.UntilMillis = r.latest + r.config.Quarantine.Milliseconds()
	}
	r.convictions[c.GetFingerprint()] = next
	r.quarantine++
	return &wire.Outcome{Kind: Accepted, Reason: convictionName(next)}
}

func convictionName(c *wire.Conviction) string {
	if c.GetConvicted() {
		return "convicted"
	}
	return "suspect"
}

func (r *Registry) lift(l *wire.Lift) *wire.Outcome {
	known, ok := r.convictions[l.GetFingerprint()]
	if ok && !(known.GetConvicted() && l.GetSuspectOnly()) {
		delete(r.convictions, l.GetFingerprint())
		r.quarantine++
	}
	return &wire.Outcome{Kind: Accepted}
}

// Quarantine lists suspects and convicted, by fingerprint.
func (r *Registry) Quarantine() *wire.Quarantine {
	out := &wire.Quarantine{Version: r.quarantine}
	for _, c := range r.convictions {
		out.Convictions = append(out.Convictions, c)
	}
	slices.SortFunc(out.Convictions, func(a, b *wire.Conviction) int {
		return cmp.Compare(a.GetFingerprint(), b.GetFingerprint())
	})
	return out
}

func (r *Registry) fence(f *wire.Fence) *wire.Outcome {
	known := r.fences[f.GetServer()]
	if known.GetHolder() == f.GetHolder() && known != nil {
		return &wire.Outcome{Kind: Granted, Fence: known.GetNumber()}
	}
	next := &wire.FenceState{Server: f.GetServer(), Holder: f.GetHolder(), Number: known.GetNumber() + 1}
	r.fences[f.GetServer()] = next
	return &wire.Outcome{Kind: Granted, Fence: next.GetNumber()}
}

// expire drops what its retention has ended, by the commands' own time.
func (r *Registry) expire() {
	limit := r.latest - r.config.ClaimRetention.Milliseconds()
	r.abandon(limit)
	for len(r.settled) > 0 {
		held := r.claims[r.settled[0]]
		if held.GetAtMillis() > limit {
			break
		}
		r.bytes -= len(held.GetAnswer())
		delete(r.claims, r.settled[0])
		r.settled = r.settled[1:]
	}
	for fingerprint, c := range r.convictions {
		if c.GetUntilMillis() <= r.latest {
			delete(r.convictions, fingerprint)
			r.quarantine++
		}
	}
}

// abandon settles as unknown the claims that nobody settled within the
// retention: every deadline has long passed, and whether they ran is lost.
func (r *Registry) abandon(limit int64) {
	var late []claimKey
	for len(r.opened) > 0 && r.opened[0].at <= limit {
		o := r.opened[0]
		r.opened = r.opened[1:]
		if held := r.claims[o.key]; held.GetKind() == Running && held.GetAtMillis() == o.at {
			late = append(late, o.key)
		}
	}
	// Claims granted at one moment may stand in another order after a
	// restart from a snapshot; sorted, they settle alike everywhere.
	slices.SortFunc(late, compareKeys)
	for _, key := range slices.Compact(late) {
		next := proto.CloneOf(r.claims[key])
		next.Kind = claimUnknown
		next.Reason = "never settled"
		r.keepSettled(key, next)
	}
}

func compareKeys(a, b claimKey) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.request, b.request))
}
