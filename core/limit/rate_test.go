package limit_test

import (
	"testing"
	"time"

	"tanagerroad/core/limit"
)

// TestRate checks the rate, the burst and the empty start of a token bucket.
func TestRate(t *testing.T) {
	var r limit.Rate
	if r.Wait(0) != 0 {
		t.Error("without a rate an event must wait")
	}
	take := func(from, to time.Duration) int {
		n := 0
		for at := from; at < to; at += time.Millisecond {
			for r.Wait(at) == 0 {
				r.Take()
				n++
			}
		}
		return n
	}
	r.Set(time.Second, 2)
	if got := r.Wait(time.Second); got != 500*time.Millisecond {
		t.Errorf("the first event waits %v, want 500ms", got)
	}
	if n := take(time.Second, 11*time.Second); n != 19 {
		t.Errorf("%d events in 10 s at 2 a second, want 19 after an empty start", n)
	}
	r.Set(11*time.Second, 40)
	r.Wait(20 * time.Second)
	if n := take(20*time.Second, 20*time.Second+time.Millisecond); n != 10 {
		t.Errorf("%d events at once at 40 a second, want the 10 of a quarter of a second", n)
	}
	r.Set(21*time.Second, 0)
	if r.Wait(21*time.Second) != 0 {
		t.Error("after the end of the rate an event must wait")
	}
}
