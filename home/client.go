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

// SlotRequest asks a home daemon for a slot on a replica.
type SlotRequest struct {
	RequestID string
	Model     string   // base model
	Regions   []string // in which the model is served
	Target    string
	Branch    string
	Class     request.Class
	Tokens    int    // requested, for prompt and response
	Prefix    uint64 // engine.PrefixHash of the prompt
	Arrived   time.Time
	Deadline  time.Time
}

// Slot permits one dispatch to a replica. It must be released.
type Slot struct {
	ReplicaID   string
	EngineID    string
	Address     string
	HomeID      string
	Waited      time.Duration // time in the queue, by the home daemon's clock
	client      *Client
	acquisition *acquisition
	released    bool
}

// Client acquires slots from home daemons for a gateway.
type Client struct {
	gatewayID string
	zone      string
	view      func() *membership.View
	local     *Server
	log       logrus.FieldLogger

	mutex        sync.Mutex
	acquisitions map[string]*acquisition // by request id
	links        map[string]*link
	ctx          context.Context
	stop         context.CancelFunc
}

// acquisition is a slot request that waits, or whose slot is not released yet.
type acquisition struct {
	SlotRequest
	homeID    string
	granted   bool
	replicaID string
	outcome   chan outcome // has capacity one, so that sends do not block
}

// outcome is a grant or a refusal.
type outcome struct {
	grant   *rpc.Grant
	refusal *failure.Error
}

// NewClient returns the client of a gateway. It reaches local, the home server in the same
// process, without the network.
func NewClient(gatewayID, zone string, view func() *membership.View, local *Server, log logrus.FieldLogger) *Client {
	ctx, stop := context.WithCancel(context.Background())
	return &Client{
		gatewayID: gatewayID, zone: zone, view: view, local: local, log: log,
		acquisitions: map[string]*acquisition{}, links: map[string]*link{}, ctx: ctx, stop: stop,
	}
}

// Close closes the links to all homes.
func (c *Client) Close() { c.stop() }

// noHomeError is returned when no daemon runs in a region that serves the model.
func noHomeError(slotRequest SlotRequest) *failure.Error {
	return failure.New(failure.NoCapacity, "retry after the given time; if the error persists, list the running daemons with `finchspoke status`",
		"no daemon runs in a region that serves %s", slotRequest.Model).WithRetryAfter(time.Second)
}

// Acquire waits for a slot. It returns a *failure.Error if the home refuses the request,
// and the error of ctx if that ends first; in both cases the request has not run.
func (c *Client) Acquire(ctx context.Context, slotRequest SlotRequest) (*Slot, error) {
	pending := &acquisition{SlotRequest: slotRequest, outcome: make(chan outcome, 1)}
	c.mutex.Lock()
	home, found := c.view().Home(slotRequest.Model, slotRequest.Regions)
	if !found {
		c.mutex.Unlock()
		return nil, noHomeError(slotRequest)
	}
	c.acquisitions[slotRequest.RequestID] = pending
	c.submit(pending, home)
	c.mutex.Unlock()
	select {
	case result := <-pending.outcome:
		return c.slot(pending, result)
	case <-ctx.Done():
	}
	c.mutex.Lock()
	if !pending.granted {
		c.send(pending.homeID, cancelMessage(pending))
		delete(c.acquisitions, slotRequest.RequestID)
	}
	c.mutex.Unlock()
	// A grant may have arrived before the cancellation; it must be released.
	select {
	case result := <-pending.outcome:
		if slot, err := c.slot(pending, result); err == nil {
			slot.Release(false, 0)
		}
	default:
	}
	return nil, ctx.Err()
}

func cancelMessage(pending *acquisition) *rpc.GatewayMessage {
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Cancel{
		Cancel: &rpc.Cancel{RequestId: pending.RequestID, BaseModel: pending.Model}}}
}

func (c *Client) slot(pending *acquisition, result outcome) (*Slot, error) {
	if result.refusal != nil {
		return nil, result.refusal
	}
	return &Slot{
		ReplicaID: result.grant.GetReplicaId(), EngineID: result.grant.GetEngineId(), Address: result.grant.GetAddress(), HomeID: pending.homeID,
		Waited: time.Duration(result.grant.GetWaitedMs()) * time.Millisecond, client: c, acquisition: pending,
	}, nil
}

// Release frees the slot. serviceTime is how long the request ran, zero if it did not
// run; engineFailed makes the home suspend the replica.
func (s *Slot) Release(engineFailed bool, serviceTime time.Duration) {
	c := s.client
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s.released {
		return
	}
	s.released = true
	delete(c.acquisitions, s.acquisition.RequestID)
	c.send(s.acquisition.homeID, releaseMessage(s.acquisition, engineFailed, serviceTime))
}

func releaseMessage(pending *acquisition, engineFailed bool, serviceTime time.Duration) *rpc.GatewayMessage {
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Release{Release: &rpc.Release{
		RequestId: pending.RequestID, BaseModel: pending.Model, EngineFailed: engineFailed, ServiceMs: serviceTime.Milliseconds()}}}
}

