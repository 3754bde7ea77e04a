package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const bookTime = 12 * time.Second

// playForeign has another writer send one announcement with a field of another type. It bears the id and
// the address of a sound backend server of one service, and names another service. The bookings are
// counted that the server of the first one runs.
func (b *bench) playForeign() int {
	if !waitFor(15*time.Second, func() bool { return b.post(0, b.names["replace"], b.names["desks"]) }) {
		return unable
	}
	booking, calendar := b.startDesk("booking"), b.startDesk("calendar")
	if booking == nil || calendar == nil || !waitFor(15*time.Second, b.isReady) {
		return unable
	}
	time.Sleep(2 * time.Second)
	if b.measure("book", "at first", 2*time.Second) < 0.9 || b.measure("lookup", "at first", 2*time.Second) < 0.9 {
		return unable
	}
	var group sync.WaitGroup
	group.Go(func() { b.measure("book", "then", bookTime) })
	group.Go(func() { b.measure("lookup", "then", bookTime) })
	time.Sleep(time.Second)
	if b.trouble {
		r := calendar[0]
		body := fmt.Sprintf(b.names["odd"], "booking", r.address, r.zone, "v1", 6, 1000, time.Now().UnixMilli())
		b.note("another writer announces %s: %s", r.id, body)
		b.note("it is acknowledged: %v", b.post(0, b.names["heartbeat"]+r.id, body))
	}
	group.Wait()
	foreign := 0
	for _, r := range calendar {
		r.mu.Lock()
		for _, path := range r.paths {
			if strings.HasPrefix(path, "/book/") {
				foreign++
				b.note("%s, of the service calendar, has run %s", r.id, path)
			}
		}
		r.mu.Unlock()
	}
	b.note("%d bookings were run by servers of another service", foreign)
	fmt.Printf("%d bookings were run by servers of another service\n", foreign)
	if foreign > 0 {
		return broken
	}
	return held
}
