package loader

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the counters of load orders.
type Metrics struct {
	orders *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	created := &Metrics{orders: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_load_orders_total", Help: "Orders given to replicas, by verb and outcome.",
	}, []string{"verb", "outcome"})}
	registerer.MustRegister(created.orders)
	return created
}