// submit sends a slot request to a home; the caller holds the mutex.
func (c *Client) submit(pending *acquisition, home membership.Member) {
	pending.homeID = home.ID
	c.link(home)
	c.send(home.ID, submitMessage(c.zone, pending))
}

func submitMessage(zone string, pending *acquisition) *rpc.GatewayMessage {
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Submit{Submit: &rpc.Submit{
		RequestId: pending.RequestID, BaseModel: pending.Model, Target: pending.Target, Branch: pending.Branch,
		Class: uint32(pending.Class), DeadlineInMs: time.Until(pending.Deadline).Milliseconds(),
		AgeMs: time.Since(pending.Arrived).Milliseconds(), Zone: zone,
		Tokens: uint32(pending.Tokens), Prefix: pending.Prefix,
	}}}
}

// send queues a message on the link to a home, if there is one.
func (c *Client) send(homeID string, message *rpc.GatewayMessage) {
	if opened := c.links[homeID]; opened != nil {
		opened.send(message)
	}
}

// MembersChanged moves acquisitions whose home has changed to the new home, and closes
// the links to members that no longer run.
func (c *Client) MembersChanged(view *membership.View) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	inUse := map[string]bool{}
	for _, pending := range c.acquisitions {
		home, found := view.Home(pending.Model, pending.Regions)
		if !found || home.ID == pending.homeID {
			inUse[pending.homeID] = true // without a new home, the previous one stays in use
			continue
		}
		if pending.granted {
			c.send(pending.homeID, releaseMessage(pending, false, 0))
			pending.homeID = home.ID
			c.link(home)
			c.send(home.ID, &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Restore{Restore: runningMessage(pending)}})
			continue
		}
		c.send(pending.homeID, cancelMessage(pending))
		c.submit(pending, home)
	}
	for id, open := range c.links {
		if member, known := view.Member(id); !inUse[id] && (!known || !member.Running()) {
			open.close()
			delete(c.links, id)
		}
	}
}

func helloMessage(gatewayID string, running ...*acquisition) *rpc.GatewayMessage {
	hello := &rpc.Hello{GatewayId: gatewayID}
	for _, pending := range running {
		hello.Running = append(hello.Running, runningMessage(pending))
	}
	return &rpc.GatewayMessage{Kind: &rpc.GatewayMessage_Hello{Hello: hello}}
}

func runningMessage(pending *acquisition) *rpc.Running {
	return &rpc.Running{RequestId: pending.RequestID, BaseModel: pending.Model, Target: pending.Target, ReplicaId: pending.replicaID}
}

// handle processes a message from a home.
func (c *Client) handle(homeID string, message *rpc.HomeMessage) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if grant := message.GetGrant(); grant != nil {
		c.handleGrant(homeID, grant)
		return
	}
	refusal := message.GetRefusal()
	pending := c.acquisitions[refusal.GetRequestId()]
	if pending == nil || pending.granted || pending.homeID != homeID {
		return
	}
	delete(c.acquisitions, pending.RequestID)
	pending.outcome <- outcome{refusal: refusalError(refusal)}
}

// handleGrant accepts a grant, or releases it if its request was cancelled, has moved to
// another home or has a grant already.
func (c *Client) handleGrant(homeID string, grant *rpc.Grant) {
	pending := c.acquisitions[grant.GetRequestId()]
	if pending == nil || pending.granted || pending.homeID != homeID {
		model := ""
		if pending != nil {
			model = pending.Model
		}
		stale := &acquisition{SlotRequest: SlotRequest{RequestID: grant.GetRequestId(), Model: model}}
		c.send(homeID, releaseMessage(stale, false, 0))
		return
	}
	pending.granted = true
	pending.replicaID = grant.GetReplicaId()
	pending.outcome <- outcome{grant: grant}
}

var refusalRemedies = map[failure.Kind]string{
	failure.LimitExceeded:    "retry after the given time, or ask your operator to raise max_waiting",
	failure.DeadlineTooShort: "retry after the given time, or allow a longer deadline",
	failure.DeadlineExceeded: "retry after the given time, or allow a longer deadline",
}

func refusalError(refusal *rpc.Refusal) *failure.Error {
	kind := failure.Kind(refusal.GetKind())
	return failure.New(kind, refusalRemedies[kind], "%s", refusal.GetMessage()).
		WithRetryAfter(time.Duration(refusal.GetRetryAfterMs()) * time.Millisecond)
}

// link opens the link to a home if there is none; the caller holds the mutex.
func (c *Client) link(home membership.Member) {
	if c.links[home.ID] != nil {
		return
	}
	opened := &link{client: c, home: home}
	c.links[home.ID] = opened
	if home.ID == c.gatewayID && c.local != nil {
		opened.connectLocal(c.local)
		return
	}
	opened.ctx, opened.cancel = context.WithCancel(c.ctx)
	go opened.run()
}

// openAcquisitions returns the running and the waiting acquisitions of a home; the caller
// holds the mutex.
func (c *Client) openAcquisitions(homeID string) (running, waiting []*acquisition) {
	for _, pending := range c.acquisitions {
		switch {
		case pending.homeID != homeID:
		case pending.granted:
			running = append(running, pending)
		default:
			waiting = append(waiting, pending)
		}
	}
	return running, waiting
}
