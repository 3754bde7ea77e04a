// Package table parses and validates the two tables that operators edit. The
// routes table defines kinds of requests and their stages; the pools table
// defines sets of backend servers that serve those stages. All findings are
// reported together. The package keeps no state and does not know which servers
// are running.
package table

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"tanagerroad"
	"tanagerroad/core/document"
)

// Routes is the content of routes.json.
type Routes struct {
	Routes     []Route     `json:"routes" required:"true"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Route defines one kind of request: a chain of stages and a deadline for all of
// them.
type Route struct {
	Name       string               `json:"name" required:"true"`
	Deadline   tanagerroad.Duration `json:"deadline" required:"true"`
	Repeatable *bool                `json:"repeatable,omitempty"` // default true
	Stages     []Stage              `json:"stages" required:"true"`
}

// IsRepeatable reports whether a request of this route may run more than once.
func (r Route) IsRepeatable() bool { return r.Repeatable == nil || *r.Repeatable }

// Stage is one step of a route, executed by a backend server of a pool.
type Stage struct {
	Name     string               `json:"name" required:"true"`
	Pool     string               `json:"pool" required:"true"`
	Model    string               `json:"model,omitempty"`
	After    string               `json:"after,omitempty"`    // name of the preceding stage; if no stage sets it, stages run in listed order
	Expected tanagerroad.Duration `json:"expected,omitempty"` // initial estimate of the service time
	Stream   bool                 `json:"stream,omitempty"`   // stream the answer to the caller; for the last stage
}

// Workspace sets the guaranteed share of admission for one customer.
type Workspace struct {
	Name  string  `json:"name" required:"true"`
	Share float64 `json:"share" required:"true"` // percent of the admission limit when it is reached
}

// Pools is the content of pools.json.
type Pools struct {
	Pools []Pool `json:"pools" required:"true"`
}

// Pool is a set of interchangeable backend servers. Servers join it by announcing
// themselves, so the table does not list them.
type Pool struct {
	Name        string               `json:"name" required:"true"`
	Kind        string               `json:"kind" required:"true"` // ModelEngine or Service
	Models      []string             `json:"models,omitempty"`
	Cost        float64              `json:"cost,omitempty"`         // cost of one second of service time
	ZonePrice   tanagerroad.Duration `json:"zone-price,omitempty"`   // routing penalty for leaving the zone, as equivalent latency
	RegionPrice tanagerroad.Duration `json:"region-price,omitempty"` // routing penalty for leaving the region, as equivalent latency
	BytePrice   tanagerroad.Duration `json:"byte-price,omitempty"`   // additional penalty for each KiB sent between regions
	Hedge       bool                 `json:"hedge,omitempty"`        // allow hedging of repeatable stages in this pool
}

// Kinds of pool.
const (
	ModelEngine = "model-engine"
	Service     = "service"
)

// Tables holds both tables after validation. Routes and Pools are keyed by name.
type Tables struct {
	Routes map[string]Route
	Pools  map[string]Pool
	Shares map[string]float64 // percent of the admission limit, by workspace
}

// Parse parses both tables and validates them, including references from routes
// to pools. The stages of each route are returned in execution order. If there
// are findings, the tables are nil. The file names are only used in findings.
func Parse(routesFile string, routesJSON []byte, poolsFile string, poolsJSON []byte) (*Tables, tanagerroad.Findings) {
	var routes Routes
	var pools Pools
	routeLines, findings := document.DecodeLines(routesFile, routesJSON, &routes)
	poolLines, poolFindings := document.DecodeLines(poolsFile, poolsJSON, &pools)
	c := &checker{findings: append(findings, poolFindings...)}
	c.file, c.lines = poolsFile, poolLines
	tables := &Tables{Routes: map[string]Route{}, Pools: map[string]Pool{}, Shares: map[string]float64{}}
	c.checkPools(pools, tables)
	c.file, c.lines = routesFile, routeLines
	c.checkRoutes(routes, tables)
	c.checkWorkspaces(routes.Workspaces, tables)
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	return tables, nil
}

// checker validates one file at a time and collects the findings of both.
type checker struct {
	file     string
	lines    map[string]int
	findings tanagerroad.Findings
}

// addFinding adds a finding, unless there already is one for the same path, such
// as from decoding.
func (c *checker) addFinding(path, found, want string) {
	if slices.ContainsFunc(c.findings, func(f tanagerroad.Finding) bool { return f.File == c.file && f.Path == path }) {
		return
	}
	c.findings = append(c.findings, tanagerroad.Finding{File: c.file, Line: document.LineOf(c.lines, path), Path: path, Found: found, Want: want})
}

// checkName reports an empty, malformed or duplicate name, and adds it to seen.
func (c *checker) checkName(path, name string, seen map[string]bool) {
	switch {
	case !ValidName(name):
		c.addFinding(path, strconv.Quote(name), "a name of 1 to 64 lower-case letters, digits and hyphens")
	case seen[name]:
		c.addFinding(path, "a duplicate of "+strconv.Quote(name), "each name once")
	}
	seen[name] = true
}

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 64

// ValidName reports whether a name consists of 1 to 64 lower-case letters, digits
// and hyphens.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
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

func (c *checker) checkPools(pools Pools, tables *Tables) {
	seen := map[string]bool{}
	for i, p := range pools.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		c.checkName(path+".name", p.Name, seen)
		if p.Kind != ModelEngine && p.Kind != Service {
			c.addFinding(path+".kind", strconv.Quote(p.Kind), "model-engine or service")
		}
		if p.Cost < 0 {
			c.addFinding(path+".cost", fmt.Sprint(p.Cost), "a non-negative cost")
		}
		tables.Pools[p.Name] = p
	}
}

func (c *checker) checkRoutes(routes Routes, tables *Tables) {
	seen := map[string]bool{}
	for i, r := range routes.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.checkName(path+".name", r.Name, seen)
		c.checkStages(path, r, tables)
		if ordered, ok := c.orderStages(path, r.Stages); ok {
			r.Stages = ordered
		}
		tables.Routes[r.Name] = r
	}
}

// maxStages is the maximum number of stages in a route.
const maxStages = 32

func (c *checker) checkStages(path string, r Route, tables *Tables) {
	if len(r.Stages) == 0 || len(r.Stages) > maxStages {
		c.addFinding(path+".stages", fmt.Sprintf("%d stages", len(r.Stages)), fmt.Sprintf("1 to %d", maxStages))
	}
	var total time.Duration
	seen := map[string]bool{}
	for i, s := range r.Stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", path, i)
		c.checkName(stagePath+".name", s.Name, seen)
		total += s.Expected.Std()
		pool, ok := tables.Pools[s.Pool]
		if !ok {
			c.addFinding(stagePath+".pool", strconv.Quote(s.Pool), "the name of a pool in pools.json")
			continue
		}
		if s.Model != "" && !slices.Contains(pool.Models, s.Model) {
			c.addFinding(stagePath+".model", strconv.Quote(s.Model), "a model of pool "+strconv.Quote(s.Pool))
		}
	}
	if r.Deadline <= 0 {
		c.addFinding(path+".deadline", r.Deadline.Std().String(), "a deadline above zero")
	}
	if total > r.Deadline.Std() {
		c.addFinding(path+".deadline", r.Deadline.Std().String(), fmt.Sprintf("at least %s, the total expected time of its stages", total))
	}
}

// orderStages returns the stages in execution order. They must form a single
// chain; otherwise it adds a finding and returns false.
func (c *checker) orderStages(path string, stages []Stage) ([]Stage, bool) {
	inListedOrder := !slices.ContainsFunc(stages, func(s Stage) bool { return s.After != "" })
	next := map[string]int{} // index of the following stage, by name; "" for the first
	for i, s := range stages {
		previous := s.After
		if inListedOrder && i > 0 {
			previous = stages[i-1].Name
		}
		if _, taken := next[previous]; taken {
			c.addFinding(fmt.Sprintf("%s.stages[%d].after", path, i), strconv.Quote(previous), "exactly one first stage, and at most one stage after each stage")
			return nil, false
		}
		next[previous] = i
	}
	var out []Stage
	name := ""
	for range stages {
		i, ok := next[name]
		if !ok {
			c.addFinding(path+".stages", "a cycle or an unreachable stage", "a single chain from the first stage to the last")
			return nil, false
		}
		out = append(out, stages[i])
		name = stages[i].Name
	}
	return out, true
}

// maxTotalShare is the maximum sum of all workspaces' shares, in percent.
const maxTotalShare = 100

func (c *checker) checkWorkspaces(workspaces []Workspace, tables *Tables) {
	seen := map[string]bool{}
	total := 0.0
	for i, w := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(path+".name", w.Name, seen)
		if w.Share <= 0 || w.Share > maxTotalShare {
			c.addFinding(path+".share", fmt.Sprint(w.Share), "a percentage above 0 and up to 100")
		}
		total += w.Share
		tables.Shares[w.Name] = w.Share
	}
	if total > maxTotalShare {
		c.addFinding("workspaces", fmt.Sprintf("shares of %g%% in all", total), "100% at most")
	}
}
