package origin

import (
	"context"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/rpc"
)

// Server serves other daemons from a Client's tables. It implements rpc.DRPCOriginsServer.
type Server struct{ Client *Client }

// Store implements rpc.DRPCOriginsServer.
func (s *Server) Store(_ context.Context, message *rpc.StoreOrigins) (*rpc.OriginsStored, error) {
	batch, err := decodeBatch(message, s.Client.Now())
	if err != nil {
		return nil, errors.Wrap(err, "store stream origins")
	}
	s.Client.keep(batch, "peer")
	return &rpc.OriginsStored{Process: s.Client.process}, nil
}

// Find implements rpc.DRPCOriginsServer.
func (s *Server) Find(ctx context.Context, message *rpc.FindOrigin) (*rpc.OriginAnswer, error) {
	query, err := decodeQuery(message)
	if err != nil {
		return nil, errors.Wrap(err, "find a stream's origin")
	}
	given := answer{Finding: s.Client.find(query), view: s.Client.view(query.Service)}
	if message.GetForward() && !given.Ambiguous && !(given.Found && query.Attempt != "") {
		given = s.forward(ctx, query, given)
	}
	return encodeAnswer(given, s.Client.Now()), nil
}

// forward asks the keepers on behalf of a daemon that does not know them, and returns one answer of all.
func (s *Server) forward(ctx context.Context, query Query, own answer) answer {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	addresses, _ := s.Client.askFor(query)
	if len(s.Client.keeperList().ids) == 0 {
		addresses = nil // this daemon knows no more than the one that asks
	}
	merged := own
	known := inquiry{own: own.Finding, answers: s.Client.ask(ctx, addresses, query, false, func([]answer) bool { return false })}
	if known.ambiguous() {
		merged.Finding = Finding{Ambiguous: true}
	} else if found, ok := known.found(); ok {
		merged.Finding = Finding{Version: found.Version, Found: true}
	}
	for _, given := range known.answers {
		merged.view.Versions = appendMissing(merged.view.Versions, given.view.Versions)
		merged.view.Covered = merged.view.Covered || given.view.Covered
		merged.view.Current = merged.view.Current || given.view.Current
		merged.view.Partial = merged.view.Partial && given.view.Partial
	}
	return merged
}
