package quarantine

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/kv"
	"github.com/finchspoke/finchspoke/logging"
)

// Liveness is what a probe says of a replica's process.
type Liveness uint8

// The answers of a probe.
const (
	// Unknown: nothing answered in time. A cut link looks like this, so it accuses nobody.
	Unknown Liveness = iota
	Running
	// Ended: nothing listens at the address any more, or another process does, be it of the same replica.
	Ended
)

// String returns the answer's name in logs.
func (l Liveness) String() string { return [...]string{"unknown", "running", "ended"}[l] }

// Prober finds out whether a replica's process still runs.
type Prober interface {
	Probe(ctx context.Context, replica fleet.Incarnation, address string) Liveness
}

// Turns shares out the messages that replicas with a limit take.
type Turns interface {
	// Take takes a turn for a message if one is free now.
	TryReserve(ctx context.Context, replica fleet.Incarnation) bool
	// Charge counts a message that goes to a replica whether it has a turn or not.
	Charge(replica fleet.Incarnation)
}

const (
	// probeTime bounds a probe. A process that has ended is noticed within one round trip; the
	// caller of a request that is retried elsewhere waits no longer than this for it.
	probeTime = 300 * time.Millisecond
	// mostInReport bounds the fingerprints of one report: 16 KB in a record, which each daemon
	// gets once.
	mostInReport = 512
)

// Guard is a daemon's part of the quarantine. It finds out which replicas ended while they
// had a request, tells all daemons by reports in the platform's key-value service, and says
// which requests are withheld. It is safe for concurrent use, and a suture service.
//
// Reports go through the key-value service and not from daemon to daemon: they outlive all
// daemons, and reach those that are cut off from the one that saw the end.
type Guard struct {
	// Prefix is that of the reports' records.
	Prefix string
	Store  kv.Store
	Prober Prober
	// Leaves tells whether a replica was going to end anyway.
	IsDraining func(replica string) bool
	// RestsUntil returns until when a replica wants nothing of this daemon; a moment that has passed,
	// or zero, if it wants requests.
	RestsUntil func(replica string) time.Time
	// Turns has the questions counted that go to replicas with a limit; nil: none has one.
	Turns Turns
	// Leading tells whether this daemon forgets old records for all.
	Leading func() bool
	Now     func() time.Time
	Metrics *Metrics
	Log     logrus.FieldLogger

	mutex   sync.Mutex
	ledger  *ledger
	key     string // of the report that is being filled
	filling Report
	filled  chan struct{} // holds an element while the report is not empty
	probes  map[fleet.Incarnation]*probe
	// lost are the reports whose records a restore of the service took away, with their order before.
	lost      map[string]int64
	foundLost chan struct{} // holds an element while they are to be looked at
	// askedAtRest holds the end of the last rest in which each replica was asked.
	askedAtRest map[string]time.Time
	left        departures
}

// probe is one question about a replica, shared by all that wait for its answer.
type probe struct {
	done   chan struct{}
	answer Liveness
}

// Prepare makes the guard ready for use.
func (g *Guard) Prepare() {
	g.ledger, g.filled, g.probes = newLedger(), make(chan struct{}, 1), map[fleet.Incarnation]*probe{}
	g.askedAtRest = map[string]time.Time{}
	g.left = departures{}
	g.lost, g.foundLost = map[string]int64{}, make(chan struct{}, 1)
	g.key = g.newKey()
}

// newKey returns the key of a record that no other daemon writes.
func (g *Guard) newKey() string { return g.Prefix + uuid.NewString() }

// Withheld returns why a request must not go to a replica; nil if it may.
func (g *Guard) Withheld(request Fingerprint) *failure.Error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	found := g.ledger.against(request)
	if !found.Withheld() {
		return nil
	}
	g.Metrics.refused.Inc()
	return failure.New(failure.Quarantined, "send another request; this one is tried again after the time given",
		"%d replicas ended while they had this request: %s", len(found.Replicas), strings.Join(found.Replicas, ", ")).
		WithRetryAfter(max(time.Second, found.Until.Sub(g.Now())))
}

