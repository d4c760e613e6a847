package logstory

import (
	"maps"
	"slices"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logging"
)

// tenantCounter counts the requests of one tenant.
type tenantCounter struct {
	TenantLosses
	causes map[string]int
	// requests holds what is known of each request over its attempts, by fingerprint.
	requests map[string]requestHistory
}

// requestHistory is what became of a request's earlier attempts.
type requestHistory struct {
	refused, served, cameBack, servedThen bool
}

// tenantLosses counts the requests of each tenant, sorted by name. Requests are in the order in which they
// ended.
func tenantLosses(requests []endedRequest) []TenantLosses {
	byTenant := map[string]*tenantCounter{}
	for _, request := range requests {
		if request.tenant == "" {
			continue
		}
		counter := byTenant[request.tenant]
		if counter == nil {
			counter = &tenantCounter{TenantLosses: TenantLosses{Name: request.tenant}, causes: map[string]int{}, requests: map[string]requestHistory{}}
			byTenant[request.tenant] = counter
		}
		counter.add(request)
	}
	var losses []TenantLosses
	for _, name := range slices.Sorted(maps.Keys(byTenant)) {
		losses = append(losses, byTenant[name].losses())
	}
	return losses
}

// add counts the end of one attempt.
func (c *tenantCounter) add(request endedRequest) {
	c.Ended++
	answered, refused := request.outcome == logging.OutcomeAnswered, request.outcome == string(failure.LimitExceeded)
	switch {
	case answered:
		c.Answered++
	case refused:
		c.RateLimited++
	default:
		c.causes[request.outcome]++
	}
	if request.fingerprint == "" {
		return
	}
	history := c.requests[request.fingerprint]
	if history.refused {
		history.cameBack = true
		history.servedThen = history.servedThen || answered
	}
	history.refused = history.refused || refused
	history.served = history.served || answered
	c.requests[request.fingerprint] = history
}

// losses returns the counts.
func (c *tenantCounter) losses() TenantLosses {
	c.Causes = sortedCauses(c.causes)
	c.Asked = len(c.requests)
	for _, history := range c.requests {
		if history.served {
			c.Served++
		}
		if history.cameBack {
			c.CameBack++
		}
		if history.servedThen {
			c.ServedThen++
		}
	}
	return c.TenantLosses
}
