package quorum_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/registry"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/demo"
	"tanagerroad/io/disk"
	"tanagerroad/io/peer"
	"tanagerroad/io/quorum"
)

// TestStopKeepsItsVote guards against an instance that stops as planned while its vote, which
// the others can spare, still counts, and against one that is not told that it may stop.
func TestStopKeepsItsVote(t *testing.T) {
	addresses, err := demo.FreeAddresses(4)
	if err != nil {
		t.Fatal(err)
	}
	var all []*quorum.Quorum
	for _, address := range addresses {
		s := settings.DefaultControl()
		s.Common = settings.Common{Process: "control", Zone: "a", Region: "west"}
		s.Peer.Address, s.Instances, s.OpenMembership, s.Tolerate = address, addresses, true, 1
		s.ElectionTimeout, s.HeartbeatInterval = tanagerroad.Duration(600*time.Millisecond), tanagerroad.Duration(150*time.Millisecond) // as in deploy/control.json
		d, closeDisk, err := disk.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
		q, closeQuorum, err := quorum.New(quorum.Config{
			Settings: s, Registry: registry.DefaultConfig(), Disk: d, Clock: tanagerroad.NewSystemClock(), Conns: conns, Logger: zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		_, stopPeers, err := peer.NewServer(s.Peer, peer.NewMeter(), func(g *grpc.Server) { wire.RegisterQuorumServer(g, &quorum.Service{Quorum: q}) })
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, q)
		t.Cleanup(func() {
			cancelled, cancel := context.WithCancel(context.Background())
			cancel()
			stopPeers(cancelled)
			closeQuorum()
			closeConns()
			_ = closeDisk()
		})
	}
	leader := -1
	for end := time.Now().Add(10 * time.Second); leader < 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nobody leads")
		}
		for i, q := range all {
			if v := q.View(); v.Role == "leader" && len(v.Members) == 4 {
				leader = i
			}
		}
	}
	const bound = 5 * time.Second
	for _, leaver := range []int{leader, (leader + 1) % 4} {
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		started := time.Now()
		all[leaver].Leave(ctx)
		if took := time.Since(started); took > bound/2 {
			t.Errorf("instance %d was told after %v that it may stop", leaver, took)
		}
		cancel()
		voters := 4
		for _, q := range all {
			voters = min(voters, len(q.View().Members))
		}
		if voters != 3 {
			t.Errorf("%d members after instance %d may stop, want 3: the first vote is spared, the second is needed", voters, leaver)
		}
	}
}
