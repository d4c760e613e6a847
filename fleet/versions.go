package fleet

import (
	"slices"
	"time"
)

// versionHistory holds when replicas of a software version were last known, by service and version. Versions of known
// replicas need not be listed.
type versionHistory map[string]map[string]time.Time

// versionMemory is how long a version without replicas is remembered.
const versionMemory = 10 * time.Minute

// record records that a replica of a version was known until now, and forgets old versions of the service.
func (h versionHistory) record(service, version string, now time.Time) {
	if h[service] == nil {
		h[service] = map[string]time.Time{}
	}
	for known, at := range h[service] {
		if now.Sub(at) > versionMemory {
			delete(h[service], known)
		}
	}
	h[service][version] = now
}

// Versions returns the software versions of a service's replicas that are known, or were within a time before now, sorted.
func (d *Directory) Versions(service string, within time.Duration, now time.Time) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var versions []string
	for version := range d.index(service).countByVersion {
		versions = append(versions, version)
	}
	for version, at := range d.versionHistory[service] {
		if now.Sub(at) <= within && d.index(service).countByVersion[version] == 0 {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// OldestBorn returns the earliest start of a service's known replicas; zero if none states its start. It visits all of
// them.
func (d *Directory) OldestBorn(service string) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var oldest int64
	for _, replica := range d.index(service).replicas {
		if replica.Born > 0 && (oldest == 0 || replica.Born < oldest) {
			oldest = replica.Born
		}
	}
	if oldest == 0 {
		return time.Time{}
	}
	return time.UnixMilli(oldest)
}
