package limiter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/permit"
	"github.com/finchspoke/finchspoke/quota"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// heartbeatInterval is the time between messages of an idle client, which show the leader that the
	// client has not used expired credit.
	heartbeatInterval = 2 * time.Second
	reconnectDelay    = 100 * time.Millisecond
	// maxReconnectDelay bounds the delay, which doubles with each failed attempt so that many daemons do
	// not overload a leader whose term is uncertain.
	maxReconnectDelay = 400 * time.Millisecond
	dialTimeout       = 500 * time.Millisecond
	// unresponsiveTimeout is how long requests may stay unanswered before the client closes the stream.
	unresponsiveTimeout = time.Second
	// lastMessageTimeout bounds the last message of a stopping daemon.
	lastMessageTimeout = 200 * time.Millisecond
	// unusedStreamTimeout is how long a stream stays open without any limit, since replicas may set
	// limits again soon. Streams that stay open for good would cost the leader a heartbeat of each daemon.
	unusedStreamTimeout = 10 * time.Second
)

// Client asks the leader to admit each request of a tenant with a limit, and for permits to send to
// rate-limited replicas. It is a suture service.
type Client struct {
	Bounds quota.Bounds
	// Leader returns the address of the leader, or an empty string if it is unknown.
	Leader func() string
	// HasLimits reports whether any tenant or replica has a limit; nil means that one has. Without
	// limits the client keeps no stream to the leader.
	HasLimits func() bool
	// Now is the clock for the expiry of credit; nil means time.Now.
	Now func() time.Time
	// DaemonCount returns how many daemons share the limits of replicas; nil or zero means unknown.
	DaemonCount func() int
	// CountPermit counts answered permit requests by the source of the answer; it may be nil.
	CountPermit func(source, outcome string)
	// CountReservation counts reservations by outcome, and what could not be used of messages; it may be nil.
	CountReservation func(outcome string, number int)
	// Address is where other daemons reach this one, and Zone where its machine is.
	Address, Zone string
	Log           logrus.FieldLogger

	processID string
	mutex     sync.Mutex
	account   *quota.Account
	waiting   map[uint64]chan leaderAnswer // by request ID
	outbox    outbox
	wake      chan struct{} // holds an element while there is something to send
	// disconnected is closed and replaced when the connection to the leader is lost.
	disconnected chan struct{}
	isConnected  bool
	fence        int64
	// sentReports are the numbers of the usage reports in messages that have no reply yet.
	sentReports []uint64
	// unansweredSince is when the oldest unanswered message was sent, or when the leader's last message
	// arrived if requests were still unanswered then; zero if none is.
	unansweredSince time.Time
	// pendingPermits are the IDs of unanswered permit requests.
	pendingPermits map[uint64]bool
	localShares    *permit.LocalShares
	told           quota.Told // reservations that callers were told of
	lines          lineBound
	lastAnswerAt   time.Time // last time that a leader answered or none was needed
	standbyAddress string    // of the standby that the leader named last; empty if none
	isStandby      bool
	peers          *transport.Pool
}

// outbox collects the contents of the next message.
type outbox struct {
	requests      []quota.Request
	refunds       []quota.Refund
	returned      []quota.Credit
	permits       []permitRequest
	unusedPermits []fleet.Incarnation // replicas for which permits were returned unused
	sync          bool
	marks         []quota.Mark
}

// Prepare initializes the client; it must be called before any other method.
func (c *Client) Prepare() {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.processID = uuid.NewString()
	c.account = quota.NewAccount(c.Bounds)
	c.waiting = map[uint64]chan leaderAnswer{}
	c.pendingPermits = map[uint64]bool{}
	c.localShares = permit.NewLocalShares(rand.Float64)
	c.lastAnswerAt = c.Now()
	c.wake = make(chan struct{}, 1)
	c.disconnected = make(chan struct{})
	c.peers = transport.NewPool()
}

func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// String names the service in the supervisor's events.
func (c *Client) String() string { return "limiter" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	defer c.peers.Close()
	delay := reconnectDelay
	for ctx.Err() == nil {
		hasLimits := c.hasLimits()
		if !hasLimits {
			c.recordNoLimits()
		}
		if address := c.Leader(); address != "" && hasLimits {
			answered, err := c.runStream(ctx, address)
			if answered {
				delay = reconnectDelay
				c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyLeader, logging.Address: address, logging.Cause: err.Error()}).Info(logging.MessageDependencyLost)
			} else {
				delay = min(2*delay, maxReconnectDelay)
			}
		}
		sleep.For(ctx, delay)
	}
	return ctx.Err()
}

