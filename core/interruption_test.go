package core

import (
	"context"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/bytebudget"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/routing"
)

// framed answers with a body in a framing. If broken, the body ends with an error.
func framed(framing Framing, text string, broken bool) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Length: -1, Framing: framing, Body: &fakeBody{strings.NewReader(text), broken}}, nil
	}
}

// Guards against a long response without a length that its replica broke off and that reaches its caller as complete.
func TestLongResponseThatBreaksOffIsNotReportedComplete(t *testing.T) {
	for _, framing := range []Framing{FramedByChunks, FramedByConnection} {
		for _, length := range []int{maxBufferedResponse + 1, maxBufferedResponse + 100, maxBufferedResponse + chunkBytes + 1, 3 * maxBufferedResponse} {
			for _, kind := range []routing.Kind{routing.RunOnce, routing.Repeatable} {
				text := strings.Repeat("x", length)
				s := newSetup(t, kind, 2, framed(framing, text, true), framed(framing, text, false))
				failed, responseStarted := s.serve(t)
				require.NotNil(t, failed, "%s, %d bytes", framing, length)
				require.True(t, responseStarted, "the caller interface must abort the response")
				require.Equal(t, failure.ResponseInterrupted, failed.Kind)
				require.Equal(t, failure.Partial, failed.Execution)
				require.Len(t, s.driver.dispatches, 1, "a part of the response has been sent")

				s = newSetup(t, kind, 2, framed(framing, text, false))
				failed, _ = s.serve(t)
				require.Nil(t, failed)
				require.Equal(t, text, s.caller.String())
			}
		}
		s := newSetup(t, routing.RunOnce, 2, framed(framing, strings.Repeat("x", maxBufferedResponse), true))
		failed, responseStarted := s.serve(t)
		require.NotNil(t, failed)
		require.False(t, responseStarted, "a shorter response is relayed only if it is complete")
	}
}

// count returns the value of the counters of a metric that have a label, or the observations of its histograms.
func count(t *testing.T, collector prometheus.Collector, label string) (total int) {
	t.Helper()
	metrics := make(chan prometheus.Metric, 100)
	collector.Collect(metrics)
	close(metrics)
	for metric := range metrics {
		written := &dto.Metric{}
		require.NoError(t, metric.Write(written))
		for _, pair := range written.GetLabel() {
			if pair.GetValue() == label {
				total += int(written.GetCounter().GetValue()) + int(written.GetHistogram().GetSampleCount())
			}
		}
	}
	return total
}

// hasRunTime reports whether the fleet directory knows how long requests run.
func (s *testSetup) hasRunTime() bool {
	query := fleet.Query{Service: "press", Target: s.call.Target}
	for _, id := range []string{"r1", "r2"} {
		s.core.Fleet.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1", Zone: "a", Slots: 1, Holdings: fleet.Holdings{"m": nil}}, time.Now())
	}
	for range 4 { // more requests than slots
		s.core.Fleet.Choose(query, time.Now())
	}
	query.MaxQueueTime = 1
	_, miss := s.core.Fleet.Choose(query, time.Now())
	return miss == fleet.Saturated
}

