package quorum_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"tanagerroad"
	"tanagerroad/core/registry"
	"tanagerroad/core/settings"
	"tanagerroad/io/demo"
	"tanagerroad/io/disk"
	"tanagerroad/io/peer"
	"tanagerroad/io/quorum"
)

// TestUnformedInstanceIsSilent guards against an instance that waits to form or to join a
// cluster, for ever if need be, and logs nothing of it.
func TestUnformedInstanceIsSilent(t *testing.T) {
	addresses, err := demo.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zapcore.DebugLevel)
	s := settings.DefaultControl()
	s.Common = settings.Common{Process: "control", Zone: "a", Region: "west"}
	s.Peer.Address, s.Instances, s.OpenMembership, s.Bootstrap = addresses[0], addresses, true, false
	d, closeDisk, err := disk.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closeDisk() }()
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	defer closeConns()
	_, closeQuorum, err := quorum.New(quorum.Config{
		Settings: s, Registry: registry.DefaultConfig(), Disk: d, Clock: tanagerroad.NewSystemClock(), Conns: conns, Logger: zap.New(core),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuorum()
	time.Sleep(6 * time.Second)
	if logs.Len() == 0 {
		t.Error("an instance with an empty disk has known nobody for 6 s and has logged nothing")
	}
}
