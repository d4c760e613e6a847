package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/limiter"
)

// newReservationCounter registers the counter of reservations within tenants' limits, and returns a function that
// counts some.
func newReservationCounter(registry *prometheus.Registry) func(outcome string, number int) {
	reservations := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_limit_reservations_total", Help: "Requests at their tenant's limit and their reservations, by outcome.",
	}, []string{"outcome"})
	registry.MustRegister(reservations)
	for _, outcome := range limiter.Outcomes() {
		reservations.WithLabelValues(outcome)
	}
	return func(outcome string, number int) { reservations.WithLabelValues(outcome).Add(float64(number)) }
}
