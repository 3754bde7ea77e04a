// Package owner chooses the gateway that batches the pieces of a shard, its owner,
// from the point of view of one gateway.
//
// It covers gateways that stop, crash, freeze or are cut off while staged
// requests are running. Another gateway is chosen immediately. For a while two
// gateways may then batch at the same time, and their calls queue behind each
// other at the backend servers. SoleOwner tells a gateway that chooses itself
// whether that is ruled out.
//
// It also covers deployments whose gateways differ in size: a shard goes to a gateway
// that has the link and the processor for it, in a zone of its backend servers, and
// several shards go to several gateways.
package owner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/shard"
)

const (
	// avoidTime is how long a gateway that was lost as an owner is not chosen
	// again: the control instances take as long to notice the loss.
	avoidTime = 4 * time.Second
	// soleOwnerDelay is how long after a disruption another gateway may still
	// act as the owner: gateways that lost this one choose it again after
	// avoidTime.
	soleOwnerDelay = avoidTime
	// usableShare is the share of a gateway's capacity that shards may take. The
	// rest is for its own requests, and for bursts.
	usableShare = 0.5
)

// What a piece costs its owner: encoding and decoding it, and its share of the messages
// to and from other gateways and the backend server.
const (
	processorPerPiece = 60 * time.Microsecond
	bytesPerPiece     = 400
)

// Capacity returns how many pieces a second a gateway can batch that has the given share
// of a processor and bandwidth, in Mbit/s. A value of 0 is unknown and sets no limit; the
// capacity is 0 if both are unknown.
func Capacity(processor, linkMbps float64) float64 {
	byProcessor := processor / processorPerPiece.Seconds()
	byLink := linkMbps * 1e6 / 8 / bytesPerPiece
	switch {
	case processor <= 0:
		return byLink
	case linkMbps <= 0:
		return byProcessor
	}
	return min(byProcessor, byLink)
}

// View is one gateway's view of which gateways are the owners.
type View struct {
	self       tanagerroad.Gateway
	gateways   []tanagerroad.Gateway
	shards     []shard.Shard
	avoidUntil map[string]time.Duration // by address of a lost gateway
	chosen     map[string]string        // owner by shard, without the avoided gateways
	stale      bool                     // chosen must be computed again
	preferred  map[string]string        // choice of a gateway that has lost no other, by shard
	changed    map[string]time.Duration // latest change of preferred, by shard
	disrupted  time.Duration            // latest time when others may have changed their choices
}

// New returns the view of a gateway that knows no other gateway yet, and a single
// shard without a name.
func New(at time.Duration, self tanagerroad.Gateway) *View {
	v := &View{self: self, gateways: []tanagerroad.Gateway{self}, shards: []shard.Shard{{}}, avoidUntil: map[string]time.Duration{}, changed: map[string]time.Duration{}, disrupted: at}
	v.prefer(at)
	return v
}

// SetGateways replaces the list of gateways. One that was not in the list before
// has restarted and is no longer avoided.
func (v *View) SetGateways(at time.Duration, gateways []tanagerroad.Gateway) {
	before := map[string]bool{}
	for _, g := range v.gateways {
		before[g.Address] = true
	}
	for _, g := range gateways {
		if !before[g.Address] {
			delete(v.avoidUntil, g.Address)
		}
	}
	v.gateways = gateways
	v.prefer(at)
}

// SetShards replaces the list of shards.
func (v *View) SetShards(at time.Duration, shards []shard.Shard) {
	v.shards = shards
	v.prefer(at)
}

// prefer computes the preferred owners and records which have changed.
func (v *View) prefer(at time.Duration) {
	next := v.place(v.gateways)
	for name, address := range next {
		if v.preferred[name] != address {
			v.changed[name] = at
		}
	}
	v.preferred, v.stale = next, true
}

// MarkLost records that the connection to a gateway was lost while it was an
// owner.
func (v *View) MarkLost(at time.Duration, address string) {
	v.avoidUntil[address], v.stale = at+avoidTime, true
}

// MarkDisrupted records that other gateways may choose different owners from
// now on, because one of them went away or because this one was frozen.
func (v *View) MarkDisrupted(at time.Duration) { v.disrupted = at }

// Choose returns the address of a shard's owner. All gateways that have the same
// lists and have lost none of the gateways choose the same one. Without the shard in
// the list, this gateway is chosen.
func (v *View) Choose(at time.Duration, shard string) string {
	for address, until := range v.avoidUntil {
		if at >= until {
			delete(v.avoidUntil, address)
			v.stale = true
		}
	}
	if v.stale {
		v.chosen = v.place(slices.DeleteFunc(slices.Clone(v.gateways), func(g tanagerroad.Gateway) bool {
			return g.Address != v.self.Address && at < v.avoidUntil[g.Address]
		}))
		v.stale = false
	}
	if address, ok := v.chosen[shard]; ok {
		return address
	}
	return v.self.Address
}

// SoleOwner reports whether this gateway is the owner of a shard and no other gateway
// can still be acting as one.
func (v *View) SoleOwner(at time.Duration, shard string) bool {
	return v.preferred[shard] == v.self.Address && at-max(v.disrupted, v.changed[shard]) >= soleOwnerDelay
}

// place chooses an owner for each shard among the given gateways: one in the shard's
// zones if there is any, and one with enough capacity left if there is any. Of several,
// the highest hash decides.
func (v *View) place(gateways []tanagerroad.Gateway) map[string]string {
	out := map[string]string{}
	load := map[string]float64{} // pieces a second placed so far, by address
	for _, s := range v.shards {
		candidates := slices.DeleteFunc(slices.Clone(gateways), func(g tanagerroad.Gateway) bool { return !slices.Contains(s.Zones, g.Zone) })
		if len(candidates) == 0 {
			candidates = gateways
		}
		if len(candidates) == 0 {
			candidates = []tanagerroad.Gateway{v.self}
		}
		best := slices.MaxFunc(candidates, func(a, b tanagerroad.Gateway) int {
			return cmp.Or(
				cmp.Compare(fit(a, load[a.Address], s), fit(b, load[b.Address], s)),
				cmp.Compare(xxhash.Sum64String(s.Name+a.Address), xxhash.Sum64String(s.Name+b.Address)),
				cmp.Compare(a.Address, b.Address),
			)
		})
		out[s.Name] = best.Address
		load[best.Address] += s.PiecesPerSecond
	}
	return out
}

// fit returns how well a gateway that has some load already can carry a shard: 1 if it
// fits into the usable part of its capacity, and less the more it is overloaded. The
// value is rounded, so that small differences don't decide.
func fit(g tanagerroad.Gateway, load float64, s shard.Shard) float64 {
	if g.Capacity <= 0 || load+s.PiecesPerSecond <= 0 {
		return 1
	}
	share := usableShare * g.Capacity / (load + s.PiecesPerSecond)
	return min(1, math.Exp2(math.Floor(math.Log2(share))))
}
