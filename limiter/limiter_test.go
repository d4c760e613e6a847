package limiter

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/faultproxy"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

var testBounds = quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 1000}

// term is what a test says of the holder's term.
type term struct {
	mutex    sync.Mutex
	fence    int64
	standing election.TermStatus
}

func (t *term) get() (int64, election.TermStatus) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.fence, t.standing
}

func (t *term) set(fence int64, standing election.TermStatus) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fence, t.standing = fence, standing
}

// holderOf serves tenants' limits; address is where.
func holderOf(t *testing.T, tenants ...*routing.Tenant) (held *term, address string) {
	t.Helper()
	table, err := routing.NewTable(routing.Revision{Version: 1, Tenants: tenants})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	held = &term{fence: 1, standing: election.TermValid}
	log, _ := test.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := transport.NewServer(listener)
	require.NoError(t, rpc.DRPCRegisterQuotas(server.Mux(), &Server{Bounds: testBounds, Table: routes, Term: held.get, IsFirstTerm: func() bool { return true }, Log: log}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx) }()
	return held, listener.Addr().String()
}

func clientOf(t *testing.T, address string) *Client {
	t.Helper()
	log, _ := test.NewNullLogger()
	client := &Client{Bounds: testBounds, Leader: func() string { return address }, Log: log}
	client.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = client.Serve(ctx) }()
	return client
}

func admit(t *testing.T, client *Client, tenant *routing.Tenant) (core.Permit, *failure.Error) {
	t.Helper()
	return client.Admit(t.Context(), tenant, 0, 0)
}

// awaitAdmit asks until a request is admitted.
func awaitAdmit(t *testing.T, client *Client, tenant *routing.Tenant) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, failed := admit(t, client, tenant)
		return failed == nil
	}, 5*time.Second, 5*time.Millisecond)
}

func brewery(perSecond float64) *routing.Tenant {
	return &routing.Tenant{Name: "brewery", Limit: quota.Limit{PerSecond: perSecond, Burst: perSecond}, CountsTokens: true, PlainTokens: 100}
}

func TestTwoDaemonsShareOneLimit(t *testing.T) {
	tenant := brewery(1)
	_, address := holderOf(t, tenant)
	first, second := clientOf(t, address), clientOf(t, address)
	awaitAdmit(t, first, tenant)
	awaitAdmit(t, second, tenant)
	admitted := 2
	var refused *failure.Error
	for refused == nil && admitted < 100 {
		for _, client := range []*Client{first, second} {
			if _, failed := admit(t, client, tenant); failed != nil {
				refused = failed
			} else {
				admitted++
			}
		}
	}
	require.Equal(t, failure.LimitExceeded, refused.Kind)
	require.Equal(t, failure.NotRun, refused.Execution)
	require.GreaterOrEqual(t, refused.RetryAfter, leastReturn)
	require.LessOrEqual(t, admitted*100, 1000+500, "what the slack allows, and one request more for each of them")
}

func TestWhatDidNotRunDoesNotCount(t *testing.T) {
	tenant := brewery(1)
	_, address := holderOf(t, tenant)
	client := clientOf(t, address)
	awaitAdmit(t, client, tenant)
	for range 100 {
		permit, failed := admit(t, client, tenant)
		require.Nil(t, failed)
		permit.Return()
	}
}

func TestATenantWithoutALimitIsNotAskedFor(t *testing.T) {
	client := clientOf(t, "127.0.0.1:1")
	permit, failed := admit(t, client, &routing.Tenant{Name: "free"})
	require.Nil(t, failed)
	permit.Return()
}

// Whoever loses the holder goes on with what was lent ahead, and no further.
func TestWithoutAHolderCreditIsUsedUpAndThenRefusedForNow(t *testing.T) {
	tenant := brewery(1000)
	held, address := holderOf(t, tenant)
	client := clientOf(t, address)
	awaitAdmit(t, client, tenant)
	held.set(0, election.NoTerm)
	admitted := 0
	require.Eventually(t, func() bool {
		_, failed := admit(t, client, tenant)
		if failed == nil {
			admitted++
			return false
		}
		return failed.Kind == failure.LimitUnknown && failed.RetryAfter > 0
	}, 5*time.Second, time.Millisecond)
	require.Positive(t, admitted)
	require.LessOrEqual(t, float64(admitted*100), testBounds.Slack+1000)
}

