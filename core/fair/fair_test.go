package fair_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"
	"time"

	"tanagerroad/core/fair"
)

// TestScripts guards against shares that are not max-min fair, that last after their work
// has ended, or that are kept for workspaces that have gone. It runs testdata/scripts.json.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		Description string `json:"what"`
		Steps       []struct {
			AtMs       int      `json:"at-ms"`
			Workspace  string   `json:"workspace"`
			Ask, Admit float64  `json:",omitempty"`
			Over       *float64 `json:"over"`
			Starved    *bool    `json:"starved"`
			Expire     bool     `json:"expire"`
			Accounts   *int     `json:"accounts"`
		} `json:"steps"`
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		shares := fair.New()
		for i, step := range script.Steps {
			at := time.Duration(step.AtMs) * time.Millisecond
			if step.Ask > 0 {
				shares.Ask(at, step.Workspace, step.Ask)
			}
			if step.Admit > 0 {
				shares.Admit(at, step.Workspace, step.Admit)
			}
			if step.Expire {
				shares.Expire(at)
			}
			if step.Over != nil {
				if got := shares.Over(at, step.Workspace); math.Abs(got-*step.Over) > 0.001 {
					t.Errorf("%s, step %d: over its share by %g, want %g", script.Description, i, got, *step.Over)
				}
			}
			if step.Starved != nil {
				if got := shares.Starved(at, step.Workspace); got != *step.Starved {
					t.Errorf("%s, step %d: starved %v, want %v", script.Description, i, got, *step.Starved)
				}
			}
			if step.Accounts != nil && shares.Len() != *step.Accounts {
				t.Errorf("%s, step %d: %d workspaces, want %d", script.Description, i, shares.Len(), *step.Accounts)
			}
		}
	}
}
