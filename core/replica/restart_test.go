package replica_test

import (
	"testing"
	"time"

	"tanagerroad/core/replica"
	"tanagerroad/core/wire"
)

// TestNobodyLeadsAfterRestartOfAll guards against replicas that wait for a leader's silence
// although all of them have just started.
func TestNobodyLeadsAfterRestartOfAll(t *testing.T) {
	const (
		timeout = 600 * time.Millisecond
		tick    = 5 * time.Millisecond
		delay   = 8 * time.Millisecond
		runs    = 200
	)
	var total time.Duration
	for run := range runs {
		members := []*wire.Member{{Id: "a", Address: "a", Voter: true}, {Id: "b", Address: "b", Voter: true}, {Id: "c", Address: "c", Voter: true}}
		replicas, started := map[string]*replica.Replica{}, map[string]time.Duration{}
		type message struct {
			at time.Duration
			m  *wire.Message
		}
		var inFlight []message
		led := time.Duration(0)
		for now := time.Duration(0); led == 0; now += tick {
			if now > 10*timeout {
				t.Fatalf("run %d: no leader after %v", run, now)
			}
			for i, member := range members {
				id := member.GetId()
				if started[id] = time.Duration(i) * 80 * time.Millisecond; now < started[id] {
					continue
				}
				if replicas[id] == nil {
					replicas[id] = replica.New(replica.Config{
						ID: id, Address: id, ElectionTimeout: timeout, HeartbeatInterval: 150 * time.Millisecond, Seed: uint64(run*7919 + i*104729 + 1), MaxEntries: 8, MaxChunkBytes: 1 << 10,
					}, now, replica.Stored{HardState: &wire.HardState{Term: 3}, Snapshot: &wire.SnapshotMark{Index: 5, Term: 3, Members: members}})
				}
				replicas[id].Tick(now)
			}
			var later []message
			for _, m := range inFlight {
				if r := replicas[m.m.GetTo()]; m.at > now {
					later = append(later, m)
				} else if r != nil {
					r.Step(now, m.m)
				}
			}
			inFlight = later
			for _, r := range replicas {
				for _, m := range r.TakeOutput().Send {
					inFlight = append(inFlight, message{now + delay, m})
				}
				if r.Role() == replica.Leader && led == 0 {
					led = now - started["c"]
				}
			}
		}
		total += led
	}
	if mean := total / runs; mean > timeout {
		t.Errorf("a leader %v after the last start on the mean of %d runs, want %v at most", mean, runs, timeout)
	} else {
		t.Logf("mean %v", mean)
	}
}
