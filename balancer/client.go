// Package balancer lets the leader choose the replicas of all daemons' requests. Daemons ask over a
// stream and report what they send; the leader decides with package balance.
package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/balance"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// eventDelay is how long events wait for others, so that they share a message.
	eventDelay = 20 * time.Millisecond
	// heartbeatInterval is the time between messages of an idle client, which show the leader that the
	// process runs.
	heartbeatInterval = 2 * time.Second
	reconnectDelay    = 100 * time.Millisecond
	// maxReconnectDelay bounds the delay, which doubles with each failed attempt.
	maxReconnectDelay = 400 * time.Millisecond
	dialTimeout       = 500 * time.Millisecond
	// unresponsiveTimeout is how long a message may stay unanswered before the client closes the stream.
	unresponsiveTimeout = time.Second
	// checkInterval is how often the client checks whether its stream is still useful.
	checkInterval = 100 * time.Millisecond
	// unusedStreamTimeout is how long a stream stays open after joint assignment was switched off.
	unusedStreamTimeout = 10 * time.Second
	// maxWarnedAddresses bounds the warnings of addresses without an answer until one answers.
	maxWarnedAddresses = 16
)

// Client asks the leader which replicas take this daemon's requests. It is a suture service and
// implements core.Balancer.
type Client struct {
	// Leader returns the address of the leader, or an empty string if it is unknown.
	Leader func() string
	// IsEnabled reports whether any service assigns replicas jointly. Otherwise the client keeps no
	// stream to the leader.
	IsEnabled func() bool
	// Now is the clock; nil means time.Now.
	Now     func() time.Time
	Metrics *Metrics
	Log     logrus.FieldLogger

	open      opener
	processID string

	mutex      sync.Mutex
	lastNumber uint64 // of a dispatch
	lastStream uint64
	dispatches map[uint64]*Dispatch // that have not ended, by number
	speeds     map[string]toldSpeed // of replicas, by id, as the leader last told them
	prunedAt   time.Time            // when old speeds were last removed
	outbox     *rpc.BalanceQuestions
	urgent     chan struct{} // holds an element while the outbox should be sent at once
	deferred   chan struct{} // holds an element while the outbox should be sent soon
	// leaderChanged holds an element while Leader may return another address than before.
	leaderChanged chan struct{}
	// disconnected is closed and replaced when the connection to the leader is lost.
	disconnected chan struct{}
	isStreaming  bool // the first message of a stream was made, so that events belong into the next ones
	isConnected  bool // the leader has answered on the stream
	fence        int64
	// unansweredSince is when the oldest unanswered message was sent, or when the leader's last message
	// arrived if others were still unanswered then; zero if none is.
	unansweredSince time.Time
	unanswered      int
	// isSuspended is set from a question without an answer until the leader answers anything.
	isSuspended  bool
	warnedOfLead bool // an answer of this stream's leader was invalid
}

// toldSpeed is how quickly a replica reads prompts, as a leader told it.
type toldSpeed struct {
	balance.Estimate
	toldAt time.Time
}

// age returns the time since the latest answer of the replica that the speed rests on.
func (t toldSpeed) age(now time.Time) time.Duration { return t.Age + now.Sub(t.toldAt) }

// stream is the client's end of a stream to the leader.
type stream interface {
	Send(*rpc.BalanceQuestions) error
	Recv() (*rpc.BalanceAnswers, error)
}

// opener opens a stream to the leader at an address; the caller closes it.
type opener func(ctx context.Context, address string) (opened stream, closeStream func(), err error)

// Prepare initializes the client; it must be called before any other method.
func (c *Client) Prepare() {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.open == nil {
		c.open = openStream
	}
	c.processID = uuid.NewString()
	c.dispatches, c.speeds = map[uint64]*Dispatch{}, map[string]toldSpeed{}
	c.outbox = &rpc.BalanceQuestions{}
	c.urgent, c.deferred = make(chan struct{}, 1), make(chan struct{}, 1)
	c.disconnected, c.leaderChanged = make(chan struct{}), make(chan struct{}, 1)
}

