package kv_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/faultproxy"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/standin/fault"
	"github.com/finchspoke/finchspoke/standin/keyvalue"
)

func start(t *testing.T) (*kv.Client, *keyvalue.Server, *faultproxy.Proxy) {
	t.Helper()
	service := keyvalue.New(100_000)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	proxy, err := faultproxy.New(strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return kv.NewClient(proxy.Address()), service, proxy
}

func create(key, value string) kv.Txn {
	return kv.Txn{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: []byte(value)}}}
}

func TestCompareAndSwap(t *testing.T) {
	client, _, _ := start(t)
	ctx := context.Background()
	result, err := client.Commit(ctx, create("k", "one"))
	require.NoError(t, err)
	require.True(t, result.Succeeded)
	refused, err := client.Commit(ctx, create("k", "two"))
	require.NoError(t, err)
	require.False(t, refused.Succeeded)
	require.Equal(t, "one", string(refused.Current[0].Value))
	swapped, err := client.Commit(ctx, kv.Txn{Conditions: []kv.Condition{{Key: "k", ModRevision: result.Revision}},
		Puts: []kv.Put{{Key: "k", Value: []byte("two")}}})
	require.NoError(t, err)
	require.True(t, swapped.Succeeded)
	pairs, _, err := client.List(ctx, "k")
	require.NoError(t, err)
	require.Len(t, pairs, 1)
}

func TestErrorsDistinguishUncertainWrites(t *testing.T) {
	client, service, proxy := start(t)
	ctx := context.Background()
	service.Faults.Set(keyvalue.Faults{DropResponsesPercent: 100})
	_, err := client.Commit(ctx, create("lost", "v"))
	require.ErrorIs(t, err, kv.ErrUncertain)
	_, found, err := client.Get(ctx, "lost")
	require.NoError(t, err)
	require.True(t, found, "the write took effect")
	service.Faults.Set(keyvalue.Faults{})
	proxy.Close()
	_, err = client.Commit(ctx, create("never", "v"))
	require.Error(t, err)
	_, err = kv.NewClient("127.0.0.1:1").Commit(ctx, create("never", "v"))
	require.ErrorIs(t, err, kv.ErrUnavailable)
}

func TestCommitResolvedHandlesLostResponses(t *testing.T) {
	client, service, proxy := start(t)
	ctx := context.Background()
	service.Faults.Set(keyvalue.Faults{DropResponsesPercent: 100})
	result, err := kv.CommitResolved(ctx, client, create("mine", "writer-1"))
	require.NoError(t, err)
	require.True(t, result.Succeeded)
	result, err = kv.CommitResolved(ctx, client, create("mine", "writer-2"))
	require.NoError(t, err)
	require.False(t, result.Succeeded, "another writer holds the key")
	service.Faults.Set(keyvalue.Faults{})
	proxy.Set(faultproxy.Faults{DropResponses: true})
	_, err = kv.CommitResolved(ctx, client, create("other", "writer-1"))
	require.ErrorIs(t, err, kv.ErrUncertain, "the key cannot be read back")
}

func TestFollowReportsEveryChangeAcrossOutages(t *testing.T) {
	client, service, proxy := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan string, 100)
	go func() {
		_ = kv.Follow(ctx, client, "p/", func(event kv.Event) { received <- event.Pair.Key + "=" + string(event.Pair.Value) })
	}()
	for number := range 3 {
		key := fmt.Sprintf("p/%d", number)
		// The proxy may just have cut the connection, which loses the response.
		_, err := kv.CommitResolved(ctx, client, create(key, "v"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return <-received == key+"=v" }, 10*time.Second, time.Millisecond)
		switch number {
		case 0:
			proxy.CloseConnections()
		case 1:
			service.Faults.Set(keyvalue.Faults{Outage: true})
			service.Faults.Set(keyvalue.Faults{Delay: fault.Duration(time.Millisecond)})
		}
	}
}

func TestKeysAreDeletedWhenTheirLeaseExpires(t *testing.T) {
	client, _, _ := start(t)
	ctx := context.Background()
	lease, err := client.GrantLease(ctx, time.Second)
	require.NoError(t, err)
	txn := create("leased", "v")
	txn.Puts[0].Lease = lease
	_, err = client.Commit(ctx, txn)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, found, err := client.Get(ctx, "leased")
		return err == nil && !found
	}, 10*time.Second, 50*time.Millisecond)
}
