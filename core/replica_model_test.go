package core

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/demand"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/routing"
	"github.com/finchspoke/finchspoke/testwindow"
)

// replicaModel simulates a replica with the only copy of a model, the daemons that use it, and callers
// that retry once at another daemon. The replica either rejects a share of the requests and asks for a
// back-off, or states a rate limit.
type replicaModel struct {
	objective    time.Duration
	limit        float64 // requests per second that the replica accepts; zero: it asks for back-offs instead
	perSecond    float64 // arriving requests per second
	pacer        *permit.Pacer
	arrivals     []time.Time
	cores        []*Core
	backoffUntil []time.Time // by daemon

	mutex         sync.Mutex
	random        *rand.Rand
	duringBackoff int // requests received during a back-off, except those in flight when it began
	inTime        int
	late          int
	unserved      int
}

const (
	modelDaemons      = 9
	modelRejectShare  = 0.4
	modelLimit        = 1.0
	modelWindow       = 4 * time.Second
	modelBackoff      = 3 * time.Second
	modelPerSecond    = 3.0
	modelSeconds      = 120.0
	modelInFlightTime = 500 * time.Millisecond // how long requests sent before a back-off may still arrive
	modelNetworkDelay = 3 * time.Millisecond
	modelFirstByte    = 60 * time.Millisecond
)

// modelDriver connects one daemon to the simulated replica.
type modelDriver struct {
	model  *replicaModel
	daemon int
}

func (d *modelDriver) Send(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	time.Sleep(modelNetworkDelay)
	if d.model.limit > 0 {
		if err := d.model.cores[d.daemon].Fleet.Admit(dispatch.ReplicaID, dispatch.Permit, time.Now()); err != nil {
			return nil, &SendError{Cause: err}
		}
		d.model.recordArrival()
	} else if d.model.rejects(d.daemon) {
		d.model.cores[d.daemon].Fleet.ApplyHint(fleet.Hint{Replica: dispatch.ReplicaID, Backoff: modelBackoff}, time.Now())
		return replyAs(Rejected)(ctx, dispatch)
	}
	time.Sleep(modelFirstByte)
	return reply(http.StatusOK, "data: 1\n\n", false)(ctx, dispatch)
}

// rejects records a request from a daemon and decides at random whether the replica rejects it.
func (m *replicaModel) rejects(daemon int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if now.Before(m.backoffUntil[daemon]) && m.backoffUntil[daemon].Sub(now) < modelBackoff-modelInFlightTime {
		m.duringBackoff++
	}
	if m.random.Float64() >= modelRejectShare {
		return false
	}
	m.backoffUntil[daemon] = now.Add(modelBackoff)
	return true
}

// recordArrival records a request to the rate-limited replica.
func (m *replicaModel) recordArrival() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.arrivals = append(m.arrivals, time.Now())
}

// RequestPermit implements ReplicaPermitter in place of the leader.
func (m *replicaModel) RequestPermit(_ context.Context, request permit.Request) (ReplicaPermit, PermitDenial) {
	time.Sleep(2 * modelNetworkDelay)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	answer := m.pacer.Request(request, 1, time.Now())
	if !answer.Granted {
		return nil, PermitDenial{RetryIn: answer.RetryIn}
	}
	return &modelPermit{usableAt: time.Now().Add(answer.Delay)}, PermitDenial{}
}

// modelPermit is a permit that may be used once.
type modelPermit struct {
	usableAt time.Time
	used     bool
}

func (p *modelPermit) Delay() time.Duration { return max(0, time.Until(p.usableAt)) }
func (p *modelPermit) Return()              {}
func (p *modelPermit) Source() string       { return "model" }
func (p *modelPermit) Use() bool {
	first := !p.used
	p.used = true
	return first
}

func (m *replicaModel) prepare() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m.random = rand.New(rand.NewPCG(1, 2))
	m.backoffUntil = make([]time.Time, modelDaemons)
	m.pacer = permit.NewPacer(true, time.Now())
	for daemon := range modelDaemons {
		directory := fleet.NewDirectory("a", func() float64 { return 0 })
		directory.Put(fleet.Entry{ID: "r1", Service: "press", Address: "r1:1", Zone: "a", Holdings: fleet.Holdings{"m": nil}}, time.Now())
		core := &Core{Fleet: directory, Demand: demand.NewTracker(), Driver: &modelDriver{m, daemon}, Retries: RetryPolicy{Ratio: 0.2, Reserve: 40, Window: 10 * time.Second},
			Metrics: NewMetrics(prometheus.NewRegistry()), Log: log, Now: time.Now, Draw: rand.New(rand.NewPCG(3, uint64(daemon))).Float64}
		core.Prepare()
		if m.limit > 0 {
			directory.ApplyLimitHint(fleet.Hint{Replica: "r1", Limit: fleet.LimitGiven, PerSecond: m.limit}, time.Now())
			core.Permits = m
		}
		m.cores = append(m.cores, core)
	}
}

