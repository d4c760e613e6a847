package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/kv"
)

// registerGauges registers what is read at the moment metrics are asked for.
func (n *Node) registerGauges() {
	for _, gauge := range []struct {
		name, help string
		value      func() float64
	}{
		{"finchspoke_config_version", "Version of the routing table in force; 0 before the first.", func() float64 { return float64(n.routes.Version()) }},
		{"finchspoke_store_era", "How often the key-value service was restored from a copy, by the records known here.", func() float64 { return float64(kv.EraOf(n.mirror.Revision())) }},
		{"finchspoke_replicas_known", "Replicas in the registry.", func() float64 { return float64(n.fleet.Len()) }},
		{"finchspoke_config_age_seconds", "Time since the configuration in force was taken; 0 without one.", n.tableAge},
		{"finchspoke_config_proof_age_seconds", "Time for which the configuration in force may have been out of date; -1 if it was never proven.", n.proofAge},
		{"finchspoke_quota_holder_answers", "1 if the holder of tenants' limits answers this daemon.", func() float64 { return truth(n.quotas.LeaderResponsive()) }},
		{"finchspoke_quota_credit", "Credit lent ahead to this daemon, of all tenants together, in their units.", func() float64 { return n.quotas.Credit() }},
		{"finchspoke_quarantine_named", "Requests known to have been at a replica that ended.", func() float64 {
			named, _, _ := n.quarantine.Counts()
			return float64(named)
		}},
		{"finchspoke_quarantine_withheld", "Requests that are withheld from replicas.", func() float64 {
			_, withheld, _ := n.quarantine.Counts()
			return float64(withheld)
		}},
		{"finchspoke_replicas_limited", "Replicas known to this daemon that named a limit.", func() float64 { return float64(n.fleet.RateLimitedCount()) }},
		{"finchspoke_permits_waiting", "Turns at replicas with a limit that this daemon gave out as the holder and that have not come yet.", func() float64 { return float64(n.limits.PendingReservations()) }},
		{"finchspoke_daemons_attached", "Daemons attached to the holder of load orders, as it last told.", func() float64 { return float64(n.core.Daemons()) }},
		{"finchspoke_store_reached", "1 if the key-value service answered last.", func() float64 { return truth(n.mirror.StoreReachable()) }},
		{"finchspoke_peer_connections", "Connections of other daemons to this one.", func() float64 { return float64(n.peers.Traffic().Connections) }},
		{"finchspoke_peer_sent_bytes", "Bytes sent on connections of other daemons to this one.", func() float64 { return float64(n.peers.Traffic().SentBytes) }},
		{"finchspoke_peer_received_bytes", "Bytes received on them.", func() float64 { return float64(n.peers.Traffic().ReceivedBytes) }},
		{"finchspoke_replicas_all_known", "1 if this daemon knows all replicas.", func() float64 { return truth(n.replicas.all()) }},
		{"finchspoke_term_fence", "Fence of this daemon's term; 0 if it has none.", func() float64 {
			fence, _ := n.election.Term()
			return float64(fence)
		}},
	} {
		n.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
}

// tableAge returns for how many seconds the table in force has been.
func (n *Node) tableAge() float64 {
	at := n.tableAt.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at).Seconds()
}

// proofAge returns for how many seconds the configuration may have been out of date.
func (n *Node) proofAge() float64 {
	age, known := n.gate.Age()
	if !known {
		return -1
	}
	return age.Seconds()
}

func truth(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// meter counts the calls to the key-value service.
func (n *Node) meter(store kv.LongPollStore) kv.LongPollStore {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_store_calls_total", Help: "Calls to the key-value service, by call and outcome.",
	}, []string{"call", "outcome"})
	n.metrics.MustRegister(calls)
	return &kv.MeteredStore{LongPollStore: store, Count: func(call, outcome string) { calls.WithLabelValues(call, outcome).Inc() }}
}

// CountDroppedLines registers the counter of log lines that were dropped.
func (n *Node) CountDroppedLines(dropped func() uint64) {
	n.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "finchspoke_log_lines_dropped_total", Help: "Log lines dropped because the writer was too slow.",
	}, func() float64 { return float64(dropped()) }))
}
