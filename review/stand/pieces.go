package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// madeFor is what a result was made for.
type madeFor struct {
	request string
	piece   int
}

// results are the results that the runners of stages keep, by handle.
type results struct {
	mu   sync.Mutex
	of   map[string]madeFor // all that were ever made
	kept map[string]bool    // that are still there
}

// stageTraits is how the runners of a stage work.
type stageTraits struct {
	call, item time.Duration
	queue      int
}

// runPieces answers the calls of a runner of a stage, one at a time.
func (k *results) runPieces(t stageTraits) func(*runner, net.Conn, *http.Request, []byte) []byte {
	slot := make(chan struct{}, 1)
	var waiting atomic.Int64
	return func(r *runner, _ net.Conn, request *http.Request, body []byte) []byte {
		header := map[string]string{"Content-Type": "application/json"}
		if request.URL.Path == pathFree {
			var call struct{ Handles []string }
			if json.Unmarshal(body, &call) != nil {
				return encodeAnswer(http.StatusBadRequest, header, nil)
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			for _, handle := range call.Handles {
				delete(k.kept, handle)
			}
			return encodeAnswer(http.StatusOK, nil, nil)
		}
		header[headerLoad] = fmt.Sprintf("1,%d,1", waiting.Load())
		if expected := request.Header.Get(headerExpected); expected != "" && expected != r.id {
			header[headerNotRun] = "1"
			return encodeAnswer(http.StatusMisdirectedRequest, header, nil)
		}
		var call struct {
			Items []struct {
				ID           string
				Stage, Piece int
			}
		}
		if json.Unmarshal(body, &call) != nil {
			return encodeAnswer(http.StatusBadRequest, header, nil)
		}
		if int(waiting.Add(1)) > 1+t.queue {
			waiting.Add(-1)
			header[headerNotRun] = "1"
			return encodeAnswer(http.StatusServiceUnavailable, header, nil)
		}
		slot <- struct{}{}
		time.Sleep(t.call + time.Duration(len(call.Items))*t.item)
		<-slot
		waiting.Add(-1)
		var out struct {
			Items []map[string]string `json:"items"`
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, item := range call.Items {
			handle := r.address + "/" + newID()
			k.of[handle], k.kept[handle] = madeFor{item.ID, item.Piece}, true
			out.Items = append(out.Items, map[string]string{"handle": handle})
			r.s.logf("runner %s makes piece %d of stage %d for %s: %s", r.id, item.Piece, item.Stage, item.ID, handle)
		}
		answer, _ := json.Marshal(out) // plain values
		return encodeAnswer(http.StatusOK, header, answer)
	}
}

const foreignInput = "MIXED a request is given the input of another request"

// runWithInputs answers the requests of a model runner, which fetches their inputs first.
func (k *results) runWithInputs(work time.Duration) func(*runner, net.Conn, *http.Request, []byte) []byte {
	return func(r *runner, _ net.Conn, request *http.Request, _ []byte) []byte {
		if refused := r.refusal(request); refused != nil {
			return refused
		}
		id, inputs := request.Header.Get(headerAttempt), request.Header.Get(headerInputs)
		k.mu.Lock()
		var gone bool
		var foreign []string
		for handle := range strings.SplitSeq(inputs, ",") {
			gone = gone || !k.kept[handle]
			if made := k.of[handle]; made.request != id {
				foreign = append(foreign, fmt.Sprintf("%s was made for %q", handle, made.request))
			}
		}
		k.mu.Unlock()
		header := map[string]string{headerAttempt: id, headerLoad: fmt.Sprintf("1,0,%d", r.slots)}
		if inputs == "" || gone {
			header[headerNotRun] = "1"
			return encodeAnswer(map[bool]int{true: http.StatusBadRequest, false: http.StatusConflict}[inputs == ""], header, nil)
		}
		r.s.logf("runner %s runs %s with the inputs %s", r.id, id, inputs)
		if foreign != nil {
			r.s.breaks(foreignInput, "runner %s runs %s, but %s", r.id, id, strings.Join(foreign, ", "))
		}
		time.Sleep(work)
		header["Content-Type"], header[headerSeal], header[headerWeights] = "text/event-stream", "seal."+id, "1"
		return encodeAnswer(http.StatusOK, header, []byte("id: 1\ndata: of "+id+"\n\nid: 2\ndata: end\n\n"))
	}
}

// Doses of the disruption: the largest of the site files for kind garble, how extra late.
const (
	garbleShare   = 0.6  // of the runners
	garbleAnswers = 0.03 // of their answers
	garbleTime    = 5 * time.Second
	garblePause   = 3 * time.Second
)

// playRepeatedAnswer: for some seconds, again and again, some runners of a stage send a
// second copy of a few of their answers late, where the next answer is expected.
func playRepeatedAnswer(s *stage) int {
	const runners = 48
	routes := []map[string]any{{
		"name": "r-brief", "host": "brief.example", keyPrefix: "/brief/", "kind": "streaming", keyTimeout: 20000, keyObjective: 6000, keyGapObjective: 400, "priority": 1,
		"service": "knus-llm", keyAttempts: 1, "public": false, "sticky": true, "resumable": false,
		"stages": []map[string]any{{"service": "plan-render", "after": []int{}, "bytes": 8000}},
	}}
	services := []map[string]any{
		{
			"name": "knus-llm", keyHealth: "/healthz", keyConns: 170, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, keyCapacity: 801857, "kvTokenBytes": 18432, "linkMbps": 180000.0, "models": []map[string]any{{"name": "m"}}},
		},
		{
			"name": "plan-render", keyHealth: "/healthz", keyConns: 170, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 1, "callMs": 1500.0, "itemMs": 100.0, keyRoom: 24.0, "handleS": 4.0, "linkMbps": 10000},
		},
	}
	k := &results{of: map[string]madeFor{}, kept: map[string]bool{}}
	var garbling atomic.Bool
	for i := range runners {
		r := &runner{
			id: "i-" + newID(), service: "plan-render", zone: zones[i%3], slots: 1,
			handle: k.runPieces(stageTraits{1500 * time.Millisecond, 100 * time.Millisecond, 2}),
		}
		if float64(i+1) <= garbleShare*runners {
			r.repeat = func() bool { return garbling.Load() && mathrand.Float64() < garbleAnswers }
		}
		if err := s.newRunner(r); err != nil {
			return s.notRun("a runner: %v", err)
		}
	}
	for i := range 3 {
		if err := s.newRunner(&runner{id: "i-" + newID(), service: "knus-llm", zone: zones[i], slots: 32, handle: k.runWithInputs(20 * time.Millisecond)}); err != nil {
			return s.notRun("a runner: %v", err)
		}
	}
	if !s.putConfig(newConfig(7, routes, services)) || !s.awaitReady() {
		return s.notRun("the system does not get ready")
	}
	s.sleep(2 * time.Second)
	const length = 70 * time.Second
	if s.trouble {
		go func() {
			for s.ctx.Err() == nil {
				s.sleep(garblePause)
				garbling.Store(true)
				s.logf("some runners repeat a few answers")
				s.sleep(garbleTime)
				garbling.Store(false)
				s.logf("no runner repeats answers")
			}
		}()
	}
	var clients sync.WaitGroup
	answered := &counter{}
	for i, until := 0, time.Now().Add(length); time.Now().Before(until); i++ {
		clients.Go(func() { answered.add(s.callWithPieces(s.Fronts[i%len(s.Fronts)])) })
		s.sleep(time.Duration(35+mathrand.IntN(30)) * time.Millisecond) // 20 a second; the stage makes 30
	}
	clients.Wait()
	s.logf("answers by status: %v", answered.counts)
	if answered.counts[http.StatusOK] < 100 {
		return s.notRun("only %d requests were served", answered.counts[http.StatusOK])
	}
	return s.verdict(foreignInput, 0)
}

// callWithPieces makes one client attempt for a route with a stage of one piece.
func (s *stage) callWithPieces(front string) int {
	const deadlineMs = 20000
	id := newID()
	ctx, cancel := context.WithTimeout(s.ctx, deadlineMs*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/brief/1", strings.NewReader("a brief of "+id))
	if err != nil {
		return 0
	}
	request.Host = "brief.example"
	setHeaders(request, id, deadlineMs)
	request.Header.Set(headerModel, "m")
	request.Header.Set(headerTokens, "660,42")
	request.Header.Set(headerPrompt, "5c1e07a2:198,"+id[:8]+":462")
	request.Header.Set(headerPieces, "1")
	request.Header.Set(headerPieceKey, "k-"+id)
	s.logf("client sends %s", id)
	res, err := s.http.Do(request)
	if err != nil {
		s.logf("client of %s: %v", id, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	s.logf("client of %s gets %d, %d bytes, error %v", id, res.StatusCode, len(text), err)
	return res.StatusCode
}