// Guards against responses that were broken off and count as answered: in the health of the replica, the quarantine, the
// estimates of run times, and the metrics.
func TestBrokenOffResponseCountsNowhereAsAnswered(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	long := strings.Repeat("x", 2*maxBufferedResponse)
	for name, test := range map[string]struct {
		kind     routing.Kind
		send     func(context.Context, Dispatch) (*Reply, error)
		answered bool
		result   Result
	}{
		"complete stream":                      {routing.Stream, framed(FramedByConnection, event, false), true, Answered},
		"complete long response":               {routing.RunOnce, framed(FramedByConnection, long, false), true, Answered},
		"ends inside an event, by connection":  {routing.Stream, framed(FramedByConnection, event+"id", false), false, Broken},
		"ends inside an event, by chunks":      {routing.Stream, framed(FramedByChunks, event+"id", false), false, Broken},
		"ends inside an event, by length":      {routing.Stream, framed(FramedByLength, event+"id", false), false, Broken},
		"ends inside the first event":          {routing.Stream, framed(FramedByConnection, "id", false), false, Lost},
		"ends before the first event":          {routing.Stream, framed(FramedByConnection, "", false), false, Lost},
		"reset between events":                 {routing.Stream, framed(FramedByConnection, event, true), false, Broken},
		"long response, reset":                 {routing.RunOnce, framed(FramedByConnection, long, true), false, Broken},
		"short response, reset":                {routing.RunOnce, framed(FramedByConnection, "half", true), false, Lost},
		"event without id, ends inside events": {routing.Stream, framed(FramedByConnection, "data: a\n\nda", false), false, Broken},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSetup(t, test.kind, 1, func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
				time.Sleep(time.Second)
				return test.send(ctx, dispatch)
			})
			quarantined := &fakeQuarantine{allowed: 10}
			s.core.Quarantine = quarantined
			s.call.Tenant = &routing.Tenant{Name: "brewery"}
			failed, _ := s.serve(t)
			number := map[bool]int{true: 1}[test.answered]
			require.Equal(t, test.answered, failed == nil, name)

			require.Equal(t, number, quarantined.served, name)
			require.Equal(t, 1-number, quarantined.broken, name)
			require.Zero(t, quarantined.abandoned, name)
			require.Equal(t, test.answered, s.core.times.typical(s.call.Route.Name) > 0, "%s: run time of the route", name)

			require.Equal(t, number, count(t, s.core.Metrics.ended, logging.OutcomeAnswered), name)
			require.Equal(t, number, count(t, s.core.Metrics.ended, string(failure.Completed)), name)
			require.Equal(t, number, count(t, s.core.Metrics.tenantRequests, logging.OutcomeAnswered), name)
			require.Equal(t, number, count(t, s.core.Metrics.duration, test.kind.String()), name)
			require.Equal(t, number, count(t, s.core.Metrics.dispatches, Answered.String()), name)
			require.Equal(t, 1, count(t, s.core.Metrics.dispatches, test.result.String()), name)

			for range 20 { // a replica that broke a response off is not chosen while there is another
				pick, miss := s.core.Fleet.Choose(fleet.Query{Service: "press", Target: s.call.Target}, time.Now())
				require.Equal(t, fleet.Found, miss)
				require.False(t, !test.answered && pick.ID == s.driver.dispatches[0].ReplicaID, "%s: the replica counts as sound", name)
				pick.Cancel()
			}
			require.Equal(t, test.answered, s.hasRunTime(), "%s: run time of the service", name)
		})
	}
}

// Guards against responses that are held although the daemon has no memory for them, and against one that is cut or
// repeated because it cannot be held.
func TestResponsesBeyondTheMemoryBudgetAreNotHeld(t *testing.T) {
	text := strings.Repeat("x", maxBufferedResponse/2)
	for _, length := range []int64{int64(len(text)), -1} {
		s := newSetup(t, routing.RunOnce, 1, func(context.Context, Dispatch) (*Reply, error) {
			return &Reply{Status: http.StatusOK, Header: http.Header{}, Length: length, Body: &fakeBody{Reader: strings.NewReader(text)}}, nil
		})
		refused := map[string]int{}
		s.core.Memory = bytebudget.New(maxBufferedResponse/4, func(input string) { refused[input]++ })
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, text, s.caller.String())
		require.Equal(t, map[string]int{inputResponses: 1}, refused)
		require.Zero(t, s.core.Memory.Used())
	}
}

// Guards against an event that is held although the daemon has no memory for it, and against events that were received
// before it and are lost.
func TestEventBeyondTheMemoryBudgetInterruptsItsStream(t *testing.T) {
	const first = "id: 1\ndata: first\n\n"
	s := newSetup(t, routing.Stream, 1, framed(FramedByChunks, first+"id: 2\ndata: "+strings.Repeat("x", maxEventBytes/2)+"\n\n", false))
	s.core.Memory = bytebudget.New(bytebudget.SmallBytes, nil)
	failed, responseStarted := s.serve(t)
	require.NotNil(t, failed)
	require.True(t, responseStarted)
	require.Equal(t, first, s.caller.String())
	require.Zero(t, s.core.Memory.Used())
}

// Guards against a response that states the largest length, at which the daemon fails and its caller gets no answer.
func TestAResponseWithTheLargestLengthIsIncomplete(t *testing.T) {
	s := newSetup(t, routing.RunOnce, 1, func(context.Context, Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Length: math.MaxInt64, Body: &fakeBody{strings.NewReader("part"), true}}, nil
	})
	failed, responseStarted := s.serve(t)
	require.NotNil(t, failed)
	require.False(t, responseStarted)
	require.Equal(t, failure.Unknown, failed.Execution)
}
