package stage_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/stage"
)

func serving(start int) stage.Event {
	return stage.Event{Kind: stage.Announce, Capacity: 1, State: tanagerroad.Serving, Start: start}
}

// TestLeavingServerStarts guards against attempts that are started or queued at a backend
// server that has said in an answer that it leaves.
func TestLeavingServerStarts(t *testing.T) {
	s := newScheduler(1, 8)
	s.Step(0, serving(1))
	s.Step(0, submit("running", time.Hour))
	s.Step(0, submit("queued", time.Hour))
	if out := s.Step(1, stage.Event{Kind: stage.Leave, Start: 1}); !has(out, "queued", stage.Reject) {
		t.Errorf("what is queued stays: %v", out)
	}
	s.Step(2, serving(1))
	if out := s.Step(3, submit("later", time.Hour)); !has(out, "later", stage.Reject) || s.State() != tanagerroad.Leaving {
		t.Errorf("after another announcement of that start, state %s: %v", s.State(), out)
	}
	if out := s.Step(4, stage.Event{Kind: stage.Finish, Key: key("running")}); len(out) > 0 {
		t.Errorf("the end of what ran: %v", out)
	}
	s.Step(5, serving(2))
	if out := s.Step(6, stage.Event{Kind: stage.Leave, Start: 1}); len(out) > 0 || s.State() != tanagerroad.Serving {
		t.Errorf("a late answer of the start before makes it %s: %v", s.State(), out)
	}
	s.Step(7, serving(1))
	if s.State() != tanagerroad.Leaving {
		t.Errorf("a late announcement of the start before makes it %s", s.State())
	}
}

// TestPausedServerStarts guards against attempts that are started before the end of the
// time for which the backend server asked, and against a pause without end.
func TestPausedServerStarts(t *testing.T) {
	s := newScheduler(2, 8)
	s.Step(0, serving(1))
	s.Step(0, submit("one", time.Hour))
	s.Step(0, submit("queued", time.Hour))
	out := s.Step(0, stage.Event{Kind: stage.Pause, Start: 1, Pause: 3 * time.Second})
	if !has(out, "queued", stage.Reject) || !out[0].Paused || out[0].RetryAfter < 3*time.Second {
		t.Errorf("what is queued when the pause begins: %v", out)
	}
	out = s.Step(0, stage.Event{Kind: stage.Refuse, Key: key("one")})
	if !has(out, "one", stage.Reject) || !out[0].Paused || out[0].RetryAfter < 3*time.Second {
		t.Errorf("the attempt that was turned away: %v", out)
	}
	if out := s.Step(time.Second, submit("short", 2*time.Second)); !has(out, "short", stage.Reject) || out[0].RetryAfter < 2*time.Second || out[0].Paused {
		t.Errorf("an attempt that cannot wait: %v", out)
	}
	if out := s.Step(time.Second, submit("waits", time.Hour)); has(out, "waits", stage.Start) || has(out, "waits", stage.Reject) {
		t.Errorf("an attempt that can wait: %v", out)
	}
	if pause := s.Load(time.Second).Pause; pause != 2*time.Second {
		t.Errorf("it reports a pause of %s, want 2s", pause)
	}
	if out := s.Step(3*time.Second, stage.Event{Kind: stage.Tick}); !has(out, "waits", stage.Start) {
		t.Errorf("at the end of the pause: %v", out)
	}
	s.Step(4*time.Second, stage.Event{Kind: stage.Pause, Start: 1, Pause: 24 * time.Hour})
	if pause := s.Load(4 * time.Second).Pause; pause > time.Minute {
		t.Errorf("it is paused for %s", pause)
	}
	s.Step(5*time.Second, stage.Event{Kind: stage.Crash})
	s.Step(5*time.Second, serving(2))
	if out := s.Step(5*time.Second, submit("new", time.Hour)); !has(out, "new", stage.Start) {
		t.Errorf("its next start is paused: %v", out)
	}
}
