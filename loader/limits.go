package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

// takeLimits takes in what replicas said to a daemon of their limits; the mutex is held.
//
// The other daemons have to know, or each would send what it had sent before until it met an answer that
// names the limit. What this daemon's own requests heard comes by its own stream, as from any other; its
// directory then knows it before, so what counts as news is what the others were told last.
func (h *Leader) takeLimits(message *rpc.LoadsDemand, now time.Time) {
	var news []fleet.ReplicaLimit
	for _, message := range message.GetLimits() {
		told := message.Word(now)
		h.Fleet.ApplyRelayedLimit(told, now)
		if word, said := h.Fleet.LimitRecord(told.ID); said && !h.limits.isTold(word) {
			news = append(news, word)
		}
	}
	if len(news) == 0 {
		return
	}
	h.notify()
	for _, one := range news {
		h.limits.tell(one, h.version)
		h.registry.note(one.ID)
		h.Log.WithFields(logrus.Fields{logging.Replica: one.ID, logging.Limit: one.PerSecond, logging.Source: message.GetDaemonId(), logging.Fence: h.fence}).
			Info(logging.MessageLimitTold)
	}
	h.Wake()
}

// limitsTold are the limits that the daemons were told in a term.
type limitsTold struct {
	*touches
	last map[fleet.Incarnation]float64
}

func newLimitsTold() *limitsTold {
	return &limitsTold{newTouches(), map[fleet.Incarnation]float64{}}
}

// tell notes that a limit is told in a version.
func (l *limitsTold) tell(word fleet.ReplicaLimit, version uint64) {
	l.mark(word.ID, version)
	l.last[word.Incarnation] = word.PerSecond
}

// isTold tells whether the daemons were last told the same.
func (l *limitsTold) isTold(word fleet.ReplicaLimit) bool {
	perSecond, known := l.last[word.Incarnation]
	return known && perSecond == word.PerSecond
}

// retellLimits begins a term with the limits that are known; the mutex is held.
func (h *Leader) retellLimits() {
	h.limits = newLimitsTold()
	for _, one := range h.Fleet.LimitRecords(false) {
		h.limits.tell(one, h.version)
	}
}

// limitsView lists the replicas of whose limits it came after a version that they changed; the mutex is
// held.
func (h *Leader) limitsView(after uint64, now time.Time) (view []*rpc.ReplicaLimit) {
	for _, id := range h.limits.after(after) {
		if word, said := h.Fleet.LimitRecord(id); said {
			view = append(view, rpc.LimitMessage(word, now))
		}
	}
	return view
}

// LimitHeard makes the follower tell at once what a replica said to this daemon of its limit: until all
// daemons know it, they go on as before.
func (f *Follower) LimitReported() {
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// limitNews returns what replicas said to this daemon of their limits and the holder has not been told
// on this stream, or has told otherwise since.
func (f *Follower) limitNews(sent *reported, now time.Time) (news []*rpc.ReplicaLimit) {
	words := f.Fleet.LimitRecords(true)
	sent.mutex.Lock()
	defer sent.mutex.Unlock()
	for _, one := range words {
		if told, known := sent.limits[one.Incarnation]; !known || told != one.PerSecond {
			sent.limits[one.Incarnation] = one.PerSecond
			news = append(news, rpc.LimitMessage(one, now))
		}
	}
	return news
}

// takeLimits takes in the holder's word of replicas' limits.
func (f *Follower) takeLimits(messages []*rpc.ReplicaLimit, sent *reported, now time.Time) {
	for _, message := range messages {
		told := message.Word(now)
		sent.mutex.Lock()
		sent.limits[told.Incarnation] = told.PerSecond
		sent.mutex.Unlock()
		if change, isNews := f.Fleet.ApplyRelayedLimit(told, now); isNews {
			f.Log.WithFields(logrus.Fields{logging.Replica: told.ID, logging.Limit: change.PerSecond, logging.LimitBefore: change.Previous}).Info(logging.MessageLimitTold)
		}
	}
}
