package core

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/routing"
)

// textBody is a body that may break off.
type textBody struct {
	io.Reader
	broken bool
}

func (b *textBody) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	if err == io.EOF && b.broken {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
func (b *textBody) Buffered() int { return 0 }
func (b *textBody) Close() error  { return nil }

// scriptDriver answers dispatches one after the other as a script says.
type scriptDriver struct {
	script     []func(ctx context.Context, dispatch Dispatch) (*Reply, error)
	dispatches []Dispatch
}

func (d *scriptDriver) Send(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	d.dispatches = append(d.dispatches, dispatch)
	if len(d.dispatches) > len(d.script) {
		return nil, &SendError{Cause: errors.New("the script is over")}
	}
	return d.script[len(d.dispatches)-1](ctx, dispatch)
}

func reply(status int, text string, broken bool) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Length: int64(len(text)), Body: &textBody{strings.NewReader(text), broken}}, nil
	}
}

func disposed(disposition Disposition) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Disposition: disposition, Body: &textBody{Reader: strings.NewReader("")}}, nil
	}
}

func sendError(written bool) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return nil, &SendError{Written: written, Cause: errors.New("reset")}
	}
}

func silent(ctx context.Context, _ Dispatch) (*Reply, error) {
	<-ctx.Done()
	return nil, &SendError{Written: true, Cause: ctx.Err()}
}

// heard is a caller that keeps what it gets.
type heard struct {
	bytes.Buffer
	status int
}

func (h *heard) WriteHead(status int, _ http.Header, _ int64) { h.status = status }
func (h *heard) Write(data []byte) error                      { h.Buffer.Write(data); return nil }
func (h *heard) Flush() error                                 { return nil }

type setup struct {
	core   *Core
	driver *scriptDriver
	call   *Call
	caller heard
}

// arrange makes a core before two replicas of a service that both hold model m.
func arrange(t *testing.T, kind routing.Kind, attempts int, script ...func(context.Context, Dispatch) (*Reply, error)) *setup {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	directory := fleet.NewDirectory("a", func() float64 { return 0 })
	for _, id := range []string{"r1", "r2"} {
		directory.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1", Zone: "a", Holdings: fleet.Holdings{"m": nil}}, time.Now())
	}
	driver := &scriptDriver{script: script}
	made := &Core{Fleet: directory, Demand: demand.NewTracker(), Driver: driver, Retries: RetryPolicy{Ratio: 0.1, Reserve: 5}, daemons: 1,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: log}
	made.Prepare()
	service := &routing.Service{Name: "press", Engine: &routing.Engine{Models: map[string]*routing.Model{
		"m": {Name: "m", StoreLoadTime: 4 * time.Second}, "slow": {Name: "slow", StoreLoadTime: 4 * time.Second}}}}
	return &setup{core: made, driver: driver, call: &Call{
		ID: "1", Service: service, Target: fleet.Target{Model: "m"}, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
		Route: &routing.Route{Name: "route", Kind: kind, Attempts: attempts, Objective: time.Second, Resumable: kind == routing.Stream && attempts > 1},
	}}
}

func (s *setup) serve(t *testing.T) (*failure.Error, bool) {
	t.Helper()
	return s.core.Serve(t.Context(), s.call, &s.caller)
}

func TestARequestThatMayNotRepeatIsSentOnceItMayHaveRun(t *testing.T) {
	s := arrange(t, routing.RunOnce, 3, sendError(true), reply(200, "late", false))
	failed, _ := s.serve(t)
	require.Equal(t, failure.Unknown, failed.Execution, "nothing promises that it did not run")
	require.Len(t, s.driver.dispatches, 1)
}

