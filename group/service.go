package group

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

// Service implements the Groups rpc of a daemon with its Member and its Manager.
type Service struct {
	member  *Member
	manager *Manager
}

// NewService returns the service for a daemon's member and manager.
func NewService(member *Member, manager *Manager) *Service {
	return &Service{member: member, manager: manager}
}

// Claim implements the Groups rpc.
func (s *Service) Claim(_ context.Context, request *rpc.ClaimRequest) (*rpc.ClaimAnswer, error) {
	view := viewFromWire(request.GetView())
	verdict, existing := s.member.Claim(time.Now(), view, recordFromWire(request.GetRecord()))
	return claimResponse(verdict, existing), nil
}

// Look implements the Groups rpc.
func (s *Service) Look(_ context.Context, request *rpc.LookRequest) (*rpc.ClaimAnswer, error) {
	view := viewFromWire(request.GetView())
	verdict, existing := s.member.Look(time.Now(), view, request.GetKey())
	return claimResponse(verdict, existing), nil
}

func claimResponse(verdict Verdict, existing Record) *rpc.ClaimAnswer {
	response := &rpc.ClaimAnswer{Verdict: uint32(verdict)}
	if verdict == Standing {
		response.Standing = existing.wire()
	}
	return response
}

// Withdraw implements the Groups rpc.
func (s *Service) Withdraw(_ context.Context, request *rpc.WithdrawRequest) (*rpc.GroupAnswer, error) {
	return &rpc.GroupAnswer{Ok: s.member.Withdraw(viewFromWire(request.GetView()), request.GetKey(), request.GetRequestId())}, nil
}

// Settle implements the Groups rpc.
func (s *Service) Settle(_ context.Context, request *rpc.SettleRequest) (*rpc.GroupAnswer, error) {
	return &rpc.GroupAnswer{Ok: s.member.Settle(time.Now(), viewFromWire(request.GetView()), recordFromWire(request.GetRecord()))}, nil
}

// Promise implements the Groups rpc.
func (s *Service) Promise(_ context.Context, request *rpc.PromiseRequest) (*rpc.PlanAnswer, error) {
	view := viewFromWire(request.GetView())
	verdict, state := s.member.Promise(view, request.GetBallot(), request.GetProposer())
	return &rpc.PlanAnswer{Verdict: uint32(verdict), State: state.wire()}, nil
}

// Accept implements the Groups rpc.
func (s *Service) Accept(_ context.Context, request *rpc.AcceptRequest) (*rpc.PlanAnswer, error) {
	view := viewFromWire(request.GetView())
	verdict, promised := s.member.Accept(view, PlanUpdate{Ballot: request.GetBallot(), Proposer: request.GetProposer(),
		Revision: request.GetRevision(), Full: request.GetFull(), Entries: entriesFromWire(request.GetEntries())})
	return &rpc.PlanAnswer{Verdict: uint32(verdict), State: &rpc.PlanState{Promised: promised}}, nil
}

// Seal implements the Groups rpc.
func (s *Service) Seal(_ context.Context, request *rpc.SealRequest) (*rpc.SealAnswer, error) {
	state, hasView, restarted := s.member.Seal(viewFromWire(request.GetView()), request.GetProcess())
	response := &rpc.SealAnswer{Held: hasView, Gone: restarted}
	if hasView {
		response.State = state.wire()
	}
	return response, nil
}

// Install implements the Groups rpc.
func (s *Service) Install(_ context.Context, request *rpc.InstallRequest) (*rpc.GroupAnswer, error) {
	return &rpc.GroupAnswer{Ok: s.member.Install(viewFromWire(request.GetView()), stateFromWire(request.GetState()))}, nil
}

// Open implements the Groups rpc.
func (s *Service) Open(_ context.Context, request *rpc.OpenRequest) (*rpc.GroupAnswer, error) {
	return &rpc.GroupAnswer{Ok: s.member.Open(viewFromWire(request.GetView()))}, nil
}

// View implements the Groups rpc.
func (s *Service) View(ctx context.Context, request *rpc.ViewRequest) (*rpc.ViewAnswer, error) {
	view, err := s.manager.View(ctx, SlotKey{request.GetRegion(), request.GetSlot()})
	if err != nil {
		return nil, err
	}
	return &rpc.ViewAnswer{View: view.wire()}, nil
}
