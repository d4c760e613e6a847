// Package testseed makes rapid's tests draw the same examples in every run, so
// that a run's verdict does not depend on chance. To explore further, give the
// flags on the command line: go test ./placement -rapid.seed=7 -rapid.checks=10000
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const seed = "20261202"

// Run is the body of a TestMain; checks is how many examples each test draws, and
// steps about how many actions a state machine takes in each.
func Run(m *testing.M, checks, steps int) {
	for name, value := range map[string]string{
		"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.steps": strconv.Itoa(steps),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the package under test does not import rapid
		}
	}
	os.Exit(m.Run())
}
