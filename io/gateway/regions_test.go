package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"tanagerroad"
	"tanagerroad/core/batch"
	"tanagerroad/core/catalog"
	"tanagerroad/core/pipeline"
	"tanagerroad/core/region"
	"tanagerroad/core/wire"
)

// allow puts a configuration in force whose routes allow the regions.
func (g *Gateway) allow(regions ...string) {
	next := *g.catalog.Load().Catalog
	next.Version++
	next.Routes = slices.Clone(next.Routes)
	for i := range next.Routes {
		next.Routes[i].Regions = regions
	}
	g.catalog.Store(catalog.New(&next))
}

// move puts backend servers into the zone y of the region q, beside the zone z of the region r.
func (g *Gateway) move(servers ...*backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.regions["y"] = "q"
	for _, a := range g.roster.Usable() {
		if slices.ContainsFunc(servers, func(b *backend) bool { return b.id == a.ID }) {
			a.Zone = "y"
			a.Sequence++
			g.roster.Apply(g.now(), "c", a)
		}
	}
	g.applyRoster(g.now())
}

// TestPausedRegionIsWaitedFor guards against a request that is refused while its only allowed
// backend server wants no requests for a moment, or that goes to a free one elsewhere.
func TestPausedRegionIsWaitedFor(t *testing.T) {
	allowed, elsewhere := newBackend(t, "s1", good), newBackend(t, "s2", good)
	g, address := newTestGateway(t, allowed, elsewhere)
	g.move(elsewhere)
	g.allow("r")
	g.mu.Lock()
	g.fleet.RecordPause(g.now(), firstOf(g, "s1"), 200*time.Millisecond)
	g.mu.Unlock()
	began := time.Now()
	if status, body, err := call(t, address, "/book/", "a"); status != http.StatusOK || time.Since(began) < 200*time.Millisecond || elsewhere.runs.Load() > 0 {
		t.Errorf("got %d %q (%v) after %v and %d runs elsewhere, want 200 after the pause", status, body, err, time.Since(began), elsewhere.runs.Load())
	}
}

// firstOf returns the announcement of a backend server of the pool p. g.mu must be held.
func firstOf(g *Gateway, id string) tanagerroad.Announcement {
	all := g.fleet.Pool("p")
	return all[slices.IndexFunc(all, func(a tanagerroad.Announcement) bool { return a.ID == id })]
}

// TestNewConfigurationMovesRequest guards against a request that leaves the regions of the
// configuration it began with when another one comes into force before its next attempt.
func TestNewConfigurationMovesRequest(t *testing.T) {
	var g *Gateway
	first := newBackend(t, "s1", func(w http.ResponseWriter, r *http.Request) {
		g.allow()
		brokenStream(1, 2)(w, r)
	})
	elsewhere := newBackend(t, "s2", rest)
	g, address := newTestGateway(t, first, elsewhere)
	g.move(elsewhere)
	g.allow("r")
	if status, body, err := call(t, address, "/stream/", "a"); status != http.StatusOK || body != halfStream || err == nil || elsewhere.runs.Load() > 0 {
		t.Errorf("got %d %q (%v) and %d runs elsewhere, want the stream cut", status, body, err, elsewhere.runs.Load())
	}
	if status, body, _ := call(t, address, "/stream/", "b", headerLast, "2", headerVersion, "w1"); status == http.StatusServiceUnavailable {
		t.Errorf("after the change: got %d %q, want an attempt", status, body)
	}
}

// fakeOwner owns the pieces of another gateway. It answers with results in the zone y, and
// keeps the messages that it gets.
type fakeOwner struct {
	wire.UnimplementedGatewayServer
	mu   sync.Mutex
	jobs []*wire.PieceJob
}

func (f *fakeOwner) Pieces(stream grpc.BidiStreamingServer[wire.PieceJob, wire.PieceResult]) error {
	for {
		job, err := stream.Recv()
		if errors.Is(err, io.EOF) || err != nil {
			return err
		}
		f.mu.Lock()
		f.jobs = append(f.jobs, job)
		f.mu.Unlock()
		result := &wire.PieceResult{Number: job.GetNumber(), Processed: uint64(len(f.jobs))}
		for _, n := range job.GetPieces() {
			result.Pieces = append(result.Pieces, &wire.PieceDone{Piece: n, Handle: fmt.Sprint("127.0.0.1:1/", job.GetRequest(), n), Zone: "y"})
		}
		if err := stream.Send(result); err != nil {
			return err
		}
	}
}

// newAsking returns a gateway whose pieces the owner at an address has, and the address of
// its callers' listener.
func newAsking(t *testing.T, owner string, servers ...*backend) (*Gateway, string) {
	t.Helper()
	own := "127.0.0.1:1"
	for port := 2; xxhash.Sum64String(own) > xxhash.Sum64String(owner); port++ {
		own = fmt.Sprintf("127.0.0.1:%d", port)
	}
	g, address := newGatewayAt(t, own, zap.NewNop(), servers...)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gateways = []tanagerroad.Gateway{{Address: owner, Zone: "z"}, {Address: own, Zone: "z"}}
	g.owners.setGateways(g.now(), g.gateways)
	return g, address
}

