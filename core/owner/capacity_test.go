package owner_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/owner"
	"tanagerroad/core/shard"
)

// deployment describes gateways and backend servers that execute pieces.
type deployment struct {
	Name     string            `json:"name"`
	Zones    map[string]string `json:"zones"` // regions by zone
	Gateways []struct {
		PerZone   int     `json:"per-zone"`
		Processor float64 `json:"processor"`
		LinkMbps  float64 `json:"link-mbps"`
	} `json:"gateways"`
	ServersPerZone map[string]int `json:"servers-per-zone"`
	Owners         int            `json:"owners"` // least number of owners
}

func loadDeployments(t *testing.T) ([]deployment, map[string]tanagerroad.PieceTraits) {
	t.Helper()
	data, err := os.ReadFile("testdata/deployments.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Traits map[string]struct {
			MaxBatch int     `json:"max-batch"`
			CallMS   float64 `json:"call-ms"`
			PieceMS  float64 `json:"piece-ms"`
		} `json:"traits"`
		Deployments []deployment `json:"deployments"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		t.Fatal(err)
	}
	traits := map[string]tanagerroad.PieceTraits{}
	for name, v := range file.Traits {
		traits[name] = tanagerroad.PieceTraits{
			Slots: 1, MaxBatch: v.MaxBatch, CallTime: time.Duration(v.CallMS * float64(time.Millisecond)), PieceTime: time.Duration(v.PieceMS * float64(time.Millisecond)),
		}
	}
	return file.Deployments, traits
}

func (d deployment) gateways() []tanagerroad.Gateway {
	var out []tanagerroad.Gateway
	for zone := range d.Zones {
		for class, c := range d.Gateways {
			for i := range c.PerZone {
				out = append(out, tanagerroad.Gateway{Address: fmt.Sprintf("%s-%d-%d:1", zone, class, i), Zone: zone, Capacity: owner.Capacity(c.Processor, c.LinkMbps)})
			}
		}
	}
	return out
}

func (d deployment) plan(traits map[string]tanagerroad.PieceTraits) *shard.Plan {
	var pools []shard.Pool
	for name, n := range d.ServersPerZone {
		p := shard.Pool{Name: name, Traits: traits[name]}
		for zone := range d.Zones {
			for i := range n {
				p.Servers = append(p.Servers, tanagerroad.Announcement{ID: fmt.Sprintf("%s-%s-%d", name, zone, i), Pool: name, Zone: zone})
			}
		}
		pools = append(pools, p)
	}
	return shard.NewPlan(d.Zones, pools)
}

// TestOneGatewayBatchesEverything guards against a gateway that gets more pieces than its
// link and its processor bear, or more the larger the deployment is.
func TestOneGatewayBatchesEverything(t *testing.T) {
	deployments, traits := loadDeployments(t)
	for _, d := range deployments {
		gateways, shards := d.gateways(), d.plan(traits).Shards()
		v := owner.New(0, gateways[0])
		v.SetGateways(0, gateways)
		v.SetShards(0, shards)
		capacity, load := map[string]float64{}, map[string]float64{}
		for _, g := range gateways {
			capacity[g.Address] = g.Capacity
		}
		for _, s := range shards {
			load[v.Choose(0, s.Name)] += s.PiecesPerSecond
		}
		if len(load) < d.Owners {
			t.Errorf("%s: %d owners, want %d or more", d.Name, len(load), d.Owners)
		}
		for address, pieces := range load {
			if pieces > capacity[address] {
				t.Errorf("%s: %s batches up to %.0f pieces a second, and bears %.0f", d.Name, address, pieces, capacity[address])
			}
		}
	}
}

// TestGatewaysDisagreeOnOwners guards against two owners of one shard when all gateways
// know the same, against an owner that was lost, and against the loss of one gateway
// that moves shards of others that have the capacity for them.
func TestGatewaysDisagreeOnOwners(t *testing.T) {
	deployments, traits := loadDeployments(t)
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.SampledFrom(deployments).Draw(t, "deployment")
		gateways, shards := d.gateways(), d.plan(traits).Shards()
		shuffled := rapid.Permutation(gateways).Draw(t, "order")
		lost := rapid.SampledFrom(gateways).Draw(t, "lost").Address
		views := []*owner.View{owner.New(0, gateways[0]), owner.New(0, shuffled[0])}
		views[0].SetGateways(0, gateways)
		views[1].SetGateways(0, shuffled)
		for _, v := range views {
			v.SetShards(0, shards)
		}
		self := shuffled[0].Address
		for _, s := range shards {
			before := views[0].Choose(0, s.Name)
			if other := views[1].Choose(0, s.Name); before != other {
				t.Fatalf("%s, shard %q: %s and %s", d.Name, s.Name, before, other)
			}
			zones := s.Zones
			if i := slices.IndexFunc(gateways, func(g tanagerroad.Gateway) bool { return g.Address == before }); !slices.Contains(zones, gateways[i].Zone) {
				t.Fatalf("%s, shard %q of %v: the owner is in %s", d.Name, s.Name, zones, gateways[i].Zone)
			}
		}
		views[1].MarkLost(time.Second, lost)
		for _, s := range shards {
			before, after := views[0].Choose(time.Second, s.Name), views[1].Choose(time.Second, s.Name)
			if after == lost && lost != self {
				t.Fatalf("%s, shard %q: chose the lost gateway", d.Name, s.Name)
			}
			if len(shards) <= len(d.Zones) && before != lost && after != before {
				t.Fatalf("%s, shard %q: moved from %s to %s as %s was lost", d.Name, s.Name, before, after, lost)
			}
		}
	})
}
