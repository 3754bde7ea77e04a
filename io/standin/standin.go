// Package standin is a small fake backend server for tests and the demo: a
// model engine with streams that can be resumed and cancelled, or a plain
// service. Its answers follow from their input alone, so that anyone can check
// them, and it counts how often each request ran. It is not a simulator: time
// is the machine's, and its faults are the ones that a test asks for.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad/core/settings"
	"tanagerroad/core/table"
	"tanagerroad/io/backend"
)

// Faults that a call's input asks for by holding one of these words.
const (
	FaultCrash = "fault:crash" // the server dies with all that runs, and comes back
	FaultFail  = "fault:fail"  // status 500
	FaultClose = "fault:close" // counts the call as run and closes the connection
	FaultHang  = "fault:hang"  // never answers
	FaultBreak = "fault:break" // a stream breaks once, in the middle
	FaultSlow  = "fault:slow"  // takes ten times its time
)

// Times of a stand-in.
const (
	announceEvery = 500 * time.Millisecond
	downFor       = 300 * time.Millisecond // after a crash
	slowFactor    = 10
)

// Server is one fake backend server.
type Server struct {
	config settings.StandInServer
	ctx    context.Context
	group  sync.WaitGroup

	mu         sync.Mutex
	http       *http.Server
	generation int
	leaving    bool
	runs       map[string]int // by request id and stage
	streams    map[string]*stream
	running    int
	most       int // most that ran at once
	crashes    int
}

// stream is a model engine's answer to one attempt.
type stream struct {
	answer []byte
	start  time.Time
	pace   time.Duration // for each token
	cancel context.CancelFunc
	ctx    context.Context
}

// New starts a stand-in. The returned function stops it.
func New(config settings.StandInServer) (*Server, func(), error) {
	if config.Capacity == 0 {
		config.Capacity = 4
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{config: config, ctx: ctx, generation: 1, runs: map[string]int{}, streams: map[string]*stream{}}
	if err := s.listen(); err != nil {
		cancel()
		return nil, nil, err
	}
	s.group.Go(s.announce)
	return s, func() {
		cancel()
		s.group.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.http != nil {
			_ = s.http.Close()
		}
	}, nil
}

func (s *Server) listen() error {
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
	mux.HandleFunc("GET /runs", s.showRuns)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns when closed
	return nil
}

// announce tells the sidecar, again and again, what this server is.
func (s *Server) announce() {
	ticker := time.NewTicker(announceEvery)
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

func (s *Server) announceOnce() {
	s.mu.Lock()
	a := backend.Announcement{
		Pool: s.config.Pool, Kind: s.config.Kind, Models: s.config.Models, Capacity: s.config.Capacity,
		Address: s.config.Address, Generation: s.generation, State: "serving",
	}
	if s.leaving {
		a.State = "leaving"
	}
	up := s.http != nil
	s.mu.Unlock()
	if !up {
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

// Leave announces that the server is leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.announceOnce()
}

// Runs is how often a stage of a request ran here.
func (s *Server) Runs(request string, stage int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[runKey(request, strconv.Itoa(stage))]
}

// AllRuns is how often each request and stage ran here.
func (s *Server) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Crashes is how often the server died.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func runKey(request, stage string) string { return request + "/" + stage }

func (s *Server) showRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.AllRuns()) // the caller may be gone
}

// begin counts a call in. Done counts it out.
func (s *Server) begin(r *http.Request) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[runKey(r.Header.Get(backend.HeaderRequest), r.Header.Get(backend.HeaderStage))]++
	s.running++
	s.most = max(s.most, s.running)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer s.begin(r)()
	pause := s.config.Time.Std()
	switch {
	case holds(input, FaultCrash):
		s.Crash()
		return
	case holds(input, FaultClose):
		s.sever(w)
		return
	case holds(input, FaultFail):
		http.Error(w, "asked to fail", http.StatusInternalServerError)
		return
	case holds(input, FaultHang):
		<-r.Context().Done()
		return
	case holds(input, FaultSlow):
		pause *= slowFactor
	}
	if !sleep(r.Context(), pause) {
		return
	}
	answer := Answer(s.config, input)
	w.Header().Set(backend.HeaderDigest, strconv.FormatUint(xxhash.Sum64(answer), 16))
	_, _ = w.Write(answer) // the sidecar may be gone
}

