// Package registry implements the state machine that the control instances
// replicate. Its state consists of:
//
//   - the route and pool tables, with their recent revisions and a change log
//   - the claims of non-repeatable requests; a claim binds a request to one
//     attempt and records the result, so that the request runs at most once
//   - the quarantine: fingerprints of requests that may crash backend servers;
//     a suspect runs with no other request on its server, a convicted one is
//     refused. Package quarantine decides on what requests have in common
//   - the fencing token of each backend server
//   - the gateways' catalog
//   - the software versions at which streams began, see package origin
//   - the availability zones whose backend servers get nothing more
//   - the backend servers that have left a short while ago
//
// The state is deterministic: applying the same commands in the same order
// gives the same state on every instance. The registry therefore reads no
// clock and uses only the time that the leader wrote into each command.
//
// Package replica replicates the commands.
package registry

import (
	"cmp"
	_ "embed"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/chart"
	"tanagerroad/core/origin"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/table"
	"tanagerroad/core/wire"
)

//go:embed claim.json
var claimJSON []byte

var claimChart = chart.MustParse("claim.json", claimJSON)

// Config bounds the registry's size and sets how long entries are kept.
type Config struct {
	MaxRevisions        int           // revisions kept with both tables
	MaxChanges          int           // change log entries kept; a resent change is recognized while its entry is kept
	MaxClaims           int           // claims kept; at the limit new claims are refused, since dropping one early could let its request run twice
	ClaimRetention      time.Duration // how long a settled claim and its answer are kept; a claim unsettled for as long is settled as unknown
	MaxAnswerBytes      int           // a longer answer is not kept with its claim
	MaxTotalAnswerBytes int           // of all kept answers together; beyond that, claims are kept without their answers
	QuarantineDuration  time.Duration // how long a convicted fingerprint is refused
	SuspicionDuration   time.Duration // how long a suspect fingerprint runs only alone
	RecentSuspicion     time.Duration // how long no other suspect takes the place of one
	MaxFingerprints     int           // suspect and convicted fingerprints kept
	MaxCrashReports     int           // crash report ids kept, so that a resent report counts once
	MaxZones            int           // zones with the state of their evacuation
	DepartureRetention  time.Duration // how long departures of backend servers are kept; longer than an announcement can be delayed
	MaxDepartures       int           // departures kept; at the limit the oldest is dropped
}

// DefaultConfig returns the documented limits and durations.
func DefaultConfig() Config {
	return Config{
		MaxRevisions:        16,
		MaxChanges:          4096,
		MaxClaims:           60000,
		ClaimRetention:      15 * time.Minute,
		MaxAnswerBytes:      16 << 10,
		MaxTotalAnswerBytes: 16 << 20,
		QuarantineDuration:  24 * time.Hour,
		SuspicionDuration:   24 * time.Hour,
		RecentSuspicion:     time.Minute,
		MaxFingerprints:     1024,
		MaxCrashReports:     1024,
		MaxZones:            1024,
		DepartureRetention:  time.Minute,
		MaxDepartures:       4096,
	}
}

// The kinds of wire.Outcome.
const (
	Accepted       = "accepted"  // the command was applied, now or when it was sent first
	Conflict       = "conflict"  // the change is based on a revision that is no longer current
	Invalid        = "invalid"   // the command is malformed, or the tables have errors
	Granted        = "granted"   // the claim or the fencing token is the sender's
	AlreadyClaimed = "held"      // the request is claimed already, or its claim settled already; the outcome has the claim
	DigestMismatch = "mismatch"  // the request id was claimed with another digest
	ClaimMoved     = "moved"     // the claim is gone or bound to another attempt
	Sealed         = "sealed"    // the claim would be bound to a start of a sidecar that accepts no more attempts
	LimitReached   = "full"      // a size limit of Config is reached
	NoQuorum       = "no-quorum" // no leader with a quorum could be reached
	Redirect       = "redirect"  // this instance is not the leader; the outcome has the leader's address
)

// ClaimRunning is the kind of a claim that is not settled yet.
const ClaimRunning = "running"

// claimUnknown is the kind of a claim whose result was never reported.
const claimUnknown = "unknown"

// claimKey identifies a claim. Request ids are unique only within a workspace.
type claimKey struct{ workspace, request string }

// grant records that a claim was granted. A request whose claim was settled as
// not run can be claimed again, so one key may have several grants; their times
// distinguish them.
type grant struct {
	key      claimKey
	atMillis int64 // Unix time
}

