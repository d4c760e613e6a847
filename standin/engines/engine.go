package engines

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/standin/fault"
)

// Engine is the stand-in.
type Engine struct {
	Faults  fault.Switch[Faults]
	History fault.History[Entry]

	config  Config
	process string
	mux     *http.ServeMux
	http    *http.Client // to the weight store
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup

	mutex     sync.Mutex
	version   uint64
	changed   chan struct{} // closed and replaced when version grows
	fence     engine.Fence
	role      string
	used      []int64 // bytes on each accelerator
	replicas  map[string]*replica
	unloaded  map[string]bool // replica ids that will not come back
	cache     *checkpointCache
	sequences map[string]*sequence
	reports   []engine.LoadReport
	events    *eventLog
}

// New starts an engine. Close ends it.
func New(config Config) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	created := &Engine{
		config:    config,
		process:   uuid.NewString(),
		mux:       http.NewServeMux(),
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
		ctx:       ctx,
		stop:      stop,
		changed:   make(chan struct{}),
		version:   1,
		role:      "both",
		used:      make([]int64, config.Accelerators),
		replicas:  map[string]*replica{},
		unloaded:  map[string]bool{},
		cache:     newCheckpointCache(config.DiskCacheBytes, config.MemoryCacheBytes),
		sequences: map[string]*sequence{},
		events:    newEventLog(config.EventDelay, config.EventLossInterval),
	}
	created.routes()
	created.workers.Add(1)
	go created.reportLoad()
	return created
}

func (e *Engine) routes() {
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

// Close ends the engine's work and waits for it.
func (e *Engine) Close() {
	e.stop()
	e.mutex.Lock()
	for _, held := range e.replicas {
		held.batch.stop()
	}
	e.mutex.Unlock()
	e.workers.Wait()
	e.http.CloseIdleConnections()
}

// record adds a history entry stamped now.
func (e *Engine) record(entry Entry) {
	entry.At = time.Now()
	e.History.Add(entry)
}

// touch makes a change of the inventory visible; the mutex is held.
func (e *Engine) touch() {
	e.version++
	close(e.changed)
	e.changed = make(chan struct{})
}

// Inventory returns what the engine holds.
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
	for _, used := range e.used {
		inventory.Accelerators = append(inventory.Accelerators,
			engine.Accelerator{MemoryBytes: e.config.AcceleratorMemoryBytes, UsedBytes: used})
	}
	for _, held := range e.replicas {
		inventory.Replicas = append(inventory.Replicas, held.describe(time.Now()))
	}
	sort.Slice(inventory.Replicas, func(i, j int) bool { return inventory.Replicas[i].ID < inventory.Replicas[j].ID })
	return inventory
}

// inventoryPoll is how often a waiting reader looks at faults, which have no
// signal of their own.
const inventoryPoll = 200 * time.Millisecond

func (e *Engine) serveInventory(writer http.ResponseWriter, httpRequest *http.Request) {
	query := httpRequest.URL.Query()
	after := parseUint(query.Get("after"))
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	deadline := time.Now().Add(wait)
	leaving := e.Faults.Get().Draining
	for {
		e.mutex.Lock()
		inventory := e.inventoryLocked()
		changed := e.changed
		e.mutex.Unlock()
		if inventory.Version != after || inventory.Draining != leaving || !time.Now().Before(deadline) {
			fault.WriteJSON(writer, http.StatusOK, inventory)
			return
		}
		select {
		case <-changed:
		case <-time.After(min(inventoryPoll, time.Until(deadline))):
		case <-httpRequest.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
	}
}

const (
	reportEvery = 250 * time.Millisecond
	reportsKept = 240
)

// reportLoad samples the load so that a report can be served late.
func (e *Engine) reportLoad() {
	defer e.workers.Done()
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.mutex.Lock()
			report := engine.LoadReport{At: now}
			for _, held := range e.replicas {
				running, waiting := held.batch.load()
				report.Running += running
				report.Waiting += waiting
			}
			e.reports = append(e.reports, report)
			if len(e.reports) > reportsKept {
				e.reports = e.reports[1:]
			}
			e.mutex.Unlock()
		}
	}
}

func (e *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	var report engine.LoadReport
	limit := time.Now().Add(-e.config.LoadReportDelay)
	for _, candidate := range e.reports {
		if !candidate.At.After(limit) {
			report = candidate
		}
	}
	e.mutex.Unlock()
	fault.WriteJSON(writer, http.StatusOK, report)
}
