package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"tanagerroad/core/event"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
	"tanagerroad/io/quorum"
)

const (
	// orderTimeout is below the second after which an operator's client gives an instance up
	// and goes to the next one.
	orderTimeout = 900 * time.Millisecond
	// settleDelay passes between the arrival of an order and its proposal. If its caller has
	// gone, as with a request that waited for a process that was frozen, the end of the
	// connection is noticed within it.
	settleDelay = 25 * time.Millisecond
	// resettleDelay passes before an order is proposed again after a conflict. It is shorter,
	// since by then the connection is watched, and orders for one zone at several instances
	// may conflict several times.
	resettleDelay = 3 * time.Millisecond
	// proposalTimeout limits one proposal of an order. It is short, so that the order can
	// still be proposed to another leader when one hangs.
	proposalTimeout = 400 * time.Millisecond
	// leaderPollInterval is the time between two looks for a leader while there is none.
	leaderPollInterval = 10 * time.Millisecond
	// leaderlessTimeout is the time without a leader after which other instances are asked
	// for one.
	leaderlessTimeout = 300 * time.Millisecond
	// learnTime is how long after its start an instance whose settings list no zones does not
	// call a zone unknown: backend servers announce themselves within it.
	learnTime = 5 * time.Second
)

// Errors of orders.
var (
	ErrUnknownZone = errors.New("no such availability zone")
	ErrOrderFailed = errors.New("no quorum settled the order; send it again")
	errCallerGone  = errors.New("the caller has gone")
)

// Orders gives operators' orders about evacuations to the replicated registry.
type Orders struct {
	Service *Service
	Client  *Client
	Zones   []string // that the settings name
}

// Evacuate begins or finishes the evacuation of a zone. It returns an error that is
// ErrUnknownZone or ErrOrderFailed, unless the order is in effect. ctx must end when the
// caller has gone.
//
// An order is proposed with the version of the zone's state that this instance knew when the
// order arrived, and is not applied if the state has changed since. Only while its caller
// waits is it proposed again with the present version.
func (o Orders) Evacuate(ctx context.Context, zone string, active bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := o.Service.clock.Now()
	err := o.evacuate(ctx, zone, active)
	outcome := registry.Accepted
	if err != nil {
		outcome = err.Error()
	}
	event.EvacuationOrdered.Log(o.Service.logger, zap.String("order-zone", zone), zap.Bool("active", active), zap.String("outcome", outcome),
		zap.Duration("took", o.Service.clock.Now()-started))
	if errors.Is(err, errCallerGone) {
		err = ErrOrderFailed
	}
	return err
}

func (o Orders) evacuate(ctx context.Context, zone string, active bool) error {
	version, ok := o.Service.evacuationVersion(zone)
	if !ok && !slices.Contains(o.Zones, zone) && !o.Service.knowsZone(zone) {
		if len(o.Zones) == 0 && o.Service.clock.Now()-o.Service.startedAt < learnTime {
			return ErrOrderFailed
		}
		return ErrUnknownZone
	}
	for delay := settleDelay; ; delay = resettleDelay {
		sleep(ctx, delay)
		if ctx.Err() != nil {
			break
		}
		outcome := o.propose(ctx, &wire.SetEvacuation{Zone: zone, Active: active, FromVersion: version})
		switch outcome.GetKind() {
		case registry.Accepted:
			return nil
		case registry.Conflict:
			version = outcome.GetRevision()
		case registry.Invalid, registry.LimitReached:
			return ErrOrderFailed
		}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return errCallerGone
	}
	return ErrOrderFailed
}

// propose proposes an order until a leader has settled it or ctx ends. It returns nil if its
// outcome is not known.
func (o Orders) propose(ctx context.Context, order *wire.SetEvacuation) *wire.Outcome {
	leaderSeen := o.Service.clock.Now()
	for ctx.Err() == nil {
		view := o.Service.quorum.View()
		var outcome *wire.Outcome
		switch {
		case view.Leader != "":
			leaderSeen = o.Service.clock.Now()
			outcome = o.proposeTo(ctx, view, order)
		case o.Service.clock.Now()-leaderSeen > leaderlessTimeout:
			tryCtx, cancel := context.WithTimeout(ctx, proposalTimeout)
			outcome, _ = o.Client.Propose(tryCtx, newOrderCommand(order)) // nil after an error
			cancel()
		}
		switch outcome.GetKind() {
		case "", registry.NoQuorum, registry.Redirect:
			sleep(ctx, leaderPollInterval)
		default:
			return outcome
		}
	}
	return nil
}

// proposeTo proposes an order to the leader, which may be this instance.
func (o Orders) proposeTo(ctx context.Context, view quorum.View, order *wire.SetEvacuation) *wire.Outcome {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	var outcome *wire.Outcome // nil after an error: unknown
	if view.Role == "leader" {
		outcome, _ = o.Service.quorum.Propose(ctx, newOrderCommand(order))
		return outcome
	}
	outcome, _ = call(ctx, o.Client, view.Leader, func(ctx context.Context, instance wire.ControlClient) (*wire.Outcome, error) {
		return instance.Propose(ctx, newOrderCommand(order))
	})
	return outcome
}

func newOrderCommand(order *wire.SetEvacuation) *wire.Command {
	return &wire.Command{Body: &wire.Command_SetEvacuation{SetEvacuation: order}}
}

// Evacuations returns the evacuations of all zones that orders were given for. ok is false
// if no quorum confirmed them before ctx ended.
func (o Orders) Evacuations(ctx context.Context) (zones []*wire.Evacuation, ok bool) {
	reply, err := o.Client.Read(ctx, &wire.ReadRequest{What: readEvacuations})
	return reply.GetEvacuations(), err == nil && reply.GetKind() == "ok"
}

// readEvacuations is the What of a ReadRequest for the evacuations of all zones.
const readEvacuations = "evacuations"

// evacuationVersion returns the version of a zone's state that this instance knows, and
// whether an order was given for the zone yet.
func (s *Service) evacuationVersion(zone string) (uint64, bool) {
	for _, e := range s.quorum.View().Evacuations {
		if e.GetZone() == zone {
			return e.GetVersion(), true
		}
	}
	return 0, false
}

// knowsZone reports whether a backend server or a process is known in a zone.
func (s *Service) knowsZone(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.notice.GetZone() == zone {
			return true
		}
	}
	entries, _ := s.roster.Since(thisInstance, 0)
	for _, e := range entries {
		if e.Zone == zone {
			return true
		}
	}
	return false
}

// addEvacuations adds the evacuations, if they have changed since the watch was sent them.
// An instance that has not caught up with its leader sends none, since those of an earlier
// time would let a gateway that starts use an evacuated zone.
func addEvacuations(w *watchState, view quorum.View, update *wire.Update) {
	if view.CaughtUp && view.EvacuationChange != w.evacChange {
		update.Evacuations, update.EvacuationChanges, w.evacChange = view.Evacuations, view.EvacuationChange, view.EvacuationChange
	}
}
