package tanagerroad

import (
	"context"
	"time"

	"tanagerroad/core/wire"
)

// Ask is what a stage needs of a backend server.
type Ask struct {
	Pool    string        `json:"pool"`
	Model   string        `json:"model,omitempty"`
	Prefix  uint64        `json:"prefix,omitempty"` // digest of the input's start, for cache affinity
	From    Place         `json:"from"`             // where the input lies
	Bytes   int           `json:"bytes"`            // size of the input
	Left    time.Duration `json:"left"`             // slack that this stage may use
	Exclude []string      `json:"exclude,omitempty"`
	Seed    uint64        `json:"seed"` // the picker's only source of chance
}

// Choice is one routing decision and why it fell so.
type Choice struct {
	Server     string   `json:"server"` // empty: none can serve
	Address    string   `json:"address"`
	Reason     string   `json:"reason"`
	Candidates []string `json:"candidates,omitempty"`
}

// Result tells a picker how an attempt ended.
type Result struct {
	Server  string        `json:"server"`
	Pool    string        `json:"pool"`
	Prefix  uint64        `json:"prefix,omitempty"`
	Service time.Duration `json:"service"`          // from dispatch to end
	Waited  time.Duration `json:"waited,omitempty"` // of that, in the sidecar's queue
	OK      bool          `json:"ok"`
	Refused bool          `json:"refused"` // turned away before it ran
	Load    *Load         `json:"load,omitempty"`
}

// Picker chooses a backend server for a stage. It is given the time, keeps
// its own belief about servers and uses no other source of chance than
// Ask.Seed, so that a recorded trace replays to the same choices.
type Picker interface {
	// Observe replaces what is known of the pool's servers.
	Observe(at time.Duration, servers []Server)
	// Pick chooses a server and counts the attempt as in flight there.
	Pick(at time.Duration, ask Ask) Choice
	// Done says that an attempt picked earlier has ended.
	Done(at time.Duration, result Result)
}

// Proposer carries a command to the quorum of control instances.
type Proposer interface {
	// Propose returns the registry's answer. The outcome kind no-quorum
	// says that the command was not accepted and never will be; an error
	// says that it may have been.
	Propose(ctx context.Context, command *wire.Command) (*wire.Outcome, error)
}
