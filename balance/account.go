package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/pace"
)

const (
	// overdueFactor and overdueGrace are when a prompt takes too long for the estimated speed: the
	// replica then counts as no quicker than that prompt shows.
	overdueFactor = 3.0
	overdueGrace  = 100 * time.Millisecond
)

// dispatch is a request that was sent to a replica, or is held until sentAt.
type dispatch struct {
	id          DispatchID
	service     string
	account     *account
	sentAt      time.Time
	tokens      int  // prompt tokens that the replica has to read
	hasTransfer bool // the replica gets other tokens first
	isRead      bool
	maxGap      time.Duration
	priority    int
	dueAt       time.Time // the first byte
	forgetAt    time.Time
}

// yieldsTo reports whether a held dispatch is less urgent than a request that arrives now.
func (d *dispatch) yieldsTo(request *Request, now time.Time) bool {
	if d.priority != request.Priority {
		return d.priority > request.Priority
	}
	return d.dueAt.After(now.Add(request.Slack))
}

// gapCount is how many running requests of a replica allow pauses up to gap.
type gapCount struct {
	gap   time.Duration
	count int
}

// account is the work of one replica. Its prompts are assumed to be read by priority, and else in the order
// in which they are sent.
type account struct {
	replica   fleet.Incarnation
	slots     int         // requests that it runs at once; zero means unknown
	running   int         // requests, including held ones
	gaps      []gapCount  // of running requests with a bound, ascending
	unread    []*dispatch // in the order of sentAt
	headSince time.Time   // since when the first of unread is read
	reads     []read      // within about the tightest gap, in the order of time
	readAt    time.Time   // the latest
	reading   reading
}

// read is the prompt tokens read within a short time from at on.
type read struct {
	at     time.Time
	tokens int
}

// readsPerGap bounds how finely the tokens read within the tightest gap are kept.
const readsPerGap = 20

// add charges a dispatch.
func (a *account) add(d *dispatch) {
	a.running++
	a.countGap(d.maxGap, 1)
	if d.isRead {
		return
	}
	index := len(a.unread)
	for index > 0 && a.unread[index-1].sentAt.After(d.sentAt) {
		index--
	}
	a.unread = slices.Insert(a.unread, index, d)
	if index == 0 {
		a.headSince = d.sentAt
		a.reading.begin(d.sentAt)
	}
}

// remove takes a dispatch off the account. The replica stops reading its prompt.
func (a *account) remove(d *dispatch, now time.Time) {
	a.running--
	a.countGap(d.maxGap, -1)
	if !d.isRead {
		a.reading.spoil()
		a.removeUnread(d, now)
	}
}

// recordFirstByte records that the prompt of a dispatch has been read, and returns what that tells of the
// speed, if anything.
func (a *account) recordFirstByte(d *dispatch, sentToFirstByte time.Duration, now time.Time) (sample pace.Sample, ok bool) {
	if a.isFull() || a.awaitsTransfer(now) {
		a.reading.spoil()
	}
	isLast := len(a.unread) == 1 || a.unread[1].sentAt.After(now)
	sample, ok = a.reading.record(d.tokens, d.sentAt.Add(sentToFirstByte), isLast)
	a.markRead(d, now)
	return sample, ok
}

// isFull reports whether a request waits for a slot.
func (a *account) isFull() bool { return a.slots > 0 && a.running > a.slots }

// awaitsTransfer reports whether a prompt is under way whose first tokens come from another replica.
func (a *account) awaitsTransfer(now time.Time) bool {
	return slices.ContainsFunc(a.unread, func(d *dispatch) bool { return d.hasTransfer && !d.sentAt.After(now) })
}

// markRead counts the prompt of a dispatch as read.
func (a *account) markRead(d *dispatch, now time.Time) {
	if d.isRead {
		return
	}
	a.removeUnread(d, now)
	d.isRead = true
	a.recordRead(d.tokens, now)
}

// recordRead keeps what was read as long as it matters to the streams.
func (a *account) recordRead(tokens int, now time.Time) {
	gap := a.tightestGap()
	a.readAt = now
	a.reads = slices.DeleteFunc(a.reads, func(r read) bool { return now.Sub(r.at) > gap })
	if last := len(a.reads) - 1; last >= 0 && now.Sub(a.reads[last].at) < gap/readsPerGap {
		a.reads[last].tokens += tokens
		return
	}
	a.reads = append(a.reads, read{now, tokens})
}

