package home

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/rpc"
)

// Ask is a request for a slot.
type SlotRequest struct {
	RequestID string
	Model     string   // base model
	Regions   []string // where the model is served
	Target    string
	Branch    string
	Class     request.Class
	Tokens    int    // asked for, prompt and answer
	Prefix    uint64 // engine.PrefixHash of the prompt
	Arrived   time.Time
	Deadline  time.Time
}

// Slot is the right to dispatch once to an engine. It must be released.
type Slot struct {
	ReplicaID string
	EngineID  string
	Address   string
	HomeID    string
	Waited    time.Duration // in the queue, by the home's clock
	client    *Client
	ask       *ask
	released  bool
}

// Client asks homes for slots on behalf of a gateway.
type Client struct {
	gatewayID string
	zone      string
	view      func() *membership.View
	local     *Server
	log       logrus.FieldLogger

	mutex sync.Mutex
	asks  map[string]*ask // by request id
	links map[string]*link
	ctx   context.Context
	stop  context.CancelFunc
}

// ask is a request in the client's hands, until its slot is released.
type ask struct {
	SlotRequest
	homeID    string
	granted   bool
	replicaID string
	outcome   chan outcome // of size one
}

// outcome is a grant or a refusal.
type outcome struct {
	grant   *rpc.Grant
	refusal *failure.Error
}

// NewClient returns the client of a gateway; local is the home server in the same
// process, which is reached without the network.
func NewClient(gatewayID, zone string, view func() *membership.View, local *Server, log logrus.FieldLogger) *Client {
	ctx, stop := context.WithCancel(context.Background())
	return &Client{
		gatewayID: gatewayID, zone: zone, view: view, local: local, log: log,
		asks: map[string]*ask{}, links: map[string]*link{}, ctx: ctx, stop: stop,
	}
}

// Close ends all links.
func (c *Client) Close() { c.stop() }

// errNoHome is the refusal when no daemon runs where the model is served.
func errNoHome(ask SlotRequest) *failure.Error {
	return failure.New(failure.NoCapacity, "try again shortly; if it persists, see `finchspoke status` for live daemons",
		"no daemon runs in a region that serves %s", ask.Model).WithRetryAfter(time.Second)
}

// Acquire waits for a slot. It fails with a *failure.Error when the home refuses,
// and with the error of ctx when that ends first; either way nothing ran.
func (c *Client) Acquire(ctx context.Context, wanted SlotRequest) (*Slot, error) {
	waiting := &ask{SlotRequest: wanted, outcome: make(chan outcome, 1)}
	c.mutex.Lock()
	home, found := c.view().Home(wanted.Model, wanted.Regions)
	if !found {
		c.mutex.Unlock()
		return nil, errNoHome(wanted)
	}
	c.asks[wanted.RequestID] = waiting
	c.submit(waiting, home)
	c.mutex.Unlock()
	select {
	case decided := <-waiting.outcome:
		return c.slot(waiting, decided)
	case <-ctx.Done():
	}
	c.mutex.Lock()
	if !waiting.granted {
		c.send(waiting.homeID, cancelOf(waiting))
		delete(c.asks, wanted.RequestID)
	}
	c.mutex.Unlock()
	// A grant may have come just now; it is given back.
	select {
	case decided := <-waiting.outcome:
		if slot, err := c.slot(waiting, decided); err == nil {
			slot.Release(false, 0)
		}
	default:
	}
	return nil, ctx.Err()
}

func cancelOf(waiting *ask) *rpc.GatewayMessage {
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Cancel{
		Cancel: &rpc.Cancel{RequestId: waiting.RequestID, BaseModel: waiting.Model}}}
}

func (c *Client) slot(waiting *ask, decided outcome) (*Slot, error) {
	if decided.refusal != nil {
		return nil, decided.refusal
	}
	return &Slot{
		ReplicaID: decided.grant.GetReplicaId(), EngineID: decided.grant.GetEngineId(), Address: decided.grant.GetAddress(), HomeID: waiting.homeID,
		Waited: time.Duration(decided.grant.GetWaitedMs()) * time.Millisecond, client: c, ask: waiting,
	}, nil
}

// Release gives the slot back. service is how long the request ran, zero if it
// did not; engineFailed keeps the replica from more work for a while.
func (s *Slot) Release(engineFailed bool, service time.Duration) {
	c := s.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s.released {
		return
	}
	s.released = true
	delete(c.asks, s.ask.RequestID)
	c.send(s.ask.homeID, releaseOf(s.ask, engineFailed, service))
}

func releaseOf(held *ask, engineFailed bool, service time.Duration) *rpc.GatewayMessage {
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Release{Release: &rpc.Release{
		RequestId: held.RequestID, BaseModel: held.Model, EngineFailed: engineFailed, ServiceMs: service.Milliseconds()}}}
}

