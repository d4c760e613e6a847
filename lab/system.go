// Package lab runs complete systems of daemons and stand-ins on loopback, generates load against them and
// measures latency, overhead and control-plane cost.
package lab

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/config"
	"github.com/finchspoke/finchspoke/daemon"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/standin/engines"
	"github.com/finchspoke/finchspoke/standin/keyvalue"
	"github.com/finchspoke/finchspoke/standin/machines"
	"github.com/finchspoke/finchspoke/standin/weights"
)

// Location is where a daemon runs.
type Location struct {
	Region string
	Zone   string
}

// Options configures a system.
type Options struct {
	Tree                 *settings.Tree
	Daemons              []Location
	Timing               engines.Timing
	WeightBytesPerSecond float64 // of one load from the weight store
	KeyValueOpsPerSecond float64 // of the key-value stand-in; zero means its default
	ProbeInterval        time.Duration
	// LimitPeers configures each daemon with only the first few daemons as peers, instead of all earlier ones.
	LimitPeers bool
	Log        logrus.FieldLogger
}

// maxLimitedPeers is the number of configured peers with Options.LimitPeers.
const maxLimitedPeers = 3

// FastTiming returns the timing of engines that load and decode fast enough for tests.
func FastTiming() engines.Timing {
	timing := engines.DefaultTiming()
	timing.StepTime = 2 * time.Millisecond
	timing.AdapterLoadTime = 20 * time.Millisecond
	timing.DiskBytesPerSecond = 100 << 30
	timing.MemoryBytesPerSecond = 400 << 30
	return timing
}

// System is a running system. Callers may inject faults into its stand-ins and read their histories.
type System struct {
	KeyValue        *keyvalue.Server
	KeyValueAddress string
	Machines        *machines.Server
	MachinesAddress string
	Weights         map[string]*weights.Server // by region
	Engines         map[string]*engines.Engine // by machine id
	Daemons         []*daemon.Daemon

	options Options
	servers []*http.Server
	cancel  context.CancelFunc
	ctx     context.Context
	workers sync.WaitGroup
	cancels map[string]context.CancelFunc // by daemon id
}

// readyPollInterval is the pause between two status requests to a daemon that is not ready.
const readyPollInterval = 5 * time.Millisecond

// StartSystem starts the daemons and a stand-in for every engine of the tree's services. It does not apply
// the tree; see Apply.
func StartSystem(options Options) (*System, error) {
	ctx, cancel := context.WithCancel(context.Background())
	system := &System{
		options: options, ctx: ctx, cancel: cancel, Weights: map[string]*weights.Server{}, Engines: map[string]*engines.Engine{},
		cancels: map[string]context.CancelFunc{},
	}
	if err := system.start(); err != nil {
		system.Stop()
		return nil, err
	}
	return system, nil
}

func (s *System) start() error {
	var err error
	s.KeyValue = keyvalue.New(s.options.KeyValueOpsPerSecond)
	if s.KeyValueAddress, err = s.serve(s.KeyValue); err != nil {
		return err
	}
	listed, err := s.startEngines()
	if err != nil {
		return err
	}
	s.Machines = machines.New(listed...)
	if s.MachinesAddress, err = s.serve(s.Machines); err != nil {
		return err
	}
	for index, location := range s.options.Daemons {
		if _, err := s.StartDaemon(fmt.Sprintf("daemon-%d", index+1), location); err != nil {
			return err
		}
	}
	return nil
}

// startEngines starts the engines of each service, distributed round-robin over the region's zones.
func (s *System) startEngines() ([]machinelist.Machine, error) {
	var listed []machinelist.Machine
	for _, region := range sortedRegions(s.options.Tree) {
		s.Weights[region.Name] = weights.New(weights.Limits{
			LoadsPerSecond: region.LoadsPerSecond, ConcurrentLoads: region.ConcurrentLoads, BytesPerSecond: s.options.WeightBytesPerSecond})
		address, err := s.serve(s.Weights[region.Name])
		if err != nil {
			return nil, err
		}
		for _, service := range servicesIn(s.options.Tree, region.Name) {
			for number := range service.Replicas {
				machine, err := s.startEngine(service, region, number, address)
				if err != nil {
					return nil, err
				}
				listed = append(listed, machine)
			}
		}
	}
	return listed, nil
}

