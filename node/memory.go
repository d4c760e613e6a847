package node

import (
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/bytebudget"
)

const (
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of the process's memory. Without a
	// limit the heap may double between two collections, which the process's memory may not allow.
	memoryLimitShare = 0.4
	// memoryBudgetShare is the share of the process's memory that requests and responses may hold. With the rest of the
	// heap it stays below memoryLimitShare, so that the collector frees what they return in time.
	memoryBudgetShare = 0.2
)

// ApplyMemoryLimit sets a soft memory limit, so that the garbage collector runs more often before the process
// is killed for its memory use.
func (c *Config) ApplyMemoryLimit() {
	if c.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(c.MemoryLimitBytes)))
	}
}

// newMemoryBudget returns the budget of the bytes of requests and responses, and registers its metrics.
func (n *Node) newMemoryBudget() *bytebudget.Budget {
	refusals := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_memory_refusals_total", Help: "Inputs that the daemon has refused, or ended, for want of memory, by input.",
	}, []string{"input"})
	budget := bytebudget.New(int64(memoryBudgetShare*float64(n.config.MemoryLimitBytes)), func(input string) { refusals.WithLabelValues(input).Inc() })
	n.metrics.MustRegister(refusals, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "finchspoke_memory_reserved_bytes", Help: "Bytes that are reserved for requests and responses.",
	}, func() float64 { return float64(budget.Used()) }))
	return budget
}
