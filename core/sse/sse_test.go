package sse_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tanagerroad/core/schedule"
	"tanagerroad/core/sse"
)

func TestMain(m *testing.M) { schedule.Main(m, 2000, 300) }

// TestOnlyWholeEvents: however a stream is cut into reads, what comes out is a
// prefix of it that ends with a whole event, and the id is that event's.
func TestOnlyWholeEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		n := rapid.IntRange(1, 8).Draw(t, "events")
		ends := map[int]string{}
		for i := range n {
			newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
			fmt.Fprintf(&text, "id: %d%sdata: %s%s%s", i, newline, rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "data"), newline, newline)
			ends[text.Len()] = fmt.Sprint(i)
		}
		stream := text.String()
		var s sse.Splitter
		out := 0
		for at := 0; at < len(stream); {
			size := min(rapid.IntRange(1, 30).Draw(t, "read"), len(stream)-at)
			whole := string(s.Feed([]byte(stream[at : at+size])))
			at += size
			if !strings.HasPrefix(stream[out:], whole) {
				t.Fatalf("got %q, which does not follow", whole)
			}
			out += len(whole)
			if id, ok := ends[out]; out > 0 && (!ok || s.LastID() != id) {
				t.Fatalf("cut at %d with id %q", out, s.LastID())
			}
		}
		if out != len(stream) || len(s.Rest()) != 0 {
			t.Fatalf("%d of %d bytes came out", out, len(stream))
		}
	})
}
