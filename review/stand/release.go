package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	freezeTime = 2 * time.Second // of a machine; run.sh thaws it
	// catchUp is catchUpS, and half a second for run.sh to see what it is asked for.
	catchUp = 4*time.Second + 500*time.Millisecond
	// leadersForget is how long ago the other machines have led when the last one is frozen.
	leadersForget = 61 * time.Second
	longEvents    = 60
)

// leader returns the index of the control instance that says that it leads, or -1.
func (s *stage) leader() int {
	for i, address := range s.ControlOperators {
		request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+address+"/status", nil)
		if err != nil {
			return -1
		}
		client := http.Client{Timeout: 300 * time.Millisecond, Transport: s.http.Transport}
		res, err := client.Do(request)
		if err != nil {
			continue
		}
		var status struct {
			Role string `json:"role"`
		}
		err = json.NewDecoder(res.Body).Decode(&status)
		_ = res.Body.Close()
		if err == nil && status.Role == "leader" {
			return i
		}
	}
	return -1
}

// freeze has run.sh freeze all processes of a machine for freezeTime.
func (s *stage) freeze(machine int) {
	s.logf("machine %d freezes for %v", machine, freezeTime)
	text := fmt.Sprintf("%d %g\n", machine, freezeTime.Seconds())
	if err := os.WriteFile(filepath.Join(s.dir, "freeze.new"), []byte(text), 0o600); err != nil {
		s.logf("it does not: %v", err)
		return
	}
	_ = os.Rename(filepath.Join(s.dir, "freeze.new"), filepath.Join(s.dir, "freeze"))
}

// playRelease: the runners of a service are replaced by runners of the next software
// version. Machines that lead have frozen some time before, and one does at the end.
func playRelease(s *stage) int {
	routes := []map[string]any{{
		"name": "r-quote", "host": "quote.example", keyPrefix: "/quote/", "kind": "streaming", keyTimeout: 20000, keyObjective: 1100, keyGapObjective: 300, "priority": 1,
		"service": "knus-llm", keyAttempts: 2, "public": false, "sticky": true, "resumable": true,
	}}
	services := []map[string]any{{
		"name": "knus-llm", keyHealth: "/healthz", keyConns: 170, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 32, keyCapacity: 801857, "kvTokenBytes": 18432, "linkMbps": 180000.0, "models": []map[string]any{{"name": "m"}}},
	}}
	start := func(version string) ([]*runner, error) {
		var out []*runner
		for i := range 2 {
			r := &runner{id: "i-" + newID(), service: "knus-llm", zone: zones[i%3], slots: 32, version: version, handle: runStream(longEvents)}
			if err := s.newRunner(r); err != nil {
				return nil, err
			}
			out = append(out, r)
		}
		return out, nil
	}
	old, err := start("v1")
	if err != nil {
		return s.notRun("a runner: %v", err)
	}
	if !s.putConfig(newConfig(7, routes, services)) || !s.awaitReady() {
		return s.notRun("the system does not get ready")
	}
	var clients sync.WaitGroup
	answered := &counter{}
	number := 0
	stream := func() {
		n := number
		number++
		clients.Go(func() { answered.add(s.readStream(n, longEvents, 20*time.Second)) })
	}
	stream() // a first one, so that the service has streams at all
	s.sleep(2 * time.Second)

	// Each machine leads at some time before the release.
	ledAt := map[int]time.Time{}
	current := s.leader()
	for range 6 {
		ledAt[current] = time.Now()
		if !s.trouble || len(ledAt) == len(s.Controls) {
			break
		}
		s.freeze(current)
		s.sleep(freezeTime + catchUp)
		for current = s.leader(); current < 0; current = s.leader() {
			s.sleep(100 * time.Millisecond)
		}
		s.logf("machine %d leads", current)
	}
	if s.trouble && len(ledAt) < len(s.Controls) {
		return s.notRun("machines that have led: %d", len(ledAt))
	}
	released := time.Now().Add(leadersForget)
	if _, err := start("v2"); err != nil {
		return s.notRun("a runner: %v", err)
	}
	s.sleep(time.Until(released) - 3*time.Second)
	for range 60 {
		stream()
		s.sleep(50 * time.Millisecond)
	}
	if s.trouble && s.leader() != current {
		return s.notRun("machine %d leads no more", current)
	}
	var leaving sync.WaitGroup
	for _, r := range old {
		leaving.Go(func() { s.leave(r, 6*time.Second) })
	}
	s.sleep(500 * time.Millisecond)
	if s.trouble {
		s.freeze(current)
	}
	leaving.Wait()
	clients.Wait()
	s.logf("streams by outcome (1: complete): %v", answered.counts)
	if answered.counts[1] < 10 {
		return s.notRun("only %d of %d streams were complete", answered.counts[1], number)
	}
	return s.verdict(joinedVersions, 2)
}

// leave has a runner leave: it says that it is gone, serves on for a while, and exits.
func (s *stage) leave(r *runner, serves time.Duration) {
	r.stopBeats()
	r.mu.Lock()
	r.seq++
	body, _ := json.Marshal(map[string]any{"seq": r.seq, "born": r.born}) // plain values
	r.mu.Unlock()
	for i := range len(s.Controls) {
		status := s.post(s.Controls[i], pathDeregister+r.id, body, time.Second)
		s.logf("runner %s says that it is gone; status %s", r.id, strconv.Itoa(status))
		if status/100 == 2 {
			break
		}
	}
	s.sleep(serves)
	r.crash()
}
