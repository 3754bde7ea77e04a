package stage_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/stage"
)

func key(request string) tanagerroad.AttemptKey {
	return tanagerroad.AttemptKey{Request: request, Attempt: 1}
}

func newScheduler(capacity, queue int) *stage.Scheduler {
	s := stage.NewScheduler(stage.Config{Generation: 7, MaxQueued: queue, Retention: time.Second, OnceRetention: time.Minute, MaxRetainedBytes: 100, MaxRetainedOnce: 10})
	s.Step(0, stage.Event{Kind: stage.Announce, Capacity: capacity, State: tanagerroad.Serving})
	return s
}

func submit(request string, deadline time.Duration) stage.Event {
	return stage.Event{Kind: stage.Submit, Key: key(request), Deadline: deadline, Fingerprint: uint64(len(request))}
}

// kinds returns the kinds of the actions for one request.
func kinds(actions []stage.Action, request string) []string {
	var out []string
	for _, a := range actions {
		if a.Key == key(request) {
			out = append(out, a.Kind)
		}
	}
	return out
}

func has(actions []stage.Action, request, kind string) bool {
	for _, k := range kinds(actions, request) {
		if k == kind {
			return true
		}
	}
	return false
}

func TestEarliestDeadlineStartsFirst(t *testing.T) {
	s := newScheduler(1, 8)
	s.Step(0, submit("running", time.Hour))
	s.Step(0, submit("late", 30*time.Second))
	s.Step(0, submit("soon", 10*time.Second))
	if out := s.Step(1, stage.Event{Kind: stage.Finish, Key: key("running")}); !has(out, "soon", stage.Start) {
		t.Errorf("the attempt with the earlier deadline did not start first: %v", out)
	}
}

func TestFullQueueRejectsImmediately(t *testing.T) {
	s := newScheduler(1, 1)
	s.Step(0, submit("running", time.Hour))
	s.Step(0, submit("queued", time.Hour))
	out := s.Step(0, submit("beyond", time.Hour))
	if !has(out, "beyond", stage.Reject) || out[0].RetryAfter <= 0 {
		t.Errorf("submitting to a full queue: got %v, want a rejection with a retry-after", out)
	}
}

func TestLeavingServerRejectsQueuedAndNewAttempts(t *testing.T) {
	s := newScheduler(1, 8)
	s.Step(0, submit("running", time.Hour))
	s.Step(0, submit("queued", time.Hour))
	out := s.Step(1, stage.Event{Kind: stage.Announce, Capacity: 1, State: tanagerroad.Leaving})
	if !has(out, "queued", stage.Reject) || has(out, "running", stage.Reject) {
		t.Errorf("server announced leaving: got %v, want only the queued attempt rejected", out)
	}
	if out := s.Step(1, submit("new", time.Hour)); !has(out, "new", stage.Reject) {
		t.Errorf("submitting to a leaving server: got %v, want a rejection", out)
	}
}

func TestStopReportsIdleAfterLastAttemptFinishes(t *testing.T) {
	s := newScheduler(2, 8)
	s.Step(0, submit("running", time.Hour))
	idle := func(out []stage.Action) bool { return len(out) > 0 && out[len(out)-1].Kind == stage.Idle }
	if idle(s.Step(1, stage.Event{Kind: stage.Stop})) {
		t.Error("reported idle while an attempt was running")
	}
	if !idle(s.Step(2, stage.Event{Kind: stage.Finish, Key: key("running")})) {
		t.Error("did not report idle after the last attempt finished")
	}
}

