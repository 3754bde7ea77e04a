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

// instance answers as a control instance that leads.
type instance struct {
	wire.UnimplementedControlServer
}

func (instance) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return &wire.StatusReply{}, nil
}

func (instance) Read(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
	return &wire.ReadReply{Kind: "ok"}, nil
}

// TestSilentConnectionIsAskedOnce: a connection that has gone silent for good costs
// one question its time; the next one is asked on a new connection.
func TestSilentConnectionIsAskedOnce(t *testing.T) {
	config := settings.DefaultControl().Peer
	config.Address = "127.0.0.1:0"
	server, stop, err := peer.NewServer(config, peer.NewMeter(), func(s *grpc.Server) { wire.RegisterControlServer(s, instance{}) })
	if err != nil {
		t.Fatal(err)
	}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	defer stop(over)
	way, closeWay, err := relay.New("127.0.0.1:0", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeWay()
	links, closeLinks := peer.NewConnPool(peer.NewMeter(), 1<<20)
	defer closeLinks()
	client := control.NewClient(links, []string{way.Address}, zap.NewNop())
	status := func(ctx context.Context) bool { return len(client.Statuses(ctx)) == 1 }
	read := func(ctx context.Context) bool {
		reply, err := client.Read(ctx, &wire.ReadRequest{What: "tables"})
		return err == nil && reply.GetKind() == "ok"
	}
	const patience = 5 * time.Second
	for what, ask := range map[string]func(context.Context) bool{"status": status, "read": read} {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		if !ask(ctx) {
			t.Fatalf("%s: no answer at first", what)
		}
		if way.Freeze() == 0 {
			t.Fatalf("%s: no connection was there to go silent", what)
		}
		ask(ctx) // it may be lost
		started := time.Now()
		if !ask(ctx) || time.Since(started) > 500*time.Millisecond {
			t.Errorf("%s: the second question behind the silence took %s", what, time.Since(started))
		}
		cancel()
	}
}
