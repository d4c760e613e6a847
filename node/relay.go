package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/finchspoke/finchspoke/relay"
	"github.com/finchspoke/finchspoke/upstream"
)

// assembleRelay connects the pool to other daemons, through which requests reach replicas that this daemon
// cannot connect to, and serves them likewise.
func (n *Node) assembleRelay() {
	opened := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "finchspoke_relay_opened_total", Help: "Attempts to open a connection to a replica through another daemon, by outcome.",
	}, []string{"outcome"})
	n.metrics.MustRegister(opened)
	client := &relay.Client{
		Daemon: n.config.ID, Zone: n.config.Zone, Leader: func() string { return n.election.LeaderAddress() }, Dial: upstream.Dial,
		CountOpen: func(outcome string) { opened.WithLabelValues(outcome).Inc() },
	}
	n.pool.SetRelay(client.Open)
	n.relay = &relay.Server{Resolve: n.replicaAddress, IsDown: n.pool.IsDown, Dial: n.pool.Dial, Attached: func() ([]relay.Peer, bool) { return n.leader.Peers() }, Log: n.log}
	n.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "finchspoke_relay_connections", Help: "Connections to replicas that this daemon relays for others.",
	}, func() float64 { return float64(n.relay.Connections()) }))
}

// replicaAddress returns the address of a replica; false if this daemon does not know it.
func (n *Node) replicaAddress(id string) (string, bool) {
	entry, found := n.fleet.Entry(id)
	return entry.Address, found
}
