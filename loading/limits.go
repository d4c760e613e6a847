package loading

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/fleet"
)

// usableLimitShare is the share of a replica's limit up to which requests for its models may come before
// further copies are loaded: arrivals are averaged over some seconds, and orders take turns as well.
const usableLimitShare = 0.8

// excludeOverLimit works out which models replicas with a limit can't serve all requests for. A replica that takes
// one request a second is worth one a second, however many places it has. What is left of the limit is for
// the models that are asked for least, so that few need a further copy. The others' copies count for
// nothing, until the limit is lifted or others serve them.
func (p *planner) excludeOverLimit(byName map[string]*modelNeed) {
	p.overLimit, p.anyLimited = nil, slices.ContainsFunc(p.Replicas, func(one *Replica) bool {
		return one.Service == p.service && one.PerSecond > 0
	})
	if !p.anyLimited {
		return // nearly always
	}
	p.overLimit = map[*Replica]map[string]bool{}
	unlimited := p.targetsWithoutLimit()
	for _, replica := range p.Replicas {
		if replica.Service == p.service && replica.PerSecond > 0 {
			p.overLimit[replica] = modelsOverLimit(usableLimitShare*replica.PerSecond, p.limitedDemandOn(replica, byName, unlimited))
		}
	}
}

// limitedDemand is how often a model is asked for that only replicas with a limit hold, or adapters of it.
type limitedDemand struct {
	name      string
	perSecond float64
}

// beyond returns the models that don't fit into a rate, of which those that are asked for least come first.
func modelsOverLimit(perSecond float64, models []limitedDemand) map[string]bool {
	slices.SortFunc(models, func(a, b limitedDemand) int {
		return cmp.Or(cmp.Compare(a.perSecond, b.perSecond), cmp.Compare(a.name, b.name))
	})
	remaining, overLimit := perSecond, map[string]bool{}
	for _, model := range models {
		remaining -= model.perSecond
		overLimit[model.name] = remaining < 0
	}
	return overLimit
}

// limitedDemandOn returns how often the models on a replica are asked for that only it and others with a limit
// hold.
func (p *planner) limitedDemandOn(replica *Replica, byName map[string]*modelNeed, unlimited map[fleet.Target]bool) (models []limitedDemand) {
	for name, adapters := range replica.Holdings {
		need := byName[name]
		if need == nil {
			continue
		}
		entry := limitedDemand{name: name}
		if !unlimited[fleet.Target{Model: name}] {
			entry.perSecond = need.perSecond
			models = append(models, entry)
			continue
		}
		for _, adapter := range adapters {
			if target := (fleet.Target{Model: name, Adapter: adapter}); !unlimited[target] {
				entry.perSecond += p.demandFor(target).PerSecond
			}
		}
		models = append(models, entry)
	}
	return models
}

// targetsWithoutLimit returns the targets that a replica without a limit holds, and takes requests for.
func (p *planner) targetsWithoutLimit() map[fleet.Target]bool {
	held := map[fleet.Target]bool{}
	for _, replica := range p.Replicas {
		if replica.Service != p.service || replica.Draining || replica.PerSecond > 0 {
			continue
		}
		for model, adapters := range replica.Holdings {
			if isUnloading(replica, model) {
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
func (p *planner) isServing(replica *Replica, model string) bool {
	return replica.Service == p.service && !replica.Draining && !p.overLimit[replica][model]
}
