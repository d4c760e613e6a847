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
	// keepUnused is how long a daemon is told of what none of its callers asks for any more.
	keepUnused = 60 * time.Second
	// dropPause is the time between looks for that.
	dropPause = 5 * time.Second
	// connectTime bounds the way to a directory, and connectPause is the time before the next one is
	// tried. A request that waits for word waits two seconds at most.
	connectTime  = 400 * time.Millisecond
	connectPause = 50 * time.Millisecond
	// connectPauseMost bounds the pause, which doubles with each try in vain.
	connectPauseMost = 400 * time.Millisecond
	// silentTime is how long a directory may say nothing: it says something each second.
	silentTime = 2500 * time.Millisecond
	// staleTime is the age of a directory's knowledge from which another is asked, which may know
	// more; staleAgain is the least time between two such changes, since while the key-value service
	// is away all directories are alike.
	staleTime  = 3 * time.Second
	staleAgain = 15 * time.Second
	// askPause gathers what several requests ask for at once.
	askPause = time.Millisecond
)

// dependency names the directory in log lines.
const dependency = "directory of replicas"

var (
	errSilent = errors.New("the directory says nothing")
	errStale  = errors.New("what the directory knows is old; another is asked")
	errMoved  = errors.New("other daemons are directories now")
	errIdle   = errors.New("this daemon knows all replicas itself")
)

// Client keeps a daemon's directory filled with the replicas that its callers need. It is a suture
// service, and implements fleet.Interest.
type Client struct {
	Daemon string
	Zone   string
	Fleet  *fleet.Directory
	// Directories returns the addresses of daemons that know all replicas, in the order in which
	// this one asks them.
	Directories func() []string
	Log         logrus.FieldLogger

	mutex     sync.Mutex
	interests map[Key]*wanted
	added     []Key         // not asked for yet
	wake      chan struct{} // holds an element while there is something to ask for
	enabled   bool
	switched  chan struct{} // closed when enabled changes
	connected atomic.Bool   // a directory has answered since this client was enabled
	round     int
	current   string    // address of the directory that answers; empty: none does
	staleAt   time.Time // when a directory was last left since its knowledge was old
}

// wanted is what this daemon's callers ask for.
type wanted struct {
	used time.Time
	told bool // by some directory, perhaps one before the present
}

// Prepare makes the client ready for use; it does nothing until it is enabled.
func (c *Client) Prepare() {
	c.interests, c.wake, c.switched = map[Key]*wanted{}, make(chan struct{}, 1), make(chan struct{})
}

// Enable makes the client ask for replicas, or no more.
func (c *Client) Enable(enabled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.enabled == enabled {
		return
	}
	c.enabled, c.interests, c.added = enabled, map[Key]*wanted{}, nil
	c.connected.Store(false)
	close(c.switched)
	c.switched = make(chan struct{})
}

// Connected tells whether a directory has answered.
func (c *Client) Connected() bool { return c.connected.Load() }

// Asked implements fleet.Interest.
func (c *Client) Register(service string, target fleet.Target) (told bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := Key{service, target}
	known := c.interests[key]
	if known == nil {
		known = &wanted{}
		c.interests[key] = known
		c.added = append(c.added, key)
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	known.used = time.Now()
	return known.told
}

// Current returns the address of the directory that answers this daemon; empty: none does.
func (c *Client) DirectoryAddress() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current
}

func (c *Client) setCurrent(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current = address
}

// String names the service in the supervisor's events.
func (c *Client) String() string { return "discovery-client" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	pause := connectPause
	for ctx.Err() == nil {
		enabled, switched := c.state()
		if !enabled {
			select {
			case <-ctx.Done():
			case <-switched:
			}
			continue
		}
		address := c.next()
		if address == "" {
			sleep.For(ctx, connectPause)
			continue
		}
		began := time.Now()
		err := c.subscribe(ctx, address, switched)
		if ctx.Err() != nil {
			break
		}
		if pause = min(2*pause, connectPauseMost); time.Since(began) > silentTime {
			pause = connectPause
		}
		c.Log.WithFields(logrus.Fields{logging.Dependency: dependency, logging.Address: address, logging.Cause: err.Error()}).Info(logging.MessageDependencyLost)
		sleep.For(ctx, pause)
	}
	return ctx.Err()
}

func (c *Client) state() (enabled bool, switched <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.enabled, c.switched
}

// next returns the directory to be asked; empty: none is known.
func (c *Client) next() string {
	addresses := c.Directories()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.round%len(addresses)]
}

