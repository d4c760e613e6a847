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

// sequence is the state of one request.
type sequence struct {
	requestID string
	target    string
	priority  int
	prompt    int // length in tokens
	prefix    uint64
	tokens    []string // of the complete response
	request   inferenceRequest
	format    responseFormat
	created   int64

	mutex         sync.Mutex
	produced      int
	cancelled     bool
	failed        bool // the batch stopped before the sequence was complete
	readers       int
	changed       chan struct{} // closed and replaced on each change
	prefillDoneAt time.Time
}

func (s *sequence) update(apply func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is a snapshot of a sequence for a reader.
type progress struct {
	produced int
	ended    bool // complete, cancelled or failed
	complete bool
	changed  <-chan struct{}
}

func (s *sequence) progress() progress {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	complete := s.produced == len(s.tokens)
	return progress{s.produced, complete || s.cancelled || s.failed, complete, s.changed}
}

// batch runs the sequences of one replica with continuous batching, one token of each active sequence per step.
type batch struct {
	engine   *Engine
	mutex    sync.Mutex
	waiting  []*sequence
	active   []*sequence
	wake     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once
	prefixes *lruCache
}

func newBatch(e *Engine) *batch {
	b := &batch{engine: e, wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		prefixes: newLRUCache(int64(e.config.PrefixCacheTokens))}
	b.prefixes.onEvict = func(key string) { e.events.add("", parseUintOrZero(key), true) }
	return b
}

func (b *batch) counts() (running, waiting int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.active), len(b.waiting)
}

// add queues a sequence, ordered by priority; lower numbers are admitted first.
func (b *batch) add(seq *sequence) {
	b.mutex.Lock()
	b.waiting = append(b.waiting, seq)
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

const drainPollInterval = 5 * time.Millisecond

// drain waits until the batch has no active and no waiting sequences.
func (b *batch) drain(ctx context.Context) {
	for {
		running, waiting := b.counts()
		if running+waiting == 0 || !sleep.For(ctx, drainPollInterval) {
			return
		}
	}
}

// run executes steps until the batch is stopped, then fails the remaining sequences.
func (b *batch) run(ctx context.Context) {
	defer b.failAll()
	for {
		if running, waiting := b.counts(); running+waiting == 0 {
			select {
			case <-ctx.Done():
				return
			case <-b.stopped:
				return
			case <-b.wake:
			}
			continue
		}
		if !b.waitStep(ctx) {
			return
		}
		b.step(time.Now())
	}
}

func (b *batch) waitStep(ctx context.Context) bool {
	step := b.engine.config.Timing.StepTime
	if factor := b.engine.Faults.Get().SlowFactor; factor > 1 {
		step = time.Duration(float64(step) * factor)
	}
	select {
	case <-b.stopped:
		return false
	default:
		return sleep.For(ctx, step)
	}
}

// step admits waiting sequences up to the batch limit and produces the next token of every active one.
func (b *batch) step(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for len(b.waiting) > 0 && len(b.active) < b.engine.config.Timing.MaxBatch {
		b.admit(b.waiting[0], now)
		b.waiting = b.waiting[1:]
	}
	remaining := b.active[:0]
	for _, seq := range b.active {
		if b.advance(seq, now) {
			remaining = append(remaining, seq)
		}
	}
	clear(b.active[len(remaining):])
	b.active = remaining
}

// admit activates a sequence. A prompt whose prefix is cached needs no prefill.
func (b *batch) admit(seq *sequence, now time.Time) {
	key := strconv.FormatUint(seq.prefix, 10)
	seq.prefillDoneAt = now
	if !b.prefixes.touch(key) {
		seconds := float64(seq.prompt) / b.engine.config.Timing.PrefillTokensPerSecond
		seq.prefillDoneAt = now.Add(time.Duration(seconds * float64(time.Second)))
		b.prefixes.add(key, int64(seq.prompt), engine.CachedCheckpoint{})
		b.engine.events.add(seq.target, seq.prefix, false)
	}
	b.active = append(b.active, seq)
}

// advance produces a token after prefill and reports whether the sequence remains active.
func (b *batch) advance(seq *sequence, now time.Time) bool {
	seq.mutex.Lock()
	cancelled := seq.cancelled
	seq.mutex.Unlock()
	if cancelled {
		return false
	}
	if now.Before(seq.prefillDoneAt) {
		return true
	}
	seq.update(func() { seq.produced++ })
	if seq.produced < len(seq.tokens) {
		return true
	}
	b.engine.record(Entry{Kind: RequestFinished, RequestID: seq.requestID, Model: seq.target, Tokens: seq.produced})
	return false
}

func (b *batch) failAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, seq := range append(b.active, b.waiting...) {
		seq.update(func() { seq.failed = true })
	}
	b.active, b.waiting = nil, nil
}
