package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
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

func settingsDuration(d time.Duration) tanagerroad.Duration { return tanagerroad.Duration(d) }

// inForceBound is how long an accepted change may take to be in force in every
// process, also after a process came back.
const inForceBound = 5 * time.Second

func (y *system) wantInForce(revision uint64, processes int) {
	y.t.Helper()
	if took := y.inForce(revision, processes); took > inForceBound {
		y.t.Errorf("revision %d was in force after %s, want %s", revision, took, inForceBound)
	}
}

// TestAcceptedChangesSurvive makes hundreds of changes, one after the other,
// while processes are killed, frozen and robbed of their disk. Every change is
// accepted exactly once and none is lost; all of them are in force everywhere
// within the bound of the last fault's end.
func TestAcceptedChangesSurvive(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	y := startSystem(t)
	const processes = 8 // that hold the tables: entries and sidecars
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
	change(50) // by a new leader; the old one knows nothing of it
	y.signal(frozen, syscall.SIGCONT)
	change(50)
	y.wantInForce(revision, processes)

	emptied := y.leader()
	y.kill(emptied)
	if err := os.RemoveAll(filepath.Join(y.folder, emptied)); err != nil {
		t.Fatal(err)
	}
	y.start(emptied)
	change(50)
	y.awaitVoters(3)
	second := y.leader() // a second loss right after the repair
	y.kill(second)
	if err := os.RemoveAll(filepath.Join(y.folder, second)); err != nil {
		t.Fatal(err)
	}
	change(1)
	y.start(second)
	y.wantInForce(revision, processes)

	// Two voters are left until the repair is done; who loses one of them then
	// has lost two disks at once.
	y.awaitVoters(3)
	away := "control-0"
	y.kill(away)
	y.kill("sidecar-0")
	change(500)
	y.start(away)
	y.start("sidecar-0")
	y.wantInForce(revision, processes)
	y.awaitVoters(3)
	y.checkLog(revision)
}

// awaitVoters waits until every control instance votes again.
func (y *system) awaitVoters(n int) {
	y.t.Helper()
	y.await("all to vote", func() bool {
		var status struct {
			Members []struct{ Voter bool }
		}
		leader := y.leader()
		address := y.controls[int(leader[len(leader)-1]-'0')]
		if _, err := operator.Call(context.Background(), y.http, http.MethodGet, address, "/status", "", nil, &status); err != nil {
			return false
		}
		voters := 0
		for _, m := range status.Members {
			if m.Voter {
				voters++
			}
		}
		return voters == n && len(status.Members) == n
	})
}

// checkLog: the change log holds every revision once, in order.
func (y *system) checkLog(revision uint64) {
	y.t.Helper()
	var log []operator.TableRevision
	y.await("the log", func() bool {
		_, err := operator.Call(context.Background(), y.http, http.MethodGet, y.controls[1], "/tables/log", "", nil, &log)
		return err == nil && len(log) > 0
	})
	if uint64(len(log)) != revision {
		y.t.Fatalf("the log has %d changes, want %d", len(log), revision)
	}
	for i, change := range log {
		if change.Number != uint64(i)+1 {
			y.t.Fatalf("change %d of the log has revision %d", i, change.Number)
		}
	}
}

// sent is what a caller knows of one booking.
type sent struct {
	id       string
	complete bool
	notRun   bool // the first sending said so, and it was not sent again
	body     string
}

// caller books again and again. A sending without an answer, or with unknown,
// is sent again at the other entry under the same id, marked as a resend.
func (y *system) book(ctx context.Context, worker int, out *[]sent, wrong *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		b := sent{id: fmt.Sprintf("booking-%d-%d", worker, n)}
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

// bookers lets so many callers book without pause. The returned function ends that
// and judges what they were told.
func (y *system) bookers(workers int) (judge func()) {
	ctx, cancel := context.WithCancel(context.Background())
	y.t.Cleanup(cancel)
	var wrong atomic.Int64
	results := make([][]sent, workers)
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() { y.book(ctx, i, &results[i], &wrong) })
	}
	return func() {
		y.t.Helper()
		cancel()
		group.Wait()
		y.judge(results, wrong.Load())
	}
}

// TestBookingsRunAtMostOnce books without pause while each role in turn is
// killed and frozen. By the stand-ins' own count no booking runs twice, an
// acknowledged one ran, and one that was refused as not run did not.
func TestBookingsRunAtMostOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	y := startSystem(t)
	judge := y.bookers(6)
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
	judge()
}

func (y *system) judge(results [][]sent, wrong int64) {
	y.t.Helper()
	runs := y.runs()
	completes, refusals, total := 0, 0, 0
	for _, list := range results {
		for _, b := range list {
			total++
			n := runs[b.id+"/0"]
			switch {
			case n > 1:
				y.t.Errorf("%s ran %d times", b.id, n)
			case b.complete && n != 1:
				y.t.Errorf("%s was acknowledged and ran %d times", b.id, n)
			case b.notRun && n != 0:
				y.t.Errorf("%s was refused as not run, and ran", b.id)
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
		y.t.Errorf("%d answers were not the request's own", wrong)
	}
	if completes == 0 {
		y.t.Error("nothing was booked")
	}
	y.t.Logf("%d bookings: %d complete, %d not run, %d without a final word", total, completes, refusals, total-completes-refusals)
}

// TestRollingRestartLosesNothing stops and starts every process in turn, as
// planned, under load: bookings, look-ups and streams that last longer than a
// restart. Callers go to ready entries only, as behind a balancer.
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
				y.one(worker, n, &ok, &bad)
			}
		})
	}
	for _, name := range y.names() {
		if name == "stand-in" {
			continue // not ours
		}
		time.Sleep(200 * time.Millisecond)
		y.stop(name)
		time.Sleep(100 * time.Millisecond)
		y.start(name)
		y.awaitBack(name)
	}
	cancel()
	group.Wait()
	if bad.Load() > 0 || ok.Load() == 0 {
		t.Errorf("%d of %d requests were not answered whole during planned stops", bad.Load(), ok.Load()+bad.Load())
	}
	t.Logf("%d requests, all whole: %v", ok.Load(), bad.Load() == 0)
}

// one sends a request to a ready entry.
func (y *system) one(worker, n int, ok, bad *atomic.Int64) {
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
		_, why0 := fetch("http://" + y.entryOps[0] + "/readyz")
		_, why1 := fetch("http://" + y.entryOps[1] + "/readyz")
		y.t.Errorf("no entry is ready: %s, %s", why0, why1)
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

// awaitBack waits until a restarted process takes part again.
func (y *system) awaitBack(name string) {
	y.t.Helper()
	switch {
	case strings.HasPrefix(name, "entry"):
		op := y.entryOps[int(name[len(name)-1]-'0')]
		y.await(name, func() bool { ready, _ := fetch("http://" + op + "/readyz"); return ready })
	case strings.HasPrefix(name, "control"):
		op := y.controls[int(name[len(name)-1]-'0')]
		y.await(name, func() bool { ready, _ := fetch("http://" + op + "/readyz"); return ready })
	default:
		time.Sleep(1500 * time.Millisecond) // until it is announced again
	}
}
