package roster

import (
	"slices"
	"time"
)

// peerListMaxAge is the age above which a control instance's list of gateways is
// ignored. Control instances send their list every second.
const peerListMaxAge = 2500 * time.Millisecond

// PeerList is the list of gateways connected to one control instance.
type PeerList struct {
	ReceivedAt time.Duration // time of the control instance's latest message
	Gateways   []string
}

// Peers returns the sorted union of the recent lists of gateways and self. Old
// lists are left out: the last list of a control instance whose host froze still
// names the gateways on that host.
func Peers(at time.Duration, self string, lists []PeerList) []string {
	all := []string{self}
	for _, l := range lists {
		if at-l.ReceivedAt < peerListMaxAge {
			all = append(all, l.Gateways...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
