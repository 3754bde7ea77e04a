package registry

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// Image is the whole state as bytes, the same on every instance that applied
// the same commands.
func (r *Registry) Image() ([]byte, error) {
	image := &wire.Image{
		Current:    r.current,
		Recent:     r.recent,
		Changes:    r.changes,
		Quarantine: r.Quarantine(),
		Reports:    r.reports,
		Catalog:    r.catalog,
	}
	// Settled claims stand in the order in which they settled, so that a
	// restored registry forgets them in the same order.
	for _, key := range r.settled {
		image.Claims = append(image.Claims, r.claims[key])
	}
	image.Claims = append(image.Claims, r.running()...)
	for _, f := range r.fences {
		image.Fences = append(image.Fences, f)
	}
	slices.SortFunc(image.Fences, func(a, b *wire.FenceState) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	image.LatestMillis = r.latest
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(image)
	if err != nil {
		return nil, fmt.Errorf("registry image: %w", err)
	}
	return data, nil
}

func (r *Registry) running() []*wire.Held {
	var out []*wire.Held
	for _, held := range r.claims {
		if held.GetKind() == Running {
			out = append(out, held)
		}
	}
	slices.SortFunc(out, func(a, b *wire.Held) int {
		return cmp.Or(cmp.Compare(a.GetAtMillis(), b.GetAtMillis()), compareKeys(keyOf(a), keyOf(b)))
	})
	return out
}

// Restore replaces the state with the one that an image holds.
func (r *Registry) Restore(data []byte) error {
	var image wire.Image
	if err := proto.Unmarshal(data, &image); err != nil {
		return fmt.Errorf("registry image: %w", err)
	}
	*r = *New(r.config)
	if image.GetCurrent() != nil {
		r.current = image.GetCurrent()
	}
	r.recent = image.GetRecent()
	r.changes = image.GetChanges()
	for _, c := range r.changes {
		r.byID[c.GetChangeId()] = c
	}
	for _, held := range image.GetClaims() {
		r.restoreClaim(held)
	}
	r.quarantine = image.GetQuarantine().GetVersion()
	for _, c := range image.GetQuarantine().GetConvictions() {
		r.convictions[c.GetFingerprint()] = c
	}
	r.reports = image.GetReports()
	r.catalog = image.GetCatalog()
	for _, f := range image.GetFences() {
		r.fences[f.GetServer()] = f
	}
	r.latest = image.GetLatestMillis()
	return nil
}

func (r *Registry) restoreClaim(held *wire.Held) {
	key := keyOf(held)
	r.claims[key] = held
	if held.GetKind() == Running {
		r.opened = append(r.opened, opening{key, held.GetAtMillis()})
		return
	}
	r.settled = append(r.settled, key)
	r.bytes += len(held.GetAnswer())
}

func keyOf(held *wire.Held) claimKey { return claimKey{held.GetWorkspace(), held.GetRequest()} }
