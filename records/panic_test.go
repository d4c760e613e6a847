package records

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/kv"
)

// Guards against a mirror that follows no record any more after a handler has panicked over one.
func TestRecordsAreFollowedAfterAHandlerHasPanicked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("listed", "odd")
		store.put("other", "1")
		handled := map[string]string{}
		_, stop := startMirror(t, store, func(event kv.Event) {
			if string(event.Pair.Value) == "odd" {
				panic("odd record " + event.Pair.Key)
			}
			handled[event.Pair.Key] = string(event.Pair.Value)
		})
		defer stop()
		time.Sleep(time.Second)
		require.Equal(t, map[string]string{"other": "1"}, handled)
		store.put("changed", "odd")
		store.put("other", "2")
		time.Sleep(10 * time.Second)
		require.Equal(t, map[string]string{"other": "2"}, handled)
		store.put("changed", "sound")
		store.put("listed", "sound")
		time.Sleep(10 * time.Second)
		require.Equal(t, map[string]string{"other": "2", "changed": "sound", "listed": "sound"}, handled)
	})
}
