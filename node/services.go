package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/records"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return ctx.Err()
}

// readiness answers whether the node takes callers. It is a suture service.
type readiness struct {
	node     *Node
	path     string
	listener net.Listener
}

// String names the service in the supervisor's events.
func (r *readiness) String() string { return "readiness" }

// Serve implements suture.Service.
func (r *readiness) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.path, func(writer http.ResponseWriter, _ *http.Request) {
		if !r.node.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveHTTP(ctx, r.listener, mux)
}

// metricsServer serves the figures of the process. It is a suture service.
type metricsServer struct {
	registry *prometheus.Registry
	listener net.Listener
}

// String names the service in the supervisor's events.
func (m *metricsServer) String() string { return "metrics" }

// Serve implements suture.Service.
func (m *metricsServer) Serve(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return serveHTTP(ctx, m.listener, mux)
}

// sweeper closes connections that nothing uses any more. It is a suture service.
type sweeper struct{ node *Node }

const poolSweep = 5 * time.Second

// String names the service in the supervisor's events.
func (s *sweeper) String() string { return "connection-sweeper" }

// Serve implements suture.Service.
func (s *sweeper) Serve(ctx context.Context) error {
	for sleep.For(ctx, poolSweep) {
		wanted := map[string]bool{}
		for _, entry := range s.node.fleet.Entries() {
			wanted[entry.Address] = true
		}
		s.node.pool.Sweep(func(address string) bool { return wanted[address] })
	}
	return ctx.Err()
}

// knowledge tells peers what the records say. It implements rpc.DRPCPeersServer.
type knowledge struct{ mirror *records.Mirror }

// Knowledge implements rpc.DRPCPeersServer.
func (k *knowledge) Knowledge(context.Context, *rpc.KnowledgeRequest) (*rpc.KnowledgeAnswer, error) {
	pairs, revision := k.mirror.Known()
	answer := &rpc.KnowledgeAnswer{Revision: revision}
	for _, pair := range pairs {
		answer.Records = append(answer.Records, &rpc.Record{Key: pair.Key, Value: pair.Value, Revision: pair.ModRevision})
	}
	return answer, nil
}

// introduction asks peers for what they know while the key-value service does not
// answer here. It is a suture service.
type introduction struct{ node *Node }

const (
	// storeGrace is how long a daemon waits for the service itself first.
	storeGrace  = 400 * time.Millisecond
	askInterval = time.Second
	askTimeout  = 700 * time.Millisecond
)

// String names the service in the supervisor's events.
func (i *introduction) String() string { return "introduction" }

// Serve implements suture.Service.
func (i *introduction) Serve(ctx context.Context) error {
	sleep.For(ctx, storeGrace)
	for round := 0; ctx.Err() == nil; round++ {
		if !i.node.mirror.Reached() {
			peers := i.peers()
			if len(peers) > 0 {
				i.ask(ctx, peers[round%len(peers)])
			}
		}
		sleep.For(ctx, askInterval)
	}
	return ctx.Err()
}

// peers lists the addresses that may know more: the seeds and the order holder.
func (i *introduction) peers() []string {
	var peers []string
	for _, seed := range append([]string{i.node.election.HolderAddress()}, *i.node.seeds.Load()...) {
		if seed != "" && seed != i.node.config.PeerAddress {
			peers = append(peers, seed)
		}
	}
	return peers
}

func (i *introduction) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	answer, err := rpc.NewDRPCPeersClient(conn).Knowledge(ctx, &rpc.KnowledgeRequest{DaemonId: i.node.config.ID})
	if err != nil {
		return
	}
	pairs := make([]kv.Pair, 0, len(answer.GetRecords()))
	for _, record := range answer.GetRecords() {
		pairs = append(pairs, kv.Pair{Key: record.GetKey(), Value: record.GetValue(), ModRevision: record.GetRevision()})
	}
	if i.node.mirror.Offer(pairs, answer.GetRevision()) {
		i.node.log.WithFields(logrus.Fields{logging.Source: address, logging.Revision: answer.GetRevision()}).Info("records taken from a peer")
	}
}
