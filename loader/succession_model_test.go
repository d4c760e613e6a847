package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/election"
)

const (
	modelSeeds        = 1000
	modelStep         = 25 * time.Millisecond
	modelTime         = 40 * time.Second
	modelTermGap      = 3 * time.Second
	modelTTL          = 2100 * time.Millisecond
	modelDrift        = maxClockDrift / 2 // of each clock, so that two run apart by maxClockDrift
	modelTermKey      = "term"
	modelSettledKey   = "settled"
	modelReplicas     = 3
	modelMessageDelay = 60 * time.Millisecond
	modelTraceLines   = 300
	// modelEarlierLease is how long a renewal counts for leaders of the version before.
	modelEarlierLease = modelTTL * 4 / 5
)

// modelDaemon is a daemon of the model. Its leader and its election are those of the product; its streams are modelled.
// clock is the daemon's clock, which runs apart from true time.
// runs reports whether the daemon's process runs and is not frozen.
// modelRandom is a source of random numbers for several goroutines.
type modelRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newModelRandom(seed, stream uint64) *modelRandom {
	return &modelRandom{random: rand.New(rand.NewPCG(seed, stream))}
}

func (r *modelRandom) chance(oneIn int) bool { return r.number(oneIn) == 0 }

func (r *modelRandom) number(below int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.IntN(below)
}

func (r *modelRandom) duration(below time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.random.Int64N(int64(below)))
}

// modelOrder is an order that has arrived at a replica.
type modelOrder struct {
	daemon  int
	fence   int64
	at      time.Duration
	earlier bool // sent by a daemon of the version before
	// unleased is whether the sender had not renewed its lease lately.
	unleased bool
	// observed holds the fencing tokens of the records that the sender's process had observed when its term began.
	observed map[int64]bool
}

// modelFleet is a system of daemons with a lease in a store, links that fail in each direction, and replicas that check
// no fencing tokens.
type modelFleet struct {
	*modelRandom
	t        *testing.T
	start    time.Time
	ctx      context.Context
	store    *modelStore
	slowness atomic.Int64 // of the store, ns
	daemons  []*modelDaemon
	up       [][]bool // links by sender and receiver
	messages []modelMessage
	last     [modelReplicas]*modelOrder
	outcome  modelOutcome
	trace    []string // the latest events
}

// modelOutcome is what the replicas have received.
type modelOutcome struct {
	orders, terms int
	least         map[string]time.Duration // gap between the orders of two daemons, by how the later one's term began
	// unbounded counts orders that break the rule and come from a leader of the version before that had no lease, or whose
	// successor had not observed its record: no daemon could know of them.
	unbounded int
	violation string // the first one; empty if there is none
	trace     string // of the violation
}

// modelMessage is on its way between two daemons, or to a replica.
type modelMessage struct {
	at       time.Duration
	from, to int
	deliver  func()
}

// toReplica is the receiver of messages that no cut or frozen daemon holds up.
const toReplica = -1

// logf adds an event to the trace.
func (f *modelFleet) logf(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%8s ", f.now())+fmt.Sprintf(format, args...))
	if len(f.trace) > modelTraceLines {
		f.trace = f.trace[1:]
	}
}

func (f *modelFleet) now() time.Duration { return time.Since(f.start) }

// storeDelay bounds how long a message to or from the store takes.
func (f *modelFleet) storeDelay() time.Duration {
	return 5*time.Millisecond + time.Duration(f.slowness.Load())
}

func newModelFleet(t *testing.T, seed uint64, mixed bool) *modelFleet {
	f := &modelFleet{t: t, modelRandom: newModelRandom(seed, 71), start: time.Now(), ctx: t.Context(), store: newModelStore(modelTTL)}
	f.outcome.least = map[string]time.Duration{}
	count := 1 + f.number(7)
	for number := range count {
		daemon := &modelDaemon{fleet: f, random: newModelRandom(seed, uint64(number)), number: number, drift: modelDrift * (2*f.random.Float64() - 1), earlier: mixed && f.chance(2)}
		daemon.storeUp.Store(true)
		f.daemons = append(f.daemons, daemon)
		f.up = append(f.up, make([]bool, count))
		for other := range f.up[number] {
			f.up[number][other] = true
		}
	}
	for _, daemon := range f.daemons {
		daemon.startProcess(true)
	}
	return f
}

