package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the small deployments.
const (
	drainTime = 2500 * time.Millisecond // drainMs
	applyTime = 2500 * time.Millisecond // configApplyMs
	inTouch   = 3 * time.Second         // contactMs
)

// putConfig has a version of the configuration acknowledged.
func (w *world) putConfig(version int) error {
	body, err := w.fill("config.txt", "version", fmt.Sprint(version))
	if err != nil {
		return err
	}
	return w.order(body, 20*time.Second)
}

// runBorn plays a runner that starts while its clock is ahead, crashes, starts again under
// its id when the clock has been set back, and then leaves as planned.
func runBorn(w *world, args []string) (int, error) {
	if err := w.openRecord(args[0]); err != nil {
		return 0, err
	}
	if err := w.putConfig(7); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serving := func() string { return "ready" }
	var mu sync.Mutex
	var drainedAt time.Time // when its leaving was acknowledged
	late := 0
	onRun := func(attempt string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if !drainedAt.IsZero() && at.Sub(drainedAt) > drainTime {
			late++
			w.say("late: %s reaches the leaving runner %.3f s after the acknowledgement", attempt, at.Sub(drainedAt).Seconds())
		}
	}
	address, err := freeAddress("127.0.0.3") // in the zone of the gateway that is idle
	if err != nil {
		return 0, err
	}
	for _, n := range []int{1, 2, 4} { // so that one that crashes is a quarter of the service
		otherAddress, err := freeAddress(fmt.Sprintf("127.0.0.%d", n))
		if err != nil {
			return 0, err
		}
		other := &runner{w: w, id: fmt.Sprintf("i-other-%d", n), address: otherAddress, zone: fmt.Sprintf("zone-%d", (n-1)%instances+1), service: "booking", born: time.Now().UnixMilli(), work: 30 * time.Millisecond}
		if err := other.start(); err != nil {
			return 0, err
		}
		go other.announce(ctx, serving)
	}
	for n := 1; n <= instances; n++ {
		if !w.awaitReady(n, 20*time.Second) {
			return 0, fmt.Errorf("gateway %d is not ready", n)
		}
	}
	time.Sleep(inTouch + 500*time.Millisecond) // all machines are in touch from here on
	traffic := w.startTraffic(ctx, bookings, 50*time.Millisecond, 1, 2)

	ahead := int64(0)
	if w.trouble {
		ahead = clockStep.Milliseconds()
	}
	first := &runner{w: w, id: "i-1", address: address, zone: "zone-3", service: "booking", born: time.Now().UnixMilli() + ahead, work: 30 * time.Millisecond, onRun: onRun}
	if err := first.start(); err != nil {
		return 0, err
	}
	firstCtx, endFirst := context.WithCancel(ctx)
	go first.announce(firstCtx, serving)
	time.Sleep(1300 * time.Millisecond)
	endFirst()
	first.crash()
	time.Sleep(700 * time.Millisecond)
	again := &runner{w: w, id: "i-1", address: address, zone: "zone-3", service: "booking", born: time.Now().UnixMilli(), work: 30 * time.Millisecond, onRun: onRun}
	if err := again.start(); err != nil {
		return 0, err
	}
	w.say("runner i-1: ready, acknowledged %v", again.beat("ready"))
	time.Sleep(200 * time.Millisecond)
	again.leave()
	for !again.beat("draining") {
		if ctx.Err() != nil {
			return exitFailed, nil
		}
	}
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	w.say("runner i-1: draining, acknowledged")
	drainCtx, endDrain := context.WithCancel(ctx)
	go again.announce(drainCtx, func() string { return "draining" })
	time.Sleep(drainTime + 100*time.Millisecond)
	others := w.startTraffic(ctx, bookings, 50*time.Millisecond, 3) // its clients come only now
	time.Sleep(700 * time.Millisecond)
	endDrain()
	again.crash() // it leaves
	time.Sleep(2 * time.Second)
	cancel()
	statuses, rest := traffic.wait(), others.wait()
	mu.Lock()
	defer mu.Unlock()
	w.say("answers by status: %v, at the gateway that was idle %v", statuses, rest)
	w.say("requests that reached the leaving runner later than %v after the acknowledgement: %d", drainTime, late)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// clockStep is below the largest step of a clock in the site's file, 2,800 ms.
const clockStep = 2400 * time.Millisecond

// runZero plays an operator whose first configuration has the version 0.
func runZero(w *world, args []string) (int, error) {
	if err := w.openRecord(args[0]); err != nil {
		return 0, err
	}
	version := 1
	if w.trouble {
		version = 0
	}
	if err := w.putConfig(version); err != nil {
		return 0, err
	}
	acknowledged := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return 0, err
	}
	r := &runner{w: w, id: "i-1", address: address, zone: "zone-1", service: "booking", born: time.Now().UnixMilli(), work: 30 * time.Millisecond}
	if err := r.start(); err != nil {
		return 0, err
	}
	go r.announce(ctx, func() string { return "ready" })
	time.Sleep(max(inTouch, applyTime) + 2*time.Second - time.Since(acknowledged))
	status, body := w.call(http.MethodGet, "http://"+w.control(1)+w.names["read"], nil)
	w.say("operator: read back, %d %.40s", status, body)
	traffic := w.startTraffic(ctx, bookings, 50*time.Millisecond, 1, 2, 3)
	time.Sleep(10 * time.Second)
	cancel()
	statuses := traffic.wait()
	w.say("answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// strayTime is how long the other writer sends its heartbeats.
const strayTime = 60 * time.Second

// runStray plays another writer, whose heartbeats name a service that does not exist and the
// addresses of sound runners.
func runStray(w *world, args []string) (int, error) {
	if err := w.openRecord(args[0]); err != nil {
		return 0, err
	}
	if err := w.putConfig(7); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sound []*runner
	for n := 1; n <= instances; n++ {
		for _, service := range []string{"booking", "desk"} {
			address, err := freeAddress(fmt.Sprintf("127.0.0.%d", n))
			if err != nil {
				return 0, err
			}
			r := &runner{w: w, id: fmt.Sprintf("i-%s-%d", service, n), address: address, zone: fmt.Sprintf("zone-%d", n), service: service, born: time.Now().UnixMilli(), work: 30 * time.Millisecond}
			if err := r.start(); err != nil {
				return 0, err
			}
			go r.announce(ctx, func() string { return "ready" })
			if service == "booking" {
				sound = append(sound, r)
			}
		}
	}
	for n := 1; n <= instances; n++ {
		if !w.awaitReady(n, 20*time.Second) {
			return 0, fmt.Errorf("gateway %d is not ready", n)
		}
	}
	time.Sleep(inTouch + 500*time.Millisecond)
	booked := w.startTraffic(ctx, bookings, 200*time.Millisecond, 1, 2, 3)
	looked := w.startTraffic(ctx, lookups, 200*time.Millisecond, 1, 2, 3)
	time.Sleep(5 * time.Second)
	if w.trouble {
		for i, r := range sound {
			other := &runner{w: w, id: fmt.Sprintf("other-%d", i+1), address: r.address, zone: r.zone, service: "nowhere", born: time.Now().UnixMilli()}
			w.say("other writer: %s of the service nowhere says that it is at %s", other.id, other.address)
			go other.announce(ctx, func() string { return "ready" })
		}
	}
	time.Sleep(strayTime)
	cancel()
	b, l := booked.wait(), looked.wait()
	all := map[int]int{}
	for _, statuses := range []map[int]int{b, l} {
		for status, n := range statuses {
			all[status] += n
		}
	}
	w.say("bookings by status: %v, served %.3f; lookups by status: %v, served %.3f; all served %.3f", b, share(b), l, share(l), share(all))
	if share(b) < share(all)/4 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// startTime is how long the operator tries to have the first configuration acknowledged: many
// times the bound of a stable core, which holds once inTouch has passed.
const startTime = 40 * time.Second

// runStart plays a system of which one core machine is gone for good as it starts, and is
// replaced by an empty one at another address. The script ends and starts their processes.
func runStart(w *world, args []string) (int, error) {
	if err := w.openRecord(args[0]); err != nil {
		return 0, err
	}
	if w.trouble {
		w.core = []int{1, 2, 6}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return 0, err
	}
	r := &runner{w: w, id: "i-1", address: address, zone: "zone-1", service: "booking", born: time.Now().UnixMilli(), work: 30 * time.Millisecond}
	if err := r.start(); err != nil {
		return 0, err
	}
	go r.announce(ctx, func() string { return "ready" })
	body, err := w.fill("config.txt", "version", "7")
	if err != nil {
		return 0, err
	}
	orderErr := w.order(body, startTime)
	w.say("operator: the first configuration: %v", orderErr)
	traffic := w.startTraffic(ctx, bookings, 200*time.Millisecond, 1, 2)
	time.Sleep(10 * time.Second)
	cancel()
	statuses := traffic.wait()
	w.say("answers by status: %v", statuses)
	if orderErr != nil {
		return exitBroken, nil
	}
	return exitHeld, nil
}
