package core

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/failure"
)

// Metrics are the counters and histograms of the request core.
type Metrics struct {
	ended      *prometheus.CounterVec
	first      *prometheus.HistogramVec
	waited     *prometheus.HistogramVec
	whole      *prometheus.HistogramVec
	dispatches *prometheus.CounterVec
	retries    *prometheus.CounterVec
	overrun    prometheus.Histogram
	tenants    *prometheus.CounterVec
	tokens     *prometheus.CounterVec
}

// NewMetrics registers the core's metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	buckets := []float64{.005, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 25}
	created := &Metrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_core_requests_total", Help: "Requests ended, by kind of route, outcome and what is known of the execution.",
		}, []string{"kind", "outcome", "execution"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "finchspoke_core_first_byte_seconds", Help: "Time from the arrival of a request to the first byte of its answer.", Buckets: buckets,
		}, []string{"kind"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "finchspoke_core_wait_seconds", Help: "Time that requests waited for a replica.", Buckets: buckets,
		}, []string{"kind"}),
		dispatches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_core_dispatches_total", Help: "Dispatches to replicas, by result.",
		}, []string{"result"}),
	}
	created.whole = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "finchspoke_core_answer_seconds", Help: "Time from the arrival of a request to the end of its whole answer.", Buckets: buckets,
	}, []string{"kind", "priority"})
	created.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_retries_total", Help: "Retries asked of the budget, by service and whether it had one left.",
	}, []string{"service", "outcome"})
	created.overrun = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "finchspoke_core_wait_overrun_seconds", Help: "How much longer than estimated requests waited for a replica; negative: shorter.",
		Buckets: []float64{-5, -2.5, -1, -.5, -.1, .1, .5, 1, 2.5, 5},
	})
	created.tenants = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_tenant_requests_total", Help: "Requests ended, by tenant and outcome.",
	}, []string{"tenant", "outcome"})
	created.tokens = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_core_tenant_use_total", Help: "What requests that may have run count toward their tenant's limit, in its unit.",
	}, []string{"tenant"})
	registerer.MustRegister(created.tenants, created.tokens, created.overrun, created.ended, created.first, created.waited, created.dispatches, created.retries, created.whole)
	return created
}

func (m *Metrics) end(running *run, outcome string, execution failure.Execution) {
	kind := running.Route.Kind.String()
	m.ended.WithLabelValues(kind, outcome, string(execution)).Inc()
	if running.Tenant != nil {
		m.tenants.WithLabelValues(running.Tenant.Name, outcome).Inc()
		if execution != failure.NotRun {
			m.tokens.WithLabelValues(running.Tenant.Name).Add(float64(running.Tenant.Cost(running.Tokens)))
		}
	}
	if execution == failure.Completed {
		m.whole.WithLabelValues(kind, strconv.Itoa(running.Route.Priority)).Observe(time.Since(running.Arrived).Seconds())
	}
	if running.firstByte > 0 {
		m.first.WithLabelValues(kind).Observe(running.firstByte.Seconds())
	}
	if running.estimate > 0 {
		m.overrun.Observe((running.waited - running.estimate).Seconds())
	}
	m.waited.WithLabelValues(kind).Observe(running.waited.Seconds())
}
