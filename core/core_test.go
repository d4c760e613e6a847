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

// fakeBody is a response body that may be truncated.
type fakeBody struct {
	io.Reader
	broken bool
}

func (b *fakeBody) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	if err == io.EOF && b.broken {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
func (b *fakeBody) Buffered() int { return 0 }
func (b *fakeBody) Close() error  { return nil }

// scriptedDriver answers each dispatch with the next function of its script.
type scriptedDriver struct {
	script     []func(ctx context.Context, dispatch Dispatch) (*Reply, error)
	dispatches []Dispatch
}

// Send asks for admission first, as drivers do once a connection is open.
func (d *scriptedDriver) Send(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	if dispatch.Admit != nil {
		if err := dispatch.Admit(); err != nil {
			return nil, &SendError{Cause: err}
		}
	}
	d.dispatches = append(d.dispatches, dispatch)
	if len(d.dispatches) > len(d.script) {
		return nil, &SendError{Cause: errors.New("no more scripted replies")}
	}
	return d.script[len(d.dispatches)-1](ctx, dispatch)
}

func reply(status int, text string, broken bool) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Length: int64(len(text)), Body: &fakeBody{strings.NewReader(text), broken}}, nil
	}
}

func replyAs(disposition Disposition) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Disposition: disposition, Body: &fakeBody{Reader: strings.NewReader("")}}, nil
	}
}

func sendError(written bool) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return nil, &SendError{RequestWritten: written, Cause: errors.New("reset")}
	}
}

func neverReplies(ctx context.Context, _ Dispatch) (*Reply, error) {
	<-ctx.Done()
	return nil, &SendError{RequestWritten: true, Cause: ctx.Err()}
}

// responseRecorder records the response written to it.
type responseRecorder struct {
	bytes.Buffer
	status  int
	heads   []http.Header
	flushed int // length of the body that has been flushed
}

func (r *responseRecorder) WriteHead(status int, header http.Header, _ int64) {
	r.status = status
	r.heads = append(r.heads, header)
}
func (r *responseRecorder) Write(data []byte) error { r.Buffer.Write(data); return nil }
func (r *responseRecorder) Flush() error            { r.flushed = r.Len(); return nil }

type testSetup struct {
	core   *Core
	driver *scriptedDriver
	call   *Call
	caller responseRecorder
}

// newSetup returns a core with two replicas of one service that both have model m loaded.
func newSetup(t *testing.T, kind routing.Kind, attempts int, script ...func(context.Context, Dispatch) (*Reply, error)) *testSetup {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	directory := fleet.NewDirectory("a", func() float64 { return 0 })
	for _, id := range []string{"r1", "r2"} {
		directory.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1", Zone: "a", Holdings: fleet.Holdings{"m": nil}}, time.Now())
	}
	driver := &scriptedDriver{script: script}
	c := &Core{Fleet: directory, Demand: demand.NewTracker(), Driver: driver, Retries: RetryPolicy{Ratio: 0.1, Reserve: 5, Window: 10 * time.Second}, Now: time.Now, Draw: func() float64 { return 0.5 },
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: log}
	c.Prepare()
	for range 30 {
		c.depositRetry("press") // the retries of three earlier calls
	}
	service := &routing.Service{Name: "press", Engine: &routing.Engine{Models: map[string]*routing.Model{
		"m": {Name: "m", StoreLoadTime: 4 * time.Second}, "slow": {Name: "slow", StoreLoadTime: 4 * time.Second}}}}
	return &testSetup{core: c, driver: driver, call: &Call{
		ID: "1", Service: service, Target: fleet.Target{Model: "m"}, Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
		Route: &routing.Route{Name: "route", Kind: kind, Attempts: attempts, Objective: time.Second, Resumable: kind == routing.Stream && attempts > 1},
	}}
}

func (s *testSetup) serve(t *testing.T) (*failure.Error, bool) {
	t.Helper()
	return s.core.Serve(t.Context(), s.call, &s.caller)
}

func TestRunOnceRequestIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	s := newSetup(t, routing.RunOnce, 3, sendError(true), reply(200, "late", false))
	failed, _ := s.serve(t)
	require.Equal(t, failure.Unknown, failed.Execution, "the request may have run")
	require.Len(t, s.driver.dispatches, 1)
}

