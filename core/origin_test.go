package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/origin"
	"github.com/finchspoke/finchspoke/routing"
)

// fakeOrigins gives one resolution to each query and keeps what it is told.
type fakeOrigins struct {
	resolution origin.Resolution
	queries    []origin.Query
	recorded   []origin.Origin
}

func (f *fakeOrigins) RecordOrigin(began origin.Origin) { f.recorded = append(f.recorded, began) }

func (f *fakeOrigins) Resolve(_ context.Context, query origin.Query) origin.Resolution {
	f.queries = append(f.queries, query)
	return f.resolution
}

// newResumption returns a core with a replica of each of two software versions, and a call that resumes a stream.
func newResumption(t *testing.T, origins *fakeOrigins) *testSetup {
	t.Helper()
	s := newSetup(t, routing.Stream, 2, reply(200, "id: 3\ndata: c\n\n", false))
	s.putVersion("r1", "old")
	s.putVersion("r2", "new")
	s.core.Origins = origins
	s.call.ResumeAfter, s.call.ResumedAttempt, s.call.Fingerprint = "2", "first", [16]byte{7}
	return s
}

// Guards against a resumed stream that goes on at a replica of another software version than the one that began it.
func TestResumedStreamGoesToTheVersionThatBeganIt(t *testing.T) {
	for version, replica := range map[string]string{"old": "r1", "new": "r2"} {
		origins := &fakeOrigins{resolution: origin.Resolution{Known: true, Version: version, Source: origin.SourcePeer}}
		s := newResumption(t, origins)
		failed, _ := s.serve(t)
		require.Nil(t, failed)
		require.Equal(t, replica, s.driver.dispatches[0].ReplicaID)
		require.Equal(t, []origin.Query{{Attempt: "first", Fingerprint: [16]byte{7}, Service: "press"}}, origins.queries)
		require.Equal(t, []origin.Origin{{Attempt: "first", Fingerprint: [16]byte{7}, Service: "press", Version: version}}, origins.recorded)
	}
}

// Guards against a guess, or a wait, where no daemon knows which software version began a stream.
func TestResumedStreamOfUnknownOriginIsRefusedAtOnce(t *testing.T) {
	s := newResumption(t, &fakeOrigins{resolution: origin.Resolution{Reason: "two versions serve"}})
	startedAt := time.Now()
	failed, responseStarted := s.serve(t)
	require.False(t, responseStarted)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Contains(t, failed.Error(), "two versions serve")
	require.Contains(t, failed.Remedy, "without the id of the last event")
	require.Empty(t, s.driver.dispatches)
	require.Less(t, time.Since(startedAt), time.Second)
}

// Guards against a wait for a software version that no longer serves, or does not have the model.
func TestResumedStreamWhoseVersionCannotServeIsRefusedAtOnce(t *testing.T) {
	origins := &fakeOrigins{resolution: origin.Resolution{Known: true, Version: "gone"}}
	s := newResumption(t, origins)
	startedAt := time.Now()
	failed, _ := s.serve(t)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Contains(t, failed.Error(), fleet.VersionNotServing.String())
	require.Equal(t, defaultRetryAfter, failed.RetryAfter, "every refusal says when to come back")

	origins.resolution.Version = "old"
	s = newResumption(t, origins)
	s.core.Fleet.Put(fleet.Entry{ID: "r1", Service: "press", Version: "old", Holdings: fleet.Holdings{}}, time.Now())
	failed, _ = s.serve(t)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Contains(t, failed.Error(), fleet.VersionNotLoaded.String())
	require.Empty(t, s.driver.dispatches)
	require.Less(t, time.Since(startedAt), time.Second)
	require.Empty(t, origins.recorded)
}