// startProcess starts the daemon's process, which knows nothing of earlier ones.
// endProcess ends the daemon's process, with a planned stop or without. Its streams break at once at daemons that it reaches.
// send delivers a message if its link is up when it is sent and when it arrives, and its receiver is not frozen then;
// a frozen one receives it when it wakes.
func (f *modelFleet) send(from, to int, deliver func()) {
	if from == to || f.up[from][to] {
		f.messages = append(f.messages, modelMessage{f.now() + f.duration(modelMessageDelay), from, to, deliver})
	}
}

func (f *modelFleet) deliver() {
	due := f.messages
	f.messages = nil
	for _, message := range due {
		switch {
		case message.at > f.now() || message.to != toReplica && f.daemons[message.to].isFrozen():
			f.messages = append(f.messages, message)
		case message.to == toReplica || message.from == message.to || f.up[message.from][message.to]:
			message.deliver()
		}
	}
}

// disturb changes links, freezes, stops and kills daemons, cuts groups of them off, and slows the store down.
func (f *modelFleet) disturb() {
	if !f.chance(40) {
		return
	}
	daemon, other, kind := f.daemons[f.number(len(f.daemons))], f.number(len(f.daemons)), f.number(13)
	defer func() { f.logf("disturbance %d of daemon %d: %s", kind, daemon.number, f.describe()) }()
	switch kind {
	case 0:
		f.up[daemon.number][other] = !f.up[daemon.number][other]
	case 1:
		daemon.storeUp.Store(!daemon.storeUp.Load())
	case 2:
		daemon.frozen.Store(int64(f.now() + f.duration(4*time.Second)))
	case 3: // the store is down for all
		for _, each := range f.daemons {
			each.storeUp.Store(false)
		}
	case 4:
		daemon.endProcess(f.chance(2))
	case 5, 6, 7: // a group with the leader is cut off from the others, and perhaps from the store
		f.cutOff(1+f.number(max(1, len(f.daemons)/2)), f.chance(3))
	case 8: // all are killed at once
		if f.chance(3) {
			for _, each := range f.daemons {
				each.endProcess(false)
			}
		}
	case 9:
		f.slowness.Store(int64(f.duration(600 * time.Millisecond)))
	case 10:
		if f.chance(3) {
			f.store.restore(f.number(8))
		}
	default:
		f.slowness.Store(0)
		for from, each := range f.daemons {
			each.storeUp.Store(true)
			for to := range f.daemons {
				f.up[from][to] = true
			}
		}
	}
}

// describe returns which daemons run, reach the store and reach each other, and whom each follows.
func (f *modelFleet) describe() string {
	text := ""
	for number, daemon := range f.daemons {
		reaches := ""
		for other, up := range f.up[number] {
			if up {
				reaches += fmt.Sprint(other)
			}
		}
		text += fmt.Sprintf(" %d[running %t store %t reaches %s follows %s]", number, daemon.runs(), daemon.reachesStore(), reaches, daemon.current.Daemon)
	}
	return text
}

// cutOff cuts a group of daemons, with a leader if there is one, off from the others. Either side may keep the store.
func (f *modelFleet) cutOff(size int, withStore bool) {
	inside := map[int]bool{}
	for number, daemon := range f.daemons {
		if fence, _ := daemon.campaign.Term(); fence != 0 && len(inside) == 0 {
			inside[number] = true
		}
	}
	for len(inside) < size {
		inside[f.number(len(f.daemons))] = true
	}
	outsideKeepsStore := !f.chance(4)
	for from, each := range f.daemons {
		keeps := outsideKeepsStore
		if inside[from] {
			keeps = withStore
		}
		each.storeUp.Store(each.storeUp.Load() && keeps)
		for to := range f.daemons {
			f.up[from][to] = inside[from] == inside[to]
		}
	}
}

// mirror applies changes of the store, from the store itself or from a daemon that has received them.
// list applies the state after some changes, as a process does that starts.
// follow attaches the daemon to the leader that it knows.
func (f *modelFleet) daemonNamed(name string) *modelDaemon {
	for _, daemon := range f.daemons {
		if daemon.name() == name {
			return daemon
		}
	}
	f.t.Fatalf("a record names the unknown daemon %s", name)
	return nil
}

