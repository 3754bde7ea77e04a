package registry_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

const (
	routes = `{"routes": [{"name": "ask", "deadline": "1s", "stages": [{"name": "s", "pool": "p"}]}]}`
	pools  = `{"pools": [{"name": "p", "kind": "service"}]}`
)

func putTables(id string, from uint64) *wire.Command {
	return &wire.Command{AtMillis: 1, Body: &wire.Command_PutTables{PutTables: &wire.PutTables{
		ChangeId: id, FromRevision: from, Operator: "by-" + id, Routes: []byte(routes), Pools: []byte(pools),
	}}}
}

func claim(id string, at int64) *wire.Command {
	return &wire.Command{AtMillis: at, Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: id, Workspace: "w", Digest: 1, Key: &wire.Key{Request: "x-" + id, Attempt: 1},
	}}}
}

func settle(id, kind string, at int64, answer []byte) *wire.Command {
	return &wire.Command{AtMillis: at, Body: &wire.Command_Settle{Settle: &wire.Settle{
		Request: id, Workspace: "w", Kind: kind, Answer: answer, Key: &wire.Key{Request: "x-" + id, Attempt: 1},
	}}}
}

func TestChangeFromOldRevisionConflicts(t *testing.T) {
	r := registry.New(registry.DefaultConfig())
	if o := r.Apply(1, putTables("a", 0)); o.GetKind() != registry.Accepted || o.GetRevision() != 1 {
		t.Fatalf("the first change: %v", o)
	}
	if o := r.Apply(2, putTables("b", 0)); o.GetKind() != registry.Conflict || o.GetReason() != "by-a" || o.GetRevision() != 1 {
		t.Errorf("the second change from the same revision: %v", o)
	}
	if o := r.Apply(3, putTables("c", 1)); o.GetRevision() != 2 {
		t.Errorf("a change from the current revision: %v", o)
	}
	if o := r.Apply(4, putTables("a", 0)); o.GetKind() != registry.Accepted || o.GetRevision() != 1 {
		t.Errorf("the first change, resent: %v, want the same outcome as before", o)
	}
	if r.CurrentRevision().GetNumber() != 2 {
		t.Errorf("current revision is %d, want 2", r.CurrentRevision().GetNumber())
	}
}

func TestInvalidTablesReturnFindings(t *testing.T) {
	r := registry.New(registry.DefaultConfig())
	c := putTables("a", 0)
	c.GetPutTables().Pools = []byte(`{"pools": []}`)
	if o := r.Apply(1, c); o.GetKind() != registry.Invalid || !bytes.Contains(o.GetFindings(), []byte("stages[0].pool")) {
		t.Errorf("tables with a route to a missing pool: %v", o)
	}
}

func TestFullRegistryKeepsItsClaims(t *testing.T) {
	config := registry.DefaultConfig()
	config.MaxClaims = 3
	r := registry.New(config)
	for i := range 3 {
		r.Apply(uint64(i), claim(fmt.Sprint(i), 1))
	}
	if o := r.Apply(4, claim("4", 1)); o.GetKind() != registry.LimitReached {
		t.Errorf("a claim beyond the limit: %v", o)
	}
	if o := r.Apply(5, claim("0", 1)); o.GetKind() != registry.Granted {
		t.Errorf("an existing claim, resent: %v", o)
	}
}

func TestRetention(t *testing.T) {
	config := registry.DefaultConfig()
	config.MaxTotalAnswerBytes = 10
	r := registry.New(config)
	retention := config.ClaimRetention.Milliseconds()
	r.Apply(1, claim("a", 1))
	r.Apply(2, settle("a", "complete", 2, []byte("answer")))
	r.Apply(3, claim("b", 2))
	r.Apply(4, settle("b", "complete", 3, []byte("larger than is left")))
	if _, kept := r.ClaimStats(); kept != len("answer") {
		t.Errorf("kept %d bytes of answers, want %d", kept, len("answer"))
	}
	r.Apply(5, claim("never-settled", 4))
	if o := r.Apply(6, claim("a", retention)); o.GetKind() != registry.AlreadyClaimed || string(o.GetClaim().GetAnswer()) != "answer" {
		t.Errorf("a settled claim within its retention: %v", o)
	}
	if o := r.Apply(7, claim("never-settled", retention+10)); o.GetClaim().GetKind() != "unknown" {
		t.Errorf("a claim that was never settled: %v", o)
	}
	if o := r.Apply(8, claim("a", retention+10)); o.GetKind() != registry.Granted {
		t.Errorf("a settled claim after its retention: %v", o)
	}
}

