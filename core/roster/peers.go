package roster

import (
	"slices"
	"time"
)

// peersFresh is the silence after which a control instance's list of gateways
// is not used: it speaks each second.
const peersFresh = 2500 * time.Millisecond

// PeerList is the gateways that one control instance hears.
type PeerList struct {
	Heard    time.Duration // when the control instance spoke last
	Gateways []string
}

// Peers joins what control instances say that were heard a moment ago, and self.
// One that is frozen would go on naming its neighbours, and itself.
func Peers(at time.Duration, self string, lists []PeerList) []string {
	all := []string{self}
	for _, l := range lists {
		if at-l.Heard < peersFresh {
			all = append(all, l.Gateways...)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
