package origin

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// inFleet runs a test in a bubble with a fleet of daemons that know the versions.
func inFleet(t *testing.T, count int, versions []string, test func(t *testing.T, fleet *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, count, versions...)
		defer fleet.stopAll()
		synctest.Wait()
		test(t, fleet)
	})
}

var twoVersions = []string{"v1", "v2"}

// Guards against streams that cannot be taken up since the daemon that served them has ended, and two of those that
// it told.
func TestOriginOutlivesItsDaemonAndTwoKeepers(t *testing.T) {
	inFleet(t, 9, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		fleet.daemons[0].began("v1", 0, 200)
		settle()
		for _, killed := range fleet.daemons[:3] {
			fleet.kill(killed)
		}
		require.Equal(t, 200, fleet.daemons[8].resolved("v1", 0, 200, true))
		// An owner by attempt may be among those that are asked by request.
		require.GreaterOrEqual(t, fleet.daemons[8].resolved("v1", 0, 200, false), 200-originsOwnedOnlyBy(fleet, 200, 3))
	})
}

// originsOwnedOnlyBy returns how many of d0's requests have only the first daemons as owners by request.
func originsOwnedOnlyBy(fleet *testFleet, requests, daemons int) (count int) {
	var ids []string
	for _, d := range fleet.daemons {
		ids = append(ids, d.id)
	}
	for number := range requests {
		owners := ranked(ids, requestHashKey(fingerprintOf(fmt.Sprint("r", number))), ownersByRequest, "d0")
		if !slices.ContainsFunc(owners, func(id string) bool { return slices.Index(ids, id) >= daemons }) {
			count++
		}
	}
	return count
}

func TestOwnOriginNeedsNoOtherDaemon(t *testing.T) {
	inFleet(t, 3, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		fleet.daemons[0].began("v1", 0, 1)
		settle()
		fleet.delivered()
		resolution := fleet.daemons[0].Resolve(t.Context(), queryOf("a0", "r0"))
		require.Equal(t, Resolution{Version: "v1", Known: true, Source: SourceOwn}, resolution)
		messages, _ := fleet.delivered()
		require.Zero(t, messages)
		require.Equal(t, 1.0, valueOf(fleet.daemons[0].Metrics.resolutions.WithLabelValues(SourceOwn)))
	})
}

// Guards against costs for more than two keepers of streams that nobody resumes while only one version serves, and
// against more than a question to each keeper for one that is resumed.
func TestStreamsOfOneVersionAreToldToTwoKeepers(t *testing.T) {
	inFleet(t, 5, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		settle()
		fleet.delivered()
		fleet.daemons[0].began("v1", 0, 50)
		settle()
		require.Equal(t, 100.0, valueOf(fleet.daemons[0].Metrics.published))
		messages, _ := fleet.delivered()
		require.LessOrEqual(t, messages, 4*2, "one for what was first and one for the rest, to each keeper")
		require.Equal(t, 50, fleet.daemons[1].resolved("v1", 0, 50, true))
		require.Equal(t, 50, fleet.daemons[1].resolved("v1", 0, 50, false))
		messages, _ = fleet.delivered()
		require.LessOrEqual(t, messages, 100*4)
	})
}

// Guards against streams that cannot go on since their daemon was killed before another version appeared.
func TestOriginsOfOneVersionOutliveTheirDaemon(t *testing.T) {
	for _, daemons := range []int{3, 5, 40} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			inFleet(t, daemons, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
				settle()
				fleet.daemons[0].began("v1", 0, 50)
				time.Sleep(2 * batchInterval)
				fleet.kill(fleet.daemons[0])
				fleet.setVersions(VersionView{Versions: twoVersions, Covered: true, Current: true})
				require.Equal(t, 50, fleet.daemons[1].resolved("v1", 0, 50, true))
				require.Equal(t, 50, fleet.daemons[2].resolved("v1", 0, 50, false))
			})
		})
	}
}

// Guards against a guess of daemons that are cut off from the key-value service and the other daemons, and whose leader,
// cut off with them, names only them as keepers.
func TestDaemonsThatAreCutOffWithTheirLeaderDoNotInfer(t *testing.T) {
	for _, daemons := range []int{3, 9} {
		inFleet(t, daemons, twoVersions, func(t *testing.T, fleet *testFleet) {
			cut, others := fleet.daemons[:2], fleet.daemons[2:]
			fleet.setVersions(VersionView{Versions: []string{"v1"}, Covered: true}, cut...)
			fleet.set(func() {
				for _, d := range others {
					d.silent = true
				}
			})
			list := KeeperList{}
			for _, d := range cut {
				list.Keepers = append(list.Keepers, Keeper{Daemon: d.Daemon, Address: d.Address, Process: d.Process()})
			}
			for _, d := range cut {
				d.SetKeepers(list)
				for _, named := range []bool{true, false} {
					require.Zero(t, d.resolved("v1", 0, 1, named), "%d daemons", daemons)
				}
			}
		})
	}
}

