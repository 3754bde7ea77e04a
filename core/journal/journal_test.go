package journal_test

import (
	"bytes"
	"errors"
	"testing"

	"tanagerroad/core/journal"
)

func frames(payloads ...string) []byte {
	var out []byte
	for _, p := range payloads {
		out = journal.Append(out, []byte(p))
	}
	return out
}

// TestEveryTornTailIsCut cuts a journal at each byte.
func TestEveryTornTailIsCut(t *testing.T) {
	whole := frames("one", "two", "three")
	kept := len(frames("one", "two"))
	for cut := kept; cut < len(whole); cut++ {
		payloads, end, err := journal.Scan(whole[:cut])
		if err != nil || len(payloads) != 2 || end != int64(kept) {
			t.Fatalf("cut at %d: %d payloads up to %d, %v", cut, len(payloads), end, err)
		}
	}
}

// TestEveryDamageInTheMiddleIsRefused flips each bit before the last frame.
func TestEveryDamageInTheMiddleIsRefused(t *testing.T) {
	whole := frames("one", "two", "three")
	for bit := range 8 * len(frames("one", "two")) {
		damaged := bytes.Clone(whole)
		damaged[bit/8] ^= 1 << (bit % 8)
		var corrupt *journal.Corrupt
		if _, _, err := journal.Scan(damaged); !errors.As(err, &corrupt) {
			t.Fatalf("bit %d flipped: %v, want the damage refused", bit, err)
		}
	}
}

// FuzzScan: whatever the bytes, scanning ends, and what it returns is what was
// framed.
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
			t.Error("the frames up to the end are not the payloads' own")
		}
	})
}