// subscribe keeps a stream to a directory until it breaks.
func (c *Client) subscribe(ctx context.Context, address string, switched <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { c.round++ }() // another is asked next
	dialing, done := context.WithTimeout(ctx, connectTime)
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
	all := c.all()
	if err := stream.Send(&rpc.Interest{DaemonId: c.Daemon, Zone: c.Zone, Added: messagesOf(all)}); err != nil {
		return err
	}
	failed := make(chan error, 1)
	heard := make(chan struct{}, 1)
	var listening sync.WaitGroup
	listening.Go(func() { failed <- c.listen(stream, address, len(all), heard) })
	err = c.ask(ctx, stream, address, failed, heard, switched)
	cancel()
	_ = conn.Close()
	listening.Wait()
	c.setCurrent("")
	return err
}

// ask tells the directory what this daemon's callers ask for, until the stream breaks.
func (c *Client) ask(ctx context.Context, stream rpc.DRPCDiscovery_SubscribeClient, address string, failed <-chan error, heard, switched <-chan struct{}) error {
	drops := time.NewTicker(dropPause)
	defer drops.Stop()
	silence := time.NewTimer(silentTime)
	defer silence.Stop()
	for {
		var message *rpc.Interest
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-switched:
			return errIdle
		case err := <-failed:
			return err
		case <-silence.C:
			return errSilent
		case <-heard:
			silence.Reset(silentTime)
		case <-c.wake:
			sleep.For(ctx, askPause)
			message = &rpc.Interest{Added: messagesOf(c.takeAdded())}
		case <-drops.C:
			if !slices.Contains(c.Directories(), address) {
				return errMoved
			}
			message = &rpc.Interest{Dropped: messagesOf(c.dropUnused())}
		}
		if len(message.GetAdded())+len(message.GetDropped()) > 0 {
			if err := stream.Send(message); err != nil {
				return err
			}
		}
	}
}

// all returns all interests; none of them is to be asked for apart.
func (c *Client) all() []Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.added = nil
	keys := make([]Key, 0, len(c.interests))
	for key := range c.interests {
		keys = append(keys, key)
	}
	return keys
}

func (c *Client) takeAdded() []Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	added := c.added
	c.added = nil
	return added
}

// dropUnused ends the interests that no request had for a while.
func (c *Client) dropUnused() []Key {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var dropped []Key
	for key, known := range c.interests {
		if known.told && time.Since(known.used) > keepUnused {
			delete(c.interests, key)
			dropped = append(dropped, key)
		}
	}
	return dropped
}

// listen takes in what the directory tells. expected is how many interests the stream began with:
// once it has answered them, replicas that it did not name are forgotten.
func (c *Client) listen(stream rpc.DRPCDiscovery_SubscribeClient, address string, expected int, heard chan<- struct{}) error {
	named, answered, isWhole := map[string]bool{}, 0, false
	for first := true; ; first = false {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		if first {
			c.connected.Store(true)
			c.setCurrent(address)
			c.Log.WithFields(logrus.Fields{logging.Dependency: dependency, logging.Address: address}).Info(logging.MessageDependencyRegained)
		}
		c.take(message, named)
		if answered += len(message.GetAnswered()); answered >= expected && !isWhole {
			isWhole = true
			c.Fleet.Retain(func(id string) bool { return named[id] })
		}
		if c.isStale(message) {
			return errStale
		}
	}
}

// take takes in one message.
func (c *Client) take(message *rpc.ReplicaUpdate, named map[string]bool) {
	now := time.Now()
	for _, told := range message.GetReplicas() {
		state := stateOf(told, now)
		named[state.ID] = true
		c.Fleet.ApplyState(state, now)
	}
	for _, id := range message.GetGone() {
		delete(named, id)
		c.Fleet.RemoveUnlisted(id)
	}
	for _, id := range message.GetReleased() {
		delete(named, id)
		c.Fleet.Forget(id)
	}
	c.Fleet.RefreshRemoteInflight(now)
	for _, one := range message.GetAnswered() {
		c.answered(keyOf(one))
	}
}

// answered notes that an interest was answered, and wakes the requests that wait for it.
func (c *Client) answered(key Key) {
	c.mutex.Lock()
	if known := c.interests[key]; known != nil {
		known.told = true
	}
	c.mutex.Unlock()
	c.Fleet.NotifyDiscovered(key.Service, key.Target)
}

// isStale tells whether another directory is to be asked, since what this one knows is old.
func (c *Client) isStale(message *rpc.ReplicaUpdate) bool {
	age := time.Duration(message.GetContactAgeMs()) * time.Millisecond
	now := time.Now()
	if age < staleTime || now.Sub(c.staleAt) < staleAgain {
		return false
	}
	c.staleAt = now
	return true
}
