package fleet

import "slices"

// Change is a change of one replica in a directory.
type Change struct {
	ID      string
	Service string
	Removed bool
	// Gained are the targets that the replica now serves, or begins to load, and did not before.
	// The empty target is one of them where the replica is new.
	Gained []Target
}

// Observer hears of each change of a directory. It is called under the directory's mutex: it must
// not wait, nor call the directory.
type Observer func(Change)

// Observe makes an observer hear of all changes from now on; nil: none does.
func (d *Directory) SetObserver(observer Observer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.observer = observer
}

// observe tells the observer of a change; the mutex is held.
func (d *Directory) observe(change Change) {
	if d.observer != nil {
		d.observer(change)
	}
}

// targetSet are the targets that a replica serves or loads.
type targetSet []Target

// targetsOf lists the targets that a replica serves or loads, by any word of it; the mutex is
// held. Nobody needs them without an observer.
func (d *Directory) targetsOf(one *Replica) targetSet {
	if d.observer == nil {
		return nil
	}
	targets := targetSet{{}}
	targets = targets.addHoldings(one.Holdings)
	if one.confirmed != nil {
		targets = targets.addHoldings(one.confirmed.Holdings)
		for target := range one.confirmed.Loading {
			targets = append(targets, target)
		}
	}
	return targets
}

func (s targetSet) addHoldings(holdings Holdings) targetSet {
	for model, adapters := range holdings {
		s = append(s, Target{Model: model})
		for _, adapter := range adapters {
			s = append(s, Target{Model: model, Adapter: adapter})
		}
	}
	return s
}

// without returns the targets that are not in another set.
func (s targetSet) without(before targetSet) []Target {
	return slices.DeleteFunc(s, func(one Target) bool { return slices.Contains(before, one) })
}
