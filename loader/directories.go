package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rendezvous"
)

const (
	// maxDirectories is the largest number of directories besides the leader. The leader sends every change
	// to each of them.
	maxDirectories = 10
	// daemonsPerDirectory sets the number of directories in a fleet too small for maxDirectories.
	daemonsPerDirectory = 8
	// directoriesInterval is the time between two checks of the directory list.
	directoriesInterval = 250 * time.Millisecond
	// minTermAgeForDirectories and maxAttachWait bound how long a new leader waits for daemons to attach
	// before it chooses directories. Meanwhile, the directories of the earlier leader continue to serve.
	minTermAgeForDirectories = time.Second
	maxAttachWait            = 4 * time.Second
	// directoryReadyTimeout is how long newly chosen directories may take to load all replica records. Until
	// then, the list is not switched to a minority that is ready, which would have to serve all daemons.
	directoryReadyTimeout = 3 * time.Second
)

// directories are the daemons that have the records of all replicas and send the other daemons those that
// they need. The list is empty if every daemon has all records.
type directories struct {
	chosen    map[string]bool // by daemon ID
	addresses []string        // of the directories that are ready; the leader's own if none is
	version   uint64
	changed   chan struct{} // closed at the next version or term
	checkedAt time.Time
	chosenAt  time.Time // time of the last change of chosen
}

func newDirectories(version uint64) directories {
	return directories{chosen: map[string]bool{}, version: version, changed: make(chan struct{})}
}

// wake wakes the streams to daemons that receive only the directory list.
func (d *directories) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// refreshDirectories chooses directories if the fleet is too large for every daemon to have the records of all
// replicas. The caller holds the mutex.
func (l *Leader) refreshDirectories(now time.Time) {
	if l.TooManyReplicas == nil || now.Sub(l.directories.checkedAt) < directoriesInterval || !l.termSettled(now) {
		return
	}
	l.directories.checkedAt = now
	chosen := map[string]bool{}
	if l.TooManyReplicas() {
		chosen = l.chooseDirectories()
	}
	var addresses []string
	for id := range chosen {
		if state := l.daemons[id]; state.knowsReplicas {
			addresses = append(addresses, state.address)
		}
	}
	if l.TooManyReplicas() && len(addresses) == 0 {
		addresses = []string{l.Address}
	}
	slices.Sort(addresses)
	if !sameSet(chosen, l.directories.chosen) {
		l.directories.chosenAt = now
	}
	if 2*len(addresses) < len(chosen) && now.Sub(l.directories.chosenAt) < directoryReadyTimeout {
		addresses = l.directories.addresses
	}
	if slices.Equal(addresses, l.directories.addresses) && sameSet(chosen, l.directories.chosen) {
		return
	}
	l.directories.chosen, l.directories.addresses = chosen, addresses
	l.directories.version++
	l.directories.wake()
	l.publishChange()
	l.Log.WithFields(logrus.Fields{logging.Directories: len(addresses), logging.SelectedDirectories: len(chosen), logging.Fence: l.fence}).Info(logging.MessageDirectoriesChanged)
}

func sameSet(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// termSettled reports whether the leader may choose directories: the term has a minimum age, and most daemons
// of the earlier leader have attached. The caller holds the mutex.
func (l *Leader) termSettled(now time.Time) bool {
	age := now.Sub(l.handovers.termStart)
	if l.FirstStart && !l.otherLeaderObserved.Load() {
		return true // there was no earlier leader
	}
	if age < minTermAgeForDirectories || age >= maxAttachWait || l.ExpectedDaemons == nil {
		return age >= minTermAgeForDirectories
	}
	return 2*l.attachedStreams >= l.ExpectedDaemons()
}

// decided reports whether the leader has determined the list in this term.
func (d *directories) decided() bool { return !d.checkedAt.IsZero() }

// loadReceivers returns how many daemons receive the loads of each replica. The caller holds the mutex.
func (l *Leader) loadReceivers() int {
	if l.TooManyReplicas == nil || !l.TooManyReplicas() {
		return l.attachedStreams
	}
	return len(l.directories.chosen) + 1
}

// chooseDirectories chooses the daemons that serve as directories, spread over the zones. It prefers current
// directories, then strong machines, then daemons with all replica records. The caller holds the mutex.
func (l *Leader) chooseDirectories() map[string]bool {
	var eligible []string
	for id, state := range l.daemons {
		if id != l.Daemon && state.address != "" && state.detachedAt.IsZero() {
			eligible = append(eligible, id)
		}
	}
	slices.SortFunc(eligible, func(a, b string) int {
		first, second := l.daemons[a], l.daemons[b]
		return cmp.Or(compareFlags(l.directories.chosen[b], l.directories.chosen[a]), cmp.Compare(first.baseCampaignDelay, second.baseCampaignDelay),
			compareFlags(second.knowsReplicas, first.knowsReplicas),
			cmp.Compare(rendezvous.Score(l.Daemon, b), rendezvous.Score(l.Daemon, a)))
	})
	chosen, countByZone := map[string]bool{}, map[string]int{}
	desired := min(maxDirectories, max(1, l.attachedStreams/daemonsPerDirectory))
	for maxPerZone := 1; maxPerZone <= desired; maxPerZone++ {
		for _, id := range eligible {
			zone := l.daemons[id].zone
			if len(chosen) < desired && !chosen[id] && countByZone[zone] < maxPerZone {
				chosen[id] = true
				countByZone[zone]++
			}
		}
	}
	return chosen
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
