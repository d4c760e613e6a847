package home

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/queue"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// reportInterval is how often changed demand is reported if none is urgent.
	reportInterval = 500 * time.Millisecond
	// batchDelay lets changes that arrive together go into one report.
	batchDelay = 2 * time.Millisecond
	// placerRetryDelay is the delay before reconnecting to the placer.
	placerRetryDelay = 100 * time.Millisecond
)

// DemandReporter reports the demand in a server's queues to the region's placer, and
// passes the replicas that the placer sends to the server. It is a suture service.
type DemandReporter struct {
	server *Server
	region string
}

// NewDemandReporter returns a reporter from a server to a region's placer.
func NewDemandReporter(server *Server, region string) *DemandReporter {
	return &DemandReporter{server: server, region: region}
}

// String names the service in the supervisor's events.
func (r *DemandReporter) String() string { return "demand-reporter" }

// Serve implements suture.Service. While there is no placer, the server keeps using the
// replicas received last.
func (r *DemandReporter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.watchPlacer(ctx); err != nil && ctx.Err() == nil {
			r.server.log.WithError(err).Debug("no connection to the placer; the replicas received last stay in use")
		}
		sleep.For(ctx, placerRetryDelay)
	}
	return ctx.Err()
}

// watchPlacer exchanges demand and replicas with the placer until the stream breaks or
// another daemon becomes the placer.
func (r *DemandReporter) watchPlacer(ctx context.Context) error {
	placer, found := r.server.view().Placer(r.region)
	if !found {
		return errors.New("no daemon of the region is running")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := transport.Dial(ctx, placer.RPCAddress)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	stream, err := rpc.NewDRPCPlacerClient(connection).Watch(ctx)
	if err != nil {
		return errors.Wrap(err, "watch placement")
	}
	receiveErr := make(chan error, 1)
	go func() { receiveErr <- r.receive(stream) }()
	reported := map[string]map[string]bool{}
	if err := stream.Send(r.report(true, reported)); err != nil {
		return errors.Wrap(err, "report demand")
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-receiveErr:
			return err
		case <-r.server.urgent:
			sleep.For(ctx, batchDelay)
		case <-ticker.C:
			if current, found := r.server.view().Placer(r.region); !found || current.ID != placer.ID {
				return errors.New("another daemon has become the placer")
			}
		}
		if report := r.report(false, reported); len(report.GetModels()) > 0 {
			if err := stream.Send(report); err != nil {
				return errors.Wrap(err, "report demand")
			}
		}
	}
}

func (r *DemandReporter) receive(stream rpc.DRPCPlacer_WatchClient) error {
	for {
		update, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "watch placement")
		}
		for _, model := range update.GetModels() {
			r.server.SetReplicas(model.GetBaseModel(), replicasFrom(model), time.Duration(model.GetReadyInMs())*time.Millisecond)
		}
	}
}

func replicasFrom(model *rpc.ModelReplicas) []queue.Replica {
	replicas := make([]queue.Replica, 0, len(model.GetReplicas()))
	for _, info := range model.GetReplicas() {
		replica := queue.Replica{ID: info.GetReplicaId(), EngineID: info.GetEngineId(), Address: info.GetAddress(), Zone: info.GetZone(), Adapters: map[string]bool{}}
		for _, adapter := range info.GetAdapters() {
			replica.Adapters[adapter] = true
		}
		replicas = append(replicas, replica)
	}
	return replicas
}

// report returns the demand that changed, or all of it, and drops idle queues. reported
// holds the targets reported on this stream, by model.
func (r *DemandReporter) report(all bool, reported map[string]map[string]bool) *rpc.DemandReport {
	s := r.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	report := &rpc.DemandReport{HomeId: s.selfID}
	if all {
		for model := range s.queues {
			s.dirty[model] = true
		}
	}
	for model := range s.dirty {
		q := s.queues[model]
		if q == nil {
			continue
		}
		if reported[model] == nil {
			reported[model] = map[string]bool{}
		}
		for _, demand := range q.Demands() {
			reported[model][demand.Target] = true
			report.Models = append(report.Models, &rpc.ModelDemand{
				BaseModel: model, Target: demand.Target, Waiting: uint32(demand.Waiting), Urgent: uint32(demand.Urgent),
				Running: uint32(demand.Running), IdleMs: now.Sub(demand.LastUsed).Milliseconds()})
		}
	}
	clear(s.dirty)
	report.Models = append(report.Models, s.dropIdleQueues(now, reported)...)
	return report
}

// dropIdleQueues deletes the queues unused for idleQueueRetention and returns messages that
// make the placer forget their targets. The caller holds the mutex.
func (s *Server) dropIdleQueues(now time.Time, reported map[string]map[string]bool) []*rpc.ModelDemand {
	var forgotten []*rpc.ModelDemand
	for model, q := range s.queues {
		if q.Waiting()+q.Running() > 0 || !isIdle(q, now) {
			continue
		}
		delete(s.queues, model)
		for target := range reported[model] {
			forgotten = append(forgotten, &rpc.ModelDemand{BaseModel: model, Target: target, Forget: true})
		}
		delete(reported, model)
	}
	return forgotten
}

func isIdle(q *queue.Queue, now time.Time) bool {
	for _, demand := range q.Demands() {
		if now.Sub(demand.LastUsed) < idleQueueRetention {
			return false
		}
	}
	return true
}
