package limiter

import (
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
	// beatPause is the time between messages of a daemon that asks nothing, so that the holder
	// knows that credit which has lapsed was not used.
	heartbeatInterval = 2 * time.Second
	// connectPause is the time between tries to reach a holder.
	reconnectDelay = 100 * time.Millisecond
	// connectPauseMost bounds the pause, which doubles with each try without an answer: 300
	// daemons try at once where a holder is not sure of its term.
	maxReconnectDelay = 400 * time.Millisecond
	dialTimeout       = 500 * time.Millisecond
	// silentTime ends a stream on which questions got no answer for so long.
	unresponsiveTimeout = time.Second
	// unusedStreamTimeout is how long a stream stands on which nothing has to be asked any more: replicas name
	// limits for a while, and again. A thousand streams that stood for ever cost the holder 500 messages a
	// second.
	unusedStreamTimeout = 10 * time.Second
)

// Client asks the holder for each request of a tenant. It is a suture service.
type Client struct {
	Bounds quota.Bounds
	// Holder returns the address of the holder; empty: none is known.
	Holder func() string
	// Needed tells whether a tenant has a limit; nil: one has. Where none has, a thousand daemons
	// need no stream to the holder.
	HasLimits func() bool
	// Now is the clock of credit; nil: time.Now.
	Now func() time.Time
	// Daemons returns how many daemons share replicas' limits; nil, or zero: not known.
	Daemons func() int
	// Count counts the questions for permits by where the answer came from; nil: nobody counts.
	CountPermit func(source, outcome string)
	Log         logrus.FieldLogger

	processID string
	mutex     sync.Mutex
	account   *quota.Account
	waiting   map[uint64]chan leaderAnswer // questions whose requests wait
	outbox    outbox
	wake      chan struct{} // holds an element while there is something to send
	// connected is closed when the holder is lost; another channel then takes its place.
	disconnected chan struct{}
	isConnected  bool
	fence        int64
	// reports are the numbers of the account's reports that went with messages without a reply.
	sentReports []uint64
	// unansweredSince is when the first question was sent that has no answer; zero: none.
	unansweredSince time.Time
	// pendingPermits are the questions for permits without an answer.
	pendingPermits map[uint64]bool
	localShares    *permit.LocalShares
	lastAnswerAt   time.Time // when a holder last answered, or none was needed
}

// outbox is what goes with the next message.
type outbox struct {
	requests      []quota.Request
	refunds       []quota.Refund
	returned      []quota.Credit
	permits       []permitRequest
	unusedPermits []fleet.Incarnation // replicas for which permits were not used
}

