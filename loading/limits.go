package loading

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/fleet"
)

// usableLimitShare is the share of a replica's request limit that the demand for its models may use before
// further copies are loaded. The remainder covers load orders and bursts within the averaging time.
const usableLimitShare = 0.8

// excludeOverLimit finds the copies that cannot be served within their replica's request limit. The least
// requested models use the limit first, so that few models need a further copy; copies of the other models on
// the replica are not counted.
func (p *planner) excludeOverLimit(byName map[string]*modelNeed) {
	p.overLimit, p.anyLimited = nil, slices.ContainsFunc(p.Replicas, func(r *Replica) bool {
		return r.Service == p.service && r.PerSecond > 0
	})
	if !p.anyLimited {
		return // most replicas have no request limit
	}
	p.overLimit = map[*Replica]map[string]bool{}
	unlimited := p.targetsWithoutLimit()
	for _, replica := range p.Replicas {
		if replica.Service == p.service && replica.PerSecond > 0 {
			p.overLimit[replica] = modelsOverLimit(usableLimitShare*replica.PerSecond, p.limitedDemandOn(replica, byName, unlimited))
		}
	}
}

// limitedDemand is the demand for a model, or for adapters of it, that only replicas with a request limit can
// serve.
type limitedDemand struct {
	name      string
	perSecond float64
}

// modelsOverLimit reports for each model whether it exceeds a rate that the least requested models use first.
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

// limitedDemandOn returns the demand for a replica's models that only replicas with a request limit can
// serve.
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

// targetsWithoutLimit returns the targets that are loaded on a replica without a request limit.
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

// isServing reports whether a replica can serve the requests for a model that it holds, and for its adapters.
func (p *planner) isServing(replica *Replica, model string) bool {
	return replica.Service == p.service && !replica.Draining && !p.overLimit[replica][model]
}
