package core

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/routing"
)

// fails returns a script that ends each dispatch with an error.
func fails(err error) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) { return nil, err }
}

// endings are the ways in which a dispatch ends without a response for the caller, with what they show.
var endings = map[string]struct {
	end       func(context.Context, Dispatch) (*Reply, error)
	evidence  Evidence
	execution failure.Execution
}{
	"the daemon does not admit it":              {fails(&SendError{Cause: fleet.ErrDraining}), NotAdmitted, failure.NotRun},
	"no connection opens":                       {fails(&SendError{Cause: errors.New("connection refused")}), NotConnected, failure.NotRun},
	"the connection takes no byte":              {fails(&SendError{Connection: "a#2", Cause: errors.New("broken pipe")}), NothingWritten, failure.NotRun},
	"the replica rejects it":                    {replyAs(Rejected), RejectedByReplica, failure.NotRun},
	"another replica has the address":           {replyAs(WrongReplica), AddressedToAnother, failure.NotRun},
	"the connection ends after a byte":          {fails(&SendError{RequestWritten: true, Connection: "a#1", Cause: errors.New("reset")}), NoEvidence, failure.Unknown},
	"the driver does not say":                   {fails(errors.New("unknown")), NoEvidence, failure.Unknown},
	"the response is not valid":                 {replyAs(InvalidResponse), NoEvidence, failure.Unknown},
	"the body of the response is interrupted":   {reply(http.StatusOK, "part", true), NoEvidence, failure.Unknown},
	"the body of an error is interrupted":       {reply(http.StatusInternalServerError, "part", true), NoEvidence, failure.Unknown},
	"a status that promises, without rejection": {replyWithoutRejection(http.StatusServiceUnavailable), NoEvidence, failure.Unknown},
}

// replyWithoutRejection returns a script of a response that the driver takes for invalid because of its status.
func replyWithoutRejection(status int) func(context.Context, Dispatch) (*Reply, error) {
	return func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
		invalid, err := replyAs(InvalidResponse)(ctx, dispatch)
		invalid.Status = status
		return invalid, err
	}
}

// Guards against callers who are told that a request did not run without evidence for each of its dispatches, and against
// requests that are dispatched again without it.
func TestNotRunNeedsEvidenceOfEachDispatch(t *testing.T) {
	for name, ending := range endings {
		synctest.Test(t, func(t *testing.T) {
			for _, kind := range []routing.Kind{routing.RunOnce, routing.Stream} {
				s := newSetup(t, kind, 1, ending.end)
				failed, started := s.serve(t)
				require.NotNil(t, failed, name)
				require.False(t, started, name)
				require.Equal(t, ending.execution, failed.Execution, name)
				require.GreaterOrEqual(t, counterValue(t, s.core.Metrics.evidence.WithLabelValues(ending.evidence.String())), float64(1), name)
				if ending.execution != failure.NotRun {
					require.Len(t, s.driver.dispatches, 1, name)
				}
			}
			for _, before := range []string{"the replica rejects it", "the connection takes no byte"} {
				s := newSetup(t, routing.RunOnce, 1, endings[before].end, ending.end)
				failed, _ := s.serve(t)
				require.Equal(t, ending.execution, failed.Execution, "%s after %s", name, before)
			}
		})
	}
}

// Guards against a complaint about a refused request whose id does not lead to what showed that it did not run.
func TestLastLogLineOfARequestNamesTheEvidenceOfEachDispatch(t *testing.T) {
	s := newSetup(t, routing.RunOnce, 1, endings["the replica rejects it"].end, endings["the connection ends after a byte"].end)
	hook := s.recordLog()
	failed, _ := s.serve(t)
	require.Equal(t, failure.Unknown, failed.Execution)
	ended := hook.LastEntry()
	require.Equal(t, logging.MessageRequestEnded, ended.Message)
	require.Equal(t, "rejected,none", ended.Data[logging.Evidence])
	require.Equal(t, "a#1", ended.Data[logging.Connection])
}
