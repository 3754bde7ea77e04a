package control_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"

	"tanagerroad/core/registry"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/peer"
)

// hungInstance is a control instance whose reads and proposals do not return, as while a write
// to its disk hangs.
type hungInstance struct {
	wire.UnimplementedControlServer
}

func (hungInstance) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (hungInstance) Propose(ctx context.Context, _ *wire.Command) (*wire.Outcome, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// outsideInstance is a control instance that knows no leader.
type outsideInstance struct {
	wire.UnimplementedControlServer
}

func (outsideInstance) Read(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
	return &wire.ReadReply{Kind: registry.NoQuorum}, nil
}

// serveControl serves a control instance until the test ends and returns its address.
func serveControl(t *testing.T, instance wire.ControlServer) string {
	t.Helper()
	config := settings.DefaultControl().Peer
	config.Address = "127.0.0.1:0"
	server, stop, err := peer.NewServer(config, peer.NewMeter(), func(s *grpc.Server) { wire.RegisterControlServer(s, instance) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		stop(cancelled)
	})
	return server.Address
}

// operatorReadTimeout is that of package registrar.
const operatorReadTimeout = 900 * time.Millisecond

// TestHungInstanceHidesTheConfiguration guards against reads that wait for one instance that
// hangs until their time is over, although another one leads.
func TestHungInstanceHidesTheConfiguration(t *testing.T) {
	hung, leading := serveControl(t, hungInstance{}), serveControl(t, leader{})
	for name, known := range map[string]string{"unknown": "", "stale": hung} {
		conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
		client := control.NewClient(conns, []string{hung, leading}, zap.NewNop())
		client.SetLeader(known)
		ctx, cancel := context.WithTimeout(t.Context(), operatorReadTimeout)
		if reply, err := client.Read(ctx, &wire.ReadRequest{What: "tables"}); reply.GetKind() != "ok" || err != nil {
			t.Errorf("leader %s: %v, %v, want the leader's reply", name, reply, err)
		}
		cancel()
		closeConns()
	}
}

// TestEndedReadReplacesSoundConnections guards against reads that ran out of time, and then
// report all remaining instances as silent and drop the connections that others use too.
func TestEndedReadReplacesSoundConnections(t *testing.T) {
	hung, outside := serveControl(t, hungInstance{}), serveControl(t, outsideInstance{})
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	defer closeConns()
	core, logs := observer.New(zapcore.InfoLevel)
	client := control.NewClient(conns, []string{hung, outside}, zap.New(core))
	before, err := conns.Get(outside)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), operatorReadTimeout)
	defer cancel()
	_, err = client.Read(ctx, &wire.ReadRequest{What: "tables"})
	if after, _ := conns.Get(outside); after != before {
		t.Error("the connection of an instance that had replied was replaced")
	}
	for _, line := range logs.All() {
		if peer := line.ContextMap()["peer"]; peer != hung {
			t.Errorf("%s names %v, only %s was silent", line.Message, peer, hung)
		}
	}
	for _, want := range []string{hung + ": no reply", outside + ": no-quorum"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("the error is %v, want it to say %q", err, want)
		}
	}
}
