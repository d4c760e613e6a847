// Package limiter enforces the limits of tenants and replicas across all daemons. Daemons ask the
// leader, which decides with packages quota and permit.
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

// Server answers the requests of daemons while this daemon is the leader. It implements
// rpc.DRPCQuotasServer.
type Server struct {
	Bounds quota.Bounds
	Table  *routing.Store
	// Term returns the fence of this daemon's term, zero if it has none, and how certain the term is.
	Term func() (fence int64, status election.TermStatus)
	// ValidFor returns for how long no other daemon can begin a term unless this one is handed over; nil: unknown.
	ValidFor func() time.Duration
	// PreviousLeaderActive returns when the leader of the term before was last active, at the latest, if this term may
	// have begun before its lease expired; otherwise zero. Nil: always zero.
	PreviousLeaderActive func() time.Time
	// IsFirstTerm reports whether there can have been no leader before.
	IsFirstTerm func() bool
	// Now is the clock for credit and limits; nil means time.Now.
	Now func() time.Time
	// AttachedShare returns the share of all daemons that are attached to this leader; nil means all.
	AttachedShare func() float64
	// LimitOf returns the rate limit of a replica, or zero if this daemon knows of none; it may be nil.
	LimitOf func(replica string) float64
	// CountReservation counts reservations by outcome, and what could not be used of messages; it may be nil.
	CountReservation func(outcome string, number int)
	// Address is where other daemons reach this one, and Zone where its machine is.
	Address, Zone string
	// Spend spends this daemon's credit for a request of another daemon; nil: it has none.
	Spend func(tenant string, cost float64) Spending
	Log   logrus.FieldLogger

	mutex     sync.Mutex
	ledger    *quota.Ledger
	pacer     *permit.Pacer
	fence     int64 // term of the ledger
	termStart time.Time
	firstTerm bool
	standby   appointedStandby
	version   int64 // table version of the ledger's limits
}

// errNotLeader closes the streams of daemons that must connect to another leader.
var errNotLeader = errors.New("this daemon is not the leader; connect to the current leader")

