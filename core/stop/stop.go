// Package stop holds the state chart of a process's planned stop: it leaves,
// drains what is in flight and stops. A second signal changes nothing.
package stop

import (
	_ "embed"

	"tanagerroad/core/chart"
)

//go:embed stop.json
var stopJSON []byte

// Chart is the chart of a planned stop.
var Chart = chart.MustParse("stop.json", stopJSON)

// Events of the chart.
const (
	Signal       = "signal"
	GraceOver    = "grace-over"
	Drained      = "drained"
	BoundReached = "bound-reached"
)

// Serving and Stopped are its first and its last state.
const (
	Serving = "serving"
	Stopped = "stopped"
)
