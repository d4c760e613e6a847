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
	// directoriesMost is how many daemons at most know all replicas for the others, beside the
	// holder. Each costs the holder a stream of all that changes; ten serve a hundred daemons each at
	// 985, and two are in each of five zones.
	directoriesMost = 10
	// daemonsPerDirectory is how many daemons there are for each directory in a smaller fleet.
	daemonsPerDirectory = 8
	// directoriesPause is the time between looks whether the list is to change.
	directoriesPause = 250 * time.Millisecond
	// adoptTime is how old a term is at least before directories are named, and adoptMost how old at
	// most: until then daemons attach, and the directories of the last holder go on.
	adoptTime = time.Second
	adoptMost = 4 * time.Second
	// readyTime is how long directories that are named have to learn of all replicas before those
	// that are ready are asked alone: a single one would get the streams of all.
	readyTime = 3 * time.Second
)

// directories are the daemons that know all replicas for the others. The list is empty where every
// daemon knows them.
type directories struct {
	chosen    map[string]bool // by daemon
	addresses []string        // of those that are ready; the holder's own while none is
	version   uint64
	changed   chan struct{} // closed at the next version, or term
	lookedAt  time.Time
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
func (h *Leader) refreshDirectories(now time.Time) {
	if h.TooManyReplicas == nil || now.Sub(h.directories.lookedAt) < directoriesPause || !h.mostAttached(now) {
		return
	}
	h.directories.lookedAt = now
	chosen := map[string]bool{}
	if h.TooManyReplicas() {
		chosen = h.chooseDirectories()
	}
	var addresses []string
	for id := range chosen {
		if known := h.daemons[id]; known.knows {
			addresses = append(addresses, known.address)
		}
	}
	if h.TooManyReplicas() && len(addresses) == 0 {
		addresses = []string{h.Address}
	}
	slices.Sort(addresses)
	if !sameSet(chosen, h.directories.chosen) {
		h.directories.chosenAt = now
	}
	if 2*len(addresses) < len(chosen) && now.Sub(h.directories.chosenAt) < readyTime {
		addresses = h.directories.addresses
	}
	if slices.Equal(addresses, h.directories.addresses) && sameSet(chosen, h.directories.chosen) {
		return
	}
	h.directories.chosen, h.directories.addresses = chosen, addresses
	h.directories.version++
	h.directories.wake()
	h.notify()
	h.Log.WithFields(logrus.Fields{logging.Directories: len(addresses), logging.Serves: len(chosen), logging.Fence: h.fence}).Info(logging.MessageDirectories)
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

// mostAttached tells whether the term is old enough for directories to be named: most of the daemons
// that the last holder had have attached. The mutex is held.
func (h *Leader) mostAttached(now time.Time) bool {
	age := now.Sub(h.yields.began)
	if h.FirstStart && !h.others.Load() {
		return true // there was no holder before
	}
	if age < adoptTime || age >= adoptMost || h.ExpectedDaemons == nil {
		return age >= adoptTime
	}
	return 2*h.attached >= h.ExpectedDaemons()
}

// isDecided tells whether the list was made in this term.
func (d *directories) isDecided() bool { return !d.lookedAt.IsZero() }

// listeners returns how many daemons are told what is loaded on each replica; the mutex is held.
func (h *Leader) listeners() int {
	if h.TooManyReplicas == nil || !h.TooManyReplicas() {
		return h.attached
	}
	return len(h.directories.chosen) + 1
}

// chooseDirectories picks the daemons that know all replicas: those that were picked before, those
// that know them already, then the strongest, spread over the zones. The mutex is held.
func (h *Leader) chooseDirectories() map[string]bool {
	var able []string
	for id, known := range h.daemons {
		if id != h.Daemon && known.address != "" && known.detached.IsZero() {
			able = append(able, id)
		}
	}
	slices.SortFunc(able, func(a, b string) int {
		first, second := h.daemons[a], h.daemons[b]
		return cmp.Or(compareFlags(h.directories.chosen[b], h.directories.chosen[a]), cmp.Compare(first.delay, second.delay),
			compareFlags(second.knows, first.knows),
			cmp.Compare(rendezvous.Score(h.Daemon, b), rendezvous.Score(h.Daemon, a)))
	})
	chosen, inZone := map[string]bool{}, map[string]int{}
	wanted := min(directoriesMost, max(1, h.attached/daemonsPerDirectory))
	for most := 1; most <= wanted; most++ { // of one zone
		for _, id := range able {
			zone := h.daemons[id].zone
			if len(chosen) < wanted && !chosen[id] && inZone[zone] < most {
				chosen[id] = true
				inZone[zone]++
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
