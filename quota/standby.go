package quota

import "time"

// The standby is a daemon that holds all credit of the term, so that it can be spent wherever requests
// arrive while no leader answers. It also holds a mark of each tenant, by which the next leader knows
// what this one can have granted. At most one process holds valid marks at any time.

// SyncRequest asks the leader for the credit and the marks of the standby.
type SyncRequest struct {
	ID    uint64 // unique within the daemon's process
	Acked uint64 // ID of the last reply that the standby applied; zero if none
	// TermBound means that the standby ends credit that is bound to the term; earlier versions do not.
	TermBound bool
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	ID uint64
	// Marked means that the shares contain marks; otherwise only credit.
	Marked bool
	// TermBoundFor is how long credit that is bound to the term is valid, counted from the request.
	TermBoundFor time.Duration
	Shares       []StandbyShare
}

// StandbyShare is what the standby holds of one tenant.
type StandbyShare struct {
	Tenant string
	Ahead  float64 // credit in addition
	Keep   float64 // credit in excess of Keep is to be returned
	// TermBound is the part of Keep that is bound to the term. It is spent first.
	TermBound float64
	Mark      Mark
	Room      Room
}

// Room is what a tenant's limit bears at once, including the standby's credit. It gathers at the limit's
// rate up to a maximum.
type Room struct{ Left, Max, PerSecond float64 }

// Mark bounds what a leader has granted of a tenant's limit, until it sends another one.
type Mark struct {
	Tenant string
	// MaxHeld is the most that the leader counts as used or outstanding.
	MaxHeld float64
	// OtherCredit is the part of it that daemons other than the standby may still spend.
	OtherCredit float64
}

const (
	// markStepShare is the share of the reserve that the leader may grant between two marks.
	markStepShare = 0.25
	// standbyShare is the share of a tenant's unused reserve that the standby holds as credit, and
	// minStandbyShare the share of the largest credit that it holds even if the limit is reached.
	standbyShare    = 0.65
	minStandbyShare = 0.2
)

// markTTL is how long a mark is valid, counted from the standby's request. It must exceed the time to
// replace a leader; a leader whose standby is lost keeps to its last marks for this time.
func (b Bounds) markTTL() time.Duration { return b.Window / 2 }

// standby is a process that may hold marks of this term.
type standby struct {
	validUntil time.Time
	acked      map[string]float64 // MaxHeld by tenant in the last reply that the process applied
	sent       map[string]float64 // MaxHeld by tenant in the last reply, which it may have applied
	sentID     uint64
}

// acknowledge records which reply the process has applied.
func (s *standby) acknowledge(id uint64) {
	if s.acked == nil || id == s.sentID {
		s.acked = s.sent
		return
	}
	for tenant, maxHeld := range s.acked {
		if sent, found := s.sent[tenant]; found {
			s.acked[tenant] = min(maxHeld, sent)
		}
	}
}

// maxHeld returns the lowest mark of a tenant that the process may hold.
func (s *standby) maxHeld(tenant string) float64 {
	lowest := unbounded
	for _, marks := range []map[string]float64{s.acked, s.sent} {
		if maxHeld, found := marks[tenant]; found {
			lowest = min(lowest, maxHeld)
		}
	}
	return lowest
}

// headroom returns how much the leader may grant without exceeding a mark.
func (l *Ledger) headroom(tenant string, usage *tenantUsage, now time.Time) float64 {
	lowest := unbounded
	for process, standby := range l.standbys {
		if now.Before(standby.validUntil) {
			lowest = min(lowest, standby.maxHeld(tenant))
		} else {
			delete(l.standbys, process)
		}
	}
	return lowest - l.held(usage)
}

// mayMark reports whether a process may receive marks: no other process may hold any, of this term or
// of an earlier one.
func (l *Ledger) mayMark(process string, now time.Time) bool {
	for other, standby := range l.standbys {
		if other != process && now.Before(standby.validUntil) {
			return false
		}
	}
	return l.isFirstTerm() || l.marksAdopted || now.Sub(l.startedAt) >= l.bounds.markTTL()
}

// Sync renews the credit and the marks of the standby while the leader's lease is certain. From the
// first call on, the other daemons get no credit.
func (l *Ledger) Sync(process string, request SyncRequest, now time.Time) SyncReply {
	l.lastContact[process], l.hasStandby = now, true
	reply := SyncReply{ID: request.ID, Marked: l.mayMark(process, now)}
	if reply.Marked && request.TermBound {
		reply.TermBoundFor = max(0, l.termBoundTTL(now))
	}
	if holder := l.standbys[process]; holder != nil {
		holder.acknowledge(request.Acked)
	}
	sent := map[string]float64{}
	for tenant, usage := range l.tenants {
		if usage.limit.Unlimited() {
			continue
		}
		l.refresh(usage, now)
		share := l.renewStandby(process, tenant, usage, reply.TermBoundFor > 0, now)
		if reply.Marked {
			share.Mark = l.mark(process, tenant, usage)
			sent[tenant] = share.Mark.MaxHeld
		}
		reply.Shares = append(reply.Shares, share)
	}
	if reply.Marked {
		if l.standbys[process] == nil {
			l.standbys[process] = &standby{}
		}
		holder := l.standbys[process]
		holder.sent, holder.sentID, holder.validUntil = sent, request.ID, now.Add(l.bounds.markTTL())
	}
	return reply
}

