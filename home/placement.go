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
	// reportInterval is how often changed demand is reported when nothing is
	// urgent.
	reportInterval = 500 * time.Millisecond
	// urgentPause gathers what arrives together into one report.
	urgentPause = 2 * time.Millisecond
	// placerRetryPause is the wait before the placer is looked for again.
	placerRetryPause = 100 * time.Millisecond
)

// Reporter tells the region's placer of the demand in a server's queues, and the
// server of its replicas. It is a suture service.
type DemandReporter struct {
	server *Server
	region string
}

// NewDemandReporter returns the reporter of a server in a region.
func NewDemandReporter(server *Server, region string) *DemandReporter {
	return &DemandReporter{server: server, region: region}
}

// String names the service in the supervisor's events.
func (r *DemandReporter) String() string { return "demand-reporter" }

// Serve implements suture.Service. While no placer answers, the replicas known
// last stay in use.
func (r *DemandReporter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.follow(ctx); err != nil && ctx.Err() == nil {
			r.server.log.WithError(err).Debug("no placer; replicas known last stay in use")
		}
		sleep.For(ctx, placerRetryPause)
	}
	return ctx.Err()
}

// follow keeps one stream to the placer until it breaks or another should place.
func (r *DemandReporter) follow(ctx context.Context) error {
	placer, found := r.server.view().Placer(r.region)
	if !found {
		return errors.New("no member runs in the region")
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
	ended := make(chan error, 1)
	go func() { ended <- r.receive(stream) }()
	reported := map[string]map[string]bool{}
	if err := stream.Send(r.report(true, reported)); err != nil {
		return errors.Wrap(err, "report demand")
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-r.server.urgent:
			sleep.For(ctx, urgentPause)
		case <-ticker.C:
			if now, found := r.server.view().Placer(r.region); !found || now.ID != placer.ID {
				return errors.New("another member places now")
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
			r.server.SetReplicas(model.GetBaseModel(), replicasOf(model), time.Duration(model.GetReadyInMs())*time.Millisecond)
		}
	}
}

func replicasOf(model *rpc.ModelReplicas) []queue.Replica {
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

// report gathers the demand that changed, or all of it; queues long unused are
// forgotten. reported remembers the targets told of in this stream, by model.
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
		held := s.queues[model]
		if held == nil {
			continue
		}
		if reported[model] == nil {
			reported[model] = map[string]bool{}
		}
		for _, demand := range held.Demands() {
			reported[model][demand.Target] = true
			report.Models = append(report.Models, &rpc.ModelDemand{
				BaseModel: model, Target: demand.Target, Waiting: uint32(demand.Waiting), Urgent: uint32(demand.Urgent),
				Running: uint32(demand.Running), IdleMs: now.Sub(demand.LastUsed).Milliseconds()})
		}
	}
	clear(s.dirty)
	report.Models = append(report.Models, s.forget(now, reported)...)
	return report
}

// forget drops the queues that were long unused; the mutex is held.
func (s *Server) forget(now time.Time, reported map[string]map[string]bool) []*rpc.ModelDemand {
	var forgotten []*rpc.ModelDemand
	for model, held := range s.queues {
		if held.Waiting()+held.Running() > 0 || !allUnused(held, now) {
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

func allUnused(held *queue.Queue, now time.Time) bool {
	for _, demand := range held.Demands() {
		if now.Sub(demand.LastUsed) < forgetAfter {
			return false
		}
	}
	return true
}
