package gateway

import (
	"bytes"
	"compress/flate"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// DecodeCatalog decodes a configuration that consists of its version, and of the regions that
// one route allows.
func (plain) DecodeCatalog(data []byte) (*tanagerroad.Catalog, error) {
	number, regions, _ := strings.Cut(string(data), " ")
	version, err := strconv.ParseUint(number, 10, 64)
	return &tanagerroad.Catalog{Version: version, Routes: []tanagerroad.CatalogRoute{{Regions: strings.Fields(regions)}}}, err
}

// newDocument returns a configuration with the given version and text.
func newDocument(t *testing.T, version uint64, text string) *wire.Catalog {
	t.Helper()
	var content bytes.Buffer
	writer, err := flate.NewWriter(&content, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return &wire.Catalog{Version: version, Content: content.Bytes(), Digest: xxhash.Sum64String(text)}
}

// TestConfigurationReverts guards against a configuration that gives way to an older one, or
// to one that cannot be read.
func TestConfigurationReverts(t *testing.T) {
	g, _ := newTestGateway(t)
	damaged := newDocument(t, 9, "9")
	damaged.Digest++
	for _, c := range []struct {
		document *wire.Catalog
		want     uint64
	}{
		{nil, 1},
		{newDocument(t, 3, "3"), 3},
		{newDocument(t, 2, "2"), 3},
		{newDocument(t, 4, "four"), 3},
		{newDocument(t, 4, "2"), 3},
		{damaged, 3},
		{newDocument(t, 5, "5"), 5},
		{newDocument(t, 5, "6"), 5},
	} {
		if g.applyCatalog("127.0.0.1:1", c.document); g.CatalogVersion() != c.want {
			t.Errorf("after %v: version %d is in force, want %d", c.document, g.CatalogVersion(), c.want)
		}
	}
}

// slow is a dialect whose configurations are decoded one for each value of permits.
type slow struct {
	plain
	permits chan struct{}
	decoded atomic.Int64
}

func (s *slow) DecodeCatalog(data []byte) (*tanagerroad.Catalog, error) {
	s.decoded.Add(1)
	<-s.permits
	return s.plain.DecodeCatalog(data)
}

// TestConfigurationsHoldUpUpdates guards against configurations that follow each other faster
// than they are decoded, where each is decoded for each control instance, so that the gateway
// falls ever further behind, and against departures of backend servers that wait meanwhile.
func TestConfigurationsHoldUpUpdates(t *testing.T) {
	g, _ := newTestGateway(t)
	sources := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	g.SetControlAddresses(sources)
	dialect := &slow{permits: make(chan struct{})}
	g.config.Dialect = dialect
	const last = 9
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		for version := uint64(2); version <= last; version++ {
			for _, source := range sources {
				a := &wire.Announcement{Id: "a", Pool: "p", Address: "a:1", Zone: "z", State: string(tanagerroad.Leaving), Sequence: version, BornMillis: 1000}
				g.applyUpdate(source, &wire.Update{Catalog: newDocument(t, version, strconv.FormatUint(version, 10)), Announced: []*wire.Announcement{a}, EvacuationChanges: 1})
			}
		}
	}()
	select {
	case <-applied:
	case <-time.After(5 * time.Second):
		t.Error("a departure waits until a configuration is decoded")
	}
	close(dialect.permits)
	<-applied
	for end := time.Now().Add(5 * time.Second); g.CatalogVersion() != last; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("version %d is in force, want %d", g.CatalogVersion(), last)
		}
	}
	if n := dialect.decoded.Load(); n > 2 {
		t.Errorf("%d configurations were decoded, want the first and the last", n)
	}
}

