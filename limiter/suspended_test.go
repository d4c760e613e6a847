package limiter

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/boottime"
)

// The monotonic clock stops while a machine is suspended. Credit that the leader counts as expired
// must not be used after the resume.
func TestCreditExpiresWhileMachineIsSuspended(t *testing.T) {
	tenant := testTenant(1000)
	leaderTerm, address := startLeader(t, tenant)
	suspended := atomic.Int64{}
	start := time.Now()
	clock := boottime.New(start, func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) })
	log, _ := test.NewNullLogger()
	client := &Client{Bounds: testBounds, Leader: func() string { return address }, Now: clock.Now, Log: log}
	client.Prepare()
	go func() { _ = client.Serve(t.Context()) }()
	awaitAdmit(t, client, tenant)
	require.Positive(t, client.Credit(), "granted with the answer")
	leaderTerm.set(0, 0) // the leader is lost
	suspended.Store(int64(2 * testBounds.Window))
	require.Zero(t, client.Credit())
	require.False(t, client.useCredit(tenant.Name, 1))
}
