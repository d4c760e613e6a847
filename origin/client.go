package origin

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
)

const (
	// maxOwn and maxKept bound the origins of a daemon's own streams, and those that it keeps for others.
	maxOwn  = 16 << 10
	maxKept = 64 << 10
	// resolveTimeout bounds the time for which Resolve waits for other daemons.
	resolveTimeout = 250 * time.Millisecond
	// readTimeout bounds a read of the registry.
	readTimeout = 250 * time.Millisecond
	// patience is how long Resolve waits for daemons that do not answer although the others' answers are enough.
	patience = 60 * time.Millisecond
	// forwardTimeout bounds the time for which a daemon asks others on behalf of a third.
	forwardTimeout = 200 * time.Millisecond
)

// Client records the origins of the daemon's own streams, tells them to keepers while several versions of a
// service are known, and resolves the origins of streams that callers take up again. It is a suture service
// and safe for concurrent use.
type Client struct {
	Daemon string
	// Address is where other daemons reach this one; it is not asked.
	Address string
	Network Network
	// Versions returns what this daemon knows of the software versions of a service.
	Versions func(service string) VersionView
	// ReadVersions reads the versions of a service's replicas from the registry; nil: it is not read.
	ReadVersions func(ctx context.Context, service string) (RegistryVersions, error)
	// Leader returns the address of the leader; empty if none is known. Seeds returns the addresses of some
	// daemons. They are asked while no keepers are known.
	Leader func() string
	Seeds  func() []string
	// Directories returns the addresses of daemons that know all replicas, in order of preference. A daemon that
	// does not know all asks the first ones for versions; nil: there are none.
	Directories func() []string
	// Now returns the current time; it counts suspensions of the machine.
	Now     func() time.Time
	Metrics *Metrics
	Log     logrus.FieldLogger

	own, kept *Table
	process   uint64
	publisher publisher

	mutex   sync.Mutex
	keepers keeperList
	mixed   map[string]bool // services of several versions, by the leader's word
	// listedAt is when each keeper was last named, by its address.
	listedAt map[string]time.Time
}

// Prepare initializes the client; it must be called before any other method.
func (c *Client) Prepare() {
	c.own, c.kept = NewTable(Horizon, maxOwn), NewTable(Horizon, maxKept)
	c.process = max(1, rand.Uint64())
	c.Metrics.registerGauges(c.own, c.kept)
	c.publisher = newPublisher(c)
}

// Process returns the number that is unique to this start of the daemon.
func (c *Client) Process() uint64 { return c.process }

// Keepers returns the keepers that are known.
func (c *Client) Keepers() []Keeper {
	list := c.keeperList()
	keepers := make([]Keeper, 0, len(list.ids))
	for _, id := range list.ids {
		keepers = append(keepers, list.byID[id])
	}
	return keepers
}

func (c *Client) keeperList() keeperList {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.keepers
}

// SetKeepers sets the keepers. An empty list changes none: an earlier one is better.
func (c *Client) SetKeepers(list KeeperList) {
	mixed := map[string]bool{}
	for _, service := range list.MixedServices {
		mixed[service] = true
	}
	c.mutex.Lock()
	c.mixed = mixed
	if len(list.Keepers) > 0 {
		c.recordListed(c.keepers, list.Keepers)
		c.keepers = newKeeperList(list.Keepers)
	}
	c.mutex.Unlock()
	c.publisher.wakeUp()
}

// view returns what the daemon knows of a service's versions: its records, and the origins that it has been told. A
// daemon that is told of a stream may not have learned of its replica yet.
func (c *Client) view(service string) VersionView {
	view, now := c.Versions(service), c.Now()
	view.Versions = appendMissing(appendMissing(slices.Clone(view.Versions), c.own.versions(service, now)), c.kept.versions(service, now))
	return view
}

// recordListed records when keepers were last named, and forgets those of long ago. The caller holds the mutex.
func (c *Client) recordListed(before keeperList, keepers []Keeper) {
	now := c.Now()
	listed := map[string]time.Time{}
	for address, at := range c.listedAt {
		if now.Sub(at) <= Horizon {
			listed[address] = at
		}
	}
	for _, keeper := range before.byID {
		listed[keeper.Address] = now
	}
	for _, keeper := range keepers {
		listed[keeper.Address] = now
	}
	c.listedAt = listed
}

