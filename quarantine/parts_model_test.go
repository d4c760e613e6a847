package quarantine

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
)

// partModel models a service whose replicas crash as they begin to answer prompts with some parts. The guards of several
// daemons share reports through a store that notifies them after a delay.
type partModel struct {
	daemons, replicaCount  int
	soundRate, crashRate   float64 // requests a second, over all daemons
	propagation            time.Duration
	crashing               [][]string // shared parts of the prompts that crash replicas; a request has one of them
	bad                    []string   // the parts that crash replicas
	documents              int        // other second parts of prompts
	unrelatedCrashInterval time.Duration
	massCrashAt            time.Duration   // when half of the replicas crash for another cause; zero: never
	outages                []time.Duration // when all replicas crash for another cause
	daemonsKilledAt        time.Duration   // when all daemons are killed and start again; zero: never
	silentStoreAt          time.Duration   // from when the store is unavailable; zero: never
	lockstep               time.Duration   // interval at which all daemons get a crashing request at the same moment; zero: random
	firstEvent             time.Duration   // until a replica begins to answer; zero: random
	settledAt              time.Duration   // from when sound requests count at the earliest
	restart                time.Duration   // until a crashed replica has restarted and loaded its model
	random                 *rand.Rand

	t        *testing.T
	store    *delayedStore
	guards   []*Guard
	replicas []*modelReplica
	waiting  []*modelRequest
	started  time.Time
	result   map[string]*partCost
	sound    []soundResult
}

// modelReplica is a replica; requests are in flight there.
type modelReplica struct {
	index, incarnation int
	upAt               time.Time
	requests           []*modelRequest
}

// current returns the replica's process.
func (r *modelReplica) current() fleet.Incarnation {
	return fleet.Incarnation{ID: fmt.Sprintf("r%d.%d", r.index, r.incarnation)}
}

type modelRequest struct {
	guard      *Guard
	suspect    Suspect
	badPart    string // empty if the request crashes no replica
	sentAt     time.Time
	beginsAt   time.Time
	endsAt     time.Time
	begun      bool
	dispatches int
	trial      *BegunTrial // the dispatch is this trial; nil if it is none
}

// partCost counts what one bad part did.
type partCost struct{ crashes, dispatches []time.Time }

// soundResult is the outcome of a sound request.
type soundResult struct {
	sentAt  time.Time
	begun   bool
	refused bool
}

// delayedStore is an in-memory store that notifies guards of changes after a delay, in order.
type delayedStore struct {
	fakeStore
	delay time.Duration
	down  bool
}

