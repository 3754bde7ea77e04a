package request_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/request"
	"tanagerroad/core/schedule"
	"tanagerroad/core/stage"
)

func TestMain(m *testing.M) { schedule.Main(m, 10000, 1000) }

// step lets one thing happen.
func (w *world) step() {
	t := w.t
	kind := rapid.IntRange(0, 99).Draw(t, "kind")
	switch {
	case kind < 70:
		if len(w.pending) > 0 {
			w.happen(rapid.IntRange(0, len(w.pending)-1).Draw(t, "which"), kind < 5)
		}
	case kind < 80:
		w.ask(rapid.IntRange(0, len(routes)-1).Draw(t, "route"), rapid.IntRange(0, 2).Draw(t, "number"))
	case kind < 88:
		w.pass(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	case kind < 90:
		s := w.sidecars[rapid.IntRange(0, len(w.sidecars)-1).Draw(t, "sidecar")]
		s.up = false
	case kind < 93:
		for _, s := range w.sidecars {
			if !s.up {
				w.start(s)
			}
		}
	case kind < 95:
		s := w.sidecars[rapid.IntRange(0, len(w.sidecars)-1).Draw(t, "backend")]
		w.desk(s, stage.Event{Kind: stage.Crash})
		w.desk(s, stage.Event{Kind: stage.Announce, Capacity: 2, State: tanagerroad.Serving})
	case kind < 97:
		w.quorum = !w.quorum
	default:
		if len(w.runs) > 0 {
			r := w.runs[rapid.IntRange(0, len(w.runs)-1).Draw(t, "entry")]
			if kind == 97 {
				r.dead = true // its entry crashed
			} else {
				w.feed(r, request.Event{Kind: request.Gone})
			}
		}
	}
}

// happen lets something under way arrive, or be lost.
func (w *world) happen(i int, lose bool) {
	p := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	if lose && p.lost != nil {
		p.lost()
		return
	}
	p.do()
}

// pass lets time pass and timers fire.
func (w *world) pass(d time.Duration) {
	w.now += d
	due := w.timers
	w.timers = nil
	for _, t := range due {
		if t.at > w.now {
			w.timers = append(w.timers, t)
			continue
		}
		w.feed(t.run, t.ev)
	}
	for _, s := range w.sidecars {
		w.desk(s, stage.Event{Kind: stage.Tick})
	}
}

// rest ends all faults and lets everything that is under way arrive.
func (w *world) rest() {
	w.quorum = true
	for _, s := range w.sidecars {
		if !s.up {
			w.start(s)
		}
	}
	for range 3 * deadline / (100 * time.Millisecond) {
		for n := 0; len(w.pending) > 0; n++ {
			if n > 10000 {
				w.t.Fatalf("something goes on without end: %s", w.pending[0].what)
			}
			w.happen(0, false)
		}
		w.pass(100 * time.Millisecond)
	}
}

// TestEveryRequestItsOwnAnswer: whatever is lost, doubled, late or crashes, a
// not-repeatable request runs at most once, "not run" is true, an answer is the
// request's own and whole, and there is exactly one. A resend of an
// acknowledged booking finds the same answer.
func TestEveryRequestItsOwnAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range 90 {
			w.step()
		}
		w.rest()
		for _, r := range w.runs {
			if !r.dead && len(r.answers) != 1 {
				rt.Fatalf("%s rests in state %s with %d answers", r.name, r.machine.State(), len(r.answers))
			}
		}
		w.checkResends()
	})
}

// checkResends sends every completed booking again, now that nothing is wrong.
func (w *world) checkResends() {
	for _, r := range w.runs {
		if r.dead || !r.config.Once || r.answers[0].Kind != tanagerroad.Complete {
			continue
		}
		again := &entryRun{name: r.name + ", resent", want: r.want, config: r.config}
		again.config.Execution += "-again"
		again.config.Resend = true
		again.config.Deadline = w.now + deadline
		again.machine = request.New(again.config)
		w.feed(again, request.Event{Kind: request.Start})
		w.rest()
		if len(again.answers) != 1 {
			w.t.Fatalf("%s got %d answers", again.name, len(again.answers))
		}
		if kind := again.answers[0].Kind; kind != tanagerroad.Complete && kind != tanagerroad.Unknown {
			w.t.Fatalf("%s, which was acknowledged, is %s now", again.name, kind)
		}
	}
}
