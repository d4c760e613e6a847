package queue

import (
	"time"
)

// estimate is the time until an item would be granted, and whether enough is
// known to say so.
func (q *Queue) estimate(now time.Time, item Item) (wait time.Duration, known bool) {
	ready := 0
	free := 0
	for _, replica := range q.replicas {
		if q.usable(replica, now) {
			ready++
			free += max(0, q.concurrency-replica.running)
		}
	}
	ahead := q.ahead(item)
	if ready == 0 {
		if q.readyAt.IsZero() {
			return 0, false
		}
		turns := ahead / q.concurrency
		return max(0, q.readyAt.Sub(now)) + time.Duration(turns)*q.meanService, true
	}
	if ahead < free {
		return 0, true
	}
	if q.meanService == 0 {
		return 0, false
	}
	perSlot := float64(ahead-free+1) / float64(ready*q.concurrency)
	return time.Duration(perSlot * float64(q.meanService)), true
}

// ahead counts the items served before a new one: all of a higher class, and of
// its own class no more than its branch's share lets through.
func (q *Queue) ahead(item Item) int {
	higher, own := 0, q.byClass[item.Class]
	for class := range item.Class {
		higher += q.byClass[class]
	}
	ownBranch, shares := 0, 0
	for _, waiting := range q.lanes {
		for branch, items := range waiting.classes[item.Class] {
			if branch == item.Branch {
				ownBranch += items.Len()
			} else if items.Len() > 0 {
				shares += (*items)[0].item.Share
			}
		}
	}
	fair := ownBranch + (ownBranch+1)*shares/item.Share
	return higher + min(own, fair)
}

func (q *Queue) observe(service time.Duration, tokens int) {
	blend(&q.meanService, service)
	if tokens > 0 {
		blend(&q.perToken, service/time.Duration(tokens))
	}
}

// blend moves a mean towards a new sample.
func blend(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(serviceWeight * float64(sample-*mean))
}

// usefulUntil is when an item's dispatch can no longer end by its deadline, judged
// by the kinder of the mean service and the mean for its tokens.
func (q *Queue) usefulUntil(item Item) time.Time {
	least := q.meanService
	if item.Tokens > 0 && q.perToken > 0 {
		least = min(least, q.perToken*time.Duration(item.Tokens))
	}
	return item.Deadline.Add(-dispatchMargin - time.Duration(leastServiceShare*float64(least)))
}