// removeUnread removes a prompt; the next one is read from the given time on, at the earliest.
func (a *account) removeUnread(d *dispatch, now time.Time) {
	index := slices.Index(a.unread, d)
	if index < 0 {
		return
	}
	a.unread = slices.Delete(a.unread, index, index+1)
	if index == 0 && len(a.unread) > 0 {
		a.headSince = latest(a.headSince, now, a.unread[0].sentAt)
		if a.isIdle(now) {
			a.reading.begin(a.headSince)
		}
	}
}

// countGap changes the number of running requests with a bound on pauses.
func (a *account) countGap(gap time.Duration, change int) {
	if gap <= 0 {
		return
	}
	index, found := slices.BinarySearchFunc(a.gaps, gap, func(entry gapCount, gap time.Duration) int { return cmp.Compare(entry.gap, gap) })
	if !found {
		a.gaps = slices.Insert(a.gaps, index, gapCount{gap: gap})
	}
	if a.gaps[index].count += change; a.gaps[index].count == 0 {
		a.gaps = slices.Delete(a.gaps, index, index+1)
	}
}

// tightestGap returns the least bound on pauses of the running requests; zero without any.
func (a *account) tightestGap() time.Duration {
	if len(a.gaps) == 0 {
		return 0
	}
	return a.gaps[0].gap
}

// breakLength is how long a replica of a speed must read no prompt so that the pauses of streams end: at
// least until their next event.
func (a *account) breakLength(speed float64) time.Duration {
	event := time.Duration(eventTokens / speed * float64(time.Second))
	return max(event, time.Duration(breakShare*float64(a.tightestGap())))
}

// recentTokens returns the prompt tokens read within a time, if there was no break since the last.
func (a *account) recentTokens(within time.Duration, speed float64, now time.Time) (sum float64) {
	if len(a.reads) == 0 || a.isIdle(now) && now.Sub(a.readAt) >= a.breakLength(speed) {
		return 0
	}
	for _, r := range a.reads {
		if now.Sub(r.at) <= within {
			sum += float64(r.tokens)
		}
	}
	return sum
}

// isIdle reports whether no prompt is being read.
func (a *account) isIdle(now time.Time) bool {
	return len(a.unread) == 0 || a.unread[0].sentAt.After(now)
}

// burst returns the prompt tokens that the streams of the replica meet within the tightest gap until a
// request's prompt is read: those read lately and all unread ones but held ones that yield to it.
func (a *account) burst(request *Request, tokens int, speed float64, now time.Time) float64 {
	ahead := (a.idleIn(0, speed, request.Priority, now) + float64(tokens)/speed) * float64(time.Second)
	sum := a.recentTokens(a.tightestGap()-time.Duration(ahead), speed, now)
	for _, d := range a.unread {
		if !d.sentAt.After(now) || !d.yieldsTo(request, now) {
			sum += float64(d.tokens)
		}
	}
	return sum
}

// boundedSpeed returns the speed, or a lower one that a prompt shows which should have been read. A short
// prompt shows none, nor does one that may wait for a slot.
func (a *account) boundedSpeed(speed float64, now time.Time) float64 {
	if len(a.unread) == 0 || a.unread[0].tokens < pace.MinSampleTokens || a.isFull() {
		return speed
	}
	elapsed, tokens := now.Sub(latest(a.headSince, a.readAt))-overdueGrace, float64(a.unread[0].tokens)
	if elapsed <= 0 || elapsed.Seconds()*speed < overdueFactor*tokens {
		return speed
	}
	return max(tokens/elapsed.Seconds(), min(speed, pace.MinTokensPerSecond))
}

// idleIn returns when all prompts sent by a time from now will have been read, in seconds from now, except
// those less urgent than a priority: the replica reads them later.
func (a *account) idleIn(sendIn, speed float64, priority int, now time.Time) float64 {
	idle := 0.0
	for index, d := range a.unread {
		sentIn := d.sentAt.Sub(now).Seconds()
		if sentIn > max(0, sendIn) {
			break
		}
		if d.priority > priority {
			continue
		}
		tokens := float64(d.tokens)
		if index == 0 {
			tokens -= min(tokens, max(0, now.Sub(a.headSince).Seconds()*speed))
		}
		idle = max(idle, sentIn) + tokens/speed
	}
	return idle
}

// latest returns the latest of some times.
func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}
