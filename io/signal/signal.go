// Package signal lets one goroutine tell any number of others that something
// changed.
package signal

import "sync"

// Signal tells any number of waiters that something changed.
type Signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// New returns a signal that nobody has given yet.
func New() *Signal { return &Signal{ch: make(chan struct{})} }

// Changed returns a channel that closes at the next Give.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// Give wakes all who wait.
func (s *Signal) Give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