// TestRestoredRegistriesAgree checks that a registry restored from a snapshot at
// any point returns the same outcomes and snapshots as the one it was taken from.
func TestRestoredRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := registry.DefaultConfig()
		config.ClaimRetention, config.MaxChanges, config.MaxRevisions = 20*time.Millisecond, 4, 2
		r := registry.New(config)
		restored := registry.New(config)
		at := int64(0)
		for i := range 60 {
			at += int64(rapid.IntRange(0, 5).Draw(rt, "ms"))
			id := fmt.Sprint(rapid.IntRange(0, 8).Draw(rt, "id"))
			var c *wire.Command
			switch rapid.IntRange(0, 9).Draw(rt, "command") {
			case 0, 1:
				c = claim(id, at)
			case 2:
				c = settle(id, rapid.SampledFrom([]string{"complete", "not-run", "failed"}).Draw(rt, "kind"), at, []byte(id))
			case 3:
				c = putTables(id, uint64(rapid.IntRange(0, 3).Draw(rt, "from")))
				c.AtMillis = at
			case 4:
				c = &wire.Command{AtMillis: at, Body: &wire.Command_Crash{Crash: &wire.Crash{Fingerprint: 7, Alone: true, Report: id}}}
			case 9:
				c = &wire.Command{AtMillis: at, Body: &wire.Command_Seal{Seal: &wire.Seal{Server: id, Generation: uint64(rapid.IntRange(0, 1).Draw(rt, "generation"))}}}
			case 6:
				at += int64(rapid.IntRange(0, 400).Draw(rt, "pause"))
				c = &wire.Command{AtMillis: at, Body: &wire.Command_CrashReport{CrashReport: &wire.CrashReport{Server: id, Suspects: []*wire.CrashSuspect{
					{Begun: true, Causes: []*wire.Cause{{Fingerprint: uint64(i), Label: "r"}, {Fingerprint: uint64(rapid.IntRange(1, 2).Draw(rt, "cause")), Label: "p"}}},
				}}}}
			case 7:
				c = &wire.Command{AtMillis: at, Body: &wire.Command_ClearCauses{ClearCauses: &wire.ClearCauses{Fingerprints: []uint64{1}}}}
			case 8:
				at += int64(rapid.IntRange(0, 20000).Draw(rt, "wait"))
				c = &wire.Command{AtMillis: at, Body: &wire.Command_ClaimTrial{ClaimTrial: &wire.ClaimTrial{Fingerprint: uint64(rapid.IntRange(1, 2).Draw(rt, "cause"))}}}
			case 5:
				c = &wire.Command{AtMillis: at, Body: &wire.Command_Fence{Fence: &wire.Fence{Server: "s", Holder: id}}}
			}
			want, got := r.Apply(uint64(i), c), restored.Apply(uint64(i), c)
			if want.GetKind() != got.GetKind() || want.GetRevision() != got.GetRevision() || want.GetFence() != got.GetFence() || want.GetReason() != got.GetReason() {
				rt.Fatalf("command %d: outcome %v, from the restored registry %v", i, want, got)
			}
			snapshot, err := r.Snapshot()
			if err != nil {
				rt.Fatal(err)
			}
			restoredSnapshot, err := restored.Snapshot()
			if err != nil {
				rt.Fatal(err)
			}
			if !bytes.Equal(snapshot, restoredSnapshot) {
				rt.Fatalf("after command %d the snapshots differ", i)
			}
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				restored = registry.New(config)
				if err := restored.Restore(snapshot); err != nil {
					rt.Fatal(err)
				}
			}
		}
	})
}

func crash(alone bool, report string) *wire.Command {
	return &wire.Command{AtMillis: 1, Body: &wire.Command_Crash{Crash: &wire.Crash{Fingerprint: 7, Alone: alone, Report: report}}}
}

// TestConviction checks that two crashes convict a fingerprint if it ran alone in
// one of them, in whatever order the reports arrive. A request that only ran
// beside others when a server crashed is not convicted.
func TestConviction(t *testing.T) {
	for _, c := range []struct {
		name  string
		alone []bool
		want  bool
	}{
		{"once beside others", []bool{false}, false},
		{"once alone", []bool{true}, false},
		{"beside others, then alone", []bool{false, true}, true},
		{"alone, then beside others", []bool{true, false}, true},
		{"beside others, repeatedly", []bool{false, false, false}, false},
	} {
		r := registry.New(registry.DefaultConfig())
		for i, alone := range c.alone {
			r.Apply(uint64(i), crash(alone, fmt.Sprint(i)))
			r.Apply(uint64(i), crash(alone, fmt.Sprint(i))) // a resent report counts once
		}
		if got := r.Quarantine().GetConvictions()[0].GetConvicted(); got != c.want {
			t.Errorf("%s: convicted %v, want %v", c.name, got, c.want)
		}
	}
}

