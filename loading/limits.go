package loading

import (
	"slices"

	"github.com/finchspoke/finchspoke/fleet"
)

// copesShare is the share of a replica's limit up to which requests for its models may come before
// further copies are loaded: arrivals are averaged over some seconds, and orders take turns as well.
const copesShare = 0.8

// noteSpared works out which replicas with a limit can't serve what is asked of the models on them. Their
// copies count for nothing: a replica that takes one request a second is worth one a second, however many
// places it has. They count again once the limit is lifted, or others serve the models.
func (p *planner) noteSpared(byName map[string]*modelNeed) {
	p.spared, p.anyLimited = nil, slices.ContainsFunc(p.Replicas, func(one *Replica) bool {
		return one.Service == p.service && one.PerSecond > 0
	})
	if !p.anyLimited {
		return // nearly always
	}
	p.spared = map[*Replica]bool{}
	elsewhere := p.heldWithoutLimit()
	for _, replica := range p.Replicas {
		if replica.Service != p.service || replica.PerSecond == 0 {
			continue
		}
		wanted := p.wantedOf(replica, byName, elsewhere)
		p.spared[replica] = wanted > copesShare*replica.PerSecond
	}
}

// wantedOf returns the requests a second for what only this replica and others with a limit hold.
func (p *planner) wantedOf(replica *Replica, byName map[string]*modelNeed, elsewhere map[fleet.Target]bool) (perSecond float64) {
	for model, adapters := range replica.Holdings {
		need := byName[model]
		if need == nil {
			continue
		}
		if !elsewhere[fleet.Target{Model: model}] {
			perSecond += need.perSecond
			continue
		}
		for _, adapter := range adapters {
			if target := (fleet.Target{Model: model, Adapter: adapter}); !elsewhere[target] {
				perSecond += p.askedFor(target).PerSecond
			}
		}
	}
	return perSecond
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

// counts tells whether what is loaded on a replica serves those who ask for it.
func (p *planner) counts(replica *Replica) bool {
	return replica.Service == p.service && !replica.Draining && !p.spared[replica]
}
