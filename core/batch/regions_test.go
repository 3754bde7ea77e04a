package batch_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/batch"
	"tanagerroad/core/region"
)

var zones = map[string]string{"north-1": "north", "north-2": "north", "south-1": "south"}

func newRegionPool() *batch.Pool {
	p := batch.New(tanagerroad.PieceTraits{Slots: 1, MaxBatch: 4, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultTTL: 4 * time.Second})
	p.SetRegions(zones)
	return p
}

// TestCallsOfAllowedRegions guards against calls with pieces that are not allowed at their
// server, and against jobs that wait although no allowed server is left.
func TestCallsOfAllowedRegions(t *testing.T) {
	data, err := os.ReadFile("testdata/regions/calls.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		What    string            `json:"what"`
		Servers map[string]string `json:"servers"` // zones by id
		Steps   []struct {
			Add      string              `json:"add"` // id of a job
			Pieces   int                 `json:"pieces"`
			Allowed  []string            `json:"allowed"`
			Zone     string              `json:"zone"`
			Transfer int                 `json:"transfer"`
			Call     map[string][]string `json:"call"`    // the jobs of the next call, by its server; empty: there is none
			End      string              `json:"end"`     // server whose call ends
			Fail     string              `json:"fail"`    // server whose call fails
			Abandon  string              `json:"abandon"` // server whose call is overdue
			Gone     string              `json:"gone"`    // server that can't be used any more
			Expired  *int                `json:"expired"` // pieces that fail for want of allowed servers
		} `json:"steps"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		p, at, calls := newRegionPool(), time.Duration(0), map[string]*batch.Call{}
		setServers := func() {
			var servers []tanagerroad.Announcement
			for id, zone := range c.Servers {
				servers = append(servers, tanagerroad.Announcement{ID: id, Zone: zone})
			}
			p.SetServers(at, servers)
		}
		setServers()
		for i, s := range c.Steps {
			at += 300 * time.Millisecond // the spread of calls has passed
			where := fmt.Sprintf("%s: step %d", c.What, i)
			switch {
			case s.Add != "":
				job := &batch.Job{ID: s.Add, Zone: s.Zone, CrossZoneBytes: s.Transfer, Due: 20 * time.Second, Deadline: 30 * time.Second, Regions: region.Intersect(s.Allowed, nil)}
				for n := range s.Pieces {
					job.Pieces = append(job.Pieces, n)
				}
				if ok, _ := p.Add(at, job); !ok {
					t.Errorf("%s: the job is refused", where)
				}
			case s.End != "":
				outcomes := make([]tanagerroad.PieceOutcome, len(calls[s.End].Pieces))
				for j := range outcomes {
					outcomes[j].Handle = fmt.Sprint(i, "/", j)
				}
				p.Complete(at, calls[s.End], outcomes, false)
			case s.Fail != "":
				p.Complete(at, calls[s.Fail], nil, false)
			case s.Abandon != "":
				p.Abandon(at, calls[s.Abandon])
			case s.Gone != "":
				delete(c.Servers, s.Gone)
				setServers()
			case s.Expired != nil:
				results := p.Expire(at)
				if len(results) != *s.Expired || slices.ContainsFunc(results, func(r batch.PieceResult) bool { return r.Reason != batch.ReasonNotAllowed }) {
					t.Errorf("%s: expired %+v, want %d pieces", where, results, *s.Expired)
				}
			default:
				got := map[string][]string{}
				if call, ok := p.Next(at); ok {
					calls[call.Server.ID] = call
					for _, job := range call.Jobs() {
						got[call.Server.ID] = append(got[call.Server.ID], job.ID)
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(s.Call) {
					t.Errorf("%s: call %v, want %v", where, got, s.Call)
				}
			}
		}
	}
}

// TestEveryCallIsAllowed guards against any order of jobs and ends of calls that puts a piece
// into a call to a server that is not allowed for it.
func TestEveryCallIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, at := newRegionPool(), time.Duration(0)
		p.SetServers(0, []tanagerroad.Announcement{{ID: "n", Zone: "north-1"}, {ID: "o", Zone: "north-2"}, {ID: "s", Zone: "south-1"}, {ID: "x", Zone: "unlisted"}})
		var running []*batch.Call
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				allowed := rapid.SampledFrom([][]string{nil, {"north"}, {"south"}, {"north", "south"}}).Draw(t, "allowed")
				job := &batch.Job{ID: fmt.Sprint(i), Due: at + time.Second, Deadline: at + 20*time.Second, Regions: region.Intersect(allowed, nil)}
				for n := range rapid.IntRange(1, 6).Draw(t, "pieces") {
					job.Pieces = append(job.Pieces, n)
				}
				p.Add(at, job)
			case 2:
				if len(running) > 0 {
					p.Complete(at, running[0], nil, rapid.Bool().Draw(t, "full"))
					running = running[1:]
				}
			}
			for call, ok := p.Next(at); ok; call, ok = p.Next(at) {
				running = append(running, call)
				for _, q := range call.Pieces {
					if !q.Job.Regions.Allows(zones[call.Server.Zone]) {
						t.Fatalf("step %d: a piece of job %s in a call to %s", i, q.Job.ID, call.Server.ID)
					}
				}
			}
		}
	})
}

// TestAllowedCapacity guards against admission that counts servers elsewhere, or that counts
// pieces that these execute as if they were ahead.
func TestAllowedCapacity(t *testing.T) {
	p := newRegionPool()
	p.SetServers(0, []tanagerroad.Announcement{{ID: "n", Zone: "north-1"}, {ID: "o", Zone: "north-2"}, {ID: "s", Zone: "south-1"}, {ID: "x", Zone: "unlisted"}})
	north, south, none := region.Intersect([]string{"north"}, nil), region.Intersect([]string{"south"}, nil), region.Intersect([]string{"nowhere"}, nil)
	whole := p.Capacity(region.Set{})
	for what, c := range map[string]struct {
		allowed region.Set
		share   float64
	}{"all": {share: 1}, "north": {north, 0.5}, "south": {south, 0.25}, "none": {none, 0}} {
		if got := p.Capacity(c.allowed); got != whole*c.share {
			t.Errorf("%s: capacity %v, want %v of %v", what, got, c.share, whole)
		}
	}
	due := time.Second
	add := func(id string, pieces int, allowed region.Set, deadline time.Duration) bool {
		due += time.Millisecond
		job := &batch.Job{ID: id, Due: due, Deadline: deadline, Regions: allowed}
		for n := range pieces {
			job.Pieces = append(job.Pieces, n)
		}
		ok, _ := p.Add(0, job)
		return ok
	}
	load := func(what string, allowed region.Set, reserved, confined int, want float64) {
		t.Helper()
		if got := p.Load(allowed, reserved, confined); got != want {
			t.Errorf("%s: %v pieces ahead, want %v", what, got, want)
		}
	}
	add("any", 40, region.Set{}, time.Minute)
	load("all regions", region.Set{}, 8, 0, 48)
	load("a quarter of the servers", south, 8, 0, 12)
	load("reserved only there", south, 16, 15, 15)
	add("there", 20, south, time.Minute)
	load("20 pieces only there", south, 0, 0, 20)
	load("others pass these", north, 0, 0, 30)
	// 30 calls of 240 ms by one server are predicted: 7.2 s.
	add("more", 100, south, time.Minute)
	if add("late", 1, south, 7*time.Second) {
		t.Error("a job is accepted that its only server executes too late")
	}
	if !add("in time", 1, north, 7*time.Second) {
		t.Error("a job is refused that the servers of its region execute in time")
	}
	p = newRegionPool()
	p.SetServers(0, []tanagerroad.Announcement{{ID: "n", Zone: "north-1"}, {ID: "s", Zone: "south-1"}})
	add("first", 4, south, time.Minute)
	if call, ok := p.Next(0); !ok || call.Server.ID != "s" {
		t.Fatal("no call to the server of the south")
	}
	if add("behind the first", 1, south, 400*time.Millisecond) {
		t.Error("a job is accepted that has to wait for its only server too long, as one elsewhere is idle")
	}
}
