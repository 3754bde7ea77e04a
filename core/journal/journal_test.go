package journal_test

import (
	"bytes"
	"errors"
	"testing"

	"tanagerroad/core/journal"
)

// frames returns a journal with one frame for each payload.
func frames(payloads ...string) []byte {
	var out []byte
	for _, p := range payloads {
		out = journal.Append(out, []byte(p))
	}
	return out
}

// TestScanStopsAtTornTail truncates a journal at every byte of its last frame.
// Scan must return the frames before it.
func TestScanStopsAtTornTail(t *testing.T) {
	whole := frames("one", "two", "three")
	kept := len(frames("one", "two"))
	for cut := kept; cut < len(whole); cut++ {
		payloads, end, err := journal.Scan(whole[:cut])
		if err != nil || len(payloads) != 2 || end != int64(kept) {
			t.Fatalf("truncated to %d bytes: got %d payloads, end %d, error %v; want 2 payloads and no error", cut, len(payloads), end, err)
		}
	}
}

// TestScanRejectsDamageBeforeTheEnd flips each bit before the last frame. Scan
// must report the damage, since truncating there would lose acknowledged records.
func TestScanRejectsDamageBeforeTheEnd(t *testing.T) {
	whole := frames("one", "two", "three")
	for bit := range 8 * len(frames("one", "two")) {
		damaged := bytes.Clone(whole)
		damaged[bit/8] ^= 1 << (bit % 8)
		var corrupt *journal.CorruptError
		if _, _, err := journal.Scan(damaged); !errors.As(err, &corrupt) {
			t.Fatalf("bit %d flipped: got error %v, want a *CorruptError", bit, err)
		}
	}
}

// FuzzScan checks that Scan terminates on arbitrary bytes, and that framing the
// returned payloads again yields the scanned bytes.
func FuzzScan(f *testing.F) {
	f.Add(frames("one", "two"))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		payloads, end, err := journal.Scan(data)
		if err != nil {
			return
		}
		var again []byte
		for _, p := range payloads {
			again = journal.Append(again, p)
		}
		if !bytes.Equal(again, data[:end]) {
			t.Error("framing the returned payloads again does not yield the scanned bytes")
		}
	})
}
