package placer

import (
	"context"
	"time"

	"github.com/finchspoke/finchspoke/placement"
	"github.com/finchspoke/finchspoke/rpc"
)

// Model implements the Explain rpc: it describes the placement of a target's model.
func (s *Service) Model(_ context.Context, query *rpc.ExplainModel) (*rpc.Explanation, error) {
	term, current := s.leading.Load(), s.Settings.Current()
	if term == nil || current == nil {
		return nil, errNotLeading
	}
	return &rpc.Explanation{Lines: placement.Explain(term.cell.snapshot(time.Now(), current.Tree), query.GetTarget())}, nil
}
