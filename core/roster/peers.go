package roster

import (
	"cmp"
	"slices"
	"time"

	"tanagerroad"
)

// peerListMaxAge is the age above which a control instance's list of gateways is
// ignored. Control instances send their list every second.
const peerListMaxAge = 2500 * time.Millisecond

// PeerList is the list of gateways connected to one control instance.
type PeerList struct {
	ReceivedAt time.Duration // time of the control instance's latest message
	Gateways   []tanagerroad.Gateway
}

// Peers returns the union of the recent lists of gateways and self, sorted by address.
// Of a gateway that several lists describe, the latest list counts. Old lists are left
// out: the last list of a control instance whose host froze still names the gateways
// on that host.
func Peers(at time.Duration, self tanagerroad.Gateway, lists []PeerList) []tanagerroad.Gateway {
	lists = slices.Clone(lists)
	slices.SortStableFunc(lists, func(a, b PeerList) int { return cmp.Compare(b.ReceivedAt, a.ReceivedAt) })
	all := []tanagerroad.Gateway{self}
	for _, l := range lists {
		if at-l.ReceivedAt < peerListMaxAge {
			all = append(all, l.Gateways...)
		}
	}
	slices.SortStableFunc(all, func(a, b tanagerroad.Gateway) int { return cmp.Compare(a.Address, b.Address) })
	return slices.CompactFunc(all, func(a, b tanagerroad.Gateway) bool { return a.Address == b.Address })
}
