package tanagerroad

import "time"

// Repeatability says how often a request may be run, which limits its retries.
type Repeatability string

// The kinds of requests, by how often they may run.
const (
	// Idempotent requests may run any number of times.
	Idempotent Repeatability = "idempotent"
	// AtMostOnce requests run at most once.
	AtMostOnce Repeatability = "once"
	// Stream requests are answered with a series of events. They run at most
	// once, unless their route is resumable.
	Stream Repeatability = "stream"
)

// Catalog is the configuration of gateways: routes matched by host and path,
// the pools that serve them, and the workspaces that may send requests.
type Catalog struct {
	Version    uint64
	Routes     []CatalogRoute
	Pools      []CatalogPool
	Workspaces []CatalogWorkspace
	Limits     CallerLimits
}

// CatalogRoute configures the requests of one host and path prefix.
type CatalogRoute struct {
	Name             string
	Host             string
	PathPrefix       string // of the path; begins and ends with a slash
	Repeatability    Repeatability
	Timeout          time.Duration // from arrival to the final answer
	LatencyObjective time.Duration // for the answer, or for a stream's first event
	MaxEventGap      time.Duration // longest pause between two events of a stream
	Priority         int           // 0 is the most urgent
	Targets          []Target
	MaxServers       int // most backend servers that one request may run on
	Stages           []CatalogStage
	Public           bool     // no API key is needed
	PromptAffinity   bool     // requests list the shared parts of their prompt, for cache affinity
	Resumable        bool     // another backend server can continue a stream after its last complete event
	Regions          []string // in which requests may be served and stored; empty: all
}

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool   string
	Weight float64 // share relative to the route's other targets
}

// CatalogStage is a step of preparatory work that runs before the request
// itself. A stage is split into pieces that run independently; its results
// stay on the backend servers that computed them.
type CatalogStage struct {
	Pool  string
	After []int // indexes of the stages whose results it needs
	Bytes int   // approximate size of one result
}

// CatalogPool is a set of interchangeable backend servers.
type CatalogPool struct {
	Name       string
	HealthPath string
	MaxConns   int // connections that one backend server accepts from all callers together
	Engine     *EngineTraits
	Pieces     *PieceTraits
	// A backend server is cold for ColdTime after its start. A cold one takes ColdPerSecond
	// requests a second from all gateways together; 0: any number.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// EngineTraits describes the backend servers of a pool of model engines.
type EngineTraits struct {
	Slots       int // requests in one batch
	CacheTokens int // capacity of the key-value cache, in tokens
}

// PieceTraits describes the backend servers of a pool that runs pieces of
// stages. Pieces are sent in batches, one batch a call.
type PieceTraits struct {
	Slots       int           // calls executed at once
	MaxQueue    int           // calls that may wait
	MaxBatch    int           // most pieces in one call
	CallTime    time.Duration // execution time of a call without its pieces
	PieceTime   time.Duration // approximate execution time of one piece
	ResultSpace int64         // bytes of results that a backend server can store
	ResultTTL   time.Duration // how long a result is stored
}

// PiecesPerSecond returns the throughput of one backend server with full calls.
func (t PieceTraits) PiecesPerSecond() float64 {
	full := t.CallTime + time.Duration(t.MaxBatch)*t.PieceTime
	if full <= 0 {
		return 0
	}
	return float64(max(1, t.Slots)*t.MaxBatch) / full.Seconds()
}

// CatalogWorkspace is a customer, identified by its API keys.
type CatalogWorkspace struct {
	Name     string
	APIKeys  []string
	Priority *int     // overrides the route's priority
	Regions  []string // in which requests may be served and stored, beside the route's; empty: all
}

// CallerLimits limits the size of callers' requests.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Announcement is the state of a backend server, as it reports it in a
// heartbeat or when it shuts down.
type Announcement struct {
	ID          string
	Pool        string
	Address     string // host:port
	Zone        string // availability zone
	Slots       int    // requests that it executes at once
	State       ServerState
	Sequence    uint64        // grows with each announcement since the server's start
	StartMillis int64         // time of the server's start, in Unix milliseconds
	WarmUp      time.Duration // time until the server is warmed up
	Software    string        // version of its software; streams do not go on at another one
}
