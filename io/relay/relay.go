// Package relay passes TCP connections on to a target and does to them, when told,
// what networks do: delay, reset, silence in one direction or both. Tests alone
// import it.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Direction of bytes.
type Direction int

// Directions.
const (
	ToTarget Direction = iota
	ToCaller
	directions
)

// buffer is the unit in which bytes are passed on.
const buffer = 32 << 10

// Relay stands before one target.
type Relay struct {
	Address string
	target  string
	ended   chan struct{}

	mu     sync.Mutex
	silent [directions]bool
	delay  time.Duration
	conns  map[*conn]bool
}

// conn is one connection and the one behind it.
type conn struct {
	near, far net.Conn
	silent    [directions]bool // once swallowed, never heard again
}

// New listens on address and passes on to target. The returned function ends all.
func New(address, target string) (*Relay, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{Address: listener.Addr().String(), target: target, ended: make(chan struct{}), conns: map[*conn]bool{}}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return // it was closed
			}
			go r.serve(near)
		}
	}()
	return r, func() {
		_ = listener.Close() // nothing can be done about it
		close(r.ended)
		r.Reset()
	}, nil
}

func (r *Relay) serve(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close() // the caller sees a target that is down
		return
	}
	c := &conn{near: near, far: far}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { r.pass(c, ToTarget, near, far) })
	group.Go(func() { r.pass(c, ToCaller, far, near) })
	group.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_, _ = near.Close(), far.Close() // both have ended
}

// pass copies until an end closes. Of a silent direction not even the end gets
// through.
func (r *Relay) pass(c *conn, way Direction, from, to net.Conn) {
	data := make([]byte, buffer)
	for {
		n, err := from.Read(data)
		r.mu.Lock()
		c.silent[way] = c.silent[way] || r.silent[way]
		silent, delay := c.silent[way], r.delay
		r.mu.Unlock()
		if silent && errors.Is(err, io.EOF) {
			<-r.ended
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && !silent {
			if _, err := to.Write(data[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Freeze makes the connections of this moment silent for good, while new ones
// work: something between the two ends has lost track of them. It returns how
// many.
func (r *Relay) Freeze() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent = [directions]bool{true, true}
	}
	return len(r.conns)
}

// Silence swallows what goes these ways from now on, also on new connections;
// without any it ends. Connections that lost bytes stay silent.
func (r *Relay) Silence(ways ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = [directions]bool{}
	for _, way := range ways {
		r.silent[way] = true
	}
}

// Delay holds each piece of data back for so long.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset breaks the connections of this moment off.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, end := range []net.Conn{c.near, c.far} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // so that the close resets
			}
			_ = end.Close()
		}
	}
}
