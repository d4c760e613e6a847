package limiter

import (
	"encoding/hex"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/routing"
)

// Outcomes of requests that compete for their tenant's limit, and of reservations, in log lines and metrics.
const (
	outcomeReserved   = "reserved"    // refused, with a reservation
	outcomeRefused    = "refused"     // refused without one
	outcomeRedeemed   = "redeemed"    // returned and was granted what was reserved
	outcomeLapsed     = "lapsed"      // the request did not return in time
	outcomeAdopted    = "adopted"     // taken over from an earlier leader
	outcomeNotAdopted = "not_adopted" // could not be taken over
	outcomeMalformed  = "malformed"   // part of a message that could not be used
)

// minReservedRetryAfter keeps a reservation's time from being sent as none.
const minReservedRetryAfter = 10 * time.Millisecond

// Outcomes lists the values that CountReservation is called with.
func Outcomes() []string {
	return []string{outcomeReserved, outcomeRefused, outcomeRedeemed, outcomeLapsed, outcomeAdopted, outcomeNotAdopted, outcomeMalformed}
}

// recordDecision remembers, logs and counts the leader's decision on a request that competes.
func (c *Client) recordDecision(tenant *routing.Tenant, cost float64, bid *core.Bid, answer leaderAnswer) {
	if bid == nil || answer.Granted && !answer.Redeemed {
		return
	}
	now := c.Now()
	outcome := outcomeRefused
	c.mutex.Lock()
	switch {
	case answer.Granted:
		outcome = outcomeRedeemed
		c.told.Forget(tenant.Name, bid.Fingerprint)
	case answer.Reserved:
		outcome = outcomeReserved
		c.told.Remember(quota.Reservation{Tenant: tenant.Name, Fingerprint: bid.Fingerprint, Cost: cost, In: answer.RetryIn}, now)
	}
	written, leftOut := c.lines.admit(tenant.Name, outcome, now)
	c.mutex.Unlock()
	c.count(outcome, 1)
	if !written {
		return
	}
	fields := logrus.Fields{
		logging.RequestID: bid.RequestID, logging.Fingerprint: hex.EncodeToString(bid.Fingerprint[:]), logging.Tenant: tenant.Name, logging.Cost: cost, logging.Outcome: outcome, logging.Priority: bid.Priority,
		logging.Route: bid.Class, logging.RetryAfterMs: answer.RetryIn.Milliseconds(), logging.PatienceMs: bid.Patience.Milliseconds(),
		logging.AgeMs: now.Sub(answer.requested).Milliseconds(),
	}
	if leftOut > 0 {
		fields[logging.Suppressed] = leftOut
	}
	c.Log.WithFields(fields).Info(logging.MessageLimitReached)
}

// retryAfter returns when a refused request should return: when it has a reservation, or when there is room.
func retryAfter(answer leaderAnswer, bid *core.Bid) time.Duration {
	if bid != nil && answer.Reserved {
		return max(minReservedRetryAfter, answer.RetryIn)
	}
	return max(minRetryAfter, answer.RetryIn)
}

func (c *Client) count(outcome string, number int) {
	if c.CountReservation != nil && number > 0 {
		c.CountReservation(outcome, number)
	}
}

// adopt takes over the reservations that a daemon names in its first message; the caller holds the mutex.
func (s *Server) adopt(process string, named []quota.Reservation, now time.Time) {
	if len(named) == 0 {
		return
	}
	adopted := s.ledger.AdoptReservations(named, now)
	s.count(outcomeAdopted, adopted)
	s.count(outcomeNotAdopted, len(named)-adopted)
	s.Log.WithFields(logrus.Fields{
		logging.Daemon: process, logging.Fence: s.fence, logging.Reservations: len(named), logging.Adopted: adopted,
	}).Info(logging.MessageReservationsAdopted)
}

// recordLapses logs and counts reservations that were not used. The caller does not hold the mutex, since a line
// may take long to write.
func (s *Server) recordLapses(lapses []quota.Lapse) {
	for _, lapse := range lapses {
		s.count(outcomeLapsed, 1)
		s.Log.WithFields(logrus.Fields{
			logging.Fingerprint: hex.EncodeToString(lapse.Fingerprint[:]), logging.Tenant: lapse.Tenant, logging.Cost: lapse.Cost, logging.Outcome: outcomeLapsed, logging.AgeMs: lapse.Late.Milliseconds(),
		}).Info(logging.MessageReservationLapsed)
	}
}

func (s *Server) count(outcome string, number int) {
	if s.CountReservation != nil && number > 0 {
		s.CountReservation(outcome, number)
	}
}
