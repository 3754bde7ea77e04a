package memory_test

import (
	"errors"
	"testing"
	"time"

	"tanagerroad/core/memory"
)

const mib = 1 << 20

// scene is an account of 16 MiB, of which 4 are kept for small requests.
type scene struct {
	t        *testing.T
	account  *memory.Account
	listener *memory.Listener
	dropped  []string
}

func newScene(t *testing.T) *scene {
	account := memory.New(memory.DefaultConfig(16 * mib))
	return &scene{t: t, account: account, listener: account.NewListener(100, false)}
}

// open opens a connection that has sent the beginning of a request.
func (s *scene) open(now time.Duration, name, address string) *memory.Holder {
	s.t.Helper()
	h, err := s.listener.Open(now, address, func() { s.dropped = append(s.dropped, name) })
	if err != nil {
		s.t.Fatal(err)
	}
	h.StartReceiving(now)
	return h
}

func (s *scene) want(err, want error, dropped ...string) {
	s.t.Helper()
	if !errors.Is(err, want) {
		s.t.Errorf("got %v, want %v", err, want)
	}
	if len(dropped) != len(s.dropped) {
		s.t.Fatalf("dropped %v, want %v", s.dropped, dropped)
	}
	for i := range dropped {
		if dropped[i] != s.dropped[i] {
			s.t.Errorf("dropped %v, want %v", s.dropped, dropped)
		}
	}
}

// TestSmallRequestBesideLargeOnes guards against large bodies that take the memory that
// ordinary requests need: large ones are refused first, though none has stopped.
func TestSmallRequestBesideLargeOnes(t *testing.T) {
	s := newScene(t)
	for _, name := range []string{"a", "b"} {
		s.want(s.open(0, name, "1").Reserve(0, memory.Bodies, 4*mib), nil)
	}
	s.want(s.open(0, "c", "1").Reserve(0, memory.Bodies, 4*mib), memory.ErrFull)
	s.want(s.open(0, "small", "1").Reserve(0, memory.Bodies, 32<<10), nil)
}

// TestStoppedBodyIsDropped guards against bodies that stop short of their end and keep the
// memory: the one that wastes most goes, and none that goes on or has been read whole.
func TestStoppedBodyIsDropped(t *testing.T) {
	s := newScene(t)
	whole, stopped, slow := s.open(0, "whole", "1"), s.open(0, "stopped", "1"), s.open(0, "slow", "1")
	for _, h := range []*memory.Holder{whole, stopped, slow} {
		s.want(h.Reserve(0, memory.Bodies, 3*mib), nil)
	}
	s.want(whole.StartRunning(), nil)
	slow.Progress(1500 * time.Millisecond)
	s.want(s.open(2*time.Second, "new", "1").Reserve(2*time.Second, memory.Bodies, 4*mib), nil, "stopped")
	s.want(stopped.StartRunning(), memory.ErrDropped, "stopped")
	s.want(stopped.Reserve(2*time.Second, memory.Bodies, 1), memory.ErrDropped, "stopped")
}

// TestAddressThatHoldsMost guards against one address whose crowd makes others lose their
// requests.
func TestAddressThatHoldsMost(t *testing.T) {
	s := newScene(t)
	s.want(s.open(0, "other", "2").Reserve(0, memory.Bodies, 4*mib), nil)
	for _, name := range []string{"a", "b", "c"} {
		s.want(s.open(time.Second, name, "1").Reserve(time.Second, memory.Bodies, 2*mib), nil)
	}
	s.want(s.open(3*time.Second, "new", "3").Reserve(3*time.Second, memory.Bodies, 3*mib), nil, s.dropped...)
	if len(s.dropped) != 1 || s.dropped[0] == "other" {
		t.Errorf("dropped %v, want one of the address that holds most", s.dropped)
	}
}

// TestSlowCallerInCalm guards against a slow caller that is cut off although there is room.
func TestSlowCallerInCalm(t *testing.T) {
	s := newScene(t)
	slow := s.open(0, "slow", "1")
	s.want(slow.Reserve(0, memory.Bodies, 4*mib), nil)
	for i := range 100 {
		now := time.Duration(i) * time.Second
		h := s.open(now, "quick", "1")
		s.want(h.Reserve(now, memory.Bodies, 2*mib), nil)
		s.want(h.StartRunning(), nil)
		h.Close()
	}
	s.want(slow.StartRunning(), nil)
}

// TestFullListener guards against a crowd of connections that keeps new callers out, and
// against one listener's crowd that takes the connections of another.
func TestFullListener(t *testing.T) {
	s := newScene(t)
	other := s.open(0, "other", "1")
	s.listener = s.account.NewListener(2, true)
	a := s.open(0, "a", "1")
	s.want(a.StartRunning(), nil)
	s.open(0, "b", "1")
	s.open(time.Second, "c", "1")
	s.want(nil, nil, "b")
	s.want(other.Reserve(0, memory.Heads, 1), nil, "b")
}

// TestUnreadAnswerIsDropped guards against callers that read no answers and keep their
// memory: an answer is never refused its memory, and its connection goes once others need it.
func TestUnreadAnswerIsDropped(t *testing.T) {
	s := newScene(t)
	h := s.open(0, "unread", "1")
	s.want(h.StartRunning(), nil)
	s.want(h.Add(0, memory.Answers, 20*mib), nil)
	if !s.account.AnswersPressed() {
		t.Error("answers are still buffered whole")
	}
	h.StartSending(0)
	s.open(time.Second, "new", "2")
	s.want(nil, nil, "unread")
	if used := s.account.Used(memory.Answers); used != 0 {
		t.Errorf("%d bytes are still in use", used)
	}
}

// TestNothingStaysReserved guards against an account that fills up over time: all that a
// request reserved is free when it has ended.
func TestNothingStaysReserved(t *testing.T) {
	s := newScene(t)
	h := s.open(0, "a", "1")
	for _, use := range memory.Uses {
		s.want(h.Reserve(0, use, 1000), nil)
	}
	h.ReleaseBytes(memory.Bodies, 2000)
	h.StartIdle(0)
	h.Close()
	h.Close()
	for _, use := range memory.Uses {
		if used := s.account.Used(use); used != 0 {
			t.Errorf("%v: %d bytes are still in use", use, used)
		}
	}
	if n := s.listener.Connections(); n != 0 {
		t.Errorf("%d connections, want none", n)
	}
}
