// Package lab is the laboratory: whole systems of daemons and stand-ins on
// loopback, in one process, and the load that drives them.
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

// Options describe a system.
type Options struct {
	Tree                 *settings.Tree
	Daemons              []Location
	Timing               engines.Timing
	WeightBytesPerSecond float64 // of one load from the weight store, bytes a second
	KeyValueOpsPerSecond float64 // operations a second; zero means the default
	ProbeInterval        time.Duration
	// LimitPeers gives each daemon the first three as peers only, as in production.
	LimitPeers bool
	Log        logrus.FieldLogger
}

// fewPeers is how many daemons others are told of with LimitPeers.
const fewPeers = 3

// FastTiming is that of engines that cost a test little time.
func FastTiming() engines.Timing {
	timing := engines.DefaultTiming()
	timing.StepTime = 2 * time.Millisecond
	timing.AdapterLoadTime = 20 * time.Millisecond
	timing.DiskBytesPerSecond = 100 << 30
	timing.MemoryBytesPerSecond = 400 << 30
	return timing
}

// System is a running system. Its stand-ins' faults and histories are open.
type System struct {
	KeyValue        *keyvalue.Server
	KeyValueAddress string
	Machines        *machines.Server
	MachinesAddress string
	Weights         map[string]*weights.Server // by region
	Engines         map[string]*engines.Engine // by machine id
	Daemons         []*daemon.Daemon

	options  Options
	servers  []*http.Server
	stop     context.CancelFunc
	ctx      context.Context
	finished sync.WaitGroup
	stops    map[string]context.CancelFunc // by daemon id
}

// readyPoll is how often a waiting caller looks again.
const readyPoll = 5 * time.Millisecond

// StartSystem starts stand-ins for every engine that the tree's services name,
// and the daemons. The tree is not applied yet; see Apply.
func StartSystem(options Options) (*System, error) {
	ctx, stop := context.WithCancel(context.Background())
	system := &System{
		options: options, ctx: ctx, stop: stop, Weights: map[string]*weights.Server{}, Engines: map[string]*engines.Engine{},
		stops: map[string]context.CancelFunc{},
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

// startEngines starts the engines of each service in turn over its zones.
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

func (s *System) startEngine(service settings.Service, region settings.Region, number int, store string) (machinelist.Machine, error) {
	id := fmt.Sprintf("%s-%s-%d", service.Name, region.Name, number)
	started := engines.New(engines.DefaultConfig(id, service.Accelerators, service.AcceleratorMemoryBytes, store, s.options.Timing))
	s.Engines[id] = started
	address, err := s.serve(started)
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
	s.finished.Add(1)
	go func() {
		defer s.finished.Done()
		_ = server.Serve(listener) // ends with Close
	}()
	return listener.Addr().String(), nil
}

// StartDaemon starts one more daemon.
func (s *System) StartDaemon(id string, location Location) (*daemon.Daemon, error) {
	settingsFile := config.Default()
	settingsFile.ID, settingsFile.Region, settingsFile.Zone = id, location.Region, location.Zone
	settingsFile.Listen = config.Listen{Gateway: "127.0.0.1:0", RPC: "127.0.0.1:0", Gossip: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	settingsFile.Platform = config.Platform{KeyValue: s.KeyValueAddress, MachineList: s.MachinesAddress}
	if s.options.ProbeInterval > 0 {
		settingsFile.ProbeInterval = s.options.ProbeInterval
	}
	peers := s.Daemons
	if s.options.LimitPeers {
		peers = peers[:min(fewPeers, len(peers))]
	}
	for _, peer := range peers {
		settingsFile.Peers = append(settingsFile.Peers, peer.Addresses().RPC)
	}
	started, err := daemon.New(settingsFile, s.options.Log)
	if err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, started)
	ctx, stop := context.WithCancel(s.ctx)
	s.stops[id] = stop
	s.finished.Add(1)
	go func() {
		defer s.finished.Done()
		if err := started.Run(ctx); err != nil {
			s.options.Log.WithError(err).Warn("daemon ended")
		}
	}()
	return started, nil
}

// Apply puts the system's tree in force, through its first daemon.
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

// WaitReady waits until every daemon is ready and knows all others.
func (s *System) WaitReady(ctx context.Context) error {
	for _, started := range s.Daemons {
		client := adminapi.Client{Address: started.Addresses().Admin}
		for {
			var status adminapi.Status
			err := client.Get(ctx, adminapi.PathStatus, &status)
			if err == nil && status.Ready && len(status.Members) == len(s.Daemons) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "%s is not ready", started.ID())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Starts counts how often engines started a request, over all engines.
func (s *System) CountStarts(requestID string) int {
	count := 0
	for _, held := range s.Engines {
		for _, entry := range held.History.Entries() {
			if entry.Kind == engines.RequestStarted && entry.RequestID == requestID {
				count++
			}
		}
	}
	return count
}

// Stop ends everything that the system started.
func (s *System) Stop() {
	s.stop()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, held := range s.Engines {
		held.Close()
	}
	s.finished.Wait()
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
		for _, served := range service.Regions {
			if served == region {
				services = append(services, service)
			}
		}
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}
