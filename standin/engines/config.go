// Package engines is a stand-in of a model engine: several accelerators, models
// and adapters loaded by fenced orders, continuous batching, a prefix cache in
// limited memory, priorities, cancel and resume, and faults.
//
// Memory is never exceeded; every order that would exceed it is refused and
// recorded.
package engines

import (
	"time"

	"github.com/finchspoke/finchspoke/standin/fault"
)

// Config describes an engine.
type Config struct {
	ID                     string
	Accelerators           int
	AcceleratorMemoryBytes int64
	WeightStoreAddress     string // host:port
	Timing                 Timing
	// DiskCacheBytes and MemoryCacheBytes bound the checkpoints kept.
	DiskCacheBytes   int64
	MemoryCacheBytes int64
	// PrefixCacheTokens bounds the prompt tokens cached for each replica.
	PrefixCacheTokens int
	// ResumeWindow is how long an answer goes on without a reader.
	ResumeWindow time.Duration
	// EventDelay is how late cache events are; one in EventLossInterval is lost (0: none).
	EventDelay        time.Duration
	EventLossInterval int
	// LoadReportDelay is how old load reports are.
	LoadReportDelay time.Duration
}

// Defaults of the caches, and of how late and incomplete an engine's reports are.
const (
	diskCacheFactor   = 4 // times the accelerators' memory
	prefixCacheTokens = 200_000
	resumeWindow      = 2 * time.Second
	eventDelay        = 200 * time.Millisecond
	eventGap          = 20
	loadLag           = 500 * time.Millisecond
)

// DefaultConfig describes an engine with the defaults for its size.
func DefaultConfig(id string, accelerators int, acceleratorBytes int64, weightStore string, timing Timing) Config {
	memory := int64(accelerators) * acceleratorBytes
	return Config{
		ID: id, Accelerators: accelerators, AcceleratorMemoryBytes: acceleratorBytes, WeightStoreAddress: weightStore, Timing: timing,
		DiskCacheBytes: diskCacheFactor * memory, MemoryCacheBytes: memory, PrefixCacheTokens: prefixCacheTokens,
		ResumeWindow: resumeWindow, EventDelay: eventDelay, EventLossInterval: eventGap, LoadReportDelay: loadLag,
	}
}

// Timing is the engine's model of time.
type Timing struct {
	StepTime               time.Duration // one decode step of a whole batch
	PrefillTokensPerSecond float64
	MaxBatch               int
	DiskBytesPerSecond     float64
	MemoryBytesPerSecond   float64
	AdapterLoadTime        time.Duration
	DefaultMaxTokens       int
	MaxCompletionTokens    int
}

// DefaultTiming is that of an accelerator of today: 20 ms a token.
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

// Faults are the failures that can be switched on.
type Faults struct {
	// RefuseRequests answers every request with "not started".
	RefuseRequests bool `json:"refuse_requests,omitempty"`
	// CutAfterTokens cuts the connection of each answer after so many tokens.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// LoseAnswers runs requests and cuts the connection before the answer.
	DropResponses bool `json:"lose_answers,omitempty"`
	// MismatchRequestIDs names another request in each answer, as a crossed one does.
	MismatchRequestIDs bool `json:"cross_answers,omitempty"`
	// SlowFactor multiplies the time of each step.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailLoads makes every load end in failure.
	FailLoads bool `json:"fail_loads,omitempty"`
	// DelayOrders holds each order back before it is looked at.
	DelayOrders fault.Duration `json:"delay_orders,omitempty"`
	// DropOrderResponses acts on orders and cuts the connection.
	DropOrderResponses bool `json:"lose_order_answers,omitempty"`
	// Leaving makes the engine say that it leaves.
	Draining bool `json:"leaving,omitempty"`
}

// EntryKind is the kind of a history entry.
type EntryKind string

// The kinds of history entries.
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

// Entry is one event in the history.
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
