package loading

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/fleet"
)

// copesShare is the share of a replica's limit up to which requests for its models may come before
// further copies are loaded: arrivals are averaged over some seconds, and orders take turns as well.
const copesShare = 0.8

// noteSpared works out which models replicas with a limit can't serve all requests for. A replica that takes
// one request a second is worth one a second, however many places it has. What is left of the limit is for
// the models that are asked for least, so that few need a further copy. The others' copies count for
// nothing, until the limit is lifted or others serve them.
func (p *planner) noteSpared(byName map[string]*modelNeed) {
	p.spared, p.anyLimited = nil, slices.ContainsFunc(p.Replicas, func(one *Replica) bool {
		return one.Service == p.service && one.PerSecond > 0
	})
	if !p.anyLimited {
		return // nearly always
	}
	p.spared = map[*Replica]map[string]bool{}
	elsewhere := p.heldWithoutLimit()
	for _, replica := range p.Replicas {
		if replica.Service == p.service && replica.PerSecond > 0 {
			p.spared[replica] = beyond(copesShare*replica.PerSecond, p.wantedOf(replica, byName, elsewhere))
		}
	}
}

// wantedModel is how often a model is asked for that only replicas with a limit hold, or adapters of it.
type wantedModel struct {
	name      string
	perSecond float64
}

// beyond returns the models that don't fit into a rate, of which those that are asked for least come first.
func beyond(perSecond float64, models []wantedModel) map[string]bool {
	slices.SortFunc(models, func(a, b wantedModel) int {
		return cmp.Or(cmp.Compare(a.perSecond, b.perSecond), cmp.Compare(a.name, b.name))
	})
	left, spared := perSecond, map[string]bool{}
	for _, one := range models {
		left -= one.perSecond
		spared[one.name] = left < 0
	}
	return spared
}

// wantedOf returns how often the models on a replica are asked for that only it and others with a limit
// hold.
func (p *planner) wantedOf(replica *Replica, byName map[string]*modelNeed, elsewhere map[fleet.Target]bool) (models []wantedModel) {
	for name, adapters := range replica.Holdings {
		need := byName[name]
		if need == nil {
			continue
		}
		wanted := wantedModel{name: name}
		if !elsewhere[fleet.Target{Model: name}] {
			wanted.perSecond = need.perSecond
			models = append(models, wanted)
			continue
		}
		for _, adapter := range adapters {
			if target := (fleet.Target{Model: name, Adapter: adapter}); !elsewhere[target] {
				wanted.perSecond += p.askedFor(target).PerSecond
			}
		}
		models = append(models, wanted)
	}
	return models
}

// heldWithoutLimit returns the targets that a replica without a limit holds, and takes requests for.
func (p *planner) heldWithoutLimit() map[fleet.Target]bool {
	held := map[fleet.Target]bool{}
	for _, replica := range p.Replicas {
		if replica.Service != p.service || replica.Draining || replica.PerSecond > 0 {
			continue
		}
		for model, adapters := range replica.Holdings {
			if unloading(replica, model) {
				continue
			}
			held[fleet.Target{Model: model}] = true
			for _, adapter := range adapters {
				held[fleet.Target{Model: model, Adapter: adapter}] = true
			}
		}
	}
	return held
}

// counts tells whether a model on a replica, with its adapters, serves those who ask for it.
func (p *planner) counts(replica *Replica, model string) bool {
	return replica.Service == p.service && !replica.Draining && !p.spared[replica][model]
}