func TestUnsentOrRejectedRequestGoesToAnotherReplica(t *testing.T) {
	s := newSetup(t, routing.RunOnce, 1, sendError(false), replyAs(Rejected), reply(200, "whole", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, "whole", s.caller.String())
	require.NotEqual(t, s.driver.dispatches[0].ReplicaID, s.driver.dispatches[1].ReplicaID)
}

func TestInvalidResponseLeavesExecutionUnknown(t *testing.T) {
	s := newSetup(t, routing.RunOnce, 1, replyAs(InvalidResponse))
	failed, responseStarted := s.serve(t)
	require.False(t, responseStarted)
	require.Equal(t, failure.Unknown, failed.Execution)
}

func TestRepeatableRequestIsRetriedWithinAttempts(t *testing.T) {
	s := newSetup(t, routing.Repeatable, 2, reply(500, "broken", false), reply(200, "whole", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, "whole", s.caller.String())

	s = newSetup(t, routing.Repeatable, 2, reply(500, "one", false), reply(500, "two", false), reply(200, "three", false))
	failed, _ = s.serve(t)
	require.Nil(t, failed, "the last replica's error response is relayed")
	require.Equal(t, 500, s.caller.status)
	require.Equal(t, "two", s.caller.String())
	require.Len(t, s.driver.dispatches, 2)
}

func TestTruncatedShortResponseIsNotRelayed(t *testing.T) {
	s := newSetup(t, routing.RunOnce, 1, reply(200, "half", true))
	failed, responseStarted := s.serve(t)
	require.False(t, responseStarted)
	require.Equal(t, failure.Unknown, failed.Execution)
	require.Empty(t, s.caller.String())
}

func TestInterruptedStreamResumesAfterLastCompleteEvent(t *testing.T) {
	s := newSetup(t, routing.Stream, 2, reply(200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", true), reply(200, "id: 3\ndata: c\n\n", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", s.caller.String())
	require.Equal(t, "2", s.driver.dispatches[1].ResumeAfter)
}

// Guards against events that reach a caller twice after an interruption because line ends of different kinds hid them.
func TestInterruptedStreamWithMixedLineEndsResumesAfterItsLastEvent(t *testing.T) {
	for _, begin := range []string{"id: 1\ndata: a\n\rid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\rid: 2\r\ndata: b\r\n\r"} {
		s := newSetup(t, routing.Stream, 2, reply(http.StatusOK, begin+"id: 3\nda", true), reply(http.StatusOK, "id: 3\ndata: c\n\n", false))
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, begin+"id: 3\ndata: c\n\n", s.caller.String())
		require.Equal(t, "2", s.driver.dispatches[1].ResumeAfter)
	}
}

// endsWithConnection answers with a stream that has neither a length nor chunks and whose connection is closed
// without an error.
func endsWithConnection(text string) func(context.Context, Dispatch) (*Reply, error) {
	return endsWith(FramedByConnection, text)
}

// endsWith answers with a stream that ends without an error.
func endsWith(framing Framing, text string) func(context.Context, Dispatch) (*Reply, error) {
	return func(context.Context, Dispatch) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Length: -1, Framing: framing, Body: &fakeBody{Reader: strings.NewReader(text)}}, nil
	}
}

