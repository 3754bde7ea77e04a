package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/balance"
	"tanagerroad/core/fleet"
	"tanagerroad/core/region"
	"tanagerroad/core/roster"
)

var regions = map[string]string{"z1": "north", "z2": "north", "z3": "south"}

type step struct {
	AtMs      int            `json:"at-ms"`
	Pick      *string        `json:"pick"`
	From      string         `json:"from"`
	Exclude   []string       `json:"exclude"`
	Allowed   []string       `json:"allowed"`   // regions; empty: all
	Parts     []string       `json:"parts"`     // of the prompt, of 5,000 tokens each
	HomeZone  *string        `json:"home-zone"` // of the parts
	Results   map[string]int `json:"results"`
	Paused    string         `json:"paused"` // id of a backend server that wants no requests
	PauseMs   int            `json:"pause-ms"`
	Restart   string         `json:"restart"` // id of a backend server that starts again
	Until     *int           `json:"pool-paused-until-ms"`
	Done      string         `json:"done"`
	Failed    bool           `json:"failed"`
	Unknown   bool           `json:"unknown"`
	Answered  string         `json:"answered"`
	LatencyMs int            `json:"latency-ms"`
	Running   int            `json:"running"`
	Queued    int            `json:"waiting"`
	Slots     int            `json:"slots"`
}

// TestScripts runs the scenarios in testdata/scripts.json: which backend server
// is picked after a sequence of picks, answers and failures.
func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		What    string `json:"what"`
		Policy  string `json:"policy"` // empty: the script holds for all
		Servers []struct {
			ID       string `json:"id"`
			Zone     string `json:"zone"`
			Slots    int    `json:"slots"`
			WarmUpMs int    `json:"cold-ms"`
		} `json:"servers"`
		Steps []step `json:"steps"`
	}
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for i := range 2 * len(scripts) {
		script, policy := scripts[i/2], balance.Policies[i%2]
		if script.Policy != "" && script.Policy != policy {
			continue
		}
		script.What += " (" + policy + ")"
		f := fleet.New(regions)
		f.SetBalance(policy)
		var servers []tanagerroad.Announcement
		for _, s := range script.Servers {
			servers = append(servers, tanagerroad.Announcement{
				ID: s.ID, Pool: "p", Address: s.ID + ":1", Zone: s.Zone, Slots: max(s.Slots, 8), WarmUp: time.Duration(s.WarmUpMs) * time.Millisecond,
			})
			if s.Slots > 0 {
				servers[len(servers)-1].Slots = s.Slots
			}
		}
		f.Update(servers)
		for i, s := range script.Steps {
			at := time.Duration(s.AtMs) * time.Millisecond
			allowed := region.Intersect(s.Allowed, nil)
			var parts []tanagerroad.PromptPart
			for _, id := range s.Parts {
				parts = append(parts, tanagerroad.PromptPart{ID: id, Tokens: 5000})
			}
			switch {
			case s.HomeZone != nil:
				if got := f.HomeZone(at, "p", parts, allowed); got != *s.HomeZone {
					t.Errorf("%s: step %d: the home is in zone %q, want %q", script.What, i, got, *s.HomeZone)
				}
			case s.Paused != "":
				i := slices.IndexFunc(servers, func(a tanagerroad.Announcement) bool { return a.ID == s.Paused })
				f.RecordPause(at, servers[i], time.Duration(s.PauseMs)*time.Millisecond)
			case s.Restart != "":
				i := slices.IndexFunc(servers, func(a tanagerroad.Announcement) bool { return a.ID == s.Restart })
				servers[i].StartMillis++
				f.Update(servers)
			case s.Until != nil:
				if got := f.PoolPausedUntil(at, "p", allowed); got != time.Duration(*s.Until)*time.Millisecond {
					t.Errorf("%s: step %d: the pool is paused until %v, want %d ms", script.What, i, got, *s.Until)
				}
			case s.Done != "":
				f.RecordEnd(at, s.Done, fleet.Outcome{Failed: s.Failed, Unknown: s.Unknown})
			case s.Answered != "":
				f.RecordAnswer(at, s.Answered, fleet.Outcome{
					Latency: time.Duration(s.LatencyMs) * time.Millisecond, Running: s.Running, Queued: s.Queued, Slots: s.Slots,
				})
			default:
				choice, _ := f.Pick(at, fleet.Request{Pool: "p", From: tanagerroad.Place{Zone: s.From, Region: regions[s.From]}, Exclude: s.Exclude, ResultBytes: s.Results, Regions: allowed, PromptParts: parts})
				if choice.ID != *s.Pick {
					t.Errorf("%s: step %d: picked %q, want %q", script.What, i, choice.ID, *s.Pick)
				}
			}
		}
	}
}

