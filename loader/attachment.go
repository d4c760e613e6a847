package loader

import (
	"math"
	"sync/atomic"
	"time"
)

// detachedCountTTL is how long the leader counts a detached daemon as disconnected, which uses its local share
// of replicas' limits. After that, the leader counts it as removed.
const detachedCountTTL = 30 * time.Second

// attachment tracks the share of the daemons that is attached to the leader. The share may be read without
// the leader's mutex.
type attachment struct {
	streams       map[string]int // by daemon; a restarted one may briefly have two
	maxDaemons    int            // recent maximum of attached daemons
	maxObservedAt time.Time      // when maxDaemons were last attached
	share         atomic.Uint64
}

// addStream counts a stream of a daemon.
func (a *attachment) addStream(daemon string) {
	if a.streams == nil {
		a.streams = map[string]int{}
	}
	a.streams[daemon]++
}

func (a *attachment) removeStream(daemon string) {
	if a.streams[daemon]--; a.streams[daemon] <= 0 {
		delete(a.streams, daemon)
	}
}

// updateShare recomputes the share.
func (a *attachment) updateShare(now time.Time) {
	attached := len(a.streams)
	if attached >= a.maxDaemons || now.Sub(a.maxObservedAt) > detachedCountTTL {
		a.maxDaemons, a.maxObservedAt = attached, now
	}
	a.share.Store(math.Float64bits(float64(attached) / float64(max(1, a.maxDaemons))))
}

// expectAtLeast raises maxDaemons to the number of daemons that were attached to the earlier leader.
func (a *attachment) expectAtLeast(daemons int, now time.Time) {
	if daemons > a.maxDaemons {
		a.maxDaemons, a.maxObservedAt = daemons, now
	}
}

// AttachedShare returns the share of the daemons that were attached to this leader in its last round.
func (l *Leader) AttachedShare() float64 { return math.Float64frombits(l.attachment.share.Load()) }
