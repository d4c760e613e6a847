// Package placer runs the placement of a cell, the engines of one region: it watches the
// engines, receives demand from the home daemons, which queue requests, and sends orders
// once a replicated group has stored the plan. Engines and group reject earlier epochs, so
// that the orders of at most one daemon take effect.
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
	// checkInterval is how often a daemon checks whether it should lead the cell.
	checkInterval = 250 * time.Millisecond
	// decideInterval is the longest time between two decisions.
	decideInterval = 250 * time.Millisecond
	// batchDelay lets changes that arrive together lead to one decision.
	batchDelay          = 2 * time.Millisecond
	machineListInterval = time.Second
	retryDelay          = 300 * time.Millisecond
	// reorderInterval is the shortest time before an order is repeated.
	reorderInterval = time.Second
)

// Dependencies are the components that the placer uses.
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

// Service is a daemon's placer. It leads its region's cell while the membership view
// selects the daemon. It is a suture service and serves the Placer and Explain rpcs.
type Service struct {
	Dependencies
	leading  atomic.Pointer[leadership]
	takeOver atomic.Uint64
	minEpoch uint64 // lowest epoch for the next term
}

// leadership is one term of leading the cell.
type leadership struct {
	cell         *cell
	planRecord   *planRecord
	epoch        uint64
	noStoredPlan bool // the group stored no plan when the term began
	done         <-chan struct{}
	changed      *broadcast
}

// New returns a placer; Serve runs it.
func New(dependencies Dependencies) *Service {
	return &Service{Dependencies: dependencies}
}

// String names the service in the supervisor's events.
func (s *Service) String() string { return "placer" }

// Epoch returns the epoch in which this daemon leads the cell; zero if it does not.
func (s *Service) Epoch() uint64 {
	if term := s.leading.Load(); term != nil {
		return term.epoch
	}
	return 0
}

// Takeovers returns the number of terms that this daemon has begun.
func (s *Service) Takeovers() uint64 { return s.takeOver.Load() }

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.shouldLead() && s.Settings.Current() != nil {
			err := s.lead(ctx)
			if err != nil && ctx.Err() == nil {
				s.Log.WithError(err).WithField("region", s.Region).Warn("placer stopped leading")
				sleep.For(ctx, retryDelay)
			}
		}
		sleep.For(ctx, checkInterval)
	}
	return ctx.Err()
}

func (s *Service) shouldLead() bool {
	member, found := s.View().Placer(s.Region)
	return found && member.ID == s.SelfID
}

// lead takes over the cell and makes decisions until another daemon should lead.
func (s *Service) lead(ctx context.Context) error {
	planRecord := &planRecord{register: s.Register}
	plan, noStoredPlan, err := planRecord.takeOver(ctx, s.minEpoch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	term := &leadership{cell: newCell(s.Region, plan), planRecord: planRecord, epoch: plan.Fence.Epoch, noStoredPlan: noStoredPlan, done: ctx.Done(), changed: newBroadcast()}
	s.takeOver.Add(1)
	s.Log.WithFields(logrus.Fields{"region": s.Region, "epoch": term.epoch}).Info("placer took over the cell")
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
	// Without a machine list, every engine would appear to be removed.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-listed:
	}
	s.leading.Store(term)
	return s.place(ctx, term, &workers)
}

// place makes decisions until the daemon should no longer lead.
func (s *Service) place(ctx context.Context, term *leadership, workers *sync.WaitGroup) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for s.shouldLead() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-term.cell.dirty:
			sleep.For(ctx, batchDelay)
		}
		if highest := term.cell.highestEpoch(); highest > term.epoch {
			s.minEpoch = highest + 1
			return errTermEnded
		}
		err := s.decide(ctx, term)
		if errors.Is(err, errTermEnded) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			s.Log.WithError(err).WithField("epoch", term.epoch).Warn("plan not committed; the previous plan stays in effect")
			sleep.For(ctx, retryDelay)
			continue
		}
		s.apply(ctx, term, workers)
		term.changed.signal()
	}
	return nil
}

