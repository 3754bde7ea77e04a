package owner_test

import (
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/owner"
)

// gateways describes gateways of one zone and unknown capacity.
func gateways(addresses ...string) []tanagerroad.Gateway {
	var out []tanagerroad.Gateway
	for _, address := range addresses {
		out = append(out, tanagerroad.Gateway{Address: address, Zone: "z"})
	}
	return out
}

// order returns the addresses in order of preference. It finds them by removing
// the chosen gateway from the list until one remains.
func order(t *testing.T, addresses ...string) []string {
	t.Helper()
	var out []string
	for rest := addresses; len(rest) > 1; {
		v := owner.New(0, gateways(rest[0])[0])
		v.SetGateways(0, gateways(rest...))
		first := v.Choose(0, "")
		out = append(out, first)
		var next []string
		for _, a := range rest {
			if a != first {
				next = append(next, a)
			}
		}
		rest = next
		if len(rest) == 1 {
			out = append(out, rest[0])
		}
	}
	return out
}

func TestGatewaysChooseSameOwner(t *testing.T) {
	all := []string{"a:1", "b:1", "c:1", "d:1"}
	want := order(t, all...)[0]
	for _, self := range all {
		v := owner.New(0, gateways(self)[0])
		v.SetGateways(0, gateways(all...))
		if got := v.Choose(0, ""); got != want {
			t.Errorf("%s chooses %s, want %s", self, got, want)
		}
	}
}

// TestLostOwner checks that a lost owner is replaced immediately, and chosen
// again after a while or as soon as it has restarted.
func TestLostOwner(t *testing.T) {
	all := []string{"a:1", "b:1", "c:1", "d:1"}
	ranked := order(t, all...)
	v := owner.New(0, gateways(ranked[3])[0])
	v.SetGateways(0, gateways(all...))
	v.MarkLost(time.Second, ranked[0])
	if got := v.Choose(time.Second, ""); got != ranked[1] {
		t.Errorf("after the loss: chose %s, want %s", got, ranked[1])
	}
	if got := v.Choose(6*time.Second, ""); got != ranked[0] {
		t.Errorf("5 s after the loss: chose %s, want %s again", got, ranked[0])
	}
	v.MarkLost(10*time.Second, ranked[0])
	v.SetGateways(11*time.Second, gateways(ranked[1:]...))
	v.SetGateways(12*time.Second, gateways(all...))
	if got := v.Choose(12*time.Second, ""); got != ranked[0] {
		t.Errorf("after its restart: chose %s, want %s", got, ranked[0])
	}
}

// TestSoleOwner checks that a gateway does not claim to be the only owner while
// others may still use a different one: after a start, while a preferred gateway
// is still listed or has only just left, and after a freeze.
func TestSoleOwner(t *testing.T) {
	all := []string{"a:1", "b:1", "c:1"}
	ranked := order(t, all...)
	first, second := owner.New(0, gateways(ranked[0])[0]), owner.New(0, gateways(ranked[1])[0])
	if first.SoleOwner(time.Second, "") {
		t.Error("sole owner 1 s after its start")
	}
	first.SetGateways(time.Second, gateways(all...))
	second.SetGateways(time.Second, gateways(all...))
	if !first.SoleOwner(10*time.Second, "") {
		t.Error("the preferred gateway is not sole owner after 9 s without a disruption")
	}
	if second.MarkLost(10*time.Second, ranked[0]); second.Choose(10*time.Second, "") != ranked[1] || second.SoleOwner(10*time.Second, "") {
		t.Error("a substitute did not choose itself, or is sole owner while the preferred gateway is listed")
	}
	second.SetGateways(11*time.Second, gateways(ranked[1:]...))
	if second.SoleOwner(12*time.Second, "") {
		t.Error("sole owner 1 s after the preferred gateway left the list")
	}
	if !second.SoleOwner(20*time.Second, "") {
		t.Error("not sole owner 9 s after the preferred gateway left the list")
	}
	first.MarkDisrupted(20 * time.Second)
	if first.SoleOwner(21*time.Second, "") {
		t.Error("sole owner 1 s after a freeze")
	}
}
