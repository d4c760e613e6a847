package group

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

// checks is enough to catch each deliberate bug of docs/MUTATIONS.md.
const checks = 10000

func TestMain(m *testing.M) { testseed.Run(m, checks) }
