package sse_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tanagerroad/core/schedule"
	"tanagerroad/core/sse"
)

func TestMain(m *testing.M) { schedule.Main(m, 2000, 300) }

// lineEnds are the ends of a line and of the blank line after it. CR and LF one after
// the other would be one end.
var lineEnds = [][2]string{{"\n", "\n"}, {"\n", "\r"}, {"\n", "\r\n"}, {"\r", "\r"}, {"\r", "\r\n"}, {"\r\n", "\n"}, {"\r\n", "\r"}, {"\r\n", "\r\n"}}

// TestOnlyCompleteEvents checks that however a stream is divided into reads, the
// output is a prefix of it that ends with a complete event, and that LastID is the
// id of that event.
func TestOnlyCompleteEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		n := rapid.IntRange(1, 8).Draw(t, "events")
		ends := map[int]string{}
		for i := range n {
			first := rapid.SampledFrom([]string{"\n", "\r", "\r\n"}).Draw(t, "newline")
			last := rapid.SampledFrom(lineEnds).Draw(t, "ends")
			fmt.Fprintf(&text, "id: %d%sdata: %s%s%s", i, first, rapid.StringMatching(`[a-z ]{0,40}`).Draw(t, "data"), last[0], last[1])
			ends[text.Len()] = fmt.Sprint(i)
			if last[1] == "\r\n" {
				ends[text.Len()-1] = fmt.Sprint(i) // CR alone ends the blank line
			}
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
			if last := lastEnd(ends, at); out < last && (last < at || stream[last-1] != '\r') {
				t.Fatalf("output ends at byte %d, although an event that ends at byte %d was read", out, last)
			}
		}
		if err := s.CheckEnd(true); err != nil || out+len(s.Rest()) != len(stream) {
			t.Fatalf("output has %d of %d bytes, and %q is left (error %v)", out, len(stream), s.Rest(), err)
		}
	})
}

// lastEnd returns the last of the ends up to byte at.
func lastEnd(ends map[int]string, at int) int {
	last := 0
	for end := range ends {
		if end <= at {
			last = max(last, end)
		}
	}
	return last
}

// TestEnds checks where a stream may end, in the cases of testdata/ends.json.
func TestEnds(t *testing.T) {
	data, err := os.ReadFile("testdata/ends.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		What string
		Runs []struct {
			Reads     []string
			Delimited bool
			Want      string // error of CheckEnd
		}
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		var s sse.Splitter
		for i, run := range c.Runs {
			s.Reset()
			for _, read := range run.Reads {
				s.Feed([]byte(read))
			}
			got := ""
			if err := s.CheckEnd(run.Delimited); err != nil {
				got = err.Error()
			}
			if got != run.Want {
				t.Errorf("%s: run %d: got %q, want %q", c.What, i+1, got, run.Want)
			}
		}
	}
}

// TestCutInsideEventIsNoticed cuts streams at any byte: one that is cut inside an event
// never counts as complete, however its end is marked, and one that is cut after an
// event does.
func TestCutInsideEventIsNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var ends []int
		for i := range rapid.IntRange(1, 5).Draw(t, "events") {
			newline := rapid.SampledFrom([]string{"\n", "\r", "\r\n"}).Draw(t, "newline")
			fmt.Fprintf(&text, "id: %d%sdata: %s%s%s", i, newline, rapid.StringMatching(`[a-z:]{0,9}`).Draw(t, "data"), newline, newline)
			ends = append(ends, text.Len())
			if newline == "\r\n" {
				ends = append(ends, text.Len()-1)
			}
		}
		cut := rapid.IntRange(1, text.Len()).Draw(t, "cut")
		var s sse.Splitter
		for _, b := range []byte(text.String()[:cut]) {
			s.Feed([]byte{b})
		}
		err := s.CheckEnd(rapid.Bool().Draw(t, "delimited"))
		if whole := slices.Contains(ends, cut); whole != (err == nil) || !whole && !errors.Is(err, sse.ErrInsideEvent) {
			t.Fatalf("cut after byte %d of %q: got %v, want an error: %t", cut, text.String(), err, !whole)
		}
	})
}
