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

// replica is a copy of a model that is loading, ready or unloading.
type replica struct {
	order       engine.Order
	state       engine.ReplicaState
	loadStarted time.Time
	adapters    map[string]bool // true when loaded, false while loading
	batch       *batch
	cancelLoad  context.CancelFunc // stops a running load
}

func (r *replica) describe(now time.Time) engine.Replica {
	description := engine.Replica{
		ID: r.order.ReplicaID, Model: r.order.Model, Version: r.order.Version, State: r.state,
		Accelerators: r.order.Accelerators, MemoryBytes: r.order.MemoryBytes,
	}
	for adapter, loaded := range r.adapters {
		if loaded {
			description.Adapters = append(description.Adapters, adapter)
		}
	}
	slices.Sort(description.Adapters)
	if r.state == engine.Loading {
		description.LoadingForMs = now.Sub(r.loadStarted).Milliseconds()
	}
	return description
}

func (e *Engine) serveOrder(writer http.ResponseWriter, httpRequest *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(httpRequest.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(e.Faults.Get().DelayOrders))
	response := e.Execute(order)
	if e.Faults.Get().DropOrderResponses {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !response.Accepted {
		status = http.StatusConflict
	}
	fault.WriteJSON(writer, status, response)
}

// Execute processes an order. It refuses orders with a lower fence than the highest seen, for another process, or
// without enough memory.
func (e *Engine) Execute(order engine.Order) engine.OrderResponse {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence.Less(e.fence) {
		e.record(Entry{Kind: FenceRefused, ReplicaID: order.ReplicaID, Model: order.Model,
			Epoch: order.Fence.Epoch, Revision: order.Fence.Revision, Detail: string(order.Operation)})
		return engine.OrderResponse{Reason: "the fence is lower than the highest one received", Fence: e.fence}
	}
	if order.Process != e.process {
		return engine.OrderResponse{Reason: "the order is for another process of this engine", Fence: e.fence}
	}
	if e.fence.Less(order.Fence) {
		e.bumpVersion()
		e.fence = order.Fence
	}
	reason := e.applyOrder(order)
	return engine.OrderResponse{Accepted: reason == "", Reason: reason, Fence: e.fence}
}

// applyOrder returns the reason why an order is refused, or an empty string.
func (e *Engine) applyOrder(order engine.Order) string {
	switch order.Operation {
	case engine.RaiseFence:
		return ""
	case engine.Load:
		return e.loadReplica(order)
	case engine.Unload:
		return e.unloadReplica(order.ReplicaID)
	case engine.LoadAdapter:
		return e.loadAdapter(order)
	case engine.UnloadAdapter:
		if r := e.replicas[order.ReplicaID]; r != nil {
			delete(r.adapters, order.Adapter)
			e.bumpVersion()
		}
		return ""
	case engine.SetRole:
		e.role = order.Role
		e.bumpVersion()
		return ""
	}
	return fmt.Sprintf("operation %q is unknown", order.Operation)
}

func (e *Engine) loadReplica(order engine.Order) string {
	if _, r := e.replicas[order.ReplicaID]; r {
		return ""
	}
	if e.unloaded[order.ReplicaID] {
		return "the replica was unloaded"
	}
	for _, index := range order.Accelerators {
		if index < 0 || index >= len(e.usedBytes) {
			return fmt.Sprintf("accelerator %d does not exist", index)
		}
		if e.usedBytes[index]+order.MemoryBytes > e.config.AcceleratorMemoryBytes {
			e.record(Entry{Kind: MemoryRefused, ReplicaID: order.ReplicaID, Model: order.Model,
				Epoch: order.Fence.Epoch, Revision: order.Fence.Revision})
			return fmt.Sprintf("accelerator %d has not enough free memory", index)
		}
	}
	for _, index := range order.Accelerators {
		e.usedBytes[index] += order.MemoryBytes
	}
	ctx, cancelLoad := context.WithCancel(e.ctx)
	r := &replica{order: order, state: engine.Loading, loadStarted: time.Now(), adapters: map[string]bool{},
		batch: newBatch(e), cancelLoad: cancelLoad}
	e.replicas[order.ReplicaID] = r
	e.bumpVersion()
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		e.runLoad(ctx, r)
	}()
	return ""
}

// runLoad simulates loading the checkpoint from memory, disk or the weight store, whichever is fastest, and marks the
// replica as ready.
func (e *Engine) runLoad(ctx context.Context, r *replica) {
	order := r.order
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
	if r.state != engine.Loading {
		return // unloaded during the load
	}
	if !loaded {
		entry.Kind = LoadFailed
		e.record(entry)
		e.removeReplica(r)
		return
	}
	e.cache.add(order.Model, order.Version, bytes)
	r.state = engine.Ready
	entry.Kind = LoadFinished
	e.record(entry)
	e.bumpVersion()
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		r.batch.run(e.ctx)
	}()
}

// storeRetryDelay is the pause after a failed fetch from the weight store.
const storeRetryDelay = 200 * time.Millisecond

func (e *Engine) transfer(ctx context.Context, tier engine.CacheTier, order engine.Order, bytes int64) bool {
	switch tier {
	case engine.InMemory:
		return sleep.For(ctx, transferTime(bytes, e.config.Timing.MemoryBytesPerSecond))
	case engine.OnDisk:
		return sleep.For(ctx, transferTime(bytes, e.config.Timing.DiskBytesPerSecond))
	}
	for ctx.Err() == nil {
		if e.fetchCheckpoint(ctx, order, bytes) {
			return true
		}
		if !sleep.For(ctx, storeRetryDelay) {
			return false
		}
	}
	return false
}

func (e *Engine) fetchCheckpoint(ctx context.Context, order engine.Order, bytes int64) bool {
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

// unloadReplica stops new requests to the replica and frees its memory after the last one has finished.
func (e *Engine) unloadReplica(replicaID string) string {
	e.unloaded[replicaID] = true
	r := e.replicas[replicaID]
	if r == nil || r.state == engine.Unloading {
		return ""
	}
	wasLoading := r.state == engine.Loading
	r.state = engine.Unloading
	e.bumpVersion()
	if wasLoading {
		r.cancelLoad()
		e.finishUnload(r)
		return ""
	}
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		r.batch.drain(e.ctx)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.finishUnload(r)
	}()
	return ""
}

func (e *Engine) finishUnload(r *replica) {
	e.record(Entry{Kind: UnloadFinished, ReplicaID: r.order.ReplicaID, Model: r.order.Model})
	e.removeReplica(r)
}

// removeReplica stops a replica and frees its memory. The caller holds the mutex.
func (e *Engine) removeReplica(r *replica) {
	r.cancelLoad()
	r.batch.stop()
	for _, index := range r.order.Accelerators {
		e.usedBytes[index] -= r.order.MemoryBytes
	}
	delete(e.replicas, r.order.ReplicaID)
	e.bumpVersion()
}

func (e *Engine) loadAdapter(order engine.Order) string {
	r := e.replicas[order.ReplicaID]
	if r == nil {
		return "the replica is not loaded"
	}
	if _, exists := r.adapters[order.Adapter]; exists {
		return ""
	}
	r.adapters[order.Adapter] = false
	e.workers.Add(1)
	go func() {
		defer e.workers.Done()
		if !sleep.For(e.ctx, e.config.Timing.AdapterLoadTime) {
			return
		}
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if _, present := r.adapters[order.Adapter]; present {
			r.adapters[order.Adapter] = true
			e.bumpVersion()
		}
	}()
	return ""
}

func transferTime(bytes int64, perSecond float64) time.Duration {
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
}

func parseUintOrZero(text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
