package logstory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/loader"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/logging"
)

// Causes that CountLosses derives; log lines do not name them.
const (
	causePause          = "late by a pause between events"
	causeReplicaFailure = "the replica's own failure"
	causeSlowStart      = "late, the replica's answer began late"
	causeLateAfterWait  = "late after a wait, "
	causeNotServed      = "not answered, "
)

// Losses counts all requests that ended, by route, cause and time.
type Losses struct {
	Ended   int            `json:"ended"`
	Routes  []RouteLosses  `json:"routes"`  // highest priority first
	Windows []WindowLosses `json:"windows"` // in order of time
	Tenants []TenantLosses `json:"tenants"` // sorted by name; empty if requests carry no tenant
	// Concentration describes the distribution of late responses over replicas and models.
	Concentration Concentration `json:"crowding"`
}

// RouteLosses counts the requests of one route.
type RouteLosses struct {
	Name        string       `json:"name"`
	Priority    int          `json:"priority"` // 0 is the highest
	ObjectiveMs int          `json:"objective_ms"`
	Ended       int          `json:"ended"`
	InTime      int          `json:"in_time"`
	Causes      []CauseCount `json:"causes"` // causes of the requests not in time, most frequent first
	Pauses      PauseLosses  `json:"pauses"`
}

// TenantLosses counts the requests of one tenant. Ended, Answered, RateLimited and Causes count attempts; the
// others count requests, each over all its attempts.
type TenantLosses struct {
	Name        string       `json:"name"`
	Asked       int          `json:"asked"`       // requests
	Served      int          `json:"served"`      // requests with a complete response
	CameBack    int          `json:"came_back"`   // requests that were rejected at the limit and came back
	ServedThen  int          `json:"served_then"` // of these, with a complete response
	Ended       int          `json:"ended"`
	Answered    int          `json:"answered"` // complete responses, in time or late
	RateLimited int          `json:"at_limit"` // rejected at the tenant's rate limit
	Causes      []CauseCount `json:"causes"`   // causes of all other requests, most frequent first
}

// CauseCount counts the requests that failed or were late for one cause.
type CauseCount struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
}

// PauseLosses describes the load on the replicas of requests that were late because of a pause
// between events, as means over these requests.
type PauseLosses struct {
	Requests           int     `json:"requests"`
	ConcurrentRequests float64 `json:"beside"`        // other requests on the replica
	Models             float64 `json:"models"`        // models of these requests and the late one
	PromptTokens       float64 `json:"prompt_tokens"` // prompt tokens of those that began while the late one ran or up to 1 s before
}

