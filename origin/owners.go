package origin

import (
	"slices"

	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/rendezvous"
)

const (
	// ownersByAttempt is how many other daemons are told an origin since they own its attempt.
	ownersByAttempt = 3
	// ownersByRequest is how many are told it since they own its request, for callers that do not name the
	// attempt.
	ownersByRequest = 2
	// ownersOfOneVersion is how many are told it while one version of the service is known: the first that owns the attempt
	// and the first other one that owns the request.
	ownersOfOneVersion = 2
)

// keeperList is an immutable list of keepers.
type keeperList struct {
	byID map[string]Keeper
	ids  []string
}

func newKeeperList(keepers []Keeper) keeperList {
	list := keeperList{byID: map[string]Keeper{}}
	for _, keeper := range keepers {
		if _, listed := list.byID[keeper.Daemon]; !listed {
			list.ids = append(list.ids, keeper.Daemon)
		}
		list.byID[keeper.Daemon] = keeper
	}
	return list
}

// owners returns the keepers that are told an origin by a daemon, without that daemon. While one version of the service
// is known they are fewer: the origin only matters if a further version appears after the daemon has ended.
func (l keeperList) owners(origin Origin, daemon string, severalVersions bool) []string {
	byAttempt := ranked(l.ids, origin.Attempt, ownersByAttempt, daemon)
	byRequest := ranked(l.ids, requestHashKey(origin.Fingerprint), ownersByRequest, daemon)
	if severalVersions {
		return appendMissing(byAttempt, byRequest)
	}
	owners := appendMissing(slices.Clone(byAttempt[:min(1, len(byAttempt))]), byRequest)
	return owners[:min(ownersOfOneVersion, len(owners))]
}

// maxKeepersAsked is the number of keepers up to which all are asked for an origin. Each also tells which software
// versions it knows, of which a daemon that has just started knows little.
const maxKeepersAsked = 16

// candidates returns the keepers that may have been told the origin of a stream by any daemon, without the one
// that asks; all of them if they are few. The daemon that served the stream may be one of the first in the rank and told those behind it, so
// one more counts.
func (l keeperList) candidates(query Query, daemon string) []string {
	byRequest := ranked(l.ids, requestHashKey(query.Fingerprint), ownersByRequest+1, "")
	var candidates []string
	if query.Attempt != "" {
		candidates = ranked(l.ids, query.Attempt, ownersByAttempt+1, "")
	}
	candidates = appendMissing(candidates, byRequest)
	if len(l.ids) <= maxKeepersAsked {
		candidates = appendMissing(candidates, l.ids)
	}
	return slices.DeleteFunc(candidates, func(id string) bool { return id == daemon })
}

// requestHashKey returns the key by which a request is assigned to keepers.
func requestHashKey(fingerprint quarantine.Fingerprint) string { return string(fingerprint[:]) }

// ranked returns the first count keepers in the key's rank, without one daemon.
func ranked(ids []string, key string, count int, without string) []string {
	first := rendezvous.Ranked(key, ids)
	first = slices.DeleteFunc(first, func(id string) bool { return id == without })
	return first[:min(count, len(first))]
}

// appendMissing appends the ids that are not in the list yet.
func appendMissing(list, ids []string) []string {
	for _, id := range ids {
		if !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}
