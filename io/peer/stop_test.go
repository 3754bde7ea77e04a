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

// TestStopDoesNotWaitForWhoSaysNothing: a connection on which nothing came yet
// holds a stop up only for a moment.
func TestStopDoesNotWaitForWhoSaysNothing(t *testing.T) {
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
	time.Sleep(100 * time.Millisecond) // it is taken in
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
		t.Fatalf("the stop still waits after %s", time.Since(started))
	}
}
