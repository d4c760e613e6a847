package quota

import "time"

// decide decides on a request of a tenant with a limit. Without reservations and claims, requests are
// granted in the order in which they come.
func (l *Ledger) decide(usage *tenantUsage, request Request, now time.Time) decision {
	usage.competition.expire(now)
	room := l.room(request.Tenant, usage, now)
	var decided decision
	switch {
	case request.Claim != nil:
		room.releases = usage.granted.releases(l.bounds.Window)
		decided = usage.competition.decide(request, room)
		if !decided.granted && !decided.reserved {
			// Without a reservation, those who are refused together must not return together.
			decided.retryIn = max(decided.retryIn, usage.nextRetry(-room.available, request.Cost, now))
		}
	case usage.competition.admits(request.Cost, room):
		decided.granted = true
	default:
		decided.retryIn = usage.nextRetry(-room.available, request.Cost, now)
	}
	decided.unsettled = !decided.held && (room.headroom < request.Cost || usage.standbyHas(request.Cost))
	return decided
}

// room returns what is known of a tenant's limit. Without reservations it leaves out the releases, which are
// then needed for claims only.
func (l *Ledger) room(tenant string, usage *tenantUsage, now time.Time) room {
	found := room{forecast: l.forecast(usage, now), headroom: l.headroom(tenant, usage, now)}
	found.mostAtOnce = min(found.available+l.overdraft(now), found.headroom)
	if l.hasStandby {
		found.largest = l.markStep(usage)
		found.atStandby = usage.creditTotal - usage.minStandbyCredit()
	}
	if len(usage.competition.line.entries) > 0 {
		found.releases = usage.granted.releases(l.bounds.Window)
	}
	return found
}

// unreserved returns how much credit may be granted beside the reservations.
func (l *Ledger) unreserved(tenant string, usage *tenantUsage, now time.Time) float64 {
	competition := &usage.competition
	competition.expire(now)
	if len(competition.line.entries) == 0 {
		return unbounded
	}
	return max(0, competition.line.slack(l.room(tenant, usage, now).forecast)[0])
}

// HasHeardFrom reports whether a daemon has sent a message in this term.
func (l *Ledger) HasHeardFrom(daemon string) bool {
	_, heard := l.lastContact[daemon]
	return heard
}

// AdoptReservations takes over reservations that an earlier leader gave, as far as they can be kept. It
// returns how many it took.
func (l *Ledger) AdoptReservations(reservations []Reservation, now time.Time) (adopted int) {
	for _, named := range reservations {
		usage := l.tenants[named.Tenant]
		if usage == nil || usage.limit.Unlimited() || named.In < -ReturnGrace || named.In > maxRetryIn {
			continue
		}
		competition := &usage.competition
		competition.expire(now)
		if len(competition.line.entries) >= MaxReservations || competition.line.find(named.Fingerprint) >= 0 {
			continue
		}
		usage.bucket.refill(usage.limit.PerSecond, now)
		room := l.room(named.Tenant, usage, now)
		room.releases = usage.granted.releases(l.bounds.Window)
		due := now.Add(named.In)
		kept, found := competition.line.earliest(room.forecast, named.Cost, 1, later(now, due), due.Add(ReturnGrace))
		if !found {
			continue
		}
		competition.line.insert(reservation{fingerprint: named.Fingerprint, cost: named.Cost, due: kept})
		adopted++
	}
	return adopted
}

// Lapse is a reservation that nobody used in time.
type Lapse struct {
	Tenant      string
	Fingerprint Fingerprint
	Cost        float64
	Late        time.Duration // since it was due; zero if it was not due yet
}

// TakeLapsed returns the reservations that have lapsed since the last call.
func (l *Ledger) TakeLapsed(now time.Time) []Lapse {
	var lapses []Lapse
	for name, usage := range l.tenants {
		usage.competition.expire(now)
		for _, lapsed := range usage.competition.lapsed {
			lapses = append(lapses, Lapse{Tenant: name, Fingerprint: lapsed.fingerprint, Cost: lapsed.cost, Late: max(0, now.Sub(lapsed.due))})
		}
		usage.competition.lapsed = nil
	}
	return lapses
}
