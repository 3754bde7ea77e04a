// Package table holds the two tables that operators edit: routes, the kinds of
// requests with their stages, and pools, the backend servers able to serve
// those stages. It parses them, checks each and both against each other, and
// reports all findings together. It keeps no state and knows no servers.
package table

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"tanagerroad"
	"tanagerroad/core/document"
)

// Routes is the routes table, routes.json.
type Routes struct {
	Routes     []Route     `json:"routes" required:"true"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Route is one kind of request.
type Route struct {
	Name       string               `json:"name" required:"true"`
	Deadline   tanagerroad.Duration `json:"deadline" required:"true"`
	Repeatable *bool                `json:"repeatable,omitempty"` // absent: true
	Stages     []Stage              `json:"stages" required:"true"`
}

// IsRepeatable reports whether a request of this route may run more than once.
func (r Route) IsRepeatable() bool { return r.Repeatable == nil || *r.Repeatable }

// Stage is one step of a route.
type Stage struct {
	Name     string               `json:"name" required:"true"`
	Pool     string               `json:"pool" required:"true"`
	Model    string               `json:"model,omitempty"`
	After    string               `json:"after,omitempty"`    // the stage before; where no stage names one, they run as listed
	Expected tanagerroad.Duration `json:"expected,omitempty"` // a first guess of its time
	Stream   bool                 `json:"stream,omitempty"`   // the last stage's answer streams to the caller
}

// Workspace is one customer's share of the system.
type Workspace struct {
	Name  string  `json:"name" required:"true"`
	Share float64 `json:"share" required:"true"` // percent of admission when the system is full
}

// Pools is the pools table, pools.json.
type Pools struct {
	Pools []Pool `json:"pools" required:"true"`
}

// Pool is a set of like backend servers. Its members announce themselves.
type Pool struct {
	Name        string               `json:"name" required:"true"`
	Kind        string               `json:"kind" required:"true"` // model-engine or service
	Models      []string             `json:"models,omitempty"`
	Cost        float64              `json:"cost,omitempty"`         // of one second of service
	ZonePrice   tanagerroad.Duration `json:"zone-price,omitempty"`   // delay that crossing a zone is held to be worth
	RegionPrice tanagerroad.Duration `json:"region-price,omitempty"` // delay that crossing a region is held to be worth
	BytePrice   tanagerroad.Duration `json:"byte-price,omitempty"`   // further, for each KiB between regions
	Hedge       bool                 `json:"hedge,omitempty"`        // repeatable stages may be hedged here
}

// Kinds of pool.
const (
	ModelEngine = "model-engine"
	Service     = "service"
)

// Tables is both tables, parsed and checked.
type Tables struct {
	Routes map[string]Route
	Pools  map[string]Pool
	Shares map[string]float64 // by workspace, percent
}

// Parse checks both tables, each alone and against each other. Stages come
// out in the order in which they run.
func Parse(routesFile string, routesJSON []byte, poolsFile string, poolsJSON []byte) (*Tables, tanagerroad.Findings) {
	var routes Routes
	var pools Pools
	routeLines, findings := document.Lines(routesFile, routesJSON, &routes)
	poolLines, more := document.Lines(poolsFile, poolsJSON, &pools)
	c := &check{findings: append(findings, more...)}
	c.file, c.lines = poolsFile, poolLines
	tables := &Tables{Routes: map[string]Route{}, Pools: map[string]Pool{}, Shares: map[string]float64{}}
	c.pools(pools, tables)
	c.file, c.lines = routesFile, routeLines
	c.routes(routes, tables)
	c.workspaces(routes.Workspaces, tables)
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	return tables, nil
}

// check collects findings about one file at a time.
type check struct {
	file     string
	lines    map[string]int
	findings tanagerroad.Findings
}

// fault adds a finding, unless reading the file already found fault with the
// very value.
func (c *check) fault(path, found, want string) {
	if slices.ContainsFunc(c.findings, func(f tanagerroad.Finding) bool { return f.File == c.file && f.Path == path }) {
		return
	}
	c.findings = append(c.findings, tanagerroad.Finding{File: c.file, Line: document.LineOf(c.lines, path), Path: path, Found: found, Want: want})
}

// name reports an empty or malformed name and one that stands twice.
func (c *check) name(path, name string, seen map[string]bool) {
	switch {
	case !ValidName(name):
		c.fault(path, strconv.Quote(name), "a name of 1 to 64 lower-case letters, digits and hyphens")
	case seen[name]:
		c.fault(path, "a duplicate of "+strconv.Quote(name), "each name once")
	}
	seen[name] = true
}

// maxName is the longest name, in bytes.
const maxName = 64

// ValidName reports whether a name is kebab case and not too long.
func ValidName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for _, r := range name {
		lower := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !lower && !digit && r != '-' {
			return false
		}
	}
	return true
}

func (c *check) pools(pools Pools, tables *Tables) {
	seen := map[string]bool{}
	for i, p := range pools.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		c.name(path+".name", p.Name, seen)
		if p.Kind != ModelEngine && p.Kind != Service {
			c.fault(path+".kind", strconv.Quote(p.Kind), "model-engine or service")
		}
		if p.Cost < 0 {
			c.fault(path+".cost", fmt.Sprint(p.Cost), "a cost that is not negative")
		}
		tables.Pools[p.Name] = p
	}
}

func (c *check) routes(routes Routes, tables *Tables) {
	seen := map[string]bool{}
	for i, r := range routes.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.name(path+".name", r.Name, seen)
		c.stages(path, r, tables)
		if ordered, ok := c.order(path, r.Stages); ok {
			r.Stages = ordered
		}
		tables.Routes[r.Name] = r
	}
}

// maxStages is the largest number of stages in a route.
const maxStages = 32

func (c *check) stages(path string, r Route, tables *Tables) {
	if len(r.Stages) == 0 || len(r.Stages) > maxStages {
		c.fault(path+".stages", fmt.Sprintf("%d stages", len(r.Stages)), fmt.Sprintf("1 to %d", maxStages))
	}
	var total time.Duration
	seen := map[string]bool{}
	for i, s := range r.Stages {
		at := fmt.Sprintf("%s.stages[%d]", path, i)
		c.name(at+".name", s.Name, seen)
		total += s.Expected.D()
		pool, ok := tables.Pools[s.Pool]
		if !ok {
			c.fault(at+".pool", strconv.Quote(s.Pool), "the name of a pool in pools.json")
			continue
		}
		if s.Model != "" && !slices.Contains(pool.Models, s.Model) {
			c.fault(at+".model", strconv.Quote(s.Model), "a model of pool "+strconv.Quote(s.Pool))
		}
	}
	if r.Deadline <= 0 {
		c.fault(path+".deadline", r.Deadline.D().String(), "a deadline above zero")
	}
	if total > r.Deadline.D() {
		c.fault(path+".deadline", r.Deadline.D().String(), fmt.Sprintf("at least %s, what its stages are expected to take", total))
	}
}

// order sorts stages by their after field. They must form one chain.
func (c *check) order(path string, stages []Stage) ([]Stage, bool) {
	listed := !slices.ContainsFunc(stages, func(s Stage) bool { return s.After != "" })
	next := map[string]int{}
	for i, s := range stages {
		before := s.After
		if listed && i > 0 {
			before = stages[i-1].Name
		}
		if _, taken := next[before]; taken {
			c.fault(fmt.Sprintf("%s.stages[%d].after", path, i), strconv.Quote(before), "one first stage, and each stage followed by one at most")
			return nil, false
		}
		next[before] = i
	}
	var out []Stage
	name := ""
	for range stages {
		i, ok := next[name]
		if !ok {
			c.fault(path+".stages", "a cycle or a stage that follows none", "one chain from the first stage to the last")
			return nil, false
		}
		out = append(out, stages[i])
		name = stages[i].Name
	}
	return out, true
}

// wholeShare is what all workspaces' shares may add up to, in percent.
const wholeShare = 100

func (c *check) workspaces(workspaces []Workspace, tables *Tables) {
	seen := map[string]bool{}
	total := 0.0
	for i, w := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(path+".name", w.Name, seen)
		if w.Share <= 0 || w.Share > wholeShare {
			c.fault(path+".share", fmt.Sprint(w.Share), "a percentage above 0 and up to 100")
		}
		total += w.Share
		tables.Shares[w.Name] = w.Share
	}
	if total > wholeShare {
		c.fault("workspaces", fmt.Sprintf("shares of %g%% in all", total), "100% at most")
	}
}
