package gateway

import (
	"tanagerroad/core/region"
	"tanagerroad/core/shed"
	"tanagerroad/core/wire"
)

// fillShare gives a request for admission its workspace, the priority in force and its work,
// if workspaces have fair shares here. Gateways of earlier versions name no workspace; their
// requests keep the rank of the route, since the priority is missing too. b.mu must be held.
func (b *pieceBatcher) fillShare(request *shed.Request, a *wire.Admission) {
	if !b.g.config.Settings.Placing.FairShares || a.GetWorkspace() == "" {
		return
	}
	request.Workspace, request.Rank = a.GetWorkspace(), max(0, int(a.GetPriority()))
	for _, demand := range a.GetDemands() {
		p := b.pool(demand.GetPool())
		if p == nil {
			continue
		}
		// All regions count: the work of a request must not depend on where it may run.
		if capacity := p.Capacity(region.Set{}); capacity > 0 {
			request.Work += float64(demand.GetPieces()) / capacity
		}
	}
}

// countShare counts a decision that fair shares had a part in.
func (b *pieceBatcher) countShare(d shed.Decision) {
	switch {
	case d.Starved:
		b.g.meters.count("admission.starved")
	case !d.Admit && d.OverShare > 0:
		b.g.meters.count("admission.over-share")
	}
}
