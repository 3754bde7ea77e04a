package registry_test

import (
	"bytes"
	"testing"
	"time"

	"tanagerroad/core/registry"
)

// TestInstancesForgetDifferentClaims guards against a control instance whose settings differ,
// as in the middle of a change, and that grants a claim again once it leads.
func TestInstancesForgetDifferentClaims(t *testing.T) {
	long, short := registry.DefaultConfig(), registry.DefaultConfig()
	long.ClaimRetention, short.ClaimRetention = time.Minute, time.Second
	leader, follower := registry.New(long), registry.New(short)
	commands := []string{"first", "second"}
	for i, id := range commands {
		c := claim(id, int64(1+i*10_000))
		c.RetentionMillis = long.ClaimRetention.Milliseconds()
		leader.Apply(uint64(2*i), c)
		follower.Apply(uint64(2*i), c)
		s := settle(id, "complete", int64(2+i*10_000), []byte("answer"))
		s.RetentionMillis = long.ClaimRetention.Milliseconds()
		leader.Apply(uint64(2*i+1), s)
		follower.Apply(uint64(2*i+1), s)
	}
	want, err := leader.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	got, err := follower.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(want, got) {
		t.Error("two instances hold different claims after the same commands")
	}
	c := claim("first", 11_000)
	c.RetentionMillis = long.ClaimRetention.Milliseconds()
	if o := follower.Apply(9, c); o.GetKind() != registry.AlreadyClaimed {
		t.Errorf("a claim within its retention is granted again: %v", o)
	}
}
