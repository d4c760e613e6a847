// Package bytebudget bounds the bytes of requests and responses that a daemon holds at a time.
package bytebudget

import "sync"

const (
	// SmallBytes is the size up to which a reservation may use the whole budget. Larger ones share largeShare of it, so
	// that they leave room for small requests.
	SmallBytes = 64 << 10
	largeShare = 0.75
)

// Budget is a number of bytes that reservations share. It is safe for concurrent use. Nil is a budget without a limit.
type Budget struct {
	limit     int64
	onRefusal func(input string)

	mutex sync.Mutex
	used  int64
}

// New returns a budget of a number of bytes; zero means no limit. onRefusal is called with the input of each reservation
// that may not grow; it may be nil.
func New(limit int64, onRefusal func(input string)) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit, onRefusal: onRefusal}
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// Reserve returns an empty reservation for an input, which names it in metrics. It must be released.
func (b *Budget) Reserve(input string) *Reservation { return &Reservation{budget: b, input: input} }

// Reservation is a part of a budget. It is not safe for concurrent use. Nil is a reservation without a limit.
type Reservation struct {
	budget *Budget
	input  string
	bytes  int64
}

// GrowTo raises the reservation to a number of bytes, and reports whether the budget allows it. Otherwise the
// reservation stays as it is.
func (r *Reservation) GrowTo(bytes int64) bool {
	if r == nil || r.budget == nil || bytes <= r.bytes {
		return true
	}
	b := r.budget
	limit := b.limit
	if bytes > SmallBytes {
		limit = int64(largeShare * float64(limit))
	}
	b.mutex.Lock()
	allowed := bytes-r.bytes <= limit-b.used
	if allowed {
		b.used += bytes - r.bytes
		r.bytes = bytes
	}
	b.mutex.Unlock()
	if !allowed && b.onRefusal != nil {
		b.onRefusal(r.input)
	}
	return allowed
}

// Release returns the bytes to the budget. The reservation may be used again.
func (r *Reservation) Release() {
	if r == nil || r.budget == nil || r.bytes == 0 {
		return
	}
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.budget.used -= r.bytes
	r.bytes = 0
}
