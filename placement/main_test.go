package placement_test

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

// Examples and steps per property test, sufficient to detect every fault listed in
// docs/MUTATIONS.md.
const (
	checks = 3000
	steps  = 40
)

func TestMain(m *testing.M) { testseed.Run(m, checks, steps) }