// Broke takes in that the connection to a replica broke while it had a request. It returns
// once it is known whether the replica has ended, or the time for that is over: the request
// may be withheld from then on, and must not go to another replica before.
func (g *Guard) ConnectionBroken(ctx context.Context, replica fleet.Incarnation, address string, request Fingerprint) {
	if g.IsDraining(replica.ID) {
		return
	}
	if g.probe(ctx, replica, address, g.charge) == Ended {
		g.ended(replica, request)
	}
}

// charge counts a question to a replica with a limit. Where a connection broke under a request it is
// asked in any case: the request may be one under which replicas end, and would go to the next.
func (g *Guard) charge(replica fleet.Incarnation) {
	if g.Turns != nil {
		g.Turns.Charge(replica)
	}
}

// hasTurn tells whether a replica may be asked after what was merely given up there.
func (g *Guard) hasTurn(ctx context.Context, replica fleet.Incarnation) bool {
	return g.Turns == nil || g.Turns.TryReserve(ctx, replica)
}

// rests tells whether a replica wants nothing of this daemon now.
func (g *Guard) rests(replica string) bool { return g.Now().Before(g.RestsUntil(replica)) }

// Left takes in that a dispatch was given up while the replica had the request: its caller left,
// or its time was over. A replica begins to run, or goes on with, some that were given up, and
// nothing of its end is then heard on their connections.
func (g *Guard) Abandoned(replica fleet.Incarnation, address string, request Fingerprint) {
	if g.IsDraining(replica.ID) {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.left.add(replica.String(), request, g.Now()) {
		g.checkLater(replica, address)
	}
}

func (g *Guard) checkLater(replica fleet.Incarnation, address string) {
	time.AfterFunc(checkAfter, func() { g.checkLeft(replica, address) })
}

// checkLeft finds out whether a replica has ended since requests there were given up.
func (g *Guard) checkLeft(replica fleet.Incarnation, address string) {
	began := g.Now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	// Of what was merely given up nothing shows that a replica at rest ended.
	if !g.IsDraining(replica.ID) && !g.rests(replica.ID) {
		if !g.hasTurn(ctx, replica) {
			g.checkLater(replica, address)
			return
		}
		isPaid := func(fleet.Incarnation) {}
		if g.probe(ctx, replica, address, isPaid) == Ended {
			g.ended(replica)
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.left.keep(replica.String(), began) {
		g.checkLater(replica, address)
	}
}

// ended accuses requests that a replica had when it ended, and those that were given up there
// shortly before.
func (g *Guard) ended(replica fleet.Incarnation, requests ...Fingerprint) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, request := range append(requests, g.left.take(replica.String(), g.Now())...) {
		g.accuse(replica.String(), request)
	}
}

// probe asks whether a replica still runs, once for all that ask at a time. pay counts the question where
// the replica has a limit.
func (g *Guard) probe(ctx context.Context, replica fleet.Incarnation, address string, pay func(fleet.Incarnation)) Liveness {
	rest := g.RestsUntil(replica.ID)
	g.mutex.Lock()
	known := g.probes[replica]
	if known == nil && !g.mayAsk(replica.ID, rest) {
		g.mutex.Unlock()
		return Unknown
	}
	if known == nil {
		known = &probe{done: make(chan struct{})}
		g.probes[replica] = known
		pay(replica)
		go g.ask(known, replica, address)
	}
	g.mutex.Unlock()
	select {
	case <-known.done:
		return known.answer
	case <-ctx.Done():
		return Unknown
	}
}

// mayAsk tells whether a replica that wants nothing of this daemon until a moment may be asked whether
// it runs; the mutex is held. It is asked once in a rest: without that its end would go unseen.
func (g *Guard) mayAsk(replica string, rest time.Time) bool {
	now := g.Now()
	if !now.Before(rest) {
		return true
	}
	if g.askedAtRest[replica].Equal(rest) {
		return false
	}
	maps.DeleteFunc(g.askedAtRest, func(_ string, over time.Time) bool { return !now.Before(over) })
	g.askedAtRest[replica] = rest
	return true
}

func (g *Guard) ask(asked *probe, replica fleet.Incarnation, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	asked.answer = g.Prober.Probe(ctx, replica, address)
	g.Metrics.probes.WithLabelValues(asked.answer.String()).Inc()
	g.Log.WithFields(logrus.Fields{logging.Replica: replica.ID, logging.Address: address, logging.Outcome: asked.answer.String()}).
		Info(logging.MessageReplicaProbed)
	g.mutex.Lock()
	delete(g.probes, replica)
	g.mutex.Unlock()
	close(asked.done)
}

// accuse notes that a replica ended while it had a request; replica names its incarnation. The mutex is
// held.
func (g *Guard) accuse(replica string, request Fingerprint) {
	if !g.room() {
		return
	}
	g.filling.addEnd(replica, request)
	g.fill()
	found := g.ledger.against(request)
	g.Log.WithFields(logrus.Fields{
		logging.Fingerprint: request.String(), logging.Replica: replica, logging.Crashes: len(found.Replicas),
		logging.Outcome: map[bool]string{true: "withheld", false: "may go on"}[found.Withheld()],
	}).Warn(logging.MessageReplicaCrashed)
}

// Served takes in that a replica served a request whole. Daemons are told only where one more
// end would have it withheld: each word of it is a call to the key-value service.
func (g *Guard) Served(request Fingerprint) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.ledger.named[request] == nil {
		return
	}
	if len(g.ledger.against(request).Replicas) < CrashThreshold-1 || !g.room() {
		return
	}
	g.filling.Served = append(g.filling.Served, request[:])
	g.fill()
	g.Log.WithField(logging.Fingerprint, request.String()).Info(logging.MessageSuspectCleared)
}

// room tells whether the report that is being filled takes another fingerprint; the mutex is
// held. While the key-value service is away one report holds all that is seen.
func (g *Guard) room() bool {
	if g.filling.size() < mostInReport {
		return true
	}
	g.Metrics.leftOut.Inc()
	return false
}

// fill takes the report that is being filled into account, and has it written; the mutex is
// held.
func (g *Guard) fill() {
	g.ledger.put(g.key, g.filling.clone(), unpublished, g.Now())
	select {
	case g.filled <- struct{}{}:
	default:
	}
}

// Observe takes in a change of a report's record.
func (g *Guard) Observe(event kv.Event) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case event.Deleted && event.AfterRestore:
		g.lose(event.Pair.Key)
		return
	case event.Deleted:
		g.ledger.remove(event.Pair.Key)
		return
	}
	delete(g.lost, event.Pair.Key)
	report, err := ParseReport(event.Pair.Value)
	if err != nil {
		g.Log.WithField(logging.Cause, err.Error()).WithFields(logging.RevisionFields(event.Pair.ModRevision)).Warn("report of replicas that ended not used")
		return
	}
	g.ledger.put(event.Pair.Key, report, event.Pair.ModRevision, g.Now())
	for _, end := range report.Crashes {
		for _, request := range g.left.take(end.Replica, g.Now()) {
			g.accuse(end.Replica, request)
		}
	}
}

// Counts returns how many requests are named in reports, how many of them are withheld, and
// how many reports there are.
func (g *Guard) Counts() (named, withheld, reports int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.ledger.named), g.ledger.withheld(), len(g.ledger.reports)
}

// String names the service in the supervisor's events.
func (g *Guard) String() string { return fmt.Sprintf("quarantine of %s", g.Prefix) }