// Registry is the replicated state. The zero value is not usable; call New.
// It is not safe for concurrent use.
type Registry struct {
	config      Config
	current     *wire.Revision
	recent      []*wire.Revision // oldest first
	changes     []*wire.Change   // oldest first
	changesByID map[string]*wire.Change

	claims      map[claimKey]*wire.Held // running and settled
	grants      []grant                 // in the order of the grants; claims settled since may be among them
	settled     []claimKey              // in the order in which they were settled
	seals       []*wire.Seal            // oldest first
	answerBytes int                     // total size of the kept answers

	quarantined       map[uint64]*wire.Conviction // suspects and convicted, by fingerprint
	quarantineVersion uint64                      // grows with each change of quarantined
	crashReports      []string                    // ids of recent reports, oldest first
	causes            *quarantine.Ledger
	origins           *origin.Ledger

	fences       map[string]*wire.FenceState // by server id
	catalog      *wire.Catalog
	evacuations  evacuations
	departures   departures
	latestMillis int64 // latest time of all commands, Unix time
}

// New returns an empty registry, at revision 0.
func New(config Config) *Registry {
	return &Registry{
		config:      config,
		current:     &wire.Revision{},
		changesByID: map[string]*wire.Change{},
		claims:      map[claimKey]*wire.Held{},
		quarantined: map[uint64]*wire.Conviction{},
		causes:      quarantine.New(quarantine.DefaultConfig()),
		origins:     origin.New(),
		fences:      map[string]*wire.FenceState{},
		evacuations: evacuations{changes: 1},
	}
}

// Apply executes the command of the log entry at index and returns its outcome.
// It first drops what has expired by the command's time. An unknown command has
// the outcome Invalid.
func (r *Registry) Apply(index uint64, command *wire.Command) *wire.Outcome {
	r.latestMillis = max(r.latestMillis, command.GetAtMillis())
	if millis := command.GetRetentionMillis(); millis > 0 {
		r.config.ClaimRetention = time.Duration(millis) * time.Millisecond
	}
	r.expire()
	switch body := command.GetBody().(type) {
	case *wire.Command_PutTables:
		return r.applyPutTables(index, body.PutTables)
	case *wire.Command_Claim:
		return r.applyClaim(body.Claim)
	case *wire.Command_Rebind:
		return r.applyRebind(body.Rebind)
	case *wire.Command_Settle:
		return r.applySettle(body.Settle)
	case *wire.Command_Seal:
		return r.applySeal(body.Seal)
	case *wire.Command_Crash:
		return r.applyCrash(body.Crash)
	case *wire.Command_Lift:
		return r.applyLift(body.Lift)
	case *wire.Command_Fence:
		return r.applyFence(body.Fence)
	case *wire.Command_PutCatalog:
		return r.applyPutCatalog(body.PutCatalog.GetCatalog())
	case *wire.Command_CrashReport:
		return r.applyCrashReports(body.CrashReport)
	case *wire.Command_CrashReports:
		return r.applyCrashReports(body.CrashReports.GetReports()...)
	case *wire.Command_ClaimTrial:
		return r.applyClaimTrial(body.ClaimTrial)
	case *wire.Command_EndTrial:
		return r.applyEndTrial(body.EndTrial)
	case *wire.Command_ClearCauses:
		return r.applyClearCauses(body.ClearCauses)
	case *wire.Command_RecordOrigins:
		r.origins.Record(r.latestMillis, body.RecordOrigins.GetOrigins())
		return &wire.Outcome{Kind: Accepted}
	case *wire.Command_ChangeBase:
		r.origins.ChangeBase(body.ChangeBase.GetPool(), body.ChangeBase.GetFrom(), body.ChangeBase.GetTo())
		return &wire.Outcome{Kind: Accepted}
	case *wire.Command_SetEvacuation:
		return r.applySetEvacuation(body.SetEvacuation)
	case *wire.Command_RecordDeparture:
		return r.applyRecordDeparture(body.RecordDeparture.GetAnnouncement())
	}
	return &wire.Outcome{Kind: Invalid, Reason: "an unknown command"}
}

// ClaimRetention returns how long settled claims are kept at present.
func (r *Registry) ClaimRetention() time.Duration { return r.config.ClaimRetention }

// CurrentRevision returns the current revision of both tables.
func (r *Registry) CurrentRevision() *wire.Revision { return r.current }

// Revision returns the revision with this number, or nil if it is not kept.
func (r *Registry) Revision(number uint64) *wire.Revision {
	for _, revision := range r.recent {
		if revision.GetNumber() == number {
			return revision
		}
	}
	return nil
}

