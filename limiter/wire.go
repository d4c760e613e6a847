package limiter

import (
	"time"

	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// maxAmount bounds costs and credit on the wire, in units of a limit. No tenant uses that much.
	maxAmount = 1e12
	// maxWireTime bounds times on the wire.
	maxWireTime = time.Hour
	// maxRouteName bounds the length of a route's name in a claim, in bytes.
	maxRouteName = 256
)

// validAmount reports whether an amount can be used. It refuses NaN too.
func validAmount(amount float64) bool { return amount >= 0 && amount <= maxAmount }

// wireTime returns a time on the wire; ok is false if it is out of bounds.
func wireTime(milliseconds int64) (converted time.Duration, ok bool) {
	if milliseconds < -maxWireTime.Milliseconds() || milliseconds > maxWireTime.Milliseconds() {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// wireMs returns a time as it is sent. One that is out of bounds is sent as the bound.
func wireMs(duration time.Duration) int64 {
	return min(max(duration, -maxWireTime), maxWireTime).Milliseconds()
}

// retryMs returns when a refused request should return. A reservation's time is rounded up, so that it is due
// then.
func retryMs(answer quota.Answer) int64 {
	if answer.Reserved {
		return (answer.RetryIn + time.Millisecond - 1).Milliseconds()
	}
	return answer.RetryIn.Milliseconds()
}

// claimMessage converts a claim to its wire format; nil without one.
func claimMessage(claim *quota.Claim) *rpc.QuotaClaim {
	if claim == nil {
		return nil
	}
	return &rpc.QuotaClaim{
		Fingerprint: claim.Fingerprint[:], Route: claim.Class, Priority: int32(claim.Priority),
		ObjectiveMs: wireMs(claim.ObjectiveLeft), PatienceMs: wireMs(claim.Patience),
	}
}

// claimOf converts a claim from its wire format; ok is false if it cannot be used.
func claimOf(message *rpc.QuotaClaim) (claim *quota.Claim, ok bool) {
	objective, objectiveOK := wireTime(message.GetObjectiveMs())
	patience, patienceOK := wireTime(message.GetPatienceMs())
	if len(message.GetFingerprint()) != quota.FingerprintBytes || !objectiveOK || !patienceOK || len(message.GetRoute()) > maxRouteName {
		return nil, false
	}
	return &quota.Claim{
		Fingerprint: quota.Fingerprint(message.GetFingerprint()), Class: message.GetRoute(), Priority: int(message.GetPriority()),
		ObjectiveLeft: objective, Patience: patience,
	}, true
}

// reservationMessages converts reservations to their wire format.
func reservationMessages(reservations []quota.Reservation) []*rpc.QuotaReservation {
	messages := make([]*rpc.QuotaReservation, 0, len(reservations))
	for _, reservation := range reservations {
		messages = append(messages, &rpc.QuotaReservation{
			Tenant: reservation.Tenant, Fingerprint: reservation.Fingerprint[:], Cost: reservation.Cost, InMs: reservation.In.Milliseconds(),
		})
	}
	return messages
}

// reservationsOf converts the reservations that can be used, and counts the others.
func reservationsOf(messages []*rpc.QuotaReservation) (reservations []quota.Reservation, malformed int) {
	for _, message := range messages {
		in, ok := wireTime(message.GetInMs())
		if !ok || message.GetTenant() == "" || len(message.GetFingerprint()) != quota.FingerprintBytes || !validAmount(message.GetCost()) {
			malformed++
			continue
		}
		reservations = append(reservations, quota.Reservation{
			Tenant: message.GetTenant(), Fingerprint: quota.Fingerprint(message.GetFingerprint()), Cost: message.GetCost(), In: in,
		})
	}
	return reservations, malformed
}

// creditsOf converts the credit that can be used, and counts the rest.
func creditsOf(messages []*rpc.QuotaCredit) (credits []quota.Credit, malformed int) {
	credits = make([]quota.Credit, 0, len(messages))
	for _, credit := range messages {
		ttl, ok := wireTime(credit.GetForMs())
		if !ok || credit.GetTenant() == "" || !validAmount(credit.GetLeft()) {
			malformed++
			continue
		}
		credits = append(credits, quota.Credit{Tenant: credit.GetTenant(), Left: credit.GetLeft(), TTL: ttl})
	}
	return credits, malformed
}

// answerOf converts an answer from its wire format. What cannot be used counts as absent; ok is then
// false.
func answerOf(result *rpc.QuotaAnswer) (answer quota.Answer, ok bool) {
	retryIn, retryOK := wireTime(result.GetRetryMs())
	answer = quota.Answer{
		ID: result.GetId(), Granted: result.GetGranted(), Unknown: result.GetUnknown(), RetryIn: max(0, retryIn),
		Slot: result.GetSlot(), Renewed: result.GetRenewed(), Ahead: result.GetAhead(), Unsettled: result.GetUnsettled(),
		Reserved: result.GetReserved() && retryOK, Redeemed: result.GetRedeemed(),
	}
	if !validAmount(answer.Ahead) {
		answer.Ahead, answer.Renewed = 0, false
		return answer, false
	}
	return answer, retryOK
}
