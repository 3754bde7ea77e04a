package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// departureTimeout is below the second after which a backend server takes what it says to
// another instance.
const departureTimeout = 900 * time.Millisecond

// errDepartureUnsettled means that a departure is known here, but may be forgotten when the
// instances restart.
var errDepartureUnsettled = errors.New("no quorum settled the departure; send it again")

// Announcements records what backend servers say about themselves.
type Announcements struct {
	Service *Service
	Client  *Client
}

// RecordAnnouncement records an announcement. That a server leaves or has shut down is used
// at once, and has to outlive the instances before it may be acknowledged: an announcement
// from before that arrives late would bring the server back. RecordAnnouncement returns an
// error if no quorum has settled it.
func (r Announcements) RecordAnnouncement(ctx context.Context, a tanagerroad.Announcement) error {
	s := r.Service
	a = s.recordAnnouncement(a)
	if a.State == tanagerroad.Serving || registry.HasDeparture(s.quorum.View().Departures, a.ID, a.StartMillis) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	started := s.clock.Now()
	outcome, err := r.Client.Propose(ctx, &wire.Command{Body: &wire.Command_RecordDeparture{RecordDeparture: &wire.RecordDeparture{
		Announcement: peer.AnnouncementToWire(a),
	}}})
	event.DepartureRecorded.Log(s.logger, zap.String("server", a.ID), zap.Int64("born", a.StartMillis), zap.String("state", string(a.State)),
		zap.String("outcome", outcome.GetKind()), zap.Duration("took", s.clock.Now()-started), zap.Error(err))
	if err != nil || outcome.GetKind() != registry.Accepted {
		return errDepartureUnsettled
	}
	return nil
}

// applyPools tells the roster which pools the configuration has.
func (s *Service) applyPools() {
	c := s.quorum.View().Catalog
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.GetVersion() == s.poolsVersion {
		return
	}
	s.poolsVersion = c.GetVersion()
	s.roster.SetPools(c.GetPools())
}

// applyDepartures adds the departures in the registry that it has not seen yet to the
// roster. After a restart these are all that are kept.
func (s *Service) applyDepartures() {
	view := s.quorum.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := min(view.DepartureCount-s.departureCount, uint64(len(view.Departures)))
	for _, d := range view.Departures[uint64(len(view.Departures))-fresh:] {
		a := peer.AnnouncementFromWire(d.GetAnnouncement())
		if a.State == tanagerroad.Down && a.StartMillis == 0 {
			a.StartMillis = d.GetAtMillis() // recorded by a version that named no start
		}
		s.applyAnnouncement(fromRegistry, a)
	}
	s.departureCount = view.DepartureCount
}
