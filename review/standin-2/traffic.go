package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// traffic is the clients' requests.
type traffic struct {
	done     sync.WaitGroup
	mu       sync.Mutex
	statuses map[int]int
}

// Paths of the two kinds of requests: bookings run once at most, at the service booking;
// lookups may be repeated, at the service desk.
const (
	bookings = "/book/seat"
	lookups  = "/look/seat"
)

// startTraffic sends requests with a path to the gateways until ctx ends.
func (w *world) startTraffic(ctx context.Context, path string, interval time.Duration, gateways ...int) *traffic {
	t := &traffic{statuses: map[int]int{}}
	for _, n := range gateways {
		t.done.Add(1)
		go func() {
			defer t.done.Done()
			for i := 0; ctx.Err() == nil; i++ {
				t.done.Add(1)
				go func() {
					defer t.done.Done()
					attempt := fmt.Sprintf("%c%d-%06d", path[1], n, i)
					a := w.send(n, path, attempt)
					t.mu.Lock()
					defer t.mu.Unlock()
					t.statuses[a.status]++
					w.say("client: %s to edge-%d, answered %d %s", attempt, n, a.status, a.reason)
				}()
				time.Sleep(interval)
			}
		}()
	}
	return t
}

// share returns the share of requests that were served.
func share(statuses map[int]int) float64 {
	all := 0
	for _, n := range statuses {
		all += n
	}
	return float64(statuses[200]) / float64(max(all, 1))
}

// wait waits for the last answers and returns how many there were of each status.
func (t *traffic) wait() map[int]int {
	t.done.Wait()
	return t.statuses
}

// freeAddress returns a free address at a loopback IP.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
