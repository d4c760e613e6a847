package loader

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

// takeLeaving takes in which replicas said to a daemon that they leave; the mutex is held.
//
// The holder has to know, or it counts the copies on a leaving replica while the registry is silent: a
// model with one copy was served elsewhere after 2.5 s, and after 0.25 s since it is told. The other
// daemons have to know, or they go on to send requests there.
func (h *Holder) takeLeaving(message *rpc.LoadsDemand, now time.Time) {
	news := slices.DeleteFunc(slices.Clone(message.GetLeaving()), h.leaving.has)
	if len(news) == 0 {
		return
	}
	h.Fleet.TellLeaving(news, now)
	h.notify()
	for _, id := range news {
		h.leaving.mark(id, h.version)
		h.registry.note(id)
	}
	h.Wake()
	h.Log.WithFields(logrus.Fields{logging.Replica: news, logging.Source: message.GetDaemonId(), logging.Fence: h.fence}).Info(logging.MessageLeavingTold)
}

// retellLeaving begins a term with the replicas that are known to leave; the mutex is held.
func (h *Holder) retellLeaving() {
	h.leaving = newTouches()
	if h.Fleet == nil {
		return
	}
	for _, id := range h.Fleet.LeavingAnywhere() {
		h.leaving.mark(id, h.version)
	}
}

// leavingNews returns the replicas that said to this daemon that they leave and of which the holder has
// not been told on this stream.
func (f *Follower) leavingNews(sent *reported) []string {
	var news []string
	for _, id := range f.Fleet.LeavingHere() {
		if !sent.leaving[id] {
			sent.leaving[id] = true
			news = append(news, id)
		}
	}
	return news
}
