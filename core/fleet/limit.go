package fleet

import (
	"time"

	"tanagerroad"
)

// ServerLimit is the rate of requests that a backend server takes from all gateways
// together, as it said in an answer.
type ServerLimit struct {
	ID          string
	StartMillis int64         // the start of the backend server that said it
	PerSecond   float64       // 0: it named none in its latest answer
	HeardAt     time.Duration // when that answer arrived
}

// RecordLimit records what a backend server said about its limit. It reports whether that
// differs from what was known before. What is older than that is ignored.
func (f *Fleet) RecordLimit(l ServerLimit) bool {
	known, ok := f.limits[l.ID]
	if !ok && l.PerSecond == 0 || ok && (known.StartMillis > l.StartMillis || known.StartMillis == l.StartMillis && known.HeardAt > l.HeardAt) {
		return false
	}
	f.limits[l.ID] = l
	return !ok || known.StartMillis != l.StartMillis || known.PerSecond != l.PerSecond
}

// Limit returns the limit of this start of a backend server, if it named one in its latest
// answer.
func (f *Fleet) Limit(a tanagerroad.Announcement) (ServerLimit, bool) {
	l, ok := f.limits[a.ID]
	return l, ok && l.StartMillis == a.StartMillis && l.PerSecond > 0
}
