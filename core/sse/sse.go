// Package sse splits a text/event-stream into whole events, so that a stream
// that breaks off in the middle of one can go on elsewhere after the last whole
// event.
package sse

import "bytes"

// Splitter gathers bytes and hands out whole events.
type Splitter struct {
	// Field names another line whose latest value is kept; empty: none.
	Field   string
	pending []byte
	last    string
	value   string
}

// Feed takes bytes and returns those that end with a whole event; nil when
// there is none yet. The result is valid until the next call.
func (s *Splitter) Feed(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := lastBoundary(s.pending)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	if id, ok := lastField(whole, "id"); ok {
		s.last = id
	}
	if s.Field != "" {
		if value, ok := lastField(whole, s.Field); ok {
			s.value = value
		}
	}
	return whole
}

// Rest is what follows the last whole event.
func (s *Splitter) Rest() []byte { return s.pending }

// Reset drops what follows the last whole event, for a stream that goes on
// elsewhere.
func (s *Splitter) Reset() { s.pending = s.pending[:0] }

// LastID is the id of the last whole event that had one.
func (s *Splitter) LastID() string { return s.last }

// Value is the latest value of the field that is kept.
func (s *Splitter) Value() string { return s.value }

// lastBoundary is the length of the data up to its last blank line.
func lastBoundary(data []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(data, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

func lastField(events []byte, name string) (string, bool) {
	value, found := "", false
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, []byte(name+":")); ok {
			value, found = string(bytes.TrimSpace(rest)), true
		}
	}
	return value, found
}
