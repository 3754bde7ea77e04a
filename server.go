package tanagerroad

import (
	"slices"
	"time"
)

// Place is the location of a process.
type Place struct {
	Zone   string `json:"zone"` // availability zone
	Region string `json:"region"`
}

// Distance is the distance between two places, in steps that differ in the
// cost of traffic.
type Distance int

// Distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance between p and q.
func (p Place) DistanceTo(q Place) Distance {
	switch {
	case p.Region != q.Region:
		return OtherRegion
	case p.Zone != q.Zone:
		return SameRegion
	}
	return SameZone
}

// ServerState is the state that a backend server reports.
type ServerState string

// States of a backend server.
const (
	Serving ServerState = "serving" // accepts new work
	Leaving ServerState = "leaving" // finishes its work and accepts no more
	Down    ServerState = "down"    // shut down, crashed, or without heartbeats
)

// Load is the state of a sidecar's queue, as the sidecar reports it.
type Load struct {
	InFlight int           `json:"in-flight"`
	Queued   int           `json:"queued"`
	Limit    int           `json:"limit"`           // concurrency limit of attempts
	Latency  time.Duration `json:"latency"`         // mean service time
	Pause    time.Duration `json:"pause,omitempty"` // time for which nothing is started, because the backend server asked for it
}

// Server is the directory's record of a backend server.
type Server struct {
	ID         string      `json:"id"`
	Pool       string      `json:"pool"`
	Kind       string      `json:"kind"` // model-engine or service
	Models     []string    `json:"models,omitempty"`
	Capacity   int         `json:"capacity"`
	Address    string      `json:"address"` // host:port on which its sidecar accepts connections of other instances
	Place      Place       `json:"place"`
	Generation uint64      `json:"generation"` // increases with each start of the sidecar
	Sequence   uint64      `json:"sequence"`   // increases with each lease renewal within a generation
	State      ServerState `json:"state"`
	Load       Load        `json:"load"`
}

// Newer reports whether s was announced later than t.
func (s Server) Newer(t Server) bool {
	if s.Generation != t.Generation {
		return s.Generation > t.Generation
	}
	return s.Sequence > t.Sequence
}

// HasModel reports whether the server has the model; an empty name matches
// every server.
func (s Server) HasModel(model string) bool {
	if model == "" {
		return true
	}
	return slices.Contains(s.Models, model)
}

// Gateway describes a gateway to other gateways.
type Gateway struct {
	Address  string // host:port for other processes
	Zone     string
	Capacity float64 // pieces of stages that it can batch in a second; 0: unknown
}
