// Package fair accounts for the work that workspaces ask for and are admitted, and says
// how much of the admitted work is the fair share of each.
//
// Work is measured in seconds of a pool's capacity, summed over the pools: a piece at a pool
// that makes 100 pieces a second is 0.01 s of work. Both sums decay exponentially, so that
// they describe the last seconds. The fair share is max-min fair: no workspace gets more
// than it asks for, and what small ones leave is divided equally among the others. What is
// divided is the work that was admitted lately, so that no capacity has to be known.
package fair

import (
	"math"
	"slices"
	"time"
)

const (
	// rounding is an excess that the decay in steps may leave of none.
	rounding = 1e-6
	// decayTime is the time in which the sums decay to 1/e. Bursts last for several seconds;
	// sums over much less would be too noisy at a few requests a second.
	decayTime = 4 * time.Second
	// levelInterval is how long the computed fair share is used where there are more than
	// maxExact workspaces. All accounts are needed to compute it, so that this bounds the work.
	// With few it would count what was admitted since as an excess.
	levelInterval = 50 * time.Millisecond
	maxExact      = 64
	// accountTTL is how long a workspace without requests is remembered.
	accountTTL = time.Minute
	// starvedFraction is the fraction of its fair share below which a workspace is starved.
	starvedFraction = 0.5
)

// Shares is the accounting of all workspaces.
type Shares struct {
	accounts map[string]*account
	level    float64       // the most that a workspace is due; infinite if all get what they ask for
	levelAt  time.Duration // when level was computed
	hasLevel bool
}

// account is the work of one workspace.
type account struct {
	asked, admitted float64 // at the time updated
	updated         time.Duration
	latest          time.Duration // latest request
}

// New returns an accounting without workspaces.
func New() *Shares { return &Shares{accounts: map[string]*account{}} }

// Ask records that a workspace asks for work. A retried request is recorded once only:
// otherwise the demand would grow with each rejection.
func (s *Shares) Ask(at time.Duration, workspace string, work float64) {
	s.account(at, workspace).asked += work
}

// Admit records that work of a workspace is admitted.
func (s *Shares) Admit(at time.Duration, workspace string, work float64) {
	s.account(at, workspace).admitted += work
}

// account returns the account of a workspace that has a request now.
func (s *Shares) account(at time.Duration, workspace string) *account {
	a := s.accounts[workspace]
	if a == nil {
		a = &account{updated: at}
		s.accounts[workspace] = a
	}
	a.decay(at)
	a.latest = max(a.latest, at)
	return a
}

// decay brings the sums to the given time.
func (a *account) decay(at time.Duration) {
	if at <= a.updated {
		return
	}
	factor := math.Exp(-float64(at-a.updated) / float64(decayTime))
	a.asked *= factor
	a.admitted *= factor
	a.updated = at
}

// Over returns by how much the admitted work of a workspace exceeds its fair share, as a
// fraction of the share: 1 if it got twice its share, 0 if it got no more than its share.
func (s *Shares) Over(at time.Duration, workspace string) float64 {
	a := s.accounts[workspace]
	if a == nil || len(s.accounts) < 2 {
		return 0
	}
	a.decay(at)
	level := s.levelOf(at)
	if level <= 0 { // nothing was admitted
		return 0
	}
	if over := a.admitted/level - 1; over > rounding {
		return over
	}
	return 0
}

// Starved reports whether a workspace was admitted less than half of its fair share.
func (s *Shares) Starved(at time.Duration, workspace string) bool {
	a := s.accounts[workspace]
	if a == nil || len(s.accounts) < 2 {
		return false
	}
	a.decay(at)
	return a.admitted < starvedFraction*min(a.asked, s.levelOf(at))
}

// levelOf returns the most work that a workspace is due. The admitted work is divided among
// the workspaces in the order of their demands: each gets its demand, or an equal part of
// what is left if that is less.
func (s *Shares) levelOf(at time.Duration) float64 {
	if len(s.accounts) > maxExact && s.hasLevel && at-s.levelAt < levelInterval {
		return s.level
	}
	s.hasLevel, s.levelAt = true, at
	left := 0.0
	demands := make([]float64, 0, len(s.accounts))
	for _, a := range s.accounts {
		a.decay(at)
		left += a.admitted
		demands = append(demands, a.asked)
	}
	slices.Sort(demands)
	s.level = math.Inf(1)
	for i, demand := range demands {
		if equal := left / float64(len(demands)-i); demand > equal {
			s.level = equal
			break
		}
		left -= demand
	}
	return s.level
}

// Expire drops workspaces that had no requests for a minute.
func (s *Shares) Expire(at time.Duration) {
	for name, a := range s.accounts {
		if at-a.latest > accountTTL {
			delete(s.accounts, name)
			s.hasLevel = false
		}
	}
}

// Len returns the number of workspaces that are accounted for.
func (s *Shares) Len() int { return len(s.accounts) }
