package queue

import (
	"time"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/settings"
)

// Item is a request for a slot on a replica.
type Item struct {
	ID        string
	GatewayID string // the gateway that holds the caller's connection
	Target    string // the model, or one of its adapters
	Branch    string
	Share     int // the branch's weight; at least 1
	Limits    settings.Limits
	Class     request.Class
	Zone      string // the gateway's zone
	Tokens    int    // requested, for prompt and response
	Prefix    uint64 // hash of the prompt's leading part; zero if none
	Arrived   time.Time
	Deadline  time.Time // for the complete response
}

// Replica is a model replica that can serve requests.
type Replica struct {
	ID       string // an engine may hold several replicas of a model
	EngineID string
	Address  string
	Zone     string
	Adapters map[string]bool
}

// Action is a Grant or a Refusal.
type Action interface{ action() }

// Grant assigns an item a slot on a replica, which permits one dispatch to it.
type Grant struct {
	Item    Item
	Replica Replica
}

// Refusal rejects an item that has not been granted a slot.
type Refusal struct {
	Item       Item
	Kind       failure.Kind
	Message    string
	RetryAfter time.Duration
}

func (Grant) action()   {}
func (Refusal) action() {}

// Demand is the demand for one target, as reported to the placer.
type Demand struct {
	Target   string
	Waiting  int
	Urgent   int // waiting items of class interactive
	Running  int
	LastUsed time.Time
}

const (
	// minSuspension and maxSuspension bound how long a failed replica is suspended; the
	// time doubles with each consecutive failure.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 10 * time.Second
	// dispatchMargin is the time before its deadline within which an item is not dispatched.
	dispatchMargin = 20 * time.Millisecond
	// serviceSampleWeight is the weight of a new sample in the mean service times.
	serviceSampleWeight = 0.1
	// minServiceFraction is the fraction of the expected service time that must remain
	// before the deadline.
	minServiceFraction = 0.9
	// minRetryAfter is the shortest retry delay that a refusal advises.
	minRetryAfter = time.Second
)

// Queue is the queue of one base model.
type Queue struct {
	model          string
	concurrency    int
	lanes          map[string]*lane
	items          map[string]*waitingItem
	branches       map[string]*branchState
	virtualTime    float64                  // virtualStart of the branch granted last
	replicas       map[string]*replicaSlots // by replica id
	running        map[string]runningItem
	lastUsed       map[string]time.Time // by target
	meanService    time.Duration        // zero until the first sample
	meanPerToken   time.Duration        // mean service time per requested token
	firstReadyAt   time.Time            // when a first replica is expected; zero if unknown
	waitingByClass [request.ClassCount]int
	sequence       uint64
	affinity       *affinity
}

type runningItem struct {
	gatewayID string
	target    string
	replicaID string
	branch    string // empty if restored
	tokens    int    // requested; zero if restored
}

// replicaSlots is a replica with the state of its slots.
type replicaSlots struct {
	Replica
	ready          bool
	running        int
	failures       int // consecutive
	failedAt       time.Time
	suspendedUntil time.Time
}

// lane holds the waiting items of one target, by class and branch.
type lane struct {
	target  string
	classes [request.ClassCount]map[string]*itemHeap
}

// branchState is the fair-share and limit state of one branch.
type branchState struct {
	virtualStart float64 // grows with each grant by the inverse of the branch's share
	waiting      int
	running      int
	requests     bucket
	tokens       bucket
}
