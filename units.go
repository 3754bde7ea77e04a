package tanagerroad

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration whose text form in settings has a unit, such as
// "8s".
type Duration time.Duration

// UnmarshalText parses a duration such as 250ms or 8s. Its errors describe a
// valid value, for use as Finding.Want.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("a duration with its unit, such as 250ms or 8s")
	}
	if v < 0 {
		return fmt.Errorf("a duration that is not negative")
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Size is a number of bytes whose text form in settings has a unit, such as
// "4MiB".
type Size int64

// sizeUnits is ordered so that "B" comes last, since all other suffixes end in
// it.
var sizeUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText parses a size such as 512B, 64KiB or 4MiB. Its errors describe
// a valid value, for use as Finding.Want.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.factor {
			break
		}
		*s = Size(n * u.factor)
		return nil
	}
	return fmt.Errorf("a size with its unit, such as 64KiB or 4MiB")
}

// MarshalText returns the size in the largest unit that divides it.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range sizeUnits {
		if int64(s) >= u.factor && int64(s)%u.factor == 0 {
			return []byte(strconv.FormatInt(int64(s)/u.factor, 10) + u.suffix), nil
		}
	}
	return []byte("0B"), nil
}
