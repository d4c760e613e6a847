package membership

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

// Examples and steps per property test; docs/MUTATIONS.md lists the faults that they must
// detect.
const (
	checks = 100
	steps  = 30
)

func TestMain(m *testing.M) { testseed.Run(m, checks, steps) }
