package loader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

// takeLeaving takes in which replicas said to a daemon that they leave; the mutex is held.
//
// The holder has to know, or it counts the copies on a leaving replica while the registry is silent: a
// model with one copy was served elsewhere after 2.5 s, and after 0.25 s since it is told. The other
// daemons have to know, or they go on to send requests there.
func (h *Leader) takeLeaving(message *rpc.LoadsDemand, now time.Time) {
	var news []string
	for _, one := range incarnationsOf(message.GetLeaving()) {
		// This daemon's own requests may have told its directory before.
		if isNews := h.Fleet.ApplyRelayedDraining(one, now); isNews || !h.leaving.has(one.ID) {
			news = append(news, one.ID)
		}
	}
	if len(news) == 0 {
		return
	}
	h.notify()
	for _, id := range news {
		h.leaving.mark(id, h.version)
		h.registry.note(id)
	}
	h.Wake()
	h.Log.WithFields(logrus.Fields{logging.Replica: news, logging.Source: message.GetDaemonId(), logging.Fence: h.fence}).Info(logging.MessageLeavingTold)
}

// retellLeaving begins a term with the replicas that are known to leave; the mutex is held.
func (h *Leader) retellLeaving() {
	h.leaving = newTouches()
	for _, one := range h.Fleet.ReportedDraining() {
		h.leaving.mark(one.ID, h.version)
	}
}

// leavingView lists the replicas of which it came after a version that they leave; the mutex is held.
func (h *Leader) leavingView(after uint64) (view []*rpc.ReplicaIncarnation) {
	for _, id := range h.leaving.after(after) {
		if one, leaves := h.Fleet.DrainingIncarnation(id); leaves {
			view = append(view, rpc.IncarnationMessage(one))
		}
	}
	return view
}

// leavingNews returns the replicas that said to this daemon that they leave and of which the holder has
// not been told on this stream.
func (f *Follower) leavingNews(sent *reported) (news []*rpc.ReplicaIncarnation) {
	for _, one := range f.Fleet.LocallyReportedDraining() {
		if !sent.leaving[one] {
			sent.leaving[one] = true
			news = append(news, rpc.IncarnationMessage(one))
		}
	}
	return news
}

func incarnationsOf(messages []*rpc.ReplicaIncarnation) []fleet.Incarnation {
	incarnations := make([]fleet.Incarnation, 0, len(messages))
	for _, message := range messages {
		incarnations = append(incarnations, message.Incarnation())
	}
	return incarnations
}
