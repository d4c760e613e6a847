package limiter

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/boottime"
)

// A machine that was suspended must not use credit that its holder counts as lapsed: the
// monotonic clock stood still meanwhile.
func TestCreditLapsesWhileTheMachineIsSuspended(t *testing.T) {
	tenant := brewery(1000)
	held, address := holderOf(t, tenant)
	suspended := atomic.Int64{}
	start := time.Now()
	clock := boottime.New(start, func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) })
	log, _ := test.NewNullLogger()
	client := &Client{Bounds: testBounds, Leader: func() string { return address }, Now: clock.Now, Log: log}
	client.Prepare()
	go func() { _ = client.Serve(t.Context()) }()
	awaitAdmit(t, client, tenant)
	require.Positive(t, client.Credit(), "lent ahead with the answer")
	held.set(0, 0) // the holder is lost
	suspended.Store(int64(2 * testBounds.Window))
	require.Zero(t, client.Credit())
	require.False(t, client.useAhead(tenant.Name, 1))
}
