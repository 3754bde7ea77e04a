package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/io/load"
	"tanagerroad/io/operator"
)

// settingsDuration converts a duration to the type of the settings.
func settingsDuration(d time.Duration) tanagerroad.Duration { return tanagerroad.Duration(d) }

// maxInForceTime is the longest time that an accepted change may take to be in force in
// every process, also in one that has just restarted or resumed.
const maxInForceTime = 5 * time.Second

// wantInForce fails the test unless a revision is in force in at least this number of
// processes within maxInForceTime.
func (y *system) wantInForce(revision uint64, processes int) {
	y.t.Helper()
	if took := y.awaitInForce(revision, processes); took > maxInForceTime {
		y.t.Errorf("revision %d took %s to be in force, want at most %s", revision, took, maxInForceTime)
	}
}

// TestAcceptedChangesSurvive makes hundreds of changes in sequence while processes are
// killed, frozen and lose their disk. Every change must be accepted exactly once, none may
// be lost, and all must be in force everywhere within maxInForceTime of the last fault's
// end.
func TestAcceptedChangesSurvive(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	y := startSystem(t)
	const processes = 8 // entries and sidecars, which hold the tables
	revision := uint64(1)
	change := func(n int) {
		for range n {
			revision = y.put(fmt.Sprintf("change-%d", revision), revision, int(revision))
		}
	}
	change(50)
	leader := y.leader()
	y.kill(leader)
	change(50)
	y.start(leader)
	y.kill("entry-0")
	y.kill("sidecar-3")
	change(50)
	y.start("entry-0")
	y.start("sidecar-3")
	y.wantInForce(revision, processes)

	frozen := y.leader()
	y.signal(frozen, syscall.SIGSTOP)
	change(50) // accepted by a new leader while the old one is frozen
	y.signal(frozen, syscall.SIGCONT)
	change(50)
	y.wantInForce(revision, processes)

	before := y.awaitVoters(3)
	wiped := y.leader()
	y.kill(wiped)
	if err := os.RemoveAll(filepath.Join(y.dir, wiped)); err != nil {
		t.Fatal(err)
	}
	y.start(wiped)
	change(50)
	before = y.awaitVoters(3, before...)
	wipedNext := y.leader() // loses its disk as soon as the first loss is repaired
	y.kill(wipedNext)
	if err := os.RemoveAll(filepath.Join(y.dir, wipedNext)); err != nil {
		t.Fatal(err)
	}
	change(1)
	y.start(wipedNext)
	y.wantInForce(revision, processes)

	// Until the repair is done, only two instances vote. A loss of one of them before that
	// would be the loss of two disks at once, which three instances don't survive.
	y.awaitVoters(3, before...)
	killed := "control-0"
	y.kill(killed)
	y.kill("sidecar-0")
	change(500)
	y.start(killed)
	y.start("sidecar-0")
	y.wantInForce(revision, processes)
	y.awaitVoters(3)
	y.checkLog(revision)
}

// awaitVoters waits until there are exactly n control instances, all of them vote, and they
// are not all among the earlier ones: until it joins, one that lost its disk is still a voter
// by its earlier identity. It returns their identities.
func (y *system) awaitVoters(n int, earlier ...string) (ids []string) {
	y.t.Helper()
	y.await("all control instances to vote", func() bool {
		var status struct {
			Members []struct {
				ID    string
				Voter bool
			}
		}
		leader := y.leader()
		address := y.controls[int(leader[len(leader)-1]-'0')]
		if _, err := operator.Call(context.Background(), y.http, http.MethodGet, address, "/status", "", nil, &status); err != nil {
			return false
		}
		ids = nil
		repaired := len(earlier) == 0
		for _, m := range status.Members {
			if m.Voter {
				ids = append(ids, m.ID)
			}
			repaired = repaired || !slices.Contains(earlier, m.ID)
		}
		return repaired && len(ids) == n && len(status.Members) == n
	})
	return ids
}