// earlierKeepers returns the addresses of daemons that were keepers lately, in a fleet in which all are asked. A leader
// that is cut off names only those that are cut off with it.
func (c *Client) earlierKeepers() (addresses []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.listedAt) > maxKeepersAsked {
		return nil
	}
	now := c.Now()
	for address, at := range c.listedAt {
		if address != c.Address && now.Sub(at) <= Horizon {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// isMixed reports whether several software versions of a service are known.
func (c *Client) isMixed(service string) bool {
	return c.mixedByLeader(service) || len(c.view(service).Versions) > 1
}

// mixedByLeader reports whether the leader said last that it knows several software versions of a service.
func (c *Client) mixedByLeader(service string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.mixed[service]
}

// RecordOrigin records the origin of a stream that this daemon serves, at its first event and whenever it is
// taken up again. It does not block.
func (c *Client) RecordOrigin(origin Origin) {
	now := c.Now()
	outcome := c.own.Add(origin, now, now)
	c.reportConflict(outcome, origin, c.Daemon)
	if outcome == Added || outcome == Repeated {
		c.publisher.publish(dated{origin, now})
	}
}

// keep adds origins that a daemon handed over.
func (c *Client) keep(batch []dated, source string) {
	now := c.Now()
	for _, kept := range batch {
		c.reportConflict(c.kept.Add(kept.Origin, kept.began, now), kept.Origin, source)
	}
}

// reportConflict reports an origin that contradicts a known one.
func (c *Client) reportConflict(outcome AddOutcome, origin Origin, source string) {
	if outcome != Conflicts {
		return
	}
	c.Metrics.conflicts.Inc()
	c.Log.WithFields(logrus.Fields{
		logging.StreamAttempt: origin.Attempt, logging.Service: origin.Service, logging.Tenant: origin.Tenant, logging.SoftwareVersion: origin.Version,
		logging.Source: source, logging.Cause: "another software version is known for the attempt",
	}).Warn(logging.MessageOriginConflict)
}

// find looks up an origin in the daemon's tables.
func (c *Client) find(query Query) Finding {
	now := c.Now()
	own, kept := c.own.Find(query, now), c.kept.Find(query, now)
	switch {
	case own.Ambiguous || kept.Ambiguous || own.Found && kept.Found && own.Version != kept.Version:
		return Finding{Ambiguous: true}
	case own.Found:
		return own
	}
	return kept
}

// Resolve determines which version began a stream. It asks other daemons if this one cannot tell, for a bounded
// time.
func (c *Client) Resolve(ctx context.Context, query Query) Resolution {
	resolution := c.resolve(ctx, query)
	c.Metrics.resolutions.WithLabelValues(resolution.Source).Inc()
	return resolution
}

func (c *Client) resolve(ctx context.Context, query Query) Resolution {
	known := inquiry{own: c.find(query), view: c.view(query.Service), mixed: c.mixedByLeader(query.Service)}
	if known.own.Ambiguous || known.own.Found && query.Attempt != "" {
		return decide(known, c.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	addresses, forward := c.askFor(query)
	if known.view.Partial {
		addresses = appendMissing(addresses, c.directories())
	}
	known.asked = len(addresses)
	known.answers = c.ask(ctx, addresses, query, forward, func(answers []answer) bool {
		known.answers = answers
		return decide(known, c.Now()).Known
	})
	if !known.current() && !known.view.Partial {
		c.confirm(ctx, query.Service, &known)
	}
	return decide(known, c.Now())
}

// RegistryVersions are the software versions of a service that a read of the registry shows.
type RegistryVersions struct {
	Versions []string
	// Recorded states that the leader's record names versions of the service: the versions include those that served within
	// Horizon and have left.
	Recorded bool
}

// confirm completes the view by a read of the registry, for a daemon that too few others answer: most may have ended.
func (c *Client) confirm(ctx context.Context, service string, known *inquiry) {
	if c.ReadVersions == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	registry, err := c.ReadVersions(ctx, service)
	if err != nil {
		c.Log.WithFields(logrus.Fields{logging.Dependency: "key-value service", logging.Cause: err.Error()}).Info(logging.MessageOriginQueryFailed)
		return
	}
	known.view.Versions = appendMissing(known.view.Versions, registry.Versions)
	known.confirmed, known.recorded = true, registry.Recorded
}

// askFor returns the addresses of the daemons that may know an origin, and whether they are to ask others in turn.
func (c *Client) askFor(query Query) (addresses []string, forward bool) {
	list := c.keeperList()
	for _, id := range list.candidates(query, c.Daemon) {
		addresses = append(addresses, list.byID[id].Address)
	}
	if len(list.ids) > 0 {
		return appendMissing(addresses, c.earlierKeepers()), false
	}
	for _, address := range append([]string{c.Leader()}, c.Seeds()...) {
		if address != "" && address != c.Address && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses, true
}

// maxDirectories bounds the directories that are asked.
const maxDirectories = 2

// directories returns the addresses of the directories to ask.
func (c *Client) directories() []string {
	if c.Directories == nil {
		return nil
	}
	addresses := slices.DeleteFunc(slices.Clone(c.Directories()), func(address string) bool { return address == c.Address })
	return addresses[:min(len(addresses), maxDirectories)]
}

// ask asks daemons at the same time, and returns their answers. If the query names an attempt, it returns as soon
// as one knows the origin; otherwise others may know of another stream of the request, or of another version. After
// patience it returns once the answers are enough.
func (c *Client) ask(ctx context.Context, addresses []string, query Query, forward bool, enough func([]answer) bool) (answers []answer) {
	patienceEnds := time.NewTimer(patience)
	defer patienceEnds.Stop()
	impatient := false
	received := make(chan *answer, len(addresses))
	for _, address := range addresses {
		go func() { received <- c.askOne(ctx, address, query, forward) }()
	}
	for missing := len(addresses); missing > 0; {
		select {
		case given := <-received:
			missing--
			if given == nil {
				continue
			}
			answers = append(answers, *given)
			if given.Found && query.Attempt != "" {
				return answers
			}
		case <-patienceEnds.C:
			impatient = true
		case <-ctx.Done():
			return answers
		}
		if impatient && enough(answers) {
			return answers
		}
	}
	return answers
}

// askOne asks one daemon; it returns nil if there is no usable answer. It goes on when ctx is canceled, since
// that would close the connection, but for a bounded time.
func (c *Client) askOne(ctx context.Context, address string, query Query, forward bool) *answer {
	askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	message, err := c.Network.Find(askCtx, address, encodeQuery(query, forward))
	if err == nil {
		var given answer
		if given, err = decodeAnswer(message, c.Now()); err == nil {
			return &given
		}
	}
	c.Log.WithFields(logrus.Fields{logging.Dependency: "stream origins of a peer", logging.Address: address, logging.Cause: err.Error()}).Info(logging.MessageOriginQueryFailed)
	return nil
}
