package quorum_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
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

// TestRestartedInstanceNamesFormerMembers guards against an instance that, after a restart and
// as long as nobody leads, reports the members of its snapshot and not those that count for
// the quorum: in leader-missing, and in the list that its control.Client asks.
func TestRestartedInstanceNamesFormerMembers(t *testing.T) {
	addresses, err := demo.FreeAddresses(4)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zapcore.InfoLevel)
	dirs := make([]string, 4)
	bootstrap := true
	start := func(i int, logger *zap.Logger) (*quorum.Quorum, func()) {
		if dirs[i] == "" {
			dirs[i] = t.TempDir()
		}
		s := settings.DefaultControl()
		s.Common = settings.Common{Process: "control", Zone: "a", Region: "west"}
		s.Peer.Address, s.Instances, s.OpenMembership, s.Tolerate = addresses[i], addresses[:3], true, 1
		s.Bootstrap = i < 3 && bootstrap
		s.ElectionTimeout, s.HeartbeatInterval = tanagerroad.Duration(600*time.Millisecond), tanagerroad.Duration(150*time.Millisecond)
		d, closeDisk, err := disk.Open(dirs[i])
		if err != nil {
			t.Fatal(err)
		}
		conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
		q, closeQuorum, err := quorum.New(quorum.Config{Settings: s, Registry: registry.DefaultConfig(), Disk: d, Clock: tanagerroad.NewSystemClock(), Conns: conns, Logger: logger})
		if err != nil {
			t.Fatal(err)
		}
		_, stopPeers, err := peer.NewServer(s.Peer, peer.NewMeter(), func(g *grpc.Server) {
			wire.RegisterQuorumServer(g, &quorum.Service{Quorum: q})
		})
		if err != nil {
			t.Fatal(err)
		}
		return q, func() {
			cancelled, cancel := context.WithCancel(context.Background())
			cancel()
			stopPeers(cancelled)
			closeQuorum()
			closeConns()
			_ = closeDisk()
		}
	}
	var all []*quorum.Quorum
	var stops []func()
	for i := range 3 {
		q, stop := start(i, zap.NewNop())
		all, stops = append(all, q), append(stops, stop)
	}
	// The fourth joins and becomes a voter: three of four are needed from now on.
	q, stop := start(3, zap.NewNop())
	all, stops = append(all, q), append(stops, stop)
	voters := func(q *quorum.Quorum) (n int) {
		for _, m := range q.View().InForce {
			if m.GetVoter() {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the fourth did not become a voter")
		}
		if voters(all[0]) == 4 && voters(all[1]) == 4 {
			break
		}
	}
	for _, stop := range stops {
		stop()
	}
	bootstrap = false
	first, stopFirst := start(0, zap.New(core))
	defer stopFirst()
	_, stopSecond := start(1, zap.NewNop())
	defer stopSecond()
	dirs[2] = ""
	_, stopThird := start(2, zap.NewNop()) // at its old address, with an empty disk
	defer stopThird()
	time.Sleep(5 * time.Second) // two of four voters: nobody leads
	if n := voters(first); n != 4 || !slices.Contains(first.Instances(), addresses[3]) {
		t.Errorf("%d voters, instances %v: want 4 voters, with %s", n, first.Instances(), addresses[3])
	}
	lines := logs.FilterMessage("leader-missing").All()
	if len(lines) == 0 || !strings.Contains(fmt.Sprint(lines[0].ContextMap()["members"]), addresses[3]+" voter") {
		t.Errorf("leader-missing does not name %s as a voter: %v", addresses[3], lines)
	}
}
