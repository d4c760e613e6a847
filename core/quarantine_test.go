package core

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/routing"
)

// fakeQuarantine refuses requests once the allowed number of connections has broken.
type fakeQuarantine struct {
	allowed                   int
	broken, served, abandoned int
	suspects                  []quarantine.Suspect    // of broken connections
	begun                     [][]quarantine.PartHash // of prompts that replicas began to answer
	heldChecks                int                     // how many checks say that the request is to wait
	trialDue                  bool                    // a refused request may be dispatched as a trial
	trials                    int                     // that may begin
	withdrawn, ended          int                     // trials
}

func (q *fakeQuarantine) Check(suspect quarantine.Suspect) quarantine.Verdict {
	if q.heldChecks > 0 {
		q.heldChecks--
		return quarantine.Verdict{HoldUntil: time.Now().Add(holdStep)}
	}
	if q.broken < q.allowed {
		return quarantine.Verdict{}
	}
	refused := failure.New(failure.Quarantined, "send another request", "the request is suspected of crashing replicas").WithRetryAfter(time.Hour)
	return quarantine.Verdict{Refused: refused, TrialDue: q.trialDue}
}

// holdStep is how long fakeQuarantine holds a request at each check.
const holdStep = 10 * time.Millisecond

func (q *fakeQuarantine) BeginTrial(_ context.Context, _ quarantine.Suspect, _ quarantine.Destination, earlier *quarantine.BegunTrial) *quarantine.BegunTrial {
	if earlier != nil {
		return earlier
	}
	if q.trials--; q.trials < 0 {
		return nil
	}
	return &quarantine.BegunTrial{}
}

func (q *fakeQuarantine) WithdrawTrial(*quarantine.BegunTrial) bool {
	q.withdrawn++
	return true
}

func (q *fakeQuarantine) EndTrial(*quarantine.BegunTrial) { q.ended++ }

func (q *fakeQuarantine) ConnectionBroken(_ context.Context, _ fleet.Incarnation, _ string, suspect quarantine.Suspect) {
	q.broken++
	q.suspects = append(q.suspects, suspect)
}

func (q *fakeQuarantine) Abandoned(fleet.Incarnation, string, quarantine.Suspect) { q.abandoned++ }

func (q *fakeQuarantine) Begun(parts []quarantine.PartHash) { q.begun = append(q.begun, parts) }

func (q *fakeQuarantine) Served(quarantine.Fingerprint) { q.served++ }

func TestQuarantinedRequestIsNotDispatched(t *testing.T) {
	s := newSetup(t, routing.Stream, 2)
	s.core.Quarantine = &fakeQuarantine{}
	limits := &fakeLimits{}
	s.core.Limits = limits
	s.call.Tenant = &routing.Tenant{Name: "brewery"}
	failed, responseStarted := s.serve(t)
	require.False(t, responseStarted)
	require.Equal(t, failure.Quarantined, failed.Kind)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Equal(t, time.Hour, failed.RetryAfter)
	require.Empty(t, s.driver.dispatches)
	require.Zero(t, limits.permitted, "the request does not count toward its tenant's limit")
	require.Empty(t, s.core.Demand.Counts(), "the request does not count as demand")
}

