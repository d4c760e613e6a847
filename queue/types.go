package queue

import (
	"time"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/settings"
)

// Item is a request that waits for a slot.
type Item struct {
	ID       string
	Owner    string // the gateway that holds the caller's connection
	Target   string // the model, or one of its adapters
	Branch   string
	Share    int // the branch's weight; at least 1
	Limits   settings.Limits
	Class    request.Class
	Zone     string // the gateway's zone
	Tokens   int    // asked for, prompt and answer
	Prefix   uint64 // hash of the prompt's leading part; zero: none
	Arrived  time.Time
	Deadline time.Time // the whole answer is due then
}

// Replica is a ready replica.
type Replica struct {
	ID       string // an engine may hold several replicas of a model
	EngineID string
	Address  string
	Zone     string
	Adapters map[string]bool
}

// Action is a Grant or a Refusal.
type Action interface{ action() }

// Grant gives an item a slot on a replica: it may be dispatched there once.
type Grant struct {
	Item    Item
	Replica Replica
}

// Refusal ends an item that was never granted.
type Refusal struct {
	Item       Item
	Kind       failure.Kind
	Message    string
	RetryAfter time.Duration
}

func (Grant) action()   {}
func (Refusal) action() {}

// Demand is what one target asks of the placer.
type Demand struct {
	Target   string
	Waiting  int
	Urgent   int // of the waiting, those of class interactive
	Running  int
	LastUsed time.Time
}

const (
	// minSuspension and maxSuspension bound how long a replica that failed
	// gets nothing while others can serve; it doubles with each failure in a row.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 10 * time.Second
	// dispatchMargin before its deadline an item is no longer worth a dispatch.
	dispatchMargin = 20 * time.Millisecond
	// serviceSampleWeight is the weight of a new sample in the mean service time.
	serviceSampleWeight = 0.1
	// minServiceFraction of the expected service must fit before the deadline.
	minServiceFraction = 0.9
	// minRetryAfter is the least advice when to come back.
	minRetryAfter = time.Second
)

// Queue is the queue of one base model.
type Queue struct {
	model          string
	concurrency    int
	lanes          map[string]*lane
	items          map[string]*waitingItem
	branches       map[string]*branchState
	virtualTime    float64                  // of the branch served last
	replicas       map[string]*replicaSlots // by replica id
	running        map[string]runningItem
	lastUsed       map[string]time.Time // by target
	meanService    time.Duration        // zero until the first sample
	perToken       time.Duration        // mean of service by tokens asked for
	firstReadyAt   time.Time            // when a first replica is expected; zero unknown
	waitingByClass [request.ClassCount]int
	sequence       uint64
	affinity       *affinity
}

type runningItem struct {
	owner     string
	target    string
	replicaID string
	branch    string // empty if restored
	tokens    int    // asked for; zero if restored
}

// slots is a replica with what runs on it.
type replicaSlots struct {
	Replica
	ready          bool
	running        int
	failures       int // in a row
	failedAt       time.Time
	suspendedUntil time.Time
}

// lane holds what waits for one target, by class and branch.
type lane struct {
	target  string
	classes [request.ClassCount]map[string]*itemHeap
}

type branchState struct {
	virtualStart float64
	waiting      int
	running      int
	requests     bucket
	tokens       bucket
}
