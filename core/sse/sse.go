// Package sse splits a text/event-stream (server-sent events) into complete
// events, so that a stream that breaks off in the middle of an event can be
// resumed on another backend server after the last complete one.
package sse

import "bytes"

// Splitter buffers the bytes of a stream and returns them in complete events.
type Splitter struct {
	// Field is the name of another event field whose latest value is available
	// from Value; "" for none.
	Field   string
	pending []byte
	lastID  string
	value   string
}

// Feed appends data and returns all buffered bytes up to the end of the last
// complete event, or nil when no event is complete. The result is valid until the
// next call.
func (s *Splitter) Feed(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := lastBoundary(s.pending)
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	if id, ok := lastField(complete, "id"); ok {
		s.lastID = id
	}
	if s.Field != "" {
		if value, ok := lastField(complete, s.Field); ok {
			s.value = value
		}
	}
	return complete
}

// Rest returns the buffered bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.pending }

// Reset discards the buffered bytes of an incomplete event, for a stream that is
// resumed on another backend server.
func (s *Splitter) Reset() { s.pending = s.pending[:0] }

// LastID returns the id of the last complete event that had one.
func (s *Splitter) LastID() string { return s.lastID }

// Value returns the latest value of the field named by Field.
func (s *Splitter) Value() string { return s.value }

// lastBoundary returns the length of data up to and including its last blank
// line, or 0 if it has none.
func lastBoundary(data []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(data, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// lastField returns the value of the last field of that name, and whether there
// is one.
func lastField(events []byte, name string) (string, bool) {
	value, found := "", false
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, []byte(name+":")); ok {
			value, found = string(bytes.TrimSpace(rest)), true
		}
	}
	return value, found
}