func (s *delayedStore) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	for _, condition := range txn.Conditions {
		if s.revisions[condition.Key] != condition.ModRevision {
			return kv.TxnResult{}, nil
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		s.records[put.Key] = put.Value
		s.revisions[put.Key] = s.revision
		event := kv.Event{Pair: kv.Pair{Key: put.Key, Value: put.Value, ModRevision: s.revision}}
		time.AfterFunc(s.delay, func() { s.notify(event) })
	}
	for _, key := range txn.Deletes {
		delete(s.records, key)
		delete(s.revisions, key)
		event := kv.Event{Pair: kv.Pair{Key: key, ModRevision: s.revision}, Deleted: true}
		time.AfterFunc(s.delay, func() { s.notify(event) })
	}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

const (
	modelStep       = 10 * time.Millisecond
	modelCalm       = 3 * time.Second
	modelDuration   = 40 * time.Second
	modelDispatches = 2 // of one request
	modelStream     = time.Second
)

func (m *partModel) run() {
	m.result = map[string]*partCost{}
	for _, part := range m.bad {
		m.result[part] = &partCost{}
	}
	m.started = time.Now()
	m.startGuards()
	for index := range m.replicaCount {
		m.replicas = append(m.replicas, &modelReplica{index: index, upAt: m.started})
	}
	nextUnrelated := m.started.Add(m.unrelatedCrashInterval)
	number, massCrashed, nextLockstep := 0, false, m.started.Add(modelCalm)
	for time.Since(m.started) < modelDuration {
		time.Sleep(modelStep)
		for range m.poisson(m.soundRate) {
			number++
			m.waiting = append(m.waiting, m.newRequest(number, []string{"shared", fmt.Sprint("document ", m.zipf())}, ""))
		}
		if time.Since(m.started) > modelCalm {
			for _, guard := range m.crashArrivals(&nextLockstep) {
				number++
				parts := m.crashing[number%len(m.crashing)]
				request := m.newRequest(number, parts, m.badPartOf(parts))
				request.guard = guard
				m.waiting = append(m.waiting, request)
			}
		}
		if m.unrelatedCrashInterval > 0 && time.Now().After(nextUnrelated) {
			nextUnrelated = nextUnrelated.Add(m.unrelatedCrashInterval)
			m.crash(m.random.IntN(m.replicaCount))
		}
		if m.massCrashAt > 0 && !massCrashed && time.Since(m.started) > m.massCrashAt {
			massCrashed = true
			for replica := range m.replicaCount / 2 {
				m.crash(replica)
			}
		}
		if len(m.outages) > 0 && time.Since(m.started) > m.outages[0] {
			m.outages = m.outages[1:]
			for replica := range m.replicas {
				m.crash(replica)
			}
		}
		if m.daemonsKilledAt > 0 && time.Since(m.started) > m.daemonsKilledAt {
			m.daemonsKilledAt = 0
			m.restartDaemons()
		}
		m.store.setDown(m.silentStoreAt > 0 && time.Since(m.started) > m.silentStoreAt)
		m.dispatchWaiting()
		m.progress()
	}
}

// draw returns a random duration below a bound; the middle if the model is not random.
func (m *partModel) draw(bound time.Duration) time.Duration {
	if m.random == nil {
		return bound / 2
	}
	return time.Duration(m.random.Int64N(int64(bound)))
}

// startGuards starts the guards of all daemons on one store.
func (m *partModel) startGuards() {
	m.store = &delayedStore{fakeStore: fakeStore{records: map[string][]byte{}, revisions: map[string]int64{}}, delay: m.propagation}
	m.addGuards()
}

// restartDaemons replaces the guards by new ones that read the records. Requests in flight are lost.
func (m *partModel) restartDaemons() {
	m.waiting, m.guards = nil, nil
	for _, replica := range m.replicas {
		replica.requests = nil
	}
	m.addGuards()
	m.store.mutex.Lock()
	defer m.store.mutex.Unlock()
	for key, value := range m.store.records {
		m.store.notify(kv.Event{Pair: kv.Pair{Key: key, Value: value, ModRevision: m.store.revisions[key]}})
	}
}

func (m *partModel) addGuards() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for range m.daemons {
		guard := &Guard{Prefix: "ends/", Store: m.store, Prober: m, IsDraining: func(string) bool { return false },
			BackoffUntil: func(string) time.Time { return time.Time{} }, Leading: func() bool { return false }, DaemonCount: func() int { return m.daemons }, Draw: m.draw,
			Now: time.Now, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log}
		guard.Prepare()
		m.guards = append(m.guards, guard)
		go func() { _ = guard.Serve(m.t.Context()) }()
	}
	m.store.guards = m.guards
}

