package control

import (
	"context"
	"fmt"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// Read returns the leader's reply to a read that a quorum has confirmed. When ctx ends first,
// it returns the last reply without a result, and an error that says what each instance replied.
func (c *Client) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	last := &wire.ReadReply{Kind: registry.NoQuorum}
	latest := map[string]string{} // by address
	for ctx.Err() == nil {
		for _, address := range c.addressesToTry() {
			if ctx.Err() != nil {
				break
			}
			reply, err := call(ctx, c, address, func(ctx context.Context, instance wire.ControlClient) (*wire.ReadReply, error) {
				return instance.Read(ctx, request)
			})
			latest[address] = describeResult(address, reply.GetKind(), "", reply.GetLeader(), err)
			if err != nil {
				c.clearLeader(address)
				continue
			}
			if reply.GetKind() == "ok" || reply.GetKind() == "missing" {
				c.SetLeader(address)
				return reply, nil
			}
			if reply.GetKind() == registry.Redirect {
				c.SetLeader(reply.GetLeader())
			}
			last = reply
		}
		sleep(ctx, retryDelay)
	}
	return last, fmt.Errorf("no instance could confirm the read: %s", describeResults(latest))
}
