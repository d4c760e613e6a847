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
	// maxDirectories is how many daemons at most know all replicas for the others, beside the
	// holder. Each costs the holder a stream of all that changes; ten serve a hundred daemons each at
	// 985, and two are in each of five zones.
	maxDirectories = 10
	// daemonsPerDirectory is how many daemons there are for each directory in a smaller fleet.
	daemonsPerDirectory = 8
	// directoriesInterval is the time between looks whether the list is to change.
	directoriesInterval = 250 * time.Millisecond
	// minTermAgeForDirectories is how old a term is at least before directories are named, and maxAttachWait how old at
	// most: until then daemons attach, and the directories of the last holder go on.
	minTermAgeForDirectories = time.Second
	maxAttachWait            = 4 * time.Second
	// directoryReadyTimeout is how long directories that are named have to learn of all replicas before those
	// that are ready are asked alone: a single one would get the streams of all.
	directoryReadyTimeout = 3 * time.Second
)

// directories are the daemons that know all replicas for the others. The list is empty where every
// daemon knows them.
type directories struct {
	chosen    map[string]bool // by daemon
	addresses []string        // of those that are ready; the holder's own while none is
	version   uint64
	changed   chan struct{} // closed at the next version, or term
	checkedAt time.Time
	chosenAt  time.Time // when the daemons were last chosen
}

func newDirectories(version uint64) directories {
	return directories{chosen: map[string]bool{}, version: version, changed: make(chan struct{})}
}

// wake wakes the streams to daemons that are told of the directories only.
func (d *directories) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// refreshDirectories names directories where there are too many replicas for every daemon to know
// them; the mutex is held.
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
		if known := l.daemons[id]; known.knowsReplicas {
			addresses = append(addresses, known.address)
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
	l.Log.WithFields(logrus.Fields{logging.Directories: len(addresses), logging.Serves: len(chosen), logging.Fence: l.fence}).Info(logging.MessageDirectories)
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

// termSettled tells whether the term is old enough for directories to be named: most of the daemons
// that the last holder had have attached. The mutex is held.
func (l *Leader) termSettled(now time.Time) bool {
	age := now.Sub(l.handovers.termStart)
	if l.FirstStart && !l.otherLeaderObserved.Load() {
		return true // there was no holder before
	}
	if age < minTermAgeForDirectories || age >= maxAttachWait || l.ExpectedDaemons == nil {
		return age >= minTermAgeForDirectories
	}
	return 2*l.attached >= l.ExpectedDaemons()
}

// decided tells whether the list was made in this term.
func (d *directories) decided() bool { return !d.checkedAt.IsZero() }

// listeners returns how many daemons are told what is loaded on each replica; the mutex is held.
func (l *Leader) loadReceivers() int {
	if l.TooManyReplicas == nil || !l.TooManyReplicas() {
		return l.attached
	}
	return len(l.directories.chosen) + 1
}

// chooseDirectories picks the daemons that know all replicas: those that were picked before, those
// that know them already, then the strongest, spread over the zones. The mutex is held.
func (l *Leader) chooseDirectories() map[string]bool {
	var eligible []string
	for id, known := range l.daemons {
		if id != l.Daemon && known.address != "" && known.detachedAt.IsZero() {
			eligible = append(eligible, id)
		}
	}
	slices.SortFunc(eligible, func(a, b string) int {
		first, second := l.daemons[a], l.daemons[b]
		return cmp.Or(compareFlags(l.directories.chosen[b], l.directories.chosen[a]), cmp.Compare(first.termDelay, second.termDelay),
			compareFlags(second.knowsReplicas, first.knowsReplicas),
			cmp.Compare(rendezvous.Score(l.Daemon, b), rendezvous.Score(l.Daemon, a)))
	})
	chosen, countByZone := map[string]bool{}, map[string]int{}
	desired := min(maxDirectories, max(1, l.attached/daemonsPerDirectory))
	for maxPerZone := 1; maxPerZone <= desired; maxPerZone++ { // of one zone
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
