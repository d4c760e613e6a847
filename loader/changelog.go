package loader

import "slices"

// changeLog records the version in which each replica last changed, so that the changes after a version are
// found without a scan of all replicas.
type changeLog struct {
	versions map[string]uint64
	entries  []changeEntry // sorted by version
}

type changeEntry struct {
	replica string
	version uint64
}

// maxStaleEntries is how many outdated entries the log may hold beyond one per replica.
const maxStaleEntries = 256

func newChangeLog() *changeLog { return &changeLog{versions: map[string]uint64{}} }

// mark records that a replica changed in a version, which must not be lower than earlier ones.
func (c *changeLog) mark(replica string, version uint64) {
	c.versions[replica] = version
	c.entries = append(c.entries, changeEntry{replica, version})
	if len(c.entries) > 2*len(c.versions)+maxStaleEntries {
		c.entries = slices.DeleteFunc(c.entries, func(entry changeEntry) bool { return c.versions[entry.replica] != entry.version })
	}
}

// has reports whether a replica was ever marked.
func (c *changeLog) has(replica string) bool { return c.versions[replica] > 0 }

// after lists each replica that last changed after a version once.
func (c *changeLog) after(version uint64) []string {
	var changed []string
	for index := len(c.entries) - 1; index >= 0 && c.entries[index].version > version; index-- {
		entry := c.entries[index]
		// A replica may be marked twice in one version; list it once.
		if c.versions[entry.replica] == entry.version && !slices.Contains(changed[max(0, len(changed)-1):], entry.replica) {
			changed = append(changed, entry.replica)
		}
	}
	return changed
}
