package logstory

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/logging"
)

const (
	// crowdedReplicas is on how many replicas the late answers are counted apart.
	crowdedReplicas = 20
	// crowdedModels is how many models are named.
	crowdedModels = 10
)

// Crowding tells on how few replicas and models the answers were late that a replica made
// late: those that began or paused too late without a wait for a load. Late answers on few of
// many replicas ask for more copies of the models named; late answers on all of them ask for
// more replicas.
type Crowding struct {
	Late     int           `json:"late"`
	Replicas int           `json:"replicas"`  // that answered
	OnFew    float64       `json:"on_few"`    // share of the late answers on the 20 replicas with the most
	ByModel  []CrowdedLoad `json:"by_model"`  // the ten with the most late answers
	FewCount int           `json:"few_count"` // the replicas that OnFew counts
}

// CrowdedLoad is one model's share of the late answers.
type CrowdedLoad struct {
	Model    string `json:"model"`
	Answered int    `json:"answered"`
	Late     int    `json:"late"`
	Replicas int    `json:"replicas"` // that answered
}

// crowdedBy tells whether a replica made a request late.
func crowdedBy(cause string) bool { return cause == causeSlowAnswer || cause == causePause }

// crowding counts the answers of models by replica and by model.
func (c *lossCounter) crowding() Crowding {
	late := map[string]int{} // by replica
	byModel := map[string]*CrowdedLoad{}
	replicasOf := map[string]map[string]bool{}
	made := Crowding{}
	for _, request := range c.requests {
		if request.model == "" || request.outcome != logging.OutcomeAnswered {
			continue
		}
		load := byModel[request.model]
		if load == nil {
			load = &CrowdedLoad{Model: request.model}
			byModel[request.model], replicasOf[request.model] = load, map[string]bool{}
		}
		load.Answered++
		replicasOf[request.model][request.replica] = true
		late[request.replica] += 0
		if crowdedBy(c.causeOf(request)) {
			made.Late++
			load.Late++
			late[request.replica]++
		}
	}
	made.Replicas = len(late)
	made.FewCount = min(crowdedReplicas, len(late))
	made.OnFew = shareOfMost(late, made.FewCount, made.Late)
	for model, load := range byModel {
		load.Replicas = len(replicasOf[model])
		if load.Late > 0 {
			made.ByModel = append(made.ByModel, *load)
		}
	}
	slices.SortFunc(made.ByModel, func(a, b CrowdedLoad) int {
		return cmp.Or(cmp.Compare(b.Late, a.Late), cmp.Compare(a.Model, b.Model))
	})
	made.ByModel = made.ByModel[:min(crowdedModels, len(made.ByModel))]
	return made
}

// shareOfMost returns the share of all that the highest counts hold.
func shareOfMost(counts map[string]int, highest, all int) float64 {
	if all == 0 {
		return 0
	}
	descending := make([]int, 0, len(counts))
	for _, count := range counts {
		descending = append(descending, count)
	}
	slices.SortFunc(descending, func(a, b int) int { return cmp.Compare(b, a) })
	sum := 0
	for _, count := range descending[:highest] {
		sum += count
	}
	return float64(sum) / float64(all)
}
