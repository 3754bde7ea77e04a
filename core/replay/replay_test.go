package replay_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"tanagerroad/core/replay"
)

// TestRecordedTraces replays testdata/*.jsonl against the outcomes that they
// state; see docs/TRACE.md for the format.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			if sum, err := replay.Run(f); err != nil || sum.Steps == 0 {
				t.Errorf("%d decisions, %v", sum.Steps, err)
			}
		})
	}
}

func TestADifferenceIsNamed(t *testing.T) {
	data, err := os.ReadFile("testdata/booking-whose-sidecar-restarted.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	wrong := bytes.Replace(data, []byte(`"kind":"settle","key":{"request":"x-1","stage":0,"attempt":1},"state":"unknown"`), []byte(`"kind":"settle","key":{"request":"x-1","stage":0,"attempt":1},"state":"complete"`), 1)
	if bytes.Equal(wrong, data) {
		t.Fatal("the trace holds no such outcome")
	}
	var d *replay.Difference
	if _, err := replay.Run(bytes.NewReader(wrong)); !errors.As(err, &d) || d.Line != 6 || d.Unit != "request" {
		t.Errorf("got %v, want a difference in line 6", err)
	}
}

// FuzzRun: no trace, however malformed, ends the replay but by an error.
func FuzzRun(f *testing.F) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = replay.Run(bytes.NewReader(data)) // it must only end
	})
}