func TestWhatWasNeverSentOrWasRejectedGoesToAnother(t *testing.T) {
	s := arrange(t, routing.RunOnce, 1, sendError(false), disposed(Rejected), reply(200, "whole", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, "whole", s.caller.String())
	require.NotEqual(t, s.driver.dispatches[0].ReplicaID, s.driver.dispatches[1].ReplicaID)
}

func TestAnAnswerThatCannotBeReliedOnPromisesNothing(t *testing.T) {
	s := arrange(t, routing.RunOnce, 1, disposed(InvalidResponse))
	failed, began := s.serve(t)
	require.False(t, began)
	require.Equal(t, failure.Unknown, failed.Execution)
}

func TestARepeatableRequestIsTriedAgainWithinItsAttempts(t *testing.T) {
	s := arrange(t, routing.Repeatable, 2, reply(500, "broken", false), reply(200, "whole", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, "whole", s.caller.String())

	s = arrange(t, routing.Repeatable, 2, reply(500, "one", false), reply(500, "two", false), reply(200, "three", false))
	failed, _ = s.serve(t)
	require.Nil(t, failed, "the last replica's own failure is passed on")
	require.Equal(t, 500, s.caller.status)
	require.Equal(t, "two", s.caller.String())
	require.Len(t, s.driver.dispatches, 2)
}

func TestAShortAnswerThatBreaksOffIsNotPassedOn(t *testing.T) {
	s := arrange(t, routing.RunOnce, 1, reply(200, "half", true))
	failed, began := s.serve(t)
	require.False(t, began)
	require.Equal(t, failure.Unknown, failed.Execution)
	require.Empty(t, s.caller.String())
}

func TestABrokenStreamGoesOnElsewhereAfterTheLastWholeEvent(t *testing.T) {
	s := arrange(t, routing.Stream, 2, reply(200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", true), reply(200, "id: 3\ndata: c\n\n", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", s.caller.String())
	require.Equal(t, "2", s.driver.dispatches[1].ResumeAfter)
}

func TestABrokenStreamThatMayNotGoOnDoesNotLookWhole(t *testing.T) {
	s := arrange(t, routing.Stream, 1, reply(200, "id: 1\ndata: a\n\nid: 2\nda", true))
	failed, began := s.serve(t)
	require.True(t, began)
	require.Equal(t, failure.ResponseInterrupted, failed.Kind)
	require.Equal(t, "id: 1\ndata: a\n\n", s.caller.String())
}

func TestTheFinalAnswerComesAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.RunOnce, 1, silent)
		began := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.DeadlineExceeded, failed.Kind)
		require.Equal(t, 10*time.Second, time.Since(began))
	})
}

func TestASilentReplicaOfARepeatableRequestIsGivenUpForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Repeatable, 2, silent, reply(200, "whole", false))
		began := time.Now()
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, objectivesPerTry*time.Second, time.Since(began))
	})
}

func TestACallWaitsForALoadThatWillBeInTimeAndIsRefusedAtOnceOtherwise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 2, reply(200, "id: 1\n\n", false))
		s.call.Target.Model = "slow" // 4 s to load; this route's callers wait 4 s
		began := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.GreaterOrEqual(t, failed.RetryAfter, 4*time.Second)
		require.Less(t, time.Since(began), time.Second)
	})
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 2, reply(200, "id: 1\n\n", false))
		s.call.Target.Model = "slow"
		s.core.Fleet.ApplyLeaderRecord("r1", fleet.LeaderRecord{Fence: 1, Holdings: fleet.Holdings{},
			Loading: map[fleet.Target]time.Time{{Model: "slow"}: time.Now().Add(2 * time.Second)}}, time.Now())
		go func() {
			time.Sleep(2 * time.Second)
			s.core.Fleet.ApplyLeaderRecord("r1", fleet.LeaderRecord{Fence: 1, Sequence: 1, Holdings: fleet.Holdings{"slow": nil}}, time.Now())
		}()
		began := time.Now()
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, 2*time.Second, time.Since(began))
		overrun := &dto.Metric{}
		require.NoError(t, s.core.Metrics.overrun.Write(overrun))
		require.EqualValues(t, 1, overrun.GetHistogram().GetSampleCount(), "the estimate is compared with what happened")
		require.Zero(t, overrun.GetHistogram().GetSampleSum())
	})
}

// Seen in a hunt: a call that waited for a load when its daemon was stopped was cut
// without an answer at the end of the stop.
// stopIn are the times of a stop that takes calls for as long as they can be finished.
func stopIn(left time.Duration) StopTimes {
	return StopTimes{AcceptUntil: time.Now().Add(left), EndBy: time.Now().Add(left)}
}

