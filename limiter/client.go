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
	beatPause = 2 * time.Second
	// connectPause is the time between tries to reach a holder.
	connectPause = 100 * time.Millisecond
	// connectPauseMost bounds the pause, which doubles with each try without an answer: 300
	// daemons try at once where a holder is not sure of its term.
	connectPauseMost = 400 * time.Millisecond
	connectTime      = 500 * time.Millisecond
	// silentTime ends a stream on which questions got no answer for so long.
	silentTime = time.Second
	// unneededTime is how long a stream stands on which nothing has to be asked any more: replicas name
	// limits for a while, and again. A thousand streams that stood for ever cost the holder 500 messages a
	// second.
	unneededTime = 10 * time.Second
)

// Client asks the holder for each request of a tenant. It is a suture service.
type Client struct {
	Bounds quota.Bounds
	// Holder returns the address of the holder; empty: none is known.
	Leader func() string
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

	process string
	mutex   sync.Mutex
	account *quota.Account
	waiting map[uint64]chan told // questions whose requests wait
	outbox  outbox
	wake    chan struct{} // holds an element while there is something to send
	// connected is closed when the holder is lost; another channel then takes its place.
	connected chan struct{}
	isUp      bool
	fence     int64
	// reports are the numbers of the account's reports that went with messages without a reply.
	reports []uint64
	// silentSince is when the first question was sent that has no answer; zero: none.
	silentSince time.Time
	// permitsAsked are the questions for permits without an answer.
	permitsAsked map[uint64]bool
	shares       *permit.LocalShares
	heardAt      time.Time // when a holder last answered, or none was needed
}

// outbox is what goes with the next message.
type outbox struct {
	questions []quota.Request
	refunds   []quota.Refund
	returned  []quota.Credit
	permits   []permitQuestion
	unused    []fleet.Incarnation // replicas for which permits were not used
}

// Prepare makes the client ready for use.
func (c *Client) Prepare() {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.process = uuid.NewString()
	c.account = quota.NewAccount(c.Bounds)
	c.waiting = map[uint64]chan told{}
	c.permitsAsked = map[uint64]bool{}
	c.shares = permit.NewLocalShares(rand.Float64)
	c.heardAt = c.Now()
	c.wake = make(chan struct{}, 1)
	c.connected = make(chan struct{})
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
	pause := connectPause
	for ctx.Err() == nil {
		isNeeded := c.isNeeded()
		if !isNeeded {
			c.notNeeded()
		}
		if address := c.Leader(); address != "" && isNeeded {
			answered, err := c.borrow(ctx, address)
			if answered {
				pause = connectPause
				c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyHolder, logging.Address: address, logging.Cause: err.Error()}).Info(logging.MessageDependencyLost)
			} else {
				pause = min(2*pause, connectPauseMost)
			}
		}
		sleep.For(ctx, pause)
	}
	return ctx.Err()
}

// isNeeded tells whether there is anything to be asked.
func (c *Client) isNeeded() bool { return c.HasLimits == nil || c.HasLimits() }

// notNeeded notes that no holder is asked now, so that none is missed.
func (c *Client) notNeeded() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.heardAt = c.Now()
}

// dependencyHolder names the holder in log lines.
const dependencyHolder = "holder of tenants' limits"

var (
	errOther    = errors.New("another daemon holds the term")
	errSilent   = errors.New("the holder answers no questions")
	errUnneeded = errors.New("no tenant and no replica has a limit any more")
)

// borrow keeps a stream to a holder until it breaks, falls silent or is that of another one,
// and tells whether the holder answered.
func (c *Client) borrow(ctx context.Context, address string) (answered bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialing, done := context.WithTimeout(ctx, connectTime)
	conn, err := transport.Dial(dialing, address)
	done()
	if err != nil {
		return false, err
	}
	stream, err := rpc.NewDRPCQuotasClient(conn).Borrow(ctx)
	if err != nil {
		_ = conn.Close()
		return false, errors.Wrap(err, "ask the holder of tenants' limits")
	}
	hello := c.hello()
	failed := make(chan error, 1)
	go func() {
		defer close(failed)
		failed <- c.listen(stream)
	}()
	err = c.talk(ctx, stream, hello, address, failed)
	cancel()
	_ = conn.Close()
	for range failed { // until no answer can come any more
	}
	return c.down(), err
}

// talk sends what is to be said until the stream breaks or the holder is not to be asked any
// more.
func (c *Client) talk(ctx context.Context, stream rpc.DRPCQuotas_BorrowClient, hello *rpc.QuotaQuestions, address string, failed <-chan error) error {
	if err := stream.Send(hello); err != nil {
		return err
	}
	beat := time.NewTicker(beatPause)
	defer beat.Stop()
	check := time.NewTicker(connectPause)
	defer check.Stop()
	neededAt := c.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-check.C:
			if err := c.unfit(address); err != nil {
				return err
			}
			if now := c.Now(); c.isNeeded() {
				neededAt = now
			} else if now.Sub(neededAt) > unneededTime {
				return errUnneeded
			}
			continue
		case <-c.wake:
		case <-beat.C:
		}
		if err := stream.Send(c.message()); err != nil {
			return err
		}
	}
}

