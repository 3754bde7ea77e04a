package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// fixedControl is a control instance that always reports the same revision, like
// one that is cut off from the others.
type fixedControl struct {
	wire.UnimplementedControlServer
	revision *wire.Revision
}

func (c *fixedControl) Watch(stream grpc.BidiStreamingServer[wire.Notice, wire.Update]) error {
	for {
		if err := stream.Send(&wire.Update{Revision: c.revision}); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (c *fixedControl) Read(_ context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	reply := &wire.ReadReply{Kind: "ok"}
	if c.revision.GetNumber() > request.GetRevision() {
		reply.Revision = c.revision
	}
	return reply, nil
}

func startFixedControl(t *testing.T, number uint64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	wire.RegisterControlServer(server, &fixedControl{revision: &wire.Revision{Number: number, Routes: []byte(testRoutes), Pools: []byte(testPools)}})
	go func() { _ = server.Serve(listener) }() // returns when stopped
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// TestRestartedEntryTakesTheHighestRevision guards against an entry that starts
// with an outdated revision. The control instance that it watches is cut off and
// holds an old revision; the entry must query the others too before it is ready.
func TestRestartedEntryTakesTheHighestRevision(t *testing.T) {
	s := settings.DefaultEntry()
	s.Common = settings.Common{Process: "entry", Zone: "a", Region: "west"}
	s.Control = []string{startFixedControl(t, 4), startFixedControl(t, 7), "127.0.0.1:1"}
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	defer closeConns()
	e, closeEntry, err := New(Config{
		Settings: s, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Conns: conns, Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer closeEntry()
	for end := time.Now().Add(10 * time.Second); !e.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entry is not ready after 10 s")
		}
	}
	if got := e.Revision(); got != 7 {
		t.Errorf("the entry is ready with revision %d, want 7", got)
	}
}
