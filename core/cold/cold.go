// Package cold divides the requests that a cold backend server takes among the gateways,
// which send no messages for it. It is built for servers that return empty and would attract
// the requests of all gateways at once, and for whole zones that are cold.
//
// A few gateways, the sharers, may send to a cold server. Each spaces its requests, so that
// the number that falls into any one second is bounded whatever the others do, whenever they
// learned that the server is cold, and wherever their clocks stand.
package cold

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A cold server of a rate gets at most coverage times the rate and slack requests in
	// any one second.
	coverage = 1.5
	slack    = 5
	// deliveryJitter is by how much the time from a turn to the arrival of its request may
	// differ: SendWindow, and as much again on the network.
	deliveryJitter = 2 * SendWindow
	// window is the time in which the requests of one second at the server were sent.
	window = time.Second + deliveryJitter
	// unknownGateways is how many requests a second are left for gateways that others
	// don't know of yet. Those send at most one a second, see Settling.
	unknownGateways = 3
	// rotateEvery is the time after which one sharer gives its share to another gateway.
	rotateEvery = time.Second
	// rotating is how many more gateways than the sharers of one moment may send within
	// window while shares rotate: window has two moments of a change, and gateways learn
	// within a second of each other that a server is cold.
	rotating = 3
	// fullRate is the part of the rate from which a division counts as using all of it.
	// With a lower one more gateways would get turns, but less than 0.8 might be used.
	fullRate = 0.95
)

// SendWindow is how long a turn that was taken holds. A request that is sent later needs a
// new one.
const SendWindow = 50 * time.Millisecond

// Bound returns the most requests that a cold server may get in any one second.
func Bound(perSecond float64) int { return int(coverage*perSecond + slack) }

// Division says how gateways share the rate of a cold server.
type Division struct {
	Gateways int
	Sharers  int           // gateways that have a share at the same time
	Spacing  time.Duration // mean time between two requests of a sharer
	Gap      time.Duration // least time between two requests of a sharer
	Rotates  bool          // the shares move on through all gateways
}

// Divide divides a rate among gateways. With a least time of Gap between its requests, a
// sharer sends at most p = floor(window/Gap) + 1 of them within window. Sharers is chosen so
// that p requests of each of them, and of the gateways that the shares move to, and one of
// each unknown gateway are within Bound, and that the rate is used.
func Divide(perSecond float64, gateways int) Division {
	bound := Bound(perSecond) - unknownGateways
	var best Division
	var bestRate float64
	for _, rotates := range []bool{true, false} {
		for n := 1; n <= min(gateways, bound); n++ {
			senders := n
			if rotates {
				senders += rotating
			}
			most := bound / senders
			if most < 1 || rotates && n == gateways {
				continue
			}
			d := Division{Gateways: gateways, Sharers: n, Rotates: rotates, Gap: window/time.Duration(most) + 1}
			d.Spacing = max(time.Duration(float64(n)/perSecond*float64(time.Second)), d.Gap)
			rate := min(float64(n)/d.Spacing.Seconds(), fullRate*perSecond)
			if better := rate - bestRate; better > 1e-9 || better > -1e-9 && (d.reachesAll() || !best.reachesAll()) {
				best, bestRate = d, rate
			}
		}
	}
	return best
}

// reachesAll reports whether every gateway gets a share, if only for a time.
func (d Division) reachesAll() bool { return d.Rotates || d.Sharers == d.Gateways }

// Settling returns how a gateway that has just started divides a rate, since it and others
// may not know of each other: as if there were so many gateways that each sends at most one
// request within window.
func Settling(perSecond float64, gateways int) Division {
	return Divide(perSecond, max(gateways, Bound(perSecond)-unknownGateways))
}

// OwnerRate returns the rate at which the owner of a pool's pieces sends calls to a cold
// server. While ownership moves, two owners at that rate are within Bound.
func OwnerRate(perSecond float64) float64 {
	return min(perSecond, (float64(Bound(perSecond))/2-1)/window.Seconds())
}

// Rank returns the position of a gateway among all that share the rate of one start of a
// server, by rendezvous hashing: 0 is the first. A gateway that is missing in the list
// changes the positions of the others by at most one.
func Rank(server string, start int64, self string, gateways []string) int {
	hash := func(gateway string) uint64 {
		return xxhash.Sum64String(server + "|" + strconv.FormatInt(start, 10) + "|" + gateway)
	}
	own, rank := hash(self), 0
	for _, gateway := range gateways {
		if gateway != self && hash(gateway) > own {
			rank++
		}
	}
	return rank
}

// ShareFrom returns when the gateway at a position has its next share, for a server that has
// been cold for some time: 0 if it has one now, and a time that never comes if it gets none.
// After one round the shares stay where they are: gateways whose lists differ would disagree
// more with each round.
func (d Division) ShareFrom(rank int, coldFor time.Duration) time.Duration {
	if rank < d.Sharers && !d.Rotates {
		return 0
	}
	if !d.Rotates {
		return math.MaxInt64
	}
	moves := min(int(coldFor/rotateEvery), d.Gateways)
	ahead := ((rank-moves)%d.Gateways + d.Gateways) % d.Gateways
	if ahead < d.Sharers {
		return 0
	}
	if moves += ahead - d.Sharers + 1; moves > d.Gateways {
		return math.MaxInt64
	}
	return time.Duration(moves)*rotateEvery - coldFor
}

// Pacer spaces the requests of one gateway to one cold server. The zero value has a turn.
type Pacer struct {
	sentAt time.Duration // of the latest request
	due    time.Duration // of the next turn, if Gap has passed
	sent   bool          // a request was sent
	turns  uint64        // that were taken
}

// Start begins to pace requests to a server that became cold. lastSent is when the latest
// request was sent there, if sent is true. The first turns of the sharers are spread over
// Spacing.
func (p *Pacer) Start(at, lastSent time.Duration, sent bool, d Division, rank int) {
	p.sentAt, p.sent = lastSent, sent
	p.due = at + d.Spacing*time.Duration(min(rank, d.Sharers))/time.Duration(d.Sharers)
}

// Next returns the time of the next turn, which may have passed.
func (p *Pacer) Next(d Division) time.Duration {
	if !p.sent {
		return p.due
	}
	return max(p.due, p.sentAt+d.Gap)
}

// Take takes a turn and returns its number. A turn that was taken late brings the next one
// forward by as much, but by no more than Spacing.
func (p *Pacer) Take(at time.Duration, d Division) uint64 {
	p.due = max(p.due, at-d.Spacing) + d.Spacing
	p.sentAt, p.sent = at, true
	p.turns++
	return p.turns
}

// Send reports whether the request that took a turn at a time may be sent now: within
// SendWindow, or later if no other turn was taken since and the gateway still has a share;
// the next turns are then counted from now. A gateway that was frozen sends at most one
// request late.
func (p *Pacer) Send(at, takenAt time.Duration, turn uint64, hasShare bool) bool {
	if at-takenAt <= SendWindow {
		return true
	}
	if turn != p.turns || !hasShare {
		return false
	}
	p.sentAt = at
	return true
}
