package quota

import "time"

// bucket is a token bucket, by what is missing to a full one.
type bucket struct {
	deficit   float64
	updatedAt time.Time
}

// refill fills the bucket at a rate up to a moment.
func (b *bucket) refill(perSecond float64, now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.deficit = max(0, b.deficit-perSecond*elapsed.Seconds())
		b.updatedAt = now
	}
}

const (
	// slotLength is the length of a slot of a history.
	slotLength = 100 * time.Millisecond
	// extraSlots are kept beyond a window, so that none is left out that begins in it.
	extraSlots = 2
)

// history sums what was used over the last window, by slots of time.
type history struct {
	slots map[int64]float64
	sum   float64
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

// forget drops the slots that ended before the window.
func (h *history) expire(window time.Duration, now time.Time) {
	first := slotOf(now.Add(-window)) - extraSlots
	for slot, used := range h.slots {
		if slot < first {
			h.sum -= used
			delete(h.slots, slot)
		}
	}
	if len(h.slots) == 0 {
		h.sum = 0
	}
}

// add counts what is used at a moment and returns its slot.
func (h *history) add(used float64, now time.Time) int64 {
	if h.slots == nil {
		h.slots = map[int64]float64{}
	}
	slot := slotOf(now)
	h.slots[slot] += used
	h.sum += used
	return slot
}

// remove removes what was counted in a slot but not used, and tells whether it was still
// counted.
func (h *history) remove(amount float64, slot int64) bool {
	if used, found := h.slots[slot]; !found || used < amount {
		return false
	}
	h.slots[slot] -= amount
	h.sum -= amount
	return true
}