// lead runs a round of the daemon's leader, sends its probes and views, and gives an order if it may.
// sendToFollowers delivers a message to each daemon that is attached to this leader then.
// leaderNonce returns the nonce of this daemon's record, if it follows itself.
// order sends an order to a replica if the leader may.
// mayOrder reports whether the leader may give an order by the rules of the daemon's version.
// orderArrives checks the rule for replicas that check no fencing tokens: no order of an earlier term after one of a later
// term, no token of two daemons, and no orders of two daemons within the term gap. What a daemon of the version before
// breaks after a term of the current one counts as its own.
func (f *modelFleet) orderArrives(replica int, order modelOrder, way string) {
	f.outcome.orders++
	f.logf("replica %d receives %+v", replica, order)
	last := f.last[replica]
	f.last[replica] = &order
	if last == nil || last.daemon == order.daemon {
		return
	}
	later, earlier := order, *last
	if last.fence > order.fence {
		later, earlier = *last, order
		f.last[replica] = last
	}
	gap := order.at - last.at
	if previous, found := f.outcome.least[way]; !found || gap < previous {
		f.outcome.least[way] = gap
	}
	if gap >= modelTermGap && last.fence < order.fence || later.earlier {
		return
	}
	if earlier.earlier && (earlier.unleased || !later.observed[earlier.fence] || f.predecessor(later.fence) != earlier.fence) {
		f.outcome.unbounded++
		return
	}
	f.outcome.violation = fmt.Sprintf("replica %d received an order of daemon %d with token %d at %s, %s after one of daemon %d with token %d; the term began by %s",
		replica, order.daemon, order.fence, order.at, gap, last.daemon, last.fence, way)
	f.outcome.trace = strings.Join(f.trace, "\n")
}

// predecessor returns the fencing token of the term before that with a fencing token.
func (f *modelFleet) predecessor(fence int64) (previous int64) {
	for _, change := range f.store.changes() {
		if change.Pair.Key != modelTermKey || change.Deleted || change.Pair.ModRevision >= fence {
			continue
		}
		if record, err := election.ParseLeader(change.Pair); err == nil && record.Handover == nil {
			previous = record.Fence
		}
	}
	return previous
}

// run plays the model.
func (f *modelFleet) run() modelOutcome {
	nextBackup := time.Duration(0)
	for f.now() < modelTime && f.outcome.violation == "" {
		f.store.expire()
		if f.now() >= nextBackup {
			nextBackup += time.Second
			f.store.backUp()
		}
		f.disturb()
		f.deliver()
		for _, daemon := range f.daemons {
			if daemon.startsAt != 0 && daemon.startsAt <= f.now() {
				daemon.startProcess(false)
			}
			if daemon.runs() {
				daemon.mirror()
				daemon.follow()
				daemon.lead()
			}
		}
		time.Sleep(modelStep)
	}
	for _, daemon := range f.daemons {
		daemon.frozen.Store(0)
		daemon.cancel()
	}
	time.Sleep(time.Minute) // calls under way end
	return f.outcome
}

// playModel plays the model with many seeds and returns what the replicas received over all of them.
func playModel(t *testing.T, mixed bool) modelOutcome {
	total := modelOutcome{least: map[string]time.Duration{}}
	var mutex sync.Mutex
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(modelSeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					outcome := newModelFleet(t, seed, mixed).run()
					require.Empty(t, outcome.violation, outcome.trace)
					mutex.Lock()
					defer mutex.Unlock()
					total.orders, total.terms, total.unbounded = total.orders+outcome.orders, total.terms+outcome.terms, total.unbounded+outcome.unbounded
					for way, gap := range outcome.least {
						if previous, found := total.least[way]; !found || gap < previous {
							total.least[way] = gap
						}
					}
				})
			})
		}
	})
	t.Logf("%d orders in %d terms; least gap by how the later term began: %v; %d of an earlier version without a lease", total.orders, total.terms, total.least, total.unbounded)
	require.Greater(t, total.orders, 1000*modelSeeds/100)
	return total
}

// Guards against an order of a leader that arrives after its successor's first one, or less than the term gap before it,
// with replicas that check no fencing tokens: while terms lapse, are handed over and taken up again, links fail in each
// direction, daemons freeze, restart and are killed together, groups with the leader are cut off, the store is down or slow,
// its responses are lost, its calls take effect late, it is restored from a backup, and clocks run apart.
func TestOrdersOfTwoLeadersKeepTheTermGap(t *testing.T) {
	outcome := playModel(t, false)
	for _, way := range []election.Way{election.Expired, election.HandedOver, election.Restarted, election.Restored} {
		require.Contains(t, outcome.least, way.String(), "the model plays no two leaders, the later one by this way")
	}
}

// Guards against the same while a part of the daemons runs a version before, whose leaders state no bound of their orders.
func TestSuccessorsOfLeadersOfAnEarlierVersionKeepTheTermGap(t *testing.T) {
	playModel(t, true)
}
