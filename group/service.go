package group

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

// Service serves the Groups rpc of a daemon: its part as a member, and the views
// of the slots that it leads.
type Service struct {
	member  *Member
	manager *Manager
}

// NewService returns the service of a daemon's member and manager.
func NewService(member *Member, manager *Manager) *Service {
	return &Service{member: member, manager: manager}
}

// Claim implements the Groups rpc.
func (s *Service) Claim(_ context.Context, ask *rpc.ClaimRequest) (*rpc.ClaimAnswer, error) {
	view := viewOf(ask.GetView())
	verdict, standing := s.member.Claim(time.Now(), view, recordOf(ask.GetRecord()))
	return s.claimAnswer(view, verdict, standing), nil
}

// Look implements the Groups rpc.
func (s *Service) Look(_ context.Context, ask *rpc.LookRequest) (*rpc.ClaimAnswer, error) {
	view := viewOf(ask.GetView())
	verdict, standing := s.member.Look(time.Now(), view, ask.GetKey())
	return s.claimAnswer(view, verdict, standing), nil
}

func (s *Service) claimAnswer(view View, verdict Verdict, standing Record) *rpc.ClaimAnswer {
	answer := &rpc.ClaimAnswer{Verdict: uint32(verdict)}
	switch verdict {
	case Standing:
		answer.Standing = standing.wire()
	case WrongView:
		answer.View = s.member.View(view.Key()).wire()
	}
	return answer
}

// Withdraw implements the Groups rpc.
func (s *Service) Withdraw(_ context.Context, ask *rpc.WithdrawRequest) (*rpc.GroupAnswer, error) {
	view := viewOf(ask.GetView())
	return s.groupAnswer(view, s.member.Withdraw(view, ask.GetKey(), ask.GetRequestId())), nil
}

// Settle implements the Groups rpc.
func (s *Service) Settle(_ context.Context, ask *rpc.SettleRequest) (*rpc.GroupAnswer, error) {
	view := viewOf(ask.GetView())
	return s.groupAnswer(view, s.member.Settle(time.Now(), view, recordOf(ask.GetRecord()))), nil
}

func (s *Service) groupAnswer(view View, ok bool) *rpc.GroupAnswer {
	answer := &rpc.GroupAnswer{Ok: ok}
	if !ok {
		answer.View = s.member.View(view.Key()).wire()
	}
	return answer
}

// Promise implements the Groups rpc.
func (s *Service) Promise(_ context.Context, ask *rpc.PromiseRequest) (*rpc.PlanAnswer, error) {
	view := viewOf(ask.GetView())
	verdict, state := s.member.Promise(view, ask.GetBallot(), ask.GetProposer())
	return &rpc.PlanAnswer{Verdict: uint32(verdict), State: state.wire(), View: s.member.View(view.Key()).wire()}, nil
}

// Accept implements the Groups rpc.
func (s *Service) Accept(_ context.Context, ask *rpc.AcceptRequest) (*rpc.PlanAnswer, error) {
	view := viewOf(ask.GetView())
	verdict, promised := s.member.Accept(view, PlanUpdate{Ballot: ask.GetBallot(), Proposer: ask.GetProposer(),
		Revision: ask.GetRevision(), Full: ask.GetFull(), Entries: entriesOf(ask.GetEntries())})
	return &rpc.PlanAnswer{Verdict: uint32(verdict), State: &rpc.PlanState{Promised: promised}}, nil
}

// Seal implements the Groups rpc.
func (s *Service) Seal(_ context.Context, ask *rpc.SealRequest) (*rpc.SealAnswer, error) {
	state, held, gone := s.member.Seal(viewOf(ask.GetView()), ask.GetProcess())
	answer := &rpc.SealAnswer{Held: held, Gone: gone}
	if held {
		answer.State = state.wire()
	}
	return answer, nil
}

// Install implements the Groups rpc.
func (s *Service) Install(_ context.Context, ask *rpc.InstallRequest) (*rpc.GroupAnswer, error) {
	view := viewOf(ask.GetView())
	return s.groupAnswer(view, s.member.Install(view, stateOf(ask.GetState()))), nil
}

// Open implements the Groups rpc.
func (s *Service) Open(_ context.Context, ask *rpc.OpenRequest) (*rpc.GroupAnswer, error) {
	view := viewOf(ask.GetView())
	return s.groupAnswer(view, s.member.Open(view)), nil
}

// View implements the Groups rpc.
func (s *Service) View(ctx context.Context, ask *rpc.ViewRequest) (*rpc.ViewAnswer, error) {
	view, err := s.manager.View(ctx, SlotKey{ask.GetRegion(), ask.GetSlot()})
	if err != nil {
		return nil, err
	}
	return &rpc.ViewAnswer{View: view.wire()}, nil
}
