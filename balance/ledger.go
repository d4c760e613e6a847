package balance

import (
	"time"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/pace"
)

const (
	// DetachedLife is how long the dispatches of a process without a connection are kept.
	DetachedLife = 10 * time.Second
	// unreadLife is the age at which a prompt counts as read although no first byte was reported.
	unreadLife = time.Minute
	// runningLife is the age at which a dispatch that did not end is dropped.
	runningLife = 30 * time.Minute
	// initialRunTime is assumed until a dispatch of the service has ended; runTimeWeight is the weight of
	// the latest one in the moving average, which is kept for runTimeLife.
	initialRunTime = 2 * time.Second
	runTimeWeight  = 0.05
	runTimeLife    = 15 * time.Minute
)

// Ledger is the joint account of the dispatches of all daemons. It is not safe for concurrent use.
type Ledger struct {
	speeds     *pace.Speeds
	accounts   map[fleet.Incarnation]*account // of replicas with running dispatches
	dispatches map[DispatchID]*dispatch
	processes  map[string]map[uint64]*dispatch // the same dispatches
	runTimes   map[string]runTime              // by service
}

// runTime is the moving average of the time from sending to the end of dispatches.
type runTime struct {
	mean time.Duration
	at   time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{speeds: pace.NewSpeeds(), accounts: map[fleet.Incarnation]*account{}, dispatches: map[DispatchID]*dispatch{},
		processes: map[string]map[uint64]*dispatch{}, runTimes: map[string]runTime{}}
}

// Assign chooses a replica for a request and charges it; ok is false without candidates. A charge of the
// same dispatch is replaced.
func (l *Ledger) Assign(request Request, now time.Time) (assignment Assignment, ok bool) {
	l.remove(l.dispatches[request.ID], now)
	l.recordSlots(request.Candidates)
	planTransfers(&request)
	best := l.choose(&request, now)
	if best.candidate == nil {
		return Assignment{}, false
	}
	delay := time.Duration(best.delay * float64(time.Second))
	l.charge(&request, best.candidate, delay, now)
	return Assignment{Replica: best.candidate.Replica, Delay: delay, ExpectedFirstByte: time.Duration(best.firstByte * float64(time.Second)),
		TokensPerSecond: best.speed, Reason: best.reason(), Transfer: best.candidate.transfer}, true
}

// Begin charges a replica for a dispatch that a daemon sent by its own choice. A charge of the same
// dispatch is replaced.
func (l *Ledger) Begin(request Request, replica fleet.Incarnation, now time.Time) {
	l.remove(l.dispatches[request.ID], now)
	chosen := Candidate{Replica: replica}
	for _, candidate := range request.Candidates {
		if candidate.Replica == replica {
			chosen = candidate
		}
	}
	l.charge(&request, &chosen, 0, now)
}

// charge adds a dispatch that is sent after a delay.
func (l *Ledger) charge(request *Request, candidate *Candidate, delay time.Duration, now time.Time) {
	d := &dispatch{id: request.ID, service: request.Service, sentAt: now.Add(delay), tokens: uncached(request, candidate), maxGap: request.MaxGap,
		hasTransfer: candidate.transfer.Tokens > 0, priority: request.Priority, dueAt: now.Add(request.Slack), forgetAt: now.Add(runningLife)}
	d.account = l.account(candidate.Replica)
	if candidate.Slots > 0 {
		d.account.slots = candidate.Slots
	}
	l.add(d)
	if d.account.isFull() {
		d.account.reading.spoil()
	}
}

// recordSlots records the slots of replicas with work, for requests of daemons that do not know them.
func (l *Ledger) recordSlots(candidates []Candidate) {
	for _, candidate := range candidates {
		if known := l.accounts[candidate.Replica]; known != nil && candidate.Slots > 0 {
			known.slots = candidate.Slots
		}
	}
}

// add enters a dispatch, whose account is set.
func (l *Ledger) add(d *dispatch) {
	l.dispatches[d.id] = d
	ofProcess := l.processes[d.id.Process]
	if ofProcess == nil {
		ofProcess = map[uint64]*dispatch{}
		l.processes[d.id.Process] = ofProcess
	}
	ofProcess[d.id.Number] = d
	d.account.add(d)
}

