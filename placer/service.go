// Package placer runs the placement of a cell: it takes the cell over in the plan's
// group, watches the engines, hears demand from homes, lets package placement
// decide, commits each plan before any order goes out, and tells homes which
// replicas are ready. None of it needs the key-value service.
//
// At most one daemon's orders count at a time: engines refuse the orders of an
// earlier epoch, and the group its commits.
package placer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/group"
	"github.com/finchspoke/finchspoke/machinelist"
	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/placement"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// checkInterval is how often a daemon looks whether it should place.
	checkInterval = 250 * time.Millisecond
	// decideInterval is how often a decision is made without a signal.
	decideInterval = 250 * time.Millisecond
	// gatherPause lets signals that come together lead to one decision.
	gatherPause     = 2 * time.Millisecond
	machineInterval = time.Second
	retryPause      = 300 * time.Millisecond
	// reorderPause is the least time between two equal orders.
	reorderPause = time.Second
)

// Dependencies are what the placer works with.
type Dependencies struct {
	Region   string
	SelfID   string
	View     func() *membership.View
	Settings *settings.Store
	Register *group.Register
	Machines *machinelist.Client
	Engines  *engine.Client
	Log      logrus.FieldLogger
}

// Service is the placer of a daemon; it leads its region's cell while the daemon
// is the one that should. It is a suture service and serves the Placer rpc.
type Service struct {
	Dependencies
	leading  atomic.Pointer[leadership]
	takeOver atomic.Uint64
	floor    uint64 // least epoch of the next term
}

// leadership is one term of leading the cell.
type leadership struct {
	cell    *cell
	record  *record
	epoch   uint64
	fresh   bool // the group held no plan
	done    <-chan struct{}
	changed *broadcast
}

// New returns the placer of a daemon.
func New(dependencies Dependencies) *Service {
	return &Service{Dependencies: dependencies}
}

// String names the service in the supervisor's events.
func (s *Service) String() string { return "placer" }

// Epoch returns the epoch this daemon leads in; zero while it does not.
func (s *Service) Epoch() uint64 {
	if term := s.leading.Load(); term != nil {
		return term.epoch
	}
	return 0
}

// Takeovers counts the terms begun by this daemon.
func (s *Service) Takeovers() uint64 { return s.takeOver.Load() }

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.shouldLead() && s.Settings.Current() != nil {
			err := s.lead(ctx)
			if err != nil && ctx.Err() == nil {
				s.Log.WithError(err).WithField("region", s.Region).Warn("placer stopped leading")
				sleep.For(ctx, retryPause)
			}
		}
		sleep.For(ctx, checkInterval)
	}
	return ctx.Err()
}

func (s *Service) shouldLead() bool {
	chosen, found := s.View().Placer(s.Region)
	return found && chosen.ID == s.SelfID
}

// lead takes the cell over and places until another daemon should.
func (s *Service) lead(ctx context.Context) error {
	record := &record{register: s.Register}
	plan, fresh, err := record.takeOver(ctx, s.floor)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	term := &leadership{cell: newCell(s.Region, plan), record: record, epoch: plan.Fence.Epoch, fresh: fresh, done: ctx.Done(), changed: newBroadcast()}
	s.takeOver.Add(1)
	s.Log.WithFields(logrus.Fields{"region": s.Region, "epoch": term.epoch}).Info("placer took the cell over")
	var workers sync.WaitGroup
	defer workers.Wait()
	defer s.leading.Store(nil)
	defer cancel()
	listed := make(chan struct{})
	workers.Add(1)
	go func() {
		defer workers.Done()
		s.watchMachines(ctx, term, listed)
	}()
	// Without a list, every engine would seem gone.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-listed:
	}
	s.leading.Store(term)
	return s.place(ctx, term, &workers)
}

