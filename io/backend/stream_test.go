package backend

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TestResumedStreamIsWhole reads a model engine's stream over two connections. When
// the stream is resumed, events received before may be sent again. No data may be
// lost or duplicated, and a stream with a gap or with an end event that does not
// match the data must not count as complete.
func TestResumedStreamIsWhole(t *testing.T) {
	const text = "one two three "
	digest := hexDigest(xxhash.Sum64String(text))
	end := `event: end` + "\n" + `data: {"length": 14, "digest": "` + digest + `"}` + "\n\n"
	first := "id: 0\ndata: \"one \"\n\nid: 4\ndata: \"two \"\n\n"
	for _, c := range []struct {
		name, second string
		want         outcomeKind
	}{
		{"from the offset", "id: 8\ndata: \"three \"\n\n" + end, completed},
		{"once more from the start", "id: 0\ndata: \"one two \"\n\nid: 8\ndata: \"three \"\n\n" + end, completed},
		{"event by event from the start", first + "id: 8\ndata: \"three \"\n\n" + end, completed},
		{"overlapping", "id: 4\ndata: \"two three \"\n\n" + end, completed},
		{"with a gap", "id: 9\ndata: \"hree \"\n\n" + end, indeterminate},
		{"ended too early", end, indeterminate},
		{"another end", "id: 8\ndata: \"three \"\n\n" + strings.Replace(end, digest, "0", 1), failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got bytes.Buffer
			s := &stream{
				client:  newClient("127.0.0.1:1", time.Minute, 1<<10, 0),
				deliver: func(p []byte) { got.Write(p) }, hash: xxhash.New(),
			}
			silenceTimer := time.NewTimer(time.Minute)
			defer silenceTimer.Stop()
			s.readEvents(t.Context(), strings.NewReader(first), silenceTimer)
			if result := s.readEvents(t.Context(), strings.NewReader(c.second), silenceTimer); result.kind != c.want {
				t.Errorf("outcome kind %d (%s), want %d", result.kind, result.reason, c.want)
			}
			if c.want == completed && got.String() != text {
				t.Errorf("got %q, want %q", got.String(), text)
			}
		})
	}
}

// endless reads as the same byte, and counts how many were read.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	if e.read > 64<<20 {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

// TestEndlessLine guards against a model engine that sends a line without end, which fills
// the memory of its sidecar.
func TestEndlessLine(t *testing.T) {
	s := &stream{client: newClient("127.0.0.1:1", time.Minute, 1<<10, 0), deliver: func([]byte) {}, hash: xxhash.New()}
	silenceTimer := time.NewTimer(time.Minute)
	defer silenceTimer.Stop()
	body := &endless{}
	if result := s.readEvents(t.Context(), body, silenceTimer); result.kind != failed || body.read > 1<<20 {
		t.Errorf("outcome kind %d (%s) after %d bytes, want %d before 1 MiB", result.kind, result.reason, body.read, failed)
	}
}