func holds(input []byte, fault string) bool { return bytes.Contains(input, []byte(fault)) }

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

// sever closes the call's connection without an answer.
func (s *Server) sever(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Crash ends all connections at once, as a process's death would, and comes
// back a moment later under a new generation.
func (s *Server) Crash() {
	s.mu.Lock()
	dying := s.http
	s.http = nil
	s.crashes++
	for _, st := range s.streams {
		st.cancel()
	}
	clear(s.streams)
	s.mu.Unlock()
	if dying == nil {
		return
	}
	_ = dying.Close()
	s.group.Go(func() {
		if !sleep(s.ctx, downFor) {
			return
		}
		s.mu.Lock()
		s.generation++
		s.mu.Unlock()
		for s.ctx.Err() == nil && s.listen() != nil {
			sleep(s.ctx, downFor)
		}
	})
}

// Answer is what a stand-in answers to an input.
func Answer(config settings.StandInServer, input []byte) []byte {
	if config.Kind == table.ModelEngine {
		return bytes.Join(tokens(config.Tokens, input), nil)
	}
	return fmt.Appendf(nil, "%s<%x:%s>", config.Pool, xxhash.Sum64(input), input)
}

// tokens is a model engine's answer, token by token.
func tokens(n int, input []byte) [][]byte {
	digest := xxhash.Sum64(input)
	out := make([][]byte, n)
	for i := range out {
		out[i] = fmt.Appendf(nil, "t%d-%04x ", i, (digest>>(i%48))&0xffff)
	}
	return out
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	defer s.begin(r)()
	switch {
	case holds(input, FaultCrash):
		s.Crash()
		return
	case holds(input, FaultFail):
		http.Error(w, "asked to fail", http.StatusInternalServerError)
		return
	case holds(input, FaultHang):
		<-r.Context().Done()
		return
	}
	st := s.newStream(r, input)
	s.write(r.Context(), w, st, 0, holds(input, FaultBreak))
}

func (s *Server) newStream(r *http.Request, input []byte) *stream {
	ctx, cancel := context.WithCancel(s.ctx)
	pace := s.config.Time.Std() / time.Duration(max(1, s.config.Tokens))
	if holds(input, FaultSlow) {
		pace *= slowFactor
	}
	st := &stream{answer: Answer(s.config, input), start: time.Now(), pace: pace, ctx: ctx, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(backend.HeaderExecution) + "/" + r.Header.Get(backend.HeaderStage) + "/" + r.Header.Get(backend.HeaderAttempt)
	s.streams[key] = st
	return st
}

// write sends the stream's events from an offset on, at the engine's pace.
func (s *Server) write(ctx context.Context, w http.ResponseWriter, st *stream, from int, breaks bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	pieces := strings.SplitAfter(string(st.answer), " ")
	offset := 0
	for i, piece := range pieces {
		if piece == "" {
			continue
		}
		if breaks && i == len(pieces)/2 {
			s.sever(w)
			return
		}
		if !sleepUntil(ctx, st.ctx, st.start.Add(time.Duration(i+1)*st.pace)) {
			return
		}
		if offset >= from {
			data, _ := json.Marshal(piece) // a string always marshals
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
			_ = flusher.Flush()
		}
		offset += len(piece)
	}
	end, _ := json.Marshal(backend.StreamEnd{Length: uint64(len(st.answer)), Digest: strconv.FormatUint(xxhash.Sum64(st.answer), 16)})
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", end)
}

func sleepUntil(a, b context.Context, t time.Time) bool {
	left := time.Until(t)
	if left <= 0 {
		return a.Err() == nil && b.Err() == nil
	}
	timer := time.NewTimer(left)
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

func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	st := s.streams[r.URL.Query().Get("attempt")]
	s.mu.Unlock()
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if st == nil || err != nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.write(r.Context(), w, st, from, false)
}

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