func (m *replicaModel) run() {
	m.prepare()
	ended := make(chan struct{})
	defer close(ended)
	go m.reportDaemons(ended)
	time.Sleep(reserveFillTime)
	service := &routing.Service{Name: "press", Engine: &routing.Engine{Models: map[string]*routing.Model{"m": {Name: "m", StoreLoadTime: 4 * time.Second}}}}
	route := &routing.Route{Name: "route", Kind: routing.Stream, Attempts: 2, Objective: m.objective, MaxGap: 300 * time.Millisecond, Resumable: true}
	startedAt := time.Now()
	var callers sync.WaitGroup
	for at := 0.0; at < modelSeconds; {
		time.Sleep(time.Until(startedAt.Add(time.Duration(at * float64(time.Second)))))
		first, second, pause := m.nextArrival()
		callers.Go(func() { m.call(service, route, first, second) })
		at += pause
	}
	callers.Wait()
}

// reserveFillTime is how long the daemons run before the first request, so that their retry reserves are full.
const reserveFillTime = time.Minute

// reportDaemons tells all daemons how many they are, as a leader does.
func (m *replicaModel) reportDaemons(ended <-chan struct{}) {
	for {
		for _, core := range m.cores {
			core.SetDaemonCount(modelDaemons)
		}
		select {
		case <-ended:
			return
		case <-time.After(leaderHeartbeat):
		}
	}
}

// nextArrival draws the daemons of a request, and the seconds until the next request.
func (m *replicaModel) nextArrival() (first, second int, pause float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	first = m.random.IntN(modelDaemons)
	second = (first + 1 + m.random.IntN(modelDaemons-1)) % modelDaemons
	return first, second, -math.Log(1-m.random.Float64()) / m.perSecond
}

// call sends a request to the daemons in turn until one serves it.
func (m *replicaModel) call(service *routing.Service, route *routing.Route, daemons ...int) {
	arrived := time.Now()
	deadline := arrived.Add(15 * time.Second)
	for _, daemon := range daemons {
		call := &Call{ID: "1", Service: service, Target: fleet.Target{Model: "m"}, Arrived: time.Now(), Deadline: deadline, Route: route}
		failed, _ := m.cores[daemon].Serve(context.Background(), call, &responseRecorder{})
		if failed == nil {
			m.recordServed(time.Since(arrived) <= m.objective)
			return
		}
		time.Sleep(failed.RetryAfter)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.unserved++
}

func (m *replicaModel) recordServed(inTime bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if inTime {
		m.inTime++
	} else {
		m.late++
	}
}

// Calls must wait for the end of a back-off only if they are then served in time, and be refused early
// enough to be served by another daemon otherwise. Always or never waiting misses the bounds.
func TestCallsAreServedInTimeDespiteReplicaBackoff(t *testing.T) {
	for _, test := range []struct {
		objective      time.Duration
		inTime, served float64 // minimum shares
	}{
		{600 * time.Millisecond, 0.50, 0.53},
		{6 * time.Second, 0.74, 0.82},
	} {
		t.Run(test.objective.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				model := &replicaModel{objective: test.objective, perSecond: modelPerSecond}
				model.run()
				total := float64(model.inTime + model.late + model.unserved)
				t.Logf("in time %.3f, late %.3f, not served %.3f", float64(model.inTime)/total, float64(model.late)/total, float64(model.unserved)/total)
				require.GreaterOrEqual(t, float64(model.inTime)/total, test.inTime)
				require.GreaterOrEqual(t, float64(model.inTime+model.late)/total, test.served)
				require.Zero(t, model.duringBackoff, "only requests already in flight may arrive during a back-off")
			})
		})
	}
}

// minInTimeShare is the minimum share of the requests within the rate limit that must be served in
// time. Refused requests retry, and compete with later ones.
const minInTimeShare = 0.7

func TestCallsAreServedInTimeOrGetRetryTimeAtRateLimit(t *testing.T) {
	for _, test := range []struct {
		objective time.Duration
		perSecond float64
	}{
		{600 * time.Millisecond, 0.5}, {600 * time.Millisecond, 1}, {600 * time.Millisecond, 2}, {600 * time.Millisecond, 4},
		{6 * time.Second, 0.5}, {6 * time.Second, 1}, {6 * time.Second, 2}, {6 * time.Second, 4},
	} {
		t.Run(fmt.Sprintf("%s, %v per second", test.objective, test.perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				model := &replicaModel{objective: test.objective, limit: modelLimit, perSecond: test.perSecond}
				model.run()
				total := float64(model.inTime + model.late + model.unserved)
				t.Logf("in time %.3f, late %.3f, not served %.3f; %d in a window", float64(model.inTime)/total, float64(model.late)/total, float64(model.unserved)/total, testwindow.MaxCount(model.arrivals, modelWindow))
				servable := min(1, modelLimit/test.perSecond)
				require.GreaterOrEqual(t, float64(model.inTime)/total, minInTimeShare*servable, "share of the requests within the limit")
				require.LessOrEqual(t, testwindow.MaxCount(model.arrivals, modelWindow), int(modelLimit*modelWindow.Seconds())+2, "the rate and a burst of two")
				if test.perSecond >= 2*modelLimit {
					require.GreaterOrEqual(t, float64(len(model.arrivals)), 0.9*modelLimit*modelSeconds, "the limit must be used fully under overload")
				}
			})
		})
	}
}
