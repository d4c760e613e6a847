package loader

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/loading"
)

// Metrics are the counters of load orders.
type Metrics struct {
	orders *prometheus.CounterVec
	loads  *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	created := &Metrics{orders: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_load_orders_total", Help: "Orders given to replicas, by verb and outcome.",
	}, []string{"verb", "outcome"})}
	created.loads = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_loads_begun_total", Help: "Loads of models and adapters that replicas have begun, by what is loaded and from where.",
	}, []string{"what", "source"})
	registerer.MustRegister(created.orders, created.loads)
	return created
}

// begun counts a load that a replica has begun.
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
