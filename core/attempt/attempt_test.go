package attempt_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/attempt"
	"tanagerroad/core/schedule"
)

func TestMain(m *testing.M) { schedule.Main(m, 20000, 1000) }

// TestCases checks the actions after the attempts listed in testdata/cases.json.
func TestCases(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		What        string                    `json:"what"`
		Repeat      tanagerroad.Repeatability `json:"repeat"`
		Resumable   bool                      `json:"resumable"`
		Max         int                       `json:"max"`
		Budget      *int                      `json:"budget"`
		RemainingMs int                       `json:"left-ms"`
		Status      int                       `json:"status"`
		Ends        []attempt.End             `json:"ends"`
		Want        []attempt.Action          `json:"want"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		remaining := time.Second
		if c.RemainingMs > 0 {
			remaining = time.Duration(c.RemainingMs) * time.Millisecond
		}
		r := attempt.Request{Repeat: c.Repeat, Resumable: c.Resumable, MaxServers: c.Max, Deadline: remaining}
		for i, end := range c.Ends {
			r.Begin()
			got := r.Next(0, end, max(c.Status, 200), func() bool { return c.Budget == nil || *c.Budget > 0 })
			if got != c.Want[i] {
				t.Errorf("%s: after %v: action %s, want %s", c.What, c.Ends[:i+1], got, c.Want[i])
			}
		}
	}
}

// TestPaused checks what happens while all backend servers want no requests.
func TestPaused(t *testing.T) {
	for _, c := range []struct {
		what  string
		until time.Duration
		ends  []attempt.End
		want  attempt.Action
	}{
		{"time is left", 900 * time.Millisecond, nil, attempt.Wait},
		{"a broken stream, and time is left", 900 * time.Millisecond, []attempt.End{attempt.Broken}, attempt.Wait},
		{"no time is left", 990 * time.Millisecond, nil, attempt.Refuse},
		{"it was rejected, and no time is left", 2 * time.Second, []attempt.End{attempt.Rejected}, attempt.Refuse},
		{"it may have run, and no time is left", 2 * time.Second, []attempt.End{attempt.Lost}, attempt.Fail},
		{"its stream has begun, and no time is left", 2 * time.Second, []attempt.End{attempt.Broken}, attempt.Abort},
	} {
		r := attempt.Request{Repeat: tanagerroad.Stream, Resumable: true, MaxServers: 3, Deadline: time.Second}
		for _, end := range c.ends {
			r.Begin()
			r.Next(0, end, 0, func() bool { return true })
		}
		if got := r.NextPaused(c.until); got != c.want {
			t.Errorf("%s: action %s, want %s", c.what, got, c.want)
		}
	}
}

// TestRetryInvariants checks for any series of attempts: a request that may run
// only once is not sent again after it may have run, "not run" is answered only
// when nothing may have run, no more backend servers are used than allowed, an
// answer that has begun is not replaced by another one, and only a stream is resumed.
func TestRetryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := attempt.Request{
			Repeat:    rapid.SampledFrom([]tanagerroad.Repeatability{tanagerroad.Idempotent, tanagerroad.AtMostOnce, tanagerroad.Stream}).Draw(t, "repeat"),
			Resumable: rapid.Bool().Draw(t, "resumable"), MaxServers: rapid.IntRange(1, 4).Draw(t, "max"), Deadline: time.Second,
		}
		ran, begun := 0, false
		for {
			r.Begin()
			end := rapid.SampledFrom([]attempt.End{
				attempt.Unsent, attempt.Rejected, attempt.Misplaced, attempt.Lost, attempt.Answered, attempt.Broken,
			}).Draw(t, "end")
			status := rapid.SampledFrom([]int{200, 404, 500, 504}).Draw(t, "status")
			if end == attempt.Lost || end == attempt.Answered || end == attempt.Broken {
				ran++
			}
			action := r.Next(0, end, status, func() bool { return rapid.Bool().Draw(t, "budget") })
			again := action == attempt.Retry || action == attempt.Resume
			once := r.Repeat == tanagerroad.AtMostOnce || r.Repeat == tanagerroad.Stream && !r.Resumable
			if again && once && ran > 0 {
				t.Fatalf("sent again after %s although it may have run", end)
			}
			if again && ran >= r.MaxServers {
				t.Fatalf("sent again after it may have run on %d backend servers, the most allowed", r.MaxServers)
			}
			if action == attempt.Resume && r.Repeat != tanagerroad.Stream {
				t.Fatalf("resumed an answer that is no stream")
			}
			begun = begun || end == attempt.Broken
			if begun && (action == attempt.Refuse || action == attempt.Fail) {
				t.Fatalf("action %s although the answer has begun", action)
			}
			if lost := end == attempt.Lost || end == attempt.Broken; ran == 0 && r.MayHaveRun() || lost && !r.MayHaveRun() {
				t.Fatalf("after %s, with %d attempts that may have run: may have run is %t", end, ran, r.MayHaveRun())
			}
			if action == attempt.Refuse && ran > 0 {
				t.Fatalf("answered as not run although it may have run")
			}
			if !again {
				return
			}
		}
	})
}

// TestStopped checks what follows once a request has been ended.
func TestStopped(t *testing.T) {
	for _, c := range []struct {
		end  attempt.End
		want attempt.Action
	}{{attempt.Unsent, attempt.Refuse}, {attempt.Rejected, attempt.Refuse}, {attempt.Lost, attempt.Fail}, {attempt.Broken, attempt.Abort}} {
		r := attempt.Request{Repeat: tanagerroad.Stream, Resumable: true, MaxServers: 3, Deadline: time.Second}
		r.Begin()
		r.Stop()
		if got := r.Next(0, c.end, 0, func() bool { return true }); got != c.want {
			t.Errorf("%s: action %s, want %s", c.end, got, c.want)
		}
		if got := r.NextPaused(100 * time.Millisecond); got != c.want {
			t.Errorf("%s, then paused: action %s, want %s", c.end, got, c.want)
		}
	}
}
