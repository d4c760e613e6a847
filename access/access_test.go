package access

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/callers"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/routing"
)

const maxAge = 3 * time.Second

// situation is a gate with a clock and a proof that tests set.
type situation struct {
	*Gate
	now, proven time.Time
}

func newSituation(t *testing.T, strict bool) *situation {
	s := &situation{now: time.Unix(1_000, 0)}
	s.Gate = &Gate{
		Table: &routing.Store{}, VerifiedAt: func() time.Time { return s.proven }, Now: func() time.Time { return s.now },
		AgeLimit: AgeLimit{MaxAge: maxAge, Strict: strict},
	}
	s.proven = s.now
	s.put(t, 1, "first", "second")
	return s
}

func (s *situation) put(t *testing.T, version int64, keys ...string) {
	tenant := &routing.Tenant{Name: "brewery"}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, callers.Hash(key))
	}
	table, err := routing.NewTable(routing.Revision{Version: version, Tenants: []*routing.Tenant{tenant}})
	require.NoError(t, err)
	require.True(t, s.Table.Put(table))
}

func TestAKeyIsGoodOnlyUnderARecentConfiguration(t *testing.T) {
	s := newSituation(t, true)
	tenant, failed := s.ResolveTenant(callers.Hash("first"))
	require.Nil(t, failed)
	require.Equal(t, "brewery", tenant.Name)

	s.now = s.proven.Add(maxAge + time.Millisecond) // nothing was heard, or the process stood still
	_, failed = s.ResolveTenant(callers.Hash("first"))
	require.Equal(t, failure.ConfigOutdated, failed.Kind)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Positive(t, failed.RetryAfter)
	require.False(t, s.Ready())

	s.proven = s.now
	_, failed = s.ResolveTenant(callers.Hash("first"))
	require.Nil(t, failed)
	require.True(t, s.Ready())
}

func TestAKeyThatWasTakenAwayIsRefusedAtOnce(t *testing.T) {
	s := newSituation(t, true)
	s.put(t, 2, "second")
	_, failed := s.ResolveTenant(callers.Hash("first"))
	require.Equal(t, failure.Unauthenticated, failed.Kind)
	require.NotContains(t, failed.Error(), "first", "keys are never shown")
}

// What does not exist here may exist in a newer configuration.
func TestNothingIsSaidNotToExistUnderAnOldConfiguration(t *testing.T) {
	for _, strict := range []bool{true, false} {
		s := newSituation(t, strict)
		_, unknown := s.ResolveTenant(callers.Hash("third"))
		require.Equal(t, failure.Unauthenticated, unknown.Kind)
		require.Equal(t, failure.Unauthenticated, s.MissingKey().Kind)
		require.Equal(t, failure.ModelNotAllowed, s.NoRoute("host", "/path").Kind)

		s.now = s.proven.Add(maxAge + time.Millisecond)
		_, unknown = s.ResolveTenant(callers.Hash("third"))
		for _, failed := range []*failure.Error{unknown, s.MissingKey(), s.NoRoute("host", "/path")} {
			require.Equal(t, failure.ConfigOutdated, failed.Kind)
			require.Positive(t, failed.RetryAfter)
		}
	}
}

func TestWithoutAStrictBoundAKnownKeyStaysGood(t *testing.T) {
	s := newSituation(t, false)
	s.now = s.proven.Add(time.Hour)
	_, failed := s.ResolveTenant(callers.Hash("first"))
	require.Nil(t, failed)
	require.True(t, s.Ready())
}

func TestADaemonWithoutAConfigurationJudgesNothing(t *testing.T) {
	gate := &Gate{Table: &routing.Store{}, VerifiedAt: func() time.Time { return time.Time{} }, Now: time.Now, AgeLimit: AgeLimit{MaxAge: maxAge, Strict: true}}
	_, failed := gate.ResolveTenant(callers.Hash("first"))
	require.Equal(t, failure.Unavailable, failed.Kind)
	require.Equal(t, failure.Unavailable, gate.MissingKey().Kind)
	require.False(t, gate.Ready())
}
