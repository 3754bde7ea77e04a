// Package relay is a TCP proxy that injects network faults for tests: delays,
// connection resets, and data that is silently lost in one or both directions.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Direction is a direction of data through a relay.
type Direction int

// The two directions: to the target, and back to the client that connected.
const (
	ToTarget Direction = iota
	ToClient
	numDirections
)

// bufferSize is the maximum number of bytes forwarded at once.
const bufferSize = 32 << 10

// Relay is a proxy for one target address.
type Relay struct {
	Address string // that it listens on
	target  string
	closed  chan struct{}

	mu         sync.Mutex
	blackholed [numDirections]bool
	delay      time.Duration
	conns      map[*conn]bool
}

// conn is a client's connection and the connection to the target that serves it.
type conn struct {
	client, server net.Conn
	blackholed     [numDirections]bool // permanently, since bytes missing in the middle would corrupt the stream
}

// New listens on address and forwards each connection to target. The returned
// function closes the listener and resets all connections.
func New(address, target string) (*Relay, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{Address: listener.Addr().String(), target: target, closed: make(chan struct{}), conns: map[*conn]bool{}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go r.serve(client)
		}
	}()
	return r, func() {
		_ = listener.Close() // an error cannot be handled here
		close(r.closed)
		r.Reset()
	}, nil
}

// serve connects to the target and forwards data until both directions have ended.
func (r *Relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close() // the target is down, and the client notices
		return
	}
	c := &conn{client: client, server: server}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { r.forward(c, ToTarget, client, server) })
	group.Go(func() { r.forward(c, ToClient, server, client) })
	group.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_, _ = client.Close(), server.Close() // both directions have ended
}

// forward copies data in one direction until either connection closes. In a
// blackholed direction the end of the data is lost too: the other connection stays
// open until the relay is closed.
func (r *Relay) forward(c *conn, dir Direction, from, to net.Conn) {
	data := make([]byte, bufferSize)
	for {
		n, err := from.Read(data)
		r.mu.Lock()
		c.blackholed[dir] = c.blackholed[dir] || r.blackholed[dir]
		drop, delay := c.blackholed[dir], r.delay
		r.mu.Unlock()
		if drop && errors.Is(err, io.EOF) {
			<-r.closed
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && !drop {
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

// Freeze permanently drops all further data on the connections that are open now,
// while new ones work, as when a firewall or NAT loses its state. It returns the
// number of frozen connections.
func (r *Relay) Freeze() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.blackholed = [numDirections]bool{true, true}
	}
	return len(r.conns)
}

// Blackhole drops all data in these directions from now on, also on new connections.
// Without any direction it ends the fault; connections that lost data stay
// blackholed.
func (r *Relay) Blackhole(dirs ...Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blackholed = [numDirections]bool{}
	for _, dir := range dirs {
		r.blackholed[dir] = true
	}
}

// Delay delays each read of data by d before it is forwarded.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset resets the connections that are open now.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, side := range []net.Conn{c.client, c.server} {
			if tcp, ok := side.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // makes Close reset the connection
			}
			_ = side.Close()
		}
	}
}