// remove takes a dispatch, which may be nil, out of all accounts.
func (l *Ledger) remove(d *dispatch, now time.Time) {
	if d == nil {
		return
	}
	delete(l.dispatches, d.id)
	delete(l.processes[d.id.Process], d.id.Number)
	if len(l.processes[d.id.Process]) == 0 {
		delete(l.processes, d.id.Process)
	}
	d.account.remove(d, now)
	if d.account.running == 0 {
		delete(l.accounts, d.account.replica)
	}
}

// account returns the account of a replica.
func (l *Ledger) account(replica fleet.Incarnation) *account {
	if known := l.accounts[replica]; known != nil {
		return known
	}
	added := &account{replica: replica}
	l.accounts[replica] = added
	return added
}

// RecordFirstByte records that a replica has read the prompt of a dispatch, by the first byte of its output.
// An error of the replica only ends the dispatch.
func (l *Ledger) RecordFirstByte(id DispatchID, sentToFirstByte time.Duration, now time.Time) {
	d := l.dispatches[id]
	if d == nil || d.isRead {
		return
	}
	if sample, ok := d.account.recordFirstByte(d, sentToFirstByte, now); ok {
		l.speeds.Observe(d.account.replica, d.service, sample, now)
	}
}

// End removes a dispatch.
func (l *Ledger) End(id DispatchID, now time.Time) {
	d := l.dispatches[id]
	if d == nil {
		return
	}
	if d.isRead {
		l.recordRunTime(d.service, max(0, now.Sub(d.sentAt)), now)
	}
	l.remove(d, now)
}

// runTime returns how long dispatches of a service run.
func (l *Ledger) runTime(service string) time.Duration {
	if known, ok := l.runTimes[service]; ok {
		return known.mean
	}
	return initialRunTime
}

func (l *Ledger) recordRunTime(service string, took time.Duration, now time.Time) {
	mean := l.runTime(service)
	mean += time.Duration(runTimeWeight * float64(took-mean))
	l.runTimes[service] = runTime{mean, now}
}

// Adopt replaces all that is known of a process's dispatches.
func (l *Ledger) Adopt(process string, running []Running, now time.Time) {
	for _, d := range l.processes[process] {
		l.remove(d, now)
	}
	for _, r := range running {
		d := &dispatch{id: DispatchID{process, r.Number}, service: r.Service, sentAt: now.Add(-max(0, r.Age)), tokens: max(0, r.PromptTokens),
			isRead: r.Read, maxGap: r.MaxGap, priority: r.Priority, forgetAt: now.Add(runningLife)}
		l.remove(l.dispatches[d.id], now)
		d.account = l.account(r.Replica)
		d.account.readAt = now // other prompts may have been read until now
		l.add(d)
		d.account.reading.spoil() // other daemons' prompts may be unknown still
	}
}

// Detach records that the connection to a process is lost. Its dispatches are kept for DetachedLife; their
// prompts count as read, since nobody will report that.
func (l *Ledger) Detach(process string, now time.Time) {
	for _, d := range l.processes[process] {
		d.account.reading.spoil()
		d.account.markRead(d, now)
		d.forgetAt = earliest(d.forgetAt, now.Add(DetachedLife))
	}
}

// Estimates returns the speeds of all replicas with answers.
func (l *Ledger) Estimates(now time.Time) []Estimate { return l.speeds.Estimates(now) }

// AdoptEstimates merges speeds that another process reports.
func (l *Ledger) AdoptEstimates(estimates []Estimate, now time.Time) { l.speeds.Adopt(estimates, now) }

// Expire removes dispatches that should have ended long ago and what is known of replicas without answers.
// It takes time in proportion to all that is known; once a second suffices.
func (l *Ledger) Expire(now time.Time) {
	for _, d := range l.dispatches {
		if now.After(d.forgetAt) {
			l.remove(d, now)
		} else if !d.isRead && now.Sub(d.sentAt) > unreadLife {
			d.account.reading.spoil()
			d.account.markRead(d, now)
		}
	}
	for service, known := range l.runTimes {
		if now.Sub(known.at) > runTimeLife {
			delete(l.runTimes, service)
		}
	}
	l.speeds.Expire(now)
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
