// Package peer connects tanagerroad's own processes by gRPC: listeners with
// their bounds, links that replace a silent connection by a new one, and the
// count of bytes by peer. It uses no resolver, balancer, service
// configuration or retry of gRPC's: which process is asked, and whether again,
// is decided under core.
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

// Times of a connection.
const (
	connectTimeout  = time.Second
	maxBackoff      = time.Second
	serverPing      = 2 * time.Second // the server asks a quiet client whether it lives
	serverPingWait  = 2 * time.Second // and closes the connection without an answer
	serverBuffer    = 4 << 10         // bytes
	connectionGrace = 5 * time.Second // a replaced connection finishes its other calls
)

// Links keeps one connection to each peer that is in use.
type Links struct {
	meter *Meter
	max   int
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	ended bool
}

// NewLinks returns an empty set and the function that closes its connections.
func NewLinks(meter *Meter, maxMessage int) (*Links, func()) {
	l := &Links{meter: meter, max: maxMessage, conns: map[string]*grpc.ClientConn{}}
	return l, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended = true
		for _, conn := range l.conns {
			_ = conn.Close() // nothing can be done about it
		}
	}
}

// To returns the connection to address, which it opens if need be.
func (l *Links) To(address string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, fmt.Errorf("link to %s: the process is stopping", address)
	}
	if conn, ok := l.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(l.meter.handler(address)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(l.max), grpc.MaxCallSendMsgSize(l.max)),
	)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", address, err)
	}
	l.conns[address] = conn
	return conn, nil
}

// Renew replaces a connection that went silent, so that the next To opens a
// new one. Calls on the old one get a moment to end.
func (l *Links) Renew(address string, silent *grpc.ClientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[address] != silent {
		return // somebody has renewed it already
	}
	delete(l.conns, address)
	time.AfterFunc(connectionGrace, func() { _ = silent.Close() })
}

// Server listens for other processes.
type Server struct {
	*grpc.Server
	Address string
}

// NewServer listens on the address, with its bounds; register adds the
// services. The returned function stops it: it lets calls end until the
// context does, and cuts what is left then.
func NewServer(config settings.PeerListener, meter *Meter, register func(*grpc.Server)) (*Server, func(context.Context), error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("peer listener: %w", err)
	}
	server := grpc.NewServer(
		// A stop waits for connections on which nothing came yet.
		grpc.ConnectionTimeout(connectTimeout),
		grpc.MaxConcurrentStreams(uint32(config.MaxStreams)),
		grpc.MaxRecvMsgSize(int(config.MaxMessage)),
		grpc.StatsHandler(meter.handler(Inbound)),
		// Thousands of quiet connections end here; buffers of the usual size
		// for each would be most of the process's memory.
		grpc.ReadBufferSize(serverBuffer),
		grpc.WriteBufferSize(serverBuffer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPing, Timeout: serverPingWait}),
	)
	register(server)
	go func() { _ = server.Serve(listener) }() // returns when stopped
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
