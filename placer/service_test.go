package placer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/engine"
)

// Guards against the second response to an earlier query that undoes what a later inventory told.
func TestOutdatedInventoriesAreRecognized(t *testing.T) {
	latest := engine.Inventory{Process: "a", Version: 7}
	for _, test := range []struct {
		inventory engine.Inventory
		outdated  bool
	}{
		{engine.Inventory{Process: "a", Version: 6}, true},
		{engine.Inventory{Process: "a", Version: 7}, false},
		{engine.Inventory{Process: "a", Version: 8}, false},
		{engine.Inventory{Process: "b", Version: 1}, false},
	} {
		require.Equal(t, test.outdated, isOutdated(test.inventory, latest), "%+v", test.inventory)
	}
	require.False(t, isOutdated(engine.Inventory{Process: "a", Version: 1}, engine.Inventory{}), "the first inventory")
}
