package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/wire"
	"tanagerroad/io/signal"
)

const (
	// originRecordTimeout bounds one call that records origins.
	originRecordTimeout = time.Second
	// originStallTime is how long records may wait before other gateways are asked to hold
	// them, and before streams begin at base versions where they can, which need none.
	originStallTime = 300 * time.Millisecond
	// originRetryDelay is the pause after a call that failed.
	originRetryDelay = 50 * time.Millisecond
	// originBatchSize bounds the origins in one call.
	originBatchSize = 2048
	// maxOriginHolders is how many gateways are asked to hold an origin. One that does is
	// enough.
	maxOriginHolders = 3
	// originHoldTimeout bounds a call that asks a gateway to hold origins.
	originHoldTimeout = 300 * time.Millisecond
)

// originRecord says what has become of an origin. Its channels are nil if there is nothing to
// record.
type originRecord struct {
	recorded <-chan struct{} // closed once the control instances have recorded it
	held     <-chan struct{} // closed once another gateway holds it, and records it too
}

// originRecorder records the origins of streams at the control instances, in batches: those
// that begin during one call are in the next. While it cannot, other gateways hold the
// origins, so that they are recorded even if this gateway is lost meanwhile.
type originRecorder struct {
	added *signal.Signal

	mu          sync.Mutex
	waiting     []*wire.Origin
	recorded    chan struct{}  // closed when those that wait are recorded
	unheld      []*wire.Origin // of streams that began here, and that no other gateway holds
	held        chan struct{}  // closed when another gateway holds them
	oldestSince time.Duration  // when the oldest of those not recorded was added
	pending     int            // not recorded yet
}

// newOriginRecorder returns a recorder, and a function that ends it.
func newOriginRecorder(g *Gateway) (*originRecorder, func()) {
	r := &originRecorder{added: signal.New(), recorded: make(chan struct{}), held: make(chan struct{})}
	var group sync.WaitGroup
	group.Go(func() {
		for g.ctx.Err() == nil {
			added := r.added.Changed()
			batch, recorded := r.take()
			if len(batch) == 0 {
				select {
				case <-g.ctx.Done():
				case <-added:
				}
				continue
			}
			for part := range slices.Chunk(batch, originBatchSize) {
				for g.ctx.Err() == nil && !g.recordOrigins(part) {
					sleep(g.ctx, originRetryDelay)
				}
				r.finish(g.now(), len(part))
			}
			close(recorded)
		}
	})
	group.Go(func() {
		for g.ctx.Err() == nil {
			added := r.added.Changed()
			batch, held, stallsIn := r.takeUnheld(g.now())
			if len(batch) == 0 {
				select {
				case <-g.ctx.Done():
				case <-added:
				case <-after(stallsIn):
				}
				continue
			}
			// Once records succeed again, those in the batch are recorded soon.
			for try := 0; g.ctx.Err() == nil && r.isStalled(g.now()); try++ {
				if g.holdElsewhere(batch, try) {
					close(held)
					break
				}
				sleep(g.ctx, originRetryDelay)
			}
		}
	})
	return r, group.Wait
}

// after returns a channel that receives after a time, or never if that is 0.
func after(d time.Duration) <-chan time.Time {
	if d == 0 {
		return nil
	}
	return time.After(d)
}

// take returns the origins that wait, and the channel to close when they are recorded.
func (r *originRecorder) take() ([]*wire.Origin, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, recorded := r.waiting, r.recorded
	if len(batch) > 0 {
		r.waiting, r.recorded = nil, make(chan struct{})
	}
	return batch, recorded
}

// takeUnheld returns the origins that other gateways are to hold, since records stall, and the
// channel to close when one does. If there are none yet, stallsIn is the time after which
// there will be, or 0.
func (r *originRecorder) takeUnheld(at time.Duration) (batch []*wire.Origin, held chan struct{}, stallsIn time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unheld) == 0 {
		return nil, nil, 0
	}
	if left := originStallTime - (at - r.oldestSince); left >= 0 {
		return nil, nil, left + time.Millisecond
	}
	batch, held = r.unheld, r.held
	if len(batch) > originBatchSize {
		// The rest have the same channel, so those of the batch wait for them too.
		r.unheld = batch[originBatchSize:]
		return batch[:originBatchSize], make(chan struct{}), 0
	}
	r.unheld, r.held = nil, make(chan struct{})
	return batch, held, 0
}

// finish records that n origins are recorded.
func (r *originRecorder) finish(at time.Duration, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending -= n
	r.oldestSince = at
	if r.pending == 0 {
		r.unheld = nil
	}
}

