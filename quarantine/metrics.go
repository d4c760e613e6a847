package quarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus counters of a Guard.
type Metrics struct {
	refused   prometheus.Counter
	probes    *prometheus.CounterVec
	published prometheus.Counter
	dropped   prometheus.Counter
	// partsRefused and trials concern quarantined parts of prompts.
	partsRefused prometheus.Counter
	trials       prometheus.Counter
	// trialsWithdrawn counts the trials that no replica saw.
	trialsWithdrawn prometheus.Counter
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
	metrics.partsRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_quarantine_part_refused_total", Help: "Requests refused or not retried because a part of their prompt is quarantined.",
	})
	metrics.trials = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_quarantine_trials_total", Help: "Trials of quarantined parts of prompts that this daemon began.",
	})
	metrics.trialsWithdrawn = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "finchspoke_quarantine_trials_withdrawn_total", Help: "Trials that this daemon withdrew because no replica saw their requests.",
	})
	registerer.MustRegister(metrics.refused, metrics.probes, metrics.published, metrics.dropped, metrics.partsRefused, metrics.trials, metrics.trialsWithdrawn)
	return metrics
}