// Guards against origins that are recorded for streams that no caller can resume, or under the wrong attempt.
func TestOriginOfAStreamIsRecordedAtItsFirstEvent(t *testing.T) {
	origins := &fakeOrigins{}
	s := newResumption(t, origins)
	s.call.ResumeAfter, s.call.ResumedAttempt = "", "not resumed"
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Empty(t, origins.queries)
	versions := map[string]string{"r1": "old", "r2": "new"}
	require.Equal(t, []origin.Origin{{Attempt: "1", Fingerprint: [16]byte{7}, Service: "press", Version: versions[s.driver.dispatches[0].ReplicaID]}}, origins.recorded)

	origins = &fakeOrigins{}
	s = newResumption(t, origins)
	s.call.Route.Resumable, s.call.ResumeAfter = false, ""
	failed, _ = s.serve(t)
	require.Nil(t, failed)
	require.Empty(t, origins.recorded)
}

// Guards against a stream that goes on at, or is recorded for, the version that its replica had before it started again
// while a connection to it was opened.
func TestStreamIsNotSentToAReplicaThatChangedItsSoftwareVersion(t *testing.T) {
	for name, resumeAfter := range map[string]string{"resumed": "2", "begun": ""} {
		origins := &fakeOrigins{resolution: origin.Resolution{Known: true, Version: "old"}}
		s := newResumption(t, origins)
		s.core.Fleet.Remove("r2", time.Now())
		s.putVersion("r3", "old")
		s.call.ResumeAfter = resumeAfter
		whole := s.driver.script[0]
		changed := ""
		s.driver.script = []func(context.Context, Dispatch) (*Reply, error){func(_ context.Context, dispatch Dispatch) (*Reply, error) {
			changed = dispatch.ReplicaID
			require.NoError(t, dispatch.Admit(), name)
			s.putVersion(changed, "new")
			return nil, &SendError{Cause: dispatch.Admit()}
		}, whole}
		failed, _ := s.serve(t)
		require.Nil(t, failed, name)
		require.Len(t, s.driver.dispatches, 2, name)
		require.NotEqual(t, changed, s.driver.dispatches[1].ReplicaID, name)
		require.Equal(t, "old", origins.recorded[0].Version, name)
	}
	s := newSetup(t, routing.RunOnce, 1, reply(200, "whole", false))
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Nil(t, s.driver.dispatches[0].Admit, "no version matters to other requests")
}

// fakeRegistry states versions of replicas by id; it does not know others.
type fakeRegistry map[string]string

func (f fakeRegistry) VersionOf(_ context.Context, replica string) (version string, known bool) {
	version, known = f[replica]
	return version, known
}

// Guards against a resumed stream that goes on at a replica whose new software version this daemon has not learned, or
// that is refused because the registry cannot be read.
func TestResumedStreamGoesOnWhereTheRegistryStatesItsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		registry fakeRegistry
		replica  string // where the stream goes on; empty: nowhere
	}{
		"first replica changed":  {fakeRegistry{"r1": "new", "r2": "old"}, "r2"},
		"second replica changed": {fakeRegistry{"r1": "old", "r2": "new"}, "r1"},
		"both changed":           {fakeRegistry{"r1": "new", "r2": "newer"}, ""},
		"one not listed":         {fakeRegistry{"r1": "new"}, "r2"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newResumption(t, &fakeOrigins{resolution: origin.Resolution{Known: true, Version: "old"}})
			s.putVersion("r2", "old")
			s.core.Registry = test.registry
			failed, _ := s.serve(t)
			if test.replica == "" {
				require.Equal(t, failure.NotRun, failed.Execution)
				require.Empty(t, s.driver.dispatches)
				return
			}
			require.Nil(t, failed)
			require.Len(t, s.driver.dispatches, 1)
			require.Equal(t, test.replica, s.driver.dispatches[0].ReplicaID)
		})
	}
	s := newResumption(t, &fakeOrigins{resolution: origin.Resolution{Known: true, Version: "old"}})
	s.core.Registry = fakeRegistry{}
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Equal(t, "r1", s.driver.dispatches[0].ReplicaID)
}

// Guards against a read of the registry for each new stream.
func TestNewStreamsDoNotReadTheRegistry(t *testing.T) {
	s := newResumption(t, &fakeOrigins{})
	s.core.Registry = fakeRegistry{"r1": "newer", "r2": "newer"}
	s.call.ResumeAfter, s.call.ResumedAttempt = "", ""
	failed, _ := s.serve(t)
	require.Nil(t, failed)
	require.Len(t, s.driver.dispatches, 1)
}
