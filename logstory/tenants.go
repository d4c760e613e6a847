package logstory

import (
	"maps"
	"slices"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logging"
)

// tenantLosses counts the requests of each tenant.
func tenantLosses(requests []endedRequest) []TenantLosses {
	counted := map[string]*TenantLosses{}
	causes := map[string]map[string]int{}
	for _, request := range requests {
		if request.tenant == "" {
			continue
		}
		one := counted[request.tenant]
		if one == nil {
			one = &TenantLosses{Name: request.tenant}
			counted[request.tenant], causes[request.tenant] = one, map[string]int{}
		}
		one.Ended++
		switch request.outcome {
		case logging.OutcomeAnswered:
			one.Answered++
		case string(failure.LimitExceeded):
			one.RateLimited++
		default:
			causes[request.tenant][request.outcome]++
		}
	}
	var made []TenantLosses
	for _, name := range slices.Sorted(maps.Keys(counted)) {
		counted[name].Causes = sortedCauses(causes[name])
		made = append(made, *counted[name])
	}
	return made
}
