// Package trace records what the decision code was told and what it decided,
// as JSON lines, and replays such a recording through the same code. The
// format is documented in docs/TRACE.md.
package trace

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Version of the format.
const Version = 1

// Units that are recorded.
const (
	Request = "request"
	Router  = "router"
	Stage   = "stage"
)

// Line is one line of a recording: the configuration of a unit, or one event
// with its outcome.
type Line struct {
	Version int             `json:"v"`
	Unit    string          `json:"unit"`
	ID      string          `json:"id"` // of the unit's instance
	At      time.Duration   `json:"at"` // of the process's clock
	Config  json.RawMessage `json:"config,omitempty"`
	Event   json.RawMessage `json:"event,omitempty"`
	Outcome json.RawMessage `json:"outcome,omitempty"`
}

// Writer records lines. A nil Writer records nothing, so that callers need not
// ask whether recording is on.
type Writer struct {
	mu     sync.Mutex
	out    *json.Encoder
	failed func(error)
}

// NewWriter records to out; failed hears of lines that could not be written.
func NewWriter(out io.Writer, failed func(error)) *Writer {
	return &Writer{out: json.NewEncoder(out), failed: failed}
}

// Begin records the configuration of a new instance of a unit.
func (w *Writer) Begin(unit, id string, config any) {
	if w == nil {
		return
	}
	w.write(Line{Version: Version, Unit: unit, ID: id, Config: w.raw(config)})
}

// Step records one event and what was decided.
func (w *Writer) Step(unit, id string, at time.Duration, event, outcome any) {
	if w == nil {
		return
	}
	w.write(Line{Version: Version, Unit: unit, ID: id, At: at, Event: w.raw(event), Outcome: w.raw(outcome)})
}

func (w *Writer) raw(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		w.failed(err)
		return nil
	}
	return data
}

func (w *Writer) write(line Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.out.Encode(line); err != nil {
		w.failed(err)
	}
}
