package logstory

import (
	"maps"
	"slices"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logging"
)

// tenantLosses counts the requests of each tenant, sorted by name.
func tenantLosses(requests []endedRequest) []TenantLosses {
	byTenant := map[string]*TenantLosses{}
	causes := map[string]map[string]int{}
	for _, request := range requests {
		if request.tenant == "" {
			continue
		}
		entry := byTenant[request.tenant]
		if entry == nil {
			entry = &TenantLosses{Name: request.tenant}
			byTenant[request.tenant], causes[request.tenant] = entry, map[string]int{}
		}
		entry.Ended++
		switch request.outcome {
		case logging.OutcomeAnswered:
			entry.Answered++
		case string(failure.LimitExceeded):
			entry.RateLimited++
		default:
			causes[request.tenant][request.outcome]++
		}
	}
	var losses []TenantLosses
	for _, name := range slices.Sorted(maps.Keys(byTenant)) {
		byTenant[name].Causes = sortedCauses(causes[name])
		losses = append(losses, *byTenant[name])
	}
	return losses
}