// Borrow implements rpc.DRPCQuotasServer.
func (s *Server) Borrow(stream rpc.DRPCQuotas_BorrowStream) error {
	fence, sender := int64(0), peer{}
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if sender.process == "" {
			sender = peer{process: message.GetProcess(), address: message.GetAddress(), zone: message.GetZone()}
		}
		answers, err := s.handle(sender, fence, message, s.now())
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

// handle applies a message of a daemon and answers its requests. fence is that of the term in which
// the stream began, zero for its first message.
func (s *Server) handle(sender peer, fence int64, message *rpc.QuotaQuestions, now time.Time) (*rpc.QuotaAnswers, error) {
	answers, lapses, err := s.decide(sender, fence, message, now)
	s.recordLapses(lapses)
	return answers, err
}

// decide implements handle; it also returns the reservations that have lapsed.
func (s *Server) decide(sender peer, fence int64, message *rpc.QuotaQuestions, now time.Time) (*rpc.QuotaAnswers, []quota.Lapse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// The term is read under the mutex, so that nothing is granted if the lease expired while this
	// message waited for it.
	term, status := s.Term()
	uncertain := status == election.TermStoreUnreachable || status == election.TermUncertain
	if term == 0 || fence != 0 && fence != term || uncertain && term != s.fence {
		return nil, nil, errNotLeader
	}
	if !uncertain {
		s.refresh(term, now)
	}
	process := sender.process
	s.applyReports(process, fence == 0, uncertain, message, now)
	answer := s.ledger.Answer
	if uncertain {
		answer = s.ledger.AnswerUncertain
	}
	isStandby := process != "" && process == s.standby.process
	if !uncertain {
		isStandby = s.observe(sender, len(message.GetMarks()) > 0, now)
	}
	answers := &rpc.QuotaAnswers{Fence: term, CallIn: uncertain && s.standby.process == "", Standby: s.standby.address, IsStandby: isStandby}
	if sync := message.GetSync(); sync != nil {
		answers.Sync = s.answerSync(process, sync, isStandby && !uncertain, now)
	}
	for _, question := range message.GetQuestions() {
		if permitQuestion := question.GetPermit(); permitQuestion != nil {
			answers.Answers = append(answers.Answers, s.answerPermit(question.GetId(), permitQuestion, status, now))
			continue
		}
		request, ok := s.requestOf(question)
		if !ok {
			answers.Answers = append(answers.Answers, &rpc.QuotaAnswer{Id: question.GetId(), RetryMs: uncertainRetryIn.Milliseconds()})
			continue
		}
		answer := answer(process, request, now)
		answers.Answers = append(answers.Answers, &rpc.QuotaAnswer{
			Id: answer.ID, Granted: answer.Granted, Unknown: answer.Unknown, RetryMs: retryMs(answer), Slot: answer.Slot,
			Renewed: answer.Renewed, Ahead: answer.Ahead, Unsettled: answer.Unsettled, Reserved: answer.Reserved, Redeemed: answer.Redeemed,
		})
	}
	return answers, s.ledger.TakeLapsed(now), nil
}

// applyReports applies what a daemon reports of credit, refunds, marks and reservations; the caller holds the
// mutex.
func (s *Server) applyReports(process string, isFirst, uncertain bool, message *rpc.QuotaQuestions, now time.Time) {
	knowsReservations := s.ledger.HasHeardFrom(process)
	s.ledger.RecordContact(process, now)
	s.applyUsage(process, isFirst, message, now)
	marks, malformed := marksOf(message.GetMarks())
	s.count(outcomeMalformed, malformed)
	s.ledger.AdoptMarks(process, marks, now)
	if isFirst {
		reservations, malformed := reservationsOf(message.GetReservations())
		s.count(outcomeMalformed, malformed)
		if !knowsReservations { // after a reconnection it would adopt those that were redeemed meanwhile
			s.adopt(process, reservations, now)
		}
	}
	returned, malformed := creditsOf(message.GetReturned())
	s.count(outcomeMalformed, malformed)
	s.acceptReturned(process, uncertain, returned, now)
	for _, refund := range message.GetRefunds() {
		s.applyRefund(refund)
	}
}

func (s *Server) applyRefund(refund *rpc.QuotaRefund) {
	replica := refund.GetReplica()
	switch {
	case replica != nil:
		s.pacer.Return(replica.Incarnation())
	case !validAmount(refund.GetCost()):
		s.count(outcomeMalformed, 1)
	default:
		s.ledger.Return(quota.Refund{Tenant: refund.GetTenant(), Cost: refund.GetCost(), Slot: refund.GetSlot()})
	}
}

// applyUsage applies what a message reports as used, and for the first message of a stream also the
// credit that the process holds.
func (s *Server) applyUsage(process string, isFirst bool, message *rpc.QuotaQuestions, now time.Time) {
	used := make(map[string]float64, len(message.GetUsed()))
	for _, usage := range message.GetUsed() {
		if !validAmount(usage.GetCost()) {
			s.count(outcomeMalformed, 1)
			continue
		}
		used[usage.GetTenant()] += usage.GetCost()
	}
	if isFirst {
		credits, malformed := creditsOf(message.GetCredits())
		s.count(outcomeMalformed, malformed)
		s.ledger.Join(process, used, credits, now)
		return
	}
	for tenant, cost := range used {
		s.ledger.RecordUsage(process, tenant, cost, now)
	}
}

// requestOf converts a question; ok is false if its cost cannot be used. A claim that cannot be used counts as none.
func (s *Server) requestOf(question *rpc.QuotaQuestion) (request quota.Request, ok bool) {
	request = quota.Request{ID: question.GetId(), Tenant: question.GetTenant(), Cost: question.GetCost()}
	if !validAmount(request.Cost) {
		s.count(outcomeMalformed, 1)
		return request, false
	}
	if message := question.GetClaim(); message != nil {
		if request.Claim, ok = claimOf(message); !ok {
			s.count(outcomeMalformed, 1)
		}
	}
	return request, true
}

// refresh creates the ledger of a new term and applies the current limits. The caller holds the
// mutex.
func (s *Server) refresh(term int64, now time.Time) {
	if s.ledger == nil || term != s.fence {
		first := s.ledger == nil && s.IsFirstTerm()
		s.ledger, s.fence, s.version = quota.NewLedger(s.Bounds, first, now), term, 0
		s.pacer, s.standby = permit.NewPacer(first, now), appointedStandby{}
		s.termStart, s.firstTerm = now, first
		beganEarly := false
		if !first && s.PreviousLeaderActive != nil {
			lastActive := s.PreviousLeaderActive()
			beganEarly = !lastActive.IsZero()
			s.ledger.BeginEarly(lastActive)
		}
		s.Log.WithFields(logrus.Fields{logging.Fence: term, logging.FirstTerm: first, logging.BeforeExpiry: beganEarly}).Info(logging.MessageLedgerStarted)
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
