package limiter

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// standbyTimeout is how long the standby may be silent before another daemon replaces it.
	standbyTimeout = 500 * time.Millisecond
	// preferredDelay is how long a new leader waits for the preferred standby: that of the term before it,
	// or a daemon in another zone, so that one fault does not end both.
	preferredDelay = time.Second
)

// peer is a daemon at the other end of a stream.
type peer struct{ process, address, zone string }

// appointedStandby is the leader's standby; its process is empty if there is none.
type appointedStandby struct {
	peer
	contact time.Time // its last message
}

// observe appoints the sender of a message as the standby if there is none, and records its contact if it
// is the standby. It reports whether it is.
func (s *Server) observe(sender peer, hasMarks bool, now time.Time) bool {
	if sender.process == s.standby.process {
		s.standby.contact = now
		return true
	}
	isPresent := s.standby.process != "" && now.Sub(s.standby.contact) <= standbyTimeout
	if isPresent || sender.address == "" || sender.address == s.Address || !hasMarks && !s.mayAppoint(sender, now) {
		return false
	}
	s.standby = appointedStandby{peer: sender, contact: now}
	s.Log.WithFields(logrus.Fields{logging.Address: sender.address, logging.Fence: s.fence}).Info(logging.MessageStandbyAppointed)
	return true
}

// mayAppoint reports whether a daemon without marks may become the standby. For a while a later term
// waits for the standby of the term before it, and the first term for one in another zone.
func (s *Server) mayAppoint(sender peer, now time.Time) bool {
	return now.Sub(s.termStart) >= preferredDelay || s.firstTerm && sender.zone != s.Zone
}

// answerSync answers a standby. If none is to be given, the answer is empty, so that the standby asks again. The
// caller holds the mutex.
func (s *Server) answerSync(process string, request *rpc.QuotaSyncRequest, renew bool, now time.Time) *rpc.QuotaSync {
	if !renew {
		return &rpc.QuotaSync{Id: request.GetId()}
	}
	if s.ValidFor != nil {
		s.ledger.RenewTerm(now.Add(s.ValidFor()))
	}
	return syncMessage(s.ledger.Sync(process, quota.SyncRequest{ID: request.GetId(), Acked: request.GetAcked(), TermBound: request.GetTermBound()}, now))
}

// acceptReturned applies credit that a daemon returned. A leader with an uncertain lease grants from it, but
// not beside a standby, whose marks for the next leader do not tell of it. The caller holds the mutex.
func (s *Server) acceptReturned(process string, uncertain bool, returned []quota.Credit, now time.Time) {
	switch {
	case !uncertain:
		s.ledger.Release(process, returned)
	case s.standby.process == "":
		s.ledger.AcceptReturned(process, returned, now)
	}
}

// SpendCredit implements rpc.DRPCQuotasServer.
func (s *Server) SpendCredit(_ context.Context, request *rpc.CreditSpending) (*rpc.CreditSpent, error) {
	if !validAmount(request.GetCost()) {
		s.count(outcomeMalformed, 1)
		return &rpc.CreditSpent{}, nil
	}
	if s.Spend == nil {
		return &rpc.CreditSpent{}, nil
	}
	spending := s.Spend(request.GetTenant(), request.GetCost())
	return &rpc.CreditSpent{
		Spent: spending.Spent, Left: spending.Left, AgeMs: min(spending.Age, maxWireTime).Milliseconds(),
		Exceeded: spending.Exceeded, RetryMs: spending.RetryIn.Milliseconds(),
	}, nil
}

// marksOf converts the marks that can be used, and counts the others.
func marksOf(messages []*rpc.QuotaMark) (marks []quota.Mark, malformed int) {
	for _, message := range messages {
		mark, ok := markOf(message)
		if !ok {
			malformed++
			continue
		}
		marks = append(marks, mark)
	}
	return marks, malformed
}

func markOf(message *rpc.QuotaMark) (mark quota.Mark, ok bool) {
	mark = quota.Mark{Tenant: message.GetTenant(), MaxHeld: message.GetMaxHeld(), OtherCredit: message.GetOtherCredit()}
	return mark, mark.Tenant != "" && validAmount(mark.MaxHeld) && validAmount(mark.OtherCredit)
}

func markMessage(mark quota.Mark) *rpc.QuotaMark {
	return &rpc.QuotaMark{Tenant: mark.Tenant, MaxHeld: mark.MaxHeld, OtherCredit: mark.OtherCredit}
}

// syncMessage converts the ledger's reply to a standby to its wire format.
func syncMessage(reply quota.SyncReply) *rpc.QuotaSync {
	message := &rpc.QuotaSync{Id: reply.ID, Marked: reply.Marked, TermBoundMs: reply.TermBoundFor.Milliseconds()}
	for _, share := range reply.Shares {
		converted := &rpc.QuotaShare{
			Tenant: share.Tenant, Ahead: share.Ahead, Keep: share.Keep, TermBound: share.TermBound,
			Room: share.Room.Left, MaxRoom: share.Room.Max, PerSecond: share.Room.PerSecond,
		}
		if reply.Marked {
			converted.Mark = markMessage(share.Mark)
		}
		message.Shares = append(message.Shares, converted)
	}
	return message
}

// syncOf converts a sync message from its wire format, and counts the shares that cannot be used.
func syncOf(message *rpc.QuotaSync) (reply quota.SyncReply, malformed int) {
	termBoundFor, ok := wireTime(message.GetTermBoundMs())
	if !ok || termBoundFor < 0 {
		termBoundFor, malformed = 0, 1
	}
	reply = quota.SyncReply{ID: message.GetId(), Marked: message.GetMarked(), TermBoundFor: termBoundFor}
	for _, received := range message.GetShares() {
		share, ok := shareOf(received, reply.Marked)
		if !ok {
			malformed++
			continue
		}
		reply.Shares = append(reply.Shares, share)
	}
	return reply, malformed
}

func shareOf(message *rpc.QuotaShare, marked bool) (share quota.StandbyShare, ok bool) {
	share = quota.StandbyShare{
		Tenant: message.GetTenant(), Ahead: message.GetAhead(), Keep: message.GetKeep(), TermBound: message.GetTermBound(),
		Room: quota.Room{Left: message.GetRoom(), Max: message.GetMaxRoom(), PerSecond: message.GetPerSecond()},
	}
	ok = share.Tenant != "" && validAmount(share.Ahead) && validAmount(share.Keep) && validAmount(share.TermBound) && validAmount(math.Abs(share.Room.Left)) &&
		validAmount(share.Room.Max) && validAmount(share.Room.PerSecond)
	if marked {
		var markOK bool
		share.Mark, markOK = markOf(message.GetMark())
		ok = ok && markOK
	}
	return share, ok
}

// spendingOf converts the standby's answer from its wire format. What cannot be used counts as absent; ok is
// then false.
func spendingOf(answer *rpc.CreditSpent) (spending Spending, ok bool) {
	age, ageOK := wireTime(answer.GetAgeMs())
	retryIn, retryOK := wireTime(answer.GetRetryMs())
	if !ageOK || !retryOK || !validAmount(answer.GetLeft()) {
		return Spending{Spent: answer.GetSpent()}, false
	}
	return Spending{Spent: answer.GetSpent(), Left: answer.GetLeft(), Age: age, Exceeded: answer.GetExceeded(), RetryIn: max(0, retryIn)}, true
}
