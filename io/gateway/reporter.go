package gateway

import (
	"context"
	"sync"
	"time"

	"tanagerroad/core/wire"
	"tanagerroad/io/signal"
)

const (
	// reportRetryDelay is the pause after a report that could not be committed.
	reportRetryDelay = 200 * time.Millisecond
	// maxPendingCrashes bounds the crashes that wait to be reported; the oldest are
	// dropped.
	maxPendingCrashes = 256
)

// crashReporter reports crashes to the control instances, however long that takes: what is
// not reported is not held against the request that comes back.
type crashReporter struct {
	added *signal.Signal

	mu      sync.Mutex
	waiting []pendingReport
}

// pendingReport is a report that waits to be committed.
type pendingReport struct {
	at     time.Duration
	report *wire.CrashReport
}

// newCrashReporter returns a reporter, and a function that waits until it has ended.
func newCrashReporter(g *Gateway) (*crashReporter, func()) {
	r := &crashReporter{added: signal.New()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for g.ctx.Err() == nil {
			added := r.added.Changed()
			reports := r.take(g.now())
			if len(reports) == 0 {
				select {
				case <-g.ctx.Done():
				case <-added:
				}
				continue
			}
			ctx, cancel := context.WithTimeout(g.ctx, trialClaimTimeout)
			err := g.control.ReportCrashes(ctx, waitingReports(reports))
			cancel()
			if err != nil {
				g.logReportFailed(err)
				r.putBack(reports)
				sleep(g.ctx, reportRetryDelay)
				continue
			}
			go func() { g.logReportFailed(g.control.SettleCrashes(g.ctx)) }()
		}
	}()
	return r, func() { <-ended }
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// add adds a report of a crash that was noticed at the given time.
func (r *crashReporter) add(at time.Duration, report *wire.CrashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(r.waiting, pendingReport{at, report})
	r.waiting = r.waiting[max(0, len(r.waiting)-maxPendingCrashes):]
	r.added.Broadcast()
}

// take returns the reports that wait, with their ages.
func (r *crashReporter) take(now time.Duration) []pendingReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.waiting
	r.waiting = nil
	for _, p := range out {
		p.report.AgeMillis = (now - p.at).Milliseconds()
	}
	return out
}

// putBack adds reports that could not be committed.
func (r *crashReporter) putBack(reports []pendingReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = append(reports, r.waiting...)
	r.waiting = r.waiting[max(0, len(r.waiting)-maxPendingCrashes):]
}

func waitingReports(reports []pendingReport) []*wire.CrashReport {
	out := make([]*wire.CrashReport, len(reports))
	for i, p := range reports {
		out[i] = p.report
	}
	return out
}