// TestServersOfUpdates guards against backend servers that are lost, or kept, with a control
// instance that still names them, or no longer does.
func TestServersOfUpdates(t *testing.T) {
	g, _ := newTestGateway(t)
	g.SetControlAddresses([]string{"127.0.0.1:1", "127.0.0.1:2"})
	announced := func(id string, sequence uint64, state tanagerroad.ServerState, heard bool) *wire.Announcement {
		a := peer.AnnouncementToWire(tanagerroad.Announcement{ID: id, Pool: "p", Address: id + ":1", Zone: "z", State: state, Sequence: sequence, StartMillis: 1000})
		a.Heard = heard
		return a
	}
	// Without evacuations, not even none, a gateway would use no backend server yet.
	all := func(a ...*wire.Announcement) *wire.Update {
		return &wire.Update{Whole: true, Announced: a, EvacuationChanges: 1}
	}
	some := func(a ...*wire.Announcement) *wire.Update {
		return &wire.Update{Announced: a, EvacuationChanges: 1}
	}
	for i, c := range []struct {
		source string
		update *wire.Update
		want   []string
	}{
		{"127.0.0.1:1", some(announced("a", 1, tanagerroad.Serving, true)), []string{"a"}},
		{"127.0.0.1:1", all(announced("a", 2, tanagerroad.Serving, true), announced("b", 1, tanagerroad.Serving, true)), []string{"a", "b"}},
		{"127.0.0.1:3", all(announced("c", 1, tanagerroad.Serving, true)), []string{"a", "b"}}, // not watched
		{"127.0.0.1:1", some(), []string{"a", "b"}},
		{"127.0.0.1:2", some(announced("a", 3, tanagerroad.Leaving, true)), []string{"b"}},
		{"127.0.0.1:1", some(announced("a", 2, tanagerroad.Serving, true)), []string{"b"}}, // late
	} {
		g.applyUpdate(c.source, c.update)
		g.mu.Lock()
		var got []string
		for _, a := range g.fleet.Pool("p") {
			got = append(got, a.ID)
		}
		ready := g.rosterComplete
		g.mu.Unlock()
		slices.Sort(got)
		if !slices.Equal(got, c.want) || ready != (i > 0) {
			t.Errorf("update %d: backend servers %v, complete %t, want %v", i, got, ready, c.want)
		}
	}
}

// TestNewsOfUpdates guards against gateways, limits, convictions and control instances that
// an update names and nobody takes note of, and against one that names none.
func TestNewsOfUpdates(t *testing.T) {
	servers, _ := newScripted(t, 1, good)
	g, address := newTestGateway(t, servers...)
	own := g.config.Settings.Peer.AdvertisedAddress()
	cause := quarantine.Causes("h/look/", "w", []byte("body"), nil)[0]
	g.applyUpdate("127.0.0.1:1", &wire.Update{
		GatewaysChanged: []*wire.GatewayInfo{{Address: "127.0.0.1:8", Zone: "z", Capacity: 5}, {Address: "127.0.0.1:7"}}, Instances: []string{"127.0.0.1:1", "127.0.0.1:9"},
		Limits:     []*wire.ServerLimit{{Server: "s1", Start: 1000, PerSecond: 3}},
		Quarantine: &wire.Quarantine{Version: 1, Convictions: []*wire.Conviction{{Fingerprint: cause.Fingerprint, Convicted: true, TrialWaitMillis: 60_000}}},
	})
	g.applyUpdate("127.0.0.1:1", &wire.Update{GatewaysGone: []string{"127.0.0.1:7"}})
	g.applyUpdate("127.0.0.1:1", &wire.Update{})
	g.mu.Lock()
	if want := []tanagerroad.Gateway{{Address: own, Zone: "z"}, {Address: "127.0.0.1:8", Zone: "z", Capacity: 5}}; !slices.Equal(g.gateways, want) {
		t.Errorf("gateways %v, want %v", g.gateways, want)
	}
	if g.sources["127.0.0.1:9"] == nil || g.sources["127.0.0.1:1"] == nil {
		t.Errorf("sources %v", g.sources)
	}
	if limits := g.fleet.Limited("p"); len(limits) != 1 || limits[0].PerSecond != 3 {
		t.Errorf("limits %+v", limits)
	}
	g.mu.Unlock()
	if code, _, _ := call(t, address, "/look/", "a"); code != 503 {
		t.Errorf("a convicted request: got %d, want 503", code)
	}
	if notice := g.newNotice(); notice.GetAddress() != own {
		t.Errorf("the notice names %q, want %q", notice.GetAddress(), own)
	}
	if g.StartDrain(); g.newNotice().GetAddress() != "" {
		t.Error("the notice of a gateway that stops names it")
	}
	g.SetControlAddresses(nil)
	g.applyUpdate("127.0.0.1:1", &wire.Update{Instances: []string{"127.0.0.1:9"}})
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.sources) != 1 {
		t.Errorf("sources %v, want the one that is left", g.sources)
	}
}
