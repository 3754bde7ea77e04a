package roster

import (
	"fmt"
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"tanagerroad"
)

// Bounds of what a backend server can say of itself.
const (
	maxText     = 256            // bytes of an id, a pool, a zone or a version
	maxSlots    = 1 << 20        // requests at once
	maxSequence = 1 << 53        // JSON numbers are exact up to here
	maxWarmUp   = 24 * time.Hour // until a server is warmed up
	maxAhead    = 24 * time.Hour // by which its clock is ahead
)

// Check returns an error if an announcement, at a Unix time in milliseconds, cannot be one
// of a backend server. Such an announcement may come from another writer; it must not take
// the place of the server's own, and no process should have to deal with it.
func Check(nowMillis int64, a tanagerroad.Announcement) error {
	for name, text := range map[string]string{"id": a.ID, "pool": a.Pool, "zone": a.Zone, "software version": a.Software} {
		if err := checkText(name, text); err != nil {
			return err
		}
	}
	switch {
	case a.StartMillis < 0 || a.StartMillis > nowMillis+maxAhead.Milliseconds():
		return fmt.Errorf("start %d: not between 1970 and tomorrow, in Unix milliseconds", a.StartMillis)
	case a.Sequence > maxSequence:
		return fmt.Errorf("sequence number %d: above %d", a.Sequence, maxSequence)
	case a.State == tanagerroad.Down:
		return nil // it says nothing else
	case a.Slots < 0 || a.Slots > maxSlots:
		return fmt.Errorf("slots %d: not between 0 and %d", a.Slots, maxSlots)
	case a.WarmUp < 0 || a.WarmUp > maxWarmUp:
		return fmt.Errorf("time until it is warmed up %v: not between 0 and %v", a.WarmUp, maxWarmUp)
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("address %.64q: not an IP address and a port", a.Address)
	}
	return nil
}

// checkText returns an error if a text is long, or is not printable UTF-8, which messages
// between processes cannot carry.
func checkText(name, text string) error {
	if len(text) > maxText {
		return fmt.Errorf("%s: longer than %d bytes", name, maxText)
	}
	if !utf8.ValidString(text) {
		return fmt.Errorf("%s: not UTF-8", name)
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return fmt.Errorf("%s: has a character that is not printable", name)
		}
	}
	return nil
}
