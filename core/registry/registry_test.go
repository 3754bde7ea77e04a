package registry_test

import (
	"bytes"
	"fmt"
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

func put(id string, from uint64) *wire.Command {
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

func TestOneOfTwoEqualChangesWins(t *testing.T) {
	r := registry.New(registry.DefaultConfig())
	if o := r.Apply(1, put("a", 0)); o.GetKind() != registry.Accepted || o.GetRevision() != 1 {
		t.Fatalf("the first change: %v", o)
	}
	if o := r.Apply(2, put("b", 0)); o.GetKind() != registry.Conflict || o.GetReason() != "by-a" || o.GetRevision() != 1 {
		t.Errorf("the second change from the same revision: %v", o)
	}
	if o := r.Apply(3, put("c", 1)); o.GetRevision() != 2 {
		t.Errorf("a change from the winner's revision: %v", o)
	}
	if o := r.Apply(4, put("a", 0)); o.GetKind() != registry.Accepted || o.GetRevision() != 1 {
		t.Errorf("the first change sent again: %v, want its first answer", o)
	}
	if r.Current().GetNumber() != 2 {
		t.Errorf("revision %d is current, want 2", r.Current().GetNumber())
	}
}

func TestInvalidTablesAreRefusedWithFindings(t *testing.T) {
	r := registry.New(registry.DefaultConfig())
	c := put("a", 0)
	c.GetPutTables().Pools = []byte(`{"pools": []}`)
	if o := r.Apply(1, c); o.GetKind() != registry.Invalid || !bytes.Contains(o.GetFindings(), []byte("stages[0].pool")) {
		t.Errorf("a route without its pool: %v", o)
	}
}

func TestAFullRegistryForgetsNothing(t *testing.T) {
	config := registry.DefaultConfig()
	config.Claims = 3
	r := registry.New(config)
	for i := range 3 {
		r.Apply(uint64(i), claim(fmt.Sprint(i), 1))
	}
	if o := r.Apply(4, claim("4", 1)); o.GetKind() != registry.Full {
		t.Errorf("a claim beyond the bound: %v", o)
	}
	if o := r.Apply(5, claim("0", 1)); o.GetKind() != registry.Granted {
		t.Errorf("a claim from before: %v", o)
	}
}

func TestRetention(t *testing.T) {
	config := registry.DefaultConfig()
	config.AnswerBytes = 10
	r := registry.New(config)
	after := config.ClaimRetention.Milliseconds()
	r.Apply(1, claim("a", 1))
	r.Apply(2, settle("a", "complete", 2, []byte("answer")))
	r.Apply(3, claim("b", 2))
	r.Apply(4, settle("b", "complete", 3, []byte("larger than is left")))
	if _, kept := r.Claims(); kept != len("answer") {
		t.Errorf("%d bytes of answers are kept, want %d", kept, len("answer"))
	}
	r.Apply(5, claim("never-settled", 4))
	if o := r.Apply(6, claim("a", after)); o.GetKind() != registry.Held || string(o.GetClaim().GetAnswer()) != "answer" {
		t.Errorf("within the retention: %v", o)
	}
	if o := r.Apply(7, claim("never-settled", after+10)); o.GetClaim().GetKind() != "unknown" {
		t.Errorf("a claim that nobody settled: %v", o)
	}
	if o := r.Apply(8, claim("a", after+10)); o.GetKind() != registry.Granted {
		t.Errorf("after the retention: %v", o)
	}
}

// TestRestoredRegistriesAgree: a registry restored from an image at any moment
// goes on exactly as the one that it was taken from.
func TestRestoredRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := registry.DefaultConfig()
		config.ClaimRetention, config.Changes, config.Revisions = 20*time.Millisecond, 4, 2
		r := registry.New(config)
		restored := registry.New(config)
		at := int64(0)
		for i := range 60 {
			at += int64(rapid.IntRange(0, 5).Draw(rt, "ms"))
			id := fmt.Sprint(rapid.IntRange(0, 8).Draw(rt, "id"))
			var c *wire.Command
			switch rapid.IntRange(0, 5).Draw(rt, "command") {
			case 0, 1:
				c = claim(id, at)
			case 2:
				c = settle(id, rapid.SampledFrom([]string{"complete", "not-run", "failed"}).Draw(rt, "kind"), at, []byte(id))
			case 3:
				c = put(id, uint64(rapid.IntRange(0, 3).Draw(rt, "from")))
				c.AtMillis = at
			case 4:
				c = &wire.Command{AtMillis: at, Body: &wire.Command_Crash{Crash: &wire.Crash{Fingerprint: 7, Alone: true, Report: id}}}
			case 5:
				c = &wire.Command{AtMillis: at, Body: &wire.Command_Fence{Fence: &wire.Fence{Server: "s", Holder: id}}}
			}
			one, two := r.Apply(uint64(i), c), restored.Apply(uint64(i), c)
			if one.GetKind() != two.GetKind() || one.GetRevision() != two.GetRevision() || one.GetFence() != two.GetFence() {
				rt.Fatalf("command %d: %v and, restored, %v", i, one, two)
			}
			image, err := r.Image()
			if err != nil {
				rt.Fatal(err)
			}
			other, err := restored.Image()
			if err != nil {
				rt.Fatal(err)
			}
			if !bytes.Equal(image, other) {
				rt.Fatalf("after command %d the states differ", i)
			}
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				restored = registry.New(config)
				if err := restored.Restore(image); err != nil {
					rt.Fatal(err)
				}
			}
		}
	})
}

