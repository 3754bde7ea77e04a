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

// A longer soak, by hand: go test ./cmd/tanagerroad -run TestSoak -soak.seed=7 -soak.time=2m
var (
	soakSeed = flag.Uint64("soak.seed", 20261204, "what the schedule of faults is drawn from")
	soakTime = flag.Duration("soak.time", 20*time.Second, "how long faults are made")
)

// soak is a system under a drawn schedule of faults. At most one control instance
// is harmed at a time, and one process beside it.
type soak struct {
	*system
	draw     *rand.Rand
	revision uint64
	log      []string
}

// fault begins a harm and returns what ends it.
type fault struct {
	name  string
	begin func(s *soak, process string) (end func())
}

var faults = []fault{
	{"stop", func(s *soak, p string) func() {
		s.stop(p)
		return func() { s.back(p) }
	}},
	{"kill", func(s *soak, p string) func() {
		s.kill(p)
		return func() { s.back(p) }
	}},
	{"freeze", func(s *soak, p string) func() {
		s.signal(p, syscall.SIGSTOP)
		return func() { s.signal(p, syscall.SIGCONT) }
	}},
	{"delay", func(s *soak, p string) func() {
		s.relays[p].Delay(time.Duration(20+s.draw.IntN(200)) * time.Millisecond)
		return func() { s.relays[p].Delay(0) }
	}},
	{"reset", func(s *soak, p string) func() {
		s.relays[p].Reset()
		return func() { s.relays[p].Reset() }
	}},
	{"lost-track", func(s *soak, p string) func() {
		s.relays[p].Freeze()
		return func() {}
	}},
	{"one-way", func(s *soak, p string) func() {
		s.relays[p].Blackhole(relay.Direction(s.draw.IntN(2)))
		return func() { s.relays[p].Blackhole() }
	}},
	{"cut", func(s *soak, p string) func() {
		s.relays[p].Blackhole(relay.ToTarget, relay.ToClient)
		return func() { s.relays[p].Blackhole() }
	}},
}

// back starts a process and waits until it listens: before that a stop only finds
// a program that has not begun.
func (s *soak) back(p string) {
	s.start(p)
	data, err := os.ReadFile(filepath.Join(s.folder, p+".json"))
	if err != nil {
		s.t.Fatal(err)
	}
	var where struct{ Peer, Caller struct{ Address string } }
	if err := json.Unmarshal(data, &where); err != nil {
		s.t.Fatal(err)
	}
	s.await(p+" to listen", func() bool {
		conn, err := net.Dial("tcp", cmp.Or(where.Peer.Address, where.Caller.Address))
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
}

// wipe loses a control instance's disk. It may be done while all vote.
func (s *soak) wipe(p string) func() {
	s.kill(p)
	if err := os.RemoveAll(filepath.Join(s.folder, p)); err != nil {
		s.t.Fatal(err)
	}
	return func() { s.back(p) }
}

// harm makes one fault at a process and returns what ends it.
func (s *soak) harm(p string, mayWipe bool) func() {
	if mayWipe && s.draw.IntN(6) == 0 {
		s.note("wipe", p)
		return s.wipe(p)
	}
	all := faults
	if s.relays[p] == nil {
		all = faults[:3] // entries have no relay
	}
	f := all[s.draw.IntN(len(all))]
	s.note(f.name, p)
	return f.begin(s, p)
}

func (s *soak) note(what, p string) {
	s.log = append(s.log, fmt.Sprintf("%s %s %s", time.Now().UTC().Format(time.StampMilli), what, p))
}

func (s *soak) change() {
	s.revision = s.put(fmt.Sprintf("soak-%d", s.revision), s.revision, int(s.revision))
}

// round harms a control instance or another process, or both, and makes a change
// meanwhile.
func (s *soak) round() {
	var ends []func()
	if s.draw.IntN(3) > 0 {
		s.awaitVoters(3) // the last loss is repaired
		ends = append(ends, s.harm(fmt.Sprintf("control-%d", s.draw.IntN(3)), true))
	}
	if s.draw.IntN(3) > 0 || len(ends) == 0 {
		others := []string{"entry-0", "entry-1", "sidecar-0", "sidecar-1", "sidecar-2", "sidecar-3", "sidecar-4", "sidecar-5"}
		ends = append(ends, s.harm(others[s.draw.IntN(len(others))], false))
	}
	s.change()
	time.Sleep(time.Duration(s.draw.IntN(2000)) * time.Millisecond)
	for _, end := range ends {
		end()
	}
	time.Sleep(time.Duration(s.draw.IntN(500)) * time.Millisecond)
}

// TestSoak books and changes the tables without pause under drawn faults: kills,
// stops, freezes, lost disks, and connections that are slow, reset, silent for
// good or in one direction. No booking runs twice, every answer is true and its
// request's own, every change is accepted once and in force everywhere within the
// bound of the last fault's end.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	y := newSystem(t)
	y.relays = map[string]*relay.Relay{}
	s := &soak{system: y.startAll(), draw: rand.New(rand.NewPCG(*soakSeed, 0)), revision: 1}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: %q", *soakSeed, s.log)
		}
	})
	judge := s.bookers(4)
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.round()
	}
	s.awaitVoters(3)
	s.wantInForce(s.revision, 8)
	judge()
	s.checkLog(s.revision)
	var ok, bad atomic.Int64
	for n := range 6 {
		s.one(0, 3*n, &ok, &bad)
	}
	t.Logf("seed %d: %d changes under %q", *soakSeed, s.revision, s.log)
}