// submit sends an ask to a home; the mutex is held.
func (c *Client) submit(waiting *ask, home membership.Member) {
	waiting.homeID = home.ID
	c.link(home)
	c.send(home.ID, submitOf(c.zone, waiting))
}

func submitOf(zone string, waiting *ask) *rpc.GatewayMessage {
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Submit{Submit: &rpc.Submit{
		RequestId: waiting.RequestID, BaseModel: waiting.Model, Target: waiting.Target, Branch: waiting.Branch,
		Class: uint32(waiting.Class), DeadlineInMs: time.Until(waiting.Deadline).Milliseconds(),
		AgeMs: time.Since(waiting.Arrived).Milliseconds(), Zone: zone,
		Tokens: uint32(waiting.Tokens), Prefix: waiting.Prefix,
	}}}
}

// send hands a message to the link to a home, if it is open.
func (c *Client) send(homeID string, message *rpc.GatewayMessage) {
	if open := c.links[homeID]; open != nil {
		open.send(message)
	}
}

// MembersChanged moves asks whose home is another member now.
func (c *Client) MembersChanged(view *membership.View) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	used := map[string]bool{}
	for _, held := range c.asks {
		home, found := view.Home(held.Model, held.Regions)
		if !found || home.ID == held.homeID {
			used[held.homeID] = true // the last daemon of a region serves to its end
			continue
		}
		if held.granted {
			c.send(held.homeID, releaseOf(held, false, 0))
			held.homeID = home.ID
			c.link(home)
			c.send(home.ID, &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Restore{Restore: runningMessage(held)}})
			continue
		}
		c.send(held.homeID, cancelOf(held))
		c.submit(held, home)
	}
	for id, open := range c.links {
		if member, known := view.Member(id); !used[id] && (!known || !member.Running()) {
			open.close()
			delete(c.links, id)
		}
	}
}

func helloOf(gatewayID string, running ...*ask) *rpc.GatewayMessage {
	hello := &rpc.Hello{GatewayId: gatewayID}
	for _, held := range running {
		hello.Running = append(hello.Running, runningMessage(held))
	}
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Hello{Hello: hello}}
}

func runningMessage(held *ask) *rpc.Running {
	return &rpc.Running{RequestId: held.RequestID, BaseModel: held.Model, Target: held.Target, ReplicaId: held.replicaID}
}

// deliver takes a home's message in.
func (c *Client) deliver(homeID string, message *rpc.HomeMessage) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if grant := message.GetGrant(); grant != nil {
		c.takeGrant(homeID, grant)
		return
	}
	refusal := message.GetRefusal()
	waiting := c.asks[refusal.GetRequestId()]
	if waiting == nil || waiting.granted || waiting.homeID != homeID {
		return
	}
	delete(c.asks, waiting.RequestID)
	waiting.outcome <- outcome{refusal: refusalError(refusal)}
}

// takeGrant accepts a grant, or gives it back when the ask is gone, moved to
// another home or granted already.
func (c *Client) takeGrant(homeID string, grant *rpc.Grant) {
	waiting := c.asks[grant.GetRequestId()]
	if waiting == nil || waiting.granted || waiting.homeID != homeID {
		model := ""
		if waiting != nil {
			model = waiting.Model
		}
		stale := &ask{SlotRequest: SlotRequest{RequestID: grant.GetRequestId(), Model: model}}
		c.send(homeID, releaseOf(stale, false, 0))
		return
	}
	waiting.granted = true
	waiting.replicaID = grant.GetReplicaId()
	waiting.outcome <- outcome{grant: grant}
}

var refusalRemedies = map[failure.Kind]string{
	failure.LimitExceeded:    "come back after the time given, or ask your operator to raise max_waiting",
	failure.DeadlineTooShort: "come back after the time given, or allow a longer deadline",
	failure.DeadlineExceeded: "come back after the time given, or allow a longer deadline",
}

func refusalError(refusal *rpc.Refusal) *failure.Error {
	kind := failure.Kind(refusal.GetKind())
	return failure.New(kind, refusalRemedies[kind], "%s", refusal.GetMessage()).
		WithRetryAfter(time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond)
}

// link opens the link to a home unless there is one; the mutex is held.
func (c *Client) link(home membership.Member) {
	if c.links[home.ID] != nil {
		return
	}
	opened := &link{client: c, home: home}
	c.links[home.ID] = opened
	if home.ID == c.gatewayID && c.local != nil {
		opened.attachLocal(c.local)
		return
	}
	opened.ctx, opened.cancel = context.WithCancel(c.ctx)
	go opened.run()
}

// openAsks returns the asks at a home: those that run, and those that wait; the
// mutex is held.
func (c *Client) openAsks(homeID string) (running, waiting []*ask) {
	for _, held := range c.asks {
		switch {
		case held.homeID != homeID:
		case held.granted:
			running = append(running, held)
		default:
			waiting = append(waiting, held)
		}
	}
	return running, waiting
}
