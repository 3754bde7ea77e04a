// Package catalog validates the configuration of gateways and looks up routes,
// workspaces and pools in it.
package catalog

import (
	"cmp"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"tanagerroad"
)

// Check returns all faults of a configuration. file is the file name given in
// the findings.
func Check(file string, c *tanagerroad.Catalog) tanagerroad.Findings {
	var out tanagerroad.Findings
	fault := func(path, found, want string) {
		out = append(out, tanagerroad.Finding{File: file, Path: path, Found: found, Want: want})
	}
	pools := map[string]bool{}
	for i, p := range c.Pools {
		path := fmt.Sprintf("pools[%d].name", i)
		first := slices.IndexFunc(c.Pools, func(other tanagerroad.CatalogPool) bool { return other.Name == p.Name })
		switch {
		case p.Name == "":
			fault(path, strconv.Quote(p.Name), "a name")
		case !reflect.DeepEqual(p, c.Pools[first]):
			fault(path, strconv.Quote(p.Name), "a name that pools["+strconv.Itoa(first)+"], which differs, does not have")
		}
		pools[p.Name] = true
	}
	type routePattern struct{ host, prefix string }
	routeNames := map[routePattern]string{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		pattern := routePattern{strings.ToLower(r.Host), r.PathPrefix}
		if other, taken := routeNames[pattern]; taken {
			fault(path, fmt.Sprintf("%s%s", r.Host, r.PathPrefix), "a host and prefix that route "+other+" does not use")
		}
		routeNames[pattern] = strconv.Quote(r.Name)
		if r.Timeout <= 0 {
			fault(path+".timeout", r.Timeout.String(), "a positive duration")
		}
		var weight float64
		for _, t := range r.Targets {
			weight += t.Weight
			if !pools[t.Pool] {
				fault(path+".pool", strconv.Quote(t.Pool), "a pool of this configuration")
			}
			if t.Weight < 0 {
				fault(path+".weight", fmt.Sprint(t.Weight), "a weight of 0 or more")
			}
		}
		if weight <= 0 {
			fault(path+".weight", "weights with a sum of 0", "at least one positive weight")
		}
		checkStages(path, r.Stages, pools, fault)
	}
	workspaceOfKey := map[string]string{}
	for i, w := range c.Workspaces {
		for _, key := range w.APIKeys {
			if other, taken := workspaceOfKey[key]; taken && other != w.Name {
				fault(fmt.Sprintf("workspaces[%d].keys", i), "a key that workspace "+strconv.Quote(other)+" also has", "a key that no other workspace has")
			}
			workspaceOfKey[key] = w.Name
		}
	}
	return out
}

// checkStages reports the faults in the stages of a route.
func checkStages(path string, stages []tanagerroad.CatalogStage, pools map[string]bool, fault func(path, found, want string)) {
	for i, s := range stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", path, i)
		if !pools[s.Pool] {
			fault(stagePath+".pool", strconv.Quote(s.Pool), "a pool of this configuration")
		}
		for _, dependency := range s.After {
			if dependency < 0 || dependency >= len(stages) || dependency == i {
				fault(stagePath+".after", strconv.Itoa(dependency), "the index of another stage")
			}
		}
	}
	for _, i := range stagesInCycles(stages) {
		fault(fmt.Sprintf("%s.stages[%d].after", path, i), fmt.Sprint(stages[i].After), "stages that do not wait for this one")
	}
}

// stagesInCycles returns the indexes of the stages that wait for each other in a circle,
// and of those between two circles. Dependencies that are no index of another stage are
// ignored.
func stagesInCycles(stages []tanagerroad.CatalogStage) []int {
	before, after := make([][]int, len(stages)), make([][]int, len(stages))
	for i, s := range stages {
		for _, j := range s.After {
			if j >= 0 && j < len(stages) && j != i {
				before[i], after[j] = append(before[i], j), append(after[j], i)
			}
		}
	}
	startable := removeUnblocked(before, after)
	unneeded := removeUnblocked(after, before)
	var out []int
	for i := range stages {
		if !startable[i] && !unneeded[i] {
			out = append(out, i)
		}
	}
	return out
}

// removeUnblocked removes the stages that have no blocker, then those whose blockers are
// removed, and so on. It returns which stages are removed. blocks is the inverse of
// blockers.
func removeUnblocked(blockers, blocks [][]int) []bool {
	removed, left := make([]bool, len(blockers)), make([]int, len(blockers))
	var queue []int
	for i := range blockers {
		if left[i] = len(blockers[i]); left[i] == 0 {
			queue = append(queue, i)
		}
	}
	for len(queue) > 0 {
		i := queue[0]
		queue, removed[i] = queue[1:], true
		for _, j := range blocks[i] {
			if left[j]--; left[j] == 0 {
				queue = append(queue, j)
			}
		}
	}
	return removed
}

// Index looks up routes, pools and workspaces in a configuration.
type Index struct {
	*tanagerroad.Catalog
	routes          map[string][]*tanagerroad.CatalogRoute // by lower-case host, longest prefix first
	pools           map[string]*tanagerroad.CatalogPool
	workspacesByKey map[string]*tanagerroad.CatalogWorkspace // by API key
}

// PoolNames returns the names of the pools of a configuration, without duplicates, in
// ascending order.
func PoolNames(c *tanagerroad.Catalog) []string {
	var out []string
	for _, p := range c.Pools {
		out = append(out, p.Name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// New returns an index of a configuration, which must have passed Check.
func New(c *tanagerroad.Catalog) *Index {
	x := &Index{
		Catalog: c, routes: map[string][]*tanagerroad.CatalogRoute{}, pools: map[string]*tanagerroad.CatalogPool{},
		workspacesByKey: map[string]*tanagerroad.CatalogWorkspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.routes[host] = append(x.routes[host], r)
	}
	for _, list := range x.routes {
		slices.SortFunc(list, func(a, b *tanagerroad.CatalogRoute) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Pools {
		x.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].APIKeys {
			x.workspacesByKey[key] = &c.Workspaces[i]
		}
	}
	return x
}

// Match returns the host's route with the longest prefix of path, or nil when
// none matches. host may have a port, which is ignored.
func (x *Index) Match(host, path string) *tanagerroad.CatalogRoute {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that an API key belongs to, or nil.
func (x *Index) Workspace(key string) *tanagerroad.CatalogWorkspace { return x.workspacesByKey[key] }

// Pool returns the pool of that name, or nil.
func (x *Index) Pool(name string) *tanagerroad.CatalogPool { return x.pools[name] }

// RequiresKey reports whether requests need an API key, which they do once any
// workspace is configured. Public routes are exempt.
func (x *Index) RequiresKey() bool { return len(x.Workspaces) > 0 }

// PickPool picks one of the route's pools by their weights. chance is a random
// number in [0, 1).
func PickPool(r *tanagerroad.CatalogRoute, chance float64) string {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := chance * total
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Pool
		}
		remaining -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}
