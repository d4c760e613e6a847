// Package engine is the interface to model engines: the orders that change what
// an engine has loaded, its inventory, and the dispatch of requests.
//
// Requests use the OpenAI-compatible paths. The rest is:
//
//	POST   /engine/orders               an Order; answered by an OrderResponse
//	GET    /engine/inventory?after=N&wait=10s
//	                                    an Inventory once its version is above N
//	GET    /engine/load                 a LoadReport, which lags
//	GET    /engine/events               cache events (SSE), late and with gaps
//	GET    /engine/streams/{id}?offset=N resumes an answer after N events
//	DELETE /engine/streams/{id}         cancels a request
//	GET    /engine/prefixes/{model}     exports KV cache
//	PUT    /engine/prefixes/{model}     imports KV cache
package engine

import (
	"hash/fnv"
	"time"
)

// Paths of an engine's interface.
const (
	PathOrders     = "/engine/orders"
	PathInventory  = "/engine/inventory"
	PathLoad       = "/engine/load"
	PathEvents     = "/engine/events"
	PathStreams    = "/engine/streams/"
	PathPrefixes   = "/engine/prefixes/"
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// Headers between finchspoke and engines.
const (
	// HeaderRequestID names the request in both directions; an answer that
	// carries another id is not used.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplicaID names the replica to use; an engine that does not have it
	// ready does not start the request.
	HeaderReplicaID = "X-Replica-Id"
	// HeaderPriority carries the class; lower numbers go first.
	HeaderPriority = "X-Priority"
	// HeaderExecution with ExecutionNotStarted is the engine's word that it did
	// not start the request.
	HeaderExecution     = "X-Execution"
	ExecutionNotStarted = "not_started"
)

// Fence orders the orders: an engine refuses one lower than it has seen.
type Fence struct {
	Epoch    uint64 `json:"epoch"`    // of the placer of the cell
	Revision uint64 `json:"revision"` // of its plan
}

// Less tells whether f is lower than other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Revision < other.Revision
}

// Operation is what an order asks for.
type Operation string

// The operations.
const (
	Load          Operation = "load"
	Unload        Operation = "unload"
	LoadAdapter   Operation = "load_adapter"
	UnloadAdapter Operation = "unload_adapter"
	SetRole       Operation = "set_role"
	// Seal only raises the fence, so that orders of earlier placers are refused.
	RaiseFence Operation = "seal"
)

// Order asks an engine to change. Orders are idempotent by their content.
type Order struct {
	Fence        Fence     `json:"fence"`
	Process      string    `json:"process"` // an engine refuses orders to another process
	Operation    Operation `json:"operation"`
	ReplicaID    string    `json:"replica_id,omitempty"`
	Model        string    `json:"model,omitempty"`
	Version      string    `json:"version,omitempty"`
	Accelerators []int     `json:"accelerators,omitempty"` // indexes
	MemoryBytes  int64     `json:"memory_bytes,omitempty"` // on each accelerator
	Adapter      string    `json:"adapter,omitempty"`
	Role         string    `json:"role,omitempty"` // prefill, decode or both
}

// OrderResponse answers an order. A refused order changed nothing.
type OrderResponse struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Fence    Fence  `json:"fence"` // the highest seen
}

// ReplicaState is the state of a replica on an engine.
type ReplicaState string

// The states of a replica. One that has failed or is gone is not listed.
const (
	Loading   ReplicaState = "loading"
	Ready     ReplicaState = "ready"
	Unloading ReplicaState = "unloading" // finishes what runs, takes nothing new
)

// Replica is a loaded, or loading, copy of a model.
type Replica struct {
	ID           string       `json:"id"`
	Model        string       `json:"model"`
	Version      string       `json:"version"`
	State        ReplicaState `json:"state"`
	Accelerators []int        `json:"accelerators"`
	MemoryBytes  int64        `json:"memory_bytes"` // on each accelerator
	Adapters     []string     `json:"adapters,omitempty"`
	LoadingForMs int64        `json:"loading_for_ms,omitempty"`
}

// CacheTier is where an engine holds a checkpoint without having it loaded.
type CacheTier string

// The tiers; a checkpoint in neither is read from the weight store.
const (
	InMemory CacheTier = "memory"
	OnDisk   CacheTier = "disk"
)

// CachedCheckpoint is a checkpoint that loads without the weight store.
type CachedCheckpoint struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Tier    CacheTier `json:"tier"`
}

// Accelerator is one accelerator's memory for weights, in bytes.
type Accelerator struct {
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
}

// Inventory is what an engine holds.
type Inventory struct {
	EngineID string `json:"engine_id"`
	// Process is new for each start of the engine: what an earlier process held
	// is gone.
	Process      string             `json:"process"`
	Version      uint64             `json:"version"` // grows with each change
	Fence        Fence              `json:"fence"`
	Leaving      bool               `json:"leaving"`
	Role         string             `json:"role"`
	Accelerators []Accelerator      `json:"accelerators"`
	Replicas     []Replica          `json:"replicas"`
	Cached       []CachedCheckpoint `json:"cached"`
}

// LoadReport is an engine's load some time ago.
type LoadReport struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
}

// CacheEvent says that an engine gained or lost a cached prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // a gap in it is a lost event
	Model    string `json:"model"`
	Prefix   uint64 `json:"prefix"` // hash of the prompt's leading blocks
	Evicted  bool   `json:"evicted,omitempty"`
}

// prefixBytes is the part of a prompt that its hash stands for.
const prefixBytes = 256

// PrefixHash identifies the leading part of a prompt to a model or adapter, in
// cache events and in routing.
func PrefixHash(target, prompt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target + "\x00" + prompt[:min(len(prompt), prefixBytes)])) // never fails
	return hash.Sum64()
}
