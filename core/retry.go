package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
)

// Outcomes of a request for a retry, used in log fields and metrics.
const (
	retryFree    = "free"
	retryAllowed = "allowed"
	retryRefused = "refused"
)

// retryPayment describes how a retry was paid for.
type retryPayment struct {
	outcome string  // empty if no retry was possible
	credit  float64 // retries left in the budget afterwards
}

// payRetry decides whether the retry budget allows to retry a call after a dispatch. A retry is free if no
// replica received the request.
func (c *Core) payRetry(state *callState, outcome dispatchOutcome) bool {
	if outcome.result == NotWritten {
		state.payment.outcome = retryFree
		c.Metrics.retries.WithLabelValues(state.Service.Name, retryFree).Inc()
		return true
	}
	budget := c.budget(state.Service.Name)
	allowed := budget.Withdraw()
	state.payment = retryPayment{outcome: map[bool]string{true: retryAllowed, false: retryRefused}[allowed], credit: budget.Credit()}
	c.Metrics.retries.WithLabelValues(state.Service.Name, state.payment.outcome).Inc()
	return allowed
}

// paymentFields describes the payment of a call's retry, and what the budget's size depends on.
func (c *Core) paymentFields(payment retryPayment) logrus.Fields {
	if payment.outcome == "" {
		return nil
	}
	return logrus.Fields{
		logging.Payment: payment.outcome, logging.RetryCredit: payment.credit, logging.Daemons: c.DaemonCount(),
		logging.ProcessAgeMs: time.Since(c.startedAt).Milliseconds(),
	}
}
