package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// beatInterval is the time between two announcements of a backend server.
const beatInterval = 1200 * time.Millisecond

// runner is a backend server. It may crash and start again under its id, at its address.
type runner struct {
	b              *bench
	id, pool, zone string
	address        string
	slots          int
	answer         func(r *runner, version string, c net.Conn, req *http.Request) bool // false: the connection ends
	mu             sync.Mutex
	version        string
	born           int64
	seq            int
	listener       net.Listener
	conns          map[net.Conn]bool
	arrivals       []time.Time // of requests
	paths          []string    // of the same
	stopped        chan struct{}
	announced      bool // an announcement of this start has been acknowledged
	running        int
}

// start starts the server with a version of its software, and announces it at once.
func (r *runner) start(version string) error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address, r.listener, r.version, r.born, r.seq = listener.Addr().String(), listener, version, time.Now().UnixMilli(), 0
	r.announced = false
	r.conns, r.stopped = map[net.Conn]bool{}, make(chan struct{})
	stopped := r.stopped
	r.mu.Unlock()
	r.b.note("%s starts at %s with version %s", r.id, r.address, version)
	go r.accept(listener, version)
	go func() {
		for {
			go r.beat()
			select {
			case <-stopped:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return nil
}

// beat sends one announcement.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	body := fmt.Sprintf(r.b.names["beat"], r.pool, r.address, r.zone, r.version, r.slots, r.seq, r.born)
	seq, born, version, first := r.seq, r.born, r.version, !r.announced
	r.mu.Unlock()
	if !r.b.post(seq, r.b.names["heartbeat"]+r.id, body) || !first {
		return
	}
	r.mu.Lock()
	r.announced = true
	r.mu.Unlock()
	r.b.note("%s: the start with version %s, born %d, is announced", r.id, version, born)
}

// crash ends the server: it sends nothing more, and its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.b.note("%s crashes", r.id)
	close(r.stopped)
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (r *runner) accept(listener net.Listener, version string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.listener == listener {
			r.conns[conn] = true
		}
		r.mu.Unlock()
		go r.serve(conn, version)
	}
}

func (r *runner) serve(conn net.Conn, version string) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if expected := req.Header.Get(r.b.names["expected"]); expected != "" && expected != r.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", r.b.names["instance"], r.id, r.b.names["notrun"])
			continue
		}
		r.mu.Lock()
		r.arrivals, r.paths = append(r.arrivals, time.Now()), append(r.paths, req.URL.Path)
		r.mu.Unlock()
		r.b.note("%s, of the service %s, runs %s %s", r.id, r.pool, req.Method, req.URL.Path)
		if !r.answer(r, version, conn, req) {
			return
		}
	}
}

// head writes the head of an answer.
func (r *runner) head(conn net.Conn, req *http.Request, status, framing string) {
	n := r.b.names
	id := req.Header.Get(n["attempt"])
	r.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", min(r.running, r.slots), max(0, r.running-r.slots), r.slots)
	r.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s.%s\r\n%s: %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\n%s\r\n",
		status, n["attempt"], id, n["seal"], r.id, id, n["instance"], r.id, n["load"], load, framing)
}
