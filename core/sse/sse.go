// Package sse splits a text/event-stream (server-sent events) into complete
// events, so that a stream that breaks off in the middle of an event can be
// resumed on another backend server after the last complete one. Lines end with
// LF, CR or CRLF, also within one stream.
package sse

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
)

// Errors of CheckEnd.
var (
	ErrInsideEvent = errors.New("the stream ended inside an event")
	ErrEventLost   = errors.New("the stream ended without the event that its previous run broke off")
	ErrNoEvent     = errors.New("the stream ended with its connection before its first event")
	ErrNotResumed  = errors.New("an event does not follow those of the run before: it has no later id, or fields that no event had")
)

// Splitter buffers the bytes of a stream and returns them in complete events.
type Splitter struct {
	// Field is the name of another event field whose latest value is available
	// from Value; "" for none.
	Field string

	pending   []byte   // bytes after the last complete event
	lineStart int      // start of the current line in pending
	scanned   int      // bytes of pending that were searched for line ends
	afterCR   bool     // the last line ended with CR; an LF that follows belongs to its end
	seenCRLF  bool     // a line of the stream ended with CRLF
	event     event    // the incomplete event
	events    int      // complete events of this run
	fields    []string // names that events have had besides the usual ones
	resumed   bool     // this run goes on behind the events of an earlier one
	err       error
	eventOwed bool // the previous run broke off an event that this one has not completed
	canResume bool // the last complete event has an id
	lastID    string
	value     string
}

// event is an event that is not complete yet.
type event struct {
	begun           bool     // it has a line that is not a comment
	fields          []string // names of its fields besides the usual ones
	id, value       string
	hasID, hasValue bool
}

// Events returns the number of complete events since the last Reset.
func (s *Splitter) Events() int { return s.events }

// Resume says that the stream goes on behind an event with the given id, which this
// splitter has not seen.
func (s *Splitter) Resume(lastID string) { s.lastID, s.resumed = lastID, true }

// Err returns ErrNotResumed once an event of a resumed run does not follow those before;
// neither it nor what comes after it is returned by Feed.
func (s *Splitter) Err() error { return s.err }

// Feed appends data and returns all buffered bytes up to the end of the last
// complete event, or nil when no event is complete. The result is valid until the
// next call.
func (s *Splitter) Feed(data []byte) []byte {
	s.pending = append(s.pending, data...)
	boundary := s.scan(false)
	if boundary == 0 {
		return nil
	}
	complete := bytes.Clone(s.pending[:boundary])
	s.pending = append(s.pending[:0], s.pending[boundary:]...)
	s.lineStart, s.scanned = s.lineStart-boundary, s.scanned-boundary
	return complete
}

// scan handles the buffered lines and returns the end of the last complete event, or 0
// if there is none. Unless the input has ended, it leaves a CR at the end of the buffer
// if an LF is likely to follow, so that an event is not divided from its last byte.
func (s *Splitter) scan(ended bool) int {
	boundary := 0
	for ; s.scanned < len(s.pending) && s.err == nil; s.scanned++ {
		b := s.pending[s.scanned]
		if b == '\r' && s.seenCRLF && !ended && s.scanned == len(s.pending)-1 {
			break
		}
		inCRLF := b == '\n' && s.afterCR
		s.afterCR = b == '\r'
		switch {
		case inCRLF: // its line has ended already
			s.seenCRLF = true
			if boundary == s.scanned {
				boundary++
			}
		case b != '\n' && b != '\r':
			continue
		case s.lineStart == s.scanned: // a blank line ends the event
			if s.err = s.checkEvent(); s.err != nil {
				return boundary
			}
			boundary = s.scanned + 1
			s.completeEvent()
		default:
			s.addLine(s.pending[s.lineStart:s.scanned])
		}
		s.lineStart = s.scanned + 1
	}
	return boundary
}

// addLine adds a line to the incomplete event.
func (s *Splitter) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 { // a comment
		return
	}
	s.event.begun = true
	switch string(name) {
	case "id":
		s.event.id, s.event.hasID = string(bytes.TrimSpace(value)), true
	case s.Field:
		s.event.value, s.event.hasValue = string(bytes.TrimSpace(value)), true
	case "data", "event", "retry":
	default:
		s.event.fields = append(s.event.fields, string(name[:min(len(name), maxFieldName)]))
	}
}

const (
	maxFieldName = 64 // bytes of a field's name that are compared
	maxFields    = 16 // unusual names that are remembered of a stream
)

// checkEvent returns an error if the event that has ended cannot follow those of an earlier
// run. A backend server may answer with its error, or another answer's head, instead.
func (s *Splitter) checkEvent() error {
	if !s.resumed || !s.event.begun {
		return nil
	}
	unusual := slices.ContainsFunc(s.event.fields, func(name string) bool { return !slices.Contains(s.fields, name) })
	if unusual && s.fields != nil || s.event.id == "" || !isLater(s.event.id, s.lastID) {
		return ErrNotResumed
	}
	return nil
}

// isLater reports whether an event with one id may follow an event with another one. Ids
// that are numbers increase.
func isLater(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	if err == nil && lastErr == nil {
		return n > m
	}
	return id != last && (err == nil) == (lastErr == nil)
}

// completeEvent applies the fields of the event that has ended, if there is one.
func (s *Splitter) completeEvent() {
	if s.event.begun {
		s.events++
		s.eventOwed = false
		s.canResume = s.event.id != ""
		s.rememberFields()
	}
	if s.event.hasID {
		s.lastID = s.event.id
	}
	if s.event.hasValue {
		s.value = s.event.value
	}
	s.event = event{}
}

// rememberFields remembers the unusual fields of the event that has ended.
func (s *Splitter) rememberFields() {
	if s.fields == nil && !s.resumed {
		s.fields = []string{} // the stream has begun here
	}
	for _, name := range s.event.fields {
		if !slices.Contains(s.fields, name) && len(s.fields) < maxFields {
			s.fields = append(s.fields, name)
		}
	}
}

// Rest returns the buffered bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.pending }

// Partial returns the number of buffered bytes if the stream is inside an event or a
// line, and 0 if it may end here.
func (s *Splitter) Partial() int {
	if !s.event.begun && s.lineStart == len(s.pending) {
		return 0
	}
	return len(s.pending)
}

// CheckEnd returns an error if the stream, whose input has ended, broke off. delimited
// reports whether the transport marks the end, with a length or a last chunk. If it does
// not, a stream that broke off between two events cannot be told from a complete one.
func (s *Splitter) CheckEnd(delimited bool) error {
	s.scan(true)
	switch {
	case s.err != nil:
		return s.err
	case s.Partial() > 0:
		return ErrInsideEvent
	case s.eventOwed:
		return ErrEventLost
	case s.events == 0 && !delimited:
		return ErrNoEvent
	}
	return nil
}

// Reset discards the buffered bytes of an incomplete event, for another run of the
// stream.
func (s *Splitter) Reset() {
	s.eventOwed = s.eventOwed || s.Partial() > 0
	s.resumed = s.resumed || s.events > 0
	s.events, s.err = 0, nil
	s.pending, s.lineStart, s.scanned, s.afterCR, s.event = s.pending[:0], 0, 0, false, event{}
}

// LastID returns the id of the last complete event that had one.
func (s *Splitter) LastID() string { return s.lastID }

// CanResume reports whether another run can continue after the last complete event,
// which takes an id of its own.
func (s *Splitter) CanResume() bool { return s.canResume }

// Value returns the latest value of the field named by Field.
func (s *Splitter) Value() string { return s.value }
