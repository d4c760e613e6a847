package fleet

// serviceIndex leads from a model to the replicas of a service that have to do with it, so that
// a look for one costs what the model's replicas are, not what all replicas are: 7 us where 17 of
// 10,000 hold it, in place of 801 (BenchmarkChoose).
type serviceIndex struct {
	members map[string]*Replica
	takers  int // members that do not drain
	// holders are the replicas that hold a model by the registry's word or by that of the holder of
	// load orders; which of the two counts depends on the time of a look.
	holders map[string]map[string]*Replica
	loaders map[string]map[string]*Replica // replicas on which the model, or an adapter of it, is being loaded
	keepers map[string]map[string]*Replica // replicas that keep a copy of the weights
}

// noReplicas is the index of a service that has no replica.
var noReplicas = &serviceIndex{}

// index returns the index of a service; the mutex is held.
func (d *Directory) index(service string) *serviceIndex {
	if known := d.services[service]; known != nil {
		return known
	}
	return noReplicas
}

// holding returns the replicas that may hold a model; without one, all of the service.
func (s *serviceIndex) holding(model string) map[string]*Replica {
	if model == "" {
		return s.members
	}
	return s.holders[model]
}

// leastMiss is why a request finds no replica when none that may hold its model is left.
func (s *serviceIndex) leastMiss(target Target) Miss {
	if s.takers > 0 && target.Model != "" {
		return NotLoaded
	}
	return NoReplica
}

func (s *serviceIndex) add(one *Replica) {
	s.members[one.ID] = one
	if !one.Draining {
		s.takers++
	}
	one.eachModel(func(where modelPlace, model string) { put(s.sets(where), model, one) })
}

func (s *serviceIndex) drop(one *Replica) {
	delete(s.members, one.ID)
	if !one.Draining {
		s.takers--
	}
	one.eachModel(func(where modelPlace, model string) { take(s.sets(where), model, one.ID) })
}

// modelPlace is what a model has to do with a replica.
type modelPlace uint8

const (
	held modelPlace = iota
	coming
	kept
)

func (s *serviceIndex) sets(where modelPlace) map[string]map[string]*Replica {
	return [...]map[string]map[string]*Replica{held: s.holders, coming: s.loaders, kept: s.keepers}[where]
}

// eachModel calls visit for each model that has to do with the replica; it may do so twice.
func (r *Replica) eachModel(visit func(where modelPlace, model string)) {
	for model := range r.Holdings {
		visit(held, model)
	}
	if r.confirmed != nil {
		for model := range r.confirmed.Holdings {
			visit(held, model)
		}
		for target := range r.confirmed.Loading {
			visit(coming, target.Model)
		}
	}
	inMemory, onDisk := r.kept()
	for _, model := range inMemory {
		visit(kept, model)
	}
	for _, model := range onDisk {
		visit(kept, model)
	}
}

func put(sets map[string]map[string]*Replica, model string, one *Replica) {
	if sets[model] == nil {
		sets[model] = map[string]*Replica{}
	}
	sets[model][one.ID] = one
}

func take(sets map[string]map[string]*Replica, model, id string) {
	delete(sets[model], id)
	if len(sets[model]) == 0 {
		delete(sets, model)
	}
}

// change applies a change to a replica, which it adds if it is new, and keeps the index; the mutex
// is held.
func (d *Directory) change(id string, apply func(*Replica)) {
	known := d.members[id]
	before := targetSet{}
	isNew := known == nil
	if isNew {
		known = &Replica{}
	} else {
		d.signal(known)
		before = d.targetsOf(known)
		d.unindex(known)
	}
	apply(known)
	d.members[id] = known
	if d.services[known.Service] == nil {
		d.services[known.Service] = &serviceIndex{members: map[string]*Replica{}, holders: map[string]map[string]*Replica{},
			loaders: map[string]map[string]*Replica{}, keepers: map[string]map[string]*Replica{}}
	}
	d.services[known.Service].add(known)
	d.signal(known)
	d.observe(Change{ID: id, Service: known.Service, Gained: d.targetsOf(known).without(before)})
}

// unindex takes a replica out of the index of its service; the mutex is held.
func (d *Directory) unindex(known *Replica) {
	service := d.services[known.Service]
	service.drop(known)
	if len(service.members) == 0 {
		delete(d.services, known.Service)
	}
}

// remove forgets a replica; the mutex is held.
func (d *Directory) remove(id string) {
	known := d.members[id]
	if known == nil {
		return
	}
	d.unindex(known)
	delete(d.members, id)
	d.signal(known)
	d.observe(Change{ID: id, Service: known.Service, Removed: true})
}

// signalKey names what requests wait for: a change of the replicas that have to do with a model, or
// of any replica of a service without models.
type signalKey struct{ service, model string }

// Changed returns a channel that is closed at the next change of a replica that may serve a target.
func (d *Directory) Changed(service string, target Target) <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed(signalKey{service, target.Model})
}

// changed is Changed; the mutex is held.
func (d *Directory) changed(key signalKey) <-chan struct{} {
	if d.signals[key] == nil {
		d.signals[key] = make(chan struct{})
	}
	return d.signals[key]
}

// signal wakes those that wait for a change of a replica; the mutex is held.
func (d *Directory) signal(one *Replica) {
	if len(d.signals) == 0 {
		return
	}
	d.wake(signalKey{one.Service, ""})
	one.eachModel(func(_ modelPlace, model string) { d.wake(signalKey{one.Service, model}) })
}

// wake wakes those that wait for one key; the mutex is held.
func (d *Directory) wake(key signalKey) {
	if waiting := d.signals[key]; waiting != nil {
		close(waiting)
		delete(d.signals, key)
	}
}
