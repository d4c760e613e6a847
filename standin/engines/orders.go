package engines

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/standin/fault"
)

// replica is a loaded, or loading, copy of a model.
type replica struct {
	order    engine.Order
	state    engine.ReplicaState
	since    time.Time
	adapters map[string]bool // true once loaded
	batch    *batch
	cancel   context.CancelFunc // ends a load
}

func (r *replica) describe(now time.Time) engine.Replica {
	described := engine.Replica{
		ID: r.order.ReplicaID, Model: r.order.Model, Version: r.order.Version, State: r.state,
		Accelerators: r.order.Accelerators, MemoryBytes: r.order.MemoryBytes,
	}
	for adapter, loaded := range r.adapters {
		if loaded {
			described.Adapters = append(described.Adapters, adapter)
		}
	}
	slices.Sort(described.Adapters)
	if r.state == engine.Loading {
		described.LoadingForMs = now.Sub(r.since).Milliseconds()
	}
	return described
}

func (e *Engine) serveOrder(writer http.ResponseWriter, httpRequest *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(httpRequest.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(e.Faults.Get().DelayOrders))
	answer := e.Execute(order)
	if e.Faults.Get().DropOrderResponses {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !answer.Accepted {
		status = http.StatusConflict
	}
	fault.WriteJSON(writer, status, answer)
}

// Execute acts on an order, unless the fence or the memory forbids it.
func (e *Engine) Execute(order engine.Order) engine.OrderResponse {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence.Less(e.fence) {
		e.record(Entry{Kind: FenceRefused, ReplicaID: order.ReplicaID, Model: order.Model,
			Epoch: order.Fence.Epoch, Revision: order.Fence.Revision, Detail: string(order.Operation)})
		return engine.OrderResponse{Reason: "fence is lower than one already seen", Fence: e.fence}
	}
	if order.Process != e.process {
		return engine.OrderResponse{Reason: "the order is for an earlier process of this engine", Fence: e.fence}
	}
	if e.fence.Less(order.Fence) {
		e.touch()
		e.fence = order.Fence
	}
	reason := e.act(order)
	return engine.OrderResponse{Accepted: reason == "", Reason: reason, Fence: e.fence}
}

// act returns why an order is refused, or nothing.
func (e *Engine) act(order engine.Order) string {
	switch order.Operation {
	case engine.RaiseFence:
		return ""
	case engine.Load:
		return e.load(order)
	case engine.Unload:
		return e.unload(order.ReplicaID)
	case engine.LoadAdapter:
		return e.loadAdapter(order)
	case engine.UnloadAdapter:
		if held := e.replicas[order.ReplicaID]; held != nil {
			delete(held.adapters, order.Adapter)
			e.touch()
		}
		return ""
	case engine.SetRole:
		e.role = order.Role
		e.touch()
		return ""
	}
	return fmt.Sprintf("operation %q is not known", order.Operation)
}

func (e *Engine) load(order engine.Order) string {
	if _, held := e.replicas[order.ReplicaID]; held {
		return ""
	}
	if e.unloaded[order.ReplicaID] {
		return "the replica was already unloaded"
	}
	for _, index := range order.Accelerators {
		if index < 0 || index >= len(e.used) {
			return fmt.Sprintf("accelerator %d does not exist", index)
		}
		if e.used[index]+order.MemoryBytes > e.config.AcceleratorMemoryBytes {
			e.record(Entry{Kind: MemoryRefused, ReplicaID: order.ReplicaID, Model: order.Model,
				Epoch: order.Fence.Epoch, Revision: order.Fence.Revision})
			return fmt.Sprintf("accelerator %d has no room", index)
		}
	}
	for _, index := range order.Accelerators {
		e.used[index] += order.MemoryBytes
	}
	ctx, cancel := context.WithCancel(e.ctx)
	held := &replica{order: order, state: engine.Loading, since: time.Now(), adapters: map[string]bool{},
		batch: newBatch(e), cancel: cancel}
	e.replicas[order.ReplicaID] = held
	e.touch()
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		e.bringIn(ctx, held)
	}()
	return ""
}

