package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// unbounded is more than any limit.
const unbounded = math.MaxFloat64

// forecast is how much of a tenant's limit is expected to be available if nothing further is granted.
type forecast struct {
	now       time.Time
	available float64 // in the bucket; negative after an overdraft
	deficit   float64 // what the bucket can still gather
	// mostAtOnce is the largest cost that can be granted now: the bucket with an overdraft, within the marks.
	mostAtOnce float64
	largest    float64 // the largest cost that can be granted at any time
	perSecond  float64 // refill of the bucket
	window     float64 // room in the window
	releases   []release
}

// release is the room that the window has gained by a time, in addition to that at present.
type release struct {
	at    time.Time
	total float64
}

// forecast returns what is expected of a tenant's limit, except for what is released and the marks.
func (l *Ledger) forecast(usage *tenantUsage, now time.Time) forecast {
	return forecast{
		now: now, available: l.available(usage), deficit: usage.bucket.deficit, largest: unbounded, perSecond: usage.limit.PerSecond,
		window: usage.budget.maxUse - usage.granted.sum - l.outstanding(usage, now),
	}
}

// releases returns when slots leave the window, in order.
func (h *history) releases(window time.Duration) []release {
	releases := make([]release, 0, len(h.slots))
	for slot, used := range h.slots {
		// Slots are removed at intervals of a slot, so up to one slot late.
		leaves := time.Unix(0, (slot+2+extraSlots)*int64(slotLength)).Add(window)
		releases = append(releases, release{at: leaves, total: used})
	}
	slices.SortFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	for index := 1; index < len(releases); index++ {
		releases[index].total += releases[index-1].total
	}
	return releases
}

// bucketAt returns what the bucket will hold if a cost was granted before. Times that have passed count as
// now.
func (f forecast) bucketAt(at time.Time, before float64) float64 {
	return f.available + min(f.deficit, f.perSecond*max(0, at.Sub(f.now)).Seconds()-before)
}

// bucketFor returns what the bucket must hold for a cost, beside the overdraft.
func (f forecast) bucketFor(cost float64) float64 {
	return max(0, cost-(f.mostAtOnce-f.available))
}

// windowAt returns the room that the window will have.
func (f forecast) windowAt(at time.Time) float64 {
	index, _ := slices.BinarySearchFunc(f.releases, at, func(r release, at time.Time) int {
		return cmp.Or(r.at.Compare(at), -1)
	})
	if index == 0 {
		return f.window
	}
	return f.window + f.releases[index-1].total
}
