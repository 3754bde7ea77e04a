package gateway

import (
	"math"
	"strconv"
	"testing"

	"github.com/rcrowley/go-metrics"

	"tanagerroad/core/shed"
	"tanagerroad/core/wire"
)

// TestAdmissionNamesNoWorkspace guards against an owner that is not told the workspace and its
// priority, and against one that uses them without the setting, or from a gateway of an
// earlier version, which sends neither.
func TestAdmissionNamesNoWorkspace(t *testing.T) {
	g, _ := newTestGateway(t, newPieceServer(t).backend)
	x := &exchange{g: g, index: g.catalog.Load(), workspace: "w", priority: 3}
	for _, r := range g.catalog.Load().Routes {
		if len(r.Stages) > 0 {
			x.route = &r
		}
	}
	a := newStageRun(x).admission(g.now())
	if a.GetWorkspace() != "w" || a.GetPriority() != 3 || a.GetRank() != int32(x.route.Priority) {
		t.Errorf("admission %v, want workspace w, its priority 3 and the route's rank", a)
	}
	g.batcher("").preparePools(g.now(), []string{"prep"})
	demands := []*wire.Demand{{Pool: "prep", Pieces: 2}, {Pool: "unknown", Pieces: 9}}
	for _, c := range []struct {
		what      string
		shares    bool
		admission *wire.Admission
		want      shed.Request
	}{
		{"with fair shares", true, &wire.Admission{Workspace: "w", Rank: 1, Priority: 2, Demands: demands}, shed.Request{Workspace: "w", Rank: 2, Work: 0.0045}},
		{"without", false, &wire.Admission{Workspace: "w", Rank: 1, Priority: 2, Demands: demands}, shed.Request{Rank: 1}},
		{"earlier version", true, &wire.Admission{Rank: 1, Demands: demands}, shed.Request{Rank: 1}},
	} {
		g.config.Settings.Placing.FairShares = c.shares
		got := shed.Request{Rank: int(c.admission.GetRank())}
		g.batcher("").fillShare(&got, c.admission)
		if got.Workspace != c.want.Workspace || got.Rank != c.want.Rank || math.Abs(got.Work-c.want.Work) > 1e-6 {
			t.Errorf("%s: %+v, want %+v", c.what, got, c.want)
		}
	}
}

// TestLargeWorkspaceIsRejectedLast guards against the setting without effect at the owner.
func TestLargeWorkspaceIsRejectedLast(t *testing.T) {
	for _, shares := range []bool{false, true} {
		p, hold := newPieceServer(t), make(chan struct{})
		p.status = func(int64) int { <-hold; return 0 }
		g, _ := newTestGateway(t, p.backend)
		g.config.Settings.Placing.FairShares = shares
		number := uint64(0)
		submit := func(workspace string, jobs int) {
			for range jobs {
				number++
				g.batcher("").submit("a", &wire.PieceJob{
					Number: number, Request: strconv.FormatUint(number, 10), Pool: "prep", Pieces: make([]uint32, 40), LeftMillis: 10_000, SlackMillis: 1000,
					Admission: &wire.Admission{Workspace: workspace, LeftMillis: 10_000, SlackMillis: 1000, Chain: []string{"prep"}, Demands: []*wire.Demand{{Pool: "prep", Pieces: 40}}},
				}, func(*wire.PieceResult) {})
			}
		}
		submit("small", 1)
		submit("large", 12)
		submit("small", 4)
		submit("large", 1)
		want := int64(0)
		if shares {
			want = 1
		}
		if got := metrics.GetOrRegisterCounter("admission.over-share", g.config.Metrics).Count(); got != want {
			t.Errorf("fair shares %t: %d requests were rejected above their share, want %d", shares, got, want)
		}
		close(hold)
	}
}
