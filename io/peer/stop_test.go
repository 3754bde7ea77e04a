package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"tanagerroad/core/settings"
	"tanagerroad/io/peer"
)

// TestStopDoesNotWaitForSilentConnection guards against a server that cannot stop
// while a client has opened a TCP connection but never sent anything: a graceful
// stop waits for such connections.
func TestStopDoesNotWaitForSilentConnection(t *testing.T) {
	config := settings.DefaultControl().Peer
	config.Address = "127.0.0.1:0"
	server, stop, err := peer.NewServer(config, peer.NewMeter(), func(*grpc.Server) {})
	if err != nil {
		t.Fatal(err)
	}
	silent, err := net.Dial("tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	time.Sleep(100 * time.Millisecond) // the server accepts the connection
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	started := time.Now()
	done := make(chan struct{})
	go func() {
		stop(ctx)
		close(done)
	}()
	const bound = 3 * time.Second
	select {
	case <-done:
	case <-time.After(bound):
		t.Fatalf("the server has not stopped after %s", time.Since(started))
	}
}
