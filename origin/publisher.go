package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// versionsInterval is the time between two checks whether several versions of a service are known.
	versionsInterval = 100 * time.Millisecond
	// batchInterval is the shortest time between two messages to a keeper.
	batchInterval = 20 * time.Millisecond
	// storeTimeout bounds a message to a keeper.
	storeTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time after which a keeper that failed gets its next message; it
	// doubles with each failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxQueued bounds the origins that wait for one keeper.
	maxQueued = maxOwn
)

// publisher tells keepers the origins of this daemon's streams, and more keepers those of services of which several
// versions are known.
type publisher struct {
	client *Client
	wake   chan struct{}

	mutex   sync.Mutex
	several map[string]bool // services of which several versions are known
	list    keeperList      // to which links exist
	links   map[string]*link
}

func newPublisher(client *Client) publisher {
	return publisher{client: client, wake: make(chan struct{}, 1), several: map[string]bool{}, links: map[string]*link{}}
}

func (p *publisher) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// publish queues an origin for its owners.
func (p *publisher) publish(origin dated) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, id := range p.list.owners(origin.Origin, p.client.Daemon, p.several[origin.Service]) {
		p.links[id].enqueue(origin)
	}
}

// refresh applies the current keepers, and which services have several versions. The links of new keepers serve with
// start until their keeper is no longer listed.
func (p *publisher) refresh(start func(*link)) {
	c := p.client
	current := c.keeperList()
	several := map[string]bool{}
	for _, service := range c.own.services(c.Now()) {
		several[service] = c.isMixed(service)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	earlier, earlierSeveral := p.list, p.several
	p.several = several
	restarted := p.updateLinks(current, start)
	keepersChanged := len(restarted) > 0 || !slices.Equal(earlier.ids, current.ids)
	due := func(service string) bool { return keepersChanged || several[service] && !earlierSeveral[service] }
	for _, origin := range c.own.ofServices(due, c.Now()) {
		told := earlier.owners(origin.Origin, c.Daemon, earlierSeveral[origin.Service])
		for _, id := range current.owners(origin.Origin, c.Daemon, several[origin.Service]) {
			if !slices.Contains(told, id) || restarted[id] {
				p.links[id].enqueue(origin)
			}
		}
	}
}

// updateLinks applies a list of keepers, and returns those that have started again. The caller holds the mutex.
func (p *publisher) updateLinks(current keeperList, start func(*link)) (restarted map[string]bool) {
	restarted = map[string]bool{}
	for id, existing := range p.links {
		if _, listed := current.byID[id]; !listed {
			existing.stop()
			delete(p.links, id)
		}
	}
	for id, keeper := range current.byID {
		if id == p.client.Daemon {
			continue
		}
		if existing := p.links[id]; existing != nil {
			if existing.update(keeper) {
				restarted[id] = true
			}
			continue
		}
		p.links[id] = newLink(p.client, keeper)
		start(p.links[id])
	}
	p.list = current
	return restarted
}

// resend queues all origins for a keeper that owns them.
func (p *publisher) resend(keeper string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[keeper] == nil {
		return
	}
	for _, origin := range p.client.own.ofServices(func(string) bool { return true }, p.client.Now()) {
		if slices.Contains(p.list.owners(origin.Origin, p.client.Daemon, p.several[origin.Service]), keeper) {
			p.links[keeper].enqueue(origin)
		}
	}
}

// String names the service in the supervisor's events.
func (c *Client) String() string { return "stream-origins" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	var links sync.WaitGroup
	defer links.Wait()
	defer c.publisher.stopLinks()
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	for {
		c.publisher.refresh(func(started *link) {
			linkCtx, cancel := context.WithCancel(ctx)
			started.cancel = cancel
			links.Go(func() { started.serve(linkCtx) })
		})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-c.publisher.wake:
		}
	}
}

// stopLinks ends all links, so that another call of Serve starts anew.
func (p *publisher) stopLinks() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, existing := range p.links {
		existing.stop()
	}
	p.links, p.list, p.several = map[string]*link{}, keeperList{}, map[string]bool{}
}

// link is the queue of origins for one keeper.
type link struct {
	client *Client
	daemon string // the keeper's
	cancel context.CancelFunc
	wake   chan struct{}

	mutex   sync.Mutex
	keeper  Keeper
	pending []dated
	process uint64 // of the keeper, as it last said itself; zero: not yet
}

func newLink(client *Client, keeper Keeper) *link {
	return &link{client: client, daemon: keeper.Daemon, keeper: keeper, wake: make(chan struct{}, 1)}
}

func (l *link) stop() { l.cancel() }

// update applies a new entry of the list, and reports whether the keeper has started again and lost what it was
// told.
func (l *link) update(keeper Keeper) (restarted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	restarted = l.keeper.Process != keeper.Process && l.process != keeper.Process
	if restarted {
		l.process = keeper.Process
	}
	l.keeper = keeper
	return restarted
}

// enqueue queues an origin. If the queue is full, it drops the oldest.
func (l *link) enqueue(origin dated) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.pending) >= maxQueued {
		l.pending = l.pending[1:]
		l.client.Metrics.dropped.Inc()
	}
	l.pending = append(l.pending, origin)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns the next batch, which stays queued until it is acknowledged, without origins that have expired.
func (l *link) take(now time.Time) (address string, batch []dated) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = slices.DeleteFunc(l.pending, func(origin dated) bool { return now.Sub(origin.began) > Horizon })
	batch = slices.Clone(l.pending[:min(len(l.pending), maxBatch)])
	l.pending = l.pending[len(batch):]
	return l.keeper.Address, batch
}

// putBack queues a batch again that was not acknowledged, before all others.
func (l *link) putBack(batch []dated) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(batch, l.pending...)
	if excess := len(l.pending) - maxQueued; excess > 0 {
		l.pending = l.pending[excess:]
		l.client.Metrics.dropped.Add(float64(excess))
	}
}

// observeProcess applies the process that a keeper said it is, and reports whether an earlier one was told
// origins.
func (l *link) observeProcess(process uint64) (restarted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	restarted = l.process != 0 && l.process != process
	l.process = process
	return restarted
}

// serve sends what is queued until ctx ends.
func (l *link) serve(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for l.sendBatch(ctx, &delay) {
		}
	}
}

// sendBatch sends one batch and waits until the next one may be sent. It returns false if none was queued.
func (l *link) sendBatch(ctx context.Context, delay *time.Duration) (sent bool) {
	now := l.client.Now()
	address, batch := l.take(now)
	if len(batch) == 0 || ctx.Err() != nil {
		return false
	}
	storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := l.client.Network.Store(storeCtx, address, encodeBatch(batch, now))
	if err != nil {
		l.putBack(batch)
		l.reportFailure(ctx, address, len(batch), err)
		sleep.For(ctx, *delay)
		*delay = min(2**delay, maxRetryDelay)
		return true
	}
	*delay = minRetryDelay
	l.client.Metrics.published.Add(float64(len(batch)))
	if l.observeProcess(stored.GetProcess()) {
		l.client.publisher.resend(l.daemon)
	}
	sleep.For(ctx, batchInterval)
	return true
}

// reportFailure reports a batch that was not acknowledged.
func (l *link) reportFailure(ctx context.Context, address string, origins int, err error) {
	if ctx.Err() != nil {
		return
	}
	l.client.Metrics.failures.Inc()
	l.client.Log.WithFields(logrus.Fields{
		logging.Dependency: "keeper of stream origins", logging.Address: address, logging.Origins: origins, logging.Cause: err.Error(),
	}).Warn(logging.MessageOriginsNotStored)
}