func (c *Client) hasLimits() bool { return c.HasLimits == nil || c.HasLimits() }

// recordNoLimits marks that no leader is needed at present, so that its absence does not count
// toward fallbackDelay.
func (c *Client) recordNoLimits() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastAnswerAt = c.Now()
}

// dependencyLeader is the leader's name in log lines.
const dependencyLeader = "holder of tenants' limits"

var (
	errLeaderChanged = errors.New("another daemon is the leader")
	errUnresponsive  = errors.New("the leader does not answer requests")
	errNoLimits      = errors.New("no tenant or replica has a limit any longer")
)

// runStream keeps a stream to the leader until it breaks, becomes unresponsive or another daemon is
// the leader. It reports whether the leader answered.
func (c *Client) runStream(ctx context.Context, address string) (answered bool, err error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // outlives ctx by the last message
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(lastMessageTimeout, cancel) })()
	dialing, stopDialing := context.WithTimeout(ctx, dialTimeout)
	conn, err := transport.Dial(dialing, address)
	stopDialing()
	if err != nil {
		return false, err
	}
	stream, err := rpc.NewDRPCQuotasClient(conn).Borrow(streamCtx)
	if err != nil {
		_ = conn.Close()
		return false, errors.Wrap(err, "open a quota stream to the leader")
	}
	firstMessage := c.firstMessage()
	receiveErr := make(chan error, 1)
	go func() {
		defer close(receiveErr)
		receiveErr <- c.receiveLoop(stream)
	}()
	err = c.sendLoop(ctx, stream, firstMessage, address, receiveErr)
	cancel()
	_ = conn.Close()
	for range receiveErr { // wait for receiveLoop to end
	}
	return c.handleDisconnect(), err
}

// sendLoop sends messages until the stream breaks or should be closed.
func (c *Client) sendLoop(ctx context.Context, stream rpc.DRPCQuotas_BorrowClient, firstMessage *rpc.QuotaQuestions, address string, receiveErr <-chan error) error {
	if err := stream.Send(firstMessage); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	check := time.NewTicker(syncInterval)
	defer check.Stop()
	lastLimitAt := c.Now()
	for {
		select {
		case <-ctx.Done():
			return cmp.Or(stream.Send(c.lastMessage()), ctx.Err())
		case err := <-receiveErr:
			return err
		case <-check.C:
			if err := c.checkStream(address); err != nil {
				return err
			}
			c.requestSync()
			if now := c.Now(); c.hasLimits() {
				lastLimitAt = now
			} else if now.Sub(lastLimitAt) > unusedStreamTimeout {
				return errNoLimits
			}
			continue
		case <-c.wake:
		case <-heartbeat.C:
		}
		if err := stream.Send(c.message()); err != nil {
			return err
		}
	}
}

// checkStream returns why the stream to an address should be closed, or nil.
func (c *Client) checkStream(address string) error {
	if c.Leader() != address {
		return errLeaderChanged
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.unansweredSince.IsZero() && c.Now().Sub(c.unansweredSince) > unresponsiveTimeout {
		return errUnresponsive
	}
	return nil
}

// firstMessage returns the first message of a stream, which lists the client's credit.
func (c *Client) firstMessage() *rpc.QuotaQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.account.HandleDisconnect()
	c.outbox = outbox{}
	c.sentReports = nil
	message := &rpc.QuotaQuestions{Process: c.processID, Address: c.Address, Zone: c.Zone, Used: c.usage()}
	message.Credits = creditMessages(c.account.ReportCredits(c.Now()))
	message.Reservations = reservationMessages(c.told.Reservations(c.Now()))
	c.unansweredSince = c.Now()
	return message
}