// checkLog checks that the change log holds every revision up to this one once, in order.
func (y *system) checkLog(revision uint64) {
	y.t.Helper()
	var log []operator.TableRevision
	y.await("the change log", func() bool {
		_, err := operator.Call(context.Background(), y.http, http.MethodGet, y.controls[1], "/tables/log", "", nil, &log)
		return err == nil && len(log) > 0
	})
	if uint64(len(log)) != revision {
		y.t.Fatalf("the change log has %d changes, want %d", len(log), revision)
	}
	for i, change := range log {
		if change.Number != uint64(i)+1 {
			y.t.Fatalf("change %d of the change log has revision %d", i, change.Number)
		}
	}
}

// booking records a booking that a caller has sent and its outcome. If neither complete nor
// notRun is set, the caller doesn't know whether it ran.
type booking struct {
	id       string
	complete bool
	notRun   bool // refused as not run; not sent again after that
	body     string
}

// book sends one booking after the other until the context ends and appends them to out.
// A booking that gets no answer, or one of another kind than complete and not-run, is sent
// again to the other entry under the same ID, marked as a resend, in up to six attempts.
// wrong counts complete answers with a wrong body.
func (y *system) book(ctx context.Context, worker int, out *[]booking, wrong *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		b := booking{id: fmt.Sprintf("booking-%d-%d", worker, n)}
		b.body = "seats for " + b.id
		for try := range 6 {
			reply, err := load.Call(ctx, y.http, "http://"+y.entries[(worker+n+try)%2], load.Request{
				Route: "book", Workspace: "test", ID: b.id, Body: []byte(b.body), Repeatable: true, Resend: try > 0,
			})
			if err == nil && reply.Kind == tanagerroad.AnswerComplete {
				b.complete = true
				if !reply.Verified || !strings.HasSuffix(string(reply.Body), ":"+b.body+">") {
					wrong.Add(1)
				}
				break
			}
			if err == nil && reply.Kind == tanagerroad.AnswerNotRun {
				b.notRun = true
				time.Sleep(50 * time.Millisecond)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		*out = append(*out, b)
	}
}

// startBookings starts this number of callers that book without pause. The returned function
// stops them and checks the outcomes.
func (y *system) startBookings(workers int) (stopAndCheck func()) {
	ctx, cancel := context.WithCancel(context.Background())
	y.t.Cleanup(cancel)
	var wrong atomic.Int64
	results := make([][]booking, workers)
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() { y.book(ctx, i, &results[i], &wrong) })
	}
	return func() {
		y.t.Helper()
		cancel()
		group.Wait()
		y.checkBookings(results, wrong.Load())
	}
}

// TestBookingsRunAtMostOnce books without pause while processes of each role are killed
// and frozen in turn. By the run counts of the stand-ins, no booking may run twice, every
// acknowledged one must have run, and none that was refused as not run may have run.
func TestBookingsRunAtMostOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	y := startSystem(t)
	stopAndCheck := y.startBookings(6)
	for _, name := range []string{"sidecar-0", "entry-0", y.leader(), "sidecar-1", "entry-1"} {
		time.Sleep(300 * time.Millisecond)
		y.kill(name)
		time.Sleep(300 * time.Millisecond)
		y.start(name)
		time.Sleep(700 * time.Millisecond)
	}
	for _, name := range []string{"sidecar-0", y.leader(), "entry-1"} {
		y.signal(name, syscall.SIGSTOP)
		time.Sleep(2500 * time.Millisecond)
		y.signal(name, syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
	}
	stopAndCheck()
}

