package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is one start of a runner.
type runner struct {
	w       *world
	id      string
	address string
	zone    string
	service string
	born    int64 // Unix time of its start in milliseconds, by its own clock
	work    time.Duration
	version string // of its software; empty: v1
	events  int    // of a stream; 0: it answers bookings and lookups
	onRun   func(attempt string, at time.Time)

	mu      sync.Mutex
	leaving bool // it says so in its answers
	seq     int
	server  *http.Server
}

// leave makes the runner say in its answers that it leaves.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// start listens and answers requests.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	r.w.say("runner %s starts at %s, born %d", r.id, r.address, r.born)
	return nil
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	names := r.w.names
	attempt := q.Header.Get(names["attempt"])
	w.Header().Set(names["instance"], r.id)
	w.Header().Set(names["attempt"], attempt)
	r.mu.Lock()
	if r.leaving {
		w.Header().Set(names["leaving"], "1")
	}
	r.mu.Unlock()
	if q.URL.Path == "/healthz" {
		return
	}
	if expected := q.Header.Get(names["expect"]); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.w.say("runner %s runs %s", r.id, attempt)
	if r.onRun != nil {
		r.onRun(attempt, time.Now())
	}
	w.Header().Set(names["seal"], "3e1b.07.5a2."+attempt)
	if r.events > 0 {
		r.stream(w, q)
		return
	}
	time.Sleep(r.work)
	_, _ = fmt.Fprintf(w, "done %s", attempt)
}

// stream sends the events of a stream behind the last one that the caller has.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get(r.w.names["last"])) // 0: the stream begins
	for id := last + 1; id <= r.events; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, cmp.Or(r.version, "v1")); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.work):
		}
	}
}

// crash ends the runner at once: its connections are reset or closed.
func (r *runner) crash() {
	_ = r.server.Close()
	r.w.say("runner %s at %s ends", r.id, r.address)
}

// beat sends one heartbeat to the control instances in turn, and reports whether one of them
// acknowledged it.
func (r *runner) beat(state string) bool {
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.mu.Unlock()
	body, err := r.w.fill("beat.txt", "service", r.service, "address", r.address, "zone", r.zone, "state", state, "version", cmp.Or(r.version, "v1"),
		"seq", strconv.Itoa(seq), "born", strconv.FormatInt(r.born, 10))
	if err != nil {
		return false
	}
	for _, n := range r.w.core {
		if status, _ := r.w.call(http.MethodPost, "http://"+r.w.control(n)+r.w.names["beat"]+r.id, body); status/100 == 2 {
			return true
		}
	}
	return false
}

// announce sends heartbeats until ctx ends.
func (r *runner) announce(ctx context.Context, state func() string) {
	for ctx.Err() == nil {
		r.beat(state())
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// heartbeat is the time between two heartbeats, as the settings of the deployments say.
const heartbeat = 1200 * time.Millisecond
