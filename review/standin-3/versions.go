package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents  = 40
	streamGap     = 100 * time.Millisecond
	streamTime    = 12 * time.Second // that a caller waits
	streamsPerSec = 60
	modelServers  = 10
	cutServers    = 2 // of them: a share of 0.2
	cutTime       = 5 * time.Second
	crashDown     = 300 * time.Millisecond  // that a server is down
	firstCrash    = 200 * time.Millisecond  // after the cut begins
	secondCrash   = 2800 * time.Millisecond // after the first one has started again
	rounds        = 3
	roundPause    = 8 * time.Second
	maxMixed      = 2 // streams with events of two versions that the rule allows
)

// streamResult is what a caller has seen of one stream, over its tries.
type streamResult struct {
	id       string
	events   []string // "id version server", in the order in which they came
	tries    int
	complete bool
}

// versions returns the versions that wrote the events.
func (s *streamResult) versions() []string {
	var out []string
	for _, e := range s.events {
		if v := strings.Fields(e)[1]; !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

// callStream sends a request on a stream route, and takes the stream up once at another gateway if it
// breaks off.
func (b *bench) callStream(n int) *streamResult {
	s := &streamResult{id: fmt.Sprintf("%08x", n)}
	deadline := time.Now().Add(streamTime)
	for try := range 2 {
		s.tries++
		if b.tryStream(s, n, try, deadline) {
			s.complete = true
			break
		}
	}
	return s
}

// tryStream makes one client attempt, and reports whether the caller is done.
func (b *bench) tryStream(s *streamResult, n, try int, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.front[(n+try)%len(b.front)]+"/chat/1", nil)
	if err != nil {
		return false
	}
	id := s.id
	if try > 0 {
		id = fmt.Sprintf("%s%02x", s.id, try)
	}
	req.Host = "chat.example"
	req.Close = true
	req.Header.Set(b.names["attempt"], id)
	req.Header.Set(b.names["credential"], "k1")
	req.Header.Set(b.names["deadline"], strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	req.Header.Set(b.names["model"], "m")
	req.Header.Set(b.names["tokens"], "100,100")
	req.Header.Set(b.names["prefix"], fmt.Sprintf("a1:60,%s:40", s.id))
	if len(s.events) > 0 {
		last := strings.Fields(s.events[len(s.events)-1])[0]
		req.Header.Set(b.names["resumes"], s.id)
		req.Header.Set(b.names["last"], last)
		b.note("stream %s broke off after event %s and is taken up by attempt %s", s.id, last, id)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		if after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			time.Sleep(time.Duration(after * float64(time.Second)))
		}
		return false
	}
	event := ""
	scanner := bufio.NewScanner(res.Body)
	for scanner.Scan() {
		if number, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			event = number
		} else if text, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			s.events = append(s.events, event+" "+text)
		}
	}
	return scanner.Err() == nil
}

// playVersions cuts backend servers off from the control instances. They crash behind the cut and start
// again under their ids, with another version of their software. It counts the streams that hold events
// of two versions.
func (b *bench) playVersions() int {
	if !waitFor(15*time.Second, func() bool { return b.post(0, b.names["replace"], b.names["streams"]) }) {
		b.note("the configuration was not accepted")
		return unable
	}
	var servers []*runner
	for i := range modelServers {
		r := &runner{b: b, id: fmt.Sprintf("i-model-%d", i+1), pool: "model", zone: b.zones[i%len(b.zones)], slots: 64}
		r.answer = r.stream(streamEvents, streamGap)
		if err := r.start("v1"); err != nil {
			return unable
		}
		servers = append(servers, r)
	}
	if !waitFor(15*time.Second, b.isReady) {
		b.note("the gateways are not ready")
		return unable
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var results []*streamResult
	var group sync.WaitGroup
	var stop atomic.Bool
	group.Go(func() {
		for n := 1; !stop.Load(); n++ {
			group.Go(func() {
				s := b.callStream(n)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, s)
			})
			time.Sleep(time.Second / streamsPerSec)
		}
	})
	time.Sleep(4 * time.Second)
	for round := range rounds {
		chosen := servers[cutServers*round : cutServers*(round+1)]
		if b.trouble {
			for _, r := range chosen {
				r.cut(cutTime)
			}
		}
		for i, r := range chosen {
			time.Sleep([]time.Duration{firstCrash, secondCrash}[i])
			if !b.trouble {
				continue
			}
			r.crash()
			time.Sleep(crashDown)
			if err := r.start("v2"); err != nil {
				b.note("%s cannot start again: %v", r.id, err)
				return unable
			}
		}
		time.Sleep(roundPause)
	}
	stop.Store(true)
	group.Wait()
	mixed, complete, takenUp := 0, 0, 0
	for _, s := range results {
		if s.complete {
			complete++
		}
		if s.tries > 1 {
			takenUp++
		}
		if versions := s.versions(); len(versions) > 1 {
			mixed++
			b.note("stream %s holds events of the versions %s, in %d tries: %s", s.id, strings.Join(versions, " and "), s.tries, strings.Join(s.events, ", "))
		}
	}
	b.note("%d streams, %d complete, %d with a second try; %d hold events of two versions, where %d are allowed", len(results), complete, takenUp, mixed, maxMixed)
	fmt.Printf("%d streams, %d complete, %d with a second try; %d hold events of two versions, where %d are allowed\n", len(results), complete, takenUp, mixed, maxMixed)
	switch {
	case complete*2 < len(results):
		return unable
	case mixed > maxMixed:
		return broken
	}
	return held
}
