// Package stop holds the state chart of a graceful shutdown: the process
// announces that it is leaving, drains what is in flight, and stops. What is still
// in flight at the drain's time limit is cut off. A second signal has no effect.
package stop

import (
	_ "embed"

	"tanagerroad/core/chart"
)

//go:embed stop.json
var stopJSON []byte

// Chart is the state chart of a graceful shutdown.
var Chart = chart.MustParse("stop.json", stopJSON)

// Events of Chart.
const (
	Signal        = "signal"        // the process got a signal to stop
	GraceElapsed  = "grace-over"    // the grace period, in which others learn that the process leaves, has ended
	Drained       = "drained"       // the drain has ended and everything is closed
	DrainTimedOut = "bound-reached" // the time limit of the drain has passed with work in flight
)

// Serving and Stopped are the initial and the final state of Chart.
const (
	Serving = "serving"
	Stopped = "stopped"
)
