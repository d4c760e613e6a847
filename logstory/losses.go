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

// Causes of losses that no field of a line names.
const (
	causePause      = "late by a pause between events"
	causeOwnFailure = "the replica's own failure"
	causeSlowAnswer = "late, the replica's answer began late"
	causeLateWait   = "late after a wait, "
	causeNotServed  = "not answered, "
)

// Losses are all requests that ended, by route, cause and time.
type Losses struct {
	Ended   int            `json:"ended"`
	Routes  []RouteLosses  `json:"routes"`  // the most urgent first
	Windows []WindowLosses `json:"windows"` // in order
	Tenants []TenantLosses `json:"tenants"` // by name; none where requests carry no keys
	// Crowding tells on how few replicas and models the late answers were.
	Concentration Concentration `json:"crowding"`
}

// RouteLosses are the requests of one route.
type RouteLosses struct {
	Name        string       `json:"name"`
	Priority    int          `json:"priority"` // 0 is the most urgent
	ObjectiveMs int          `json:"objective_ms"`
	Ended       int          `json:"ended"`
	InTime      int          `json:"in_time"`
	Causes      []CauseCount `json:"causes"` // of the others, the most frequent first
	Pauses      PauseLosses  `json:"pauses"`
}

// TenantLosses are the requests of one tenant.
type TenantLosses struct {
	Name        string       `json:"name"`
	Ended       int          `json:"ended"`
	Answered    int          `json:"answered"` // whole, in time or late
	RateLimited int          `json:"at_limit"` // refused at the tenant's limit
	Causes      []CauseCount `json:"causes"`   // of the others, the most frequent first
}

// CauseCount is how many requests were lost to a cause.
type CauseCount struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
}

// PauseLosses tell what shared the replica of requests that were late by a pause.
type PauseLosses struct {
	Requests           int     `json:"requests"`
	ConcurrentRequests float64 `json:"beside"`        // requests that ran beside, on the mean
	Models             float64 `json:"models"`        // models among these and the request's own, on the mean
	PromptTokens       float64 `json:"prompt_tokens"` // of those that began beside it, on the mean
}

