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

// gateFixture is a gate with a clock and a verification time that tests set.
type gateFixture struct {
	*Gate
	now, verifiedAt time.Time
}

func newGateFixture(t *testing.T, strict bool) *gateFixture {
	f := &gateFixture{now: time.Unix(1_000, 0)}
	f.Gate = &Gate{
		Table: &routing.Store{}, VerifiedAt: func() time.Time { return f.verifiedAt }, Now: func() time.Time { return f.now },
		AgeLimit: AgeLimit{MaxAge: maxAge, Strict: strict},
	}
	f.verifiedAt = f.now
	f.putTable(t, 1, "first", "second")
	return f
}

func (f *gateFixture) putTable(t *testing.T, version int64, keys ...string) {
	tenant := &routing.Tenant{Name: "brewery"}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, callers.Hash(key))
	}
	table, err := routing.NewTable(routing.Revision{Version: version, Tenants: []*routing.Tenant{tenant}})
	require.NoError(t, err)
	require.True(t, f.Table.Put(table))
}

func TestKeyIsAcceptedOnlyUnderRecentConfiguration(t *testing.T) {
	gate := newGateFixture(t, true)
	tenant, failed := gate.ResolveTenant(callers.Hash("first"))
	require.Nil(t, failed)
	require.Equal(t, "brewery", tenant.Name)

	gate.now = gate.verifiedAt.Add(maxAge + time.Millisecond) // partitioned, or the process was suspended
	_, failed = gate.ResolveTenant(callers.Hash("first"))
	require.Equal(t, failure.ConfigOutdated, failed.Kind)
	require.Equal(t, failure.NotRun, failed.Execution)
	require.Positive(t, failed.RetryAfter)
	require.False(t, gate.Ready())

	gate.verifiedAt = gate.now
	_, failed = gate.ResolveTenant(callers.Hash("first"))
	require.Nil(t, failed)
	require.True(t, gate.Ready())
}

func TestRevokedKeyIsRejected(t *testing.T) {
	gate := newGateFixture(t, true)
	gate.putTable(t, 2, "second")
	_, failed := gate.ResolveTenant(callers.Hash("first"))
	require.Equal(t, failure.Unauthenticated, failed.Kind)
	require.NotContains(t, failed.Error(), "first", "the error contains the key")
}

// A key or route that is unknown here may exist in a newer configuration.
func TestStaleConfigurationYieldsTemporaryErrors(t *testing.T) {
	for _, strict := range []bool{true, false} {
		gate := newGateFixture(t, strict)
		_, unknown := gate.ResolveTenant(callers.Hash("third"))
		require.Equal(t, failure.Unauthenticated, unknown.Kind)
		require.Equal(t, failure.Unauthenticated, gate.MissingKey().Kind)
		require.Equal(t, failure.ModelNotAllowed, gate.NoRoute("host", "/path").Kind)

		gate.now = gate.verifiedAt.Add(maxAge + time.Millisecond)
		_, unknown = gate.ResolveTenant(callers.Hash("third"))
		for _, failed := range []*failure.Error{unknown, gate.MissingKey(), gate.NoRoute("host", "/path")} {
			require.Equal(t, failure.ConfigOutdated, failed.Kind)
			require.Positive(t, failed.RetryAfter)
		}
	}
}

func TestKnownKeyIsAcceptedWithoutStrictLimit(t *testing.T) {
	gate := newGateFixture(t, false)
	gate.now = gate.verifiedAt.Add(time.Hour)
	_, failed := gate.ResolveTenant(callers.Hash("first"))
	require.Nil(t, failed)
	require.True(t, gate.Ready())
}

func TestGateWithoutConfigurationIsUnavailable(t *testing.T) {
	gate := &Gate{Table: &routing.Store{}, VerifiedAt: func() time.Time { return time.Time{} }, Now: time.Now, AgeLimit: AgeLimit{MaxAge: maxAge, Strict: true}}
	_, failed := gate.ResolveTenant(callers.Hash("first"))
	require.Equal(t, failure.Unavailable, failed.Kind)
	require.Equal(t, failure.Unavailable, gate.MissingKey().Kind)
	require.False(t, gate.Ready())
}
