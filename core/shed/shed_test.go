package shed_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"tanagerroad/core/shed"
)

// TestCases plays testdata/cases.json.
func TestCases(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		What      string `json:"what"`
		Returning bool   `json:"returning"`
		Rank      int    `json:"rank"`
		Chain     []struct {
			Pieces   int     `json:"pieces"`
			Capacity float64 `json:"capacity"`
			CallMs   int     `json:"call-ms"`
		} `json:"chain"`
		DueMs      int  `json:"due-ms"`
		DeadlineMs int  `json:"deadline-ms"`
		Admit      bool `json:"admit"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	const now = time.Minute
	for _, c := range cases {
		d := shed.New()
		if c.Returning {
			d.Decide(now-time.Second, shed.Ask{Subject: "s", Due: now, Deadline: now, Chain: []shed.Stage{{Pieces: 1e6, Capacity: 1}}})
		}
		ask := shed.Ask{
			Subject: "s", Due: now + time.Duration(c.DueMs)*time.Millisecond, Deadline: now + time.Duration(c.DeadlineMs)*time.Millisecond,
			Rank: c.Rank,
		}
		for _, s := range c.Chain {
			ask.Chain = append(ask.Chain, shed.Stage{Pieces: s.Pieces, Capacity: s.Capacity, Call: time.Duration(s.CallMs) * time.Millisecond})
		}
		got := d.Decide(now, ask)
		if got.Admit != c.Admit {
			t.Errorf("%s: admitted %v, want %v (wait %s, end in %s)", c.What, got.Admit, c.Admit, got.Wait, got.End-now)
		}
		if !got.Admit && (got.Retry <= 0 || got.Retry > ask.Deadline-now) {
			t.Errorf("%s: told to come back after %s, with %s left", c.What, got.Retry, ask.Deadline-now)
		}
	}
}

// TestPromisesAreTakenBack: what a request promised to a pool is counted until
// it has come, has ended or is overdue.
func TestPromisesAreTakenBack(t *testing.T) {
	d := shed.New()
	d.Promise("r1", "p", 4, time.Second)
	d.Promise("r1", "p", 4, time.Second)
	d.Promise("r1", "q", 6, time.Second)
	d.Promise("r2", "p", 4, time.Second)
	if d.Coming("p") != 8 || d.Coming("q") != 6 {
		t.Errorf("promised %d and %d, want 8 and 6", d.Coming("p"), d.Coming("q"))
	}
	d.Kept("r1", "p")
	d.Kept("r1", "p")
	if d.Coming("p") != 4 {
		t.Errorf("after one came: %d, want 4", d.Coming("p"))
	}
	d.Ended("r1")
	d.Expire(2 * time.Second)
	if d.Coming("p") != 0 || d.Coming("q") != 0 {
		t.Errorf("left over: %d and %d", d.Coming("p"), d.Coming("q"))
	}
}
