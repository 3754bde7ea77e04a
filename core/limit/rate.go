package limit

import "time"

// rateBurst is the time whose events a Rate allows at once.
const rateBurst = 250 * time.Millisecond

// Rate is a token bucket that limits the rate of events. The zero value allows any.
type Rate struct {
	perSecond float64 // 0: unlimited
	tokens    float64
	at        time.Duration // when tokens was computed
}

// Set changes the rate to a number of events a second; 0: unlimited. A bucket that had no
// limit before starts empty, since events may just have happened.
func (r *Rate) Set(at time.Duration, perSecond float64) {
	if r.perSecond == 0 {
		r.tokens, r.at = 0, at
	}
	r.refill(at)
	r.perSecond = perSecond
}

// refill adds the tokens for the time since the last call.
func (r *Rate) refill(at time.Duration) {
	r.tokens = min(max(1, r.perSecond*rateBurst.Seconds()), r.tokens+r.perSecond*(at-r.at).Seconds())
	r.at = at
}

// Wait returns how long until the next event is allowed; 0: it is now.
func (r *Rate) Wait(at time.Duration) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	r.refill(at)
	if r.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - r.tokens) / r.perSecond * float64(time.Second))
}

// Take counts an event.
func (r *Rate) Take() { r.tokens-- }
