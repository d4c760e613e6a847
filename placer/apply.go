package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/placement"
)

// apply sends each engine the orders that bring it to the current plan. Engines are
// served concurrently, the orders of one engine in sequence.
func (s *Service) apply(ctx context.Context, term *leadership, workers *sync.WaitGroup) {
	term.cell.mutex.Lock()
	defer term.cell.mutex.Unlock()
	for id, state := range term.cell.engines {
		if !state.reachable() || len(term.cell.ordersFor(id, time.Now())) == 0 {
			continue
		}
		if state.applying {
			state.applyAgain = true
			continue
		}
		state.applying = true
		workers.Add(1)
		go func() {
			defer workers.Done()
			s.applyEngine(ctx, term, id)
		}()
	}
}

func (s *Service) applyEngine(ctx context.Context, term *leadership, id string) {
	for {
		address, orders := term.cell.dueOrders(id, time.Now())
		for _, order := range orders {
			response, err := s.Engines.Order(ctx, address, order)
			fields := logrus.Fields{"engine": id, "operation": order.Operation, "model": order.Model,
				"replica": order.ReplicaID, "epoch": order.Fence.Epoch}
			if err != nil {
				s.Log.WithError(err).WithFields(fields).Debug("engine did not answer an order; its inventory will show the result")
			} else if !response.Accepted {
				s.Log.WithFields(fields).WithField("reason", response.Reason).Warn("engine refused order")
			}
		}
		if !term.cell.finishApply(id) || ctx.Err() != nil {
			return
		}
	}
}

// dueOrders returns the orders due for an engine and records now as their send time.
func (c *cell) dueOrders(id string, now time.Time) (address string, orders []engine.Order) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	orders = c.ordersFor(id, now)
	state := c.engines[id]
	if state == nil {
		return "", nil
	}
	for _, order := range orders {
		state.lastOrdered[orderKey(order)] = now
	}
	return state.machine.Address, orders
}

// finishApply ends a round of orders and reports whether another was requested during it.
func (c *cell) finishApply(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.engines[id]
	if state == nil {
		return false
	}
	repeat := state.applyAgain
	state.applyAgain = false
	state.applying = repeat
	return repeat
}

// orderKey identifies an order, whatever its fence.
func orderKey(order engine.Order) string {
	return string(order.Operation) + " " + order.ReplicaID + " " + order.Adapter
}

// ordersFor returns the orders for the differences between the plan and an engine's
// inventory. Unloads come first, so that memory is free for the loads. The caller holds
// the mutex.
func (c *cell) ordersFor(id string, now time.Time) []engine.Order {
	state := c.engines[id]
	if state == nil || state.inventory == nil {
		return nil
	}
	reported := map[string]engine.Replica{}
	for _, replica := range state.inventory.Replicas {
		reported[replica.ID] = replica
	}
	var unloads, loads []engine.Order
	planned := map[string]bool{}
	for _, assignment := range c.plan.Engines[id].Assignments {
		planned[assignment.ReplicaID] = true
		replica, present := reported[assignment.ReplicaID]
		if assignment.DesiredState == placement.Remove {
			fenceNotReceived := state.inventory.Fence.Less(assignment.Fence)
			if fenceNotReceived || (present && replica.State != engine.Unloading) {
				unloads = append(unloads, engine.Order{Operation: engine.Unload, ReplicaID: assignment.ReplicaID, Model: assignment.Model})
			}
			continue
		}
		if !present {
			loads = append(loads, engine.Order{
				Operation: engine.Load, ReplicaID: assignment.ReplicaID, Model: assignment.Model, Version: assignment.Version,
				Accelerators: assignment.Accelerators, MemoryBytes: assignment.MemoryBytes})
			continue
		}
		loads = append(loads, adapterOrders(assignment, replica)...)
	}
	for _, replica := range state.inventory.Replicas {
		if !planned[replica.ID] && replica.State != engine.Unloading {
			unloads = append(unloads, engine.Order{Operation: engine.Unload, ReplicaID: replica.ID, Model: replica.Model})
		}
	}
	orders := append(unloads, loads...)
	if len(orders) == 0 && state.inventory.Fence.Epoch < c.plan.Fence.Epoch {
		orders = append(orders, engine.Order{Operation: engine.RaiseFence})
	}
	orders = slices.DeleteFunc(orders, func(order engine.Order) bool {
		return now.Sub(state.lastOrdered[orderKey(order)]) < reorderInterval
	})
	for index := range orders {
		orders[index].Fence = c.plan.Fence
		orders[index].Process = state.inventory.Process
	}
	return orders
}

// adapterOrders returns the orders that bring a ready replica's adapters to the plan.
func adapterOrders(assignment placement.Assignment, replica engine.Replica) []engine.Order {
	if replica.State != engine.Ready {
		return nil
	}
	var orders []engine.Order
	for _, adapter := range replica.Adapters {
		if !slices.Contains(assignment.Adapters, adapter) {
			orders = append(orders, engine.Order{Operation: engine.UnloadAdapter, ReplicaID: replica.ID, Model: replica.Model, Adapter: adapter})
		}
	}
	for _, adapter := range assignment.Adapters {
		if !slices.Contains(replica.Adapters, adapter) {
			orders = append(orders, engine.Order{Operation: engine.LoadAdapter, ReplicaID: replica.ID, Model: replica.Model, Adapter: adapter})
		}
	}
	return orders
}