func TestQuarantinePreventsRetry(t *testing.T) {
	for name, test := range map[string]struct {
		script    func(context.Context, Dispatch) (*Reply, error)
		execution failure.Execution
	}{
		"before any response": {sendError(true), failure.Unknown},
		"within a stream":     {reply(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda", true), failure.Partial},
	} {
		s := newSetup(t, routing.Stream, 2, test.script, reply(http.StatusOK, "id: 1\ndata: a\n\n", false))
		s.core.Quarantine = &fakeQuarantine{allowed: 1}
		failed, _ := s.serve(t)
		require.NotNil(t, failed, name)
		require.Equal(t, test.execution, failed.Execution, name)
		require.Len(t, s.driver.dispatches, 1, name)
	}
}

func TestQuarantineReceivesDispatchOutcomes(t *testing.T) {
	complete := reply(http.StatusOK, "done", false)
	for name, test := range map[string]struct {
		script                    func(context.Context, Dispatch) (*Reply, error)
		broken, served, abandoned int
	}{
		"complete":            {complete, 0, 1, 0},
		"client error":        {reply(http.StatusBadRequest, "no", false), 0, 0, 0},
		"truncated response":  {reply(http.StatusOK, "do", true), 1, 1, 0},
		"connection reset":    {sendError(true), 1, 1, 0},
		"not sent":            {sendError(false), 0, 1, 0},
		"rejected":            {replyAs(Rejected), 0, 1, 0},
		"wrong replica":       {replyAs(WrongReplica), 0, 1, 0},
		"error response":      {reply(http.StatusInternalServerError, "no", false), 0, 1, 0},
		"no response in time": {neverReplies, 0, 1, 1},
		"invalid response":    {replyAs(InvalidResponse), 0, 1, 1},
	} {
		s := newSetup(t, routing.Repeatable, 2, test.script, complete)
		fake := &fakeQuarantine{allowed: 2}
		s.core.Quarantine = fake
		failed, _ := s.serve(t)
		require.Nil(t, failed, name)
		require.Equal(t, test.broken, fake.broken, name)
		require.Equal(t, test.served, fake.served, name)
		require.Equal(t, test.abandoned, fake.abandoned, name)
	}
}

func TestCallerDisconnectIsNotReportedAsBrokenConnection(t *testing.T) {
	s := newSetup(t, routing.Stream, 2, neverReplies)
	fake := &fakeQuarantine{allowed: 1}
	s.core.Quarantine = fake
	ctx, disconnect := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, disconnect)
	failed, _ := s.core.Serve(ctx, s.call, &s.caller)
	require.Equal(t, failure.CallerDisconnected, failed.Kind)
	require.Zero(t, fake.broken)
	require.Equal(t, 1, fake.abandoned, "the replica may still run the request")
}

// Guards against a replica that is avoided, and a request that is suspected, because the replica had nothing left to
// send when the stream was resumed there.
func TestResumptionWithoutEventsIsNoFailureOfTheReplica(t *testing.T) {
	const end = "id: 2\ndata: b\n\n"
	for resumeAfter, broken := range map[string]int{"": 1, "1": 0} {
		s := newSetup(t, routing.Stream, 2, endsWithConnection(""), reply(http.StatusOK, end, false))
		fake := &fakeQuarantine{allowed: 3}
		s.core.Quarantine, s.call.ResumeAfter = fake, resumeAfter
		failed, _ := s.serve(t)
		require.Nil(t, failed, "the stream is interrupted and resumed")
		require.Equal(t, end, s.caller.String())
		require.Equal(t, broken, fake.broken)
		require.Equal(t, 1-broken, fake.abandoned, "the replica is probed later")
		pick, _ := s.core.Fleet.Choose(fleet.Query{Service: "press"}, time.Now())
		require.Equal(t, broken == 0, pick.ID == s.driver.dispatches[0].ReplicaID, "the replica is still preferred")
	}

	s := newSetup(t, routing.Stream, 2, reply(http.StatusOK, "id: 1\ndata: a\n\n", true), endsWithConnection(""))
	fake := &fakeQuarantine{allowed: 3}
	s.core.Quarantine = fake
	failed, _ := s.serve(t)
	require.Equal(t, failure.ResponseInterrupted, failed.Kind)
	require.Equal(t, 1, fake.broken, "only the first replica broke a connection")
	pick, _ := s.core.Fleet.Choose(fleet.Query{Service: "press"}, time.Now())
	require.Equal(t, s.driver.dispatches[1].ReplicaID, pick.ID)

	s = newSetup(t, routing.Stream, 2, endsWithConnection("id: 2\nda"), reply(http.StatusOK, end, false))
	fake = &fakeQuarantine{allowed: 3}
	s.core.Quarantine, s.call.ResumeAfter = fake, "1"
	failed, _ = s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, 1, fake.broken, "a resumption that ends inside an event is a failure")
}

// promptParts are the parts of a prompt whose last one belongs to the request itself.
var promptParts = []PromptPart{{ID: "shared", Tokens: 100}, {ID: "document", Tokens: 50}, {ID: "own", Tokens: 10}}

// Guards against crashes that are charged to parts of prompts whose answers had begun, and against parts that are never
// cleared.
func TestPartsAreSuspectsUntilTheAnswerBegins(t *testing.T) {
	shared := quarantine.HashParts("press", []string{"shared", "document"})
	whole := reply(http.StatusOK, "id: 1\ndata: a\n\n", false)
	for name, test := range map[string]struct {
		script   func(context.Context, Dispatch) (*Reply, error)
		suspects []quarantine.Suspect
		begun    int
	}{
		"no answer":              {sendError(true), []quarantine.Suspect{{Parts: shared}}, 1},
		"head alone":             {reply(http.StatusOK, "", true), []quarantine.Suspect{{Parts: shared}}, 1},
		"within the first event": {reply(http.StatusOK, "id: 1\nda", true), []quarantine.Suspect{{Parts: shared}}, 1},
		"after the first event":  {reply(http.StatusOK, "id: 1\ndata: a\n\nid: 2\nda", true), []quarantine.Suspect{{}}, 2},
		"whole":                  {whole, nil, 1},
	} {
		s := newSetup(t, routing.Stream, 2, test.script, whole)
		fake := &fakeQuarantine{allowed: 5}
		s.core.Quarantine, s.call.PromptParts = fake, promptParts
		failed, _ := s.serve(t)
		require.Nil(t, failed, name)
		require.Equal(t, test.suspects, fake.suspects, name)
		require.Len(t, fake.begun, test.begun, name)
		for _, parts := range fake.begun {
			require.Equal(t, shared, parts, name)
		}
	}
}

