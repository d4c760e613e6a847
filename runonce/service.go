package runonce

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

// Service serves the RunOnce rpc of a daemon: its part as a member, and the views
// of the slots that it leads.
type Service struct {
	member  *Member
	manager *Manager
}

// NewService returns the service of a daemon's member and manager.
func NewService(member *Member, manager *Manager) *Service {
	return &Service{member: member, manager: manager}
}

// Claim implements the RunOnce rpc.
func (s *Service) Claim(_ context.Context, ask *rpc.ClaimRequest) (*rpc.ClaimAnswer, error) {
	view := viewOf(ask.GetView())
	verdict, standing := s.member.Claim(time.Now(), view, recordOf(ask.GetRecord()))
	return s.claimAnswer(view, verdict, standing), nil
}

// Look implements the RunOnce rpc.
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

// Withdraw implements the RunOnce rpc.
func (s *Service) Withdraw(_ context.Context, ask *rpc.WithdrawRequest) (*rpc.GroupAnswer, error) {
	view := viewOf(ask.GetView())
	return s.groupAnswer(view, s.member.Withdraw(view, ask.GetKey(), ask.GetRequestId())), nil
}

// Settle implements the RunOnce rpc.
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

// Seal implements the RunOnce rpc.
func (s *Service) Seal(_ context.Context, ask *rpc.SealRequest) (*rpc.SealAnswer, error) {
	records, held, gone := s.member.Seal(viewOf(ask.GetView()), ask.GetProcess())
	answer := &rpc.SealAnswer{Held: held, Gone: gone}
	for _, record := range records {
		answer.Records = append(answer.Records, record.wire())
	}
	return answer, nil
}

// Install implements the RunOnce rpc.
func (s *Service) Install(_ context.Context, ask *rpc.InstallRequest) (*rpc.GroupAnswer, error) {
	records := make([]Record, 0, len(ask.GetRecords()))
	for _, message := range ask.GetRecords() {
		records = append(records, recordOf(message))
	}
	view := viewOf(ask.GetView())
	return s.groupAnswer(view, s.member.Install(view, records)), nil
}

// Open implements the RunOnce rpc.
func (s *Service) Open(_ context.Context, ask *rpc.OpenRequest) (*rpc.GroupAnswer, error) {
	view := viewOf(ask.GetView())
	return s.groupAnswer(view, s.member.Open(view)), nil
}

// View implements the RunOnce rpc.
func (s *Service) View(ctx context.Context, ask *rpc.ViewRequest) (*rpc.ViewAnswer, error) {
	view, err := s.manager.View(ctx, SlotKey{ask.GetRegion(), ask.GetSlot()})
	if err != nil {
		return nil, err
	}
	return &rpc.ViewAnswer{View: view.wire()}, nil
}
