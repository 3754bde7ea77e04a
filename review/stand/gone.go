package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	drainTime   = 2500 * time.Millisecond // drainMs
	contactTime = 3 * time.Second         // contactMs
	// lateness is how much later a heartbeat arrives than it was sent.
	lateness = 6 * time.Second
	// servesOn is how long the runner serves after it has said that it is gone.
	servesOn = 11 * time.Second
)

const afterGone = "DRAIN a request reaches a runner that is gone, as was acknowledged"

// playGoneRunner: a runner sends a heartbeat, which arrives late, and says that it is gone,
// which is acknowledged. Then all processes of the core are killed and start again.
func playGoneRunner(s *stage) int {
	routes := []map[string]any{
		{"name": "r-book", "host": "desk.example", keyPrefix: "/book/", "kind": "non_idempotent", keyTimeout: 2000, keyObjective: 200, "priority": 1, "service": "hire-desk", keyAttempts: 1, "public": false, "sticky": false, "resumable": false},
	}
	services := []map[string]any{
		{"name": "hire-desk", keyHealth: "/healthz", keyConns: 56, "protocol": "h1", "tls": false},
	}
	var mu sync.Mutex
	var notBefore time.Time // of requests that break the rule
	var all []*runner
	ran := func(r *runner, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r == all[0] && !notBefore.IsZero() && time.Now().After(notBefore) {
			s.breaks(afterGone, "runner %s runs %s", r.id, request.Header.Get(headerAttempt))
		}
	}
	for i := range 3 {
		r := &runner{id: "i-" + newID(), service: "hire-desk", zone: zones[i], slots: 6, handle: answerRun(30*time.Millisecond, ran)}
		all = append(all, r)
		if err := s.newRunner(r); err != nil {
			return s.notRun("a runner: %v", err)
		}
	}
	if !s.putConfig(newConfig(7, routes, services)) || !s.awaitReady() {
		return s.notRun("the system does not get ready")
	}
	s.sleep(3 * time.Second)
	gone := all[0]
	leave := func() {
		gone.stopBeats()
		gone.mu.Lock()
		gone.seq++
		late, _ := json.Marshal(map[string]any{ // plain values
			"service": gone.service, "address": gone.address, "zone": gone.zone, "version": gone.version, "slots": gone.slots, "state": "ready",
			keyColdLeft: 0, "seq": gone.seq, "born": gone.born,
		})
		gone.seq++
		last, _ := json.Marshal(map[string]any{"seq": gone.seq, "born": gone.born}) // plain values
		seq := gone.seq
		gone.mu.Unlock()
		s.logf("runner %s sends heartbeat %d", gone.id, seq-1)
		if s.trouble {
			go func() {
				s.sleep(lateness)
				status := s.post(s.Controls[1], pathHeartbeat+gone.id, late, time.Second)
				s.logf("heartbeat %d of runner %s arrives, %v late; status %d", seq-1, gone.id, lateness, status)
			}()
		} else {
			s.post(s.Controls[1], pathHeartbeat+gone.id, late, time.Second)
		}
		status := s.post(s.Controls[0], pathDeregister+gone.id, last, time.Second)
		acknowledged := time.Now()
		s.logf("runner %s says that it is gone; status %d", gone.id, status)
		mu.Lock()
		notBefore = acknowledged.Add(drainTime)
		mu.Unlock()
		if s.trouble {
			s.sleep(500 * time.Millisecond)
			if err := os.WriteFile(filepath.Join(s.dir, "kill"), nil, 0o600); err != nil {
				s.logf("the processes are not killed: %v", err)
			}
			s.logf("all processes of the core are killed")
			for s.ctx.Err() == nil { // until they have been started again
				if _, err := os.Stat(filepath.Join(s.dir, "started")); err == nil {
					break
				}
				s.sleep(10 * time.Millisecond)
			}
			s.logf("all processes have been started again")
			mu.Lock()
			if inTouch := time.Now().Add(contactTime); inTouch.After(notBefore) {
				notBefore = inTouch
			}
			s.logf("requests count from %.3f on", notBefore.Sub(s.began).Seconds())
			mu.Unlock()
		}
		s.sleep(time.Until(acknowledged.Add(servesOn)))
		gone.crash()
	}
	go leave()
	var clients sync.WaitGroup
	answered := &counter{}
	for i := range 300 { // 20 a second
		clients.Go(func() {
			answered.add(s.call(s.Fronts[i%len(s.Fronts)], http.MethodPost, "desk.example", "/book/1", "two crushers", 2000))
		})
		s.sleep(50 * time.Millisecond)
	}
	clients.Wait()
	s.logf("answers by status: %v", answered.counts)
	if answered.counts[http.StatusOK] < 100 {
		return s.notRun("only %d of 300 requests were served", answered.counts[http.StatusOK])
	}
	return s.verdict(afterGone, 0)
}
