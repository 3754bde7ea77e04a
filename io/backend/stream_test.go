package backend

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TestResumedStreamIsWhole reads an engine's events in two connections whose
// parts overlap; nothing is lost or doubled, a gap or a false end is no whole.
func TestResumedStreamIsWhole(t *testing.T) {
	const text = "one two three "
	digest := hexDigest(xxhash.Sum64String(text))
	end := `event: end` + "\n" + `data: {"length": 14, "digest": "` + digest + `"}` + "\n\n"
	first := "id: 0\ndata: \"one \"\n\nid: 4\ndata: \"two \"\n\n"
	for _, c := range []struct {
		name, second string
		want         fate
	}{
		{"from the offset", "id: 8\ndata: \"three \"\n\n" + end, whole},
		{"once more from the start", "id: 0\ndata: \"one two \"\n\nid: 8\ndata: \"three \"\n\n" + end, whole},
		{"event by event from the start", first + "id: 8\ndata: \"three \"\n\n" + end, whole},
		{"overlapping", "id: 4\ndata: \"two three \"\n\n" + end, whole},
		{"with a gap", "id: 9\ndata: \"hree \"\n\n" + end, lost},
		{"ended too early", end, lost},
		{"another end", "id: 8\ndata: \"three \"\n\n" + strings.Replace(end, digest, "0", 1), failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got bytes.Buffer
			s := &stream{
				client: newClient("127.0.0.1:1", time.Minute, 1<<10, 0),
				take:   func(p []byte) { got.Write(p) }, hash: xxhash.New(),
			}
			quiet := time.NewTimer(time.Minute)
			defer quiet.Stop()
			s.read(t.Context(), strings.NewReader(first), quiet)
			if end := s.read(t.Context(), strings.NewReader(c.second), quiet); end.fate != c.want {
				t.Errorf("fate %d (%s), want %d", end.fate, end.reason, c.want)
			}
			if c.want == whole && got.String() != text {
				t.Errorf("got %q, want %q", got.String(), text)
			}
		})
	}
}
