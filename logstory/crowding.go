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
type Concentration struct {
	Late        int         `json:"late"`
	Replicas    int         `json:"replicas"`  // that answered
	TopShare    float64     `json:"on_few"`    // share of the late answers on the 20 replicas with the most
	ByModel     []LateModel `json:"by_model"`  // the ten with the most late answers
	TopReplicas int         `json:"few_count"` // the replicas that TopShare counts
}

// LateModel is one model's share of the late answers.
type LateModel struct {
	Model    string `json:"model"`
	Answered int    `json:"answered"`
	Late     int    `json:"late"`
	Replicas int    `json:"replicas"` // that answered
}

// crowdedBy tells whether a replica made a request late.
func crowdedBy(cause string) bool { return cause == causeSlowAnswer || cause == causePause }

// crowdingCounter counts the answers of models by replica and by model.
type crowdingCounter struct {
	late      int
	byReplica map[string]int // late answers of each replica that answered
	byModel   map[string]*modelCounter
}

// modelCounter counts the answers of one model.
type modelCounter struct {
	answered, late int
	replicas       map[string]bool
}

func newCrowdingCounter() *crowdingCounter {
	return &crowdingCounter{byReplica: map[string]int{}, byModel: map[string]*modelCounter{}}
}

// add takes in a request that ended, and what made it late; empty if it was in time.
func (c *crowdingCounter) add(request endedRequest, cause string) {
	if request.model == "" || request.outcome != logging.OutcomeAnswered {
		return
	}
	model := c.byModel[request.model]
	if model == nil {
		model = &modelCounter{replicas: map[string]bool{}}
		c.byModel[request.model] = model
	}
	model.answered++
	model.replicas[request.replica] = true
	late := 0
	if crowdedBy(cause) {
		late = 1
	}
	c.late += late
	model.late += late
	c.byReplica[request.replica] += late
}

// crowding puts what was counted in order.
func (c *crowdingCounter) crowding() Concentration {
	few := min(crowdedReplicas, len(c.byReplica))
	made := Concentration{Late: c.late, Replicas: len(c.byReplica), TopReplicas: few, TopShare: shareOfMost(c.byReplica, few, c.late)}
	for name, model := range c.byModel {
		if model.late > 0 {
			made.ByModel = append(made.ByModel, LateModel{Model: name, Answered: model.answered, Late: model.late, Replicas: len(model.replicas)})
		}
	}
	slices.SortFunc(made.ByModel, func(a, b LateModel) int {
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
