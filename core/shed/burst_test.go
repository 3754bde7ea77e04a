package shed_test

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"tanagerroad/core/shed"
)

// arrival is a request of the replay, at the time of one of its attempts.
type arrival struct {
	at, first time.Duration
	subject   string
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

const (
	throughput = 100.0 // requests a second, of one piece each, as the traits of the pool say
	slowness   = 1.2   // of the pool, compared with its traits
	objective  = 1500 * time.Millisecond
	deadline   = 20 * time.Second
	callTime   = 300 * time.Millisecond
	burstFrom  = 4 * time.Second
	burstTo    = 10 * time.Second
)

// sender is a workspace of a replay.
type sender struct {
	rate, burst float64 // requests a second before and during the burst
	impatient   bool    // comes back 0.1 s after each rejection until the deadline, not once when told
}

// outcome counts the requests of a workspace in the burst.
type outcome struct{ asked, served, inTime int }

// replayBurst replays the requests of workspaces to one stage pool. It returns the outcome of
// each workspace and the sum.
func replayBurst(seed uint64, controller *shed.Controller, senders []sender) (each []outcome, all outcome) {
	random := rand.New(rand.NewPCG(seed, 1))
	queue := &arrivals{}
	var workspaces []int // by subject
	for w, s := range senders {
		for at := time.Duration(0); at < burstTo; {
			rate := s.rate
			if at >= burstFrom {
				rate = s.burst
			}
			heap.Push(queue, arrival{at: at, first: at, subject: strconv.Itoa(len(workspaces))})
			workspaces = append(workspaces, w)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		}
	}
	type run struct {
		arrival
		ends time.Duration
	}
	var running []run
	free := time.Duration(0) // when the pool has done all that it was given
	each = make([]outcome, len(senders))
	for queue.Len() > 0 {
		a := heap.Pop(queue).(arrival)
		for len(running) > 0 && running[0].ends <= a.at {
			controller.RecordPieces(running[0].ends, running[0].subject, 1)
			running = running[1:]
		}
		number, _ := strconv.Atoi(a.subject)
		w := workspaces[number]
		if a.at == a.first && a.at >= burstFrom {
			each[w].asked++
		}
		waiting := int(max(0, free-a.at).Seconds() * throughput)
		d := controller.Decide(a.at, shed.Request{
			Subject: a.subject, Due: a.at + objective, Deadline: a.first + deadline, Jitter: random.Float64(),
			Workspace: strconv.Itoa(w), Work: 1 / throughput,
			CriticalPath: []shed.Stage{{Pieces: waiting, Capacity: throughput / 0.8, CallTime: callTime}},
		})
		if !d.Admit {
			next := a.at + d.RetryDelay
			if senders[w].impatient {
				next = a.at + 100*time.Millisecond
			}
			if senders[w].impatient && next < a.first+deadline || a.at == a.first {
				heap.Push(queue, arrival{at: next, first: a.first, subject: a.subject})
			}
			continue
		}
		free = max(free, a.at) + time.Duration(slowness/throughput*float64(time.Second))
		r := run{a, free + callTime}
		controller.Start(a.subject, d, 1, a.first+deadline)
		running = append(running, r)
		if a.first >= burstFrom {
			each[w].served++
			if r.ends <= a.first+objective {
				each[w].inTime++
			}
		}
	}
	for _, o := range each {
		all = outcome{all.asked + o.asked, all.served + o.served, all.inTime + o.inTime}
	}
	return each, all
}

// TestRetriesMakeNewRequestsLate guards against a burst in which the requests that were
// rejected come back and take the room of new ones, until all are late. A stage pool that
// is usually 86 % utilised and a fifth slower than its traits say gets nearly three times its
// load for 6 s. What it can do in time is 0.8 of its throughput, or all that is asked for.
func TestRetriesMakeNewRequestsLate(t *testing.T) {
	senders := []sender{{rate: 0.86 * throughput, burst: 0.86 * throughput * 2.8}}
	_, got := replayBurst(1, shed.New(), senders)
	want := int(0.8 * min(float64(got.asked), throughput/slowness*(burstTo-burstFrom).Seconds()))
	if got.inTime < want {
		t.Errorf("%d of %d requests of the burst were in time, want at least %d", got.inTime, got.asked, want)
	}
	t.Logf("%d of %d requests of the burst were in time", got.inTime, got.asked)
	if _, fair := replayBurst(1, shed.NewFair(), senders); fair != got {
		t.Errorf("with fair shares of a single workspace: %+v, want %+v", fair, got)
	}
}

// TestOutageStopsAdmissions guards against stages that end ever later in an outage, so that
// nothing is admitted any more that could show that it is over.
func TestOutageStopsAdmissions(t *testing.T) {
	controller := shed.New()
	now := time.Minute
	for i := range 200 {
		id := strconv.Itoa(i)
		d := controller.Decide(now, shed.Request{Subject: id, Due: now + time.Second, Deadline: now + 10*time.Second, CriticalPath: []shed.Stage{{Pieces: 100, Capacity: 270, CallTime: 200 * time.Millisecond}}})
		controller.Start(id, d, 1, now+10*time.Second)
		now += 20 * time.Millisecond
		controller.RecordPieces(now+9*time.Second, id, 1)
	}
	if got := controller.Lateness(); got > 500*time.Millisecond {
		t.Errorf("predictions are corrected by %v, want at most half a second", got)
	}
	d := controller.Decide(now, shed.Request{Subject: "new", Due: now + 2*time.Second, Deadline: now + 10*time.Second, CriticalPath: []shed.Stage{{Pieces: 100, Capacity: 270, CallTime: 200 * time.Millisecond}}})
	if !d.Admit {
		t.Errorf("a request with a second to spare was rejected (end in %v)", d.End-now)
	}
}