// unfit tells why the holder at an address is not to be asked any more; nil: it is.
func (c *Client) unfit(address string) error {
	if c.Leader() != address {
		return errOther
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.silentSince.IsZero() && c.Now().Sub(c.silentSince) > silentTime {
		return errSilent
	}
	return nil
}

// hello makes the first message of a stream.
func (c *Client) hello() *rpc.QuotaQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.account.HandleDisconnect()
	c.outbox = outbox{}
	c.reports = nil
	message := &rpc.QuotaQuestions{Process: c.process, Used: c.used()}
	message.Credits = messageOf(c.account.Credits(c.Now()))
	c.silentSince = c.Now()
	return message
}

// message makes a further message.
func (c *Client) message() *rpc.QuotaQuestions {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	message := &rpc.QuotaQuestions{Used: c.used()}
	for _, question := range c.outbox.questions {
		message.Questions = append(message.Questions, &rpc.QuotaQuestion{Id: question.ID, Tenant: question.Tenant, Cost: question.Cost})
	}
	for _, refund := range c.outbox.refunds {
		message.Refunds = append(message.Refunds, &rpc.QuotaRefund{Tenant: refund.Tenant, Cost: refund.Cost, Slot: refund.Slot})
	}
	for _, question := range c.outbox.permits {
		message.Questions = append(message.Questions, question.message())
	}
	for _, replica := range c.outbox.unused {
		message.Refunds = append(message.Refunds, &rpc.QuotaRefund{Replica: rpc.IncarnationMessage(replica)})
	}
	message.Returned = messageOf(c.outbox.returned)
	c.outbox = outbox{}
	return message
}

// messageOf writes credit as it is told to the holder.
func messageOf(credits []quota.Credit) []*rpc.QuotaCredit {
	all := make([]*rpc.QuotaCredit, 0, len(credits))
	for _, credit := range credits {
		all = append(all, &rpc.QuotaCredit{Tenant: credit.Tenant, Left: credit.Left, ForMs: credit.TTL.Milliseconds()})
	}
	return all
}

// used lists what was used of credit lent ahead, for the next message; the mutex is held.
func (c *Client) used() []*rpc.QuotaCost {
	var all []*rpc.QuotaCost
	number, used := c.account.ReportUsage()
	c.reports = append(c.reports, number)
	for tenant, cost := range used {
		all = append(all, &rpc.QuotaCost{Tenant: tenant, Cost: cost})
	}
	return all
}

// listen takes in answers until the stream breaks.
func (c *Client) listen(stream rpc.DRPCQuotas_BorrowClient) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		c.take(message, c.Now())
	}
}

// take takes in a message of the holder.
func (c *Client) take(message *rpc.QuotaAnswers, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isUp {
		c.isUp = true
		c.Log.WithFields(logrus.Fields{logging.Dependency: dependencyHolder, logging.Fence: message.GetFence()}).Info(logging.MessageDependencyRegained)
	}
	c.fence = message.GetFence()
	c.heardAt = now
	c.shares.Reset()
	if len(c.reports) > 0 { // each message gets one reply
		c.account.ConfirmReport(c.reports[0])
		c.reports = c.reports[1:]
	}
	for _, one := range message.GetAnswers() {
		answer := quota.Answer{
			ID: one.GetId(), Granted: one.GetGranted(), Unknown: one.GetUnknown(), RetryIn: time.Duration(one.GetRetryMs()) * time.Millisecond,
			Slot: one.GetSlot(), Renewed: one.GetRenewed(), Ahead: one.GetAhead(), Unsettled: one.GetUnsettled(),
		}
		c.settle(answer, now)
		if waiting := c.waiting[answer.ID]; waiting != nil {
			waiting <- told{Answer: answer, fence: c.fence, in: time.Duration(one.GetInMs()) * time.Millisecond}
			delete(c.waiting, answer.ID)
		}
	}
	c.silentSince = time.Time{}
	if len(c.waiting) > 0 {
		c.silentSince = now
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
func (c *Client) settle(answer quota.Answer, now time.Time) {
	isPermit := c.permitsAsked[answer.ID]
	delete(c.permitsAsked, answer.ID)
	if unused := c.account.ApplyAnswer(answer, now); unused != nil && !isPermit {
		c.outbox.refunds = append(c.outbox.refunds, *unused)
	}
}

// down notes that the holder is lost: what waits for it uses credit, or waits for the next. It
// tells whether the holder had answered.
func (c *Client) down() (answered bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answered = c.isUp
	c.isUp, c.silentSince = false, time.Time{}
	close(c.connected)
	c.connected = make(chan struct{})
	clear(c.waiting)
	clear(c.permitsAsked)
	c.account.HandleDisconnect()
	return answered
}
