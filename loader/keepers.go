package loader

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/rendezvous"
	"github.com/finchspoke/finchspoke/routing"
)

const (
	// minKeepers is the number of daemons that keep stream origins for others, if there are so many.
	minKeepers = 16
	// daemonsPerKeeper sets the number of keepers in a fleet in which minKeepers would each keep the origins of
	// more daemons.
	daemonsPerKeeper = 8
	// detachedKeeperTTL is how long a detached daemon stays a keeper. It may be reachable, and a restart keeps
	// its place.
	detachedKeeperTTL = 3 * time.Second
	// keepersInterval is the time between two checks of the list of keepers.
	keepersInterval = 250 * time.Millisecond
)

// originKeepers are the daemons that keep stream origins for others. Every daemon receives the list.
type originKeepers struct {
	list      origin.KeeperList // keepers sorted by daemon ID
	version   uint64
	checkedAt time.Time
}

// decided reports whether the leader has determined the list in this term.
func (k *originKeepers) decided() bool { return !k.checkedAt.IsZero() }

// desiredKeepers returns the number of keepers for a fleet.
func desiredKeepers(daemons int) int { return max(minKeepers, daemons/daemonsPerKeeper) }

// refreshKeepers chooses the keepers of stream origins. The caller holds the mutex.
func (l *Leader) refreshKeepers(now time.Time) {
	if now.Sub(l.keepers.checkedAt) < keepersInterval || l.attachedStreams > minKeepers && !l.termSettled(now) {
		return
	}
	before := l.keepers.list.Keepers
	if !l.keepers.decided() && l.KnownKeepers != nil {
		before = l.KnownKeepers()
	}
	decided := l.keepers.decided()
	l.keepers.checkedAt = now
	list := origin.KeeperList{Keepers: l.chooseKeepers(before, now), MixedServices: l.mixedServices(now)}
	if decided && slices.Equal(list.Keepers, l.keepers.list.Keepers) && slices.Equal(list.MixedServices, l.keepers.list.MixedServices) {
		return
	}
	l.keepers.list = list
	l.keepers.version++
	l.directories.wake()
	l.publishChange()
	l.Log.WithFields(logrus.Fields{logging.Keepers: len(list.Keepers), logging.MixedServices: list.MixedServices, logging.Fence: l.fence}).Info(logging.MessageKeepersChanged)
}

// mixedServices returns the services of which several software versions are known. The caller holds the mutex.
func (l *Leader) mixedServices(now time.Time) (mixed []string) {
	if l.Table == nil || l.Table.Current() == nil {
		return nil
	}
	l.Table.Current().Services(func(service *routing.Service) {
		if len(l.Fleet.Versions(service.Name, origin.Horizon, now)) > 1 {
			mixed = append(mixed, service.Name)
		}
	})
	slices.Sort(mixed)
	return mixed
}

// chooseKeepers chooses the daemons that keep stream origins. Those of the list before stay, since each change
// has origins sent again; others are added from the zones with the fewest. The caller holds the mutex.
func (l *Leader) chooseKeepers(before []origin.Keeper, now time.Time) []origin.Keeper {
	wasKeeper := map[string]bool{}
	for _, keeper := range before {
		wasKeeper[keeper.Daemon] = true
	}
	var current, others []string
	for id, state := range l.daemons {
		attached := state.detachedAt.IsZero()
		switch {
		case state.originProcess == 0 || state.address == "":
		case wasKeeper[id] && (attached || now.Sub(state.detachedAt) < detachedKeeperTTL):
			current = append(current, id)
		case attached:
			others = append(others, id)
		}
	}
	byScore := func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(keeperScoreKey, b), rendezvous.Score(keeperScoreKey, a)), cmp.Compare(a, b))
	}
	slices.SortFunc(current, byScore)
	slices.SortFunc(others, byScore)
	desired := desiredKeepers(l.attachedStreams)
	chosen := l.addFromEmptiestZones(current[:min(desired, len(current))], others, desired)
	slices.Sort(chosen)
	list := make([]origin.Keeper, 0, len(chosen))
	for _, id := range chosen {
		state := l.daemons[id]
		list = append(list, origin.Keeper{Daemon: id, Address: state.address, Process: state.originProcess})
	}
	return list
}

// keeperScoreKey is the key by which daemons are ranked as keepers.
const keeperScoreKey = "stream origins"

// addFromEmptiestZones adds daemons until desired are chosen, each from the zone with the fewest chosen ones. The
// caller holds the mutex.
func (l *Leader) addFromEmptiestZones(chosen, others []string, desired int) []string {
	countByZone := map[string]int{}
	for _, id := range chosen {
		countByZone[l.daemons[id].zone]++
	}
	for len(chosen) < desired && len(others) > 0 {
		next := 0
		for index, id := range others {
			if countByZone[l.daemons[id].zone] < countByZone[l.daemons[others[next]].zone] {
				next = index
			}
		}
		countByZone[l.daemons[others[next]].zone]++
		chosen = append(chosen, others[next])
		others = slices.Delete(others, next, next+1)
	}
	return chosen
}
