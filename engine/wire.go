// Package engine defines the HTTP interface of model engines and its client. Requests use the
// OpenAI-compatible paths; the other paths are:
//
//	POST   /engine/orders               an Order, with an OrderResponse
//	GET    /engine/inventory?after=N&wait=10s
//	                                    an Inventory once its version differs from N
//	GET    /engine/load                 a LoadReport, delayed
//	GET    /engine/events               cache events (SSE), delayed and with gaps
//	GET    /engine/streams/{id}?offset=N resumes a response after N events
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
	// HeaderRequestID carries the request id in both directions; the daemon discards a response
	// with another id.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplicaID names the replica to use; an engine that does not have it ready does not
	// start the request.
	HeaderReplicaID = "X-Replica-Id"
	// HeaderPriority carries the request class; lower numbers run first.
	HeaderPriority = "X-Priority"
	// HeaderExecution with ExecutionNotStarted confirms that the engine did not start the request.
	HeaderExecution     = "X-Execution"
	ExecutionNotStarted = "not_started"
)

// Fence is a fencing token: an engine refuses orders with a lower fence than the
// highest it has received.
type Fence struct {
	Epoch    uint64 `json:"epoch"`    // epoch of the cell's placer
	Revision uint64 `json:"revision"` // revision of the plan
}

// Less reports whether f is lower than other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Revision < other.Revision
}

// Operation is the change that an order requests.
type Operation string

// Operations of orders.
const (
	Load          Operation = "load"
	Unload        Operation = "unload"
	LoadAdapter   Operation = "load_adapter"
	UnloadAdapter Operation = "unload_adapter"
	SetRole       Operation = "set_role"
	// RaiseFence only raises the fence, so that the engine refuses orders of earlier placers.
	RaiseFence Operation = "seal"
)

// Order requests a change of an engine. Repeating an order with the same content has no effect.
type Order struct {
	Fence        Fence     `json:"fence"`
	Process      string    `json:"process"` // the engine refuses orders addressed to another process
	Operation    Operation `json:"operation"`
	ReplicaID    string    `json:"replica_id,omitempty"`
	Model        string    `json:"model,omitempty"`
	Version      string    `json:"version,omitempty"`
	Accelerators []int     `json:"accelerators,omitempty"` // accelerator indexes
	MemoryBytes  int64     `json:"memory_bytes,omitempty"` // per accelerator
	Adapter      string    `json:"adapter,omitempty"`
	Role         string    `json:"role,omitempty"` // prefill, decode or both
}

// OrderResponse is the response to an order. A refused order changes nothing.
type OrderResponse struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Fence    Fence  `json:"fence"` // highest fence received
}

// ReplicaState is the state of a replica on an engine.
type ReplicaState string

// States of a replica. The inventory omits replicas that failed or were unloaded.
const (
	Loading   ReplicaState = "loading"
	Ready     ReplicaState = "ready"
	Unloading ReplicaState = "unloading" // completes running requests, accepts no others
)

// Replica is a copy of a model on an engine.
type Replica struct {
	ID           string       `json:"id"`
	Model        string       `json:"model"`
	Version      string       `json:"version"`
	State        ReplicaState `json:"state"`
	Accelerators []int        `json:"accelerators"`
	MemoryBytes  int64        `json:"memory_bytes"` // per accelerator
	Adapters     []string     `json:"adapters,omitempty"`
	LoadingForMs int64        `json:"loading_for_ms,omitempty"`
}

// CacheTier is where an engine caches a checkpoint that is not loaded.
type CacheTier string

// Cache tiers; an engine reads a checkpoint in neither of them from the weight store.
const (
	InMemory CacheTier = "memory"
	OnDisk   CacheTier = "disk"
)

// CachedCheckpoint is a checkpoint that an engine can load without the weight store.
type CachedCheckpoint struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Tier    CacheTier `json:"tier"`
}

// Accelerator is the memory of one accelerator for weights.
type Accelerator struct {
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
}

// Inventory describes what an engine has loaded and cached.
type Inventory struct {
	EngineID string `json:"engine_id"`
	// Process identifies one run of the engine; a new process holds no replicas of the previous one.
	Process      string             `json:"process"`
	Version      uint64             `json:"version"` // increases with each change
	Fence        Fence              `json:"fence"`
	Draining     bool               `json:"leaving"`
	Role         string             `json:"role"`
	Accelerators []Accelerator      `json:"accelerators"`
	Replicas     []Replica          `json:"replicas"`
	Cached       []CachedCheckpoint `json:"cached"`
}

// LoadReport is the load of an engine at an earlier time.
type LoadReport struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // a gap means lost events
	Model    string `json:"model"`
	Prefix   uint64 `json:"prefix"` // PrefixHash of the prompt
	Evicted  bool   `json:"evicted,omitempty"`
}

// prefixBytes is the length of the part of a prompt that PrefixHash covers.
const prefixBytes = 256

// PrefixHash identifies the start of a prompt to a model or adapter, in cache events and in routing.
func PrefixHash(target, prompt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target + "\x00" + prompt[:min(len(prompt), prefixBytes)])) // never fails
	return hash.Sum64()
}
