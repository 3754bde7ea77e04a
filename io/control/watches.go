package control

import (
	"context"
	"slices"
	"sync"
)

// WatchSet keeps one watch open to each of a set of control instances.
type WatchSet struct {
	ctx        context.Context
	newWatcher func(address string) Watcher
	group      sync.WaitGroup
	mu         sync.Mutex
	cancels    map[string]func()
}

// NewWatchSet returns an empty set, and a function that ends all watches and waits for
// them. newWatcher returns the watcher for an address.
func NewWatchSet(newWatcher func(address string) Watcher) (*WatchSet, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &WatchSet{ctx: ctx, newWatcher: newWatcher, cancels: map[string]func(){}}
	return w, func() {
		cancel()
		w.group.Wait()
	}
}

// SetAddresses starts and ends watches so that exactly these addresses are watched. It
// returns the addresses that are no longer watched.
func (w *WatchSet) SetAddresses(addresses []string) (stopped []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, cancelWatch := range w.cancels {
		if !slices.Contains(addresses, address) {
			cancelWatch()
			delete(w.cancels, address)
			stopped = append(stopped, address)
		}
	}
	for _, address := range addresses {
		if w.cancels[address] != nil || w.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		w.cancels[address] = cancel
		watcher := w.newWatcher(address)
		w.group.Go(func() { watcher.Watch(ctx, []string{address}) })
	}
	return stopped
}
