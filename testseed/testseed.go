// Package testseed makes property-based tests that use rapid draw the same examples in every run, so that their
// result is reproducible. Flags on the command line take precedence: go test ./placement -rapid.seed=7
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const seed = "20261202"

// Run sets rapid's flags, runs the tests of a package and exits; call it from TestMain. checks is the number of
// examples per test, and steps the approximate number of actions per example of a state machine.
func Run(m *testing.M, checks, steps int) {
	for name, value := range map[string]string{
		"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.steps": strconv.Itoa(steps),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the test binary does not import rapid
		}
	}
	os.Exit(m.Run())
}
