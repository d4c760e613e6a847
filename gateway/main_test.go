package gateway

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

// High enough to detect each mutation in docs/MUTATIONS.md.
const (
	checks = 3000
	steps  = 40
)

func TestMain(m *testing.M) { testseed.Run(m, checks, steps) }
