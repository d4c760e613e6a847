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

// apply sends each engine the orders that bring it to the standing plan. Engines
// are served side by side, the orders of one engine one after another.
func (s *Service) apply(ctx context.Context, term *leadership, workers *sync.WaitGroup) {
	term.cell.mutex.Lock()
	defer term.cell.mutex.Unlock()
	for id, state := range term.cell.engines {
		if !state.reachable() || len(term.cell.ordersFor(id, time.Now())) == 0 {
			continue
		}
		if state.applying {
			state.again = true
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
		address, orders := term.cell.takeOrders(id, time.Now())
		for _, order := range orders {
			answer, err := s.Engines.Order(ctx, address, order)
			fields := logrus.Fields{"engine": id, "operation": order.Operation, "model": order.Model,
				"replica": order.ReplicaID, "epoch": order.Fence.Epoch}
			if err != nil {
				s.Log.WithError(err).WithFields(fields).Debug("order gave no answer; the inventory will tell")
			} else if !answer.Accepted {
				s.Log.WithFields(fields).WithField("reason", answer.Reason).Warn("engine refused an order")
			}
		}
		if !term.cell.finishApply(id) || ctx.Err() != nil {
			return
		}
	}
}

// takeOrders returns the orders due for an engine and notes when they were sent.
func (c *cell) takeOrders(id string, now time.Time) (address string, orders []engine.Order) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	orders = c.ordersFor(id, now)
	state := c.engines[id]
	if state == nil {
		return "", nil
	}
	for _, order := range orders {
		state.ordered[orderKey(order)] = now
	}
	return state.machine.Address, orders
}

// finishApply ends a round and tells whether another was asked for meanwhile.
func (c *cell) finishApply(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.engines[id]
	if state == nil {
		return false
	}
	repeat := state.again
	state.again = false
	state.applying = repeat
	return repeat
}

func orderKey(order engine.Order) string {
	return string(order.Operation) + " " + order.ReplicaID + " " + order.Adapter
}

// ordersFor compares the plan with the inventory; the mutex is held. Unloads
// come first, so that memory is freed before it is needed.
func (c *cell) ordersFor(id string, now time.Time) []engine.Order {
	state := c.engines[id]
	if state == nil || state.inventory == nil {
		return nil
	}
	held := map[string]engine.Replica{}
	for _, replica := range state.inventory.Replicas {
		held[replica.ID] = replica
	}
	var unloads, loads []engine.Order
	planned := map[string]bool{}
	for _, assignment := range c.plan.Engines[id].Assignments {
		planned[assignment.ReplicaID] = true
		replica, present := held[assignment.ReplicaID]
		if assignment.DesiredState == placement.Remove {
			unseen := state.inventory.Fence.Less(assignment.Fence)
			if unseen || (present && replica.State != engine.Unloading) {
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
		return now.Sub(state.ordered[orderKey(order)]) < reorderPause
	})
	for index := range orders {
		orders[index].Fence = c.plan.Fence
		orders[index].Process = state.inventory.Process
	}
	return orders
}

// adapterOrders brings a ready replica's adapters to the plan.
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
