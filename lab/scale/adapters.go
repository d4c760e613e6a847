package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/finchspoke/finchspoke/access"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/loader"
	"github.com/finchspoke/finchspoke/loading"
	"github.com/finchspoke/finchspoke/node"
	"github.com/finchspoke/finchspoke/quarantine"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/upstream"
)

// Keys and names that the simulated fleet uses.
const (
	replicaPrefix = "servers/"
	tableKey      = "op/config"
	termKey       = "finchspoke/order-holder"
	crashPrefix   = "finchspoke/replica-ends/"
	sizeKey       = "finchspoke/fleet-size"
	serviceName   = "engines"
	readyPath     = "/ready"
)

// Properties of the simulated replicas and their models.
const (
	modelMemoryMB    = 70_000
	replicaMemoryMB  = 200_000
	storeLoadTime    = 6 * time.Second
	diskLoadTime     = 1700 * time.Millisecond
	memoryLoadTime   = 1300 * time.Millisecond
	modelsPerReplica = 2
	slotsPerReplica  = 12
	// fillerBytesPerModel pads the record of a routing table to a realistic size.
	fillerBytesPerModel = 100
)

func modelName(number int) string { return fmt.Sprintf("model-%03d", number) }

// newEntry returns the id and the registry entry of a replica. Consecutive replicas overlap in one model.
func newEntry(number, models int) (id string, value []byte) {
	id = fmt.Sprintf("i-%08d", number)
	entry := fleet.Entry{
		ID: id, Service: serviceName, Address: fmt.Sprintf("127.0.0.1:%d", 1+number%60000), Zone: zoneOf(number), Slots: slotsPerReplica, Holdings: fleet.Holdings{},
	}
	for offset := range modelsPerReplica {
		name := modelName((number + offset) % models)
		entry.Holdings[name] = nil
		entry.InMemory = append(entry.InMemory, name)
		entry.OnDisk = append(entry.OnDisk, name)
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return id, value
}

func decodeReplica(pair kv.Pair) (entry fleet.Entry, err error) {
	err = json.Unmarshal(pair.Value, &entry)
	return entry, err
}

// tableRecord is the stored form of a routing table; Filler pads it.
type tableRecord struct {
	Version int64
	Models  int
	Filler  string
}

func encodeTable(version int64, models int) []byte {
	value, err := json.Marshal(tableRecord{version, models, strings.Repeat("weights and times of a model; ", models*fillerBytesPerModel/30)})
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return value
}

func decodeTable(pair kv.Pair) (routing.Revision, error) {
	var record tableRecord
	if err := json.Unmarshal(pair.Value, &record); err != nil {
		return routing.Revision{}, err
	}
	engine := &routing.Engine{MemoryMB: replicaMemoryMB, AdapterSlots: 8, LoadsPerSecond: 100, MaxStoreLoadTime: storeLoadTime, Models: map[string]*routing.Model{}}
	for number := range record.Models {
		name := modelName(number)
		engine.Models[name] = &routing.Model{Name: name, MemoryMB: modelMemoryMB, StoreLoadTime: storeLoadTime, DiskLoadTime: diskLoadTime, MemoryLoadTime: memoryLoadTime}
	}
	route := &routing.Route{Name: "live", Host: "fleet", PathPrefix: "/", Kind: routing.Stream, Attempts: 2, Timeout: 15 * time.Second, Objective: time.Second,
		Splits: []routing.Split{{Service: serviceName, Weight: 1}}}
	return routing.Revision{Version: record.Version, Routes: []*routing.Route{route}, Services: []*routing.Service{{Name: serviceName, Engine: engine}}}, nil
}

// stubReplicas accepts every load order and reports the models that the registry entry names.
type stubReplicas struct{}

// Order implements loader.ReplicaClient.
func (stubReplicas) Order(context.Context, fleet.Entry, loading.Order, string, int64) (loader.OrderResponse, error) {
	return loader.Done, nil
}

// Report implements loader.ReplicaClient.
func (stubReplicas) Report(_ context.Context, replica fleet.Entry) (loading.Report, error) {
	return loading.Report{Holdings: replica.Holdings, InMemory: replica.InMemory, OnDisk: replica.OnDisk}, nil
}

// Send implements core.Driver. It always fails, as the simulation sends no requests to replicas.
func (stubReplicas) Send(context.Context, core.Dispatch) (*core.Reply, error) {
	return nil, &core.SendError{Cause: http.ErrNotSupported}
}

// Probe implements quarantine.Prober.
func (stubReplicas) Probe(context.Context, fleet.Incarnation, string) quarantine.Liveness {
	return quarantine.Running
}

func newAdapters(shared kv.LongPollStore) node.Adapters {
	return node.Adapters{
		Store: shared, ReplicaPrefix: replicaPrefix, DecodeReplica: decodeReplica, TableKey: tableKey, DecodeTable: decodeTable, ReadyPath: readyPath,
		ReplicaClient: func(*upstream.Pool, node.ReplicaCallbacks) node.ReplicaProtocol {
			return node.ReplicaProtocol{Driver: stubReplicas{}, Orders: stubReplicas{}, Prober: stubReplicas{}}
		},
		NewCallerHandler: func(*routing.Store, *access.Gate, *core.Core) http.Handler { return http.NotFoundHandler() },
	}
}