// Guards against refusals at the only daemon that is left, which reaches the registry, and against a guess where the
// registry names another version.
func TestOnlyDaemonLeftReadsTheRegistry(t *testing.T) {
	inFleet(t, 9, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		fleet.set(func() {
			for _, d := range fleet.daemons[1:] {
				d.silent = true
			}
		})
		left := fleet.daemons[0]
		resolve := func() Resolution { return left.Resolve(t.Context(), queryOf("a0", "r0")) }
		require.False(t, resolve().Known)
		registry, err := []string{"v1"}, error(nil)
		left.ReadVersions = func(context.Context, string) (RegistryVersions, error) {
			return RegistryVersions{Versions: registry}, err
		}
		require.Equal(t, Resolution{Version: "v1", Known: true, Source: SourceInferred}, resolve())
		registry = twoVersions
		require.False(t, resolve().Known)
		registry, err = []string{"v1"}, context.DeadlineExceeded
		require.False(t, resolve().Known)
	})
}

// Guards against a daemon that has missed changes, and takes a read of the registry for proof that no other version has served
// and left meanwhile.
func TestADaemonThatMissedChangesNeedsTheRecordOfVersions(t *testing.T) {
	inFleet(t, 3, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		fleet.set(func() {
			for _, d := range fleet.daemons[1:] {
				d.silent = true
			}
		})
		stale := fleet.daemons[0]
		registry := RegistryVersions{Versions: []string{"v1"}}
		stale.ReadVersions = func(context.Context, string) (RegistryVersions, error) { return registry, nil }
		resolve := func() Resolution { return stale.Resolve(t.Context(), queryOf("a0", "r0")) }
		fleet.setVersions(VersionView{Versions: []string{"v1"}, Covered: true}, stale)
		require.False(t, resolve().Known)
		registry = RegistryVersions{Versions: []string{"v1"}, Recorded: true}
		require.Equal(t, Resolution{Version: "v1", Known: true, Source: SourceInferred}, resolve())
		registry.Versions = twoVersions
		require.False(t, resolve().Known)
		registry = RegistryVersions{Versions: []string{"v1"}}
		fleet.setVersions(VersionView{Versions: []string{"v1"}, Covered: true, Current: true}, stale)
		require.True(t, resolve().Known, "its records are up to date")
	})
}

// Guards against refusals in an outage of the key-value service, in which no daemon's records are confirmed, and while
// some daemons do not answer.
func TestDaemonsInferInAnOutageIfNearlyAllAnswer(t *testing.T) {
	inFleet(t, 9, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		fleet.setVersions(VersionView{Versions: []string{"v1"}, Covered: true})
		for silent, known := range map[int]int{0: 1, 2: 1, 3: 0} {
			fleet.set(func() {
				for number, d := range fleet.daemons {
					d.silent = number >= len(fleet.daemons)-silent
				}
			})
			require.Equal(t, known, fleet.daemons[0].resolved("v1", 0, 1, false), "%d of 9 are silent", silent)
		}
	})
}

// Guards against a guess of a daemon whose records lag, while others know which version began the stream.
func TestDaemonWhoseRecordsLagAsksBeforeItInfers(t *testing.T) {
	inFleet(t, 9, twoVersions, func(t *testing.T, fleet *testFleet) {
		fleet.setVersions(VersionView{Versions: []string{"v1"}, Covered: true, Current: true}, fleet.daemons[8])
		fleet.daemons[0].began("v2", 0, 1)
		settle()
		require.Equal(t, 1, fleet.daemons[8].resolved("v2", 0, 1, true))
		require.Equal(t, 1, fleet.daemons[8].resolved("v2", 0, 1, false))
	})
}

// Guards against streams that began before a second version appeared, and that nobody was told of.
func TestOriginsAreToldWhenASecondVersionAppears(t *testing.T) {
	inFleet(t, 5, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		fleet.daemons[0].began("v1", 0, 2*maxBatch)
		settle()
		fleet.setVersions(VersionView{Versions: twoVersions, Covered: true, Current: true})
		time.Sleep(versionsInterval)
		time.Sleep(10 * batchInterval)
		fleet.kill(fleet.daemons[0])
		require.Equal(t, 2*maxBatch, fleet.daemons[3].resolved("v1", 0, 2*maxBatch, true))
		require.Equal(t, 2*maxBatch, fleet.daemons[4].resolved("v1", 0, 2*maxBatch, false))
	})
}