// checkBookings compares the outcomes of bookings with the run counts of the stand-ins.
func (y *system) checkBookings(results [][]booking, wrong int64) {
	y.t.Helper()
	runs := y.runCounts()
	completes, refusals, total := 0, 0, 0
	for _, list := range results {
		for _, b := range list {
			total++
			n := runs[b.id+"/0"]
			switch {
			case n > 1:
				y.t.Errorf("%s ran %d times", b.id, n)
			case b.complete && n != 1:
				y.t.Errorf("%s was acknowledged but ran %d times", b.id, n)
			case b.notRun && n != 0:
				y.t.Errorf("%s was refused as not run but ran", b.id)
			}
			if b.complete {
				completes++
			}
			if b.notRun {
				refusals++
			}
		}
	}
	if wrong > 0 {
		y.t.Errorf("%d complete answers had the wrong body", wrong)
	}
	if completes == 0 {
		y.t.Error("no booking was acknowledged")
	}
	y.t.Logf("%d bookings: %d complete, %d not run, %d with unknown outcome", total, completes, refusals, total-completes-refusals)
}

// TestRollingRestartLosesNothing shuts down and restarts every process but the stand-ins
// in turn under a load of bookings, look-ups and streams that last longer than a restart.
// Callers send to ready entries only, as a load balancer would. Every request must be
// answered completely.
func TestRollingRestartLosesNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	y := startSystem(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ok, bad atomic.Int64
	var group sync.WaitGroup
	for worker := range 6 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				y.sendRequest(worker, n, &ok, &bad)
			}
		})
	}
	for _, name := range y.processNames() {
		if name == "stand-in" {
			continue // plays the backend servers, which are no part of the system under test
		}
		time.Sleep(200 * time.Millisecond)
		y.stop(name)
		time.Sleep(100 * time.Millisecond)
		y.start(name)
		y.awaitReady(name)
	}
	cancel()
	group.Wait()
	if bad.Load() > 0 || ok.Load() == 0 {
		t.Errorf("%d of %d requests were not answered completely during the rolling restart", bad.Load(), ok.Load()+bad.Load())
	}
	t.Logf("%d requests answered completely, none failed: %v", ok.Load(), bad.Load() == 0)
}

// sendRequest sends a request to a ready entry and counts it in ok or bad.
func (y *system) sendRequest(worker, n int, ok, bad *atomic.Int64) {
	route := []string{"book", "look-up", "ask"}[n%3]
	entry := -1
	for i := range y.entries {
		candidate := (worker + n + i) % 2
		if ready, _ := fetch("http://" + y.entryOps[candidate] + "/readyz"); ready {
			entry = candidate
			break
		}
	}
	if entry < 0 {
		_, body0 := fetch("http://" + y.entryOps[0] + "/readyz")
		_, body1 := fetch("http://" + y.entryOps[1] + "/readyz")
		y.t.Errorf("no entry is ready: entry-0: %s; entry-1: %s", body0, body1)
		bad.Add(1)
		return
	}
	reply, err := load.Call(context.Background(), y.http, "http://"+y.entries[entry], load.Request{
		Route: route, Workspace: "test", ID: fmt.Sprintf("%s-%d-%d", route, worker, n), Body: []byte("x"), Repeatable: route != "book",
	})
	if err != nil || !reply.Verified {
		bad.Add(1)
		y.t.Errorf("%s %s %d-%d at entry %d: %v %+v", time.Now().UTC().Format(time.StampMilli), route, worker, n, entry, err, reply)
		return
	}
	ok.Add(1)
}

// awaitReady waits until a restarted entry or control instance is ready. For a sidecar it
// waits a fixed time.
func (y *system) awaitReady(name string) {
	y.t.Helper()
	switch {
	case strings.HasPrefix(name, "entry"):
		address := y.entryOps[int(name[len(name)-1]-'0')]
		y.await(name, func() bool { ready, _ := fetch("http://" + address + "/readyz"); return ready })
	case strings.HasPrefix(name, "control"):
		address := y.controls[int(name[len(name)-1]-'0')]
		y.await(name, func() bool { ready, _ := fetch("http://" + address + "/readyz"); return ready })
	default:
		time.Sleep(1500 * time.Millisecond) // by then the backend server is announced again
	}
}
