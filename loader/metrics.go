package loader

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/loading"
)

// Metrics are the counters of load orders and loads.
type Metrics struct {
	orders *prometheus.CounterVec
	loads  *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	created := &Metrics{orders: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_load_orders_total", Help: "Load orders sent to replicas, by verb and outcome.",
	}, []string{"verb", "outcome"})}
	created.loads = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_loads_begun_total", Help: "Loads that replicas have started, by kind (model or adapter) and source of the weights.",
	}, []string{"what", "source"})
	registerer.MustRegister(created.orders, created.loads)
	return created
}

func (m *Metrics) countLoad(order loading.Order) {
	if order.Verb != loading.Load {
		return
	}
	what := "model"
	if !order.ForModel() {
		what = "adapter"
	}
	m.loads.WithLabelValues(what, order.Origin.String()).Inc()
}
