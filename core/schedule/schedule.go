// Package schedule starts the property tests of the other packages, so that each
// run of CI plays the same schedules. Tests alone import it.
package schedule

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Seed is the seed of every property test, unless the command line names one.
const Seed = 20261204

// Main runs a package's tests with so many schedules for each property, or few of
// them with -short. For more than CI plays:
// go test ./core/replica -rapid.checks=1000000 -rapid.seed=0.
func Main(m *testing.M, schedules, short int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	if testing.Short() {
		schedules = short
	}
	for name, value := range map[string]string{
		"rapid.checks":     strconv.Itoa(schedules),
		"rapid.seed":       strconv.Itoa(Seed),
		"rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package does not use rapid
		}
	}
	os.Exit(m.Run())
}
