// Package standin implements the stand-in, a small fake backend server for tests
// and the demo. It acts as a model engine, with streams that can be resumed and
// cancelled, or as a service. Its answers are a function of the configuration and
// the input, so that tests can check them, and it counts how often each request
// ran. It is not a simulator: it runs in real time, and its only faults are those
// that a test requests.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/io/backend"
)

// Faults, requested by an input that contains one of these words.
const (
	FaultCrash = "fault:crash" // the server crashes with all running calls, and restarts
	FaultFail  = "fault:fail"  // answer with status 500
	FaultClose = "fault:close" // count the call as run, then close its connection without an answer; services only
	FaultHang  = "fault:hang"  // never answer
	FaultBreak = "fault:break" // close the connection once, halfway through the stream; model engines only
	FaultSlow  = "fault:slow"  // take slowFactor times as long
	// FaultMidway crashes a model engine halfway through the stream, and a service right
	// behind its answer.
	FaultMidway = "fault:midway"
)

// Timing of a stand-in.
const (
	announceInterval = 500 * time.Millisecond
	restartDelay     = 300 * time.Millisecond // from a crash to the restart, and between attempts to listen again
	slowFactor       = 10
	midwayDelay      = 100 * time.Millisecond
)

// Server is one fake backend server. It announces itself to its sidecar.
type Server struct {
	config     settings.StandInServer
	ctx        context.Context
	goroutines sync.WaitGroup

	mu         sync.Mutex   // guards the fields below
	httpServer *http.Server // nil after a crash, until the restart
	generation int          // incremented by every restart
	leaving    bool
	runCounts  map[string]int     // by runKey
	streams    map[string]*stream // by execution ID, stage and attempt, joined by slashes
	running    int                // calls in progress
	maxRunning int                // highest value of running
	crashCount int
	arrivals   []time.Time // of all calls
}

// stream is a model engine's answer to one attempt. It outlives its connection, so
// that it can be resumed on another.
type stream struct {
	answer        []byte
	start         time.Time
	tokenInterval time.Duration // time per token
	cancel        context.CancelFunc
	ctx           context.Context
}

// New starts a stand-in. The returned function stops it. A capacity of 0 in the
// configuration means 4 concurrent calls.
func New(config settings.StandInServer) (*Server, func(), error) {
	if config.Capacity == 0 {
		config.Capacity = 4
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{config: config, ctx: ctx, generation: 1, runCounts: map[string]int{}, streams: map[string]*stream{}}
	if err := s.start(); err != nil {
		cancel()
		return nil, nil, err
	}
	s.goroutines.Go(s.announce)
	return s, func() {
		cancel()
		s.goroutines.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.httpServer != nil {
			_ = s.httpServer.Close()
		}
	}, nil
}

// start listens on the configured address and serves until the HTTP server is
// closed. It is called again after a crash.
func (s *Server) start() error {
	listener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathRun, s.run)
	mux.HandleFunc("POST "+backend.PathGenerate, s.generate)
	mux.HandleFunc("GET "+backend.PathStreams, s.resume)
	mux.HandleFunc("DELETE "+backend.PathStreams, s.cancel)
	mux.HandleFunc("GET "+backend.PathLive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /runs", s.serveRunCounts)
	server := &http.Server{Handler: s.nameLimit(mux), ReadHeaderTimeout: 5 * time.Second}
	s.mu.Lock()
	s.httpServer = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return nil
}

// nameLimit returns a handler that adds the limit in the settings to all answers.
func (s *Server) nameLimit(next http.Handler) http.Handler {
	if s.config.Limit == 0 {
		return next
	}
	text := strconv.FormatFloat(s.config.Limit, 'f', -1, 64)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderLimit, text)
		next.ServeHTTP(w, r)
	})
}

// announce sends an announcement to the sidecar at regular intervals until the
// stand-in is stopped.
func (s *Server) announce() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announceOnce()
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announceOnce sends one announcement unless the server has crashed. Errors are
// ignored, since the next announcement follows soon.
func (s *Server) announceOnce() {
	s.mu.Lock()
	a := backend.Announcement{
		Pool: s.config.Pool, Kind: s.config.Kind, Models: s.config.Models, Capacity: s.config.Capacity,
		Address: s.config.Address, Generation: s.generation, State: "serving",
	}
	if s.leaving {
		a.State = "leaving"
	}
	listening := s.httpServer != nil
	s.mu.Unlock()
	if !listening {
		return
	}
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.config.Announce+backend.PathAnnounce, bytes.NewReader(data))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// Leave announces that the server is leaving, now and in all later announcements.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announceOnce()
}

// RunCount returns how often a stage of a request was called here.
func (s *Server) RunCount(request string, stage int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[runKey(request, strconv.Itoa(stage))]
}

// RunCounts returns how often each stage of each request was called here. The keys are
// "REQUEST/STAGE".
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runCounts))
	for key, n := range s.runCounts {
		out[key] = n
	}
	return out
}

// Pool returns the pool that the server belongs to.
func (s *Server) Pool() string { return s.config.Pool }

// Arrivals returns the times at which calls arrived.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

// CrashCount returns how often the server crashed.
func (s *Server) CrashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashCount
}

func runKey(request, stage string) string { return request + "/" + stage }

func (s *Server) serveRunCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.RunCounts()) // fails only if the client has disconnected
}

// countRun counts a call as run and in progress. The caller calls done when the call
// ends.
func (s *Server) countRun(r *http.Request) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[runKey(r.Header.Get(backend.HeaderRequest), r.Header.Get(backend.HeaderStage))]++
	s.arrivals = append(s.arrivals, time.Now())
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}
}

