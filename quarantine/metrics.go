package quarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of a quarantine.
type Metrics struct {
	refused   prometheus.Counter
	probes    *prometheus.CounterVec
	published prometheus.Counter
	leftOut   prometheus.Counter
}

// NewMetrics registers a quarantine's metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	created := &Metrics{
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_refused_total", Help: "Requests refused, or not retried, since replicas had ended while they had them.",
		}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_probes_total", Help: "Questions whether a replica still runs whose connection broke, by answer.",
		}, []string{"answer"}),
		published: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_reports_total", Help: "Reports of replicas that ended, written to the key-value service.",
		}),
		leftOut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_quarantine_left_out_total", Help: "Fingerprints that found no room in a report that could not be written.",
		}),
	}
	registerer.MustRegister(created.refused, created.probes, created.published, created.leftOut)
	return created
}