func openStream(ctx context.Context, address string) (stream, func(), error) {
	dialing, stopDialing := context.WithTimeout(ctx, dialTimeout)
	defer stopDialing()
	conn, err := transport.Dial(dialing, address)
	if err != nil {
		return nil, nil, err
	}
	opened, err := rpc.NewDRPCBalanceClient(conn).Assign(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, nil, errors.Wrap(err, "open a stream of assignments to the leader")
	}
	return opened, func() { _ = conn.Close() }, nil
}

// signal fills a channel of capacity one.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// String names the service in the supervisor's events.
func (c *Client) String() string { return "balancer" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	delay, lastAddress := reconnectDelay, ""
	failed := failedAddresses{}
	for ctx.Err() == nil {
		if address := c.Leader(); address != "" && c.IsEnabled() {
			if address != lastAddress {
				delay, lastAddress = reconnectDelay, address
			}
			answered, err := c.runStream(ctx, address)
			if answered {
				delay = reconnectDelay
				clear(failed)
				c.lostLog(address, err).Info(logging.MessageDependencyLost)
			} else {
				delay = min(2*delay, maxReconnectDelay)
				if ctx.Err() == nil && !errors.Is(err, errLeaderChanged) && failed.add(address) {
					c.lostLog(address, err).Warn(logging.MessageDependencyLost)
				}
			}
		}
		c.pause(ctx, delay)
	}
	return ctx.Err()
}

// lostLog returns the log line of a leader that is not connected.
func (c *Client) lostLog(address string, cause error) *logrus.Entry {
	return c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyLeader, logging.Address: address, logging.Cause: cause.Error()})
}

// failedAddresses are addresses of leaders that did not answer, of which a warning tells.
type failedAddresses map[string]bool

// add reports whether an address is new and is to be warned of.
func (f failedAddresses) add(address string) bool {
	if f[address] || len(f) >= maxWarnedAddresses {
		return false
	}
	f[address] = true
	return true
}

// pause waits before the next attempt to connect, at most until another leader is known.
func (c *Client) pause(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.leaderChanged:
	}
}

// LeaderChanged tells the client that Leader returns another address.
func (c *Client) LeaderChanged() { signal(c.leaderChanged) }

// dependencyLeader is the leader's name in log lines.
const dependencyLeader = "holder of joint assignment"

var (
	errLeaderChanged = errors.New("another daemon is the leader")
	errUnresponsive  = errors.New("the leader does not answer")
	errSwitchedOff   = errors.New("no service assigns replicas jointly any longer")
)

// runStream keeps a stream to the leader until it breaks or is of no use any longer. It reports
// whether the leader answered.
func (c *Client) runStream(ctx context.Context, address string) (answered bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	opened, closeStream, err := c.open(ctx, address)
	if err != nil {
		return false, err
	}
	var ending sync.WaitGroup
	firstMessage := c.firstMessage()
	ending.Go(func() { cancel(c.receiveLoop(opened)) })
	ending.Go(func() { cancel(c.watch(ctx, address)) })
	// Sending can block, so that only closing the connection ends it.
	context.AfterFunc(ctx, closeStream)
	cancel(c.sendLoop(ctx, opened, firstMessage))
	closeStream()
	ending.Wait()
	return c.handleDisconnect(), context.Cause(ctx)
}

// sendLoop sends messages until the stream breaks or ctx ends.
func (c *Client) sendLoop(ctx context.Context, opened stream, firstMessage *rpc.BalanceQuestions) error {
	if err := opened.Send(firstMessage); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.urgent:
		case <-c.deferred:
			if c.gatherEvents(ctx); c.isOutboxEmpty() {
				continue // the events went out with a question
			}
		case <-heartbeat.C:
			if err := opened.Send(c.heartbeat()); err != nil {
				return err
			}
			continue
		}
		if err := opened.Send(c.message()); err != nil {
			return err
		}
	}
}

