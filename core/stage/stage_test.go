package stage_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/stage"
)

func key(request string) tanagerroad.Key { return tanagerroad.Key{Request: request, Attempt: 1} }

func desk(capacity, queue int) *stage.Desk {
	d := stage.NewDesk(stage.Config{Generation: 7, Queue: queue, Keep: time.Second, KeepOnce: time.Minute, KeptBytes: 100, KeptOnce: 10})
	d.Step(0, stage.Event{Kind: stage.Announce, Capacity: capacity, State: tanagerroad.Serving})
	return d
}

func submit(request string, deadline time.Duration) stage.Event {
	return stage.Event{Kind: stage.Submit, Key: key(request), Deadline: deadline, Fingerprint: uint64(len(request))}
}

// kinds lists what was decided for a request.
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

func TestEarliestDeadlineRunsFirst(t *testing.T) {
	d := desk(1, 8)
	d.Step(0, submit("running", time.Hour))
	d.Step(0, submit("late", 30*time.Second))
	d.Step(0, submit("soon", 10*time.Second))
	if out := d.Step(1, stage.Event{Kind: stage.Finish, Key: key("running")}); !has(out, "soon", stage.Start) {
		t.Errorf("the later deadline went first: %v", out)
	}
}

func TestQueueIsBoundedAndRefusalsAreImmediate(t *testing.T) {
	d := desk(1, 1)
	d.Step(0, submit("running", time.Hour))
	d.Step(0, submit("queued", time.Hour))
	out := d.Step(0, submit("beyond", time.Hour))
	if !has(out, "beyond", stage.TurnAway) || out[0].RetryAfter <= 0 {
		t.Errorf("beyond the queue's bound: %v", out)
	}
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	d := desk(1, 8)
	d.Step(0, submit("running", time.Hour))
	d.Step(0, submit("queued", time.Hour))
	out := d.Step(1, stage.Event{Kind: stage.Announce, Capacity: 1, State: tanagerroad.Leaving})
	if !has(out, "queued", stage.TurnAway) || has(out, "running", stage.TurnAway) {
		t.Errorf("on leaving: %v", out)
	}
	if out := d.Step(1, submit("new", time.Hour)); !has(out, "new", stage.TurnAway) {
		t.Errorf("after leaving: %v", out)
	}
}

func TestStopIsIdleOnceAllIsFinished(t *testing.T) {
	d := desk(2, 8)
	d.Step(0, submit("running", time.Hour))
	idle := func(out []stage.Action) bool { return len(out) > 0 && out[len(out)-1].Kind == stage.Idle }
	if idle(d.Step(1, stage.Event{Kind: stage.Stop})) {
		t.Error("idle while an attempt runs")
	}
	if !idle(d.Step(2, stage.Event{Kind: stage.Finish, Key: key("running")})) {
		t.Error("not idle although nothing runs")
	}
}

func TestSuspectRunsAlone(t *testing.T) {
	d := desk(4, 8)
	d.Step(0, submit("neighbour", time.Hour))
	suspect := submit("suspect", time.Hour)
	suspect.Alone = true
	if out := d.Step(0, suspect); has(out, "suspect", stage.Start) {
		t.Errorf("a suspect ran beside another: %v", out)
	}
	if out := d.Step(1, stage.Event{Kind: stage.Finish, Key: key("neighbour")}); !has(out, "suspect", stage.Start) {
		t.Errorf("a suspect did not start although nothing ran: %v", out)
	}
	if out := d.Step(1, submit("other", time.Hour)); has(out, "other", stage.Start) {
		t.Errorf("another ran beside a suspect: %v", out)
	}
	out := d.Step(2, stage.Event{Kind: stage.Crash})
	alone := false
	for _, a := range out {
		alone = alone || a.Kind == stage.Report && a.Alone
	}
	if !alone {
		t.Errorf("a suspect that crashed alone was not reported as alone: %v", out)
	}
}

func TestCrashOfANotRepeatableAttemptIsUnknown(t *testing.T) {
	d := desk(4, 8)
	e := submit("booking", time.Hour)
	e.Once, e.Generation = true, 7
	d.Step(0, e)
	d.Step(0, submit("look-up", time.Hour))
	d.Step(1, stage.Event{Kind: stage.Crash})
	if got := d.StateOf(key("booking")); got != stage.Unknown {
		t.Errorf("the booking is %s, want unknown", got)
	}
	if got := d.StateOf(key("look-up")); got != stage.Failed {
		t.Errorf("the look-up is %s, want failed", got)
	}
}

func TestFencedAttemptNeverStarts(t *testing.T) {
	d := desk(4, 8)
	ask := stage.Event{Kind: stage.Question, Key: key("booking"), Generation: 7, Fence: true}
	if out := d.Step(0, ask); out[0].State != stage.NeverStarted {
		t.Errorf("an attempt that never came: %v", out)
	}
	e := submit("booking", time.Hour)
	e.Once, e.Generation = true, 7
	if out := d.Step(1, e); has(out, "booking", stage.Start) {
		t.Errorf("a fenced attempt started: %v", out)
	}
	ask.Generation = 6
	ask.Key = key("of-an-earlier-start")
	if out := d.Step(2, ask); out[0].State != stage.Unknown {
		t.Errorf("of an earlier start of the sidecar was said: %v", out)
	}
}

func TestRetentionIsBounded(t *testing.T) {
	d := desk(4, 8)
	for _, name := range []string{"a", "b", "c"} {
		d.Step(0, submit(name, time.Hour))
		d.Step(1, stage.Event{Kind: stage.Finish, Key: key(name), Bytes: 60})
	}
	if d.StateOf(key("a")) != "" || d.StateOf(key("c")) == "" {
		t.Error("beyond the bytes kept, the oldest result goes first")
	}
	d.Step(2*time.Second, stage.Event{Kind: stage.Tick})
	if d.StateOf(key("c")) != "" {
		t.Error("a result was kept beyond its time")
	}
}