// Catalog returns the gateways' current configuration, or nil if there is none
// yet.
func (r *Registry) Catalog() *wire.Catalog { return r.catalog }

// applyPutCatalog keeps the catalog with the highest version. An older or equal
// one is accepted and ignored, so that a client that resends its command after
// a lost reply gets the same outcome.
func (r *Registry) applyPutCatalog(c *wire.Catalog) *wire.Outcome {
	if r.catalog == nil || c.GetVersion() > r.catalog.GetVersion() {
		r.catalog = c
	}
	return &wire.Outcome{Kind: Accepted, Revision: r.catalog.GetVersion()}
}

// Changes returns the change log, oldest entry first.
func (r *Registry) Changes() []*wire.Change { return r.changes }

// ClaimStats returns the number of claims kept and the total size of their answers.
func (r *Registry) ClaimStats() (count, answerBytes int) { return len(r.claims), r.answerBytes }

// applyPutTables replaces one or both tables, provided that the change is based
// on the current revision. A change id that was accepted before gets the same
// revision again. The reason of a conflict is the operator of the current
// revision.
func (r *Registry) applyPutTables(index uint64, put *wire.PutTables) *wire.Outcome {
	if change, ok := r.changesByID[put.GetChangeId()]; ok {
		return &wire.Outcome{Kind: Accepted, Revision: change.GetRevision()}
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
		AtMillis: r.latestMillis,
		Base:     put.GetFromRevision(),
	}
	if len(put.GetRoutes()) > 0 {
		next.Routes = put.GetRoutes()
	}
	if len(put.GetPools()) > 0 {
		next.Pools = put.GetPools()
	}
	// A command may replace one table only, and may have been checked against
	// an older revision of the other one, or not at all. So validate both
	// together.
	if _, findings := table.Parse("routes.json", next.GetRoutes(), "pools.json", next.GetPools()); len(findings) > 0 {
		text, _ := json.Marshal(findings)
		return &wire.Outcome{Kind: Invalid, Reason: findings.Error(), Findings: text, Revision: r.current.GetNumber()}
	}
	r.setRevision(next)
	return &wire.Outcome{Kind: Accepted, Revision: next.GetNumber()}
}

// setRevision makes next the current revision and adds it to the change log.
func (r *Registry) setRevision(next *wire.Revision) {
	r.current = next
	r.recent = keepLast(append(r.recent, next), r.config.MaxRevisions)
	change := &wire.Change{
		ChangeId: next.GetChangeId(),
		Revision: next.GetNumber(),
		Operator: next.GetOperator(),
		AtMillis: next.GetAtMillis(),
		Base:     next.GetBase(),
	}
	r.changes = append(r.changes, change)
	r.changesByID[change.GetChangeId()] = change
	if len(r.changes) > r.config.MaxChanges {
		delete(r.changesByID, r.changes[0].GetChangeId())
		r.changes = slices.Clone(r.changes[1:])
	}
}

// keepLast returns the last n elements of list, in a new array if it drops any.
func keepLast[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return slices.Clone(list[len(list)-n:])
}

// applyClaim grants a request's claim to the first attempt that asks for it.
func (r *Registry) applyClaim(c *wire.Claim) *wire.Outcome {
	key := claimKey{c.GetWorkspace(), c.GetRequest()}
	if held, ok := r.claims[key]; ok {
		if held.GetDigest() != c.GetDigest() {
			return &wire.Outcome{Kind: DigestMismatch, Reason: "the request id was used with other content"}
		}
		if sameAttempt(held.GetKey(), c.GetKey()) && held.GetKind() == ClaimRunning {
			return &wire.Outcome{Kind: Granted, Claim: held} // the same command, resent
		}
		return &wire.Outcome{Kind: AlreadyClaimed, Claim: held}
	}
	if r.isSealed(c.GetServer(), c.GetGeneration()) {
		return &wire.Outcome{Kind: Sealed, Reason: "the sidecar is stopping"}
	}
	if len(r.claims) >= r.config.MaxClaims {
		return &wire.Outcome{Kind: LimitReached, Reason: "the registry holds as many claims as it may"}
	}
	held := &wire.Held{
		Request:    c.GetRequest(),
		Workspace:  c.GetWorkspace(),
		Digest:     c.GetDigest(),
		Server:     c.GetServer(),
		Address:    c.GetAddress(),
		Generation: c.GetGeneration(),
		Key:        c.GetKey(),
		Kind:       ClaimRunning,
		AtMillis:   r.latestMillis,
	}
	r.claims[key] = held
	r.grants = append(r.grants, grant{key, r.latestMillis})
	return &wire.Outcome{Kind: Granted, Claim: held}
}