// eventStreams are the same three events in the line endings and fields that streams may have.
var eventStreams = map[string][]string{
	"LF":              {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 12\ndata: c\n\n"},
	"CR LF":           {"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n", "id: 12\r\ndata: c\r\n\r\n"},
	"CR":              {"id: 1\rdata: a\r\r", "id: 2\rdata: b\r\r", "id: 12\rdata: c\r\r"},
	"LF, CR":          {"id: 1\ndata: a\n\r", "id: 2\ndata: b\n\r", "id: 12\ndata: c\n\r"},
	"CR, LF":          {"id: 1\rdata: a\n\n", "id: 2\rdata: b\n\n", "id: 12\rdata: c\n\n"},
	"CR LF, LF":       {"id: 1\r\ndata: a\r\n\n", "id: 2\r\ndata: b\r\n\n", "id: 12\r\ndata: c\r\n\n"},
	"byte order mark": {"\ufeffid: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 12\ndata: c\n\n"},
	"several lines":   {"id: 1\ndata: a\ndata: a\n\n", "id: 2\nevent: x\ndata: b\n\n", "id: 12\nretry: 5\ndata: c\n\n"},
	"comments":        {": begin\nid: 1\ndata: a\n\n", "id: 2\n: b\ndata: b\n\n", ": end\nid: 12\ndata: c\n\n"},
	"id after fields": {"data: a\nid: 1\n\n", "data: b\nid: 2\n\n", "data: c\nid: 12\n\n"},
}

// Guards against a stream that its replica broke off inside an event and that reaches its caller as complete.
func TestStreamThatEndsInsideAnEventIsInterrupted(t *testing.T) {
	for name, events := range eventStreams {
		whole := strings.Join(events, "")
		ids := []string{"", "1", "2"}
		for eventIndex, start := 0, 0; eventIndex < len(events); eventIndex++ {
			for length := 1; length < len(events[eventIndex]); length++ {
				cut := start + length
				s := newSetup(t, routing.Stream, 1, endsWithConnection(whole[:cut]))
				failed, _ := s.serve(t)
				require.NotNil(t, failed, "%s: cut at byte %d", name, cut)
				require.Equal(t, whole[:start], s.caller.String(), "%s: cut at byte %d", name, cut)

				s = newSetup(t, routing.Stream, 2, endsWithConnection(whole[:cut]), endsWithConnection(whole[start:]))
				failed, _ = s.serve(t)
				require.Nil(t, failed, "%s: cut at byte %d", name, cut)
				require.Equal(t, whole, s.caller.String(), "%s: cut at byte %d", name, cut)
				require.Len(t, s.driver.dispatches, 2)
				require.Equal(t, ids[eventIndex], s.driver.dispatches[1].ResumeAfter, "%s: cut at byte %d", name, cut)
			}
			start += len(events[eventIndex])
		}
	}
}

// Guards against a stream whose replica closed the connection before the first event, and that reaches its caller as
// a complete stream without events.
func TestStreamThatEndsBeforeItsFirstEventIsInterrupted(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, empty := range []string{"", "\n", "\n\n", "\r\n\r\n", "\n\n\n\n", ": comment\n\n", "weight-versions: 3\n\n"} {
		blank := strings.Trim(empty, "\r\n") == ""
		s := newSetup(t, routing.Stream, 1, endsWithConnection(empty))
		failed, responseStarted := s.serve(t)
		require.NotNil(t, failed, "%q", empty)
		require.NotEqual(t, failure.NotRun, failed.Execution)
		require.Equal(t, blank, !responseStarted, "only comments have been sent: %q", empty)

		s = newSetup(t, routing.Stream, 2, endsWithConnection(empty), endsWithConnection(whole))
		failed, _ = s.serve(t)
		require.Nil(t, failed, "%q", empty)
		if blank {
			require.Equal(t, whole, s.caller.String(), "%q", empty)
		} else {
			require.Equal(t, empty+whole, s.caller.String())
		}

		s = newSetup(t, routing.Stream, 2, endsWithConnection("id: 1\ndata: a\n\nid"), endsWithConnection(empty))
		failed, _ = s.serve(t)
		require.NotNil(t, failed, "a resumption without events does not complete a stream: %q", empty)
	}
	s := newSetup(t, routing.Stream, 1, reply(http.StatusOK, "", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed, "the replica states that the stream has no events")
}

// Guards against a stream that is taken for one without events because of how its only event is written.
func TestEventNeedsNoMoreThanADataOrIDField(t *testing.T) {
	for _, event := range []string{"data: a\n\n", "data\n\n", "event: ping\ndata\n\n", "id: 1\n\n", "\ufeffdata: a\n\n", "\ufeffid\r\r"} {
		s := newSetup(t, routing.Stream, 1, endsWithConnection(event))
		failed, _ := s.serve(t)
		require.Nil(t, failed, "%q", event)
		require.Equal(t, event, s.caller.String())
	}
}

// putVersion sets the software version of a replica of newSetup, or adds a replica.
func (s *testSetup) putVersion(id, version string) {
	s.core.Fleet.Put(fleet.Entry{ID: id, Service: "press", Address: id + ":1", Zone: "a", Version: version, Holdings: fleet.Holdings{"m": nil}}, time.Now())
}

// Guards against a stream that goes on, within one response, at a replica of another software version.
func TestInterruptedStreamIsResumedAtItsSoftwareVersionOnly(t *testing.T) {
	const begin, end = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	s := newSetup(t, routing.Stream, 2, reply(200, begin, true), reply(200, end, false))
	s.putVersion("r1", "old")
	s.putVersion("r2", "new")
	s.putVersion("r3", "old")
	s.putVersion("r4", "new")
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, begin+end, s.caller.String())
	versions := map[string]string{"r1": "old", "r2": "new", "r3": "old", "r4": "new"}
	first, second := s.driver.dispatches[0].ReplicaID, s.driver.dispatches[1].ReplicaID
	require.NotEqual(t, first, second)
	require.Equal(t, versions[first], versions[second])

	s = newSetup(t, routing.Stream, 2, reply(200, begin, true), reply(200, end, false))
	s.putVersion("r1", "old")
	s.putVersion("r2", "new")
	s.driver.script[0] = func(ctx context.Context, dispatch Dispatch) (*Reply, error) {
		s.core.Fleet.Remove(dispatch.ReplicaID, time.Now())
		return reply(200, begin, true)(ctx, dispatch)
	}
	startedAt := time.Now()
	failed, responseStarted := s.serve(t)
	require.True(t, responseStarted)
	require.NotNil(t, failed, "no replica of the version that began the stream is left")
	require.Len(t, s.driver.dispatches, 1)
	require.Equal(t, begin, s.caller.String())
	require.Less(t, time.Since(startedAt), time.Second, "waiting cannot help")
}

// Guards against a version that is taken from a replica that sent no event.
func TestStreamWithoutEventsBindsNoSoftwareVersion(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	s := newSetup(t, routing.Stream, 2, endsWithConnection(": comment\n\n"), reply(200, whole, false))
	s.putVersion("r1", "old")
	s.putVersion("r2", "new")
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Len(t, s.driver.dispatches, 2)
	require.Equal(t, whole, strings.TrimPrefix(s.caller.String(), ": comment\n\n"))
}

// Guards against events that reach a caller twice, because an interrupted stream is resumed after an event before those
// that have no id.
func TestStreamIsNotResumedAfterEventsWithoutID(t *testing.T) {
	const numbered, incomplete = "id: 1\ndata: a\n\n", "id: 3\nda"
	replies := map[string]func(string) func(context.Context, Dispatch) (*Reply, error){
		"reset": func(text string) func(context.Context, Dispatch) (*Reply, error) {
			return reply(http.StatusOK, text, true)
		},
		"connection": endsWithConnection,
	}
	for how, breaksOff := range replies {
		for _, events := range []string{
			"data: b\n\n", "data\n\n", "id\ndata: b\n\n", "id:\ndata: b\n\n", "event: x\ndata: b\n\n", numbered + "data: b\n\n", numbered + "data: b\n\n: comment\n\n",
			numbered + "id:\ndata: b\n\n", numbered + "data: b\n\nid: 2\ndata: c\n\ndata: d\n\n", numbered + "data: b\r\n\r\n",
		} {
			s := newSetup(t, routing.Stream, 3, breaksOff(events+incomplete), reply(http.StatusOK, "data: again\n\n", false))
			s.call.ResumeAfter = "0"
			failed, _ := s.serve(t)
			require.NotNil(t, failed, "%s: %q", how, events)
			require.Equal(t, failure.ResponseInterrupted, failed.Kind)
			require.Equal(t, events, s.caller.String(), how)
			require.Len(t, s.driver.dispatches, 1, "%s: %q", how, events)

			s = newSetup(t, routing.Stream, 3, breaksOff(numbered+incomplete), breaksOff("data: b\n\n"+incomplete), reply(http.StatusOK, "data: again\n\n", false))
			failed, _ = s.serve(t)
			require.NotNil(t, failed, "the resumed stream has an event without an id")
			require.Len(t, s.driver.dispatches, 2)
		}
		for events, id := range map[string]string{
			"": "0", ": comment\n\n": "0", "\n\n": "0", "weight-versions: 3\n\n": "0", "retry: 5\n\n": "0", numbered: "1", numbered + ": comment\n\n\n\n": "1",
			"data: b\n\nid: 2\ndata: c\n\n": "2", numbered + "weight-versions: 3\n\n": "1", "id: 1\nid: 2\ndata: a\n\n": "2",
			numbered + "\ufeffdata: not the first line\n\n": "1",
		} {
			s := newSetup(t, routing.Stream, 3, breaksOff(events+incomplete), reply(http.StatusOK, "id: 3\ndata: d\n\n", false))
			s.call.ResumeAfter = "0"
			failed, _ := s.serve(t)
			require.Nil(t, failed, "%s: %q", how, events)
			require.Equal(t, strings.TrimLeft(events, "\n")+"id: 3\ndata: d\n\n", s.caller.String(), how)
			require.Equal(t, id, s.driver.dispatches[1].ResumeAfter, "%s: %q", how, events)
		}
	}
}

func TestInterruptedStreamIsNotReportedComplete(t *testing.T) {
	s := newSetup(t, routing.Stream, 1, reply(200, "id: 1\ndata: a\n\nid: 2\nda", true))
	failed, responseStarted := s.serve(t)
	require.True(t, responseStarted)
	require.Equal(t, failure.ResponseInterrupted, failed.Kind)
	require.Equal(t, "id: 1\ndata: a\n\n", s.caller.String())
}

func TestCallFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.RunOnce, 1, neverReplies)
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.DeadlineExceeded, failed.Kind)
		require.Equal(t, 10*time.Second, time.Since(startedAt))
	})
}