// TestGatewaysAgreeOnHomes guards against scattered prompt caches: gateways that
// know the same backend servers but see different traffic must send prompts with
// the same shared part to the same one of them, and the loss of a backend server
// must move only the parts that it cached.
func TestGatewaysAgreeOnHomes(t *testing.T) {
	var servers []tanagerroad.Announcement
	for i := range 9 {
		servers = append(servers, tanagerroad.Announcement{ID: fmt.Sprint("e", i), Pool: "m", Address: fmt.Sprint("e:", i), Zone: "z1", Slots: 64})
	}
	gateways := []*fleet.Fleet{fleet.New(regions), fleet.New(regions), fleet.New(regions)}
	home := func(g *fleet.Fleet, part int) string {
		choice, ok := g.Pick(0, fleet.Request{
			Pool: "m", From: tanagerroad.Place{Zone: "z1", Region: "north"}, TieBreak: uint64(part * 7),
			PromptParts: []tanagerroad.PromptPart{{ID: "all", Tokens: 500}, {ID: fmt.Sprint("s", part), Tokens: 4800}, {ID: fmt.Sprint("own", part), Tokens: 6000}},
		})
		if !ok {
			t.Fatal("no backend server was picked")
		}
		g.RecordEnd(0, choice.ID, fleet.Outcome{})
		return choice.ID
	}
	for _, g := range gateways {
		g.Update(servers)
	}
	homes := map[int]string{}
	load := map[string]int{}
	for part := range 90 {
		homes[part] = home(gateways[part%3], part)
		load[homes[part]]++
		if other := home(gateways[(part+1)%3], part); other != homes[part] {
			t.Errorf("part %d: one gateway picked %s, another %s", part, homes[part], other)
		}
	}
	if len(load) != 9 {
		t.Errorf("90 parts are placed on %d backend servers, want all 9", len(load))
	}
	fresh := fleet.New(regions)
	fresh.Update(servers[1:])
	for part, before := range homes {
		if after := home(fresh, part); before != "e0" && after != before {
			t.Errorf("part %d moved from %s to %s although its backend server is still available", part, before, after)
		}
	}
}

// TestMisplacedServerIsUsedAgain guards against requests to a backend server at whose
// address another one answers: it must be passed over until its silence has ended it in
// the roster, if it does not start again.
func TestMisplacedServerIsUsedAgain(t *testing.T) {
	servers := []tanagerroad.Announcement{{ID: "gone", Pool: "p", Address: "x:1", Zone: "z1", Slots: 8, StartMillis: 1}, {ID: "far", Pool: "p", Address: "y:1", Zone: "z3", Slots: 8}}
	f := fleet.New(regions)
	f.Update(servers)
	pick := func(at time.Duration) string {
		choice, _ := f.Pick(at, fleet.Request{Pool: "p", From: tanagerroad.Place{Zone: "z1", Region: "north"}})
		f.RecordEnd(at, choice.ID, fleet.Outcome{})
		return choice.ID
	}
	if got := pick(0); got != "gone" {
		t.Fatalf("picked %s, want the near one", got)
	}
	f.RecordMisplaced(0, "gone")
	for at := time.Duration(0); at <= roster.DefaultConfig().SilenceTimeout+time.Second; at += 100 * time.Millisecond {
		if got := pick(at); got != "far" {
			t.Fatalf("picked %s %v after another server answered at its address, want far", got, at)
		}
	}
	servers[0].StartMillis = 2
	f.Update(servers)
	if got := pick(6 * time.Second); got != "gone" {
		t.Errorf("picked %s after the next start of the near one", got)
	}
}
