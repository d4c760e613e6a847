package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/balancer"
	"github.com/finchspoke/finchspoke/boottime"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/election"
	"github.com/finchspoke/finchspoke/routing"
)

// assembleBalancer connects the core to the leader's joint assignment of replicas.
func (n *Node) assembleBalancer(requestCore *core.Core) {
	metrics := balancer.NewMetrics(n.metrics)
	n.balanceClient = &balancer.Client{Leader: n.election.LeaderAddress, IsEnabled: n.assignsJointly, Now: boottime.Now, Metrics: metrics, Log: n.log}
	n.balanceClient.Prepare()
	n.election.Subscribe(func(election.Leader) { n.balanceClient.LeaderChanged() })
	n.balanceServer = &balancer.Server{Term: n.election.Term, Now: boottime.Now, Metrics: metrics, Log: n.log}
	requestCore.Balancer = n.balanceClient
	unreadTokens := func() float64 {
		tokens, _ := n.balanceServer.UnreadTokens()
		return float64(tokens)
	}
	busiestShare := func() float64 {
		_, share := n.balanceServer.UnreadTokens()
		return share
	}
	n.metrics.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "finchspoke_balance_unread_tokens", Help: "Prompt tokens that replicas have not read yet, by the leader's account of all daemons; 0 on other daemons."}, unreadTokens),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "finchspoke_balance_busiest_share", Help: "Share of those tokens on the replica with the most."}, busiestShare),
	)
}

// assignsJointly reports whether the leader assigns replicas for any service of the routing table.
func (n *Node) assignsJointly() (enabled bool) {
	if table := n.routes.Current(); table != nil {
		table.Services(func(service *routing.Service) { enabled = enabled || service.Engine.BatchesEvents() })
	}
	return enabled
}