// WindowLosses counts the requests that arrived within a window of time.
type WindowLosses struct {
	From     float64 `json:"from"` // seconds after the first arrival
	Ended    int     `json:"ended"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	TopCause string  `json:"most_for"` // most frequent cause with its count; empty without losses
}

// endedRequest holds the fields of a request's final log line.
type endedRequest struct {
	route, model, replica, outcome, waitReason       string
	tenant, fingerprint                              string
	started, ended                                   time.Time
	priority, objective, gapTarget, firstByte, pause int // times in ms
	waited, promptTokens                             int // ms; tokens
	failedStatus                                     int
}

func (l Line) number(field string) int {
	value, err := strconv.ParseFloat(l.text(field), 64)
	if err != nil {
		return 0
	}
	return int(value)
}

func parseEndedRequest(line Line) endedRequest {
	return endedRequest{
		route: line.text(logging.Route), model: line.text(logging.Model), replica: line.text(logging.Replica), outcome: line.text(logging.Outcome),
		waitReason: line.text(logging.WaitReason), tenant: line.text(logging.Tenant), fingerprint: line.text(logging.Fingerprint), ended: line.Time,
		started:  line.Time.Add(-time.Duration(line.number(logging.DurationMs)) * time.Millisecond),
		priority: line.number(logging.Priority), objective: line.number(logging.ObjectiveMs), gapTarget: line.number(logging.GapTargetMs),
		firstByte: line.number(logging.FirstByteMs), pause: line.number(logging.LongestPauseMs), waited: line.number(logging.WaitedMs),
		promptTokens: line.number(logging.PromptTokens), failedStatus: line.number(logging.FailedStatus),
	}
}

// CountLosses counts all requests that ended. A request is in time if its response was complete,
// began within its route's objective and paused no longer than the route's gap target.
func CountLosses(lines []Line, window time.Duration) Losses {
	var requests []endedRequest
	var loads []Line
	for _, line := range lines {
		switch {
		case line.Message == logging.MessageRequestEnded && line.text(logging.Route) != "":
			requests = append(requests, parseEndedRequest(line))
		case line.Message == logging.MessageLoadOrder && line.text(logging.Order) == loading.Load.String() && line.text(logging.Outcome) == loader.Accepted.String():
			loads = append(loads, line)
		}
	}
	counter := &lossCounter{requests: requests, loads: loads, routes: map[string]*routeCounter{}, windows: map[int]*windowCounter{}, concentration: newConcentrationCounter()}
	counter.count(window)
	losses := counter.result()
	losses.Tenants = tenantLosses(requests)
	return losses
}

type lossCounter struct {
	requests      []endedRequest
	loads         []Line
	routes        map[string]*routeCounter
	windows       map[int]*windowCounter
	concentration *concentrationCounter
}

type routeCounter struct {
	RouteLosses
	causes map[string]int
}

type windowCounter struct {
	WindowLosses
	causes map[string]int
}

func (c *lossCounter) count(window time.Duration) {
	if len(c.requests) == 0 {
		return
	}
	first := slices.MinFunc(c.requests, func(a, b endedRequest) int { return a.started.Compare(b.started) }).started
	for _, request := range c.requests {
		route := c.routes[request.route]
		if route == nil {
			route = &routeCounter{RouteLosses: RouteLosses{Name: request.route, Priority: request.priority, ObjectiveMs: request.objective}, causes: map[string]int{}}
			c.routes[request.route] = route
		}
		number := int(request.started.Sub(first) / window)
		counter := c.windows[number]
		if counter == nil {
			counter = &windowCounter{WindowLosses: WindowLosses{From: (time.Duration(number) * window).Seconds()}, causes: map[string]int{}}
			c.windows[number] = counter
		}
		route.Ended++
		counter.Ended++
		cause := c.lossCause(request)
		c.concentration.add(request, cause)
		if cause == "" {
			route.InTime++
			counter.InTime++
			continue
		}
		if request.outcome == logging.OutcomeAnswered && cause != causeReplicaFailure {
			counter.Late++
		}
		route.causes[cause]++
		counter.causes[cause]++
		if cause == causePause {
			c.addPause(&route.Pauses, request)
		}
	}
}

// lossCause returns what made a request fail or late; empty if it was in time.
func (c *lossCounter) lossCause(request endedRequest) string {
	startedLate := request.objective > 0 && request.firstByte > request.objective
	switch {
	case request.outcome != logging.OutcomeAnswered:
		return causeNotServed + request.outcome + c.waitSuffix(request)
	case request.failedStatus > 0:
		return causeReplicaFailure
	case startedLate && 2*request.waited > request.firstByte:
		return causeLateAfterWait + request.waitReason + c.loadSuffix(request)
	case startedLate:
		return causeSlowStart
	case request.gapTarget > 0 && request.pause > request.gapTarget:
		return causePause
	}
	return ""
}

// waitSuffix describes what a request without a response had waited for.
func (c *lossCounter) waitSuffix(request endedRequest) string {
	if request.waitReason == "" {
		return ""
	}
	return ", waited for " + request.waitReason + c.loadSuffix(request)
}

// loadSuffix describes the load that a request waited for: the last one of its model, or of an
// adapter of that model, ordered before the wait ended.
func (c *lossCounter) loadSuffix(request endedRequest) string {
	waitsForAdapter := request.waitReason == fleet.AdapterNotLoaded.String()
	if request.waitReason != fleet.NotLoaded.String() && !waitsForAdapter {
		return ""
	}
	waitEnded := request.started.Add(time.Duration(request.waited) * time.Millisecond)
	for index := len(c.loads) - 1; index >= 0; index-- {
		load := c.loads[index]
		forAdapter := load.text(logging.Adapter) != ""
		if load.Time.After(waitEnded) || load.text(logging.Model) != request.model || forAdapter != waitsForAdapter {
			continue
		}
		ready := load.Time.Add(time.Duration(load.number(logging.ReadyInMs)) * time.Millisecond)
		if ready.Before(request.started) {
			break
		}
		if forAdapter {
			return ", load ordered"
		}
		return ", load from " + load.text(logging.Source)
	}
	return ", no load ordered"
}

// addPause adds the other requests on the replica of a request that was late because of a pause.
func (c *lossCounter) addPause(pauses *PauseLosses, late endedRequest) {
	concurrent, tokens := 0, 0
	models := map[string]bool{late.model: true}
	for _, other := range c.requests {
		if other.replica != late.replica || other.model == "" || !other.started.Before(late.ended) || !other.ended.After(late.started) || other == late {
			continue
		}
		concurrent++
		models[other.model] = true
		if other.started.After(late.started.Add(-time.Second)) {
			tokens += other.promptTokens
		}
	}
	before := float64(pauses.Requests)
	mean := func(mean *float64, value int) { *mean = (*mean*before + float64(value)) / (before + 1) }
	mean(&pauses.ConcurrentRequests, concurrent)
	mean(&pauses.Models, len(models))
	mean(&pauses.PromptTokens, tokens)
	pauses.Requests++
}

// result returns the counts in the order that Losses documents.
func (c *lossCounter) result() Losses {
	losses := Losses{Ended: len(c.requests), Concentration: c.concentration.concentration()}
	for _, route := range c.routes {
		route.Causes = sortedCauses(route.causes)
		losses.Routes = append(losses.Routes, route.RouteLosses)
	}
	slices.SortFunc(losses.Routes, func(a, b RouteLosses) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		counter := c.windows[number]
		if causes := sortedCauses(counter.causes); len(causes) > 0 {
			counter.TopCause = fmt.Sprintf("%s (%d)", causes[0].Name, causes[0].Requests)
		}
		losses.Windows = append(losses.Windows, counter.WindowLosses)
	}
	return losses
}

func sortedCauses(counts map[string]int) []CauseCount {
	causes := make([]CauseCount, 0, len(counts))
	for name, requests := range counts {
		causes = append(causes, CauseCount{Name: name, Requests: requests})
	}
	slices.SortFunc(causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return causes
}
