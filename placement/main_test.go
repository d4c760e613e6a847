package placement_test

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

// Enough checks and steps to find each of the mutations listed in docs/MUTATIONS.md.
const (
	checks = 3000
	steps  = 40
)

func TestMain(m *testing.M) { testseed.Run(m, checks, steps) }
