package control_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
	"tanagerroad/io/peer"
	"tanagerroad/io/relay"
)

// leader is a control instance that leads.
type leader struct {
	wire.UnimplementedControlServer
}

func (leader) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return &wire.StatusReply{}, nil
}

func (leader) Read(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
	return &wire.ReadReply{Kind: "ok"}, nil
}

// TestSilentConnectionIsReplaced checks that a connection that silently stops delivering
// data, as when a middlebox has lost track of it, costs at most one call its timeout:
// the next call uses a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	config := settings.DefaultControl().Peer
	config.Address = "127.0.0.1:0"
	server, stop, err := peer.NewServer(config, peer.NewMeter(), func(s *grpc.Server) { wire.RegisterControlServer(s, leader{}) })
	if err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	defer stop(cancelled)
	proxy, closeProxy, err := relay.New("127.0.0.1:0", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeProxy()
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	defer closeConns()
	client := control.NewClient(conns, []string{proxy.Address}, zap.NewNop())
	status := func(ctx context.Context) bool { return len(client.Statuses(ctx)) == 1 }
	read := func(ctx context.Context) bool {
		reply, err := client.Read(ctx, &wire.ReadRequest{What: "tables"})
		return err == nil && reply.GetKind() == "ok"
	}
	const (
		timeout      = 5 * time.Second
		shortestWait = 400 * time.Millisecond // of any caller, see evacuations.go
	)
	for operation, call := range map[string]func(context.Context) bool{"status": status, "read": read} {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		if !call(ctx) {
			t.Fatalf("%s: no reply on a working connection", operation)
		}
		if proxy.Freeze() == 0 {
			t.Fatalf("%s: there was no connection to freeze", operation)
		}
		impatient, cancelImpatient := context.WithTimeout(ctx, shortestWait)
		call(impatient) // may time out
		cancelImpatient()
		started := time.Now()
		if !call(ctx) || time.Since(started) > 500*time.Millisecond {
			t.Errorf("%s: the second call after the freeze failed or was too slow: took %s, want at most 500ms", operation, time.Since(started))
		}
		cancel()
	}
}
