package loader

import "slices"

// touches remembers in which version each replica last changed, so that what changed
// after a version is found without a look at all replicas.
type changeLog struct {
	versions map[string]uint64
	entries  []changeEntry // in the order of versions
}

type changeEntry struct {
	replica string
	version uint64
}

// maxStaleEntries is how many outdated entries the log may hold beyond the replicas.
const maxStaleEntries = 256

func newChangeLog() *changeLog { return &changeLog{versions: map[string]uint64{}} }

// mark notes that a replica changed in a version, the highest so far.
func (t *changeLog) mark(replica string, version uint64) {
	t.versions[replica] = version
	t.entries = append(t.entries, changeEntry{replica, version})
	if len(t.entries) > 2*len(t.versions)+maxStaleEntries {
		t.entries = slices.DeleteFunc(t.entries, func(entry changeEntry) bool { return t.versions[entry.replica] != entry.version })
	}
}

// has tells whether a replica was ever marked.
func (t *changeLog) has(replica string) bool { return t.versions[replica] > 0 }

// after lists the replicas that last changed after a version, each once.
func (t *changeLog) after(version uint64) []string {
	var changed []string
	for index := len(t.entries) - 1; index >= 0 && t.entries[index].version > version; index-- {
		entry := t.entries[index]
		// A replica may be marked twice in one version; both entries are then alike.
		if t.versions[entry.replica] == entry.version && !slices.Contains(changed[max(0, len(changed)-1):], entry.replica) {
			changed = append(changed, entry.replica)
		}
	}
	return changed
}
