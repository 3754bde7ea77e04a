// Package signal provides a broadcast to any number of goroutines.
package signal

import "sync"

// Signal wakes any number of waiters when something has changed. A waiter calls Changed
// before it reads the state, and then waits for the channel, so that it misses no
// change.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// New returns a Signal.
func New() *Signal { return &Signal{ch: make(chan struct{})} }

// Changed returns a channel that closes at the next broadcast.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// Broadcast wakes all waiters: it closes the channel that Changed returned to them.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