// applyRebind binds a running claim to another attempt. The attempt it was bound
// to must be the one that the command names as fenced, that is, as prevented
// from starting.
func (r *Registry) applyRebind(b *wire.Rebind) *wire.Outcome {
	held, ok := r.claims[claimKey{b.GetWorkspace(), b.GetRequest()}]
	if !ok {
		return &wire.Outcome{Kind: ClaimMoved, Reason: "no such claim"}
	}
	if held.GetKind() == ClaimRunning && sameAttempt(held.GetKey(), b.GetKey()) && held.GetServer() == b.GetServer() {
		return &wire.Outcome{Kind: Granted, Claim: held}
	}
	if held.GetKind() != ClaimRunning || !sameAttempt(held.GetKey(), b.GetFenced()) {
		return &wire.Outcome{Kind: ClaimMoved, Claim: held}
	}
	if r.isSealed(b.GetServer(), b.GetGeneration()) {
		return &wire.Outcome{Kind: Sealed, Reason: "the sidecar is stopping"}
	}
	next := proto.CloneOf(held)
	next.Key = b.GetKey()
	next.Server = b.GetServer()
	next.Address = b.GetAddress()
	next.Generation = b.GetGeneration()
	r.claims[claimKey{b.GetWorkspace(), b.GetRequest()}] = next
	return &wire.Outcome{Kind: Granted, Claim: next}
}

// applySeal seals a start of a sidecar. The outcome lists the attempts of the running
// claims that are bound to it, in ascending order.
func (r *Registry) applySeal(s *wire.Seal) *wire.Outcome {
	if !r.isSealed(s.GetServer(), s.GetGeneration()) {
		r.seals = append(r.seals, &wire.Seal{Server: s.GetServer(), Generation: s.GetGeneration(), AtMillis: r.latestMillis})
	}
	outcome := &wire.Outcome{Kind: Accepted}
	for _, held := range r.runningClaims() {
		if held.GetServer() == s.GetServer() && held.GetGeneration() == s.GetGeneration() {
			outcome.Bound = append(outcome.Bound, held.GetKey())
		}
	}
	return outcome
}

func (r *Registry) isSealed(server string, generation uint64) bool {
	return slices.ContainsFunc(r.seals, func(s *wire.Seal) bool { return s.GetServer() == server && s.GetGeneration() == generation })
}

// applySettle records the result of a claimed request. If the request did not
// run, the claim is deleted and the request can be claimed again.
func (r *Registry) applySettle(s *wire.Settle) *wire.Outcome {
	key := claimKey{s.GetWorkspace(), s.GetRequest()}
	held, ok := r.claims[key]
	if !ok || !sameAttempt(held.GetKey(), s.GetKey()) {
		return &wire.Outcome{Kind: ClaimMoved, Claim: held}
	}
	state, err := claimChart.Next(held.GetKind(), "settle-"+s.GetKind())
	if err != nil {
		return &wire.Outcome{Kind: AlreadyClaimed, Claim: held, Reason: err.Error()}
	}
	if state == claimChart.Initial {
		delete(r.claims, key)
		return &wire.Outcome{Kind: Accepted}
	}
	next := proto.CloneOf(held)
	next.Kind = state
	next.Reason = s.GetReason()
	next.Length = uint64(len(s.GetAnswer()))
	if n := len(s.GetAnswer()); n <= r.config.MaxAnswerBytes && r.answerBytes+n <= r.config.MaxTotalAnswerBytes {
		next.Answer = s.GetAnswer()
	}
	r.storeSettled(key, next)
	return &wire.Outcome{Kind: Accepted, Claim: next}
}

// storeSettled stores a claim that has just been settled. Its retention starts
// now.
func (r *Registry) storeSettled(key claimKey, held *wire.Held) {
	held.AtMillis = r.latestMillis
	r.answerBytes += len(held.GetAnswer())
	r.claims[key] = held
	r.settled = append(r.settled, key)
}

func sameAttempt(a, b *wire.Key) bool {
	return a.GetRequest() == b.GetRequest() && a.GetStage() == b.GetStage() && a.GetAttempt() == b.GetAttempt()
}

