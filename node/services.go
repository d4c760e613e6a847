package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/finchspoke/finchspoke/sleep"
)

// maxInternalHeaderBytes bounds the heads of requests for readiness and metrics.
const maxInternalHeaderBytes = 16 << 10

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return ctx.Err()
}

// readiness serves the readiness check: status 200 if the node should receive requests, else 503. It is a
// suture service.
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

// metricsServer serves the metrics to Prometheus. It is a suture service.
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

// connectionSweeper closes idle connections that have expired, and those to replicas that are no longer known.
// It is a suture service.
type connectionSweeper struct{ node *Node }

const sweepInterval = 5 * time.Second

// String names the service in the supervisor's events.
func (s *connectionSweeper) String() string { return "connection-sweeper" }

// Serve implements suture.Service.
func (s *connectionSweeper) Serve(ctx context.Context) error {
	for sleep.For(ctx, sweepInterval) {
		listed := map[string]bool{}
		for _, entry := range s.node.fleet.Entries() {
			listed[entry.Address] = true
		}
		s.node.pool.Sweep(func(address string) bool { return listed[address] })
	}
	return ctx.Err()
}