// message returns a message that follows the first one of a stream, with the contents of the outbox.
func (c *Client) message() *rpc.QuotaQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := &rpc.QuotaQuestions{Used: c.usage()}
	for _, request := range c.outbox.requests {
		message.Questions = append(message.Questions, &rpc.QuotaQuestion{Id: request.ID, Tenant: request.Tenant, Cost: request.Cost, Claim: claimMessage(request.Claim)})
	}
	for _, refund := range c.outbox.refunds {
		message.Refunds = append(message.Refunds, &rpc.QuotaRefund{Tenant: refund.Tenant, Cost: refund.Cost, Slot: refund.Slot})
	}
	for _, request := range c.outbox.permits {
		message.Questions = append(message.Questions, request.message())
	}
	for _, replica := range c.outbox.unusedPermits {
		message.Refunds = append(message.Refunds, &rpc.QuotaRefund{Replica: rpc.IncarnationMessage(replica)})
	}
	message.Returned = creditMessages(c.outbox.returned)
	c.addSync(message)
	c.outbox = outbox{}
	return message
}

// creditMessages converts credit to its wire format.
func creditMessages(credits []quota.Credit) []*rpc.QuotaCredit {
	messages := make([]*rpc.QuotaCredit, 0, len(credits))
	for _, credit := range credits {
		messages = append(messages, &rpc.QuotaCredit{Tenant: credit.Tenant, Left: credit.Left, ForMs: credit.TTL.Milliseconds()})
	}
	return messages
}

// usage returns the credit used since the last report. The caller holds the mutex.
func (c *Client) usage() []*rpc.QuotaCost {
	var costs []*rpc.QuotaCost
	number, usage := c.account.ReportUsage()
	c.sentReports = append(c.sentReports, number)
	for tenant, cost := range usage {
		costs = append(costs, &rpc.QuotaCost{Tenant: tenant, Cost: cost})
	}
	return costs
}

// receiveLoop handles answers until the stream breaks.
func (c *Client) receiveLoop(stream rpc.DRPCQuotas_BorrowClient) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		c.handleAnswers(message, c.Now())
	}
}

// handleAnswers applies a message of the leader.
func (c *Client) handleAnswers(message *rpc.QuotaAnswers, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isNew := !c.isConnected
	if isNew {
		c.isConnected = true
		c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyLeader, logging.Fence: message.GetFence()}).Info(logging.MessageDependencyRegained)
	}
	c.fence = message.GetFence()
	c.lastAnswerAt = now
	c.localShares.Reset()
	if len(c.sentReports) > 0 { // each message gets one reply
		c.account.ConfirmReport(c.sentReports[0])
		c.sentReports = c.sentReports[1:]
	}
	for _, result := range message.GetAnswers() {
		answer, ok := answerOf(result)
		if !ok {
			c.count(outcomeMalformed, 1)
		}
		c.applyAnswer(answer, now)
		if waiting := c.waiting[answer.ID]; waiting != nil {
			waiting <- leaderAnswer{Answer: answer, fence: c.fence, delay: time.Duration(result.GetInMs()) * time.Millisecond}
			delete(c.waiting, answer.ID)
		}
	}
	c.unansweredSince = time.Time{}
	if len(c.waiting) > 0 {
		c.unansweredSince = now
	}
	c.followStandby(message, isNew, now)
	if !message.GetCallIn() {
		return
	}
	if returned := c.account.ReturnCredits(now); len(returned) > 0 {
		c.outbox.returned = append(c.outbox.returned, returned...)
		c.signal()
	}
}

// applyAnswer applies an answer and refunds a grant whose request has stopped waiting. Permits are
// not refunded, since their reserved time passes soon. The caller holds the mutex.
func (c *Client) applyAnswer(answer quota.Answer, now time.Time) {
	isPermit := c.pendingPermits[answer.ID]
	delete(c.pendingPermits, answer.ID)
	if unused := c.account.ApplyAnswer(answer, now); unused != nil && !isPermit {
		c.outbox.refunds = append(c.outbox.refunds, *unused)
	}
}

// handleDisconnect ends the wait of all requests and reports whether the leader had answered on this
// connection.
func (c *Client) handleDisconnect() (answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answered = c.isConnected
	c.isConnected, c.unansweredSince = false, time.Time{}
	close(c.disconnected)
	c.disconnected = make(chan struct{})
	clear(c.waiting)
	clear(c.pendingPermits)
	c.account.HandleDisconnect()
	return answered
}
