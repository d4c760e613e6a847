package limiter

import (
	"time"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/rpc"
)

// uncertainRetryIn is the delay for refused permits while another leader may exist: about the time
// to renew the lease or to find the new leader.
const uncertainRetryIn = 300 * time.Millisecond

// BeginTerm creates the ledger and the pacer as soon as a term begins, so that the wait for the
// predecessor's reservations starts then rather than with the first request.
func (s *Server) BeginTerm() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term, status := s.Term(); term != 0 && status == election.TermValid {
		s.refresh(term, s.now())
	}
}

// TryReserve reserves a free slot for a message of the leader itself.
func (s *Server) TryReserve(request permit.Request) (reserved bool, retryIn time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	term, status := s.Term()
	if term == 0 || term != s.fence {
		return false, uncertainRetryIn
	}
	request.MaxWait = 0
	answer := s.reserve(request, status, s.now())
	return answer.Granted, answer.RetryIn
}

// PendingReservations returns the number of reservations in the future; zero if this daemon is not
// the leader.
func (s *Server) PendingReservations() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term, _ := s.Term(); term == 0 || term != s.fence {
		return 0
	}
	return s.pacer.PendingReservations(s.now())
}

// reserve asks the pacer for a reservation; the caller holds the mutex. It grants only the share of
// the daemons that reach this leader, so that two leaders with overlapping terms together stay
// within the limit.
func (s *Server) reserve(request permit.Request, status election.TermStatus, now time.Time) permit.Answer {
	share := 1.0
	if s.AttachedShare != nil {
		share = s.AttachedShare()
	}
	if status == election.TermUncertain || share <= 0 {
		return permit.Answer{RetryIn: uncertainRetryIn}
	}
	return s.pacer.Request(s.withKnownRate(request), share, now)
}

// withKnownRate sets the request's rate to the limit that this daemon knows, since daemons may have
// received different limits.
func (s *Server) withKnownRate(request permit.Request) permit.Request {
	if s.LimitOf != nil {
		if perSecond := s.LimitOf(request.Replica.ID); perSecond > 0 {
			request.PerSecond = perSecond
		}
	}
	return request
}

// answerPermit answers a permit request; the caller holds the mutex.
func (s *Server) answerPermit(id uint64, question *rpc.PermitQuestion, status election.TermStatus, now time.Time) *rpc.QuotaAnswer {
	request := permit.Request{
		Replica: question.GetReplica().Incarnation(), PerSecond: question.GetPerSecond(),
		Priority: int(question.GetPriority()), MaxWait: time.Duration(question.GetPatienceMs()) * time.Millisecond,
	}
	if !(request.PerSecond > 0) { // also refuses NaN
		return &rpc.QuotaAnswer{Id: id, RetryMs: uncertainRetryIn.Milliseconds()}
	}
	if question.GetCharge() {
		s.pacer.Charge(s.withKnownRate(request), 1, now)
		return &rpc.QuotaAnswer{Id: id}
	}
	answer := s.reserve(request, status, now)
	return &rpc.QuotaAnswer{Id: id, Granted: answer.Granted, InMs: answer.Delay.Milliseconds(), RetryMs: answer.RetryIn.Milliseconds()}
}
