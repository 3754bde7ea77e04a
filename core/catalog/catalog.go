// Package catalog checks a gateway's configuration and finds routes,
// workspaces and pools in it.
package catalog

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"tanagerroad"
)

// Check returns every fault of a configuration. file names the document in
// the findings.
func Check(file string, c *tanagerroad.Catalog) tanagerroad.Findings {
	var out tanagerroad.Findings
	fault := func(path, found, want string) {
		out = append(out, tanagerroad.Finding{File: file, Path: path, Found: found, Want: want})
	}
	pools := map[string]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		at := place{strings.ToLower(r.Host), r.Prefix}
		if other, taken := places[at]; taken {
			fault(path, fmt.Sprintf("%s%s", r.Host, r.Prefix), "a host and prefix that route "+other+" does not have")
		}
		places[at] = strconv.Quote(r.Name)
		if r.Timeout <= 0 {
			fault(path+".timeout", r.Timeout.String(), "a duration above zero")
		}
		var weight float64
		for _, t := range r.Targets {
			weight += t.Weight
			if !pools[t.Pool] {
				fault(path+".pool", strconv.Quote(t.Pool), "a pool of this configuration")
			}
			if t.Weight < 0 {
				fault(path+".weight", fmt.Sprint(t.Weight), "a weight that is not negative")
			}
		}
		if weight <= 0 {
			fault(path+".weight", "weights that add up to 0", "a weight above zero")
		}
		checkStages(path, r.Stages, pools, fault)
	}
	holders := map[string]string{}
	for i, w := range c.Workspaces {
		for _, key := range w.Keys {
			if other, taken := holders[key]; taken && other != w.Name {
				fault(fmt.Sprintf("workspaces[%d].keys", i), "a key that workspace "+strconv.Quote(other)+" holds", "a key of its own")
			}
			holders[key] = w.Name
		}
	}
	return out
}

func checkStages(path string, stages []tanagerroad.CatalogStage, pools map[string]bool, fault func(path, found, want string)) {
	for i, s := range stages {
		at := fmt.Sprintf("%s.stages[%d]", path, i)
		if !pools[s.Pool] {
			fault(at+".pool", strconv.Quote(s.Pool), "a pool of this configuration")
		}
		for _, before := range s.After {
			if before < 0 || before >= len(stages) || before == i {
				fault(at+".after", strconv.Itoa(before), "the number of another stage")
			}
		}
	}
}

// Index finds things in one configuration.
type Index struct {
	*tanagerroad.Catalog
	routes     map[string][]*tanagerroad.CatalogRoute // by host, the longest prefix first
	pools      map[string]*tanagerroad.CatalogPool
	workspaces map[string]*tanagerroad.CatalogWorkspace // by key
}

// New indexes a configuration that Check found nothing in.
func New(c *tanagerroad.Catalog) *Index {
	x := &Index{
		Catalog: c, routes: map[string][]*tanagerroad.CatalogRoute{}, pools: map[string]*tanagerroad.CatalogPool{},
		workspaces: map[string]*tanagerroad.CatalogWorkspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.routes[host] = append(x.routes[host], r)
	}
	for _, list := range x.routes {
		slices.SortFunc(list, func(a, b *tanagerroad.CatalogRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Pools {
		x.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			x.workspaces[key] = &c.Workspaces[i]
		}
	}
	return x
}

// Match is the route of the host whose prefix is the longest that begins the
// path; nil when there is none.
func (x *Index) Match(host, path string) *tanagerroad.CatalogRoute {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace is the holder of a key; nil when nobody holds it.
func (x *Index) Workspace(key string) *tanagerroad.CatalogWorkspace { return x.workspaces[key] }

// Pool is the pool of that name; nil when there is none.
func (x *Index) Pool(name string) *tanagerroad.CatalogPool { return x.pools[name] }

// Closed reports whether requests need a key.
func (x *Index) Closed() bool { return len(x.Workspaces) > 0 }

// Target is the pool that serves a request on the route: chance, from 0 to
// below 1, falls on a pool by the weights.
func Target(r *tanagerroad.CatalogRoute, chance float64) string {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := chance * total
	for _, t := range r.Targets {
		if left < t.Weight {
			return t.Pool
		}
		left -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}
