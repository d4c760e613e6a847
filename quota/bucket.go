package quota

import (
	"slices"
	"time"
)

// bucket is a token bucket that stores how many tokens it lacks.
type bucket struct {
	deficit   float64
	updatedAt time.Time
	lowest    float64 // least deficit so far
}

// refill adds the tokens since the last refill.
func (b *bucket) refill(perSecond float64, now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.deficit = max(0, b.deficit-perSecond*elapsed.Seconds())
		b.updatedAt = now
		b.lowest = min(b.lowest, b.deficit)
	}
}

// refund adds the tokens of a grant that was not used.
func (b *bucket) refund(tokens float64) {
	b.deficit = max(0, b.deficit-tokens)
	b.lowest = min(b.lowest, b.deficit)
}

const (
	slotLength = 100 * time.Millisecond
	// extraSlots extend the window, so that it includes slots that are only partly in it.
	extraSlots = 2
)

// history sums the usage within a sliding window, in slots of time.
type history struct {
	slots map[int64]float64
	sum   float64
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

// expire drops the slots before the window.
func (h *history) expire(window time.Duration, now time.Time) {
	first := slotOf(now.Add(-window)) - extraSlots
	var expired []int64
	for slot := range h.slots {
		if slot < first {
			expired = append(expired, slot)
		}
	}
	// The rounding of the sum depends on the order.
	slices.Sort(expired)
	for _, slot := range expired {
		h.sum -= h.slots[slot]
		delete(h.slots, slot)
	}
	if len(h.slots) == 0 {
		h.sum = 0
	}
}

// add records usage and returns its slot.
func (h *history) add(used float64, now time.Time) int64 {
	if h.slots == nil {
		h.slots = map[int64]float64{}
	}
	slot := slotOf(now)
	h.slots[slot] += used
	h.sum += used
	return slot
}

// remove subtracts usage from a slot and reports whether the slot still contained it.
func (h *history) remove(amount float64, slot int64) bool {
	if used, found := h.slots[slot]; !found || used < amount {
		return false
	}
	h.slots[slot] -= amount
	h.sum -= amount
	return true
}
