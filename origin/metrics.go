package origin

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of a Client.
type Metrics struct {
	registerer  prometheus.Registerer
	resolutions *prometheus.CounterVec
	published   prometheus.Counter
	failures    prometheus.Counter
	dropped     prometheus.Counter
	conflicts   prometheus.Counter
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		registerer: registerer,
		resolutions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_origin_resolutions_total", Help: "Queries for the software version that began a stream, by the source of the result.",
		}, []string{"source"}),
		published: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_origin_published_total", Help: "Origins of streams that keepers have acknowledged, counted for each keeper.",
		}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_origin_publish_failures_total", Help: "Batches of origins that a keeper did not acknowledge.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_origin_dropped_total", Help: "Origins dropped because the queue to their keeper was full.",
		}),
		conflicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_origin_conflicts_total", Help: "Origins not kept because another software version is known for their attempt.",
		}),
	}
	registerer.MustRegister(metrics.resolutions, metrics.published, metrics.failures, metrics.dropped, metrics.conflicts)
	return metrics
}

// registerGauges registers the metrics that are read from the tables.
func (m *Metrics) registerGauges(own, kept *Table) {
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "finchspoke_origin_kept", Help: "Origins of streams that this daemon keeps for others.",
	}, func() float64 { return float64(kept.Len()) }), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "finchspoke_origin_evicted_total", Help: "Origins dropped because a table was full.",
	}, func() float64 { return float64(own.Dropped() + kept.Dropped()) }))
}