// TestOwnerGetsBody guards against the body of a request that is sent to another gateway,
// which may be in any region.
func TestOwnerGetsBody(t *testing.T) {
	var f fakeOwner
	owner, _ := newPeer(t, func(s *grpc.Server) { wire.RegisterGatewayServer(s, &f) })
	b, p := newBackend(t, "s1", rest), newPieceServer(t)
	_, address := newAsking(t, owner, b, p.backend)
	if status, body, err := call(t, address, "/staged/", "a", headerPieces, "2", headerPieceKey, "key"); status != http.StatusOK {
		t.Errorf("got %d %q (%v), want 200", status, body, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.jobs) == 0 {
		t.Error("the owner got no job")
	}
	for _, job := range f.jobs {
		if data, err := proto.Marshal(job); err != nil || bytes.Contains(data, []byte("body")) {
			t.Errorf("a message with the body was sent (%v): %v", err, job)
		}
	}
}

// TestResultsOfOtherRegionsAreRead guards against a request that reads results from another
// region, which an owner of the version before has made there.
func TestResultsOfOtherRegionsAreRead(t *testing.T) {
	var f fakeOwner
	owner, _ := newPeer(t, func(s *grpc.Server) { wire.RegisterGatewayServer(s, &f) })
	b, p := newBackend(t, "s1", rest), newPieceServer(t)
	g, address := newAsking(t, owner, b, p.backend)
	g.move()
	g.allow("r")
	status, body, _ := call(t, address, "/staged/", "a", headerPieces, "2", headerPieceKey, "key")
	if status != http.StatusServiceUnavailable || !strings.Contains(body, reasonNotAllowed) || b.runs.Load() > 0 {
		t.Errorf("got %d %q after %d runs, want 503 and none", status, body, b.runs.Load())
	}
	freed := func() (n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, job := range f.jobs {
			n += len(job.GetFree())
		}
		return n
	}
	if !eventually(func() bool { return freed() == 2 }) {
		t.Errorf("%d results were released, want both", freed())
	}
}

// TestJobsWithoutAllowedServersWait guards against jobs that are held by an owner that knows
// no allowed backend server, and against pieces that stay queued when the last one goes.
func TestJobsWithoutAllowedServersWait(t *testing.T) {
	allowed, elsewhere := newPieceServerOf(t, "prep"), newPieceServerOf(t, "prep-other")
	hold := make(chan struct{})
	allowed.status = func(int64) int { <-hold; return 0 }
	g, _ := newTestGateway(t, allowed.backend, elsewhere.backend)
	g.move(elsewhere.backend)
	results := make(chan *wire.PieceResult, 10)
	submit := func(number uint64, pieces int, job *wire.PieceJob) {
		job.Number, job.Request, job.Pool, job.LeftMillis, job.SlackMillis = number, fmt.Sprint(number), "prep", 5000, 5000
		job.Pieces = make([]uint32, pieces)
		g.batcher("").submit("a", job, func(r *wire.PieceResult) { results <- r })
	}
	next := func() *wire.PieceResult {
		select {
		case r := <-results:
			return r
		case <-time.After(time.Second):
			return nil
		}
	}
	submit(1, 1, &wire.PieceJob{NoRegion: true})
	if r := next(); r.GetNumber() != 1 || r.GetRefused() != batch.ReasonNotAllowed {
		t.Errorf("no region is allowed: got %v, want a refusal at once", r)
	}
	submit(2, 4, &wire.PieceJob{Regions: []string{"r"}}) // occupies the server
	if !eventually(func() bool { return allowed.calls.Load() == 1 }) {
		t.Fatal("no call to the allowed server")
	}
	submit(3, 2, &wire.PieceJob{Regions: []string{"r"}})
	g.move(allowed.backend)
	if r := next(); r.GetNumber() != 3 || len(r.GetPieces()) != 2 || r.GetPieces()[0].GetReason() != batch.ReasonNotAllowed {
		t.Errorf("the last allowed server goes: got %v, want two failed pieces at once", r)
	}
	if elsewhere.calls.Load() > 0 {
		t.Errorf("%d calls elsewhere", elsewhere.calls.Load())
	}
	close(hold)
}

// TestStagesAreMadeNearOtherRegions guards against stages that are executed near a backend
// server that the request must not reach: the home of its prompt, or this gateway's zone.
func TestStagesAreMadeNearOtherRegions(t *testing.T) {
	var all []*backend
	for _, id := range []string{"s1", "s2", "prep1", "prep2"} {
		all = append(all, newBackend(t, id, good))
	}
	g, _ := newTestGateway(t, all...)
	g.move(all[1], all[3])
	g.allow("q")
	index := g.catalog.Load()
	route := index.Match("h", "/staged/")
	for i := range 10 {
		x := &exchange{g: g, index: index, route: route, pool: "p", regions: region.Intersect(route.Regions, nil), headers: tanagerroad.RequestHeaders{AttemptID: fmt.Sprint(i)}}
		run := newStageRun(x)
		if run.place(pipeline.Job{Pool: "prep"}); run.anchor.Zone != "y" {
			t.Errorf("request %d is placed in zone %q, want y", i, run.anchor.Zone)
		}
		x.headers.PromptParts = []tanagerroad.PromptPart{{ID: fmt.Sprint(i), Tokens: 1000}}
		if run := newStageRun(x); run.home != "y" {
			t.Errorf("prompt %d has its home in zone %q, want y", i, run.home)
		}
	}
}

// TestUnknownRegionsAreLogged guards against a misspelt region that nobody is told of.
func TestUnknownRegionsAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	g, _ := newLoggedGateway(t, zap.New(core))
	g.applyCatalog("127.0.0.1:1", newDocument(t, 2, "2 r"))
	if n := logs.FilterMessage("regions-unknown").Len(); n > 0 {
		t.Errorf("%d events without an unknown region", n)
	}
	g.applyCatalog("127.0.0.1:1", newDocument(t, 3, "3 r s"))
	entries := logs.FilterMessage("regions-unknown").All()
	if len(entries) != 1 || fmt.Sprint(entries[0].ContextMap()["regions"]) != "[s]" || g.CatalogVersion() != 3 {
		t.Errorf("version %d, events %v, want one that names s", g.CatalogVersion(), entries)
	}
}
