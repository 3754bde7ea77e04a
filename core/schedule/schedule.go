// Package schedule runs the property tests of the other packages with a fixed
// seed, so that every CI run generates the same cases. Only tests import it.
package schedule

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Seed is the seed of all property tests, unless the command line sets
// -rapid.seed.
const Seed = 20261204

// Main runs a package's tests with checks generated cases for each property, or
// with shortChecks cases under -short. It doesn't return. To test more cases than
// CI does, with a random seed:
//
//	go test ./core/replica -rapid.checks=1000000 -rapid.seed=0
func Main(m *testing.M, checks, shortChecks int) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	if testing.Short() {
		checks = shortChecks
	}
	for name, value := range map[string]string{
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.seed":       strconv.Itoa(Seed),
		"rapid.nofailfile": "true",
	} {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err) // the test binary does not import rapid, which defines the flag
		}
	}
	os.Exit(m.Run())
}

// Divided runs f, a property test with long cases, with 1 in divisor of the cases that Main
// sets. Neither the test nor f may run in parallel with other property tests.
func Divided(t testing.TB, divisor int, f func()) {
	t.Helper()
	const name = "rapid.checks"
	before := flag.Lookup(name).Value.String()
	checks, err := strconv.Atoi(before)
	if err != nil {
		t.Fatal(err)
	}
	set := func(value string) {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	defer set(before)
	set(strconv.Itoa(max(1, checks/divisor)))
	f()
}
