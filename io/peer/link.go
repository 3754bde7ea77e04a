// Package peer connects tanagerroad's own processes by gRPC. It provides listeners
// with resource limits, client connections that are replaced when they go silent,
// and byte counts by peer. gRPC's resolvers, load balancers, service configuration
// and retries are not used: the packages under core decide which process is called
// and whether a call is retried.
package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"tanagerroad/core/settings"
)

// Timeouts and buffer size of a connection.
const (
	connectTimeout     = 400 * time.Millisecond // a peer that has no power yet doesn't refuse, and is tried again
	setupTimeout       = time.Second            // for a client's connection to be set up
	maxBackoff         = time.Second
	serverPingInterval = 2 * time.Second // idle time after which a server pings its client
	serverPingTimeout  = 2 * time.Second // for the client to reply before the connection is closed
	serverBufferBytes  = 4 << 10         // for reads, and again for writes
	replacedGrace      = 5 * time.Second // for calls in flight on a replaced connection
)

// ConnPool keeps one client connection for each peer address in use. It is safe
// for concurrent use.
type ConnPool struct {
	meter           *Meter
	maxMessageBytes int
	mu              sync.Mutex // guards the fields below
	conns           map[string]*grpc.ClientConn
	closed          bool
}

// NewConnPool returns a pool without connections, and a function that closes the
// pool and all its connections. maxMessage is the maximum size of a message, in
// bytes.
func NewConnPool(meter *Meter, maxMessage int) (*ConnPool, func()) {
	p := &ConnPool{meter: meter, maxMessageBytes: maxMessage, conns: map[string]*grpc.ClientConn{}}
	return p, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed = true
		for _, conn := range p.conns {
			_ = conn.Close() // nothing to do about an error at shutdown
		}
	}
}

// Get returns the connection for an address, creating it if there is none. The
// connection may not be established yet. Get fails once the pool is closed.
func (p *ConnPool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fmt.Errorf("connection to %s: the process is stopping", address)
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(p.meter.statsHandler(address)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(p.maxMessageBytes), grpc.MaxCallSendMsgSize(p.maxMessageBytes)),
	)
	if err != nil {
		return nil, fmt.Errorf("connection to %s: %w", address, err)
	}
	p.conns[address] = conn
	return conn, nil
}

// Replace drops a connection that went silent, so that the next Get for its
// address creates a new one. Calls in flight on the old connection have a grace
// period to end. A connection that was already replaced is left alone.
func (p *ConnPool) Replace(address string, silent *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != silent {
		return
	}
	delete(p.conns, address)
	time.AfterFunc(replacedGrace, func() { _ = silent.Close() })
}

// Server is a gRPC server for other processes.
type Server struct {
	*grpc.Server
	Address string // host and port it listens on
}

// NewServer listens on the configured address, within the configured limits, and
// serves the services that register adds. The returned function stops the server:
// it waits for calls to end until the context does, then aborts the rest.
func NewServer(config settings.PeerListener, meter *Meter, register func(*grpc.Server)) (*Server, func(context.Context), error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("peer listener: %w", err)
	}
	server := grpc.NewServer(
		// A graceful stop waits for connections that are not yet set up, so
		// this timeout bounds how long a silent client can delay it.
		grpc.ConnectionTimeout(setupTimeout),
		grpc.MaxConcurrentStreams(uint32(config.MaxStreams)),
		grpc.MaxRecvMsgSize(int(config.MaxMessage)),
		grpc.StatsHandler(meter.statsHandler(Inbound)),
		// A server may hold thousands of idle connections. With buffers of
		// the default size, these would take most of the process's memory.
		grpc.ReadBufferSize(serverBufferBytes),
		grpc.WriteBufferSize(serverBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingInterval, Timeout: serverPingTimeout}),
	)
	register(server)
	go func() { _ = server.Serve(listener) }() // returns when the server is stopped
	stop := func(ctx context.Context) {
		done := make(chan struct{})
		go func() {
			server.GracefulStop()
			close(done)
		}()
		select {
		case <-done:
		case <-ctx.Done():
			server.Stop()
		}
	}
	return &Server{Server: server, Address: listener.Addr().String()}, stop, nil
}