func TestUnresponsiveReplicaIsReplacedForRepeatableRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Repeatable, 2, neverReplies, reply(200, "whole", false))
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, objectivesPerAttempt*time.Second, time.Since(startedAt))
	})
}

func TestCallWaitsOnlyForLoadThatFinishesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 2, reply(200, "id: 1\n\n", false))
		s.call.Target.Model = "slow" // loads in 4 s, as long as callers of this route wait
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.GreaterOrEqual(t, failed.RetryAfter, 4*time.Second)
		require.Less(t, time.Since(startedAt), time.Second)
	})
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 2, reply(200, "id: 1\n\n", false))
		s.call.Target.Model = "slow"
		s.core.Fleet.ApplyLeaderRecord("r1", fleet.LeaderRecord{Fence: 1, Holdings: fleet.Holdings{},
			Loading: map[fleet.Target]time.Time{{Model: "slow"}: time.Now().Add(2 * time.Second)}}, time.Now())
		go func() {
			time.Sleep(2 * time.Second)
			s.core.Fleet.ApplyLeaderRecord("r1", fleet.LeaderRecord{Fence: 1, Sequence: 1, Holdings: fleet.Holdings{"slow": nil}}, time.Now())
		}()
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, 2*time.Second, time.Since(startedAt))
		overrun := &dto.Metric{}
		require.NoError(t, s.core.Metrics.overrun.Write(overrun))
		require.EqualValues(t, 1, overrun.GetHistogram().GetSampleCount(), "the actual wait is compared with the estimate")
		require.Zero(t, overrun.GetHistogram().GetSampleSum())
	})
}