func TestAPlannedStopRefusesWhatWaitsAndAnswersWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.Stream, 1)
		s.call.Route.Objective = 5 * time.Second
		s.call.Target.Model = "slow"
		time.AfterFunc(time.Second, func() { s.core.Stop(stopIn(5 * time.Second)) })
		began := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Equal(t, time.Second, time.Since(began))
	})
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.RunOnce, 1, silent)
		time.AfterFunc(time.Second, func() { s.core.Stop(stopIn(5 * time.Second)) })
		began := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.Unavailable, failed.Kind)
		require.Equal(t, failure.Unknown, failed.Execution)
		require.Equal(t, 6*time.Second, time.Since(began))
	})
}

func TestACallerThatLeavesEndsTheDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.RunOnce, 1, silent)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		began := time.Now()
		failed, _ := s.core.Serve(ctx, s.call, &s.caller)
		require.Equal(t, failure.CallerDisconnected, failed.Kind)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestRetriesStayInTheirBudget(t *testing.T) {
	rejections := make([]func(context.Context, Dispatch) (*Reply, error), 200)
	for index := range rejections {
		rejections[index] = disposed(Rejected)
	}
	synctest.Test(t, func(t *testing.T) {
		s := arrange(t, routing.RunOnce, 1, rejections...)
		for range 20 {
			s.call.Arrived, s.call.Deadline = time.Now(), time.Now().Add(10*time.Second)
			failed, _ := s.serve(t)
			require.Equal(t, failure.NotRun, failed.Execution)
		}
		require.LessOrEqual(t, len(s.driver.dispatches), 20+5+2, "one for each, the reserve, and a tenth")
	})
}

func TestEventsAreCutAtTheirEnds(t *testing.T) {
	for _, text := range []string{"id: 1\ndata: x\n\nid: 2\n\nid: 3\nda", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\nid: 3\r\nda"} {
		for size := 1; size < len(text); size++ {
			splitter := &eventSplitter{}
			var passed []byte
			last := ""
			for start := 0; start < len(text); start += size {
				splitter.pending = append(splitter.pending, text[start:min(start+size, len(text))]...)
				events, id := splitter.next()
				passed = append(passed, events...)
				if id != "" {
					last = id
				}
				splitter.take(len(events))
			}
			require.Equal(t, text[:strings.Index(text, "id: 3")], string(passed), "size %d", size)
			require.Equal(t, "2", last)
		}
	}
}

func TestTheReserveOfRetriesIsSharedByAllDaemons(t *testing.T) {
	made := &Core{Retries: RetryPolicy{Ratio: 0.1, Reserve: 100}}
	spend := func() (spent int) {
		for made.budget("press").Withdraw() {
			spent++
		}
		return spent
	}
	made.SetDaemons(20)
	require.Equal(t, 5, spend())
	for range 1000 {
		made.budget("press").Deposit()
	}
	made.SetDaemons(50)
	require.Equal(t, 2, spend(), "what was saved beyond the new part is lost")
	made.SetDaemons(0)
	require.InDelta(t, 2, made.budget("press").Reserve, 0.001, "no daemon attached is no word")
}

func TestWhatTheCatalogueLacksIsRefusedAtOnceAndCountsAsNoDemand(t *testing.T) {
	for _, target := range []fleet.Target{{Model: "made up"}, {Model: "m", Adapter: "made up"}} {
		s := arrange(t, routing.Stream, 1)
		s.call.Target = target
		failed, _ := s.serve(t)
		require.Equal(t, failure.Unavailable, failed.Kind)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Positive(t, failed.RetryAfter)
		require.Empty(t, s.core.Demand.Counts())
		require.Empty(t, s.driver.dispatches)
	}
}

// A replica said something of itself while the connection to it was opened.
func TestARequestThatItsReplicaNoLongerTakesGoesElsewhereForFree(t *testing.T) {
	for _, refusal := range []error{fleet.ErrDraining, fleet.ErrBackingOff} {
		withheld := func(context.Context, Dispatch) (*Reply, error) {
			return nil, &SendError{Cause: errors.Wrap(refusal, "not sent")}
		}
		s := arrange(t, routing.RunOnce, 1, withheld, reply(http.StatusOK, "whole", false))
		s.core.Retries = RetryPolicy{}
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, "whole", s.caller.String())
		require.NotEqual(t, s.driver.dispatches[0].ReplicaID, s.driver.dispatches[1].ReplicaID)
		pick, _ := s.core.Fleet.Choose(fleet.Ask{Service: "press"}, time.Now())
		require.Equal(t, s.driver.dispatches[0].ReplicaID, pick.ID, "it did not fail, and is still the first choice")
	}
}
