package catalog_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/catalog"
)

func sample() *tanagerroad.Catalog {
	route := func(name, host, prefix string) tanagerroad.CatalogRoute {
		return tanagerroad.CatalogRoute{
			Name: name, Host: host, PathPrefix: prefix, Timeout: time.Second, MaxServers: 1,
			Targets: []tanagerroad.Target{{Pool: "models", Weight: 90}, {Pool: "spare", Weight: 10}},
		}
	}
	return &tanagerroad.Catalog{
		Version: 3, Routes: []tanagerroad.CatalogRoute{route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/")},
		Pools:      []tanagerroad.CatalogPool{{Name: "models"}, {Name: "spare"}},
		Workspaces: []tanagerroad.CatalogWorkspace{{Name: "w1", APIKeys: []string{"k1", "k2"}}, {Name: "w2", APIKeys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	x := catalog.New(sample())
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/1", "other"},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := x.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestWorkspaceByKey(t *testing.T) {
	x := catalog.New(sample())
	if w := x.Workspace("k2"); w == nil || w.Name != "w1" || x.Workspace("k9") != nil || x.Workspace("") != nil {
		t.Errorf("key k2 belongs to workspace %v, want w1; k9 and the empty key must belong to none", w)
	}
}

func TestCheckReportsAllFaults(t *testing.T) {
	if f := catalog.Check("c", sample()); len(f) != 0 {
		t.Fatalf("findings in a valid configuration: %v", f)
	}
	c := sample()
	c.Routes[0].Timeout = 0
	c.Routes[1].PathPrefix = "/x/"
	c.Routes[1].Targets = []tanagerroad.Target{{Pool: "models", Weight: 0}}
	c.Routes[2].Targets[0].Pool = "nowhere"
	c.Routes[2].Stages = []tanagerroad.CatalogStage{{Pool: "lost", After: []int{4}}}
	c.Workspaces[1].APIKeys = []string{"k1"}
	c.Pools = append(c.Pools, tanagerroad.CatalogPool{Name: "models", MaxConns: 7}, tanagerroad.CatalogPool{Name: "spare"}, tanagerroad.CatalogPool{})
	text := catalog.Check("c", c).Error()
	for _, want := range []string{"routes[0].timeout", "routes[1]: found a.example/x/", "routes[1].weight", "routes[2].pool", "routes[2].stages[0].pool", "routes[2].stages[0].after", "workspaces[1].keys", "pools[2].name", "pools[4].name"} {
		if !strings.Contains(text, want) {
			t.Errorf("no finding contains %q in:\n%s", want, text)
		}
	}
	if strings.Contains(text, "pools[3]") {
		t.Errorf("a pool that is listed twice alike is a fault:\n%s", text)
	}
}

// TestStagesInACircleAreAccepted guards against a route whose stages wait for each other,
// so that no request of it can ever run.
func TestStagesInACircleAreAccepted(t *testing.T) {
	stage := func(after ...int) tanagerroad.CatalogStage {
		return tanagerroad.CatalogStage{Pool: "models", After: after}
	}
	for _, c := range []struct {
		what   string
		stages []tanagerroad.CatalogStage
		want   []string // paths of the findings
	}{
		{"two that wait for each other", []tanagerroad.CatalogStage{stage(1), stage(0)}, []string{"routes[1].stages[0].after", "routes[1].stages[1].after"}},
		{
			"a circle of three, and one that waits for it",
			[]tanagerroad.CatalogStage{stage(), stage(0, 3), stage(1), stage(2), stage(3)},
			[]string{"routes[1].stages[1].after", "routes[1].stages[2].after", "routes[1].stages[3].after"},
		},
		{"one that waits for itself", []tanagerroad.CatalogStage{stage(0)}, []string{"routes[1].stages[0].after"}},
		{"none, in any order", []tanagerroad.CatalogStage{stage(2), stage(), stage(1), stage(0, 2, 1)}, nil},
	} {
		config := sample()
		config.Routes[1].Stages = c.stages
		var got []string
		for _, f := range catalog.Check("c", config) {
			got = append(got, f.Path)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: findings at %v, want %v", c.what, got, c.want)
		}
	}
}

func TestPickPoolFollowsWeights(t *testing.T) {
	r := &sample().Routes[0]
	n := 0
	for i := range 1000 {
		if catalog.PickPool(r, float64(i)/1000) == "models" {
			n++
		}
	}
	if n != 900 {
		t.Errorf("%d of 1000 requests go to a pool with weight 90 of 100, want 900", n)
	}
}