// WindowLosses are the requests that arrived within a span of time.
type WindowLosses struct {
	From     float64 `json:"from"` // seconds after the first request
	Ended    int     `json:"ended"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	TopCause string  `json:"most_for"` // the most frequent cause; empty without losses
}

// endedRequest is what the line of a request's end tells.
type endedRequest struct {
	route, model, replica, outcome, waitReason string
	tenant                                     string
	began, ended                               time.Time
	priority, objective, gap, firstByte, pause int // times in ms
	waited, promptTokens                       int // ms; tokens
	failedStatus                               int
}

func (l Line) number(field string) int {
	value, err := strconv.ParseFloat(l.text(field), 64)
	if err != nil {
		return 0
	}
	return int(value)
}

func readEnd(line Line) endedRequest {
	return endedRequest{
		route: line.text(logging.Route), model: line.text(logging.Model), replica: line.text(logging.Replica), outcome: line.text(logging.Outcome),
		waitReason: line.text(logging.WaitReason), tenant: line.text(logging.Tenant), ended: line.Time,
		began:    line.Time.Add(-time.Duration(line.number(logging.DurationMs)) * time.Millisecond),
		priority: line.number(logging.Priority), objective: line.number(logging.ObjectiveMs), gap: line.number(logging.GapTargetMs),
		firstByte: line.number(logging.FirstByteMs), pause: line.number(logging.LongestPauseMs), waited: line.number(logging.WaitedMs),
		promptTokens: line.number(logging.PromptTokens), failedStatus: line.number(logging.FailedStatus),
	}
}

// CountLosses counts all requests that ended. A request is in time if its answer was
// whole, began within its route's objective and paused no longer than the route allows.
func CountLosses(lines []Line, window time.Duration) Losses {
	var requests []endedRequest
	var loads []Line
	for _, line := range lines {
		switch {
		case line.Message == logging.MessageRequestEnded && line.text(logging.Route) != "":
			requests = append(requests, readEnd(line))
		case line.Message == logging.MessageLoadOrder && line.text(logging.Order) == loading.Load.String() && line.text(logging.Outcome) == loader.Accepted.String():
			loads = append(loads, line)
		}
	}
	counter := &lossCounter{requests: requests, loads: loads, routes: map[string]*routeCounter{}, windows: map[int]*windowCounter{}, crowding: newCrowdingCounter()}
	counter.count(window)
	made := counter.losses()
	made.Tenants = tenantLosses(requests)
	return made
}

type lossCounter struct {
	requests []endedRequest
	loads    []Line
	routes   map[string]*routeCounter
	windows  map[int]*windowCounter
	crowding *crowdingCounter
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
	first := slices.MinFunc(c.requests, func(a, b endedRequest) int { return a.began.Compare(b.began) }).began
	for _, request := range c.requests {
		route := c.routes[request.route]
		if route == nil {
			route = &routeCounter{RouteLosses: RouteLosses{Name: request.route, Priority: request.priority, ObjectiveMs: request.objective}, causes: map[string]int{}}
			c.routes[request.route] = route
		}
		number := int(request.began.Sub(first) / window)
		span := c.windows[number]
		if span == nil {
			span = &windowCounter{WindowLosses: WindowLosses{From: (time.Duration(number) * window).Seconds()}, causes: map[string]int{}}
			c.windows[number] = span
		}
		route.Ended++
		span.Ended++
		cause := c.causeOf(request)
		c.crowding.add(request, cause)
		if cause == "" {
			route.InTime++
			span.InTime++
			continue
		}
		if request.outcome == logging.OutcomeAnswered && cause != causeOwnFailure {
			span.Late++
		}
		route.causes[cause]++
		span.causes[cause]++
		if cause == causePause {
			c.addPause(&route.Pauses, request)
		}
	}
}

// causeOf names what made a request late or lost; empty if it was in time.
func (c *lossCounter) causeOf(request endedRequest) string {
	lateBegin := request.objective > 0 && request.firstByte > request.objective
	switch {
	case request.outcome != logging.OutcomeAnswered:
		return causeNotServed + request.outcome + c.waitOf(request)
	case request.failedStatus > 0:
		return causeOwnFailure
	case lateBegin && 2*request.waited > request.firstByte:
		return causeLateWait + request.waitReason + c.sourceOf(request)
	case lateBegin:
		return causeSlowAnswer
	case request.gap > 0 && request.pause > request.gap:
		return causePause
	}
	return ""
}

// waitOf tells what a request that got no answer had waited for.
func (c *lossCounter) waitOf(request endedRequest) string {
	if request.waitReason == "" {
		return ""
	}
	return ", waited for " + request.waitReason + c.sourceOf(request)
}

// sourceOf tells where the load came from that a request waited for: the last of its
// model, or of an adapter of it, that was ordered before the wait ended.
func (c *lossCounter) sourceOf(request endedRequest) string {
	waitsForAdapter := request.waitReason == fleet.AdapterNotLoaded.String()
	if request.waitReason != fleet.NotLoaded.String() && !waitsForAdapter {
		return ""
	}
	waitEnded := request.began.Add(time.Duration(request.waited) * time.Millisecond)
	for index := len(c.loads) - 1; index >= 0; index-- {
		load := c.loads[index]
		forAdapter := load.text(logging.Adapter) != ""
		if load.Time.After(waitEnded) || load.text(logging.Model) != request.model || forAdapter != waitsForAdapter {
			continue
		}
		ready := load.Time.Add(time.Duration(load.number(logging.ReadyInMs)) * time.Millisecond)
		if ready.Before(request.began) {
			break
		}
		if forAdapter {
			return ", load ordered"
		}
		return ", load from " + load.text(logging.Source)
	}
	return ", no load ordered"
}

// addPause takes in what shared the replica of a request that was late by a pause.
func (c *lossCounter) addPause(pauses *PauseLosses, late endedRequest) {
	beside, tokens := 0, 0
	models := map[string]bool{late.model: true}
	for _, other := range c.requests {
		if other.replica != late.replica || other.model == "" || !other.began.Before(late.ended) || !other.ended.After(late.began) || other == late {
			continue
		}
		beside++
		models[other.model] = true
		if other.began.After(late.began.Add(-time.Second)) {
			tokens += other.promptTokens
		}
	}
	before := float64(pauses.Requests)
	mean := func(mean *float64, value int) { *mean = (*mean*before + float64(value)) / (before + 1) }
	mean(&pauses.ConcurrentRequests, beside)
	mean(&pauses.Models, len(models))
	mean(&pauses.PromptTokens, tokens)
	pauses.Requests++
}

// losses puts what was counted in order.
func (c *lossCounter) losses() Losses {
	made := Losses{Ended: len(c.requests), Concentration: c.crowding.crowding()}
	for _, route := range c.routes {
		route.Causes = sortedCauses(route.causes)
		made.Routes = append(made.Routes, route.RouteLosses)
	}
	slices.SortFunc(made.Routes, func(a, b RouteLosses) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		span := c.windows[number]
		if causes := sortedCauses(span.causes); len(causes) > 0 {
			span.TopCause = fmt.Sprintf("%s (%d)", causes[0].Name, causes[0].Requests)
		}
		made.Windows = append(made.Windows, span.WindowLosses)
	}
	return made
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
