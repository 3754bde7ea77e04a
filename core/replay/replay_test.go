package replay_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"tanagerroad/core/replay"
)

// TestRecordedTraces replays testdata/*.jsonl and compares the outcomes with the
// recorded ones. The format is documented in docs/TRACE.md.
func TestRecordedTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			if stats, err := replay.Run(f); err != nil || stats.Steps == 0 {
				t.Errorf("replayed %d steps: %v", stats.Steps, err)
			}
		})
	}
}

// TestDifferenceIsReported alters one recorded outcome and checks that Run reports
// its line and unit.
func TestDifferenceIsReported(t *testing.T) {
	data, err := os.ReadFile("testdata/booking-whose-sidecar-restarted.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	wrong := bytes.Replace(data, []byte(`"kind":"settle","key":{"request":"x-1","stage":0,"attempt":1},"state":"unknown"`), []byte(`"kind":"settle","key":{"request":"x-1","stage":0,"attempt":1},"state":"complete"`), 1)
	if bytes.Equal(wrong, data) {
		t.Fatal("the trace does not contain the outcome to alter")
	}
	var d *replay.Difference
	if _, err := replay.Run(bytes.NewReader(wrong)); !errors.As(err, &d) || d.Line != 6 || d.Unit != "request" {
		t.Errorf("got %v, want a difference of unit request in line 6", err)
	}
}

// FuzzRun checks that a malformed trace makes Run return an error and not panic or
// hang.
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
		_, _ = replay.Run(bytes.NewReader(data)) // must return without a panic
	})
}