// mark returns the next mark of a tenant.
func (l *Ledger) mark(process, tenant string, usage *tenantUsage) Mark {
	held := l.held(usage)
	otherCredit := held - usage.bucket.deficit
	if credit := usage.outstandingCredit[process]; credit != nil {
		otherCredit -= credit.amount
	}
	return Mark{Tenant: tenant, MaxHeld: held + l.markStep(usage), OtherCredit: max(0, otherCredit)} // of sums that may be inexact
}

// markStep returns what the leader may grant between two marks.
func (l *Ledger) markStep(usage *tenantUsage) float64 {
	return max(markStepShare*usage.budget.reserve, l.bounds.overdraft())
}

// renewStandby extends the expiry of the standby's credit and adjusts its amount to what the tenant's
// bursts leave. The credit of all daemons that outlives the term never exceeds the most that a next leader expects.
func (l *Ledger) renewStandby(process, tenant string, usage *tenantUsage, withTermBound bool, now time.Time) StandbyShare {
	credit := usage.outstandingCredit[process]
	switch {
	case credit == nil:
		credit = &outstandingCredit{usage: rate{timeConstant: daemonTimeConstant}, since: now}
		usage.outstandingCredit[process] = credit
	case !now.Before(credit.expiresAt):
		return StandbyShare{Tenant: tenant} // expired but not settled
	}
	credit.expiresAt = now.Add(l.bounds.creditTTL())
	room := usage.budget.reserve - l.held(usage) + credit.amount
	others := l.held(usage) - usage.bucket.deficit - credit.amount
	lasting := max(0, usage.budget.standbyCredit-others, l.laterCredit(usage, now))
	largest := lasting
	if withTermBound {
		largest += usage.budget.termBound
	}
	share := StandbyShare{Tenant: tenant, Room: Room{Left: room, Max: usage.budget.reserve, PerSecond: usage.limit.PerSecond}, Keep: max(0, min(largest, max(standbyShare*room, usage.minStandbyCredit())))}
	share.TermBound = max(0, share.Keep-lasting)
	extra := min(share.Keep-credit.amount, l.available(usage), usage.budget.maxUse-usage.granted.sum-l.outstanding(usage, now))
	if extra = min(extra, l.unreserved(tenant, usage, now)); extra > 0 && extra <= l.headroom(tenant, usage, now) {
		share.Ahead = extra
		credit.amount += extra
		usage.creditTotal += extra
	}
	return share
}

// laterCredit returns how much credit this term may grant while that of earlier ones may be outstanding.
func (l *Ledger) laterCredit(usage *tenantUsage, now time.Time) float64 {
	return usage.budget.laterCredit * min(1, now.Sub(l.startedAt).Seconds()/l.bounds.creditTTL().Seconds())
}

// minStandbyCredit is the credit that the standby keeps for the loss of the leader.
func (u *tenantUsage) minStandbyCredit() float64 { return minStandbyShare * u.budget.standbyCredit }

// standbyHas reports whether a request that the leader refuses may be admitted from the standby's credit.
func (u *tenantUsage) standbyHas(cost float64) bool {
	return u.creditTotal-cost >= u.minStandbyCredit()
}

// Join records what a process reports in the first message of a stream: credit that it has spent, and
// that it still holds.
func (l *Ledger) Join(process string, used map[string]float64, credits []Credit, now time.Time) {
	for tenant, amount := range used {
		l.RecordUsage(process, tenant, amount, now)
	}
	l.Adopt(process, credits, now)
	if l.isFirstTerm() || l.joinedUsage[process] != nil {
		return
	}
	l.joinedUsage[process] = used
}

// AdoptMarks replaces the most that earlier leaders can have granted by what the marks of their standby
// tell. The process has joined before, and has dropped the marks.
func (l *Ledger) AdoptMarks(process string, marks []Mark, now time.Time) {
	if l.isFirstTerm() || !now.Before(l.inheritedUntil) {
		return
	}
	for _, mark := range marks {
		if usage := l.tenants[mark.Tenant]; usage != nil && usage.assumedHeld > 0 {
			l.refresh(usage, now)
			l.adoptMark(usage, mark, usage.outstandingCredit[process], l.joinedUsage[process][mark.Tenant])
			l.marksAdopted = true
		}
	}
}

// adoptMark adopts the mark of one tenant; credit is what the standby still holds, and used what it
// reported as spent when it joined, which the mark includes.
func (l *Ledger) adoptMark(usage *tenantUsage, mark Mark, credit *outstandingCredit, used float64) {
	held, outstanding := min(mark.MaxHeld, usage.assumedHeld+l.bounds.overdraft()), mark.OtherCredit
	if credit != nil {
		outstanding += credit.inherited
	}
	outstanding = min(held, outstanding)
	surplus := usage.assumedDeficit + used - (held - outstanding)
	// A bucket that was full meanwhile has lost what it would have gathered.
	usage.bucket.deficit -= min(surplus, usage.bucket.lowest)
	usage.bucket.lowest = max(0, usage.bucket.lowest-surplus)
	usage.unknownCredit, usage.unknownTermBound, usage.assumedHeld = outstanding, 0, 0
}
