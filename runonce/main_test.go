package runonce

import (
	"testing"

	"github.com/finchspoke/finchspoke/testseed"
)

func TestMain(m *testing.M) { testseed.Run(m) }
