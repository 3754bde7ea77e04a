// Package owner decides which gateway gathers the pieces of all pools, as one
// gateway sees it. It answers gateways that stop, die, freeze or are cut off
// while staged requests go on: another is asked at once, and while two may be
// gathering at the same time the one that asks itself knows it, since calls then
// stand behind each other's at the backend servers.
package owner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// avoidTime is how long a gateway that was lost as an owner is not asked
	// again: the control instances take as long to notice.
	avoidTime = 4 * time.Second
	// aloneAfter is how long after a disturbance another gateway may still be
	// gathering: those that lost this one come back to it after avoidTime.
	aloneAfter = avoidTime
)

// Owner is one gateway's view of who gathers.
type Owner struct {
	self      string
	known     []string
	avoid     map[string]time.Duration // until then
	first     string                   // whom all should ask that have lost nobody
	disturbed time.Duration            // when others may last have begun to ask another
}

// New returns the view of the gateway at address self, which knows no other.
func New(at time.Duration, self string) *Owner {
	return &Owner{self: self, known: []string{self}, avoid: map[string]time.Duration{}, first: self, disturbed: at}
}

// Know replaces the gateways that are there. One that is new among them has
// started again, so that it is asked as any other.
func (o *Owner) Know(at time.Duration, gateways []string) {
	had := map[string]bool{}
	for _, address := range o.known {
		had[address] = true
	}
	for _, address := range gateways {
		if !had[address] {
			delete(o.avoid, address)
		}
	}
	o.known = gateways
	if first := o.heaviest(func(string) bool { return true }); first != o.first {
		o.first, o.disturbed = first, at
	}
}

// Lost notes that a gateway went away while it was asked.
func (o *Owner) Lost(at time.Duration, address string) { o.avoid[address] = at + avoidTime }

// Disturbed notes that others may ask another gateway from now on: one of them
// went away, or this one has stood still.
func (o *Owner) Disturbed(at time.Duration) { o.disturbed = at }

// Choose is the gateway to ask: the same at all that know the same ones and have
// lost none of them.
func (o *Owner) Choose(at time.Duration) string {
	return o.heaviest(func(address string) bool { return at >= o.avoid[address] })
}

// Alone reports whether this gateway gathers and no other can be gathering.
func (o *Owner) Alone(at time.Duration) bool {
	return o.first == o.self && at-o.disturbed >= aloneAfter
}

func (o *Owner) heaviest(usable func(address string) bool) string {
	best, most := o.self, uint64(0)
	for _, address := range o.known {
		if address != o.self && !usable(address) {
			continue
		}
		if weight := xxhash.Sum64String(address); weight > most {
			best, most = address, weight
		}
	}
	return best
}
