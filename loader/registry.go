package loader

import (
	"sync"

	"github.com/finchspoke/finchspoke/routing"
)

// registryChanges collects the replicas that changed in the registry since the last round, so that the cost
// of a round depends on the changes and not on the number of replicas.
type registryChanges struct {
	mutex      sync.Mutex
	changed    map[string]struct{}
	allChanged bool           // every replica may have changed
	table      *routing.Table // routing table of the last round
}

// add records that a replica changed.
func (r *registryChanges) add(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.changed == nil {
		r.changed = map[string]struct{}{}
	}
	r.changed[id] = struct{}{}
}

// markAll records that every replica may have changed.
func (r *registryChanges) markAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.allChanged = true
}

// takeChanged returns and clears the changed replicas. It reports all as changed if the routing table is new,
// since the table may declare other services.
func (r *registryChanges) takeChanged(table *routing.Table) (changed map[string]struct{}, all bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed, all = r.changed, r.allChanged || r.table != table
	r.changed, r.allChanged, r.table = nil, false, table
	return changed, all
}

// RegistryChanged records that a replica changed in the registry. An empty ID means that any of them may have.
func (l *Leader) RegistryChanged(replica string) {
	if replica == "" {
		l.changedReplicas.markAll()
	} else {
		l.changedReplicas.add(replica)
	}
	l.Wake()
}
