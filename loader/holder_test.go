package loader

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/routing"
)

// grantingStore gives every lease and every term.
type grantingStore struct{ kv.LeaseStore }

func (grantingStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) { return 1, nil }

func (grantingStore) Commit(context.Context, kv.Txn) (kv.TxnResult, error) {
	return kv.TxnResult{Succeeded: true, Revision: 7}, nil
}

func (grantingStore) KeepLease(context.Context, kv.LeaseID) error { return nil }

// silentReplicas answer nothing.
type silentReplicas struct{}

func (silentReplicas) Order(context.Context, fleet.Entry, loading.Order, string, int64) (Answer, error) {
	return 0, errors.New("no answer")
}

func (silentReplicas) Report(context.Context, fleet.Entry) (loading.Report, error) {
	return loading.Report{}, errors.New("no answer")
}

// A term can begin before any routing table is known: the store answers the
// campaign before the operator has written one.
func TestATermThatBeginsBeforeATableIsKnownWaitsForIt(t *testing.T) {
	log := logrus.New()
	log.SetOutput(t.Output())
	made := election.New(election.Config{Key: "term", Daemon: "d1", Address: "a:1", TTL: 3 * time.Second}, grantingStore{}, log)
	began := make(chan struct{})
	made.Listen(func(election.Holder) { close(began) })
	made.Vacate()
	go func() { _ = made.Serve(t.Context()) }()
	<-began
	holder := &Holder{
		Daemon: "d1", Fleet: fleet.NewDirectory("a", func() float64 { return 0 }), Table: &routing.Store{}, Replicas: silentReplicas{},
		Election: made, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, FirstStart: true,
	}
	holder.Prepare()
	require.NotPanics(t, func() { holder.turn(t.Context(), time.Now()) })
}
