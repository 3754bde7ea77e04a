package control

import (
	"context"
	"slices"
	"sync"
)

// Watches keeps one watch at each of a set of control instances.
type Watches struct {
	ctx   context.Context
	at    func(address string) Watcher
	group sync.WaitGroup
	mu    sync.Mutex
	stops map[string]func()
}

// NewWatches returns an empty set and the function that ends all watches. at
// makes the watch at an address.
func NewWatches(at func(address string) Watcher) (*Watches, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watches{ctx: ctx, at: at, stops: map[string]func(){}}
	return w, func() {
		cancel()
		w.group.Wait()
	}
}

// Set watches exactly these addresses, and returns those that it has stopped
// watching.
func (w *Watches) Set(addresses []string) (stopped []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, stop := range w.stops {
		if !slices.Contains(addresses, address) {
			stop()
			delete(w.stops, address)
			stopped = append(stopped, address)
		}
	}
	for _, address := range addresses {
		if w.stops[address] != nil || w.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		w.stops[address] = cancel
		watcher := w.at(address)
		w.group.Go(func() { watcher.Watch(ctx, []string{address}) })
	}
	return stopped
}
