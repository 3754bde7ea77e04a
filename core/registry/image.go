package registry

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// Snapshot returns the whole state as marshaled bytes, which Restore reads. The
// bytes are the same on every instance that applied the same commands.
func (r *Registry) Snapshot() ([]byte, error) {
	image := &wire.Image{
		Current:    r.current,
		Recent:     r.recent,
		Changes:    r.changes,
		Quarantine: r.requestQuarantine(),
		Reports:    r.crashReports,
		Crashes:    r.causes.Crashes(),
		Causes:     r.causes.Entries(),
		Histories:  r.causes.Histories(),
		Seals:      r.seals,
		Catalog:    r.catalog,
		Origins:    r.origins.Origins(),
	}
	image.Bases, image.BaseChanges = r.origins.Bases()
	image.Evacuations, image.EvacuationChanges = r.Evacuations()
	image.Departures, image.DepartureCount = r.Departures()
	// Settled claims are written in the order in which they were settled, so that
	// a restored registry drops them in the same order.
	for _, key := range r.settled {
		image.Claims = append(image.Claims, r.claims[key])
	}
	image.Claims = append(image.Claims, r.runningClaims()...)
	for _, f := range r.fences {
		image.Fences = append(image.Fences, f)
	}
	slices.SortFunc(image.Fences, func(a, b *wire.FenceState) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	image.LatestMillis = r.latestMillis
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(image)
	if err != nil {
		return nil, fmt.Errorf("marshal the registry's snapshot: %w", err)
	}
	return data, nil
}

// runningClaims returns the claims that are not settled, sorted by the time of
// their grants and then by key.
func (r *Registry) runningClaims() []*wire.Held {
	var out []*wire.Held
	for _, held := range r.claims {
		if held.GetKind() == ClaimRunning {
			out = append(out, held)
		}
	}
	slices.SortFunc(out, func(a, b *wire.Held) int {
		return cmp.Or(cmp.Compare(a.GetAtMillis(), b.GetAtMillis()), compareClaimKeys(claimKeyOf(a), claimKeyOf(b)))
	})
	return out
}

// Restore replaces the state with one that Snapshot returned.
func (r *Registry) Restore(data []byte) error {
	var image wire.Image
	if err := proto.Unmarshal(data, &image); err != nil {
		return fmt.Errorf("unmarshal the registry's snapshot: %w", err)
	}
	*r = *New(r.config)
	if image.GetCurrent() != nil {
		r.current = image.GetCurrent()
	}
	r.recent = image.GetRecent()
	r.changes = image.GetChanges()
	for _, c := range r.changes {
		r.changesByID[c.GetChangeId()] = c
	}
	for _, held := range image.GetClaims() {
		r.restoreClaim(held)
	}
	r.quarantineVersion = image.GetQuarantine().GetVersion()
	for _, c := range image.GetQuarantine().GetConvictions() {
		r.quarantined[c.GetFingerprint()] = c
	}
	r.crashReports = image.GetReports()
	r.seals = image.GetSeals()
	r.causes.Restore(image.GetCrashes(), image.GetCauses(), image.GetHistories())
	r.catalog = image.GetCatalog()
	r.origins.Restore(image.GetBases(), image.GetBaseChanges(), image.GetOrigins())
	r.evacuations.restore(image.GetEvacuations(), image.GetEvacuationChanges())
	r.departures = departures{image.GetDepartures(), image.GetDepartureCount()}
	for _, f := range image.GetFences() {
		r.fences[f.GetServer()] = f
	}
	r.latestMillis = image.GetLatestMillis()
	return nil
}

func (r *Registry) restoreClaim(held *wire.Held) {
	key := claimKeyOf(held)
	r.claims[key] = held
	if held.GetKind() == ClaimRunning {
		r.grants = append(r.grants, grant{key, held.GetAtMillis()})
		return
	}
	r.settled = append(r.settled, key)
	r.answerBytes += len(held.GetAnswer())
}

func claimKeyOf(held *wire.Held) claimKey { return claimKey{held.GetWorkspace(), held.GetRequest()} }
