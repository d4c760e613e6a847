package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func drainingEntry(born int64, draining bool) Entry {
	return Entry{ID: "i-1", Service: "press", Address: "10.0.0.1:1", Born: born, Draining: draining, Holdings: Holdings{"m": nil}}
}

func isUsed(directory *Directory) bool {
	entry, listed := directory.Entry("i-1")
	return listed && !entry.Draining
}

// A registry that was restored from a copy lists replicas as they were before they left.
func TestAReplicaThatLeavesStaysSoOverARestoreOfTheRegistry(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	directory.Put(drainingEntry(5, false), now)
	require.True(t, isUsed(directory))
	directory.Put(drainingEntry(5, true), now)
	require.Empty(t, directory.LocallyReportedDraining(), "the registry tells all daemons")
	require.False(t, directory.PutRestored(drainingEntry(5, false), now))
	require.False(t, isUsed(directory))
	require.Equal(t, []Incarnation{{"i-1", 5}}, directory.LocallyReportedDraining(), "the registry tells those no more that start now")
	directory.Put(drainingEntry(5, false), now)
	require.False(t, isUsed(directory), "for one process leaving is final")
	directory.Put(drainingEntry(6, false), now)
	require.True(t, isUsed(directory), "another process")
	require.False(t, directory.PutRestored(drainingEntry(5, false), now))
	entry, _ := directory.Entry("i-1")
	require.EqualValues(t, 6, entry.Born, "the copy is of before it started")
}

func TestAReplicaThatSaidItLeavesDoesNotComeBackByItsEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	directory.Put(drainingEntry(5, true), now)
	directory.Remove("i-1", now)
	directory.Put(drainingEntry(5, false), now)
	require.False(t, isUsed(directory))
}

func TestAReplicaThatWasGoneIsDoubtedAfterARestoreUntilItsEntryLasts(t *testing.T) {
	now := time.Unix(1000, 0)
	gone := func() *Directory {
		directory := NewDirectory("a", func() float64 { return 0 })
		directory.Put(drainingEntry(5, false), now)
		directory.Remove("i-1", now)
		require.True(t, directory.PutRestored(drainingEntry(5, false), now))
		require.False(t, isUsed(directory))
		return directory
	}
	directory := gone()
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.True(t, isUsed(directory))

	directory = gone()
	directory.Put(drainingEntry(5, false), now)
	require.True(t, isUsed(directory), "it has written its entry again")
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.True(t, isUsed(directory))

	directory = gone()
	directory.Put(drainingEntry(5, true), now)
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.False(t, isUsed(directory))

	directory = gone()
	directory.Remove("i-1", now)
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.False(t, isUsed(directory))
}

// A daemon that begins to know all replicas as the registry is restored keeps those that it knew.
func TestARestoredListConfirmsTheReplicasThatAreKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	directory.Put(drainingEntry(5, false), now)
	directory.BeginFullSync()
	require.False(t, directory.PutRestored(drainingEntry(5, false), now))
	directory.EndFullSync()
	require.True(t, isUsed(directory))
}

// What the registry held before the restore is older than what is known, and tells nothing of holdings.
func TestARestoredEntryDoesNotReplaceWhatIsKnownOfAReplica(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	known := drainingEntry(5, false)
	known.Holdings = Holdings{"m": nil, "loaded": nil}
	directory.Put(known, now)
	directory.PutRestored(drainingEntry(5, false), now)
	entry, _ := directory.Entry("i-1")
	require.True(t, entry.Holdings.Has(Target{Model: "loaded"}))
	directory.PutRestored(drainingEntry(5, true), now)
	require.False(t, isUsed(directory), "that it leaves was written since the copy, or before it")
}
