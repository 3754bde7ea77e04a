// Package replay runs a recorded trace through the decision code and stops at
// the first outcome that differs from the one recorded.
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

// Sum is what a replay went through.
type Sum struct{ Lines, Steps, Units int }

// Difference is an outcome that is not the one recorded.
type Difference struct {
	Line     int
	Unit, ID string
	Expected string
	Got      string
}

func (d *Difference) Error() string {
	return fmt.Sprintf("line %d: %s %s: expected %s, got %s", d.Line, d.Unit, d.ID, d.Expected, d.Got)
}

// machine is one unit that decides.
type machine interface {
	step(at time.Duration, event json.RawMessage) (any, error)
}

// adapter makes a machine of a unit with typed events and outcomes.
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

// build makes the unit that a configuration line describes.
func build(unit string, config json.RawMessage) (machine, error) {
	switch unit {
	case trace.Request:
		var c request.Config
		if err := json.Unmarshal(config, &c); err != nil {
			return nil, err
		}
		if len(c.Route.Stages) == 0 {
			return nil, errors.New("a request whose route has no stages")
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
		return adapter[stage.Event, []stage.Action]{stage.NewDesk(c).Step}, nil
	}
	return nil, fmt.Errorf("an unknown unit %q", unit)
}

// maxLine is the longest line of a trace, in bytes.
const maxLine = 64 << 20

// Run replays a trace. It returns *Difference at the first outcome that
// differs.
func Run(in io.Reader) (Sum, error) {
	var sum Sum
	machines := map[string]machine{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		sum.Lines++
		var line trace.Line
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return sum, fmt.Errorf("line %d: %w", sum.Lines, err)
		}
		if line.Version != trace.Version {
			return sum, fmt.Errorf("line %d: version %d of the format, want %d", sum.Lines, line.Version, trace.Version)
		}
		if err := replayLine(line, machines, &sum); err != nil {
			return sum, err
		}
	}
	return sum, lines.Err()
}

var errNoConfig = errors.New("an event of a unit whose configuration was not recorded")

func replayLine(line trace.Line, machines map[string]machine, sum *Sum) error {
	name := line.Unit + " " + line.ID
	if line.Config != nil {
		m, err := build(line.Unit, line.Config)
		if err != nil {
			return fmt.Errorf("line %d: %w", sum.Lines, err)
		}
		machines[name] = m
		sum.Units++
		return nil
	}
	m, ok := machines[name]
	if !ok {
		return fmt.Errorf("line %d: %w", sum.Lines, errNoConfig)
	}
	outcome, err := m.step(line.At, line.Event)
	if err != nil {
		return fmt.Errorf("line %d: %w", sum.Lines, err)
	}
	got, err := json.Marshal(outcome)
	if err != nil {
		return fmt.Errorf("line %d: %w", sum.Lines, err)
	}
	sum.Steps++
	if !bytes.Equal(got, compact(line.Outcome)) {
		return &Difference{sum.Lines, line.Unit, line.ID, string(line.Outcome), string(got)}
	}
	return nil
}

// compact drops white space, so that a trace may be written by hand.
func compact(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return raw
	}
	return b.Bytes()
}