// place makes decisions until the daemon should not lead any more.
func (s *Service) place(ctx context.Context, term *leadership, workers *sync.WaitGroup) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for s.shouldLead() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-term.cell.dirty:
			sleep.For(ctx, gatherPause)
		}
		if highest := term.cell.highestEpoch(); highest > term.epoch {
			s.floor = highest + 1
			return errDeposed
		}
		err := s.decide(ctx, term)
		if errors.Is(err, errDeposed) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			s.Log.WithError(err).WithField("epoch", term.epoch).Warn("plan not committed; the earlier one stands")
			sleep.For(ctx, retryPause)
			continue
		}
		s.apply(ctx, term, workers)
		term.changed.signal()
	}
	return nil
}

// decide makes and commits one decision.
func (s *Service) decide(ctx context.Context, term *leadership) error {
	if pending := term.record.pending; pending != nil {
		if err := term.record.settle(ctx); err != nil {
			return err
		}
		term.cell.adopt(*pending)
		return nil
	}
	snapshot := term.cell.snapshot(time.Now(), s.Settings.Current().Tree)
	snapshot.AdoptUnknown = term.fresh
	decision := placement.Decide(snapshot)
	if len(decision.Changed) > 0 {
		if err := term.record.commit(ctx, decision); err != nil {
			return err
		}
		s.logChanges(term.epoch, snapshot.Plan, decision)
	}
	term.cell.adopt(decision)
	return nil
}

func (s *Service) logChanges(epoch uint64, before placement.Plan, decision placement.Decision) {
	for _, id := range decision.Changed {
		known := map[string]placement.DesiredState{}
		for _, assignment := range before.Engines[id].Assignments {
			known[assignment.ReplicaID] = assignment.DesiredState
		}
		for _, assignment := range decision.Plan.Engines[id].Assignments {
			if known[assignment.ReplicaID] != assignment.DesiredState {
				s.Log.WithFields(logrus.Fields{
					"epoch": epoch, "plan_revision": decision.Plan.Fence.Revision, "model": assignment.Model,
					"engine": id, "wish": assignment.DesiredState, "replica": assignment.ReplicaID,
				}).Info("placement changed")
			}
		}
	}
}

// watchMachines follows the machine list and keeps one watch on each engine.
func (s *Service) watchMachines(ctx context.Context, term *leadership, listed chan struct{}) {
	var watches sync.WaitGroup
	defer watches.Wait()
	watching := map[string]context.CancelFunc{}
	addresses := map[string]string{}
	first := true
	for ctx.Err() == nil {
		machines, err := s.Machines.Machines(ctx, s.Region)
		if err != nil {
			s.Log.WithError(err).Debug("machine list not read; the earlier one stands")
			sleep.For(ctx, machineInterval)
			continue
		}
		wanted := term.cell.setMachines(machines)
		for id, cancel := range watching {
			if wanted[id] != addresses[id] {
				cancel()
				delete(watching, id)
			}
		}
		for id, address := range wanted {
			if watching[id] != nil || address == "" {
				continue
			}
			watchCtx, cancel := context.WithCancel(ctx)
			watching[id], addresses[id] = cancel, address
			watches.Add(1)
			go func() {
				defer watches.Done()
				s.watchEngine(watchCtx, term, id, address)
			}()
		}
		if first {
			first = false
			close(listed)
		}
		sleep.For(ctx, machineInterval)
	}
	for _, cancel := range watching {
		cancel()
	}
}

// watchEngine keeps an engine's inventory current by long polls.
func (s *Service) watchEngine(ctx context.Context, term *leadership, id, address string) {
	version := uint64(0)
	for ctx.Err() == nil {
		inventory, err := s.Engines.Inventory(ctx, address, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			version = 0
			term.cell.setInventory(id, nil, time.Now())
			sleep.For(ctx, retryPause)
			continue
		}
		version = inventory.Version
		term.cell.setInventory(id, &inventory, time.Now())
	}
}

// Picture is the placement as this daemon leads it, for status.
type PlacementStatus struct {
	Epoch uint64
	picture
}

// Picture returns the placement and whether this daemon leads.
func (s *Service) PlacementStatus() (PlacementStatus, bool) {
	term := s.leading.Load()
	if term == nil {
		return PlacementStatus{}, false
	}
	return PlacementStatus{Epoch: term.epoch, picture: term.cell.picture()}, true
}