// decide makes and commits one decision, or completes a pending commit.
func (s *Service) decide(ctx context.Context, term *leadership) error {
	if pending := term.planRecord.pending; pending != nil {
		if err := term.planRecord.proposePending(ctx); err != nil {
			return err
		}
		term.cell.applyDecision(*pending)
		return nil
	}
	snapshot := term.cell.snapshot(time.Now(), s.Settings.Current().Tree)
	snapshot.AdoptUnknown = term.noStoredPlan
	decision := placement.Decide(snapshot)
	if len(decision.Changed) > 0 {
		if err := term.planRecord.commit(ctx, decision); err != nil {
			return err
		}
		s.logChanges(term.epoch, snapshot.Plan, decision)
	}
	term.cell.applyDecision(decision)
	return nil
}

func (s *Service) logChanges(epoch uint64, before placement.Plan, decision placement.Decision) {
	for _, id := range decision.Changed {
		previous := map[string]placement.DesiredState{}
		for _, assignment := range before.Engines[id].Assignments {
			previous[assignment.ReplicaID] = assignment.DesiredState
		}
		for _, assignment := range decision.Plan.Engines[id].Assignments {
			if previous[assignment.ReplicaID] != assignment.DesiredState {
				s.Log.WithFields(logrus.Fields{
					"epoch": epoch, "plan_revision": decision.Plan.Fence.Revision, "model": assignment.Model,
					"engine": id, "wish": assignment.DesiredState, "replica": assignment.ReplicaID,
				}).Info("placement changed")
			}
		}
	}
}

// watchMachines polls the machine list and runs one watch per engine. It closes listed
// after the first list.
func (s *Service) watchMachines(ctx context.Context, term *leadership, listed chan struct{}) {
	var watches sync.WaitGroup
	defer watches.Wait()
	watching := map[string]context.CancelFunc{}
	addresses := map[string]string{}
	first := true
	for ctx.Err() == nil {
		machines, err := s.Machines.Machines(ctx, s.Region)
		if err != nil {
			s.Log.WithError(err).Debug("machine list not read; the previous list stays in use")
			sleep.For(ctx, machineListInterval)
			continue
		}
		watched := term.cell.setMachines(machines)
		for id, cancel := range watching {
			if watched[id] != addresses[id] {
				cancel()
				delete(watching, id)
			}
		}
		for id, address := range watched {
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
		sleep.For(ctx, machineListInterval)
	}
	for _, cancel := range watching {
		cancel()
	}
}

// watchEngine keeps an engine's inventory current by long polling.
func (s *Service) watchEngine(ctx context.Context, term *leadership, id, address string) {
	var latest engine.Inventory
	for ctx.Err() == nil {
		inventory, err := s.Engines.Inventory(ctx, address, latest.Version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			latest = engine.Inventory{}
			term.cell.setInventory(id, nil, time.Now())
			sleep.For(ctx, retryDelay)
			continue
		}
		if isOutdated(inventory, latest) {
			s.Log.WithFields(logrus.Fields{"engine": id, "version": inventory.Version, "latest": latest.Version}).Info("outdated inventory ignored")
			sleep.For(ctx, retryDelay)
			continue
		}
		latest = inventory
		term.cell.setInventory(id, &inventory, time.Now())
	}
}

// isOutdated reports whether an inventory is older than one that was received before it, as the second response to an
// earlier query is.
func isOutdated(inventory, latest engine.Inventory) bool {
	return inventory.Process == latest.Process && inventory.Version < latest.Version
}

// PlacementStatus is the state of the cell that this daemon leads.
type PlacementStatus struct {
	Epoch uint64
	cellView
}

// PlacementStatus returns the state of the cell, and false if this daemon does not lead it.
func (s *Service) PlacementStatus() (PlacementStatus, bool) {
	term := s.leading.Load()
	if term == nil {
		return PlacementStatus{}, false
	}
	return PlacementStatus{Epoch: term.epoch, cellView: term.cell.cellView()}, true
}