// run serves a call of a service.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer s.countRun(r)()
	duration := s.config.Time.Std()
	switch {
	case contains(input, FaultCrash):
		s.Crash()
		return
	case contains(input, FaultClose):
		s.closeConn(w)
		return
	case contains(input, FaultFail):
		http.Error(w, "asked to fail", http.StatusInternalServerError)
		return
	case contains(input, FaultHang):
		<-r.Context().Done()
		return
	case contains(input, FaultSlow):
		duration *= slowFactor
	}
	if !sleep(r.Context(), duration) {
		return
	}
	answer := Answer(s.config, input)
	w.Header().Set(backend.HeaderDigest, strconv.FormatUint(xxhash.Sum64(answer), 16))
	_, _ = w.Write(answer) // fails only if the sidecar has disconnected
	if contains(input, FaultMidway) {
		s.goroutines.Go(func() {
			if sleep(s.ctx, midwayDelay) {
				s.Crash()
			}
		})
	}
}

// contains reports whether an input requests a fault.
func contains(input []byte, fault string) bool { return bytes.Contains(input, []byte(fault)) }

// sleep waits for the given time; it returns false if the context is done earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// closeConn closes the call's connection without finishing the answer.
func (s *Server) closeConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Crash closes the listener, all connections and all streams at once, as the death
// of a process would. The server restarts after restartDelay with the next
// generation.
func (s *Server) Crash() {
	s.mu.Lock()
	crashed := s.httpServer
	s.httpServer = nil
	s.crashCount++
	for _, st := range s.streams {
		st.cancel()
	}
	clear(s.streams)
	s.mu.Unlock()
	if crashed == nil {
		return
	}
	_ = crashed.Close()
	s.goroutines.Go(func() {
		if !sleep(s.ctx, restartDelay) {
			return
		}
		s.mu.Lock()
		s.generation++
		s.mu.Unlock()
		for s.ctx.Err() == nil && s.start() != nil {
			sleep(s.ctx, restartDelay)
		}
	})
}

// Answer returns the result of a stand-in with this configuration for an input.
func Answer(config settings.StandInServer, input []byte) []byte {
	if config.Kind == table.ModelEngine {
		return bytes.Join(tokens(config.Tokens, input), nil)
	}
	return fmt.Appendf(nil, "%s<%x:%s>", config.Pool, xxhash.Sum64(input), input)
}

// tokens returns the n tokens of a model engine's answer. They depend only on the
// input.
func tokens(n int, input []byte) [][]byte {
	digest := xxhash.Sum64(input)
	out := make([][]byte, n)
	for i := range out {
		out[i] = fmt.Appendf(nil, "t%d-%04x ", i, (digest>>(i%48))&0xffff)
	}
	return out
}

// generate serves a call of a model engine.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer s.countRun(r)()
	switch {
	case contains(input, FaultCrash):
		s.Crash()
		return
	case contains(input, FaultFail):
		http.Error(w, "asked to fail", http.StatusInternalServerError)
		return
	case contains(input, FaultHang):
		<-r.Context().Done()
		return
	}
	st := s.newStream(r, input)
	var atHalf func()
	switch {
	case contains(input, FaultBreak):
		atHalf = func() { s.closeConn(w) }
	case contains(input, FaultMidway):
		atHalf = s.Crash
	}
	s.writeEvents(r.Context(), w, st, 0, atHalf)
}

// newStream registers a stream for the attempt named by the request's headers.
func (s *Server) newStream(r *http.Request, input []byte) *stream {
	ctx, cancel := context.WithCancel(s.ctx)
	tokenInterval := s.config.Time.Std() / time.Duration(max(1, s.config.Tokens))
	if contains(input, FaultSlow) {
		tokenInterval *= slowFactor
	}
	st := &stream{answer: Answer(s.config, input), start: time.Now(), tokenInterval: tokenInterval, ctx: ctx, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(backend.HeaderExecution) + "/" + r.Header.Get(backend.HeaderStage) + "/" + r.Header.Get(backend.HeaderAttempt)
	s.streams[key] = st
	return st
}

// writeEvents sends the stream's events from a byte offset on, one token per
// tokenInterval since the stream's start, and then the end event. Unless atHalf is nil it
// calls that halfway instead.
func (s *Server) writeEvents(ctx context.Context, w http.ResponseWriter, st *stream, from int, atHalf func()) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	words := strings.SplitAfter(string(st.answer), " ")
	offset := 0
	for i, word := range words {
		if word == "" {
			continue
		}
		if atHalf != nil && i == len(words)/2 {
			atHalf()
			return
		}
		if !sleepUntil(ctx, st.ctx, st.start.Add(time.Duration(i+1)*st.tokenInterval)) {
			return
		}
		if offset >= from {
			data, _ := json.Marshal(word) // a string always marshals
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
			_ = controller.Flush()
		}
		offset += len(word)
	}
	end, _ := json.Marshal(backend.StreamEnd{Length: uint64(len(st.answer)), Digest: strconv.FormatUint(xxhash.Sum64(st.answer), 16)})
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", end)
}

// sleepUntil waits until t; it returns false if a context is done earlier.
func sleepUntil(a, b context.Context, t time.Time) bool {
	remaining := time.Until(t)
	if remaining <= 0 {
		return a.Err() == nil && b.Err() == nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-a.Done():
		return false
	case <-b.Done():
		return false
	case <-timer.C:
		return true
	}
}

// resume serves the rest of an existing stream from a byte offset.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	st := s.streams[r.URL.Query().Get("attempt")]
	s.mu.Unlock()
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if st == nil || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.writeEvents(r.Context(), w, st, from, nil)
}

// cancel stops and removes a stream; it also succeeds if there is none.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.URL.Query().Get("attempt")
	if st := s.streams[key]; st != nil {
		st.cancel()
		delete(s.streams, key)
	}
	w.WriteHeader(http.StatusNoContent)
}
