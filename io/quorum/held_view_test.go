package quorum_test

import (
	"testing"
	"time"
)

// TestHeldInstanceClaimsToBeCaughtUp guards against an instance that holds its output and
// still reports that it has applied all that its leader has committed: control.Service sends
// the evacuations of such an instance to gateways that start.
func TestHeldInstanceClaimsToBeCaughtUp(t *testing.T) {
	all, disks, leader := startCluster(t, 3)
	held := (leader + 1) % 3
	if !proposeToAny(all, "before", 5*time.Second) {
		t.Fatal("no change accepted")
	}
	disks[held].refuse(true)
	for i := range 5 {
		if !proposeToAny(all, "while-full-"+string(rune('a'+i)), 5*time.Second) {
			t.Fatal("no change accepted beside one full disk")
		}
	}
	time.Sleep(3 * time.Second)
	if v := all[held].View(); v.DiskFailed && v.CaughtUp {
		t.Error("the instance has been held for 3 s and reports that it is caught up")
	}
}
