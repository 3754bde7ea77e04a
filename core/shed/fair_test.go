package shed_test

import (
	"testing"
	"time"

	"tanagerroad/core/shed"
)

const (
	workspaces = 16
	fairShare  = throughput / slowness / workspaces // requests a second
	seeds      = 10
)

// TestLargeWorkspaceTakesSharesOfOthers guards against workspaces that send ten times their
// share, and retry at once, so that others that ask for less than their shares are rejected
// or late, and against shares that are kept free while others could use them. Where there are
// fewer workspaces two are large, so that what the absent ones leave is asked for.
func TestLargeWorkspaceTakesSharesOfOthers(t *testing.T) {
	for _, c := range []struct{ active, large int }{{workspaces, 1}, {workspaces / 2, 2}} {
		for seed := range uint64(seeds) {
			senders := make([]sender, c.active)
			for w := range senders {
				rate := fairShare * (0.6 + 0.35*float64(w)/float64(c.active))
				senders[w] = sender{rate: rate, burst: rate}
				if w < c.large {
					senders[w] = sender{rate: fairShare, burst: 10 * fairShare, impatient: true}
				}
			}
			_, before := replayBurst(seed, shed.New(), senders)
			each, after := replayBurst(seed, shed.NewFair(), senders)
			for w, o := range each[c.large:] {
				if float64(o.inTime) < 0.8*float64(o.asked) {
					t.Errorf("%d active, seed %d: workspace %d got %d of %d requests in time, want 0.8 of them", c.active, seed, w+c.large, o.inTime, o.asked)
				}
			}
			if float64(after.inTime) < 0.95*float64(before.inTime) {
				t.Errorf("%d active, seed %d: %d requests in time, want 0.95 of the %d without fair shares", c.active, seed, after.inTime, before.inTime)
			}
			t.Logf("%d active, seed %d: in time without fair shares %+v, with them %+v, large %+v", c.active, seed, before, after, each[:c.large])
		}
	}
}

// TestEqualWorkspacesAreServedUnequally guards against workspaces with equal demands of which
// one is served less than half as often as all.
func TestEqualWorkspacesAreServedUnequally(t *testing.T) {
	senders := make([]sender, workspaces)
	for w := range senders {
		senders[w] = sender{rate: 0.86 * fairShare, burst: 2.4 * fairShare}
	}
	for seed := range uint64(seeds) {
		_, before := replayBurst(seed, shed.New(), senders)
		each, after := replayBurst(seed, shed.NewFair(), senders)
		for w, o := range each {
			if 2*o.served*after.asked < after.served*o.asked {
				t.Errorf("seed %d: workspace %d: %+v, of all %+v", seed, w, o, after)
			}
		}
		if float64(after.inTime) < 0.95*float64(before.inTime) {
			t.Errorf("seed %d: %d requests in time, want 0.95 of the %d without fair shares", seed, after.inTime, before.inTime)
		}
		t.Logf("seed %d: without fair shares %+v, with them %+v", seed, before, after)
	}
}

// TestStarvedWorkspaceGetsNothing guards against a workspace whose requests are never admitted
// since none of them could be in time behind those of another, or come as retries; and against
// late admissions for a workspace that has got its share.
func TestStarvedWorkspaceGetsNothing(t *testing.T) {
	controller := shed.NewFair()
	admitted := map[string]int{}
	for i := range 400 {
		now := time.Duration(i) * 10 * time.Millisecond
		for workspace, slack := range map[string]time.Duration{"large": 3 * time.Second, "small": time.Second} {
			d := controller.Decide(now, shed.Request{
				Due: now + slack, Deadline: now + 10*time.Second, Workspace: workspace, Work: 0.01,
				CriticalPath: []shed.Stage{{Pieces: 200, Capacity: 125, CallTime: 300 * time.Millisecond}},
			})
			if d.Admit {
				admitted[workspace]++
			}
		}
	}
	if admitted["small"] < 10 || admitted["small"] > 25 {
		t.Errorf("admitted %v in 4 s, want about a twentieth for the small one", admitted)
	}
}

// TestLargeWorkspaceRetriesFirst guards against a workspace above its share whose retried
// requests take the late admissions of others, and against one that is rejected where the
// queue is short.
func TestLargeWorkspaceRetriesFirst(t *testing.T) {
	controller := shed.NewFair()
	var now time.Duration
	decide := func(workspace, subject string, pieces int, slack time.Duration) shed.Decision {
		return controller.Decide(now, shed.Request{
			Subject: subject, Due: now + slack, Deadline: now + 10*time.Second, Workspace: workspace, Work: 0.01,
			CriticalPath: []shed.Stage{{Pieces: pieces, Capacity: 125, CallTime: 300 * time.Millisecond}},
		})
	}
	retries := map[string]int{}
	for i := range 400 {
		now = time.Duration(i) * 10 * time.Millisecond
		for _, workspace := range []string{"large", "large", "large", "small"} {
			decide(workspace, "", 200, 3*time.Second)
			if workspace == "large" || i%2 == 0 {
				decide(workspace, "", 200, time.Second) // demand above what is admitted
			}
			if d := decide(workspace, workspace, 200, time.Second); d.Admit && d.IsRetry {
				retries[workspace]++
			}
		}
	}
	if retries["large"] > 0 || retries["small"] == 0 {
		t.Errorf("retries admitted late: %v, want only those of the small one", retries)
	}
	if d := decide("large", "", 200, 2500*time.Millisecond); d.Admit || d.OverShare == 0 {
		t.Errorf("a request above the share was admitted like others (over %g)", d.OverShare)
	}
	if d := decide("large", "", 20, time.Second); !d.Admit {
		t.Error("a request above the share was rejected, with a short queue")
	}
}

// TestRetriesRaiseDemand guards against a workspace whose few requests are retried at once and
// count as a demand each time, so that others seem to be above their shares.
func TestRetriesRaiseDemand(t *testing.T) {
	controller := shed.NewFair()
	for i := range 400 {
		now := time.Duration(i) * 10 * time.Millisecond
		path := []shed.Stage{{Pieces: 200, Capacity: 125, CallTime: 300 * time.Millisecond}}
		controller.Decide(now, shed.Request{Subject: "hopeless", Due: now, Deadline: now, Workspace: "small", Work: 0.01, CriticalPath: path})
		controller.Decide(now, shed.Request{Due: now, Deadline: now + time.Minute, Workspace: "large", Work: 0.01, CriticalPath: path})
		d := controller.Decide(now, shed.Request{Due: now + 3*time.Second, Deadline: now + time.Minute, Workspace: "large", Work: 0.01, CriticalPath: path})
		if now >= 2*time.Second && (!d.Admit || d.OverShare > 0.05) { // the one request was part of the demand before
			t.Fatalf("%v: admitted %t, above the share by %g", now, d.Admit, d.OverShare)
		}
	}
}
