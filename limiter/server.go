// Package limiter keeps tenants within their limits, and requests to replicas within those that the
// replicas name, over all daemons: the holder of load orders answers for each request whether it is
// within its tenant's limit, or whether the replica has a turn for it, and daemons ask it. What is
// decided is in packages quota and permit.
package limiter

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
)

// Server answers daemons while this one holds the term. It implements
// rpc.DRPCQuotasServer.
type Server struct {
	Bounds quota.Bounds
	Table  *routing.Store
	// Term returns the fence of this daemon's term, and how sure it is.
	Term func() (fence int64, standing election.TermStatus)
	// First tells that no daemon can have held the term before.
	IsFirstTerm func() bool
	// Now is the clock of credit and limits; nil: time.Now.
	Now func() time.Time
	// Reached returns the share of all daemons that reach this one, as the holder of load orders; nil: all.
	Reached func() float64
	// LimitOf returns the limit of a replica, as far as this daemon knows; zero: none. nil: it knows none.
	LimitOf func(replica string) float64
	Log     logrus.FieldLogger

	mutex   sync.Mutex
	ledger  *quota.Ledger
	book    *permit.Pacer
	fence   int64 // of the term that the ledger belongs to
	version int64 // of the table that its limits are from
}

// errNotHolding ends the streams of daemons that must ask another one.
var errNotHolding = errors.New("this daemon does not hold the term; ask the holder of load orders")

// Borrow implements rpc.DRPCQuotasServer.
func (s *Server) Borrow(stream rpc.DRPCQuotas_BorrowStream) error {
	fence, process := int64(0), ""
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if process == "" {
			process = message.GetProcess()
		}
		answers, err := s.take(process, fence, message, s.now())
		if err != nil {
			return err
		}
		fence = answers.GetFence()
		if err := stream.Send(answers); err != nil {
			return err
		}
	}
}

func (s *Server) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}

// take takes in a message of a process and answers its questions; fence is that of the term
// in which the stream began, zero for its first message.
func (s *Server) take(process string, fence int64, message *rpc.QuotaQuestions, now time.Time) (*rpc.QuotaAnswers, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// The lease is looked at under the mutex, so that nothing is granted after a pause in
	// which it ran out.
	term, standing := s.Term()
	unsure := standing == election.TermStoreUnreachable || standing == election.TermUncertain
	if term == 0 || fence != 0 && fence != term || unsure && term != s.fence {
		return nil, errNotHolding
	}
	if !unsure {
		s.refresh(term, now)
	}
	for _, used := range message.GetUsed() {
		s.ledger.RecordUsage(process, used.GetTenant(), used.GetCost(), now)
	}
	s.ledger.RecordContact(process, now)
	if fence == 0 {
		s.ledger.Adopt(process, creditsOf(message.GetCredits()), now)
	}
	s.ledger.AcceptReturned(process, creditsOf(message.GetReturned()), now)
	for _, refund := range message.GetRefunds() {
		if replica := refund.GetReplica(); replica != nil {
			s.book.Return(replica.Incarnation())
			continue
		}
		s.ledger.Return(quota.Refund{Tenant: refund.GetTenant(), Cost: refund.GetCost(), Slot: refund.GetSlot()})
	}
	answer := s.ledger.Answer
	if unsure {
		answer = s.ledger.AnswerUncertain
	}
	answers := &rpc.QuotaAnswers{Fence: term, CallIn: unsure}
	for _, question := range message.GetQuestions() {
		if asked := question.GetPermit(); asked != nil {
			answers.Answers = append(answers.Answers, s.answerPermit(question.GetId(), asked, standing, now))
			continue
		}
		answer := answer(process, quota.Request{ID: question.GetId(), Tenant: question.GetTenant(), Cost: question.GetCost()}, now)
		answers.Answers = append(answers.Answers, &rpc.QuotaAnswer{
			Id: answer.ID, Granted: answer.Granted, Unknown: answer.Unknown, RetryMs: answer.RetryIn.Milliseconds(), Slot: answer.Slot,
			Renewed: answer.Renewed, Ahead: answer.Ahead, Unsettled: answer.Unsettled,
		})
	}
	return answers, nil
}

func creditsOf(told []*rpc.QuotaCredit) []quota.Credit {
	credits := make([]quota.Credit, 0, len(told))
	for _, credit := range told {
		credits = append(credits, quota.Credit{Tenant: credit.GetTenant(), Left: credit.GetLeft(), TTL: time.Duration(credit.GetForMs()) * time.Millisecond})
	}
	return credits
}

// refresh makes the ledger that of the present term and table; the mutex is held.
func (s *Server) refresh(term int64, now time.Time) {
	if s.ledger == nil || term != s.fence {
		first := s.ledger == nil && s.IsFirstTerm()
		s.ledger, s.fence, s.version = quota.NewLedger(s.Bounds, first, now), term, 0
		s.book = permit.NewPacer(first, now)
		s.Log.WithFields(logrus.Fields{logging.Fence: term, logging.FirstTerm: first}).Info(logging.MessageLedgerBegun)
	}
	table := s.Table.Current()
	if table == nil || table.Version == s.version {
		return
	}
	limits := make(map[string]quota.Limit, len(table.Tenants()))
	for _, tenant := range table.Tenants() {
		limits[tenant.Name] = tenant.Limit
	}
	s.ledger.SetLimits(limits, now)
	s.version = table.Version
}