// Guards against a guess where the origin was lost.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	inFleet(t, 5, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		resolution := fleet.daemons[0].Resolve(t.Context(), queryOf("a0", "r0"))
		require.False(t, resolution.Known)
		require.Contains(t, resolution.Reason, "replicas of 2 software versions serve")
		require.Equal(t, 1.0, valueOf(fleet.daemons[0].Metrics.resolutions.WithLabelValues(SourceUnknown)))
	})
}

// Guards against a daemon that is cut off, knows of one version, and takes streams of another for its own.
func TestCutOffDaemonDoesNotGuess(t *testing.T) {
	inFleet(t, 9, twoVersions, func(t *testing.T, fleet *testFleet) {
		cut := fleet.daemons[8]
		fleet.setVersions(VersionView{Versions: []string{"v1"}, Covered: true}, cut)
		settle()
		fleet.set(func() { cut.silent = true })
		fleet.daemons[0].began("v2", 0, 30)
		settle()
		startedAt := time.Now()
		require.Zero(t, cut.resolved("v2", 0, 30, true))
		require.LessOrEqual(t, time.Since(startedAt), 30*resolveTimeout)
		resolution := cut.Resolve(t.Context(), queryOf("another", "another"))
		require.Contains(t, resolution.Reason, "out of date")

		fleet.set(func() { cut.silent = false })
		require.Equal(t, 30, cut.resolved("v2", 0, 30, true), "its peers know")
	})
}

// Guards against a process that has just started and knows of no keepers.
func TestFreshProcessAsksThroughOthers(t *testing.T) {
	inFleet(t, 9, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		fleet.daemons[0].began("v2", 0, 100)
		settle()
		fleet.kill(fleet.daemons[0])
		fresh := fleet.start("fresh")
		fleet.set(func() { fresh.versions, fresh.seeds = VersionView{Versions: twoVersions}, []string{"d0", "d1"} })
		require.Equal(t, 100, fresh.resolved("v2", 0, 100, true), "through a seed")
		require.Equal(t, 100, fresh.resolved("v2", 0, 100, false))
		fresh.seeds, fresh.Leader = nil, func() string { return "d5" }
		require.Equal(t, 100, fresh.resolved("v2", 0, 100, true), "through the leader")
		fresh.Leader = func() string { return "" }
		require.Zero(t, fresh.resolved("v2", 0, 100, true), "nobody is known")
	})
}

// Guards against refusing streams after a start while only one version serves.
func TestFreshProcessInfersFromPeersThatHaveWatched(t *testing.T) {
	inFleet(t, 3, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		fresh := fleet.start("fresh", "v1")
		fleet.set(func() { fresh.versions.Covered, fresh.seeds = false, []string{"d0"} })
		resolution := fresh.Resolve(t.Context(), queryOf("a0", "r0"))
		require.Equal(t, Resolution{Version: "v1", Known: true, Source: SourceInferred}, resolution)
		fleet.setVersions(VersionView{Versions: twoVersions, Covered: true, Current: true})
		require.False(t, fresh.Resolve(t.Context(), queryOf("a0", "r0")).Known, "a version that its peer has seen counts")
	})
}

// Guards against a request without a named attempt whose streams began at different versions.
func TestRequestWhoseStreamsDisagreeIsNotResolved(t *testing.T) {
	inFleet(t, 9, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		fleet.daemons[0].RecordOrigin(originOf("a1", "r", "v1"))
		fleet.daemons[1].RecordOrigin(originOf("a2", "r", "v2"))
		settle()
		for _, d := range fleet.daemons {
			require.False(t, d.Resolve(t.Context(), queryOf("", "r")).Known)
			require.Equal(t, "v1", d.Resolve(t.Context(), queryOf("a1", "r")).Version)
			require.Equal(t, "v2", d.Resolve(t.Context(), queryOf("a2", "r")).Version)
		}
	})
}

// Guards against a silent keeper that delays callers for longer than the bound.
func TestSilentKeepersDelayCallersForABoundedTime(t *testing.T) {
	inFleet(t, 9, twoVersions, func(t *testing.T, fleet *testFleet) {
		settle()
		fleet.daemons[0].began("v1", 0, 20)
		settle()
		fleet.set(func() { fleet.daemons[0].silent, fleet.daemons[1].silent = true, true })
		startedAt := time.Now()
		require.Equal(t, 20, fleet.daemons[8].resolved("v1", 0, 20, true))
		require.LessOrEqual(t, time.Since(startedAt), 20*networkDelay, "the first answer is enough")
		startedAt = time.Now()
		require.Zero(t, fleet.daemons[8].resolved("v1", 100, 101, true))
		require.LessOrEqual(t, time.Since(startedAt), resolveTimeout)
	})
}

