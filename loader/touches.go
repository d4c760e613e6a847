package loader

import "slices"

// touches remembers in which version each replica last changed, so that what changed
// after a version is found without a look at all replicas.
type touches struct {
	versions map[string]uint64
	log      []touch // in the order of versions
}

type touch struct {
	replica string
	version uint64
}

// spareTouches is how many outdated entries the log may hold beyond the replicas.
const spareTouches = 256

func newTouches() *touches { return &touches{versions: map[string]uint64{}} }

// mark notes that a replica changed in a version, the highest so far.
func (t *touches) mark(replica string, version uint64) {
	t.versions[replica] = version
	t.log = append(t.log, touch{replica, version})
	if len(t.log) > 2*len(t.versions)+spareTouches {
		t.log = slices.DeleteFunc(t.log, func(one touch) bool { return t.versions[one.replica] != one.version })
	}
}

// has tells whether a replica was ever marked.
func (t *touches) has(replica string) bool { return t.versions[replica] > 0 }

// after lists the replicas that last changed after a version, each once.
func (t *touches) after(version uint64) []string {
	var changed []string
	for index := len(t.log) - 1; index >= 0 && t.log[index].version > version; index-- {
		one := t.log[index]
		// A replica may be marked twice in one version; both entries are then alike.
		if t.versions[one.replica] == one.version && !slices.Contains(changed[max(0, len(changed)-1):], one.replica) {
			changed = append(changed, one.replica)
		}
	}
	return changed
}
