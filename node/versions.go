package node

import (
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/routing"
)

// maxRecordAge is the age up to which records of replicas count as current.
const maxRecordAge = 2 * time.Second

// versionView returns what this daemon knows of the software versions of a service's replicas.
func (n *Node) versionView(service string) origin.VersionView {
	watched, complete := n.replicas.completeFor()
	var recorded []string
	if n.versionRecord != nil {
		recorded = n.versionRecord.VersionsOf(service)
	}
	view := origin.VersionView{
		Versions: mergeVersions(n.fleet.Versions(service, origin.Horizon, time.Now()), recorded),
		// No stream is older than a system that starts for the first time.
		Covered: complete && (n.config.FirstStart || watched >= origin.Horizon || len(recorded) > 0),
		Current: n.recordsCurrent(), Partial: !complete,
	}
	if !view.Covered {
		view.OldestBorn = n.fleet.OldestBorn(service)
	}
	return view
}

// mergeVersions returns the versions of both sorted lists, sorted.
func mergeVersions(known, recorded []string) []string {
	all := append(known, recorded...)
	slices.Sort(all)
	return slices.Compact(all)
}

// versionsByService returns the software versions that this daemon knows to serve or to have served within
// origin.Horizon, by service.
func (n *Node) versionsByService() map[string][]string {
	versions := map[string][]string{}
	if table := n.routes.Current(); table != nil {
		table.Services(func(service *routing.Service) {
			versions[service.Name] = n.fleet.Versions(service.Name, origin.Horizon, time.Now())
		})
	}
	return versions
}

// recordsCurrent reports whether this daemon learns of changes of replicas soon.
func (n *Node) recordsCurrent() bool {
	if n.fleet.Limited() {
		return n.replicas.client.Connected()
	}
	return n.storeAnswers()
}

// storeAnswers reports whether the key-value service has answered this daemon, or the one that forwards its records, lately.
func (n *Node) storeAnswers() bool {
	age, known := n.mirror.ContactAge()
	return known && age <= maxRecordAge
}
