package balance_test

import (
	"encoding/json"
	"os"
	"testing"

	"tanagerroad/core/balance"
)

// Bounds of docs/design/hard-load.md: the busiest server against the mean in bursts, and the
// shared tokens read again against lowest-cost.
const (
	maxRatio     = 1.5
	maxReadAgain = 1.05
)

// TestBurstsOverloadNoServer guards against servers that are overloaded in turns, or for
// the prompt parts that they cache, while others are idle in a burst.
func TestBurstsOverloadNoServer(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute, and many with the race detector; runs without -short")
	}
	data, err := os.ReadFile("testdata/bursts.json")
	if err != nil {
		t.Fatal(err)
	}
	var replays []replay
	if err := json.Unmarshal(data, &replays); err != nil {
		t.Fatal(err)
	}
	for _, r := range replays {
		t.Run(r.Name, func(t *testing.T) {
			before, after := r.mean(balance.LowestCost), r.mean(balance.Even)
			t.Logf("before %v, after %v", before, after)
			if before.Ratio <= maxRatio {
				t.Errorf("busiest/mean is %.2f with lowest-cost: the replay shows nothing", before.Ratio)
			}
			if after.Ratio > maxRatio {
				t.Errorf("busiest/mean is %.2f, want at most %.2f (%.2f with lowest-cost)", after.Ratio, maxRatio, before.Ratio)
			}
			if after.ReadAgain > maxReadAgain*before.ReadAgain {
				t.Errorf("%.2f million shared tokens were read again, %.2f with lowest-cost", after.ReadAgain, before.ReadAgain)
			}
			if after.FirstP99 > before.FirstP99 {
				t.Errorf("p99 of the time to the first token is %v, %v with lowest-cost", after.FirstP99, before.FirstP99)
			}
		})
	}
}