// stopAfter returns the times of a stop that accepts calls as long as they can finish in time.
func stopAfter(delay time.Duration) StopDeadlines {
	return StopDeadlines{AcceptUntil: time.Now().Add(delay), EndBy: time.Now().Add(delay)}
}

func TestStopRefusesWaitingCallsAndFinishesRunningOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.Stream, 1)
		s.call.Route.Objective = 5 * time.Second
		s.call.Target.Model = "slow"
		time.AfterFunc(time.Second, func() { s.core.Stop(stopAfter(5 * time.Second)) })
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Equal(t, time.Second, time.Since(startedAt))
	})
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.RunOnce, 1, neverReplies)
		time.AfterFunc(time.Second, func() { s.core.Stop(stopAfter(5 * time.Second)) })
		startedAt := time.Now()
		failed, _ := s.serve(t)
		require.Equal(t, failure.Unavailable, failed.Kind)
		require.Equal(t, failure.Unknown, failed.Execution)
		require.Equal(t, 6*time.Second, time.Since(startedAt))
	})
}

func TestCallerDisconnectCancelsDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.RunOnce, 1, neverReplies)
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, disconnect)
		startedAt := time.Now()
		failed, _ := s.core.Serve(ctx, s.call, &s.caller)
		require.Equal(t, failure.CallerDisconnected, failed.Kind)
		require.Equal(t, time.Second, time.Since(startedAt))
	})
}

func TestRetriesStayWithinBudget(t *testing.T) {
	rejections := make([]func(context.Context, Dispatch) (*Reply, error), 200)
	for index := range rejections {
		rejections[index] = replyAs(Rejected)
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, routing.RunOnce, 1, rejections...)
		for range 20 {
			s.call.Arrived, s.call.Deadline = time.Now(), time.Now().Add(10*time.Second)
			failed, _ := s.serve(t)
			require.Equal(t, failure.NotRun, failed.Execution)
		}
		require.LessOrEqual(t, len(s.driver.dispatches), 20+5+2, "one dispatch for each call, the reserve and a tenth for retries")
	})
}

