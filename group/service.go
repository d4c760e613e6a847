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
	return claimAnswer(verdict, standing), nil
}

// Look implements the Groups rpc.
func (s *Service) Look(_ context.Context, ask *rpc.LookRequest) (*rpc.ClaimAnswer, error) {
	view := viewOf(ask.GetView())
	verdict, standing := s.member.Look(time.Now(), view, ask.GetKey())
	return claimAnswer(verdict, standing), nil
}

func claimAnswer(verdict Verdict, standing Record) *rpc.ClaimAnswer {
	answer := &rpc.ClaimAnswer{Verdict: uint32(verdict)}
	if verdict == Standing {
		answer.Standing = standing.wire()
	}
	return answer
}

// Withdraw implements the Groups rpc.
func (s *Service) Withdraw(_ context.Context, ask *rpc.WithdrawRequest) (*rpc.GroupAnswer, error) {
	return &rpc.GroupAnswer{Ok: s.member.Withdraw(viewOf(ask.GetView()), ask.GetKey(), ask.GetRequestId())}, nil
}

// Settle implements the Groups rpc.
func (s *Service) Settle(_ context.Context, ask *rpc.SettleRequest) (*rpc.GroupAnswer, error) {
	return &rpc.GroupAnswer{Ok: s.member.Settle(time.Now(), viewOf(ask.GetView()), recordOf(ask.GetRecord()))}, nil
}

// Promise implements the Groups rpc.
func (s *Service) Promise(_ context.Context, ask *rpc.PromiseRequest) (*rpc.PlanAnswer, error) {
	view := viewOf(ask.GetView())
	verdict, state := s.member.Promise(view, ask.GetBallot(), ask.GetProposer())
	return &rpc.PlanAnswer{Verdict: uint32(verdict), State: state.wire()}, nil
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
	return &rpc.GroupAnswer{Ok: s.member.Install(viewOf(ask.GetView()), stateOf(ask.GetState()))}, nil
}

// Open implements the Groups rpc.
func (s *Service) Open(_ context.Context, ask *rpc.OpenRequest) (*rpc.GroupAnswer, error) {
	return &rpc.GroupAnswer{Ok: s.member.Open(viewOf(ask.GetView()))}, nil
}

// View implements the Groups rpc.
func (s *Service) View(ctx context.Context, ask *rpc.ViewRequest) (*rpc.ViewAnswer, error) {
	view, err := s.manager.View(ctx, SlotKey{ask.GetRegion(), ask.GetSlot()})
	if err != nil {
		return nil, err
	}
	return &rpc.ViewAnswer{View: view.wire()}, nil
}