// gatherEvents waits until other events have joined the outbox, or a question has.
func (c *Client) gatherEvents(ctx context.Context) {
	timer := time.NewTimer(eventDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.urgent:
	case <-timer.C:
	}
}

// watch returns when the stream to an address should be closed, with the reason.
func (c *Client) watch(ctx context.Context, address string) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	enabledAt := c.Now()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
		now := c.Now()
		if c.IsEnabled() {
			enabledAt = now
		}
		switch {
		case c.Leader() != address:
			return errLeaderChanged
		case now.Sub(enabledAt) > unusedStreamTimeout:
			return errSwitchedOff
		case c.isUnresponsive(now):
			return errUnresponsive
		}
	}
}

func (c *Client) isUnresponsive(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) > unresponsiveTimeout
}

// firstMessage returns the first message of a stream, which names all dispatches that were sent.
func (c *Client) firstMessage() *rpc.BalanceQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	c.lastStream++
	message := &rpc.BalanceQuestions{Process: c.processID, Stream: c.lastStream, Estimates: c.estimates(now)}
	for _, dispatch := range c.dispatches {
		if dispatch.replica != (fleet.Incarnation{}) {
			message.Running = append(message.Running, dispatch.runningMessage(now))
		}
	}
	c.outbox = &rpc.BalanceQuestions{}
	c.isStreaming = true
	c.expectAnswer(now)
	return message
}

// message returns a message that follows the first one of a stream, with the contents of the outbox.
func (c *Client) message() *rpc.BalanceQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := c.outbox
	c.outbox = &rpc.BalanceQuestions{}
	if isAnswered(message) {
		c.expectAnswer(c.Now())
	}
	return message
}

// heartbeat returns a message that the leader answers whatever the outbox holds.
func (c *Client) heartbeat() *rpc.BalanceQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expectAnswer(c.Now())
	return &rpc.BalanceQuestions{}
}

func (c *Client) isOutboxEmpty() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.outbox.GetQuestions()) == 0 && len(c.outbox.GetEvents()) == 0
}

// isAnswered reports whether the leader answers a message that follows the first one: those with
// questions, and heartbeats.
func isAnswered(message *rpc.BalanceQuestions) bool {
	return len(message.GetQuestions()) > 0 || len(message.GetEvents()) == 0
}

// expectAnswer records that a message is sent that the leader answers. The caller holds the mutex.
func (c *Client) expectAnswer(now time.Time) {
	c.unanswered++
	if c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
}

// receiveLoop handles answers until the stream breaks.
func (c *Client) receiveLoop(opened stream) error {
	for {
		message, err := opened.Recv()
		if err != nil {
			return err
		}
		c.handleAnswers(message)
	}
}

// handleAnswers applies a message of the leader.
func (c *Client) handleAnswers(message *rpc.BalanceAnswers) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.Now()
	if !c.isConnected {
		c.isConnected = true
		c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyLeader, logging.Fence: message.GetFence()}).Info(logging.MessageDependencyRegained)
	}
	c.fence, c.isSuspended = message.GetFence(), false
	c.unanswered = max(0, c.unanswered-1)
	c.unansweredSince = time.Time{}
	if c.unanswered > 0 {
		c.unansweredSince = now
	}
	for _, assignment := range message.GetAssignments() {
		if dispatch := c.dispatches[assignment.GetNumber()]; dispatch != nil {
			c.applyAssignment(dispatch, assignment, now)
		}
	}
}

// handleDisconnect ends the wait for all answers and reports whether the leader had answered on this
// connection.
func (c *Client) handleDisconnect() (answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answered = c.isConnected
	c.isStreaming, c.isConnected, c.isSuspended, c.warnedOfLead = false, false, false, false
	c.unansweredSince, c.unanswered = time.Time{}, 0
	c.outbox = &rpc.BalanceQuestions{}
	for _, dispatch := range c.dispatches {
		dispatch.isWaiting = false // its question must not suspend the next stream
	}
	close(c.disconnected)
	c.disconnected = make(chan struct{})
	return answered
}