func TestHeldRequestIsDispatchedOnceItMayBe(t *testing.T) {
	s := newSetup(t, routing.Stream, 1, reply(http.StatusOK, "id: 1\ndata: a\n\n", false))
	s.core.Quarantine = &fakeQuarantine{allowed: 1, heldChecks: 4}
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Len(t, s.driver.dispatches, 1)
}

func TestHeldRequestEndsWithItsDeadline(t *testing.T) {
	s := newSetup(t, routing.Stream, 1)
	s.core.Quarantine = &fakeQuarantine{allowed: 1, heldChecks: 1000}
	s.call.Deadline = time.Now().Add(5 * holdStep)
	failed, _ := s.serve(t)
	require.Equal(t, failure.DeadlineExceeded, failed.Kind)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Empty(t, s.driver.dispatches)
}

// Guards against a request that waits for its replica while its part is quarantined, and is sent there nevertheless.
func TestQuarantineIsCheckedRightBeforeARequestIsWritten(t *testing.T) {
	fake := &fakeQuarantine{allowed: 1}
	admitted := func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
		fake.broken = fake.allowed // quarantined while the connection is opened
		if err := dispatch.Admit(); err != nil {
			return nil, &SendError{Cause: err}
		}
		return reply(http.StatusOK, "id: 1\ndata: a\n\n", false)(ctx, dispatch)
	}
	s := newSetup(t, routing.Stream, 2, admitted, admitted)
	s.core.Quarantine = fake
	failed, _ := s.serve(t)
	require.Equal(t, failure.Quarantined, failed.Kind)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Len(t, s.driver.dispatches, 1)
}

// Guards against more than one dispatch of a trial that crashes its replica, and against a trial that ends without one.
func TestTrialIsDispatchedOnce(t *testing.T) {
	whole := reply(http.StatusOK, "id: 1\ndata: a\n\n", false)
	for name, test := range map[string]struct {
		trials     int
		script     []func(context.Context, Dispatch) (*Reply, error)
		dispatches int
		withdrawn  int
		kind       failure.Kind
	}{
		"answered":              {1, []func(context.Context, Dispatch) (*Reply, error){whole}, 1, 0, ""},
		"crashes its replica":   {1, []func(context.Context, Dispatch) (*Reply, error){sendError(true), whole}, 1, 0, failure.OutcomeUnknown},
		"rejected, so not run":  {1, []func(context.Context, Dispatch) (*Reply, error){replyAs(Rejected), whole}, 2, 1, ""},
		"not written":           {1, []func(context.Context, Dispatch) (*Reply, error){sendError(false), whole}, 2, 1, ""},
		"of another daemon":     {0, nil, 0, 0, failure.Quarantined},
		"another request's one": {-1, nil, 0, 0, failure.Quarantined},
	} {
		s := newSetup(t, routing.Stream, 2, test.script...)
		fake := &fakeQuarantine{trialDue: true, trials: test.trials}
		s.core.Quarantine, s.call.PromptParts = fake, promptParts
		failed, _ := s.serve(t)
		if test.kind == "" {
			require.Nil(t, failed, name)
		} else {
			require.Equal(t, test.kind, failed.Kind, name)
		}
		require.Len(t, s.driver.dispatches, test.dispatches, name)
		require.Equal(t, test.withdrawn, fake.withdrawn, name)
		require.Equal(t, test.kind == "", fake.ended == 1, "%s: an answered trial ends", name)
	}
}

// Guards against a trial that is spent although no connection to a replica opened.
func TestTrialBeginsOnlyOnceAConnectionIsOpen(t *testing.T) {
	s := newSetup(t, routing.Stream, 2, reply(http.StatusOK, "id: 1\ndata: a\n\n", false))
	fake := &fakeQuarantine{trialDue: true, trials: 1}
	s.core.Quarantine, s.call.PromptParts = fake, promptParts
	refusing := &refusingDriver{refusals: 2, next: s.driver}
	s.core.Driver = refusing
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Zero(t, refusing.refusals)
	require.Zero(t, fake.trials, "the trial began with the dispatch that was written")
	require.Zero(t, fake.withdrawn)
}

// refusingDriver opens no connection for some dispatches.
type refusingDriver struct {
	refusals int
	next     Driver
}

func (d *refusingDriver) Send(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	if d.refusals > 0 {
		d.refusals--
		return nil, &SendError{Cause: errors.New("connection refused")}
	}
	return d.next.Send(ctx, dispatch)
}
