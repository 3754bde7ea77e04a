package peer

import (
	"time"

	"tanagerroad"
	"tanagerroad/core/directory"
	"tanagerroad/core/fleet"
	"tanagerroad/core/wire"
)

// KeyToWire converts the key of an attempt to its wire message.
func KeyToWire(k tanagerroad.AttemptKey) *wire.Key {
	return &wire.Key{Request: k.Request, Stage: uint32(k.Stage), Attempt: uint32(k.Attempt)}
}

// KeyFromWire converts a wire message to the key of an attempt.
func KeyFromWire(k *wire.Key) tanagerroad.AttemptKey {
	return tanagerroad.AttemptKey{Request: k.GetRequest(), Stage: int(k.GetStage()), Attempt: int(k.GetAttempt())}
}

// LoadToWire converts a load report to its wire message.
func LoadToWire(l tanagerroad.Load) *wire.Load {
	return &wire.Load{
		InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Limit: uint32(l.Limit),
		LatencyMicros: l.Latency.Microseconds(), PauseMillis: l.Pause.Milliseconds(),
	}
}

// LoadFromWire converts a wire message to a load report.
func LoadFromWire(l *wire.Load) tanagerroad.Load {
	return tanagerroad.Load{
		InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()), Limit: int(l.GetLimit()),
		Latency: time.Duration(l.GetLatencyMicros()) * time.Microsecond, Pause: time.Duration(l.GetPauseMillis()) * time.Millisecond,
	}
}

// ServerToWire converts a backend server in the directory to its wire message.
func ServerToWire(s tanagerroad.Server) *wire.Server {
	return &wire.Server{
		Id: s.ID, Pool: s.Pool, Kind: s.Kind, Models: s.Models, Capacity: uint32(s.Capacity), Address: s.Address,
		Zone: s.Place.Zone, Region: s.Place.Region, Generation: s.Generation, Sequence: s.Sequence,
		State: string(s.State), Load: LoadToWire(s.Load),
	}
}

// ServerFromWire converts a wire message to a backend server in the directory.
func ServerFromWire(s *wire.Server) tanagerroad.Server {
	return tanagerroad.Server{
		ID: s.GetId(), Pool: s.GetPool(), Kind: s.GetKind(), Models: s.GetModels(), Capacity: int(s.GetCapacity()),
		Address: s.GetAddress(), Place: tanagerroad.Place{Zone: s.GetZone(), Region: s.GetRegion()},
		Generation: s.GetGeneration(), Sequence: s.GetSequence(),
		State: tanagerroad.ServerState(s.GetState()), Load: LoadFromWire(s.GetLoad()),
	}
}

// DeltaFromWire converts the directory part of an update from a control instance.
func DeltaFromWire(u *wire.Update) directory.Delta {
	delta := directory.Delta{Sequence: u.GetSequence(), Full: u.GetFull(), Removed: u.GetRemoved()}
	for _, s := range u.GetServers() {
		delta.Servers = append(delta.Servers, ServerFromWire(s))
	}
	return delta
}

// AnnouncementToWire converts a backend server's announcement of itself to its
// wire message. Negative slots become zero.
func AnnouncementToWire(a tanagerroad.Announcement) *wire.Announcement {
	return &wire.Announcement{
		Id: a.ID, Pool: a.Pool, Address: a.Address, Zone: a.Zone, Slots: uint32(max(0, a.Slots)), State: string(a.State),
		Sequence: a.Sequence, BornMillis: a.StartMillis, ColdMillis: a.WarmUp.Milliseconds(),
		Software: a.Software,
	}
}

// AnnouncementFromWire converts a wire message to a backend server's announcement.
func AnnouncementFromWire(a *wire.Announcement) tanagerroad.Announcement {
	return tanagerroad.Announcement{
		ID: a.GetId(), Pool: a.GetPool(), Address: a.GetAddress(), Zone: a.GetZone(), Slots: int(a.GetSlots()),
		State: tanagerroad.ServerState(a.GetState()), Sequence: a.GetSequence(), StartMillis: a.GetBornMillis(),
		WarmUp: time.Duration(a.GetColdMillis()) * time.Millisecond, Software: a.GetSoftware(),
	}
}

// LimitToWire converts what a backend server said about its limit, as of now.
func LimitToWire(now time.Duration, l fleet.ServerLimit) *wire.ServerLimit {
	return &wire.ServerLimit{Server: l.ID, Start: l.StartMillis, PerSecond: l.PerSecond, AgeMillis: (now - l.HeardAt).Milliseconds()}
}

// LimitFromWire is the inverse of LimitToWire, on the receiver's clock.
func LimitFromWire(now time.Duration, l *wire.ServerLimit) fleet.ServerLimit {
	return fleet.ServerLimit{
		ID: l.GetServer(), StartMillis: l.GetStart(), PerSecond: l.GetPerSecond(), HeardAt: now - time.Duration(l.GetAgeMillis())*time.Millisecond,
	}
}

// GatewayToWire converts a gateway to its wire message.
func GatewayToWire(g tanagerroad.Gateway) *wire.GatewayInfo {
	return &wire.GatewayInfo{Address: g.Address, Zone: g.Zone, Capacity: g.Capacity}
}

// GatewayFromWire converts a wire message to a gateway.
func GatewayFromWire(g *wire.GatewayInfo) tanagerroad.Gateway {
	return tanagerroad.Gateway{Address: g.GetAddress(), Zone: g.GetZone(), Capacity: g.GetCapacity()}
}
