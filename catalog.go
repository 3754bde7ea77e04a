package tanagerroad

import "time"

// Repeat says what may be done again with a request of a kind.
type Repeat string

// Kinds of repetition.
const (
	// Idempotent requests may run any number of times.
	Idempotent Repeat = "idempotent"
	// Once: at most one run.
	Once Repeat = "once"
	// Stream: a series of events; at most one run unless the route is
	// resumable.
	Stream Repeat = "stream"
)

// Catalog is the configuration of gateways: routes found by host and path,
// the pools behind them, and the workspaces that may call.
type Catalog struct {
	Version    uint64
	Routes     []CatalogRoute
	Pools      []CatalogPool
	Workspaces []CatalogWorkspace
	Limits     CallerLimits
}

// CatalogRoute is one kind of request.
type CatalogRoute struct {
	Name       string
	Host       string
	Prefix     string // of the path; begins and ends with a slash
	Repeat     Repeat
	Timeout    time.Duration // longest time to the final answer
	Aim        time.Duration // latency objective: the answer, or a stream's first event
	Gap        time.Duration // longest pause between events of a stream
	Priority   int           // 0 is the most urgent
	Targets    []Target
	MaxServers int // backend servers that one request may be sent to
	Stages     []CatalogStage
	Public     bool // needs no key
	Prompt     bool // requests name the parts of a prompt
	Resumable  bool // a stream may go on elsewhere after its last event
}

// Target is a pool's share of a route.
type Target struct {
	Pool   string
	Weight float64
}

// CatalogStage is work that is done before the request itself runs.
type CatalogStage struct {
	Pool  string
	After []int // stages whose results it needs
	Bytes int   // approximate size of one result
}

// CatalogPool is a set of backend servers that do the same work.
type CatalogPool struct {
	Name       string
	HealthPath string
	MaxConns   int // that one backend server takes, from all callers
	Engine     *EngineTraits
	Pieces     *PieceTraits
}

// EngineTraits describe a pool of model engines.
type EngineTraits struct {
	Slots        int // requests in one batch
	MemoryTokens int
}

// PieceTraits describe a pool that does stage work in pieces.
type PieceTraits struct {
	Slots int           // calls worked on at once
	Queue int           // calls that may wait
	Batch int           // pieces in one call
	Call  time.Duration // work of a call, whatever it holds
	Item  time.Duration // work of one piece, approximately
	Room  int64         // bytes of results that a backend server keeps
	Keep  time.Duration // how long a result is kept
}

// CatalogWorkspace is a customer with its keys.
type CatalogWorkspace struct {
	Name     string
	Keys     []string
	Priority *int // goes before the route's
}

// CallerLimits bound what callers send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int
}

// Announcement is what a backend server says of itself.
type Announcement struct {
	ID       string
	Pool     string
	Address  string // host:port
	Zone     string
	Slots    int
	State    ServerState
	Sequence uint64        // grows with each announcement of one start
	Born     int64         // Unix milliseconds of its start
	Cold     time.Duration // how long it stays slow
}
