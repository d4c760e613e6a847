package quarantine

import (
	"slices"
	"time"
)

const (
	// abandonWindow is the time after a request was abandoned at a replica within which a crash of
	// that replica counts against the request.
	abandonWindow = time.Second
	// abandonCheckDelay is the time from abandoning a request to probing its replica. It leaves
	// a probe enough time to finish within abandonWindow.
	abandonCheckDelay = abandonWindow - probeTimeout
	// maxAbandoned bounds the memory for abandoned requests, over all replicas.
	maxAbandoned = 2048
)

// abandonedRequests holds, by replica incarnation, the requests whose dispatch was abandoned while
// the replica had them. It keeps them until the replica has been probed.
type abandonedRequests map[string][]abandonedRequest

type abandonedRequest struct {
	suspect Suspect
	at      time.Time
}

// add records an abandoned request, unless maxAbandoned are recorded already. first reports whether
// it is the only one recorded for its replica.
func (a abandonedRequests) add(replica string, suspect Suspect, now time.Time) (first bool) {
	count := 0
	for _, entries := range a {
		count += len(entries)
	}
	if count >= maxAbandoned {
		return false
	}
	a[replica] = append(a[replica], abandonedRequest{suspect, now})
	return len(a[replica]) == 1
}

// takeRecent removes all requests of a replica and returns those abandoned within abandonWindow before now.
func (a abandonedRequests) takeRecent(replica string, now time.Time) []Suspect {
	var requests []Suspect
	for _, entry := range a[replica] {
		if now.Sub(entry.at) <= abandonWindow {
			requests = append(requests, entry.suspect)
		}
	}
	delete(a, replica)
	return requests
}

// prune removes the requests that a probe started at checkedAt covers, and reports whether the
// replica has any left.
func (a abandonedRequests) prune(replica string, probedAt time.Time) bool {
	recent := slices.DeleteFunc(a[replica], func(entry abandonedRequest) bool { return probedAt.Sub(entry.at) >= abandonCheckDelay })
	if len(recent) == 0 {
		delete(a, replica)
		return false
	}
	a[replica] = recent
	return true
}
