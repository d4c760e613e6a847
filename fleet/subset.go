package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/rendezvous"
)

const (
	// maxLoading, maxWithoutAdapter and maxCached bound the replicas whose records a daemon receives for a
	// target that no replica serves: those that load it, have the model without the adapter, or have
	// cached weights. From these the daemon estimates how long its requests must wait.
	maxLoading        = 4
	maxWithoutAdapter = 2
	maxCached         = 2
	// A daemon receives replicasPerVersion replicas of each software version, so that it can continue a stream that
	// a rare version began. At most maxRareVersions are added to the replicas of the subset, the first ones by name.
	replicasPerVersion = 2
	maxRareVersions    = 4
	// MaxRareReplicas bounds the replicas that Subset adds to the limit because their versions are rare.
	MaxRareReplicas = maxRareVersions * replicasPerVersion
	// saturationThreshold is the share of used slots above which other replicas are preferred.
	saturationThreshold = 0.5
)

// Subset returns the replicas whose records a daemon in a zone receives for a target, and how many of
// them serve it, up to limit. All daemons of a zone receive the same ones for a model, so that prompts
// with a common prefix reach the same replica. Without models each daemon receives different ones. Up to
// MaxRareReplicas that serve it are added, of software versions with too few among the others.
func (d *Directory) Subset(service string, target Target, daemon, zone string, limit int, now time.Time) (ids []string, serving int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	index := d.index(service)
	ranker := subsetRanker{zone: zone, key: zone, directory: d, now: now}
	if target.Model == "" {
		ranker.key = daemon
	}
	candidates := index.withModel(target.Model)
	serves := func(replica *Replica) bool { return replica.hasLoaded(target, now) }
	ranking := ranker.rank(candidates, serves)
	serving = min(limit, len(ranking))
	ids = idsOf(ranking[:serving])
	if serving >= limit {
		if len(index.acceptingByVersion) > 1 {
			ids = append(ids, rareReplicas(ranking[:serving], ranking[serving:])...)
		}
		return ids, serving
	}
	isBeingLoaded := func(replica *Replica) bool { return replica.isLoading(target) }
	ids = append(ids, ranker.topRanked(index.loadingReplicas[target.Model], isBeingLoaded, maxLoading)...)
	if serving > 0 || target.Model == "" {
		return ids, serving
	}
	others := ranker.topRanked(candidates, func(replica *Replica) bool { return replica.hasLoaded(Target{Model: target.Model}, now) }, maxWithoutAdapter)
	if len(others) == 0 {
		others = ranker.topRanked(index.cachedReplicas[target.Model], func(*Replica) bool { return true }, maxCached)
	}
	if len(others) == 0 {
		others = index.anyAccepting()
	}
	for _, id := range others {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids, serving
}

// anyAccepting returns one replica that accepts requests, if any. Without one a daemon would conclude
// that the service has no replicas.
func (s *serviceIndex) anyAccepting() []string {
	for id, replica := range s.replicas {
		if !replica.Draining {
			return []string{id}
		}
	}
	return nil
}

// isLoading reports whether the target, or its model, is being loaded on the replica.
func (r *Replica) isLoading(target Target) bool {
	if r.leaderRecord == nil {
		return false
	}
	_, targetLoading := r.leaderRecord.Loading[target]
	_, modelLoading := r.leaderRecord.Loading[Target{Model: target.Model}]
	return targetLoading || modelLoading
}

// Serves reports whether a replica serves a target.
func (d *Directory) Serves(id string, target Target, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica := d.replicas[id]
	return replica != nil && !replica.Draining && replica.hasLoaded(target, now)
}

// subsetRanker ranks replicas for the daemons of a zone.
type subsetRanker struct {
	zone      string
	key       string // rendezvous key that orders replicas of equal penalty
	directory *Directory
	now       time.Time
}

type ranked struct {
	id      string
	version string
	penalty int
	score   uint64
}

// Ranking penalties: saturated replicas rank after all others, and among equals those of another zone
// rank last. Only the order of the values matters.
const (
	penaltySaturated = 2
	penaltyOtherZone = 1
)

// topRanked returns the ids of up to limit matching replicas, best first.
func (s subsetRanker) topRanked(from map[string]*Replica, matches func(*Replica) bool, limit int) []string {
	ranking := s.rank(from, matches)
	return idsOf(ranking[:min(limit, len(ranking))])
}

// rank returns the matching replicas that accept requests, best first.
func (s subsetRanker) rank(from map[string]*Replica, matches func(*Replica) bool) []ranked {
	var ranking []ranked
	for id, replica := range from {
		if replica.Draining || !matches(replica) {
			continue
		}
		ranking = append(ranking, ranked{id: id, version: replica.Version, penalty: s.penalty(replica), score: rendezvous.Score(s.key, id)})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(b.score, a.score))
	})
	return ranking
}

func idsOf(ranking []ranked) []string {
	ids := make([]string, 0, len(ranking))
	for _, replica := range ranking {
		ids = append(ids, replica.id)
	}
	return ids
}

// rareReplicas returns the best of the other replicas that bring the software versions to replicasPerVersion.
func rareReplicas(selected, others []ranked) (ids []string) {
	counts := map[string]int{}
	for _, replica := range selected {
		counts[replica.version]++
	}
	added := map[string][]string{}
	for _, replica := range others {
		if counts[replica.version] < replicasPerVersion {
			counts[replica.version]++
			added[replica.version] = append(added[replica.version], replica.id)
		}
	}
	versions := slices.Sorted(maps.Keys(added))
	for _, version := range versions[:min(maxRareVersions, len(versions))] {
		ids = append(ids, added[version]...)
	}
	return ids
}

// CommonVersions returns the software versions with enough replicas among those of a subset.
func (d *Directory) CommonVersions(ids []string) (versions []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	counts := map[string]int{}
	for _, id := range ids {
		replica := d.replicas[id]
		if replica == nil {
			continue
		}
		if counts[replica.Version]++; counts[replica.Version] == replicasPerVersion {
			versions = append(versions, replica.Version)
		}
	}
	return versions
}

func (s subsetRanker) penalty(replica *Replica) int {
	penalty := 0
	if s.isSaturated(replica) {
		penalty += penaltySaturated
	}
	if replica.Zone != s.zone {
		penalty += penaltyOtherZone
	}
	return penalty
}

func (s subsetRanker) isSaturated(replica *Replica) bool {
	return float64(s.directory.load(replica, s.now)) > saturationThreshold*float64(replica.Slots)
}
