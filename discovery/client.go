package discovery

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// interestTTL is how long the client keeps an interest after its last request.
	interestTTL = 60 * time.Second
	// dropInterval is the time between checks for expired interests.
	dropInterval = 5 * time.Second
	// connectTimeout bounds a connection attempt, and minConnectDelay is the first delay between
	// attempts. Both are short compared with the time that a request waits for discovery.
	connectTimeout  = 400 * time.Millisecond
	minConnectDelay = 50 * time.Millisecond
	// maxConnectDelay bounds the delay, which doubles with each failed attempt.
	maxConnectDelay = 400 * time.Millisecond
	// silenceTimeout ends a stream without messages. It exceeds the directory's heartbeatInterval.
	silenceTimeout = 2500 * time.Millisecond
	// maxDirectoryAge is the age of a directory's records from which the client tries another
	// directory. minStaleSwitchInterval limits such switches, because all directories get stale
	// while the key-value service is unavailable.
	maxDirectoryAge        = 3 * time.Second
	minStaleSwitchInterval = 15 * time.Second
	// interestBatchDelay batches the interests of concurrent requests.
	interestBatchDelay = time.Millisecond
)

// dependencyDirectory names the directory in log lines.
const dependencyDirectory = "directory of replicas"

var (
	errSilent       = errors.New("stream to the directory timed out: no message received")
	errStale        = errors.New("records of the directory are stale; switching to another")
	errNotDirectory = errors.New("the peer is no longer a directory")
	errDisabled     = errors.New("this daemon mirrors all replicas itself")
)

// Client subscribes to a directory and adds the replicas that the daemon's callers need to Fleet.
// When it loses the directory, it keeps these replicas and connects to another directory. It is a
// suture service, and implements fleet.Interest.
type Client struct {
	Daemon string
	Zone   string
	Fleet  *fleet.Directory
	// Directories returns the addresses of daemons that have all replicas, in order of preference.
	Directories func() []string
	Log         logrus.FieldLogger

	mutex            sync.Mutex
	interests        map[Key]*clientInterest
	unsent           []Key         // interests not sent yet
	wake             chan struct{} // signaled when unsent is not empty
	enabled          bool
	enabledChanged   chan struct{} // closed when enabled changes
	connected        atomic.Bool   // a directory has answered since the client was enabled
	attempts         int
	directoryAddress string    // address of the connected directory; empty: none
	leftStaleAt      time.Time // when the client last left a directory because of stale records
}

// clientInterest is the state of a target that this daemon's callers request.
type clientInterest struct {
	lastUsed time.Time
	answered bool // whether the current directory or an earlier one has sent its replicas
}

// Prepare initializes the client, which stays idle until it is enabled.
func (c *Client) Prepare() {
	c.interests, c.wake, c.enabledChanged = map[Key]*clientInterest{}, make(chan struct{}, 1), make(chan struct{})
}

// Enable starts or stops the client, and clears its interests if that is a change.
func (c *Client) Enable(enabled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.enabled == enabled {
		return
	}
	c.enabled, c.interests, c.unsent = enabled, map[Key]*clientInterest{}, nil
	c.connected.Store(false)
	close(c.enabledChanged)
	c.enabledChanged = make(chan struct{})
}

// Connected reports whether a directory has answered since the client was enabled.
func (c *Client) Connected() bool { return c.connected.Load() }

// Register implements fleet.Interest.
func (c *Client) Register(service string, target fleet.Target) (answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := Key{service, target}
	interest := c.interests[key]
	if interest == nil {
		interest = &clientInterest{}
		c.interests[key] = interest
		c.unsent = append(c.unsent, key)
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	interest.lastUsed = time.Now()
	return interest.answered
}

// DirectoryAddress returns the address of the directory that serves this daemon; empty: none.
func (c *Client) DirectoryAddress() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.directoryAddress
}

func (c *Client) setDirectoryAddress(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.directoryAddress = address
}

// String names the service in the supervisor's events.
func (c *Client) String() string { return "discovery-client" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	delay := minConnectDelay
	for ctx.Err() == nil {
		enabled, enabledChanged := c.enabledState()
		if !enabled {
			select {
			case <-ctx.Done():
			case <-enabledChanged:
			}
			continue
		}
		address := c.nextDirectory()
		if address == "" {
			sleep.For(ctx, minConnectDelay)
			continue
		}
		started := time.Now()
		err := c.subscribe(ctx, address, enabledChanged)
		if ctx.Err() != nil {
			break
		}
		if delay = min(2*delay, maxConnectDelay); time.Since(started) > silenceTimeout {
			delay = minConnectDelay
		}
		c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyDirectory, logging.Address: address, logging.Cause: err.Error()}).Info(logging.MessageDependencyLost)
		sleep.For(ctx, delay)
	}
	return ctx.Err()
}

func (c *Client) enabledState() (enabled bool, enabledChanged <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.enabled, c.enabledChanged
}

// nextDirectory returns the address of the directory to connect to; empty: none is known.
func (c *Client) nextDirectory() string {
	addresses := c.Directories()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.attempts%len(addresses)]
}

