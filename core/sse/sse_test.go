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

// TestOnlyCompleteEvents checks that however a stream is divided into reads, the
// output is a prefix of it that ends with a complete event, and that LastID is the
// id of that event.
func TestOnlyCompleteEvents(t *testing.T) {
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
			complete := string(s.Feed([]byte(stream[at : at+size])))
			at += size
			if !strings.HasPrefix(stream[out:], complete) {
				t.Fatalf("Feed returned %q, which does not continue the stream", complete)
			}
			out += len(complete)
			if id, ok := ends[out]; out > 0 && (!ok || s.LastID() != id) {
				t.Fatalf("output ends at byte %d with LastID %q, which is not the end of that event", out, s.LastID())
			}
		}
		if out != len(stream) || len(s.Rest()) != 0 {
			t.Fatalf("output has %d of %d bytes", out, len(stream))
		}
	})
}
