package limiter

import (
	"time"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/rpc"
)

// unsureReturn is the advice to requests for a permit while another holder may have begun: the time in
// which the lease is renewed, or that one is known.
const unsureReturn = 300 * time.Millisecond

// Begin opens the book of a term as it begins: the turns that the last holder gave out pass from then on,
// and not from the first question.
func (s *Server) BeginTerm() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term, standing := s.Term(); term != 0 && standing == election.TermValid {
		s.refresh(term, s.now())
	}
}

// TryReserve takes a turn for a message of the holder itself, if one is free now.
func (s *Server) TryReserve(ask permit.Request) (taken bool, retryIn time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	term, standing := s.Term()
	if term == 0 || term != s.fence {
		return false, unsureReturn
	}
	ask.MaxWait = 0
	answer := s.askBook(ask, standing, s.now())
	return answer.Granted, answer.RetryIn
}

// Waiting returns how many turns are given out and have not come yet; zero if this daemon is not the
// holder.
func (s *Server) PendingReservations() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term, _ := s.Term(); term == 0 || term != s.fence {
		return 0
	}
	return s.book.PendingReservations(s.now())
}

// askBook asks for a turn; the mutex is held.
//
// What is given out is the part of the limit of those daemons that reach this one: the others use their
// own shares, or ask another holder. So a holder that can't reach the key-value service goes on, and two
// that believe in their terms at the same time together give out no more than the limit.
func (s *Server) askBook(ask permit.Request, standing election.TermStatus, now time.Time) permit.Answer {
	reached := 1.0
	if s.Reached != nil {
		reached = s.Reached()
	}
	if standing == election.TermUncertain || reached <= 0 {
		return permit.Answer{RetryIn: unsureReturn}
	}
	return s.book.Request(s.turnAsked(ask), reached, now)
}

// turnAsked is the question of a line, at the rate that this daemon knows of: two daemons may have heard
// different words.
func (s *Server) turnAsked(ask permit.Request) permit.Request {
	if s.LimitOf != nil {
		if perSecond := s.LimitOf(ask.Replica.ID); perSecond > 0 {
			ask.PerSecond = perSecond
		}
	}
	return ask
}

// answerPermit answers a question for a permit; the mutex is held.
func (s *Server) answerPermit(id uint64, asked *rpc.PermitQuestion, standing election.TermStatus, now time.Time) *rpc.QuotaAnswer {
	ask := permit.Request{
		Replica: asked.GetReplica().Incarnation(), PerSecond: asked.GetPerSecond(),
		Priority: int(asked.GetPriority()), MaxWait: time.Duration(asked.GetPatienceMs()) * time.Millisecond,
	}
	if !(ask.PerSecond > 0) { // NaN is not above zero either
		return &rpc.QuotaAnswer{Id: id, RetryMs: unsureReturn.Milliseconds()}
	}
	if asked.GetCharge() {
		s.book.Charge(s.turnAsked(ask), 1, now)
		return &rpc.QuotaAnswer{Id: id}
	}
	answer := s.askBook(ask, standing, now)
	return &rpc.QuotaAnswer{Id: id, Granted: answer.Granted, InMs: answer.Delay.Milliseconds(), RetryMs: answer.RetryIn.Milliseconds()}
}
