package fleet

// serviceIndex maps each model to the replicas of a service that have it loaded, loading or cached, so
// that a lookup visits only these and not all replicas.
type serviceIndex struct {
	replicas  map[string]*Replica
	accepting int // replicas that are not draining
	// acceptingByVersion counts the same replicas, and countByVersion all, by the version of their software.
	acceptingByVersion, countByVersion map[string]int
	// loadedReplicas lists, by model, the replicas that have it loaded according to the registry or to
	// the leader; which of the two is valid depends on the time of the lookup.
	loadedReplicas  map[string]map[string]*Replica
	loadingReplicas map[string]map[string]*Replica // by model: replicas loading it or an adapter of it
	cachedReplicas  map[string]map[string]*Replica // by model: replicas that have its weights cached
}

// noReplicas is the index of a service without replicas.
var noReplicas = &serviceIndex{}

// index returns the index of a service; the caller holds the mutex.
func (d *Directory) index(service string) *serviceIndex {
	if existing := d.services[service]; existing != nil {
		return existing
	}
	return noReplicas
}

// withModel returns the replicas that may have a model loaded; for the empty model, all replicas.
func (s *serviceIndex) withModel(model string) map[string]*Replica {
	if model == "" {
		return s.replicas
	}
	return s.loadedReplicas[model]
}

// initialMiss returns the reason for a miss if no replica has the model loaded.
func (s *serviceIndex) initialMiss(target Target) Miss {
	if s.accepting > 0 && target.Model != "" {
		return NotLoaded
	}
	return NoReplica
}

func (s *serviceIndex) add(replica *Replica) {
	s.replicas[replica.ID] = replica
	s.countReplica(replica, 1)
	replica.eachModel(func(state modelState, model string) { addReplica(s.byState(state), model, replica) })
}

// countReplica adds a number to the counts that a replica belongs to.
func (s *serviceIndex) countReplica(replica *Replica, number int) {
	addToCount(s.countByVersion, replica.Version, number)
	if !replica.Draining {
		s.accepting += number
		addToCount(s.acceptingByVersion, replica.Version, number)
	}
}

// addToCount adds a number to a count, and drops the count at zero.
func addToCount(counts map[string]int, key string, number int) {
	if counts[key] += number; counts[key] == 0 {
		delete(counts, key)
	}
}

func (s *serviceIndex) remove(replica *Replica) {
	delete(s.replicas, replica.ID)
	s.countReplica(replica, -1)
	replica.eachModel(func(state modelState, model string) { removeReplica(s.byState(state), model, replica.ID) })
}

// modelState is the state of a model on a replica.
type modelState uint8

const (
	loaded modelState = iota
	loading
	cached
)

func (s *serviceIndex) byState(state modelState) map[string]map[string]*Replica {
	return [...]map[string]map[string]*Replica{loaded: s.loadedReplicas, loading: s.loadingReplicas, cached: s.cachedReplicas}[state]
}

// eachModel calls visit for each model that is loaded, loading or cached on the replica. A model may
// be visited more than once.
func (r *Replica) eachModel(visit func(state modelState, model string)) {
	for model := range r.Holdings {
		visit(loaded, model)
	}
	if r.leaderRecord != nil {
		for model := range r.leaderRecord.Holdings {
			visit(loaded, model)
		}
		for target := range r.leaderRecord.Loading {
			visit(loading, target.Model)
		}
	}
	inMemory, onDisk := r.cached()
	for _, model := range inMemory {
		visit(cached, model)
	}
	for _, model := range onDisk {
		visit(cached, model)
	}
}

func addReplica(byModel map[string]map[string]*Replica, model string, replica *Replica) {
	if byModel[model] == nil {
		byModel[model] = map[string]*Replica{}
	}
	byModel[model][replica.ID] = replica
}

func removeReplica(byModel map[string]map[string]*Replica, model, id string) {
	delete(byModel[model], id)
	if len(byModel[model]) == 0 {
		delete(byModel, model)
	}
}

// change applies a change to a replica, adding the replica if needed, updates the index and notifies
// waiters and the observer; the caller holds the mutex.
func (d *Directory) change(id string, apply func(*Replica)) {
	replica := d.replicas[id]
	before := targetSet{}
	isNew := replica == nil
	if isNew {
		replica = &Replica{}
	} else {
		d.signal(replica)
		before = d.targetsOf(replica)
		d.unindex(replica)
	}
	version := replica.Version
	apply(replica)
	if replica.Version != version {
		before = targetSet{}
	}
	d.replicas[id] = replica
	if d.services[replica.Service] == nil {
		d.services[replica.Service] = &serviceIndex{replicas: map[string]*Replica{}, acceptingByVersion: map[string]int{}, countByVersion: map[string]int{}, loadedReplicas: map[string]map[string]*Replica{},
			loadingReplicas: map[string]map[string]*Replica{}, cachedReplicas: map[string]map[string]*Replica{}}
	}
	d.services[replica.Service].add(replica)
	d.signal(replica)
	d.notifyObserver(Change{ID: id, Service: replica.Service, Version: replica.Version, Gained: d.targetsOf(replica).without(before)})
}

// unindex removes a replica from its service's index; the caller holds the mutex.
func (d *Directory) unindex(replica *Replica) {
	d.versionHistory.record(replica.Service, replica.Version, d.clock())
	service := d.services[replica.Service]
	service.remove(replica)
	if len(service.replicas) == 0 {
		delete(d.services, replica.Service)
	}
}

// remove drops a replica; the caller holds the mutex.
func (d *Directory) remove(id string) {
	replica := d.replicas[id]
	if replica == nil {
		return
	}
	d.unindex(replica)
	delete(d.replicas, id)
	d.signal(replica)
	d.notifyObserver(Change{ID: id, Service: replica.Service, Removed: true})
}

// signalKey identifies what requests wait for: a change of a replica concerning a model, or of any
// replica of the service if the model is empty.
type signalKey struct{ service, model string }

// Changed returns a channel that is closed at the next change of a replica that may serve the target.
func (d *Directory) Changed(service string, target Target) <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed(signalKey{service, target.Model})
}

// changed implements Changed; the caller holds the mutex.
func (d *Directory) changed(key signalKey) <-chan struct{} {
	if d.signals[key] == nil {
		d.signals[key] = make(chan struct{})
	}
	return d.signals[key]
}

// signal wakes the requests that wait for a change of the replica; the caller holds the mutex.
func (d *Directory) signal(replica *Replica) {
	if len(d.signals) == 0 {
		return
	}
	d.wake(signalKey{replica.Service, ""})
	replica.eachModel(func(_ modelState, model string) { d.wake(signalKey{replica.Service, model}) })
}

// wake wakes the requests that wait for one key; the caller holds the mutex.
func (d *Directory) wake(key signalKey) {
	if signal := d.signals[key]; signal != nil {
		close(signal)
		delete(d.signals, key)
	}
}
