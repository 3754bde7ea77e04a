package tanagerroad

import (
	"context"
	"time"

	"tanagerroad/core/wire"
)

// PickRequest holds the requirements of a stage, for choosing a backend server.
type PickRequest struct {
	Pool         string   `json:"pool"`
	Model        string   `json:"model,omitempty"`
	PrefixDigest uint64   `json:"prefix,omitempty"` // digest of the input's first bytes, for cache affinity
	InputPlace   Place    `json:"from"`             // where the input is stored
	InputBytes   int      `json:"bytes"`            // size of the input
	Exclude      []string `json:"exclude,omitempty"`
	Avoid        []string `json:"avoid,omitempty"` // ids; picked only if there are no others
	Seed         uint64   `json:"seed"`            // the picker's only source of randomness
}

// Choice is the outcome of a pick and the reason for it.
type Choice struct {
	Server     string   `json:"server"` // id; empty if no server is eligible
	Address    string   `json:"address"`
	Reason     string   `json:"reason"`
	Candidates []string `json:"candidates,omitempty"`
	Avoided    []string `json:"avoided,omitempty"` // what answers said that kept servers from being picked, and its age
}

// AttemptResult is the outcome of an attempt, with which a picker updates its
// estimates.
type AttemptResult struct {
	Server       string        `json:"server"`
	Pool         string        `json:"pool"`
	PrefixDigest uint64        `json:"prefix,omitempty"`
	ServiceTime  time.Duration `json:"service"`          // from dispatch to the end
	QueueTime    time.Duration `json:"waited,omitempty"` // part of it that was spent in the sidecar's queue
	OK           bool          `json:"ok"`
	Refused      bool          `json:"refused"` // rejected before it ran
	Load         *Load         `json:"load,omitempty"`
}

// Picker chooses a backend server for a stage. It keeps its own estimates of
// the servers. The time is passed in and the seed of each pick is its only
// source of randomness, so that replaying a recorded trace gives the same choices.
type Picker interface {
	// Observe sets the list of known servers, of all pools.
	Observe(at time.Duration, servers []Server)
	// Pick chooses a server and counts the attempt as in flight on it.
	Pick(at time.Duration, req PickRequest) Choice
	// Done records the end of an attempt that Pick placed.
	Done(at time.Duration, result AttemptResult)
}

// Proposer submits commands to the quorum of control instances.
type Proposer interface {
	// Propose submits a command and returns the registry's outcome. The
	// outcome kind no-quorum means that the command was not accepted and never
	// will be; after an error it may have been accepted.
	Propose(ctx context.Context, command *wire.Command) (*wire.Outcome, error)
}