// TestHarmlessRunClearsOnlySuspects checks that a run without a crash clears a
// suspect, but that only an operator can lift a conviction.
func TestHarmlessRunClearsOnlySuspects(t *testing.T) {
	lift := func(suspectOnly bool) *wire.Command {
		return &wire.Command{AtMillis: 1, Body: &wire.Command_Lift{Lift: &wire.Lift{Fingerprint: 7, SuspectOnly: suspectOnly}}}
	}
	r := registry.New(registry.DefaultConfig())
	r.Apply(1, crash(false, "a"))
	r.Apply(2, lift(true))
	if n := len(r.Quarantine().GetConvictions()); n != 0 {
		t.Errorf("a suspect is still listed after a run without a crash")
	}
	r.Apply(3, crash(false, "b"))
	r.Apply(4, crash(true, "c"))
	r.Apply(5, lift(true))
	if n := len(r.Quarantine().GetConvictions()); n != 1 {
		t.Errorf("a run without a crash lifted a conviction")
	}
	r.Apply(6, lift(false))
	if n := len(r.Quarantine().GetConvictions()); n != 0 {
		t.Errorf("an operator's lift did not remove the conviction")
	}
}

// TestRefusedReportIsAccepted guards against a crash report that is refused because as many
// fingerprints are kept as may be, and that is said to be accepted when it is sent again.
func TestRefusedReportIsAccepted(t *testing.T) {
	config := registry.DefaultConfig()
	config.MaxFingerprints = 1
	r := registry.New(config)
	report := func(fingerprint uint64) *wire.Command {
		return &wire.Command{AtMillis: 1, Body: &wire.Command_Crash{Crash: &wire.Crash{Fingerprint: fingerprint, Report: fmt.Sprint(fingerprint)}}}
	}
	r.Apply(1, report(1))
	for i := range 2 {
		if o := r.Apply(uint64(2+i), report(2)); o.GetKind() != registry.LimitReached {
			t.Errorf("sending %d of a report beyond the limit: %v, want %s", i+1, o, registry.LimitReached)
		}
	}
	r.Apply(4, &wire.Command{AtMillis: 1, Body: &wire.Command_Lift{Lift: &wire.Lift{Fingerprint: 1}}})
	if o := r.Apply(5, report(2)); o.GetKind() != registry.Accepted || len(r.Quarantine().GetConvictions()) != 1 {
		t.Errorf("the report, once there is room: %v, and %d fingerprints are kept, want it accepted and kept", o, len(r.Quarantine().GetConvictions()))
	}
}

// TestSlowCrashesAreForgotten guards against a request that crashes backend servers so
// slowly that each crash is forgotten before the next, or its conviction before it comes
// again, and against old suspects that keep new ones out.
func TestSlowCrashesAreForgotten(t *testing.T) {
	config := registry.DefaultConfig()
	config.MaxFingerprints = 2
	r := registry.New(config)
	crash := func(fingerprint uint64, atMillis int64, alone bool) *wire.Outcome {
		return r.Apply(uint64(atMillis), &wire.Command{AtMillis: atMillis, Body: &wire.Command_Crash{Crash: &wire.Crash{
			Fingerprint: fingerprint, Report: fmt.Sprint(fingerprint, atMillis), Alone: alone,
		}}})
	}
	const minute = int64(60_000)
	crash(1, 0, false)
	crash(1, 30*minute, true)
	isConvicted := func(fingerprint uint64) bool {
		return slices.ContainsFunc(r.Quarantine().GetConvictions(), func(c *wire.Conviction) bool {
			return c.GetFingerprint() == fingerprint && c.GetConvicted()
		})
	}
	if !isConvicted(1) {
		t.Error("two crashes half an hour apart, in one of them alone: not convicted")
	}
	crash(2, 31*minute, false)
	if o := crash(3, 31*minute+1, false); o.GetKind() != registry.LimitReached {
		t.Errorf("a report beyond the limit takes the place of a recent suspect: %v", o)
	}
	if o := crash(3, 90*minute, false); o.GetKind() != registry.Accepted {
		t.Errorf("a report beyond the limit, an hour after the oldest suspect: %v, want it accepted", o)
	}
	if !isConvicted(1) {
		t.Error("the conviction is forgotten after an hour")
	}
}
