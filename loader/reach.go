package loader

import (
	"math"
	"sync/atomic"
	"time"
)

// lostTime is how long daemons that were attached and are not any more count as cut off: they use their
// own parts of replicas' limits. After it they are thought to be gone for good.
const lostTime = 30 * time.Second

// reach is which share of the daemons is attached to the holder. The share may be read without the
// holder's mutex.
type reach struct {
	streams map[string]int // of each daemon: one that started again may have two for a while
	most    int            // daemons lately
	mostAt  time.Time      // when they were last as many
	share   atomic.Uint64
}

// join and leave take in that a stream of a daemon begins and ends.
func (r *reach) join(daemon string) {
	if r.streams == nil {
		r.streams = map[string]int{}
	}
	r.streams[daemon]++
}

func (r *reach) leave(daemon string) {
	if r.streams[daemon]--; r.streams[daemon] <= 0 {
		delete(r.streams, daemon)
	}
}

// note works out the share.
func (r *reach) note(now time.Time) {
	attached := len(r.streams)
	if attached >= r.most || now.Sub(r.mostAt) > lostTime {
		r.most, r.mostAt = attached, now
	}
	r.share.Store(math.Float64bits(float64(attached) / float64(max(1, r.most))))
}

// expect takes in how many daemons the last holder had.
func (r *reach) expect(daemons int, now time.Time) {
	if daemons > r.most {
		r.most, r.mostAt = daemons, now
	}
}

// Reached returns which share of the daemons is attached to this one, the holder of load orders, as of
// its last round of decisions.
func (h *Leader) Reached() float64 { return math.Float64frombits(h.reach.share.Load()) }
