// Package trace records the events and outcomes of the decision code as JSON lines,
// which package replay feeds to the same code again. The format is documented in
// docs/TRACE.md.
package trace

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Version is the version of the trace format.
const Version = 1

// Units are the parts of the decision code whose steps are recorded.
const (
	Request = "request" // one request at its entry
	Router  = "router"  // admission, choice of backend servers and retry budget of one entry
	Stage   = "stage"   // the attempts at one sidecar
)

// Line is one line of a trace: either the configuration of a unit, or one event
// with its outcome.
type Line struct {
	Version int             `json:"v"`
	Unit    string          `json:"unit"`
	ID      string          `json:"id"` // distinguishes several units of the same kind
	At      time.Duration   `json:"at"` // time of the event on the process's clock
	Config  json.RawMessage `json:"config,omitempty"`
	Event   json.RawMessage `json:"event,omitempty"`
	Outcome json.RawMessage `json:"outcome,omitempty"`
}

// Writer writes a trace and is safe for concurrent use. A nil Writer writes
// nothing, so that callers need not check whether tracing is enabled.
type Writer struct {
	mu      sync.Mutex
	out     *json.Encoder
	onError func(error)
}

// NewWriter returns a Writer to out. It calls onError for each value that could not
// be encoded or written; onError must not use the Writer, which may be locked.
func NewWriter(out io.Writer, onError func(error)) *Writer {
	return &Writer{out: json.NewEncoder(out), onError: onError}
}

// Begin records the configuration of a new unit.
func (w *Writer) Begin(unit, id string, config any) {
	if w == nil {
		return
	}
	w.write(Line{Version: Version, Unit: unit, ID: id, Config: w.encode(config)})
}

// Step records one event, which happened at time at, and its outcome.
func (w *Writer) Step(unit, id string, at time.Duration, event, outcome any) {
	if w == nil {
		return
	}
	w.write(Line{Version: Version, Unit: unit, ID: id, At: at, Event: w.encode(event), Outcome: w.encode(outcome)})
}

// encode returns v as JSON. On failure it calls onError and returns nil, so that
// the line is written without the value.
func (w *Writer) encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		w.onError(err)
		return nil
	}
	return data
}

func (w *Writer) write(line Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.out.Encode(line); err != nil {
		w.onError(err)
	}
}
