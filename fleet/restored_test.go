package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testEntry(born int64, draining bool) Entry {
	return Entry{ID: "i-1", Service: "press", Address: "10.0.0.1:1", Born: born, Draining: draining, Holdings: Holdings{"m": nil}}
}

func acceptsRequests(directory *Directory) bool {
	entry, listed := directory.Entry("i-1")
	return listed && !entry.Draining
}

// A registry restored from a backup lists replicas as they were before they began to drain.
func TestDrainingSurvivesRegistryRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	directory.Put(testEntry(5, false), now)
	require.True(t, acceptsRequests(directory))
	directory.Put(testEntry(5, true), now)
	require.Empty(t, directory.LocallyReportedDraining(), "daemons learn it from the registry, not from the leader")
	require.False(t, directory.PutRestored(testEntry(5, false), now))
	require.False(t, acceptsRequests(directory))
	require.Equal(t, []Incarnation{{"i-1", 5}}, directory.LocallyReportedDraining(), "the restored registry has lost the draining, so the leader must report it")
	directory.Put(testEntry(5, false), now)
	require.False(t, acceptsRequests(directory), "draining is final for an incarnation")
	directory.Put(testEntry(6, false), now)
	require.True(t, acceptsRequests(directory), "a new incarnation accepts requests")
	require.False(t, directory.PutRestored(testEntry(5, false), now))
	entry, _ := directory.Entry("i-1")
	require.EqualValues(t, 6, entry.Born, "the backup predates the new incarnation")
}

func TestDrainingIsFinalForIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	directory.Put(testEntry(5, true), now)
	directory.Remove("i-1", now)
	directory.Put(testEntry(5, false), now)
	require.False(t, acceptsRequests(directory))
}

func TestRemovedReplicaIsUntrustedAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	restoredDirectory := func() *Directory {
		directory := NewDirectory("a", func() float64 { return 0 })
		directory.Put(testEntry(5, false), now)
		directory.Remove("i-1", now)
		require.True(t, directory.PutRestored(testEntry(5, false), now))
		require.False(t, acceptsRequests(directory))
		return directory
	}
	directory := restoredDirectory()
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.True(t, acceptsRequests(directory))

	directory = restoredDirectory()
	directory.Put(testEntry(5, false), now)
	require.True(t, acceptsRequests(directory), "the replica wrote its entry again after the restore")
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.True(t, acceptsRequests(directory))

	directory = restoredDirectory()
	directory.Put(testEntry(5, true), now)
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.False(t, acceptsRequests(directory))

	directory = restoredDirectory()
	directory.Remove("i-1", now)
	directory.TrustRestored(Incarnation{"i-1", 5})
	require.False(t, acceptsRequests(directory))
}

// Guards against dropping known replicas when the registry is restored during a full sync.
func TestPutRestoredConfirmsKnownReplicasDuringFullSync(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	directory.Put(testEntry(5, false), now)
	directory.BeginFullSync()
	require.False(t, directory.PutRestored(testEntry(5, false), now))
	directory.EndFullSync()
	require.True(t, acceptsRequests(directory))
}

// Entries of a restored registry are older than the known record of the same process.
func TestPutRestoredKeepsNewerEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	directory := NewDirectory("a", func() float64 { return 0 })
	newer := testEntry(5, false)
	newer.Holdings = Holdings{"m": nil, "loaded": nil}
	directory.Put(newer, now)
	directory.PutRestored(testEntry(5, false), now)
	entry, _ := directory.Entry("i-1")
	require.True(t, entry.Holdings.Has(Target{Model: "loaded"}))
	directory.PutRestored(testEntry(5, true), now)
	require.False(t, acceptsRequests(directory), "draining is applied from a restored registry too")
}