func (s *System) startEngine(service settings.Service, region settings.Region, number int, storeAddress string) (machinelist.Machine, error) {
	id := fmt.Sprintf("%s-%s-%d", service.Name, region.Name, number)
	newEngine := engines.New(engines.DefaultConfig(id, service.Accelerators, service.AcceleratorMemoryBytes, storeAddress, s.options.Timing))
	s.Engines[id] = newEngine
	address, err := s.serve(newEngine)
	return machinelist.Machine{
		ID: id, Address: address, Region: region.Name, Zone: region.Zones[number%len(region.Zones)],
		Service: service.Name, State: machinelist.Live,
	}, err
}

// serve serves a handler on a free loopback port until the system stops.
func (s *System) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	server := &http.Server{Handler: handler, ErrorLog: nil}
	s.servers = append(s.servers, server)
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		_ = server.Serve(listener) // returns after Close
	}()
	return listener.Addr().String(), nil
}

// StartDaemon adds a daemon to the system, with the daemons started before it as peers.
func (s *System) StartDaemon(id string, location Location) (*daemon.Daemon, error) {
	daemonConfig := config.Default()
	daemonConfig.ID, daemonConfig.Region, daemonConfig.Zone = id, location.Region, location.Zone
	daemonConfig.Listen = config.Listen{Gateway: "127.0.0.1:0", RPC: "127.0.0.1:0", Gossip: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	daemonConfig.Platform = config.Platform{KeyValue: s.KeyValueAddress, MachineList: s.MachinesAddress}
	if s.options.ProbeInterval > 0 {
		daemonConfig.ProbeInterval = s.options.ProbeInterval
	}
	peers := s.Daemons
	if s.options.LimitPeers {
		peers = peers[:min(maxLimitedPeers, len(peers))]
	}
	for _, peer := range peers {
		daemonConfig.Peers = append(daemonConfig.Peers, peer.Addresses().RPC)
	}
	newDaemon, err := daemon.New(daemonConfig, s.options.Log)
	if err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, newDaemon)
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancels[id] = cancel
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		if err := newDaemon.Run(ctx); err != nil {
			s.options.Log.WithError(err).Warn("daemon stopped with an error")
		}
	}()
	return newDaemon, nil
}

// Apply submits the system's settings tree through the first daemon and waits until all daemons are ready.
func (s *System) Apply(ctx context.Context) error {
	text, err := settings.Marshal(s.options.Tree.Document())
	if err != nil {
		return err
	}
	client := adminapi.Client{Address: s.Daemons[0].Addresses().Admin}
	var accepted adminapi.Revision
	err = client.Post(ctx, adminapi.PathSettingsApply, adminapi.ApplyRequest{
		OperationID: uuid.NewString(), Author: "lab", YAML: string(text)}, &accepted)
	if err != nil {
		return err
	}
	return s.WaitReady(ctx)
}

// WaitReady waits until every daemon is ready and lists all daemons as members.
func (s *System) WaitReady(ctx context.Context) error {
	for _, d := range s.Daemons {
		client := adminapi.Client{Address: d.Addresses().Admin}
		for {
			var status adminapi.Status
			err := client.Get(ctx, adminapi.PathStatus, &status)
			if err == nil && status.Ready && len(status.Members) == len(s.Daemons) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "%s is not ready", d.ID())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// CountStarts returns how often the engines of the system started executing a request.
func (s *System) CountStarts(requestID string) int {
	count := 0
	for _, engine := range s.Engines {
		for _, entry := range engine.History.Entries() {
			if entry.Kind == engines.RequestStarted && entry.RequestID == requestID {
				count++
			}
		}
	}
	return count
}

// Stop stops all daemons and stand-ins of the system and waits for them.
func (s *System) Stop() {
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, engine := range s.Engines {
		engine.Close()
	}
	s.workers.Wait()
}

func sortedRegions(tree *settings.Tree) []settings.Region {
	regions := make([]settings.Region, 0, len(tree.Regions))
	for _, region := range tree.Regions {
		regions = append(regions, region)
	}
	sort.Slice(regions, func(i, j int) bool { return regions[i].Name < regions[j].Name })
	return regions
}

func servicesIn(tree *settings.Tree, region string) []settings.Service {
	var services []settings.Service
	for _, service := range tree.Services {
		for _, serviceRegion := range service.Regions {
			if serviceRegion == region {
				services = append(services, service)
			}
		}
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}
