package queue

import (
	"time"
)

// estimateWait returns the expected time until an item is granted; known is false if there
// is no data for an estimate.
func (q *Queue) estimateWait(now time.Time, item Item) (wait time.Duration, known bool) {
	ready := 0
	free := 0
	for _, replica := range q.replicas {
		if q.usable(replica, now) {
			ready++
			free += max(0, q.concurrency-replica.running)
		}
	}
	itemsAhead := q.itemsAhead(item)
	if ready == 0 {
		if q.firstReadyAt.IsZero() {
			return 0, false
		}
		rounds := itemsAhead / q.concurrency
		return max(0, q.firstReadyAt.Sub(now)) + time.Duration(rounds)*q.meanService, true
	}
	if itemsAhead < free {
		return 0, true
	}
	if q.meanService == 0 {
		return 0, false
	}
	perSlot := float64(itemsAhead-free+1) / float64(ready*q.concurrency)
	return time.Duration(perSlot * float64(q.meanService)), true
}

// itemsAhead counts the items served before a new one: all of higher classes and, of its
// own class, those of its branch plus those that other branches are granted by their shares.
func (q *Queue) itemsAhead(item Item) int {
	higher, own := 0, q.waitingByClass[item.Class]
	for class := range item.Class {
		higher += q.waitingByClass[class]
	}
	ownBranch, shares := 0, 0
	for _, targetLane := range q.lanes {
		for branch, items := range targetLane.classes[item.Class] {
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

// recordService updates the mean service times with one completed request.
func (q *Queue) recordService(serviceTime time.Duration, tokens int) {
	updateMean(&q.meanService, serviceTime)
	if tokens > 0 {
		updateMean(&q.meanPerToken, serviceTime/time.Duration(tokens))
	}
}

// updateMean updates an exponentially weighted moving average.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(serviceSampleWeight * float64(sample-*mean))
}

// latestDispatch returns the latest time at which a dispatched item can end by its
// deadline, with the shorter of the mean service time and the estimate for its tokens.
func (q *Queue) latestDispatch(item Item) time.Time {
	service := q.meanService
	if item.Tokens > 0 && q.meanPerToken > 0 {
		service = min(service, q.meanPerToken*time.Duration(item.Tokens))
	}
	return item.Deadline.Add(-dispatchMargin - time.Duration(minServiceFraction*float64(service)))
}
