package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playOddHeartbeat: another writer sends one heartbeat, without several of its fields, that
// bears the id and the address of a sound runner and names another service.
func playOddHeartbeat(s *stage) int {
	const foreignRun = "ROUTE run by a service to which no configuration allows it"
	routes := []map[string]any{
		{"name": "r-book", "host": "desk.example", keyPrefix: "/book/", "kind": "non_idempotent", keyTimeout: 2000, keyObjective: 200, "priority": 1, "service": "hire-desk", keyAttempts: 1, "public": false, "sticky": false, "resumable": false},
		{"name": "r-log", "host": "depot.example", keyPrefix: "/log/", "kind": "idempotent", keyTimeout: 2000, keyObjective: 200, "priority": 1, "service": "yard-log", keyAttempts: 2, "public": false, "sticky": false, "resumable": false},
	}
	services := []map[string]any{
		{"name": "hire-desk", keyHealth: "/healthz", keyConns: 56, "protocol": "h1", "tls": false},
		{"name": "yard-log", keyHealth: "/healthz", keyConns: 56, "protocol": "h1", "tls": false},
	}
	ran := func(r *runner, request *http.Request) {
		if want := map[string]string{"desk.example": "hire-desk", "depot.example": "yard-log"}[request.Host]; want != r.service {
			s.breaks(foreignRun, "runner %s of %s runs %s %s%s, a request of %s", r.id, r.service, request.Method, request.Host, request.URL.Path, want)
		}
	}
	var logRunners []*runner
	for i, service := range []string{"hire-desk", "hire-desk", "hire-desk", "yard-log", "yard-log", "yard-log"} {
		r := &runner{id: "i-" + newID(), service: service, zone: zones[i%3], slots: 6, handle: answerRun(30*time.Millisecond, ran)}
		if err := s.newRunner(r); err != nil {
			return s.notRun("a runner: %v", err)
		}
		if service == "yard-log" {
			logRunners = append(logRunners, r)
		}
	}
	if !s.putConfig(newConfig(7, routes, services)) || !s.awaitReady() {
		return s.notRun("the system does not get ready")
	}
	s.sleep(2 * time.Second)
	if s.trouble {
		victim := logRunners[0]
		body, _ := json.Marshal(map[string]any{ // plain values
			"service": "hire-desk", "address": victim.address, "zone": victim.zone, "state": "ready", "seq": 1000000,
		})
		go func() {
			s.sleep(8 * time.Second)
			status := s.post(s.Controls[0], pathHeartbeat+victim.id, body, time.Second)
			s.logf("another writer sends a heartbeat of %s: %s; status %d", victim.id, body, status)
		}()
	}
	var clients sync.WaitGroup
	answered := &counter{}
	for i := range 400 { // 20 a second
		clients.Go(func() {
			method, host, path, body := http.MethodPost, "desk.example", "/book/1", "two crushers"
			if i%4 == 3 {
				method, host, path, body = http.MethodGet, "depot.example", "/log/1", ""
			}
			answered.add(s.call(s.Fronts[i%len(s.Fronts)], method, host, path, body, 2000))
		})
		s.sleep(50 * time.Millisecond)
	}
	clients.Wait()
	s.logf("answers by status: %v", answered.counts)
	if answered.counts[http.StatusOK] < 100 {
		return s.notRun("only %d of 400 requests were served", answered.counts[http.StatusOK])
	}
	return s.verdict(foreignRun, 0)
}

// counter counts answers by their status.
type counter struct {
	mu     sync.Mutex
	counts map[int]int
}

func (c *counter) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[int]int{}
	}
	c.counts[status]++
}

// call makes one client attempt, without retries, and returns the status, 0 if there was none.
func (s *stage) call(front, method, host, path, body string, deadlineMs int) int {
	id := newID()
	ctx, cancel := context.WithTimeout(s.ctx, time.Duration(deadlineMs)*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	if body == "" {
		request.Body, request.ContentLength = nil, 0
	}
	request.Host = host
	setHeaders(request, id, deadlineMs)
	s.logf("client sends %s: %s %s%s", id, method, host, path)
	res, err := s.http.Do(request)
	if err != nil {
		s.logf("client of %s: %v", id, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(res.Body)
	s.logf("client of %s gets %d, seal %q, %q, error %v", id, res.StatusCode, res.Header.Get(headerSeal), text.String(), err)
	return res.StatusCode
}
