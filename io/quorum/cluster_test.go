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

// startCluster starts n control instances that form a cluster, waits until one of them leads
// and returns them with their disks and the leader's index. They stop with the test.
func startCluster(t *testing.T, n int) ([]*quorum.Quorum, []*failingDisk, int) {
	t.Helper()
	return startPart(t, n, n)
}

// startPart is startCluster for n instances whose settings list more.
func startPart(t *testing.T, n, listed int) ([]*quorum.Quorum, []*failingDisk, int) {
	t.Helper()
	addresses, err := demo.FreeAddresses(listed)
	if err != nil {
		t.Fatal(err)
	}
	var all []*quorum.Quorum
	var disks []*failingDisk
	for _, address := range addresses[:n] {
		s := settings.DefaultControl()
		s.Common = settings.Common{Process: "control", Zone: "a", Region: "west"}
		s.Peer.Address, s.Instances, s.OpenMembership, s.Tolerate = address, addresses, true, 1
		s.ElectionTimeout, s.HeartbeatInterval = tanagerroad.Duration(600*time.Millisecond), tanagerroad.Duration(150*time.Millisecond) // as in deploy/control.json
		d, closeDisk, err := disk.Open(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		disks = append(disks, newFailingDisk(d))
		conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
		q, closeQuorum, err := quorum.New(quorum.Config{
			Settings: s, Registry: registry.DefaultConfig(), Disk: disks[len(disks)-1], Clock: tanagerroad.NewSystemClock(), Conns: conns, Logger: zap.NewNop(),
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
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nobody leads")
		}
		leader, known := -1, 0
		for i, q := range all {
			v := q.View()
			if v.Role == "leader" {
				leader = i
			}
			if v.Leader != "" && len(v.Members) == listed {
				known++
			}
		}
		if leader >= 0 && known == n {
			return all, disks, leader
		}
	}
}

// proposeToAny proposes a claim to the instances in turn until one grants it, and reports
// whether that was within a time.
func proposeToAny(all []*quorum.Quorum, id string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, q := range all {
			if granted(proposeClaim(q, id)) {
				return true
			}
		}
	}
	return false
}

// TestDiskThatWasFullCostsTheQuorum guards against instances that stay out after their disks
// were full for a moment, one after the other, until too few are left for a quorum.
func TestDiskThatWasFullCostsTheQuorum(t *testing.T) {
	const bound = 5 * time.Second
	all, disks, leader := startCluster(t, 3)
	for i, full := range []int{leader, (leader + 1) % 3, (leader + 2) % 3} {
		disks[full].refuse(true)
		// The instance only learns of it when it has something to write.
		if !proposeToAny(all, "while-full-"+string(rune('a'+i)), bound) {
			t.Fatalf("disk %d of 3 is full, the others were full before: no change accepted within %v", i+1, bound)
		}
		time.Sleep(500 * time.Millisecond)
		if !all[full].View().DiskFailed {
			t.Fatalf("the full disk of instance %d was not noticed", full)
		}
		disks[full].refuse(false)
		time.Sleep(2 * time.Second)
	}
	if !proposeToAny(all, "after", bound) {
		t.Errorf("all disks take writes again: no change accepted within %v", bound)
	}
}

// TestInstanceFormedOnAFullDiskStaysOut guards against an instance whose disk was full when
// the cluster formed, and that never takes part afterwards.
func TestInstanceFormedOnAFullDiskStaysOut(t *testing.T) {
	q, f, stop := newSingle(t, t.TempDir(), func(f *failingDisk) { f.refuse(true) })
	defer stop()
	time.Sleep(time.Second)
	if q.View().Role == "leader" {
		t.Fatal("the instance leads although it could store nothing")
	}
	f.refuse(false)
	awaitLeader(t, q)
}

// TestLossAtFirstStartCostsTheQuorum guards against control instances that form no cluster since
// one of them is gone as all start for the first time.
func TestLossAtFirstStartCostsTheQuorum(t *testing.T) {
	t.Parallel()
	all, _, _ := startPart(t, 2, 3)
	if !proposeToAny(all, "a", 10*time.Second) {
		t.Error("two of three instances accept no change")
	}
}
