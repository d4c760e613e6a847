package placement_test

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

// Enough to catch each deliberate bug of docs/MUTATIONS.md.
const (
	checks = 3000
	steps  = 40
)

func TestMain(m *testing.M) { testseed.Run(m, checks, steps) }
