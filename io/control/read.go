package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// readResult is an instance's reply to a read, or why there is none.
type readResult struct {
	address string
	reply   *wire.ReadReply
	err     error
}

// Read returns the leader's reply to a read that a quorum has confirmed. The instances are
// asked in turn, the next one also when one has not replied for readHedgeDelay, so that one
// that hangs does not use up the time. When ctx ends first, Read returns the last reply without
// a result, and an error that says what each instance replied.
func (c *Client) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	var calls sync.WaitGroup
	defer calls.Wait() // the next read must not use a connection that they replace
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	last := &wire.ReadReply{Kind: registry.NoQuorum}
	latest := map[string]string{} // by address
	pending := map[string]bool{}  // calls without a reply
	results := make(chan readResult)
	var queue []string
	var tried map[string]bool // in this round
	newRound := func() { queue, tried = c.addressesToTry(), map[string]bool{} }
	newRound()
	for ctx.Err() == nil {
		if len(queue) == 0 && len(pending) == 0 {
			sleep(ctx, retryDelay)
			newRound()
		}
		if len(queue) > 0 {
			address := queue[0]
			queue = queue[1:]
			if pending[address] || tried[address] {
				continue
			}
			pending[address], tried[address], latest[address] = true, true, address+": no reply"
			calls.Go(func() {
				reply, err := call(ctx, c, address, func(ctx context.Context, instance wire.ControlClient) (*wire.ReadReply, error) {
					return instance.Read(ctx, request)
				})
				select {
				case results <- readResult{address, reply, err}:
				case <-ctx.Done():
				}
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(readHedgeDelay):
			if len(queue) == 0 {
				newRound() // those that have replied may know more by now
			}
		case r := <-results:
			delete(pending, r.address)
			latest[r.address] = describeResult(r.address, r.reply.GetKind(), "", r.reply.GetLeader(), r.err)
			switch {
			case r.err != nil:
				c.clearLeader(r.address)
			case r.reply.GetKind() == "ok" || r.reply.GetKind() == "missing":
				c.SetLeader(r.address)
				return r.reply, nil
			case r.reply.GetKind() == registry.Redirect:
				c.SetLeader(r.reply.GetLeader())
				queue = slices.Insert(slices.Clone(queue), 0, r.reply.GetLeader())
				last = r.reply
			default:
				last = r.reply
			}
		}
	}
	return last, fmt.Errorf("no instance could confirm the read: %s", describeResults(latest))
}
