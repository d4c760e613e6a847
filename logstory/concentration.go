package logstory

import (
	"cmp"
	"slices"

	"github.com/finchspoke/finchspoke/logging"
)

const (
	// topReplicaCount is how many of the replicas with the most late responses TopShare covers.
	topReplicaCount = 20
	// maxLateModels bounds the models listed.
	maxLateModels = 10
)

// Concentration describes how late responses are distributed over replicas and models. It counts
// responses that a replica delayed, not those that waited for a load. If few replicas cause them,
// the listed models need more copies; if all replicas do, the fleet needs more replicas.
type Concentration struct {
	Late        int         `json:"late"`
	Replicas    int         `json:"replicas"`  // replicas that served responses
	TopShare    float64     `json:"on_few"`    // share of late responses on the TopReplicas worst replicas
	ByModel     []LateModel `json:"by_model"`  // models with the most late responses
	TopReplicas int         `json:"few_count"` // replicas that TopShare covers
}

// LateModel counts the late responses of one model.
type LateModel struct {
	Model    string `json:"model"`
	Answered int    `json:"answered"`
	Late     int    `json:"late"`
	Replicas int    `json:"replicas"` // replicas that served responses
}

// causedByReplica reports whether a replica caused the delay of a request.
func causedByReplica(cause string) bool { return cause == causeSlowStart || cause == causePause }

// concentrationCounter counts the responses to model requests by replica and by model.
type concentrationCounter struct {
	late      int
	byReplica map[string]int // late responses by replica; zero for a replica without any
	byModel   map[string]*modelCounter
}

// modelCounter counts the responses of one model.
type modelCounter struct {
	answered, late int
	replicas       map[string]bool
}

func newConcentrationCounter() *concentrationCounter {
	return &concentrationCounter{byReplica: map[string]int{}, byModel: map[string]*modelCounter{}}
}

// add counts a request that ended; cause is what delayed it, empty if it was in time.
func (c *concentrationCounter) add(request endedRequest, cause string) {
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
	if causedByReplica(cause) {
		late = 1
	}
	c.late += late
	model.late += late
	c.byReplica[request.replica] += late
}

// concentration returns the result, with the models that have the most late responses first.
func (c *concentrationCounter) concentration() Concentration {
	top := min(topReplicaCount, len(c.byReplica))
	result := Concentration{Late: c.late, Replicas: len(c.byReplica), TopReplicas: top, TopShare: topShare(c.byReplica, top, c.late)}
	for name, model := range c.byModel {
		if model.late > 0 {
			result.ByModel = append(result.ByModel, LateModel{Model: name, Answered: model.answered, Late: model.late, Replicas: len(model.replicas)})
		}
	}
	slices.SortFunc(result.ByModel, func(a, b LateModel) int {
		return cmp.Or(cmp.Compare(b.Late, a.Late), cmp.Compare(a.Model, b.Model))
	})
	result.ByModel = result.ByModel[:min(maxLateModels, len(result.ByModel))]
	return result
}

// topShare returns the sum of the top highest counts as a share of total.
func topShare(counts map[string]int, top, total int) float64 {
	if total == 0 {
		return 0
	}
	descending := make([]int, 0, len(counts))
	for _, count := range counts {
		descending = append(descending, count)
	}
	slices.SortFunc(descending, func(a, b int) int { return cmp.Compare(b, a) })
	sum := 0
	for _, count := range descending[:top] {
		sum += count
	}
	return float64(sum) / float64(total)
}
