package engines

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/standin/fault"
)

// Engine is an HTTP handler that simulates one model engine.
type Engine struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]

	config  Config
	process string
	mux     *http.ServeMux
	http    *http.Client // for the weight store
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	// requests counts the requests received.
	requests atomic.Int64

	mutex       sync.Mutex
	version     uint64
	changed     chan struct{} // closed and replaced when version increases
	fence       engine.Fence
	role        string
	usedBytes   []int64 // by accelerator
	replicas    map[string]*replica
	unloaded    map[string]bool // ids of replicas with an unload order; they cannot be loaded again
	cache       *checkpointCache
	sequences   map[string]*sequence
	loadReports []engine.LoadReport
	events      *eventLog
}

// New starts an engine. Close stops it.
func New(config Config) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		config:    config,
		process:   uuid.NewString(),
		mux:       http.NewServeMux(),
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		ctx:       ctx,
		stop:      stop,
		changed:   make(chan struct{}),
		version:   1,
		role:      "both",
		usedBytes: make([]int64, config.Accelerators),
		replicas:  map[string]*replica{},
		unloaded:  map[string]bool{},
		cache:     newCheckpointCache(config.DiskCacheBytes, config.MemoryCacheBytes),
		sequences: map[string]*sequence{},
		events:    newEventLog(config.EventDelay, config.EventLossInterval),
	}
	e.registerRoutes()
	e.workers.Add(1)
	go e.sampleLoad()
	return e
}

func (e *Engine) registerRoutes() {
	e.mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	e.mux.HandleFunc("GET "+engine.PathInventory, e.serveInventory)
	e.mux.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+engine.PathEvents, e.serveEvents)
	e.mux.HandleFunc("GET "+engine.PathStreams+"{id}", e.serveResume)
	e.mux.HandleFunc("DELETE "+engine.PathStreams+"{id}", e.serveCancel)
	e.mux.HandleFunc("GET "+engine.PathPrefixes+"{model}", e.servePrefixExport)
	e.mux.HandleFunc("PUT "+engine.PathPrefixes+"{model}", e.servePrefixImport)
	e.mux.HandleFunc("POST "+engine.PathChat, e.serveChat)
	e.mux.HandleFunc("POST "+engine.PathCompletion, e.serveCompletion)
	fault.Register(e.mux, &e.Faults, &e.History)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	e.mux.ServeHTTP(writer, httpRequest)
}

// Close stops the engine's goroutines and waits for them.
func (e *Engine) Close() {
	e.stop()
	e.mutex.Lock()
	for _, r := range e.replicas {
		r.batch.stop()
	}
	e.mutex.Unlock()
	e.workers.Wait()
	e.http.CloseIdleConnections()
}

// record adds a history entry with the current time.
func (e *Engine) record(entry Entry) {
	entry.At = time.Now()
	e.History.Add(entry)
}

// bumpVersion announces a change of the inventory to waiting readers. The caller holds the mutex.
func (e *Engine) bumpVersion() {
	e.version++
	close(e.changed)
	e.changed = make(chan struct{})
}

// Inventory returns the engine's accelerators, replicas and cached checkpoints.
func (e *Engine) Inventory() engine.Inventory {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.inventoryLocked()
}

func (e *Engine) inventoryLocked() engine.Inventory {
	inventory := engine.Inventory{
		EngineID: e.config.ID, Process: e.process, Version: e.version, Fence: e.fence,
		Draining: e.Faults.Get().Draining, Role: e.role,
		Replicas: []engine.Replica{}, Cached: e.cache.list(),
	}
	for _, usedBytes := range e.usedBytes {
		inventory.Accelerators = append(inventory.Accelerators,
			engine.Accelerator{MemoryBytes: e.config.AcceleratorMemoryBytes, UsedBytes: usedBytes})
	}
	for _, r := range e.replicas {
		inventory.Replicas = append(inventory.Replicas, r.describe(time.Now()))
	}
	sort.Slice(inventory.Replicas, func(i, j int) bool { return inventory.Replicas[i].ID < inventory.Replicas[j].ID })
	return inventory
}

// inventoryPollInterval is how often a long poll checks the faults, whose changes are not signalled.
const inventoryPollInterval = 200 * time.Millisecond

func (e *Engine) serveInventory(writer http.ResponseWriter, httpRequest *http.Request) {
	query := httpRequest.URL.Query()
	after := parseUintOrZero(query.Get("after"))
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	deadline := time.Now().Add(wait)
	draining := e.Faults.Get().Draining
	for {
		e.mutex.Lock()
		inventory := e.inventoryLocked()
		changed := e.changed
		e.mutex.Unlock()
		if inventory.Version != after || inventory.Draining != draining || !time.Now().Before(deadline) {
			fault.WriteJSON(writer, http.StatusOK, inventory)
			return
		}
		select {
		case <-changed:
		case <-time.After(min(inventoryPollInterval, time.Until(deadline))):
		case <-httpRequest.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
	}
}

const (
	reportInterval = 250 * time.Millisecond
	maxReports     = 240
)

// sampleLoad records load reports at an interval, for serving them with a delay.
func (e *Engine) sampleLoad() {
	defer e.workers.Done()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.mutex.Lock()
			report := engine.LoadReport{At: now}
			for _, r := range e.replicas {
				running, waiting := r.batch.counts()
				report.Running += running
				report.Waiting += waiting
			}
			e.loadReports = append(e.loadReports, report)
			if len(e.loadReports) > maxReports {
				e.loadReports = e.loadReports[1:]
			}
			e.mutex.Unlock()
		}
	}
}

func (e *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	var report engine.LoadReport
	limit := time.Now().Add(-e.config.LoadReportDelay)
	for _, sample := range e.loadReports {
		if !sample.At.After(limit) {
			report = sample
		}
	}
	e.mutex.Unlock()
	fault.WriteJSON(writer, http.StatusOK, report)
}