func TestEventSplitterCutsAtEventBoundaries(t *testing.T) {
	for _, text := range []string{"id: 1\ndata: x\n\nid: 2\n\nid: 3\nda", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\nid: 3\r\nda", "id: 1\rdata: x\r\rid: 2\r\rid: 3\rda"} {
		for size := 1; size < len(text); size++ {
			splitter := &eventSplitter{}
			var passed []byte
			last := ""
			for start := 0; start < len(text); start += size {
				splitter.pending = append(splitter.pending, text[start:min(start+size, len(text))]...)
				events, id := splitter.completeEvents()
				passed = append(passed, events...)
				if id != "" {
					last = id
				}
				splitter.discard(len(events))
			}
			require.Equal(t, text[:strings.Index(text, "id: 3")], string(passed), "size %d", size)
			require.Equal(t, "2", last)
		}
	}
}

// Guards against a share of the reserve that a process has before it has heard for long enough how many
// daemons there are, keeps while its leader is silent, or raises at once when daemons are missing.
func TestRetryReserveIsSharedByDaemons(t *testing.T) {
	now := time.Now()
	core := &Core{Retries: RetryPolicy{Ratio: 0.1, Reserve: 1000, Window: 10 * time.Second},
		Now: func() time.Time { return now }, Draw: func() float64 { return 0.999 }}
	hear := func(daemons int, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(time.Second) {
			core.SetDaemonCount(daemons)
		}
	}
	spend := func() (spent int) {
		for allowed, _ := core.withdrawRetry("press"); allowed; allowed, _ = core.withdrawRetry("press") {
			spent++
		}
		return spent
	}
	require.Zero(t, spend(), "a process starts without retries")
	hear(20, shareSettleTime)
	require.Zero(t, spend(), "the number of daemons is not settled")
	hear(20, time.Minute)
	require.Equal(t, 40, spend(), "the part of a twentieth that may be held")
	hear(20, 4*time.Second)
	require.InDelta(t, 4, spend(), 1, "what a twentieth yields in that time")
	hear(50, time.Minute)
	require.Equal(t, 16, spend(), "the part of a fiftieth that may be held")
	hear(50, time.Minute)
	hear(10, 3*time.Second)
	require.Equal(t, 16, spend(), "missing daemons may still have their shares")
	hear(50, time.Minute)
	spend()
	now = now.Add(8 * time.Second)
	core.SetDaemonCount(50)
	require.Zero(t, spend(), "the reserve yields nothing while the leader is silent")
	hear(50, time.Minute)
	now = now.Add(11 * time.Second)
	require.Zero(t, spend(), "the leader was silent for more than a window")
	for range 30 {
		core.depositRetry("press")
	}
	require.Equal(t, 3, spend(), "requests earn retries without a leader")
	core.SetDaemonCount(0)
	require.Equal(t, 50, core.DaemonCount(), "zero daemons is no report")
}

func TestUndeclaredTargetIsRefusedWithoutDemand(t *testing.T) {
	for _, target := range []fleet.Target{{Model: "made up"}, {Model: "m", Adapter: "made up"}} {
		s := newSetup(t, routing.Stream, 1)
		s.call.Target = target
		failed, _ := s.serve(t)
		require.Equal(t, failure.Unavailable, failed.Kind)
		require.Equal(t, failure.NotRun, failed.Execution)
		require.Positive(t, failed.RetryAfter)
		require.Empty(t, s.core.Demand.Counts())
		require.Empty(t, s.driver.dispatches)
	}
}

// Guards against counting a replica as failed, or charging the retry budget, if the replica began to
// drain or asked for a back-off while the connection was opened.
func TestNotAdmittedRequestIsRetriedWithoutBudget(t *testing.T) {
	for _, refusal := range []error{fleet.ErrDraining, fleet.ErrBackingOff} {
		refuse := func(context.Context, Dispatch) (*Reply, error) {
			return nil, &SendError{Cause: errors.Wrap(refusal, "not sent")}
		}
		s := newSetup(t, routing.RunOnce, 1, refuse, reply(http.StatusOK, "whole", false))
		s.core.Retries = RetryPolicy{Window: time.Second}
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, "whole", s.caller.String())
		require.NotEqual(t, s.driver.dispatches[0].ReplicaID, s.driver.dispatches[1].ReplicaID)
		pick, _ := s.core.Fleet.Choose(fleet.Query{Service: "press"}, time.Now())
		require.Equal(t, s.driver.dispatches[0].ReplicaID, pick.ID, "the replica did not fail and is still preferred")
	}
}