func TestSecondVersionOfAnAttemptIsReported(t *testing.T) {
	inFleet(t, 1, twoVersions, func(t *testing.T, fleet *testFleet) {
		d := fleet.daemons[0]
		d.RecordOrigin(originOf("a1", "r1", "v1"))
		d.RecordOrigin(originOf("a1", "r1", "v2"))
		require.Equal(t, 1.0, valueOf(d.Metrics.conflicts))
		require.Equal(t, "v1", d.Resolve(t.Context(), queryOf("a1", "r1")).Version)
	})
}

// Guards against a daemon that has just started and refuses streams although another daemon knows that one version
// serves.
func TestStartedDaemonLearnsFromAnyKeeperThatOneVersionServes(t *testing.T) {
	inFleet(t, 9, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		started := VersionView{Versions: []string{"v1"}, Current: true}
		for watching := range fleet.daemons {
			fleet.setVersions(started, fleet.daemons...)
			fleet.setVersions(VersionView{Versions: []string{"v1"}, Current: true, Covered: true}, fleet.daemons[watching])
			for _, d := range fleet.daemons {
				require.True(t, d.Resolve(t.Context(), queryOf("a0", "r0")).Known, "%s asks, daemon %d has watched", d.Daemon, watching)
			}
		}
	})
}

// Guards against a daemon of a large fleet, which knows some of the replicas only, that takes the versions of those
// for all, or refuses streams while one version serves.
func TestDaemonThatDoesNotKnowAllReplicasAsksOneThatDoes(t *testing.T) {
	const directory = 2 * maxKeepersAsked
	inFleet(t, directory+1, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		partial := VersionView{Versions: []string{"v1"}, Current: true, Partial: true, OldestBorn: time.Now().Add(-time.Hour)}
		fleet.setVersions(partial, fleet.daemons[:directory]...)
		require.False(t, fleet.daemons[0].Resolve(t.Context(), queryOf("a0", "r0")).Known)
		for _, d := range fleet.daemons {
			d.Directories = func() []string { return []string{fleet.daemons[directory].Address} }
		}
		require.Equal(t, Resolution{Version: "v1", Known: true, Source: SourceInferred}, fleet.daemons[0].Resolve(t.Context(), queryOf("a0", "r0")))
		fleet.setVersions(VersionView{Versions: twoVersions, Covered: true, Current: true}, fleet.daemons[directory])
		require.False(t, fleet.daemons[0].Resolve(t.Context(), queryOf("a0", "r0")).Known)

		// The leader, which knows all replicas, tells when more keepers must be told.
		fleet.daemons[0].began("v1", 0, 50)
		settle()
		require.Equal(t, 50.0*ownersOfOneVersion, valueOf(fleet.daemons[0].Metrics.published))
		fleet.daemons[0].SetKeepers(KeeperList{MixedServices: []string{"press"}})
		settle()
		require.Greater(t, valueOf(fleet.daemons[0].Metrics.published), 50.0*(ownersOfOneVersion+1))
		fleet.kill(fleet.daemons[0])
		require.Equal(t, 50, fleet.daemons[1].resolved("v1", 0, 50, true))
	})
}

// Guards against a daemon that has not learned of a second version yet and takes its streams for those of the first.
func TestDaemonThatLagsBehindTheLeaderAsks(t *testing.T) {
	inFleet(t, 9, twoVersions, func(t *testing.T, fleet *testFleet) {
		lagging := fleet.daemons[8]
		fleet.setVersions(VersionView{Versions: []string{"v1"}, Covered: true, Current: true}, lagging)
		settle()
		fleet.daemons[0].began("v2", 0, 20)
		settle()
		fleet.kill(fleet.daemons[0])
		lagging.SetKeepers(KeeperList{MixedServices: []string{"press"}})
		require.Equal(t, 20, lagging.resolved("v2", 0, 20, true))
		require.False(t, lagging.Resolve(t.Context(), queryOf("lost", "lost")).Known)
	})
}

// Guards against a daemon that was told of a stream of a second version, and still takes all streams for the first.
func TestVersionOfAnOriginCountsBeforeItsReplicaIsKnown(t *testing.T) {
	inFleet(t, 2, []string{"v1"}, func(t *testing.T, fleet *testFleet) {
		early, late := fleet.daemons[0], fleet.daemons[1]
		late.began("v1", 100, 110)
		fleet.setVersions(VersionView{Versions: twoVersions, Covered: true, Current: true}, early)
		early.began("v2", 0, 10)
		settle()
		require.Equal(t, 10, late.resolved("v2", 0, 10, true))
		require.False(t, late.Resolve(t.Context(), queryOf("lost", "lost")).Known)
		require.Equal(t, 10, early.resolved("v1", 100, 110, true))
		require.Equal(t, 10, early.kept.Len(), "the other daemon tells of its streams, too")
	})
}
