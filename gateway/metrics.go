package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the gateway's Prometheus metrics.
type metrics struct {
	requests    *prometheus.CounterVec
	firstByte   *prometheus.HistogramVec
	waited      *prometheus.HistogramVec
	dispatches  *prometheus.CounterVec
	inFlight    prometheus.Gauge
	relayEvents prometheus.Counter
	resumes     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16) // 1 ms to 33 s
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_requests_total", Help: "Requests ended, by class and outcome.",
		}, []string{"class", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "finchspoke_first_byte_seconds", Help: "Time from arrival to the first byte of the response.", Buckets: buckets,
		}, []string{"class"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "finchspoke_queue_wait_seconds", Help: "Time from arrival until a slot is granted.", Buckets: buckets,
		}, []string{"class"}),
		dispatches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_dispatches_total", Help: "Dispatches to engines, by result.",
		}, []string{"result"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "finchspoke_requests_in_flight", Help: "Requests being served by this gateway.",
		}),
		relayEvents: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_relay_events_total", Help: "Stream events relayed to callers.",
		}),
	}
	created.resumes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_stream_resumes_total", Help: "Interrupted streams resumed at the point of interruption.",
	})
	registerer.MustRegister(created.resumes)
	registerer.MustRegister(created.requests, created.firstByte, created.waited, created.dispatches, created.inFlight, created.relayEvents)
	return created
}
