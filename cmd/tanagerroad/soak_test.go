package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tanagerroad/io/relay"
)

// A longer run: go test ./cmd/tanagerroad -run TestSoak -soak.seed=7 -soak.time=2m
var (
	soakSeed = flag.Uint64("soak.seed", 20261204, "seed of the random schedule of faults")
	soakTime = flag.Duration("soak.time", 20*time.Second, "how long faults are injected")
)

// soak is a system under a random schedule of faults. At any time at most one control
// instance and one process of another role have a fault.
type soak struct {
	*system
	rng      *rand.Rand
	revision uint64   // of the tables
	faultLog []string // faults so far, with their times
}

// fault is a kind of fault. begin injects it at a process and returns a function that ends
// it.
type fault struct {
	name  string
	begin func(s *soak, process string) (end func())
}

// faults are the kinds of faults that are drawn from. The first three need no relay.
var faults = []fault{
	{"stop", func(s *soak, p string) func() {
		s.stop(p)
		return func() { s.restart(p) }
	}},
	{"kill", func(s *soak, p string) func() {
		s.kill(p)
		return func() { s.restart(p) }
	}},
	{"freeze", func(s *soak, p string) func() {
		s.signal(p, syscall.SIGSTOP)
		return func() { s.signal(p, syscall.SIGCONT) }
	}},
	{"delay", func(s *soak, p string) func() {
		s.relays[p].Delay(time.Duration(20+s.rng.IntN(200)) * time.Millisecond)
		return func() { s.relays[p].Delay(0) }
	}},
	{"reset", func(s *soak, p string) func() {
		s.relays[p].Reset()
		return func() { s.relays[p].Reset() }
	}},
	// Established connections stay silent for good, as if a firewall had lost track of them.
	{"lost-track", func(s *soak, p string) func() {
		s.relays[p].Freeze()
		return func() {}
	}},
	{"one-way", func(s *soak, p string) func() {
		s.relays[p].Blackhole(relay.Direction(s.rng.IntN(2)))
		return func() { s.relays[p].Blackhole() }
	}},
	{"cut", func(s *soak, p string) func() {
		s.relays[p].Blackhole(relay.ToTarget, relay.ToClient)
		return func() { s.relays[p].Blackhole() }
	}},
}

// restart starts a process and waits until it listens. A SIGTERM before that would hit a
// program that has not installed its signal handler yet.
func (s *soak) restart(p string) {
	s.start(p)
	data, err := os.ReadFile(filepath.Join(s.dir, p+".json"))
	if err != nil {
		s.t.Fatal(err)
	}
	var config struct{ Peer, Caller struct{ Address string } }
	if err := json.Unmarshal(data, &config); err != nil {
		s.t.Fatal(err)
	}
	s.await(p+" to listen", func() bool {
		conn, err := net.Dial("tcp", cmp.Or(config.Peer.Address, config.Caller.Address))
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
}

// wipe kills a control instance and removes its data directory. It is allowed only while
// all control instances vote.
func (s *soak) wipe(p string) func() {
	s.kill(p)
	if err := os.RemoveAll(filepath.Join(s.dir, p)); err != nil {
		s.t.Fatal(err)
	}
	return func() { s.restart(p) }
}

// injectFault injects a random fault at a process and returns a function that ends it.
func (s *soak) injectFault(p string, mayWipe bool) func() {
	if mayWipe && s.rng.IntN(6) == 0 {
		s.record("wipe", p)
		return s.wipe(p)
	}
	kinds := faults
	if s.relays[p] == nil {
		kinds = faults[:3] // entries have no relay: only stop, kill and freeze
	}
	f := kinds[s.rng.IntN(len(kinds))]
	s.record(f.name, p)
	return f.begin(s, p)
}

// record adds a fault to faultLog.
func (s *soak) record(what, p string) {
	s.faultLog = append(s.faultLog, fmt.Sprintf("%s %s %s", time.Now().UTC().Format(time.StampMilli), what, p))
}

// changeTables puts new tables.
func (s *soak) changeTables() {
	s.revision = s.put(fmt.Sprintf("soak-%d", s.revision), s.revision, int(s.revision))
}

// round injects a fault at a control instance, at a process of another role, or at both,
// changes the tables meanwhile, and ends the faults.
func (s *soak) round() {
	var ends []func()
	if s.rng.IntN(3) > 0 {
		s.awaitVoters(3) // a lost disk of an earlier round must be repaired first
		ends = append(ends, s.injectFault(fmt.Sprintf("control-%d", s.rng.IntN(3)), true))
	}
	if s.rng.IntN(3) > 0 || len(ends) == 0 {
		others := []string{"entry-0", "entry-1", "sidecar-0", "sidecar-1", "sidecar-2", "sidecar-3", "sidecar-4", "sidecar-5"}
		ends = append(ends, s.injectFault(others[s.rng.IntN(len(others))], false))
	}
	s.changeTables()
	time.Sleep(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	for _, end := range ends {
		end()
	}
	time.Sleep(time.Duration(s.rng.IntN(500)) * time.Millisecond)
}

// TestSoak books and changes the tables without pause under random faults: kills, stops,
// freezes, lost disks, and connections that are slow, reset, silent for good or silent in
// one direction. No booking may run twice, every answer must match what ran and have the
// body of its own request, and every change must be accepted once and be in force
// everywhere within maxInForceTime of the last fault's end.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	y := newSystem(t)
	y.relays = map[string]*relay.Relay{}
	s := &soak{system: y.startAll(), rng: rand.New(rand.NewPCG(*soakSeed, 0)), revision: 1}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: %q", *soakSeed, s.faultLog)
		}
	})
	stopAndCheck := s.startBookings(4)
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.round()
	}
	s.awaitVoters(3)
	s.wantInForce(s.revision, 8)
	stopAndCheck()
	s.checkLog(s.revision)
	var ok, bad atomic.Int64
	for n := range 6 {
		s.sendRequest(0, 3*n, &ok, &bad)
	}
	t.Logf("seed %d: %d changes under %q", *soakSeed, s.revision, s.faultLog)
}
