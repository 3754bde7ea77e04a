package tanagerroad

import (
	"slices"
	"time"
)

// Place is where a process runs.
type Place struct {
	Zone   string `json:"zone"` // availability zone
	Region string `json:"region"`
}

// Distance is how far two places lie apart.
type Distance int

// Distances, from near to far.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo says how far q lies from p.
func (p Place) DistanceTo(q Place) Distance {
	switch {
	case p.Region != q.Region:
		return OtherRegion
	case p.Zone != q.Zone:
		return SameRegion
	}
	return SameZone
}

// ServerState is what a backend server says of itself.
type ServerState string

// States of a backend server.
const (
	Serving ServerState = "serving"
	Leaving ServerState = "leaving"
	Down    ServerState = "down"
)

// Load is what a sidecar reports about its queue.
type Load struct {
	InFlight int           `json:"in-flight"`
	Queued   int           `json:"queued"`
	Limit    int           `json:"limit"` // attempts that it runs at once
	Latency  time.Duration `json:"latency"`
}

// Server is a backend server as the directory knows it.
type Server struct {
	ID         string      `json:"id"`
	Pool       string      `json:"pool"`
	Kind       string      `json:"kind"` // model-engine or service
	Models     []string    `json:"models,omitempty"`
	Capacity   int         `json:"capacity"`
	Address    string      `json:"address"` // host:port of its sidecar's peer listener
	Place      Place       `json:"place"`
	Generation uint64      `json:"generation"` // grows with each start of the sidecar
	Sequence   uint64      `json:"sequence"`   // grows with each renewal within a generation
	State      ServerState `json:"state"`
	Load       Load        `json:"load"`
}

// Newer reports whether s was announced after t.
func (s Server) Newer(t Server) bool {
	if s.Generation != t.Generation {
		return s.Generation > t.Generation
	}
	return s.Sequence > t.Sequence
}

// HasModel reports whether the server can serve model; any server serves the
// empty model.
func (s Server) HasModel(model string) bool {
	if model == "" {
		return true
	}
	return slices.Contains(s.Models, model)
}
