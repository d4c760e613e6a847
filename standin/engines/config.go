// Package engines is a stand-in of a model engine with accelerators, fenced load orders for models and adapters,
// continuous batching, a prefix cache, priorities, cancel and resume, and fault injection. It refuses and records load
// orders that exceed an accelerator's memory.
package engines

import (
	"time"

	"github.com/finchspoke/finchspoke/standin/fault"
)

// Config configures an engine.
type Config struct {
	ID                     string
	Accelerators           int
	AcceleratorMemoryBytes int64
	WeightStoreAddress     string // host:port
	Timing                 Timing
	// DiskCacheBytes and MemoryCacheBytes limit the cached checkpoints.
	DiskCacheBytes   int64
	MemoryCacheBytes int64
	// PrefixCacheTokens limits the prompt tokens that each replica caches.
	PrefixCacheTokens int
	// ResumeWindow is how long a request continues, and can be resumed, without a reader.
	ResumeWindow time.Duration
	// EventDelay is the delay of cache events; one in EventLossInterval is lost (0: none).
	EventDelay        time.Duration
	EventLossInterval int
	// LoadReportDelay is the minimum age of a served load report.
	LoadReportDelay time.Duration
}

// Values of DefaultConfig.
const (
	diskCacheFactor   = 4 // multiple of the accelerators' memory
	prefixCacheTokens = 200_000
	resumeWindow      = 2 * time.Second
	eventDelay        = 200 * time.Millisecond
	eventLossInterval = 20
	loadReportDelay   = 500 * time.Millisecond
)

// DefaultConfig returns a configuration with caches sized for the engine's accelerators.
func DefaultConfig(id string, accelerators int, acceleratorMemoryBytes int64, weightStore string, timing Timing) Config {
	memory := int64(accelerators) * acceleratorMemoryBytes
	return Config{
		ID: id, Accelerators: accelerators, AcceleratorMemoryBytes: acceleratorMemoryBytes, WeightStoreAddress: weightStore, Timing: timing,
		DiskCacheBytes: diskCacheFactor * memory, MemoryCacheBytes: memory, PrefixCacheTokens: prefixCacheTokens,
		ResumeWindow: resumeWindow, EventDelay: eventDelay, EventLossInterval: eventLossInterval, LoadReportDelay: loadReportDelay,
	}
}

// Timing sets the speed and the limits of request processing and loading.
type Timing struct {
	StepTime               time.Duration // one decode step of the batch
	PrefillTokensPerSecond float64
	MaxBatch               int
	DiskBytesPerSecond     float64
	MemoryBytesPerSecond   float64
	AdapterLoadTime        time.Duration
	DefaultMaxTokens       int
	MaxCompletionTokens    int
}

// DefaultTiming returns the timing of a typical accelerator.
func DefaultTiming() Timing {
	return Timing{
		StepTime:               20 * time.Millisecond,
		PrefillTokensPerSecond: 8000,
		MaxBatch:               32,
		DiskBytesPerSecond:     3 << 30,
		MemoryBytesPerSecond:   20 << 30,
		AdapterLoadTime:        150 * time.Millisecond,
		DefaultMaxTokens:       32,
		MaxCompletionTokens:    100_000,
	}
}

// Faults selects the faults to inject.
type Faults struct {
	// RefuseRequests rejects every request as not started.
	RefuseRequests bool `json:"refuse_requests,omitempty"`
	// RefuseEvery rejects the first of this number of requests as not started, then the next one after them, and so on;
	// zero rejects none.
	RefuseEvery int `json:"refuse_every,omitempty"`
	// CutAfterTokens closes the connection of each response after this number of tokens.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// DropResponses executes requests and closes the connection without a response.
	DropResponses bool `json:"lose_answers,omitempty"`
	// MismatchRequestIDs sends a wrong request id with each response.
	MismatchRequestIDs bool `json:"cross_answers,omitempty"`
	// SlowFactor multiplies the duration of each decode step.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailLoads makes every load fail.
	FailLoads bool `json:"fail_loads,omitempty"`
	// DelayOrders delays the processing of each order.
	DelayOrders fault.Duration `json:"delay_orders,omitempty"`
	// DropOrderResponses processes orders and closes the connection without a response.
	DropOrderResponses bool `json:"lose_order_answers,omitempty"`
	// Draining makes the engine report that it is draining and reject requests.
	Draining bool `json:"leaving,omitempty"`
}

// EntryKind identifies the event of a history entry.
type EntryKind string

// Kinds of history entries.
const (
	RequestStarted   EntryKind = "request_started"
	RequestFinished  EntryKind = "request_finished"
	RequestCancelled EntryKind = "request_cancelled"
	RequestRefused   EntryKind = "request_refused"
	LoadStarted      EntryKind = "load_started"
	LoadFinished     EntryKind = "load_finished"
	LoadFailed       EntryKind = "load_failed"
	UnloadFinished   EntryKind = "unload_finished"
	FenceRefused     EntryKind = "fence_refused"
	MemoryRefused    EntryKind = "memory_refused"
)

// Entry is an event in an engine's history.
type Entry struct {
	At        time.Time `json:"at"`
	Kind      EntryKind `json:"kind"`
	RequestID string    `json:"request_id,omitempty"`
	ReplicaID string    `json:"replica_id,omitempty"`
	Model     string    `json:"model,omitempty"` // or adapter
	Prompt    string    `json:"prompt,omitempty"`
	Tokens    int       `json:"tokens,omitempty"`
	Epoch     uint64    `json:"epoch,omitempty"`
	Revision  uint64    `json:"revision,omitempty"`
	Source    string    `json:"source,omitempty"` // of a load: memory, disk, remote
	Detail    string    `json:"detail,omitempty"`
}