func TestSuspectRunsAlone(t *testing.T) {
	s := newScheduler(4, 8)
	s.Step(0, submit("neighbour", time.Hour))
	suspect := submit("suspect", time.Hour)
	suspect.Alone = true
	if out := s.Step(0, suspect); has(out, "suspect", stage.Start) {
		t.Errorf("a suspect started while another attempt was running: %v", out)
	}
	if out := s.Step(1, stage.Event{Kind: stage.Finish, Key: key("neighbour")}); !has(out, "suspect", stage.Start) {
		t.Errorf("a suspect did not start although nothing was running: %v", out)
	}
	if out := s.Step(1, submit("other", time.Hour)); has(out, "other", stage.Start) {
		t.Errorf("another attempt started while a suspect was running: %v", out)
	}
	out := s.Step(2, stage.Event{Kind: stage.Crash})
	alone := false
	for _, a := range out {
		alone = alone || a.Kind == stage.ReportCrash && a.Alone
	}
	if !alone {
		t.Errorf("a suspect that crashed alone was not reported as alone: %v", out)
	}
}

func TestNonRepeatableAttemptIsUnknownAfterCrash(t *testing.T) {
	s := newScheduler(4, 8)
	e := submit("booking", time.Hour)
	e.Once, e.Generation = true, 7
	s.Step(0, e)
	s.Step(0, submit("look-up", time.Hour))
	s.Step(1, stage.Event{Kind: stage.Crash})
	if got := s.StateOf(key("booking")); got != stage.Unknown {
		t.Errorf("booking after the crash: state %s, want unknown", got)
	}
	if got := s.StateOf(key("look-up")); got != stage.Failed {
		t.Errorf("look-up after the crash: state %s, want failed", got)
	}
}

func TestFencedAttemptNeverStarts(t *testing.T) {
	s := newScheduler(4, 8)
	query := stage.Event{Kind: stage.Query, Key: key("booking"), Generation: 7, Fence: true}
	if out := s.Step(0, query); out[0].State != stage.NeverStarted {
		t.Errorf("query with fence for an attempt never submitted: got %v, want never-started", out)
	}
	e := submit("booking", time.Hour)
	e.Once, e.Generation = true, 7
	if out := s.Step(1, e); has(out, "booking", stage.Start) {
		t.Errorf("a fenced attempt started: %v", out)
	}
	query.Generation = 6
	query.Key = key("of-an-earlier-start")
	if out := s.Step(2, query); out[0].State != stage.Unknown {
		t.Errorf("query for an attempt of an earlier generation: got %v, want unknown", out)
	}
}

func TestRetentionIsBounded(t *testing.T) {
	s := newScheduler(4, 8)
	for _, name := range []string{"a", "b", "c"} {
		s.Step(0, submit(name, time.Hour))
		s.Step(1, stage.Event{Kind: stage.Finish, Key: key(name), Bytes: 60})
	}
	if s.StateOf(key("a")) != "" || s.StateOf(key("c")) == "" {
		t.Error("retained results over the byte limit: want the oldest result evicted and the newest kept")
	}
	s.Step(2*time.Second, stage.Event{Kind: stage.Tick})
	if s.StateOf(key("c")) != "" {
		t.Error("a result was kept after its retention expired")
	}
}

// TestAttemptsAreForgottenBeforeTheirClaims guards against a second run of a request that
// must not be repeated, at a sidecar that keeps its attempts for less than claims are kept.
func TestAttemptsAreForgottenBeforeTheirClaims(t *testing.T) {
	s := newScheduler(1, 1)
	once := submit("once", 2*time.Hour)
	once.Once, once.Generation = true, 7
	s.Step(0, stage.Event{Kind: stage.Retain, Retention: time.Hour})
	s.Step(0, once)
	s.Step(1, stage.Event{Kind: stage.Finish, Key: once.Key})
	s.Step(30*time.Minute, stage.Event{Kind: stage.Tick})
	if out := s.Step(30*time.Minute, once); has(out, "once", stage.Start) {
		t.Errorf("it runs again within its claim's retention: %v", out)
	}
	s.Step(30*time.Minute, stage.Event{Kind: stage.Retain, Retention: time.Second})
	s.Step(59*time.Minute, stage.Event{Kind: stage.Tick})
	if out := s.Step(59*time.Minute, once); has(out, "once", stage.Start) {
		t.Errorf("it runs again after an instance named a shorter retention: %v", out)
	}
}
