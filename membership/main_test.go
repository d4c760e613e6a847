package membership

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

// Enough to catch each deliberate bug of docs/MUTATIONS.md.
const (
	checks = 100
	steps  = 30
)

func TestMain(m *testing.M) { testseed.Run(m, checks, steps) }
