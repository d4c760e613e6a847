package fleet

import "slices"

// Change describes a change of one replica in a directory.
type Change struct {
	ID      string
	Service string
	Version string // of the replica's software
	Removed bool
	// Gained lists the targets that the replica newly serves or is loading at its software version. It
	// contains the empty target if the replica or its version is new.
	Gained []Target
}

// Observer is called for each change of a directory, with the directory's mutex held: it must neither
// block nor call the directory.
type Observer func(Change)

// SetObserver registers the observer for all further changes; nil removes it.
func (d *Directory) SetObserver(observer Observer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.observer = observer
}

// notifyObserver passes a change to the observer; the caller holds the mutex.
func (d *Directory) notifyObserver(change Change) {
	if d.observer != nil {
		d.observer(change)
	}
}

// targetSet lists the targets that a replica serves or is loading.
type targetSet []Target

// targetsOf lists the targets that a replica serves or is loading according to the registry or the
// leader. Without an observer it returns nil. The caller holds the mutex.
func (d *Directory) targetsOf(replica *Replica) targetSet {
	if d.observer == nil {
		return nil
	}
	targets := targetSet{{}}
	targets = targets.addHoldings(replica.Holdings)
	if replica.leaderRecord != nil {
		targets = targets.addHoldings(replica.leaderRecord.Holdings)
		for target := range replica.leaderRecord.Loading {
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

// without returns the targets that are not in before; it reuses the receiver's memory.
func (s targetSet) without(before targetSet) []Target {
	return slices.DeleteFunc(s, func(target Target) bool { return slices.Contains(before, target) })
}
