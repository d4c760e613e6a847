package quarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus counters of a Guard.
type Metrics struct {
	refused   prometheus.Counter
	probes    *prometheus.CounterVec
	published prometheus.Counter
	dropped   prometheus.Counter
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_refused_total", Help: "Requests refused or not retried because they are quarantined.",
		}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_probes_total", Help: "Liveness probes of replicas after broken connections or abandoned requests, by result.",
		}, []string{"answer"}),
		published: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_reports_total", Help: "Replica crash reports written to the key-value service.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_left_out_total", Help: "Fingerprints dropped because the pending report was full.",
		}),
	}
	registerer.MustRegister(metrics.refused, metrics.probes, metrics.published, metrics.dropped)
	return metrics
}
