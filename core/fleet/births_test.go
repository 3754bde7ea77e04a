package fleet

import (
	"fmt"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/roster"
)

// TestGoneServersAreForgotten guards against memory that grows with each start of a backend
// server under a new id, with what it said and the prompt parts that it was sent.
func TestGoneServersAreForgotten(t *testing.T) {
	f, r := New(map[string]string{"z": "north"}), roster.New(roster.DefaultConfig())
	const births, interval = 20000, 100 * time.Millisecond
	at := time.Duration(0)
	for i := range births {
		at += interval
		a := tanagerroad.Announcement{ID: fmt.Sprint("s", i), Pool: "p", Address: fmt.Sprint("h:", i%7), Zone: "z", Slots: 4, State: tanagerroad.Serving, Sequence: 1, StartMillis: int64(i + 1)}
		r.Apply(at, "c1", a)
		r.Expire(at, "c1")
		r.Expire(at, "")
		f.Update(r.Usable())
		for n := range 3 {
			choice, _ := f.Pick(at, Request{Pool: "p", From: tanagerroad.Place{Zone: "z"}, PromptParts: []tanagerroad.PromptPart{{ID: fmt.Sprint(i, n)}, {ID: "own"}}})
			f.RecordEnd(at, choice.ID, Outcome{})
		}
		f.RecordPause(at, a, time.Second)
		f.RecordLimit(ServerLimit{ID: a.ID, StartMillis: a.StartMillis, PerSecond: 1, HeardAt: at, Own: true})
		f.ExpireLimits(at)
		f.ExpireCold(at)
		r.RecordDeparture(at, a.ID, a.StartMillis)
	}
	all, _ := r.Since("c1", 0)
	parts := 0
	for _, s := range f.servers {
		parts += len(s.promptPartUsed)
	}
	// Records and limits last a minute, pauses a second, of some ten births a second.
	for what, n := range map[string]int{"records": len(all), "servers": len(f.servers), "pauses": len(f.pauses), "limits": len(f.limits), "buckets": len(f.buckets), "cold": len(f.cold.servers)} {
		if n > 700 {
			t.Errorf("%d %s after %d births, want those of the last minute", n, what, births)
		}
	}
	if parts > maxPromptParts*len(f.servers) {
		t.Errorf("%d prompt parts at %d servers", parts, len(f.servers))
	}
}
