package core

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/failure"
)

// Metrics holds the Prometheus metrics of the request core.
type Metrics struct {
	ended           *prometheus.CounterVec
	timeToFirstByte *prometheus.HistogramVec
	waitTime        *prometheus.HistogramVec
	duration        *prometheus.HistogramVec
	dispatches      *prometheus.CounterVec
	evidence        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	overrun         prometheus.Histogram
	tenantRequests  *prometheus.CounterVec
	tenantUsage     *prometheus.CounterVec
	choices         *prometheus.CounterVec
	streamEnds      *prometheus.CounterVec
	bodyEnds        *prometheus.CounterVec
	delays          prometheus.Histogram
	versionChecks   *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	buckets := []float64{.005, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 25}
	metrics := &Metrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_core_requests_total", Help: "Requests ended, by route kind, outcome and known execution state.",
		}, []string{"kind", "outcome", "execution"}),
		timeToFirstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "finchspoke_core_first_byte_seconds", Help: "Time from the arrival of a request to the first byte of its response.", Buckets: buckets,
		}, []string{"kind"}),
		waitTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "finchspoke_core_wait_seconds", Help: "Time that requests waited for a replica.", Buckets: buckets,
		}, []string{"kind"}),
		dispatches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_core_dispatches_total", Help: "Dispatches to replicas, by result.",
		}, []string{"result"}),
	}
	metrics.duration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "finchspoke_core_answer_seconds", Help: "Time from the arrival of a request to the end of its complete response.", Buckets: buckets,
	}, []string{"kind", "priority"})
	metrics.evidence = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_dispatch_evidence_total", Help: "Dispatches to replicas, by what shows that the replica did not run the request.",
	}, []string{"evidence"})
	metrics.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_retries_total", Help: "Retries requested from the retry budget, by service and outcome.",
	}, []string{"service", "outcome"})
	metrics.overrun = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "finchspoke_core_wait_overrun_seconds", Help: "Actual minus estimated time that requests waited for a replica.",
		Buckets: []float64{-5, -2.5, -1, -.5, -.1, .1, .5, 1, 2.5, 5},
	})
	metrics.tenantRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_tenant_requests_total", Help: "Requests ended, by tenant and outcome.",
	}, []string{"tenant", "outcome"})
	metrics.tenantUsage = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_tenant_use_total", Help: "Usage that requests which may have run count toward their tenant's limit, in the unit of the limit.",
	}, []string{"tenant"})
	metrics.choices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_choices_total", Help: "Replicas chosen for dispatches where they are assigned jointly, by who chose and why.",
	}, []string{"source", "reason"})
	metrics.delays = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "finchspoke_core_assignment_delay_seconds", Help: "How long the leader had dispatches wait before they were sent.", Buckets: []float64{0, .01, .025, .05, .1, .2, .4, .8, 1.6},
	})
	metrics.streamEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_stream_ends_total", Help: "Streams that replicas ended without an error, by framing of the response and position of the end.",
	}, []string{"framing", "position"})
	metrics.bodyEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_body_ends_total", Help: "Bodies, other than streams, that replicas ended without an error, by framing of the response.",
	}, []string{"framing"})
	metrics.versionChecks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_version_checks_total", Help: "Checks of a replica's software version in the registry before a stream goes on there, by outcome.",
	}, []string{"outcome"})
	registerer.MustRegister(metrics.evidence, metrics.versionChecks, metrics.streamEnds, metrics.bodyEnds, metrics.choices, metrics.delays, metrics.tenantRequests, metrics.tenantUsage, metrics.overrun, metrics.ended, metrics.timeToFirstByte, metrics.waitTime, metrics.dispatches, metrics.retries, metrics.duration)
	return metrics
}

func (m *Metrics) recordEnd(state *callState, outcome string, execution failure.Execution) {
	kind := state.Route.Kind.String()
	m.ended.WithLabelValues(kind, outcome, string(execution)).Inc()
	if state.Tenant != nil {
		m.tenantRequests.WithLabelValues(state.Tenant.Name, outcome).Inc()
		if execution != failure.NotRun {
			m.tenantUsage.WithLabelValues(state.Tenant.Name).Add(float64(state.Tenant.Cost(state.Tokens)))
		}
	}
	if execution == failure.Completed {
		m.duration.WithLabelValues(kind, strconv.Itoa(state.Route.Priority)).Observe(time.Since(state.Arrived).Seconds())
	}
	if state.firstByte > 0 {
		m.timeToFirstByte.WithLabelValues(kind).Observe(state.firstByte.Seconds())
	}
	if state.waitEstimate > 0 {
		m.overrun.Observe((state.waitTime - state.waitEstimate).Seconds())
	}
	m.waitTime.WithLabelValues(kind).Observe(state.waitTime.Seconds())
}

// recordChoice counts who chose the replica of a dispatch.
func (m *Metrics) recordChoice(choice Choice) {
	m.choices.WithLabelValues(choice.source(), choice.Reason).Inc()
	if choice.ByLeader {
		m.delays.Observe(choice.Delay.Seconds())
	}
}