func crash(alone bool, report string) *wire.Command {
	return &wire.Command{AtMillis: 1, Body: &wire.Command_Crash{Crash: &wire.Crash{Fingerprint: 7, Alone: alone, Report: report}}}
}

// TestConviction: two crashes convict, one of them alone, in whatever order their
// reports come; a neighbour that never crashed a server alone is not convicted.
func TestConviction(t *testing.T) {
	for _, c := range []struct {
		name   string
		alone  []bool
		wanted bool
	}{
		{"once beside others", []bool{false}, false},
		{"once alone", []bool{true}, false},
		{"beside others, then alone", []bool{false, true}, true},
		{"the report of the second comes first", []bool{true, false}, true},
		{"a neighbour, again and again", []bool{false, false, false}, false},
	} {
		r := registry.New(registry.DefaultConfig())
		for i, alone := range c.alone {
			r.Apply(uint64(i), crash(alone, fmt.Sprint(i)))
			r.Apply(uint64(i), crash(alone, fmt.Sprint(i))) // a resend counts once
		}
		if got := r.Quarantine().GetConvictions()[0].GetConvicted(); got != c.wanted {
			t.Errorf("%s: convicted %v, want %v", c.name, got, c.wanted)
		}
	}
}

// TestGoodRunLiftsNoConviction: a run that did no harm clears a suspect; a
// conviction is lifted by an operator alone.
func TestGoodRunLiftsNoConviction(t *testing.T) {
	lift := func(suspects bool) *wire.Command {
		return &wire.Command{AtMillis: 1, Body: &wire.Command_Lift{Lift: &wire.Lift{Fingerprint: 7, SuspectOnly: suspects}}}
	}
	r := registry.New(registry.DefaultConfig())
	r.Apply(1, crash(false, "a"))
	r.Apply(2, lift(true))
	if n := len(r.Quarantine().GetConvictions()); n != 0 {
		t.Errorf("a suspect that did no harm is still one")
	}
	r.Apply(3, crash(false, "b"))
	r.Apply(4, crash(true, "c"))
	r.Apply(5, lift(true))
	if n := len(r.Quarantine().GetConvictions()); n != 1 {
		t.Errorf("a run that did no harm lifted a conviction")
	}
	r.Apply(6, lift(false))
	if n := len(r.Quarantine().GetConvictions()); n != 0 {
		t.Errorf("an operator's lift did nothing")
	}
}
