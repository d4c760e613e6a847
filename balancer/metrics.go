package balancer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/core"
)

// Metrics holds the Prometheus metrics of joint assignment; nil counts nothing.
type Metrics struct {
	answers prometheus.Histogram
	misses  *prometheus.CounterVec
	late    prometheus.Counter
	invalid *prometheus.CounterVec
	overrun prometheus.Histogram
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		answers: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "finchspoke_balance_answer_seconds", Help: "Time from a question for a replica to the leader's answer.", Buckets: []float64{.0005, .001, .002, .005, .01, .015, .02, .025},
		}),
		misses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_balance_unanswered_total", Help: "Questions for a replica without a usable answer in time, by reason.",
		}, []string{"reason"}),
		late: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "finchspoke_balance_late_answers_total", Help: "Answers of the leader for which no request waited any longer.",
		}),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "finchspoke_balance_invalid_total", Help: "Questions, events and answers that could not be used.",
		}, []string{"kind"}),
		overrun: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "finchspoke_balance_first_byte_overrun_seconds", Help: "Actual minus expected time to the first byte of assigned dispatches.",
			Buckets: []float64{-1, -.5, -.2, -.1, -.05, 0, .05, .1, .2, .5, 1, 2.5},
		}),
	}
	registerer.MustRegister(metrics.answers, metrics.misses, metrics.late, metrics.invalid, metrics.overrun)
	return metrics
}

func (m *Metrics) recordAnswer(choice core.Choice, waited time.Duration) {
	switch {
	case m == nil:
	case choice.ByLeader:
		m.answers.Observe(waited.Seconds())
	default:
		m.misses.WithLabelValues(choice.Reason).Inc()
	}
}

func (m *Metrics) countLate() {
	if m != nil {
		m.late.Inc()
	}
}

func (m *Metrics) countInvalid(kind string) {
	if m != nil {
		m.invalid.WithLabelValues(kind).Inc()
	}
}

func (m *Metrics) recordOverrun(overrun time.Duration) {
	if m != nil {
		m.overrun.Observe(overrun.Seconds())
	}
}
