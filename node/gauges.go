package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/kv"
)

// registerGauges registers the metrics whose values are read on each scrape.
func (n *Node) registerGauges() {
	for _, gauge := range []struct {
		name, help string
		value      func() float64
	}{
		{"finchspoke_config_version", "Version of the current routing table; 0 if there is none.", func() float64 { return float64(n.routes.Version()) }},
		{"finchspoke_store_era", "How often the key-value service was restored from a backup, according to the records on this daemon.", func() float64 { return float64(kv.EraOf(n.mirror.Revision())) }},
		{"finchspoke_replicas_known", "Replicas known to this daemon.", func() float64 { return float64(n.fleet.Len()) }},
		{"finchspoke_config_age_seconds", "Time since the current configuration was applied; 0 if there is none.", n.tableAge},
		{"finchspoke_config_proof_age_seconds", "Time since the current configuration was last known to be up to date; -1 if it never was.", n.verificationAge},
		{"finchspoke_quota_holder_answers", "1 if the leader, which keeps the limits of tenants, responds to this daemon.", func() float64 { return boolToFloat(n.limitClient.LeaderResponsive()) }},
		{"finchspoke_quota_credit", "Prepaid allowance of this daemon, summed over all tenants, in the units of their limits.", func() float64 { return n.limitClient.Credit() }},
		{"finchspoke_quota_standby", "1 if this daemon is the leader's standby, which holds the credit of all tenants.", func() float64 { return boolToFloat(n.limitClient.IsStandby()) }},
		{"finchspoke_quarantine_named", "Distinct requests that were running on a replica when it ended unexpectedly.", func() float64 {
			suspects, _, _ := n.quarantine.Counts()
			return float64(suspects)
		}},
		{"finchspoke_quarantine_withheld", "Distinct requests that are quarantined, so that they are not sent to replicas.", func() float64 {
			_, quarantined, _ := n.quarantine.Counts()
			return float64(quarantined)
		}},
		{"finchspoke_quarantine_parts_named", "Distinct parts of prompts that were at a crash of a replica and are not cleared of it.", func() float64 {
			suspected, _ := n.quarantine.PartCounts()
			return float64(suspected)
		}},
		{"finchspoke_quarantine_parts_withheld", "Distinct parts of prompts that are quarantined, so that no request with them is sent to replicas.", func() float64 {
			_, quarantined := n.quarantine.PartCounts()
			return float64(quarantined)
		}},
		{"finchspoke_replicas_limited", "Replicas known to this daemon that have stated a request limit.", func() float64 { return float64(n.fleet.RateLimitedCount()) }},
		{"finchspoke_permits_waiting", "Reservations at replicas with a request limit that this daemon granted as the leader and that are not due yet.", func() float64 { return float64(n.limitServer.PendingReservations()) }},
		{"finchspoke_daemons_attached", "Daemons attached to the leader, as last reported by it.", func() float64 { return float64(n.core.DaemonCount()) }},
		{"finchspoke_store_reached", "1 if the last call to the key-value service succeeded.", func() float64 { return boolToFloat(n.mirror.StoreReachable()) }},
		{"finchspoke_peer_connections", "Open connections from other daemons.", func() float64 { return float64(n.peers.Traffic().Connections) }},
		{"finchspoke_peer_sent_bytes", "Bytes sent on connections from other daemons.", func() float64 { return float64(n.peers.Traffic().SentBytes) }},
		{"finchspoke_peer_received_bytes", "Bytes received on connections from other daemons.", func() float64 { return float64(n.peers.Traffic().ReceivedBytes) }},
		{"finchspoke_replicas_all_known", "1 if this daemon knows all replicas.", func() float64 { return boolToFloat(n.replicas.knowsAll()) }},
		{"finchspoke_term_fence", "Fencing token of this daemon's term; 0 if it is not the leader.", func() float64 {
			fence, _ := n.election.Term()
			return float64(fence)
		}},
	} {
		n.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
}

// tableAge returns the seconds since the current routing table was applied; 0 without one.
func (n *Node) tableAge() float64 {
	at := n.tableAppliedAt.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at).Seconds()
}

// verificationAge returns the seconds since the configuration was last known to be current; -1 if it never was.
func (n *Node) verificationAge() float64 {
	age, known := n.gate.Age()
	if !known {
		return -1
	}
	return age.Seconds()
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// meterStore wraps the client of the key-value service so that its calls are counted.
func (n *Node) meterStore(store kv.LongPollStore) kv.LongPollStore {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_store_calls_total", Help: "Calls to the key-value service, by call and outcome.",
	}, []string{"call", "outcome"})
	n.metrics.MustRegister(calls)
	return &kv.MeteredStore{LongPollStore: store, Count: func(call, outcome string) { calls.WithLabelValues(call, outcome).Inc() }}
}

// CountDroppedLines registers a counter of dropped log lines; dropped returns its value.
func (n *Node) CountDroppedLines(dropped func() uint64) {
	n.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "finchspoke_log_lines_dropped_total", Help: "Log lines dropped because the writer was too slow.",
	}, func() float64 { return float64(dropped()) }))
}
