package engines

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/finchspoke/finchspoke/engine"
	"github.com/finchspoke/finchspoke/sleep"
)

// sequence is one request being answered.
type sequence struct {
	requestID string
	target    string
	priority  int
	prompt    int // tokens
	prefix    uint64
	tokens    []string // the whole answer
	asked     question
	form      shape
	created   int64

	mutex     sync.Mutex
	produced  int
	cancelled bool
	failed    bool // the replica stopped
	readers   int
	changed   chan struct{} // closed and replaced on each change
	readyAt   time.Time     // end of prefill
}

func (s *sequence) change(update func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update()
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is a reader's view of a sequence.
type progress struct {
	produced int
	ended    bool // whole, cancelled or failed
	whole    bool
	changed  <-chan struct{}
}

func (s *sequence) progress() progress {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	whole := s.produced == len(s.tokens)
	return progress{s.produced, whole || s.cancelled || s.failed, whole, s.changed}
}

// batch runs the sequences of one replica, several at once, a token a step.
type batch struct {
	engine   *Engine
	mutex    sync.Mutex
	waiting  []*sequence
	active   []*sequence
	wake     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	prefixes *sizedCache
}

func newBatch(owner *Engine) *batch {
	created := &batch{engine: owner, wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		prefixes: newSizedCache(int64(owner.config.PrefixCacheTokens))}
	created.prefixes.evicted = func(key string) { owner.events.add("", parseUint(key), true) }
	return created
}

func (b *batch) load() (running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.active), len(b.waiting)
}

// add takes a sequence in; the highest priority waits least.
func (b *batch) add(added *sequence) {
	b.mutex.Lock()
	b.waiting = append(b.waiting, added)
	sort.SliceStable(b.waiting, func(i, j int) bool { return b.waiting[i].priority < b.waiting[j].priority })
	b.mutex.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batch) stop() {
	b.stopOnce.Do(func() { close(b.stopped) })
}

// drainPoll is how often a drain looks whether the batch is empty.
const drainPoll = 5 * time.Millisecond

// drain waits until nothing runs or waits.
func (b *batch) drain(ctx context.Context) {
	for {
		running, waiting := b.load()
		if running+waiting == 0 || !sleep.For(ctx, drainPoll) {
			return
		}
	}
}

// run steps the batch until it is stopped.
func (b *batch) run(ctx context.Context) {
	defer b.failAll()
	for {
		if running, waiting := b.load(); running+waiting == 0 {
			select {
			case <-ctx.Done():
				return
			case <-b.stopped:
				return
			case <-b.wake:
			}
			continue
		}
		if !b.pause(ctx) {
			return
		}
		b.step(time.Now())
	}
}

func (b *batch) pause(ctx context.Context) bool {
	step := b.engine.config.Timing.StepTime
	if slow := b.engine.Faults.Get().SlowFactor; slow > 1 {
		step = time.Duration(float64(step) * slow)
	}
	select {
	case <-b.stopped:
		return false
	default:
		return sleep.For(ctx, step)
	}
}

// step admits waiting sequences into the free places and gives every active one
// its next token.
func (b *batch) step(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for len(b.waiting) > 0 && len(b.active) < b.engine.config.Timing.MaxBatch {
		b.admit(b.waiting[0], now)
		b.waiting = b.waiting[1:]
	}
	kept := b.active[:0]
	for _, running := range b.active {
		if b.advance(running, now) {
			kept = append(kept, running)
		}
	}
	clear(b.active[len(kept):])
	b.active = kept
}

// admit starts a sequence: a prompt whose prefix is cached needs no prefill.
func (b *batch) admit(admitted *sequence, now time.Time) {
	key := strconv.FormatUint(admitted.prefix, 10)
	admitted.readyAt = now
	if !b.prefixes.touch(key) {
		seconds := float64(admitted.prompt) / b.engine.config.Timing.PrefillTokensPerSecond
		admitted.readyAt = now.Add(time.Duration(seconds * float64(time.Second)))
		b.prefixes.add(key, int64(admitted.prompt), engine.CachedCheckpoint{})
		b.engine.events.add(admitted.target, admitted.prefix, false)
	}
	b.active = append(b.active, admitted)
}

// advance gives a token and tells whether the sequence goes on.
func (b *batch) advance(running *sequence, now time.Time) bool {
	running.mutex.Lock()
	cancelled := running.cancelled
	running.mutex.Unlock()
	if cancelled {
		return false
	}
	if now.Before(running.readyAt) {
		return true
	}
	running.change(func() { running.produced++ })
	if running.produced < len(running.tokens) {
		return true
	}
	b.engine.record(Entry{Kind: RequestFinished, RequestID: running.requestID, Model: running.target, Tokens: running.produced})
	return false
}

func (b *batch) failAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, lost := range append(b.active, b.waiting...) {
		lost.change(func() { lost.failed = true })
	}
	b.active, b.waiting = nil, nil
}