// Prepare makes the client ready for use.
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
	delay := reconnectDelay
	for ctx.Err() == nil {
		hasLimits := c.hasLimits()
		if !hasLimits {
			c.recordNoLimits()
		}
		if address := c.Holder(); address != "" && hasLimits {
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

// hasLimits tells whether there is anything to be asked.
func (c *Client) hasLimits() bool { return c.HasLimits == nil || c.HasLimits() }

// recordNoLimits notes that no holder is asked now, so that none is missed.
func (c *Client) recordNoLimits() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastAnswerAt = c.Now()
}

// dependencyLeader names the holder in log lines.
const dependencyLeader = "holder of tenants' limits"

var (
	errLeaderChanged = errors.New("another daemon holds the term")
	errUnresponsive  = errors.New("the holder answers no questions")
	errNoLimits      = errors.New("no tenant and no replica has a limit any more")
)

// borrow keeps a stream to a holder until it breaks, falls silent or is that of another one,
// and tells whether the holder answered.
func (c *Client) runStream(ctx context.Context, address string) (answered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialing, stopDialing := context.WithTimeout(ctx, dialTimeout)
	conn, err := transport.Dial(dialing, address)
	stopDialing()
	if err != nil {
		return false, err
	}
	stream, err := rpc.NewDRPCQuotasClient(conn).Borrow(ctx)
	if err != nil {
		_ = conn.Close()
		return false, errors.Wrap(err, "ask the holder of tenants' limits")
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
	for range receiveErr { // until no answer can come any more
	}
	return c.handleDisconnect(), err
}

// talk sends what is to be said until the stream breaks or the holder is not to be asked any
// more.
func (c *Client) sendLoop(ctx context.Context, stream rpc.DRPCQuotas_BorrowClient, firstMessage *rpc.QuotaQuestions, address string, receiveErr <-chan error) error {
	if err := stream.Send(firstMessage); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	check := time.NewTicker(reconnectDelay)
	defer check.Stop()
	lastLimitAt := c.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-receiveErr:
			return err
		case <-check.C:
			if err := c.checkStream(address); err != nil {
				return err
			}
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

// unfit tells why the holder at an address is not to be asked any more; nil: it is.
func (c *Client) checkStream(address string) error {
	if c.Holder() != address {
		return errLeaderChanged
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.unansweredSince.IsZero() && c.Now().Sub(c.unansweredSince) > unresponsiveTimeout {
		return errUnresponsive
	}
	return nil
}

// hello makes the first message of a stream.
func (c *Client) firstMessage() *rpc.QuotaQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.account.HandleDisconnect()
	c.outbox = outbox{}
	c.sentReports = nil
	message := &rpc.QuotaQuestions{Process: c.processID, Used: c.usage()}
	message.Credits = creditMessages(c.account.Credits(c.Now()))
	c.unansweredSince = c.Now()
	return message
}

// message makes a further message.
func (c *Client) message() *rpc.QuotaQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := &rpc.QuotaQuestions{Used: c.usage()}
	for _, request := range c.outbox.requests {
		message.Questions = append(message.Questions, &rpc.QuotaQuestion{Id: request.ID, Tenant: request.Tenant, Cost: request.Cost})
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
	c.outbox = outbox{}
	return message
}

// creditMessages writes credit as it is told to the holder.
func creditMessages(credits []quota.Credit) []*rpc.QuotaCredit {
	messages := make([]*rpc.QuotaCredit, 0, len(credits))
	for _, credit := range credits {
		messages = append(messages, &rpc.QuotaCredit{Tenant: credit.Tenant, Left: credit.Left, ForMs: credit.TTL.Milliseconds()})
	}
	return messages
}

// used lists what was used of credit lent ahead, for the next message; the mutex is held.
func (c *Client) usage() []*rpc.QuotaCost {
	var costs []*rpc.QuotaCost
	number, usage := c.account.ReportUsage()
	c.sentReports = append(c.sentReports, number)
	for tenant, cost := range usage {
		costs = append(costs, &rpc.QuotaCost{Tenant: tenant, Cost: cost})
	}
	return costs
}

// listen takes in answers until the stream breaks.
func (c *Client) receiveLoop(stream rpc.DRPCQuotas_BorrowClient) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		c.handleAnswers(message, c.Now())
	}
}

// take takes in a message of the holder.
func (c *Client) handleAnswers(message *rpc.QuotaAnswers, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isConnected {
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
	for _, one := range message.GetAnswers() {
		answer := quota.Answer{
			ID: one.GetId(), Granted: one.GetGranted(), Unknown: one.GetUnknown(), RetryIn: time.Duration(one.GetRetryMs()) * time.Millisecond,
			Slot: one.GetSlot(), Renewed: one.GetRenewed(), Ahead: one.GetAhead(), Unsettled: one.GetUnsettled(),
		}
		c.applyAnswer(answer, now)
		if waiting := c.waiting[answer.ID]; waiting != nil {
			waiting <- leaderAnswer{Answer: answer, fence: c.fence, delay: time.Duration(one.GetInMs()) * time.Millisecond}
			delete(c.waiting, answer.ID)
		}
	}
	c.unansweredSince = time.Time{}
	if len(c.waiting) > 0 {
		c.unansweredSince = now
	}
	if !message.GetCallIn() {
		return
	}
	if returned := c.account.ReturnCredits(now); len(returned) > 0 {
		c.outbox.returned = append(c.outbox.returned, returned...)
		c.signal()
	}
}

// settle takes in an answer, and gives back what it grants to a request that waits no longer, unless that
// is a turn, which passes; the mutex is held.
func (c *Client) applyAnswer(answer quota.Answer, now time.Time) {
	isPermit := c.pendingPermits[answer.ID]
	delete(c.pendingPermits, answer.ID)
	if unused := c.account.ApplyAnswer(answer, now); unused != nil && !isPermit {
		c.outbox.refunds = append(c.outbox.refunds, *unused)
	}
}

// down notes that the holder is lost: what waits for it uses credit, or waits for the next. It
// tells whether the holder had answered.
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