// subscribe keeps a stream to a directory until it breaks.
func (c *Client) subscribe(ctx context.Context, address string, enabledChanged <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { c.attempts++ }() // the next attempt uses another directory
	dialing, done := context.WithTimeout(ctx, connectTimeout)
	defer done()
	conn, err := transport.Dial(dialing, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := rpc.NewDRPCDiscoveryClient(conn).Subscribe(ctx)
	if err != nil {
		return errors.Wrap(err, "subscribe to a directory of replicas")
	}
	allInterests := c.allInterests()
	if err := stream.Send(&rpc.Interest{DaemonId: c.Daemon, Zone: c.Zone, Added: keyMessages(allInterests)}); err != nil {
		return err
	}
	failed := make(chan error, 1)
	received := make(chan struct{}, 1)
	var receiving sync.WaitGroup
	receiving.Go(func() { failed <- c.receive(stream, address, len(allInterests), received) })
	err = c.sendInterests(ctx, stream, address, failed, received, enabledChanged)
	cancel()
	_ = conn.Close()
	receiving.Wait()
	c.setDirectoryAddress("")
	return err
}

// sendInterests sends changes of this daemon's interests to the directory until the stream breaks.
func (c *Client) sendInterests(ctx context.Context, stream rpc.DRPCDiscovery_SubscribeClient, address string, failed <-chan error, received, enabledChanged <-chan struct{}) error {
	dropTicker := time.NewTicker(dropInterval)
	defer dropTicker.Stop()
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	for {
		var message *rpc.Interest
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-enabledChanged:
			return errDisabled
		case err := <-failed:
			return err
		case <-silence.C:
			return errSilent
		case <-received:
			silence.Reset(silenceTimeout)
		case <-c.wake:
			sleep.For(ctx, interestBatchDelay)
			message = &rpc.Interest{Added: keyMessages(c.takeUnsent())}
		case <-dropTicker.C:
			if !slices.Contains(c.Directories(), address) {
				return errNotDirectory
			}
			message = &rpc.Interest{Dropped: keyMessages(c.dropExpired())}
		}
		if len(message.GetAdded())+len(message.GetDropped()) > 0 {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
	}
}

// allInterests returns all interests, and clears the list of unsent ones, which they include.
func (c *Client) allInterests() []Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unsent = nil
	keys := make([]Key, 0, len(c.interests))
	for key := range c.interests {
		keys = append(keys, key)
	}
	return keys
}

func (c *Client) takeUnsent() []Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	unsent := c.unsent
	c.unsent = nil
	return unsent
}

// dropExpired removes and returns the interests without recent requests.
func (c *Client) dropExpired() []Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var expired []Key
	for key, interest := range c.interests {
		if interest.answered && time.Since(interest.lastUsed) > interestTTL {
			delete(c.interests, key)
			expired = append(expired, key)
		}
	}
	return expired
}

// receive applies the directory's updates. expected is the number of interests in the first message
// to the directory: once it has answered them, receive removes replicas that it did not list.
func (c *Client) receive(stream rpc.DRPCDiscovery_SubscribeClient, address string, expected int, received chan<- struct{}) error {
	listed, answered, complete := map[string]bool{}, 0, false
	for first := true; ; first = false {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case received <- struct{}{}:
		default:
		}
		if first {
			c.connected.Store(true)
			c.setDirectoryAddress(address)
			c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyDirectory, logging.Address: address}).Info(logging.MessageDependencyRegained)
		}
		c.applyUpdate(message, listed)
		if answered += len(message.GetAnswered()); answered >= expected && !complete {
			complete = true
			c.Fleet.Retain(func(id string) bool { return listed[id] })
		}
		if c.isStale(message) {
			return errStale
		}
	}
}

// applyUpdate applies one message of the directory.
func (c *Client) applyUpdate(message *rpc.ReplicaUpdate, listed map[string]bool) {
	now := time.Now()
	for _, replica := range message.GetReplicas() {
		state := stateFromMessage(replica, now)
		listed[state.ID] = true
		c.Fleet.ApplyState(state, now)
	}
	for _, id := range message.GetGone() {
		delete(listed, id)
		c.Fleet.RemoveUnlisted(id)
	}
	for _, id := range message.GetReleased() {
		delete(listed, id)
		c.Fleet.Forget(id)
	}
	c.Fleet.RefreshRemoteInflight(now)
	for _, target := range message.GetAnswered() {
		c.markAnswered(keyFromMessage(target))
	}
}

// markAnswered records that the directory answered an interest, and wakes the requests that wait
// for it.
func (c *Client) markAnswered(key Key) {
	c.mutex.Lock()
	if interest := c.interests[key]; interest != nil {
		interest.answered = true
	}
	c.mutex.Unlock()
	c.Fleet.NotifyDiscovered(key.Service, key.Target)
}

// isStale reports whether to switch to another directory because the records of this one are too
// old.
func (c *Client) isStale(message *rpc.ReplicaUpdate) bool {
	age := time.Duration(message.GetContactAgeMs()) * time.Millisecond
	now := time.Now()
	if age < maxDirectoryAge || now.Sub(c.leftStaleAt) < minStaleSwitchInterval {
		return false
	}
	c.leftStaleAt = now
	return true
}
