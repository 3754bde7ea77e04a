package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is heartbeatMs of the users' deployments.
const heartbeatInterval = 1200 * time.Millisecond

// runner is a backend server. It serves one request at a time on a connection.
type runner struct {
	s             *stage
	id            string
	service, zone string
	address       string
	slots         int
	// handle answers a request whose head and body are whole. It returns the whole answer,
	// or nil if it has written the answer itself and the connection ends.
	handle func(r *runner, conn net.Conn, request *http.Request, body []byte) []byte
	// repeat says whether a second copy of an answer is sent later, in place of the next
	// answer on the connection; nil: never.
	repeat func() bool

	mu       sync.Mutex // guards the fields below
	version  string
	born     int64
	seq      int
	listener net.Listener
	conns    map[net.Conn]bool
	down     chan struct{} // closed when this start ends
	silent   bool          // it sends no heartbeats any more
}

// newRunner starts a runner, whose first heartbeat is sent at once.
func (s *stage) newRunner(r *runner) error {
	r.s = s
	if r.slots == 0 {
		r.slots = 64
	}
	if r.version == "" {
		r.version = "v1"
	}
	return r.start(0)
}

// start starts a new incarnation, at the address that the runner had if it ran before. Its
// first heartbeat is sent after a time.
func (r *runner) start(firstBeat time.Duration) error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	down := make(chan struct{})
	r.mu.Lock()
	r.address, r.listener, r.conns, r.down = listener.Addr().String(), listener, map[net.Conn]bool{}, down
	r.born, r.seq = time.Now().UnixMilli(), 0
	r.mu.Unlock()
	r.s.logf("runner %s (%s, %s) starts at %s", r.id, r.service, r.version, r.address)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serve(conn)
		}
	}()
	go r.beat(firstBeat, down)
	return nil
}

// crash ends this incarnation: its connections are reset, and it sends nothing any more.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.down)
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	r.s.logf("runner %s (%s, %s) crashes", r.id, r.service, r.version)
}

// stopBeats ends the heartbeats of a runner that leaves.
func (r *runner) stopBeats() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
}

// beat sends heartbeats, each to a node that it picks, and to the next one if that doesn't
// acknowledge it within a second.
func (r *runner) beat(first time.Duration, down chan struct{}) {
	wait := first
	for {
		select {
		case <-r.s.ctx.Done():
			return
		case <-down:
			return
		case <-time.After(wait):
		}
		wait = heartbeatInterval
		r.mu.Lock()
		if r.silent {
			r.mu.Unlock()
			return
		}
		r.seq++
		body, _ := json.Marshal(map[string]any{ // plain values
			"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
			keyColdLeft: 0, "seq": r.seq, "born": r.born,
		})
		seq, version := r.seq, r.version
		r.mu.Unlock()
		node := mathrand.IntN(len(r.s.Controls))
		for try := range len(r.s.Controls) {
			address := r.s.Controls[(node+try)%len(r.s.Controls)]
			if status := r.s.post(address, pathHeartbeat+r.id, body, time.Second); status/100 == 2 {
				if seq <= 2 {
					r.s.logf("runner %s (%s): heartbeat %d acknowledged by %s", r.id, version, seq, address)
				}
				break
			}
		}
	}
}

// serve serves the requests of a connection one after the other.
func (r *runner) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte // a second copy of the answer before
	var lateTo string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			r.s.logf("runner %s sends its answer to %s once more, in place of the answer to %s", r.id, lateTo, request.URL.Path)
			late = nil
		}
		answer := r.handle(r, conn, request, body)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if r.repeat != nil && r.repeat() {
			late, lateTo = answer, request.URL.Path
		}
	}
}

// encodeAnswer returns an answer with a length.
func encodeAnswer(status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// refusal returns the answer to a request that the runner does not run, or nil if it may
// run it: another runner is named in it, or it has no id.
func (r *runner) refusal(request *http.Request) []byte {
	id := request.Header.Get(headerAttempt)
	header := map[string]string{headerAttempt: id, headerNotRun: "1"}
	switch expected := request.Header.Get(headerExpected); {
	case id == "":
		return encodeAnswer(http.StatusBadRequest, header, nil)
	case expected != "" && expected != r.id:
		r.s.logf("runner %s answers 421 to %s, which names %s", r.id, id, expected)
		return encodeAnswer(http.StatusMisdirectedRequest, header, nil)
	}
	return nil
}

// answerRun runs a request of a plain service: it works for a while and answers whole.
func answerRun(work time.Duration, ran func(r *runner, request *http.Request)) func(*runner, net.Conn, *http.Request, []byte) []byte {
	return func(r *runner, _ net.Conn, request *http.Request, body []byte) []byte {
		if refused := r.refusal(request); refused != nil {
			return refused
		}
		id := request.Header.Get(headerAttempt)
		r.s.logf("runner %s (%s) runs %s: %s %s", r.id, r.service, id, request.Method, request.URL.Path)
		ran(r, request)
		time.Sleep(work)
		text := fmt.Sprintf("%s ran %s with %d bytes", r.id, id, len(body))
		return encodeAnswer(http.StatusOK, map[string]string{
			headerAttempt: id, headerSeal: "seal." + id, "Content-Type": "text/plain", headerLoad: "1,0," + strconv.Itoa(r.slots),
		}, []byte(text))
	}
}
