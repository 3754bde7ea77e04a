package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	contactTime = 3 * time.Second         // contactMs
	downTime    = 3500 * time.Millisecond // that the control instance is down; its start ends the time in touch
	touchMargin = 50 * time.Millisecond
	longDrain   = 6 * time.Second // a server goes on for many seconds at times
)

// playDepart restarts one backend server twice, as planned, under its id. The control instance that
// acknowledges its second departure is killed right afterwards, and the requests are counted that reach
// the server later than the drain time, while the other machines are in touch.
func (b *bench) playDepart(dir string, pid int) int {
	if !waitFor(15*time.Second, func() bool { return b.post(0, b.names["replace"], b.names["lookups"]) }) {
		return unable
	}
	servers := b.startDesk("booking")
	if servers == nil || !waitFor(15*time.Second, b.isReady) {
		return unable
	}
	time.Sleep(2 * time.Second)
	leaving := servers[1]
	if b.measure("lookup", "at first", 2*time.Second) < 0.9 || !restartInTurn(servers[1:2]) {
		return unable
	}
	time.Sleep(2 * time.Second)
	if b.measure("lookup", "after the first restart", 2*time.Second) < 0.9 {
		return unable
	}
	var acknowledgedAt time.Time
	var group sync.WaitGroup
	ok := false
	group.Go(func() {
		ok = leaving.leaveAfter(1, longDrain, func() {
			acknowledgedAt = time.Now()
			if b.trouble {
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		})
	})
	group.Go(func() { b.measure("lookup", "around the second departure", longDrain) })
	if b.trouble {
		group.Go(func() {
			time.Sleep(downTime)
			_ = os.WriteFile(filepath.Join(dir, "kill"), nil, 0o600) // the script starts it again
		})
	}
	group.Wait()
	if !ok {
		b.note("the second departure was not acknowledged")
		return unable
	}
	late, inTouch := 0, 0
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for _, at := range leaving.arrivals {
		after := at.Sub(acknowledgedAt)
		if after > drainTime {
			late++
			b.note("a request reaches %s %.3f s after the acknowledgement", leaving.id, after.Seconds())
		}
		if after > contactTime+touchMargin && after < downTime-touchMargin {
			inTouch++
		}
	}
	b.note("%d requests later than the drain time, %d of them while all machines that run are in touch", late, inTouch)
	fmt.Printf("%d requests later than the drain time, %d of them while all machines that run are in touch\n", late, inTouch)
	if inTouch > 0 {
		return broken
	}
	return held
}
