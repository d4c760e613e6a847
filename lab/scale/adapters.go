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

// Records of the model.
const (
	replicaPrefix = "servers/"
	tableKey      = "op/config"
	termKey       = "finchspoke/order-holder"
	endsPrefix    = "finchspoke/replica-ends/"
	sizeKey       = "finchspoke/fleet-size"
	serviceName   = "engines"
	readyPath     = "/ready"
)

// Figures of the model's engines, like those of the users' sheets.
const (
	modelMemoryMB   = 70_000
	replicaMemoryMB = 200_000
	storeLoad       = 6 * time.Second
	diskLoad        = 1700 * time.Millisecond
	memoryLoad      = 1300 * time.Millisecond
	modelsEach      = 2 // on a replica
	slots           = 12
	// tableFiller makes a table's record as long as the users', some 100 bytes a model.
	tableFiller = 100
)

func modelName(number int) string { return fmt.Sprintf("model-%03d", number) }

// entryOf makes the registry's entry of a replica. It holds a model of its own turn and the next.
func entryOf(number, models int) (id string, value []byte) {
	id = fmt.Sprintf("i-%08d", number)
	entry := fleet.Entry{
		ID: id, Service: serviceName, Address: fmt.Sprintf("127.0.0.1:%d", 1+number%60000), Zone: zoneOf(number), Slots: slots, Holdings: fleet.Holdings{},
	}
	for turn := range modelsEach {
		name := modelName((number + turn) % models)
		entry.Holdings[name] = nil
		entry.InMemory = append(entry.InMemory, name)
		entry.OnDisk = append(entry.OnDisk, name)
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // plain values
	}
	return id, value
}

func readReplica(pair kv.Pair) (entry fleet.Entry, err error) {
	err = json.Unmarshal(pair.Value, &entry)
	return entry, err
}

// tableRecord is a routing table as it is written: its version and some filling.
type tableRecord struct {
	Version int64
	Models  int
	Filler  string
}

func tableOf(version int64, models int) []byte {
	value, err := json.Marshal(tableRecord{version, models, strings.Repeat("weights and times of a model; ", models*tableFiller/30)})
	if err != nil {
		panic(err) // plain values
	}
	return value
}

func readTable(pair kv.Pair) (routing.Revision, error) {
	var read tableRecord
	if err := json.Unmarshal(pair.Value, &read); err != nil {
		return routing.Revision{}, err
	}
	engine := &routing.Engine{MemoryMB: replicaMemoryMB, AdapterSlots: 8, LoadsPerSecond: 100, MaxStoreLoadTime: storeLoad, Models: map[string]*routing.Model{}}
	for number := range read.Models {
		name := modelName(number)
		engine.Models[name] = &routing.Model{Name: name, MemoryMB: modelMemoryMB, StoreLoadTime: storeLoad, DiskLoadTime: diskLoad, MemoryLoadTime: memoryLoad}
	}
	route := &routing.Route{Name: "live", Host: "fleet", PathPrefix: "/", Kind: routing.Stream, Attempts: 2, Timeout: 15 * time.Second, Objective: time.Second,
		Splits: []routing.Split{{Service: serviceName, Weight: 1}}}
	return routing.Revision{Version: read.Version, Routes: []*routing.Route{route}, Services: []*routing.Service{{Name: serviceName, Engine: engine}}}, nil
}

// hollow are replicas that take each order and hold what the registry says.
type hollow struct{}

// Order implements loader.Replicas.
func (hollow) Order(context.Context, fleet.Entry, loading.Order, string, int64) (loader.OrderResponse, error) {
	return loader.Done, nil
}

// Report implements loader.Replicas.
func (hollow) Report(_ context.Context, replica fleet.Entry) (loading.Report, error) {
	return loading.Report{Holdings: replica.Holdings, InMemory: replica.InMemory, OnDisk: replica.OnDisk}, nil
}

// Send implements core.Driver: no request of the model is sent.
func (hollow) Send(context.Context, core.Dispatch) (*core.Reply, error) {
	return nil, &core.SendError{Cause: http.ErrNotSupported}
}

// Probe implements quarantine.Prober.
func (hollow) Probe(context.Context, fleet.Incarnation, string) quarantine.Liveness {
	return quarantine.Running
}

func adaptersFor(shared kv.LongPollStore) node.Adapters {
	return node.Adapters{
		Store: shared, ReplicaPrefix: replicaPrefix, DecodeReplica: readReplica, TableKey: tableKey, DecodeTable: readTable, ReadyPath: readyPath,
		ReplicaClient: func(*upstream.Pool, node.ReplicaCallbacks) node.ReplicaProtocol {
			return node.ReplicaProtocol{Driver: hollow{}, Orders: hollow{}, Prober: hollow{}}
		},
		NewCallerHandler: func(*routing.Store, *access.Gate, *core.Core) http.Handler { return http.NotFoundHandler() },
	}
}
