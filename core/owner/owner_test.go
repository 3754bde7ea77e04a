package owner_test

import (
	"testing"
	"time"

	"tanagerroad/core/owner"
)

// order is the gateways from the one that is asked first, found by taking them
// away one by one.
func order(t *testing.T, addresses ...string) []string {
	t.Helper()
	var out []string
	for rest := addresses; len(rest) > 1; {
		o := owner.New(0, rest[0])
		o.Know(0, rest)
		first := o.Choose(0)
		out = append(out, first)
		var next []string
		for _, a := range rest {
			if a != first {
				next = append(next, a)
			}
		}
		rest = next
		if len(rest) == 1 {
			out = append(out, rest[0])
		}
	}
	return out
}

func TestAllAskTheSame(t *testing.T) {
	all := []string{"a:1", "b:1", "c:1", "d:1"}
	want := order(t, all...)[0]
	for _, self := range all {
		o := owner.New(0, self)
		o.Know(0, all)
		if got := o.Choose(0); got != want {
			t.Errorf("%s asks %s, want %s", self, got, want)
		}
	}
}

// TestLostOwner: another is asked at once, and the lost one again after a while,
// or as soon as it has gone and come back.
func TestLostOwner(t *testing.T) {
	all := []string{"a:1", "b:1", "c:1", "d:1"}
	by := order(t, all...)
	o := owner.New(0, by[3])
	o.Know(0, all)
	o.Lost(time.Second, by[0])
	if got := o.Choose(time.Second); got != by[1] {
		t.Errorf("asked %s, want %s", got, by[1])
	}
	if got := o.Choose(6 * time.Second); got != by[0] {
		t.Errorf("after a while asked %s, want %s again", got, by[0])
	}
	o.Lost(10*time.Second, by[0])
	o.Know(11*time.Second, by[1:])
	o.Know(12*time.Second, all)
	if got := o.Choose(12 * time.Second); got != by[0] {
		t.Errorf("asked %s, want %s, which has started again", got, by[0])
	}
}

// TestWhoGathersAlone: not one that others may have left for a heavier one or come
// back from a moment ago, nor one that stood still.
func TestWhoGathersAlone(t *testing.T) {
	all := []string{"a:1", "b:1", "c:1"}
	by := order(t, all...)
	heavy, light := owner.New(0, by[0]), owner.New(0, by[1])
	if heavy.Alone(time.Second) {
		t.Error("one that started a moment ago is sure to be alone")
	}
	heavy.Know(time.Second, all)
	light.Know(time.Second, all)
	if !heavy.Alone(10 * time.Second) {
		t.Error("the heaviest is not sure although nothing happened for long")
	}
	if light.Lost(10*time.Second, by[0]); light.Choose(10*time.Second) != by[1] || light.Alone(10*time.Second) {
		t.Error("one that stands in for a heavier one that is still known is sure to be alone")
	}
	light.Know(11*time.Second, by[1:])
	if light.Alone(12 * time.Second) {
		t.Error("it is sure a moment after the heavier one went")
	}
	if !light.Alone(20 * time.Second) {
		t.Error("it is not sure long after the heavier one went")
	}
	heavy.Disturbed(20 * time.Second)
	if heavy.Alone(21 * time.Second) {
		t.Error("one that stood still is sure that nobody took its place")
	}
}
