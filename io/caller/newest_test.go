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

// cutOff is a control instance that holds some revision and tells no more.
type cutOff struct {
	wire.UnimplementedControlServer
	revision *wire.Revision
}

func (c *cutOff) Watch(stream grpc.BidiStreamingServer[wire.Notice, wire.Update]) error {
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

func (c *cutOff) Read(_ context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	reply := &wire.ReadReply{Kind: "ok"}
	if c.revision.GetNumber() > request.GetRevision() {
		reply.Revision = c.revision
	}
	return reply, nil
}

func startCutOff(t *testing.T, number uint64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	wire.RegisterControlServer(server, &cutOff{revision: &wire.Revision{Number: number, Routes: []byte(testRoutes), Pools: []byte(testPools)}})
	go func() { _ = server.Serve(listener) }() // returns when stopped
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// TestRestartedEntryTakesTheHighestRevision: the nearest control instance is cut
// off and holds an old revision; the entry asks the others too, and is not ready
// before it did.
func TestRestartedEntryTakesTheHighestRevision(t *testing.T) {
	s := settings.DefaultEntry()
	s.Common = settings.Common{Process: "entry", Zone: "a", Region: "west"}
	s.Control = []string{startCutOff(t, 4), startCutOff(t, 7), "127.0.0.1:1"}
	links, closeLinks := peer.NewLinks(peer.NewMeter(), 1<<20)
	defer closeLinks()
	e, closeEntry, err := New(Config{
		Settings: s, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Links: links, Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer closeEntry()
	for end := time.Now().Add(10 * time.Second); !e.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the entry is never ready")
		}
	}
	if got := e.Revision(); got != 7 {
		t.Errorf("the entry is ready with revision %d, want 7", got)
	}
}