// add adds the origin of a stream that begins here.
func (r *originRecorder) add(at time.Duration, o *wire.Origin) originRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unheld = append(r.unheld, o)
	r.addWaiting(at, o)
	return originRecord{r.recorded, r.held}
}

// hold adds origins that another gateway cannot record.
func (r *originRecorder) hold(at time.Duration, origins []*wire.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addWaiting(at, origins...)
}

// addWaiting adds origins to those that wait. r.mu must be held.
func (r *originRecorder) addWaiting(at time.Duration, origins ...*wire.Origin) {
	if r.pending == 0 {
		r.oldestSince = at
	}
	r.pending += len(origins)
	r.waiting = append(r.waiting, origins...)
	r.added.Broadcast()
}

// isStalled reports whether origins wait for longer than originStallTime.
func (r *originRecorder) isStalled(at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending > 0 && at-r.oldestSince > originStallTime
}

// HoldOrigins implements wire.GatewayServer: it records origins that another gateway cannot
// record.
func (g *Gateway) HoldOrigins(_ context.Context, request *wire.RecordOrigins) (*wire.HoldOriginsReply, error) {
	g.origins.hold(g.now(), request.GetOrigins())
	return &wire.HoldOriginsReply{}, nil
}

// holdElsewhere asks other gateways to hold origins, and reports whether one does. Each try
// asks others.
func (g *Gateway) holdElsewhere(batch []*wire.Origin, try int) bool {
	holders := g.originHolders(try)
	if len(holders) == 0 {
		return false
	}
	results := make(chan error, len(holders))
	for _, address := range holders {
		go func() {
			// One that is slow is not cancelled when another one holds the origins.
			ctx, cancel := context.WithTimeout(g.ctx, originHoldTimeout)
			defer cancel()
			conn, err := g.config.Conns.Get(address)
			if err == nil {
				_, err = wire.NewGatewayClient(conn).HoldOrigins(ctx, &wire.RecordOrigins{Origins: batch})
			}
			results <- err
		}()
	}
	var err error
	for range holders {
		if err = <-results; err == nil {
			event.OriginsHeld.Log(g.config.Logger, zap.Int("streams", len(batch)), zap.Strings("gateways", holders), zap.Int("try", try))
			return true
		}
	}
	if try == 0 {
		event.OriginsHeld.Log(g.config.Logger, zap.Int("streams", len(batch)), zap.Strings("gateways", holders), zap.Int("try", try), zap.Error(err))
	}
	return false
}

// originHolders returns the gateways that a try asks to hold origins: where there are, one in
// the own zone, which is most likely reachable, and one elsewhere, which outlives the zone.
func (g *Gateway) originHolders(try int) []string {
	self := g.self()
	g.mu.Lock()
	all := g.latestGateways()
	g.mu.Unlock()
	var near, far []string
	for _, other := range all {
		switch {
		case other.Address == self.Address:
		case other.Zone == self.Zone:
			near = append(near, other.Address)
		default:
			far = append(far, other.Address)
		}
	}
	start := int(xxhash.Sum64String(self.Address)%1024) + try // spreads the load of all gateways
	rotate := func(list []string) []string {
		if len(list) == 0 {
			return nil
		}
		first := start % len(list)
		return slices.Concat(list[first:], list[:first])
	}
	near, far = rotate(near), rotate(far)
	var holders []string
	for i := range max(len(near), len(far)) {
		for _, list := range [][]string{near, far} {
			if i < len(list) {
				holders = append(holders, list[i])
			}
		}
	}
	return holders[:min(maxOriginHolders, len(holders))]
}

// latestGateways returns all gateways, including this one, as control instances named them
// last; none if they have named no others. g.mu must be held. The list must not be changed.
func (g *Gateway) latestGateways() []tanagerroad.Gateway {
	if len(g.gateways) > 1 {
		return g.gateways
	}
	return g.formerGateways
}

// recordOrigins makes one call that records origins, and reports whether it succeeded.
func (g *Gateway) recordOrigins(batch []*wire.Origin) bool {
	ctx, cancel := context.WithTimeout(g.ctx, originRecordTimeout)
	defer cancel()
	err := g.control.RecordOrigins(ctx, batch)
	if err != nil && g.ctx.Err() == nil {
		event.OriginsNotRecorded.Log(g.config.Logger, zap.Int("streams", len(batch)), zap.Error(err))
	}
	return err == nil
}
