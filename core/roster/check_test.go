package roster_test

import (
	"strings"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/roster"
)

// TestOddAnnouncementIsRecorded guards against an announcement that cannot be a backend
// server's own, and against one that is refused although it can.
func TestOddAnnouncementIsRecorded(t *testing.T) {
	const now = 1_700_000_000_000
	good := tanagerroad.Announcement{
		ID: "i-1", Pool: "p", Address: "10.0.0.9:8080", Zone: "z", Slots: 128, State: tanagerroad.Serving, Sequence: 4, StartMillis: now, Software: "v1", WarmUp: time.Second,
	}
	for what, c := range map[string]struct {
		change func(a *tanagerroad.Announcement)
		ok     bool
	}{
		"sound":                        {func(*tanagerroad.Announcement) {}, true},
		"IPv6":                         {func(a *tanagerroad.Announcement) { a.Address = "[::1]:80" }, true},
		"no start, zone or software":   {func(a *tanagerroad.Announcement) { a.StartMillis, a.Zone, a.Software = 0, "", "" }, true},
		"a clock that is ahead":        {func(a *tanagerroad.Announcement) { a.StartMillis += 3_600_000 }, true},
		"a departure without the rest": {func(a *tanagerroad.Announcement) { *a = tanagerroad.Announcement{ID: "i-1", State: tanagerroad.Down} }, true},
		"an id that is not UTF-8":      {func(a *tanagerroad.Announcement) { a.ID = "\xff" }, false},
		"a line end in the id":         {func(a *tanagerroad.Announcement) { a.ID = "a\nb" }, false},
		"a long id":                    {func(a *tanagerroad.Announcement) { a.ID = strings.Repeat("x", 257) }, false},
		"a long pool":                  {func(a *tanagerroad.Announcement) { a.Pool = strings.Repeat("x", 257) }, false},
		"a zone that is not UTF-8":     {func(a *tanagerroad.Announcement) { a.Zone = "\xff" }, false},
		"a long version":               {func(a *tanagerroad.Announcement) { a.Software = strings.Repeat("x", 257) }, false},
		"a port above all":             {func(a *tanagerroad.Announcement) { a.Address = "10.0.0.9:65536" }, false},
		"port 0":                       {func(a *tanagerroad.Announcement) { a.Address = "10.0.0.9:0" }, false},
		"no port":                      {func(a *tanagerroad.Announcement) { a.Address = "10.0.0.9" }, false},
		"a name":                       {func(a *tanagerroad.Announcement) { a.Address = "a.example:80" }, false},
		"negative slots":               {func(a *tanagerroad.Announcement) { a.Slots = -1 }, false},
		"slots without end":            {func(a *tanagerroad.Announcement) { a.Slots = 1 << 40 }, false},
		"a sequence without end":       {func(a *tanagerroad.Announcement) { a.Sequence = 1 << 60 }, false},
		"a start in a hundred years":   {func(a *tanagerroad.Announcement) { a.StartMillis *= 3 }, false},
		"a start before all":           {func(a *tanagerroad.Announcement) { a.StartMillis = -1 }, false},
		"a departure in a hundred years": {func(a *tanagerroad.Announcement) {
			*a = tanagerroad.Announcement{ID: "i-1", State: tanagerroad.Down, StartMillis: 3 * now}
		}, false},
		"a warm-up without end": {func(a *tanagerroad.Announcement) { a.WarmUp = 1000 * time.Hour }, false},
		"a warm-up in the past": {func(a *tanagerroad.Announcement) { a.WarmUp = -1 }, false},
	} {
		a := good
		c.change(&a)
		if err := roster.Check(now, a); (err == nil) != c.ok {
			t.Errorf("%s: got error %v, want one: %t", what, err, !c.ok)
		}
	}
}

// TestOutlierKeepsServerOut guards against an announcement of another writer with a high
// sequence number, after which all that the backend server says is old.
func TestOutlierKeepsServerOut(t *testing.T) {
	config := roster.DefaultConfig()
	own := func(sequence uint64, state tanagerroad.ServerState) tanagerroad.Announcement {
		return tanagerroad.Announcement{ID: "i-1", Pool: "p", Address: "10.0.0.9:80", State: state, Sequence: sequence, StartMillis: 7}
	}
	outlier := own(1<<40, tanagerroad.Serving)
	outlier.Address = "10.0.0.1:9"
	for what, c := range map[string]struct {
		last tanagerroad.Announcement
		want string
	}{
		"the server goes on":  {outlier, "10.0.0.9:80"},
		"the server leaves":   {own(1<<40, tanagerroad.Leaving), ""},
		"the server has left": {own(1<<40, tanagerroad.Down), ""},
	} {
		r := roster.New(config)
		r.Apply(0, "c", own(1, tanagerroad.Serving))
		r.Apply(time.Second, "c", c.last)
		r.Apply(2*time.Second, "c", own(2, tanagerroad.Serving))
		if usable := r.Usable(); len(usable) > 0 && usable[0].Address == "10.0.0.9:80" {
			t.Errorf("%s: %v usable at once, although something later is known", what, usable)
		}
		got := ""
		r.Apply(2*time.Second+config.SilenceTimeout, "c", own(3, tanagerroad.Serving))
		for _, a := range r.Usable() {
			got = a.Address
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", what, got, c.want)
		}
	}
}
