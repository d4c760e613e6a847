package quota

import "time"

// standbyAccount is what a daemon holds as the leader's standby, beside credit.
type standbyAccount struct {
	pendingID uint64 // of the sync without a reply; zero if none
	sent      time.Time
	applied   uint64 // ID of the last reply applied on this connection
	marks     []Mark
	fence     int64     // term of the leader that sent the marks
	expiresAt time.Time // of the marks
	termUntil time.Time // end of the credit that is bound to the leader's term
}

// Syncing reports whether a sync has no reply yet.
func (a *Account) Syncing() bool { return a.standby.pendingID != 0 }

// Sync returns the next sync request and keeps it as pending.
func (a *Account) Sync(now time.Time) SyncRequest {
	a.lastID++
	a.standby.pendingID, a.standby.sent = a.lastID, now
	return SyncRequest{ID: a.lastID, Acked: a.standby.applied, TermBound: true}
}

// ApplySync applies a reply of the leader with a fence, and returns the credit that it asks back. Expiries are computed from
// when the request was sent, since the reply may be delayed.
func (a *Account) ApplySync(reply SyncReply, fence int64, now time.Time) (returned []Credit) {
	if reply.ID == 0 || reply.ID != a.standby.pendingID {
		return nil
	}
	a.standby.pendingID, a.standby.applied = 0, reply.ID
	if reply.Marked {
		a.standby.marks, a.standby.fence, a.standby.expiresAt = nil, fence, a.standby.sent.Add(a.bounds.markTTL())
	}
	a.standby.termUntil = a.standby.sent.Add(reply.TermBoundFor)
	expiresAt := a.standby.sent.Add(a.bounds.creditTTL())
	for _, share := range reply.Shares {
		a.renew(share.Tenant, share.Ahead, expiresAt, now)
		a.credits[share.Tenant].room, a.credits[share.Tenant].spent = share.Room, 0
		if reply.Marked {
			a.standby.marks = append(a.standby.marks, share.Mark)
		}
		balance := a.credits[share.Tenant]
		surplus := balance.takeDropped()
		if balance.left > share.Keep && now.Before(balance.expiresAt) {
			surplus += balance.left - share.Keep
			balance.left = share.Keep
		}
		balance.setLasting(share.Keep - share.TermBound)
		if surplus > 0 {
			returned = append(returned, Credit{Tenant: share.Tenant, Left: surplus, TTL: balance.expiresAt.Sub(now)})
		}
	}
	return returned
}

// TakeMarks removes and returns the valid marks of an earlier leader, to report them to the leader with a
// fence. Only one leader may learn them.
func (a *Account) TakeMarks(fence int64, now time.Time) []Mark {
	if a.standby.fence == fence {
		return nil
	}
	marks := a.standby.marks
	if !now.Before(a.standby.expiresAt) {
		marks = nil
	}
	a.standby.marks = nil
	return marks
}

// Exceeds reports whether a request without credit exceeds the limit itself, as far as the standby knows,
// and when the limit should have room. Requests that are refused together get consecutive times.
func (a *Account) Exceeds(tenant string, cost float64, now time.Time) (retryIn time.Duration, exceeds bool) {
	balance := a.credits[tenant]
	if balance == nil || balance.room.PerSecond <= 0 {
		return 0, false
	}
	room := min(balance.room.Max, balance.room.Left+balance.room.PerSecond*now.Sub(balance.renewedAt).Seconds()) - balance.spent
	if room >= cost {
		return 0, false
	}
	seconds := func(tokens float64) time.Duration {
		return time.Duration(tokens / balance.room.PerSecond * float64(time.Second))
	}
	at := now.Add(seconds(cost - room))
	if balance.retryAt.After(at) {
		at = balance.retryAt
	}
	if latest := now.Add(maxRetryIn); at.After(latest) {
		at = latest
	}
	balance.retryAt = at.Add(seconds(cost))
	return at.Sub(now), true
}