// bringIn takes the time of a load from the nearest place that has the
// checkpoint, then makes the replica ready.
func (e *Engine) bringIn(ctx context.Context, held *replica) {
	order := held.order
	bytes := order.MemoryBytes * int64(len(order.Accelerators))
	e.mutex.Lock()
	tier := e.cache.find(order.Model, order.Version)
	e.mutex.Unlock()
	source := "remote"
	if tier != "" {
		source = string(tier)
	}
	entry := Entry{ReplicaID: order.ReplicaID, Model: order.Model, Epoch: order.Fence.Epoch,
		Revision: order.Fence.Revision, Source: source}
	entry.Kind = LoadStarted
	e.record(entry)
	loaded := e.transfer(ctx, tier, order, bytes) && !e.Faults.Get().FailLoads
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if held.state != engine.Loading {
		return // unloaded meanwhile
	}
	if !loaded {
		entry.Kind = LoadFailed
		e.record(entry)
		e.drop(held)
		return
	}
	e.cache.add(order.Model, order.Version, bytes)
	held.state = engine.Ready
	entry.Kind = LoadFinished
	e.record(entry)
	e.touch()
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		held.batch.run(e.ctx)
	}()
}

// storeRetryPause is the wait after the weight store refused a load.
const storeRetryPause = 200 * time.Millisecond

func (e *Engine) transfer(ctx context.Context, tier engine.CacheTier, order engine.Order, bytes int64) bool {
	switch tier {
	case engine.InMemory:
		return sleep.For(ctx, durationOf(bytes, e.config.Timing.MemoryBytesPerSecond))
	case engine.OnDisk:
		return sleep.For(ctx, durationOf(bytes, e.config.Timing.DiskBytesPerSecond))
	}
	for ctx.Err() == nil {
		if e.fetch(ctx, order, bytes) {
			return true
		}
		if !sleep.For(ctx, storeRetryPause) {
			return false
		}
	}
	return false
}

func (e *Engine) fetch(ctx context.Context, order engine.Order, bytes int64) bool {
	url := fmt.Sprintf("http://%s/checkpoints/%s@%s", e.config.WeightStoreAddress, order.Model, order.Version)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	httpRequest.Header.Set("Range", "bytes=0-"+strconv.FormatInt(bytes-1, 10))
	response, err := e.http.Do(httpRequest)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusPartialContent
}

// unload stops new requests, and frees the memory once the last has finished.
func (e *Engine) unload(replicaID string) string {
	e.unloaded[replicaID] = true
	held := e.replicas[replicaID]
	if held == nil || held.state == engine.Unloading {
		return ""
	}
	wasLoading := held.state == engine.Loading
	held.state = engine.Unloading
	e.touch()
	if wasLoading {
		held.cancel()
		e.finishUnload(held)
		return ""
	}
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		held.batch.drain(e.ctx)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.finishUnload(held)
	}()
	return ""
}

func (e *Engine) finishUnload(held *replica) {
	e.record(Entry{Kind: UnloadFinished, ReplicaID: held.order.ReplicaID, Model: held.order.Model})
	e.drop(held)
}

// drop frees a replica's memory; the mutex is held.
func (e *Engine) drop(held *replica) {
	held.cancel()
	held.batch.stop()
	for _, index := range held.order.Accelerators {
		e.used[index] -= held.order.MemoryBytes
	}
	delete(e.replicas, held.order.ReplicaID)
	e.touch()
}

func (e *Engine) loadAdapter(order engine.Order) string {
	held := e.replicas[order.ReplicaID]
	if held == nil {
		return "the replica is not loaded"
	}
	if _, known := held.adapters[order.Adapter]; known {
		return ""
	}
	held.adapters[order.Adapter] = false
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		if !sleep.For(e.ctx, e.config.Timing.AdapterLoadTime) {
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if _, wanted := held.adapters[order.Adapter]; wanted {
			held.adapters[order.Adapter] = true
			e.touch()
		}
	}()
	return ""
}

func durationOf(bytes int64, perSecond float64) time.Duration {
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
}

func parseUint(text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
