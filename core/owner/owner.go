// Package owner chooses the gateway that batches the pieces of all pools, the
// owner, from the point of view of one gateway.
//
// It covers gateways that stop, crash, freeze or are cut off while staged
// requests are running. Another gateway is chosen immediately. For a while two
// gateways may then batch at the same time, and their calls queue behind each
// other at the backend servers. SoleOwner tells a gateway that chooses itself
// whether that is ruled out.
package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// avoidTime is how long a gateway that was lost as the owner is not chosen
	// again: the control instances take as long to notice the loss.
	avoidTime = 4 * time.Second
	// soleOwnerDelay is how long after a disruption another gateway may still
	// act as the owner: gateways that lost this one choose it again after
	// avoidTime.
	soleOwnerDelay = avoidTime
)

// View is one gateway's view of which gateway is the owner.
type View struct {
	self       string
	gateways   []string                 // addresses
	avoidUntil map[string]time.Duration // by address of a lost gateway
	preferred  string                   // choice of a gateway that has lost no other
	disrupted  time.Duration            // latest time when others may have changed their choice
}

// New returns the view of the gateway at address self, which knows no other
// gateway yet.
func New(at time.Duration, self string) *View {
	return &View{self: self, gateways: []string{self}, avoidUntil: map[string]time.Duration{}, preferred: self, disrupted: at}
}

// SetGateways replaces the list of gateways. One that was not in the list before
// has restarted and is no longer avoided.
func (v *View) SetGateways(at time.Duration, addresses []string) {
	before := map[string]bool{}
	for _, address := range v.gateways {
		before[address] = true
	}
	for _, address := range addresses {
		if !before[address] {
			delete(v.avoidUntil, address)
		}
	}
	v.gateways = addresses
	if preferred := v.highestHash(func(string) bool { return true }); preferred != v.preferred {
		v.preferred, v.disrupted = preferred, at
	}
}

// MarkLost records that the connection to a gateway was lost while it was the
// owner.
func (v *View) MarkLost(at time.Duration, address string) { v.avoidUntil[address] = at + avoidTime }

// MarkDisrupted records that other gateways may choose a different owner from
// now on, because one of them went away or because this one was frozen.
func (v *View) MarkDisrupted(at time.Duration) { v.disrupted = at }

// Choose returns the address of the owner. All gateways that have the same list
// and have lost none of it choose the same one.
func (v *View) Choose(at time.Duration) string {
	return v.highestHash(func(address string) bool { return at >= v.avoidUntil[address] })
}

// SoleOwner reports whether this gateway is the owner and no other gateway can
// still be acting as one.
func (v *View) SoleOwner(at time.Duration) bool {
	return v.preferred == v.self && at-v.disrupted >= soleOwnerDelay
}

// highestHash returns the address with the highest hash among this gateway and
// the usable others.
func (v *View) highestHash(usable func(address string) bool) string {
	best, highest := v.self, uint64(0)
	for _, address := range v.gateways {
		if address != v.self && !usable(address) {
			continue
		}
		if hash := xxhash.Sum64String(address); hash > highest {
			best, highest = address, hash
		}
	}
	return best
}