func TestAHolderThatIsNotSureOfItsTermGrantsNothing(t *testing.T) {
	tenant := brewery(1000)
	held, address := holderOf(t, tenant)
	held.set(1, election.TermStoreUnreachable)
	client := clientOf(t, address)
	_, failed := client.Admit(t.Context(), tenant, 0, 300*time.Millisecond)
	require.Equal(t, failure.LimitUnknown, failed.Kind)
	held.set(1, election.TermValid)
	awaitAdmit(t, client, tenant)
}

// A request that comes while the holder is being found waits for it a little.
func TestARequestWaitsForTheNextHolder(t *testing.T) {
	tenant := brewery(1000)
	held, address := holderOf(t, tenant)
	held.set(0, election.NoTerm)
	client := clientOf(t, address)
	time.AfterFunc(100*time.Millisecond, func() { held.set(2, election.TermValid) })
	_, failed := client.Admit(t.Context(), tenant, 0, 5*time.Second)
	require.Nil(t, failed)
}

// Open connections may fall silent for good while new ones work.
func TestAStreamThatFallsSilentIsReplaced(t *testing.T) {
	tenant := brewery(100_000)
	_, address := holderOf(t, tenant)
	proxy, err := faultproxy.New(address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	client := clientOf(t, proxy.Address())
	awaitAdmit(t, client, tenant)
	proxy.SilenceOpen()
	began := time.Now()
	require.Eventually(t, func() bool {
		_, failed := admit(t, client, tenant) // for the stream to have something to answer
		return failed == nil && client.LeaderResponsive()
	}, 5*time.Second, 20*time.Millisecond)
	require.Less(t, time.Since(began), 4*time.Second)
}

// said returns what a server says to a message of a process; the first message of a stream has
// the fence zero.
func said(t *testing.T, server *Server, fence int64, message *rpc.QuotaQuestions) *rpc.QuotaAnswers {
	t.Helper()
	answers, err := server.take("p", fence, message, time.Now())
	require.NoError(t, err)
	return answers
}

func serverOf(t *testing.T, held *term, tenant *routing.Tenant) *Server {
	t.Helper()
	table, err := routing.NewTable(routing.Revision{Version: 1, Tenants: []*routing.Tenant{tenant}})
	require.NoError(t, err)
	routes := &routing.Store{}
	routes.Put(table)
	log, _ := test.NewNullLogger()
	return &Server{Bounds: testBounds, Table: routes, Term: held.get, IsFirstTerm: func() bool { return true }, Log: log}
}

func question(cost float64) *rpc.QuotaQuestions {
	return &rpc.QuotaQuestions{Questions: []*rpc.QuotaQuestion{{Id: 1, Tenant: "brewery", Cost: cost}}}
}

// Another holder may be there while the lease does not surely hold: only what was lent and
// called in may be granted.
func TestAnUnsureHolderCallsCreditInAndGrantsNoMore(t *testing.T) {
	held := &term{fence: 1, standing: election.TermValid}
	server := serverOf(t, held, brewery(1000))
	lent := said(t, server, 0, question(100)).GetAnswers()[0].GetAhead()
	require.Positive(t, lent)

	held.set(1, election.TermStoreUnreachable)
	answers := said(t, server, 1, question(1))
	require.True(t, answers.GetCallIn())
	require.False(t, answers.GetAnswers()[0].GetGranted())
	returned := question(lent)
	returned.Returned = []*rpc.QuotaCredit{{Tenant: "brewery", Left: lent, ForMs: 1000}}
	require.True(t, said(t, server, 1, returned).GetAnswers()[0].GetGranted())
	require.False(t, said(t, server, 1, question(1)).GetAnswers()[0].GetGranted())

	held.set(1, election.TermValid)
	answers = said(t, server, 1, question(1))
	require.False(t, answers.GetCallIn())
	require.True(t, answers.GetAnswers()[0].GetGranted())
}

func TestOnlyTheFirstTermOfAllBeginsWithAFullBucket(t *testing.T) {
	held := &term{fence: 1, standing: election.TermValid}
	server := serverOf(t, held, brewery(1000))
	require.True(t, said(t, server, 0, question(100)).GetAnswers()[0].GetGranted())
	held.set(2, election.TermValid)
	_, err := server.take("p", 1, question(100), time.Now())
	require.ErrorIs(t, err, errNotHolding, "the stream is of the term before")
	require.False(t, said(t, server, 0, question(100)).GetAnswers()[0].GetGranted())
}
