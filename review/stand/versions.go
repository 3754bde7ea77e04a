package main

import (
	"bufio"
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents  = 24
	eventInterval = 200 * time.Millisecond
	// maxTries is how often a client tries, with its first attempt: clients "retry a few times".
	maxTries = 4
)

// runStream answers with a stream of so many events, each with the software version that
// wrote it, behind the one that the request names.
func runStream(events int) func(*runner, net.Conn, *http.Request, []byte) []byte {
	return func(r *runner, conn net.Conn, request *http.Request, _ []byte) []byte {
		return r.stream(conn, request, events)
	}
}

func (r *runner) stream(conn net.Conn, request *http.Request, events int) []byte {
	if refused := r.refusal(request); refused != nil {
		return refused
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	id := request.Header.Get(headerAttempt)
	next := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	r.s.logf("runner %s (%s) runs %s from event %d", r.id, version, id, next)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\n%s: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, id, headerSeal, id, headerWeights)
	if _, err := conn.Write([]byte(head)); err != nil {
		return nil
	}
	for ; next <= events; next++ {
		time.Sleep(eventInterval)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", next, version)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return nil
		}
	}
	_, _ = conn.Write([]byte("0\r\n\r\n")) // the caller may have gone
	return nil
}

const joinedVersions = "ORDER a stream holds events of two software versions of a service"

// playNewVersion: of six runners of a service one still has the old software version. It
// crashes and starts again a little later, under its id, with the new version.
func playNewVersion(s *stage) int {
	routes := []map[string]any{{
		"name": "r-quote", "host": "quote.example", keyPrefix: "/quote/", "kind": "streaming", keyTimeout: 12000, keyObjective: 1100, keyGapObjective: 300, "priority": 1,
		"service": "knus-llm", keyAttempts: 2, "public": false, "sticky": true, "resumable": true,
	}}
	services := []map[string]any{{
		"name": "knus-llm", keyHealth: "/healthz", keyConns: 170, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 32, keyCapacity: 801857, "kvTokenBytes": 18432, "linkMbps": 180000.0, "models": []map[string]any{{"name": "m"}}},
	}}
	var old *runner
	for i := range 6 {
		r := &runner{id: "i-" + newID(), service: "knus-llm", zone: zones[i%3], slots: 32, version: "v2", handle: runStream(streamEvents)}
		if i == 0 {
			r.version, old = "v1", r
		}
		if err := s.newRunner(r); err != nil {
			return s.notRun("a runner: %v", err)
		}
	}
	if !s.putConfig(newConfig(7, routes, services)) || !s.awaitReady() {
		return s.notRun("the system does not get ready")
	}
	s.sleep(3 * time.Second)
	var clients sync.WaitGroup
	answered := &counter{}
	const streams = 240
	for i := range streams {
		clients.Go(func() { answered.add(s.readStream(i, streamEvents, 12*time.Second)) })
		s.sleep(25 * time.Millisecond)
		if i == 160 && s.trouble {
			go func() {
				old.crash()
				s.sleep(700 * time.Millisecond)
				old.mu.Lock()
				old.version = "v2"
				old.mu.Unlock()
				if err := old.start(0); err != nil {
					s.logf("the runner does not start again: %v", err)
				}
			}()
		}
	}
	clients.Wait()
	s.logf("streams by outcome (1: complete): %v", answered.counts)
	if answered.counts[1] < streams/2 {
		return s.notRun("only %d of %d streams were complete", answered.counts[1], streams)
	}
	return s.verdict(joinedVersions, 2)
}

// readStream reads a stream as a client does, which takes it up again where it broke off.
// It returns 1 if the stream was complete, else 0.
func (s *stage) readStream(number, events int, deadline time.Duration) int {
	until := time.Now().Add(deadline)
	session := newID()
	last, begunBy := 0, ""
	versions := map[string]int{}
	defer func() {
		if len(versions) > 1 {
			s.breaks(joinedVersions, "stream %d, begun by attempt %s, holds events of %v", number, begunBy, versions)
		}
	}()
	for try := range maxTries {
		left := time.Until(until)
		if left <= 0 {
			break
		}
		id := newID()
		complete, wait := s.readOnce(s.Fronts[(number+try)%len(s.Fronts)], id, session, left, events, &last, &begunBy, versions)
		if complete {
			return 1
		}
		if wait == 0 {
			wait = 100*time.Millisecond + time.Duration(mathrand.IntN(200))*time.Millisecond
		}
		s.sleep(min(wait, time.Until(until)/3))
	}
	s.logf("stream %d is not complete", number)
	return 0
}

// readOnce makes one client attempt. It returns whether the stream was complete, and how
// long to wait before the next attempt, 0 if that wasn't said.
func (s *stage) readOnce(front, id, session string, left time.Duration, events int, last *int, begunBy *string, versions map[string]int) (complete bool, wait time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/quote/1", strings.NewReader("a quote for "+session))
	if err != nil {
		return false, 0
	}
	request.Host = "quote.example"
	setHeaders(request, id, int(left.Milliseconds()))
	request.Header.Set(headerModel, "m")
	request.Header.Set(headerTokens, "660,42")
	request.Header.Set(headerPrompt, session[:8]+":462")
	if *last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(*last))
		request.Header.Set("Resumes", *begunBy)
	}
	s.logf("client sends %s of session %s, after event %d begun by %q", id, session, *last, *begunBy)
	res, err := s.http.Do(request)
	if err != nil {
		s.logf("client of %s: %v", id, err)
		return false, 0
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // missing: 0
		s.logf("client of %s gets %d, Retry-After %v", id, res.StatusCode, seconds)
		return false, time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(res.Body)
	event := 0
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			event, _ = strconv.Atoi(value) // the runners of this case send numbers
		case "data":
			if event != *last+1 {
				s.logf("client of %s gets event %d after %d", id, event, *last)
			}
			if *last == 0 {
				*begunBy = id
			}
			*last = event
			versions[value]++
		}
	}
	s.logf("client of %s: the answer ends after event %d, error %v", id, *last, lines.Err())
	return lines.Err() == nil && *last == events, 0
}
