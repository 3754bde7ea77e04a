// Package replay feeds the events of a recorded trace to the decision code and
// stops at the first outcome that differs from the recorded one.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"tanagerroad/core/request"
	"tanagerroad/core/router"
	"tanagerroad/core/stage"
	"tanagerroad/core/trace"
)

// Stats counts what a replay has processed: lines of the trace, steps (events whose
// outcome was compared) and units whose configuration was read.
type Stats struct{ Lines, Steps, Units int }

// Difference is the error for an outcome that differs from the recorded one.
// Expected and Got are outcomes as JSON.
type Difference struct {
	Line     int
	Unit, ID string
	Expected string
	Got      string
}

func (d *Difference) Error() string {
	return fmt.Sprintf("line %d: %s %s: expected %s, got %s", d.Line, d.Unit, d.ID, d.Expected, d.Got)
}

// machine is one unit of decision code: a request, a router or a sidecar's stage.
// Its step takes an event as JSON and returns the outcome to be encoded.
type machine interface {
	step(at time.Duration, event json.RawMessage) (any, error)
}

// adapter implements machine for a unit with typed events and outcomes.
type adapter[E, O any] struct {
	decide func(time.Duration, E) O
}

func (a adapter[E, O]) step(at time.Duration, raw json.RawMessage) (any, error) {
	var e E
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("event: %w", err)
	}
	return a.decide(at, e), nil
}

// newMachine creates the unit that a configuration line describes.
func newMachine(unit string, config json.RawMessage) (machine, error) {
	switch unit {
	case trace.Request:
		var c request.Config
		if err := json.Unmarshal(config, &c); err != nil {
			return nil, err
		}
		if len(c.Route.Stages) == 0 {
			return nil, errors.New("the route of the request has no stages")
		}
		return adapter[request.Event, []request.Action]{request.New(c).Step}, nil
	case trace.Router:
		var c router.Config
		if err := json.Unmarshal(config, &c); err != nil {
			return nil, err
		}
		r, err := router.New(c)
		if err != nil {
			return nil, err
		}
		return adapter[router.Event, router.Verdict]{r.Step}, nil
	case trace.Stage:
		var c stage.Config
		if err := json.Unmarshal(config, &c); err != nil {
			return nil, err
		}
		return adapter[stage.Event, []stage.Action]{stage.NewScheduler(c).Step}, nil
	}
	return nil, fmt.Errorf("unknown unit %q", unit)
}

// maxLine is the longest line of a trace, in bytes.
const maxLine = 64 << 20

// Run replays a trace of JSON lines, as package trace writes them. It returns a
// *Difference at the first outcome that differs, and another error for a line that
// it can't read. The counts cover the lines up to there.
func Run(in io.Reader) (Stats, error) {
	var stats Stats
	machines := map[string]machine{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		stats.Lines++
		var line trace.Line
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return stats, fmt.Errorf("line %d: %w", stats.Lines, err)
		}
		if line.Version != trace.Version {
			return stats, fmt.Errorf("line %d: trace format version %d is not supported, want %d", stats.Lines, line.Version, trace.Version)
		}
		if err := replayLine(line, machines, &stats); err != nil {
			return stats, err
		}
	}
	return stats, lines.Err()
}

var errNoConfig = errors.New("event of a unit without a preceding configuration line")

// replayLine creates the unit of a configuration line, or runs one event and
// compares its outcome.
func replayLine(line trace.Line, machines map[string]machine, stats *Stats) error {
	name := line.Unit + " " + line.ID
	if line.Config != nil {
		m, err := newMachine(line.Unit, line.Config)
		if err != nil {
			return fmt.Errorf("line %d: %w", stats.Lines, err)
		}
		machines[name] = m
		stats.Units++
		return nil
	}
	m, ok := machines[name]
	if !ok {
		return fmt.Errorf("line %d: %w", stats.Lines, errNoConfig)
	}
	outcome, err := m.step(line.At, line.Event)
	if err != nil {
		return fmt.Errorf("line %d: %w", stats.Lines, err)
	}
	got, err := json.Marshal(outcome)
	if err != nil {
		return fmt.Errorf("line %d: %w", stats.Lines, err)
	}
	stats.Steps++
	if !bytes.Equal(got, compact(line.Outcome)) {
		return &Difference{stats.Lines, line.Unit, line.ID, string(line.Outcome), string(got)}
	}
	return nil
}

// compact removes white space, so that hand-written traces need not match the
// encoder's format. Invalid JSON is returned unchanged.
func compact(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}
