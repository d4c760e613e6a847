// Package quota keeps a tenant's requests, over all daemons together, within a limit.
package quota

// Limit is what a tenant may use, in its own unit (tokens or requests).
type Limit struct {
	// PerSecond is the lasting rate; zero sets no limit.
	PerSecond float64
	// Burst may be used above the rate at once.
	Burst float64
}

// Unlimited tells that there is no limit.
func (l Limit) Unlimited() bool { return l.PerSecond <= 0 }