func (s *delayedStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// Probe implements Prober. A process that has ended was replaced by another incarnation.
func (m *partModel) Probe(_ context.Context, probed fleet.Incarnation, _ string) Liveness {
	for _, replica := range m.replicas {
		if replica.current() == probed {
			return Running
		}
	}
	return NotRunning
}

// crashedProber finds every probed replica ended, since the model only breaks connections by crashes.
type crashedProber struct{}

func (crashedProber) Probe(context.Context, fleet.Incarnation, string) Liveness { return NotRunning }

func (m *partModel) poisson(rate float64) (count int) {
	limit, product := math.Exp(-rate*modelStep.Seconds()), m.random.Float64()
	for ; product > limit; product *= m.random.Float64() {
		count++
	}
	return count
}

// zipf returns the number of a document; low numbers are popular.
func (m *partModel) zipf() int { return int(math.Pow(float64(m.documents), m.random.Float64())) }

// crashArrivals returns the daemons that get a crashing request now, in lockstep one of each kind.
func (m *partModel) crashArrivals(nextLockstep *time.Time) (guards []*Guard) {
	if m.lockstep == 0 {
		for range m.poisson(m.crashRate) {
			guards = append(guards, m.guards[m.random.IntN(m.daemons)])
		}
		return guards
	}
	if time.Now().Before(*nextLockstep) {
		return nil
	}
	*nextLockstep = nextLockstep.Add(m.lockstep)
	for range m.crashing {
		guards = append(guards, m.guards...)
	}
	return guards
}

func (m *partModel) badPartOf(parts []string) string {
	return parts[slices.IndexFunc(parts, func(part string) bool { return slices.Contains(m.bad, part) })]
}

func (m *partModel) newRequest(number int, parts []string, badPart string) *modelRequest {
	return &modelRequest{guard: m.guards[m.random.IntN(m.daemons)], suspect: Suspect{Request: testFingerprint(number), Parts: HashParts("press", parts)}, badPart: badPart, sentAt: time.Now()}
}

// dispatchWaiting dispatches the requests that may be, and keeps those that are held.
func (m *partModel) dispatchWaiting() {
	waiting := m.waiting
	m.waiting = nil
	for _, request := range waiting {
		verdict := request.guard.Check(request.suspect)
		switch {
		case !verdict.HoldUntil.IsZero():
			m.waiting = append(m.waiting, request)
			continue
		case verdict.Refused != nil && !verdict.TrialDue:
			m.finish(request, true)
			continue
		}
		m.dispatch(request, verdict.TrialDue)
	}
}

func (m *partModel) dispatch(request *modelRequest, needsTrial bool) {
	var up []*modelReplica
	for _, replica := range m.replicas {
		if !replica.upAt.After(time.Now()) {
			up = append(up, replica)
		}
	}
	if len(up) == 0 {
		if time.Since(request.sentAt) > time.Second {
			m.finish(request, false)
			return
		}
		m.waiting = append(m.waiting, request)
		return
	}
	replica := up[m.random.IntN(len(up))]
	if needsTrial {
		request.trial = request.guard.BeginTrial(m.t.Context(), request.suspect, Destination{Replica: replica.current(), Address: "address"}, nil)
		if request.trial == nil {
			m.finish(request, true)
			return
		}
	}
	request.dispatches++
	firstEvent := m.firstEvent
	if firstEvent == 0 {
		firstEvent = 50*time.Millisecond + time.Duration(m.random.Int64N(int64(250*time.Millisecond)))
	}
	request.beginsAt = time.Now().Add(firstEvent)
	request.endsAt = request.beginsAt.Add(modelStream)
	replica.requests = append(replica.requests, request)
	if request.badPart != "" {
		m.result[request.badPart].dispatches = append(m.result[request.badPart].dispatches, time.Now())
	}
}

// progress lets replicas answer, and crash as they begin to answer a prompt with a bad part.
func (m *partModel) progress() {
	for index, replica := range m.replicas {
		var crashedBy string
		for _, request := range replica.requests {
			if request.begun || request.beginsAt.After(time.Now()) {
				continue
			}
			if request.badPart != "" {
				crashedBy = request.badPart
				break
			}
			request.begun = true
			request.guard.Begun(request.suspect.Parts)
			if request.trial != nil {
				request.guard.EndTrial(request.trial)
			}
			m.finish(request, false)
		}
		if crashedBy != "" {
			m.result[crashedBy].crashes = append(m.result[crashedBy].crashes, time.Now())
			m.crash(index)
			continue
		}
		replica.requests = slices.DeleteFunc(replica.requests, func(request *modelRequest) bool { return !request.endsAt.After(time.Now()) })
	}
}

// crash ends a replica; the requests that it had not begun to answer are retried once.
func (m *partModel) crash(index int) {
	replica := m.replicas[index]
	incarnation := replica.current()
	requests := replica.requests
	replica.requests, replica.upAt = nil, time.Now().Add(m.restart)
	replica.incarnation++
	for _, request := range requests {
		suspect := request.suspect
		if request.begun {
			suspect.Parts = nil
		}
		request.guard.ConnectionBroken(m.t.Context(), incarnation, "address", suspect)
		if request.begun {
			continue
		}
		if request.dispatches < modelDispatches {
			m.waiting = append(m.waiting, request)
		} else {
			m.finish(request, false)
		}
	}
}

// finish records the outcome of a sound request.
func (m *partModel) finish(request *modelRequest, refused bool) {
	if request.badPart == "" {
		m.sound = append(m.sound, soundResult{request.sentAt, request.begun, refused})
	}
}

// summary is what a run of the model shows.
type summary struct {
	crashes, late  int     // of the worst part
	share          float64 // of sound requests begun later than soundAfter after the last part's fifth crash
	refused        int     // sound requests
	soundCount     int
	reports        int
	crashesByParts string
}

const (
	allowedCrashes = 5
	spreadTime     = 3 * time.Second
)

func (m *partModel) summarize() summary {
	got := summary{reports: m.store.recordCount()}
	var texts []string
	lastAllowed := latest(m.started.Add(modelCalm), m.started.Add(m.settledAt-2*spreadTime))
	for _, part := range m.bad {
		cost := m.result[part]
		texts = append(texts, fmt.Sprintf("%s %d", part, len(cost.crashes)))
		if len(cost.crashes) == 0 {
			continue
		}
		allowed, late := cost.crashes[min(len(cost.crashes), allowedCrashes)-1], 0
		for _, at := range cost.dispatches {
			if len(cost.crashes) >= allowedCrashes && at.After(allowed.Add(spreadTime)) {
				late++
			}
		}
		got.crashes, got.late = max(got.crashes, len(cost.crashes)), max(got.late, late)
		lastAllowed = latest(lastAllowed, allowed)
	}
	got.crashesByParts = strings.Join(texts, ", ")
	begun := 0
	for _, outcome := range m.sound {
		if outcome.refused {
			got.refused++
		}
		if outcome.sentAt.Before(lastAllowed.Add(2 * spreadTime)) {
			continue
		}
		if got.soundCount++; outcome.begun {
			begun++
		}
	}
	got.share = float64(begun) / float64(max(1, got.soundCount))
	return got
}

// Guards against parts of prompts that crash replicas without end, and against refusing sound requests for the parts
// that they share, in a model with other crashes beside.
func TestModelOfPromptPartsThatCrashReplicas(t *testing.T) {
	const shared = "shared"
	second := [][]string{{shared, "bad"}}
	for name, model := range map[string]partModel{
		"second part":                         {crashing: second, bad: []string{"bad"}},
		"second part, rare":                   {crashing: second, bad: []string{"bad"}, crashRate: 0.7},
		"first part":                          {crashing: [][]string{{"bad", "document 1"}, {"bad", "document 2"}, {"bad", "x"}}, bad: []string{"bad"}},
		"popular neighbour":                   {crashing: [][]string{{shared, "document 1", "bad"}, {shared, "document 2", "bad"}}, bad: []string{"bad"}},
		"two parts":                           {crashing: [][]string{{shared, "bad"}, {shared, "worse"}}, bad: []string{"bad", "worse"}},
		"other crashes":                       {crashing: second, bad: []string{"bad"}, unrelatedCrashInterval: 700 * time.Millisecond},
		"half crash for a cause of their own": {crashing: second, bad: []string{"bad"}, massCrashAt: 3500 * time.Millisecond},
		"store silent":                        {crashing: second, bad: []string{"bad"}, silentStoreAt: 2 * time.Second, daemons: 1},
		"no part, other crashes":              {crashing: [][]string{{shared}}, crashRate: -1, unrelatedCrashInterval: 300 * time.Millisecond},
		"slow reports":                        {crashing: second, bad: []string{"bad"}, propagation: time.Second},
		"few replicas, back soon":             {crashing: second, bad: []string{"bad"}, daemons: 3, replicaCount: 4, soundRate: 75, crashRate: 10, restart: 500 * time.Millisecond},
		"few replicas, two parts":             {crashing: [][]string{{shared, "bad"}, {shared, "worse"}}, bad: []string{"bad", "worse"}, daemons: 3, replicaCount: 4, soundRate: 75, crashRate: 10, restart: 500 * time.Millisecond},
		"two parts at the same moment": {crashing: [][]string{{shared, "bad"}, {shared, "worse"}}, bad: []string{"bad", "worse"}, daemons: 3, replicaCount: 2, soundRate: 75,
			lockstep: 300 * time.Millisecond, firstEvent: 100 * time.Millisecond, restart: 500 * time.Millisecond},
		"two parts at the same replica": {crashing: [][]string{{shared, "bad"}, {shared, "worse"}}, bad: []string{"bad", "worse"}, daemons: 3, replicaCount: 1, soundRate: 75,
			lockstep: 1500 * time.Millisecond, firstEvent: 100 * time.Millisecond, restart: 500 * time.Millisecond},
		"outage":                {crashing: [][]string{{shared}}, crashRate: -1, outages: []time.Duration{5 * time.Second}},
		"outages, killed":       {crashing: [][]string{{shared}}, crashRate: -1, outages: []time.Duration{5 * time.Second, 14 * time.Second, 15 * time.Second, 21 * time.Second}, daemonsKilledAt: 18 * time.Second, settledAt: 25 * time.Second},
		"outage, bad part":      {crashing: second, bad: []string{"bad"}, outages: []time.Duration{7 * time.Second}, daemonsKilledAt: 10 * time.Second, settledAt: 14 * time.Second},
		"few replicas, outages": {crashing: [][]string{{shared}}, crashRate: -1, daemons: 3, replicaCount: 3, outages: []time.Duration{5 * time.Second, 11 * time.Second}, daemonsKilledAt: 12 * time.Second, settledAt: 16 * time.Second},
		"one daemon":            {crashing: second, bad: []string{"bad"}, daemons: 1},
		"thirty daemons":        {crashing: second, bad: []string{"bad"}, daemons: 30, replicaCount: 60, soundRate: 150, crashRate: 10},
		"three hundred daemons": {crashing: second, bad: []string{"bad"}, daemons: 300, replicaCount: 600, soundRate: 1500, crashRate: 20},
	} {
		t.Run(name, func(t *testing.T) {
			var total summary
			seeds := modelSeeds()
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					m := model
					m.t, m.random = t, rand.New(rand.NewPCG(seed, 1))
					m.setDefaults()
					m.run()
					got := m.summarize()
					t.Logf("seed %d: %+v", seed, got)
					require.LessOrEqual(t, got.late, 3, "late dispatches")
					require.GreaterOrEqual(t, got.soundCount, 20)
					require.GreaterOrEqual(t, got.share, 0.9, "sound requests that begin")
					total.crashes += got.crashes
				})
			}
			t.Logf("crashes of the worst part: %.1f", float64(total.crashes)/float64(seeds))
		})
	}
}

// modelSeedsVariable names the environment variable with the number of seeds of each case.
const modelSeedsVariable = "FINCHSPOKE_TEST_MODEL_SEEDS"

func modelSeeds() int {
	if seeds, err := strconv.Atoi(os.Getenv(modelSeedsVariable)); err == nil {
		return seeds
	}
	return 2
}

func (m *partModel) setDefaults() {
	set := func(value *int, byDefault int) {
		if *value == 0 {
			*value = byDefault
		}
	}
	set(&m.daemons, 9)
	set(&m.replicaCount, 12)
	set(&m.documents, 40)
	if m.soundRate == 0 {
		m.soundRate = 25
	}
	if m.crashRate == 0 {
		m.crashRate = 4
	}
	if m.restart == 0 {
		m.restart = 4 * time.Second
	}
	if m.propagation == 0 {
		m.propagation = 60 * time.Millisecond
	}
}