// dropOldSuspect drops the suspect fingerprint whose latest crash was the longest ago, if
// that is not recent. It reports whether there was one.
func (r *Registry) dropOldSuspect() bool {
	recent := r.latestMillis + (r.config.SuspicionDuration - r.config.RecentSuspicion).Milliseconds()
	var oldest *wire.Conviction
	for _, c := range r.quarantined {
		if c.GetConvicted() || c.GetUntilMillis() > recent {
			continue
		}
		if oldest == nil || cmp.Or(cmp.Compare(c.GetUntilMillis(), oldest.GetUntilMillis()), compareConvictions(c, oldest)) < 0 {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(r.quarantined, oldest.GetFingerprint())
	return true
}

// applyCrash counts a crash against a fingerprint, which becomes a suspect or is
// convicted. The outcome's reason is the resulting state.
func (r *Registry) applyCrash(c *wire.Crash) *wire.Outcome {
	if slices.Contains(r.crashReports, c.GetReport()) {
		return &wire.Outcome{Kind: Accepted}
	}
	previous, ok := r.quarantined[c.GetFingerprint()]
	if !ok {
		if len(r.quarantined) >= r.config.MaxFingerprints && !r.dropOldSuspect() {
			return &wire.Outcome{Kind: LimitReached, Reason: "as many fingerprints as may be kept"}
		}
		previous = &wire.Conviction{Fingerprint: c.GetFingerprint(), Route: c.GetRoute()}
	}
	r.crashReports = keepLast(append(r.crashReports, c.GetReport()), r.config.MaxCrashReports)
	next := proto.CloneOf(previous)
	next.Crashes++
	next.UntilMillis = r.latestMillis + r.config.SuspicionDuration.Milliseconds()
	next.Alone = next.GetAlone() || c.GetAlone()
	// Two crashes convict a fingerprint if in one of them it was the only
	// request on the server: a request that was only running beside the one
	// that crashed it was never alone. The reports come from different sidecars
	// in any order, so Alone is accumulated.
	if next.GetCrashes() > 1 && next.GetAlone() {
		next.Convicted = true
		next.UntilMillis = r.latestMillis + r.config.QuarantineDuration.Milliseconds()
	}
	r.quarantined[c.GetFingerprint()] = next
	r.quarantineVersion++
	return &wire.Outcome{Kind: Accepted, Reason: quarantineState(next)}
}

func quarantineState(c *wire.Conviction) string {
	if c.GetConvicted() {
		return "convicted"
	}
	return "suspect"
}

// applyLift removes a fingerprint from the quarantine.
func (r *Registry) applyLift(l *wire.Lift) *wire.Outcome {
	c, ok := r.quarantined[l.GetFingerprint()]
	if ok && !(c.GetConvicted() && l.GetSuspectOnly()) {
		delete(r.quarantined, l.GetFingerprint())
		r.quarantineVersion++
	}
	if !l.GetSuspectOnly() && r.causes.Clear(l.GetFingerprint()) {
		r.quarantineVersion++
	}
	return &wire.Outcome{Kind: Accepted}
}

// applyCrashReports adds the crash reports of a gateway or a sidecar. The outcome's reason
// names what they convict.
func (r *Registry) applyCrashReports(reports ...*wire.CrashReport) *wire.Outcome {
	before := r.causes.Entries()
	var labels []string
	for _, c := range r.causes.Report(r.latestMillis, reports...) {
		labels = append(labels, c.GetLabel())
	}
	if !quarantine.SameEntries(before, r.causes.Entries()) {
		r.quarantineVersion++
	}
	return &wire.Outcome{Kind: Accepted, Reason: strings.Join(labels, ", ")}
}

// StrongestSuspect returns the cause that speaks for the most crashes and is not
// convicted, for the log.
func (r *Registry) StrongestSuspect() quarantine.Suspect { return r.causes.Strongest() }

// applyClaimTrial grants a trial of a convicted cause to one process.
func (r *Registry) applyClaimTrial(c *wire.ClaimTrial) *wire.Outcome {
	if !r.causes.ClaimTrial(r.latestMillis, c.GetFingerprint(), time.Duration(c.GetTimeoutMillis())*time.Millisecond) {
		return &wire.Outcome{Kind: AlreadyClaimed, Reason: "no trial is due"}
	}
	r.quarantineVersion++
	return &wire.Outcome{Kind: Granted}
}

// applyEndTrial ends a trial whose request is not sent again.
func (r *Registry) applyEndTrial(e *wire.EndTrial) *wire.Outcome {
	if r.causes.EndTrial(r.latestMillis, e.GetFingerprint(), e.GetSent()) {
		r.quarantineVersion++
	}
	return &wire.Outcome{Kind: Accepted}
}

// applyClearCauses takes causes out of the quarantine.
func (r *Registry) applyClearCauses(c *wire.ClearCauses) *wire.Outcome {
	for _, fingerprint := range c.GetFingerprints() {
		if r.causes.Clear(fingerprint) {
			r.quarantineVersion++
		}
	}
	return &wire.Outcome{Kind: Accepted}
}

// Origins returns at which software versions streams began.
func (r *Registry) Origins() *origin.Ledger { return r.origins }

// Quarantine returns all suspect and convicted fingerprints in ascending order.
func (r *Registry) Quarantine() *wire.Quarantine {
	out := r.requestQuarantine()
	out.Convictions = append(out.Convictions, r.causes.Entries()...)
	slices.SortFunc(out.Convictions, compareConvictions)
	return out
}

func compareConvictions(a, b *wire.Conviction) int {
	return cmp.Compare(a.GetFingerprint(), b.GetFingerprint())
}

// requestQuarantine is Quarantine without the causes.
func (r *Registry) requestQuarantine() *wire.Quarantine {
	out := &wire.Quarantine{Version: r.quarantineVersion}
	for _, c := range r.quarantined {
		out.Convictions = append(out.Convictions, c)
	}
	slices.SortFunc(out.Convictions, compareConvictions)
	return out
}

// applyFence returns the fencing token of a server for the holder that asks for
// it. The current holder gets its token again; a new holder gets a higher number
// than all earlier ones and becomes the current one.
func (r *Registry) applyFence(f *wire.Fence) *wire.Outcome {
	current := r.fences[f.GetServer()]
	if current.GetHolder() == f.GetHolder() && current != nil {
		return &wire.Outcome{Kind: Granted, Fence: current.GetNumber()}
	}
	next := &wire.FenceState{Server: f.GetServer(), Holder: f.GetHolder(), Number: current.GetNumber() + 1}
	r.fences[f.GetServer()] = next
	return &wire.Outcome{Kind: Granted, Fence: next.GetNumber()}
}

// expire drops the settled claims and the fingerprints whose time has passed.
// The current time is that of the latest command, not of the instance's clock.
func (r *Registry) expire() {
	cutoff := r.latestMillis - r.config.ClaimRetention.Milliseconds()
	r.settleAbandoned(cutoff)
	for len(r.settled) > 0 {
		held := r.claims[r.settled[0]]
		if held.GetAtMillis() > cutoff {
			break
		}
		r.answerBytes -= len(held.GetAnswer())
		delete(r.claims, r.settled[0])
		r.settled = r.settled[1:]
	}
	r.seals = slices.DeleteFunc(r.seals, func(s *wire.Seal) bool { return s.GetAtMillis() <= cutoff })
	if r.causes.Expire(r.latestMillis) {
		r.quarantineVersion++
	}
	r.origins.Expire(r.latestMillis)
	r.departures.expire(r.latestMillis - r.config.DepartureRetention.Milliseconds())
	for fingerprint, c := range r.quarantined {
		if c.GetUntilMillis() <= r.latestMillis {
			delete(r.quarantined, fingerprint)
			r.quarantineVersion++
		}
	}
}

// settleAbandoned settles as unknown the claims granted at or before cutoff
// (Unix milliseconds) that are still running. The deadlines of their requests
// have long passed, and whether the requests ran can no longer be determined.
func (r *Registry) settleAbandoned(cutoff int64) {
	var abandoned []claimKey
	for len(r.grants) > 0 && r.grants[0].atMillis <= cutoff {
		g := r.grants[0]
		r.grants = r.grants[1:]
		if held := r.claims[g.key]; held.GetKind() == ClaimRunning && held.GetAtMillis() == g.atMillis {
			abandoned = append(abandoned, g.key)
		}
	}
	// A registry restored from a snapshot may list claims granted in the same
	// millisecond in another order than one that applied the commands itself.
	// Sorting makes both settle them in the same order. A claim granted twice in
	// one millisecond is listed twice; Compact removes the duplicate.
	slices.SortFunc(abandoned, compareClaimKeys)
	for _, key := range slices.Compact(abandoned) {
		next := proto.CloneOf(r.claims[key])
		next.Kind = claimUnknown
		next.Reason = "never settled"
		r.storeSettled(key, next)
	}
}

func compareClaimKeys(a, b claimKey) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.request, b.request))
}
