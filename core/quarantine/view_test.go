package quarantine_test

import (
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"tanagerroad"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/wire"
)

// TestView guards against a view that reverts to an older quarantine, forgets a conviction
// early or never, or reports causes of requests that have just got answers.
func TestView(t *testing.T) {
	const duration = time.Minute
	v := quarantine.NewView(duration)
	parts := []tanagerroad.PromptPart{{ID: "first"}, {ID: "second"}, {ID: "own"}}
	causes := quarantine.Causes("/p", "w", []byte("body"), parts)
	if len(causes) != 3 || causes[1].Label != "prompt part second" || causes[2].Label != "prompt part first" {
		t.Fatalf("causes %v, want the request, the second and the first part", causes)
	}
	long := make([]tanagerroad.PromptPart, 1000)
	for i := range long {
		long[i].ID = strings.Repeat("\xff", 1000)
	}
	for _, c := range quarantine.Causes(strings.Repeat("/", 1000), "w", nil, long) {
		if len(c.Label) > 100 || !utf8.ValidString(c.Label) {
			t.Errorf("label %q: not valid UTF-8 of at most 100 bytes", c.Label)
		}
	}
	second := causes[1].Fingerprint
	list := func(version uint64, convicted bool) *wire.Quarantine {
		return &wire.Quarantine{Version: version, Convictions: []*wire.Conviction{{Fingerprint: second, Convicted: convicted, SinceMillis: 1, TrialWaitMillis: 20000}}}
	}
	if changed, _ := v.Apply(0, list(5, true)); !changed || !v.Check(time.Second, causes, 0).Convicted {
		t.Error("a convicted part is not refused")
	}
	if changed, _ := v.Apply(time.Second, &wire.Quarantine{Version: 4}); changed || !v.Check(time.Second, causes, 0).Convicted {
		t.Error("an older quarantine was applied")
	}
	if v.Check(time.Second, causes, second).Convicted {
		t.Error("a trial of the part is refused")
	}
	if left := v.Check(5*time.Second, causes, 0).Left; left != 15*time.Second {
		t.Errorf("the next trial is due in %v, want 15s", left)
	}
	v.Apply(10*time.Second, list(6, true)) // the same conviction
	if left := v.Check(20*time.Second, causes, 0).Left; left > 0 {
		t.Errorf("the trial is put off by %v because another cause has changed", left)
	}
	if v.Check(duration, causes, 0).Convicted {
		t.Error("the conviction outlives its duration")
	}

	at := 2 * duration
	if clearable := v.RecordSurvival(at, causes); !slices.Equal(clearable, []uint64{second}) {
		t.Errorf("a run that a server has outlived clears %v, want the listed part", clearable)
	}
	if clearable := v.RecordSurvival(at+time.Millisecond, causes); clearable != nil {
		t.Errorf("another one clears %v again", clearable)
	}
	if got := v.Suspects(at+500*time.Millisecond, causes); got != nil {
		t.Errorf("suspects %v soon after such a run", got)
	}
	if _, clearable := v.Apply(at+600*time.Millisecond, list(7, false)); !slices.Equal(clearable, []uint64{second}) {
		t.Errorf("a new suspect clears %v, want the part that a server has just outlived", clearable)
	}
	v.Expire(at + 6*time.Second)
	if got := v.Suspects(at+6*time.Second, causes); len(got) != 3 {
		t.Errorf("suspects %v long after such a run, want all causes", got)
	}
}
