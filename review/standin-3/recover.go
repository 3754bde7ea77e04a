package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	deskServers   = 3
	lookupsPerSec = 40
	lookupTime    = 1500 * time.Millisecond // that a caller waits, in all its tries
	drainTime     = 2500 * time.Millisecond // that a server goes on after its departure is acknowledged
	exitSlack     = 300 * time.Millisecond  // and a little longer
	startTime     = 500 * time.Millisecond  // until it is up again
	restartGap    = 1 * time.Second
	recoveryTime  = 12 * time.Second // after which the rule counts
	measureTime   = 10 * time.Second
	minServed     = 0.25
)

// lookup answers a small request.
func lookup(r *runner, _ string, conn net.Conn, req *http.Request) bool {
	time.Sleep(20 * time.Millisecond)
	body := r.id + " has answered"
	r.head(conn, req, "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	_, err := io.WriteString(conn, body)
	return err == nil
}

// leave ends the server as planned, without having said that it drains: it announces its departure,
// goes on for a while, and exits. The call has no body, as in the pages' example.
func (r *runner) leave(first int) bool {
	return r.leaveAfter(first, drainTime+exitSlack, func() {})
}

// leaveAfter is leave with the time until the exit, and what happens right after the acknowledgement.
func (r *runner) leaveAfter(first int, goesOn time.Duration, acknowledged func()) bool {
	r.mu.Lock()
	close(r.stopped) // no more announcements
	r.mu.Unlock()
	if !waitFor(5*time.Second, func() bool { return r.b.post(first, r.b.names["deregister"]+r.id, "") }) {
		return false
	}
	acknowledged()
	r.b.note("%s: its departure is acknowledged", r.id)
	time.Sleep(goesOn)
	r.mu.Lock()
	r.stopped = make(chan struct{})
	r.mu.Unlock()
	r.crash()
	return true
}

// callLookup sends one request, at most twice, and reports whether it was served, and what was answered.
func (b *bench) callLookup(route string, n int) (bool, string) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTime)
	defer cancel()
	last, method, tries := "", http.MethodGet, 2
	if route == "book" { // not to be repeated
		method, tries = http.MethodPost, 1
	}
	for try := range tries {
		req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/%d", b.front[(n+try)%len(b.front)], route, n), nil)
		if err != nil {
			return false, err.Error()
		}
		req.Host, req.Close = "desk.example", true
		req.Header.Set(b.names["attempt"], fmt.Sprintf("%08x%02x", n, try))
		req.Header.Set(b.names["credential"], "k1")
		req.Header.Set(b.names["deadline"], fmt.Sprint(lookupTime.Milliseconds()))
		res, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && res.Header.Get(b.names["seal"]) != "" {
			return true, fmt.Sprintf("status 200, in try %d: %s", try+1, body)
		}
		last = fmt.Sprintf("status %d: %.120s", res.StatusCode, strings.TrimSpace(string(body)))
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
	return false, last
}

// measure sends requests on a route for a time and returns the share that was served.
func (b *bench) measure(route, what string, d time.Duration) float64 {
	var group sync.WaitGroup
	var sent, served atomic.Int64
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / lookupsPerSec) {
		n := int(b.counter.Add(1))
		group.Go(func() {
			ok, why := b.callLookup(route, n)
			sent.Add(1)
			if ok {
				served.Add(1)
			}
			b.note("%s: request %d on route %s is answered: %s", what, n, route, why)
		})
	}
	group.Wait()
	share := float64(served.Load()) / float64(max(1, sent.Load()))
	b.note("%s: %d of %d requests on route %s are served", what, served.Load(), sent.Load(), route)
	fmt.Printf("%s: %d of %d requests on route %s are served\n", what, served.Load(), sent.Load(), route)
	return share
}

// startDesk starts the backend servers of a pool, or returns nil.
func (b *bench) startDesk(pool string) []*runner {
	var servers []*runner
	for i := range deskServers {
		r := &runner{b: b, id: fmt.Sprintf("i-%s-%d", pool, i+1), pool: pool, zone: b.zones[i%len(b.zones)], slots: 6, answer: lookup}
		if err := r.start("v1"); err != nil {
			return nil
		}
		servers = append(servers, r)
	}
	return servers
}

// restartInTurn restarts backend servers as planned, one after the other.
func restartInTurn(servers []*runner) bool {
	for i, r := range servers {
		if !r.leave(i) {
			r.b.note("%s: its departure was not acknowledged", r.id)
			return false
		}
		time.Sleep(startTime)
		if err := r.start("v1"); err != nil {
			return false
		}
		time.Sleep(restartGap)
	}
	return true
}

// kill has the script kill processes and start them again.
func (b *bench) kill(dir string) bool {
	b.note("processes are killed")
	if err := os.WriteFile(filepath.Join(dir, "kill"), nil, 0o600); err != nil {
		return false
	}
	if !waitFor(10*time.Second, func() bool { _, err := os.Stat(filepath.Join(dir, "back")); return err == nil }) {
		return false
	}
	b.note("they have started again")
	return true
}

// playRecover restarts the backend servers of a service one after the other, under their ids. Then all
// processes of the system are killed and start again, and it is measured what is served afterwards.
func (b *bench) playRecover(dir string) int {
	if !waitFor(15*time.Second, func() bool { return b.post(0, b.names["replace"], b.names["lookups"]) }) {
		b.note("the configuration was not accepted")
		return unable
	}
	servers := b.startDesk("booking")
	if servers == nil {
		return unable
	}
	if !waitFor(15*time.Second, b.isReady) {
		b.note("the gateways are not ready")
		return unable
	}
	time.Sleep(2 * time.Second)
	if b.measure("lookup", "at first", 2*time.Second) < 0.9 {
		return unable
	}
	if !restartInTurn(servers) {
		return unable
	}
	time.Sleep(2 * time.Second)
	if b.measure("lookup", "before the final fault", 3*time.Second) < 0.9 {
		return unable
	}
	if b.trouble && !b.kill(dir) {
		return unable
	}
	time.Sleep(recoveryTime)
	if b.measure("lookup", "later than the recovery time", measureTime) < minServed {
		return broken
	}
	return held
}

// playLater restarts the backend servers of a service, whose route was added by a later configuration,
// one after the other, under their ids. Then a control instance is killed and starts again, and it is
// measured how often requests on that route and on the first one are served.
func (b *bench) playLater(dir string) int {
	if !waitFor(15*time.Second, func() bool { return b.post(0, b.names["replace"], b.names["lookups"]) }) {
		return unable
	}
	if b.startDesk("booking") == nil || !waitFor(15*time.Second, b.isReady) {
		return unable
	}
	if !b.post(1, b.names["replace"], b.names["later"]) {
		b.note("the second configuration was not accepted")
		return unable
	}
	servers := b.startDesk("calendar")
	if servers == nil {
		return unable
	}
	time.Sleep(3 * time.Second)
	if b.measure("slots", "at first", 2*time.Second) < 0.9 || !restartInTurn(servers) {
		return unable
	}
	time.Sleep(2 * time.Second)
	if b.measure("slots", "after the restarts", 3*time.Second) < 0.9 {
		return unable
	}
	if b.trouble && !b.kill(dir) {
		return unable
	}
	time.Sleep(recoveryTime)
	first := b.measure("lookup", "in steady state", measureTime/2)
	if later := b.measure("slots", "in steady state", measureTime/2); later < first/4 {
		return broken
	}
	return held
}
