// Package home implements home daemons, which queue the requests for the models assigned
// to them, and the client with which gateways acquire slots on replicas. The home decides
// when and where a request runs; the gateway dispatches it. When a home fails, gateways
// submit their waiting requests to its successor.
package home

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/queue"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/settings"
)

const (
	// tickInterval is how often queues are checked for expired items.
	tickInterval = 20 * time.Millisecond
	// idleQueueRetention is how long a queue without requests is retained.
	idleQueueRetention = time.Hour
	// defaultConcurrency applies to models that the current settings do not declare.
	defaultConcurrency = 1
)

// Server runs a daemon's queues. It is a suture service and serves the Home rpc.
type Server struct {
	settings *settings.Store
	view     func() *membership.View
	selfID   string
	log      logrus.FieldLogger

	mutex       sync.Mutex
	queues      map[string]*queue.Queue // by base model
	sessions    map[string]*Session     // by gateway id
	detached    map[string]bool         // disconnected gateways that may still run requests
	dirty       map[string]bool         // base models whose demand changed
	urgent      chan struct{}           // signals demand to report at once
	itemWaiting chan struct{}           // signals that an item waits
}

// NewServer returns a server without queues.
func NewServer(selfID string, store *settings.Store, view func() *membership.View, log logrus.FieldLogger) *Server {
	return &Server{
		settings: store, view: view, selfID: selfID, log: log,
		queues: map[string]*queue.Queue{}, sessions: map[string]*Session{}, detached: map[string]bool{}, dirty: map[string]bool{},
		urgent: make(chan struct{}, 1), itemWaiting: make(chan struct{}, 1),
	}
}

// String names the service in the supervisor's events.
func (s *Server) String() string { return "home" }

// Serve implements suture.Service: it ticks the queues, and pauses while no item waits.
func (s *Server) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			if s.tick(now) > 0 {
				continue
			}
		}
		ticker.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.itemWaiting:
			ticker.Reset(tickInterval)
		}
	}
}

// tick ticks all queues and returns the number of items that still wait.
func (s *Server) tick(now time.Time) (waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for model, q := range s.queues {
		if q.Waiting() == 0 {
			continue
		}
		if actions := q.Tick(now); len(actions) > 0 {
			s.deliverActions(model, actions)
		}
		waiting += q.Waiting()
	}
	return waiting
}

// Session is the server's end of a gateway's link, over the network or in the process.
type Session struct {
	server    *Server
	gatewayID string
	deliver   func(*rpc.HomeMessage)
}

// OpenSession opens a session for a gateway and replaces its earlier one. The server calls
// deliver with its mutex held; it must not block.
func (s *Server) OpenSession(gatewayID string, deliver func(*rpc.HomeMessage)) *Session {
	session := &Session{server: s, gatewayID: gatewayID, deliver: deliver}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sessions[gatewayID] = session
	delete(s.detached, gatewayID)
	return session
}

// Close ends the session and drops the gateway's waiting items, which the gateway submits
// again when it reconnects or to another home.
func (session *Session) Close() {
	s := session.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sessions[session.gatewayID] != session {
		return // a newer session of the gateway has replaced it
	}
	delete(s.sessions, session.gatewayID)
	for _, q := range s.queues {
		q.DropWaiting(session.gatewayID)
	}
	s.detached[session.gatewayID] = true
	s.reconcileDead(s.view())
}

// MembersChanged frees the slots of disconnected gateways that are dead.
func (s *Server) MembersChanged(view *membership.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reconcileDead(view)
}

func (s *Server) reconcileDead(view *membership.View) {
	for gatewayID := range s.detached {
		if member, known := view.Member(gatewayID); known && member.Status != membership.Dead {
			continue // a member that left completes its running requests
		}
		delete(s.detached, gatewayID)
		s.reconcile(gatewayID, nil)
	}
}

// reconcile replaces a gateway's running requests in all queues.
func (s *Server) reconcile(gatewayID string, running []*rpc.Running) {
	byModel := map[string][]queue.Running{}
	for _, entry := range running {
		s.queue(entry.GetBaseModel())
		byModel[entry.GetBaseModel()] = append(byModel[entry.GetBaseModel()], runningRequest(entry))
	}
	now := time.Now()
	for model, q := range s.queues {
		s.deliverActions(model, q.Reconcile(now, gatewayID, byModel[model]))
	}
}

func runningRequest(message *rpc.Running) queue.Running {
	return queue.Running{ID: message.GetRequestId(), Target: message.GetTarget(), ReplicaID: message.GetReplicaId()}
}

// Handle processes a message from the gateway.
func (session *Session) Handle(message *rpc.GatewayMessage) {
	s := session.server
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case message.GetHello() != nil:
		s.reconcile(session.gatewayID, message.GetHello().GetRunning())
	case message.GetRestore() != nil:
		restored := message.GetRestore()
		s.queue(restored.GetBaseModel()).Restore(now, session.gatewayID, runningRequest(restored))
		s.dirty[restored.GetBaseModel()] = true
	case message.GetSubmit() != nil:
		submit := message.GetSubmit()
		q := s.queue(submit.GetBaseModel())
		hadWaiting := q.HasWaiting(submit.GetTarget())
		s.deliverActions(submit.GetBaseModel(), q.Submit(now, s.item(session.gatewayID, submit, now)))
		if q.Waiting() > 0 {
			signal(s.itemWaiting)
		}
		if !hadWaiting && q.HasWaiting(submit.GetTarget()) {
			signal(s.urgent) // the first waiting item is reported at once, further ones within reportInterval
		}
	case message.GetCancel() != nil:
		s.withQueue(message.GetCancel().GetBaseModel(), func(q *queue.Queue) []queue.Action {
			q.Cancel(message.GetCancel().GetRequestId())
			return nil
		})
	case message.GetRelease() != nil:
		release := message.GetRelease()
		s.withQueue(release.GetBaseModel(), func(q *queue.Queue) []queue.Action {
			serviceTime := time.Duration(release.GetServiceMs()) * time.Millisecond
			return q.Release(now, release.GetRequestId(), release.GetEngineFailed(), serviceTime)
		})
	}
}

func (s *Server) withQueue(model string, step func(*queue.Queue) []queue.Action) {
	if q := s.queues[model]; q != nil {
		s.deliverActions(model, step(q))
	}
}

// signal sends to a channel of capacity one without blocking, so that pending signals
// are merged into one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// queue returns the queue of a base model and creates it if needed.
func (s *Server) queue(model string) *queue.Queue {
	q := s.queues[model]
	if q == nil {
		q = queue.New(model, s.concurrency(model))
		s.queues[model] = q
	}
	return q
}

func (s *Server) concurrency(model string) int {
	if current := s.settings.Current(); current != nil {
		if declared := current.Tree.Models[model]; declared != nil {
			return declared.Concurrency
		}
	}
	return defaultConcurrency
}

// item converts a submit message to a queue item, with the share and limits from the
// branch's settings.
func (s *Server) item(gatewayID string, submit *rpc.Submit, now time.Time) queue.Item {
	item := queue.Item{
		ID: submit.GetRequestId(), GatewayID: gatewayID, Target: submit.GetTarget(), Branch: submit.GetBranch(), Share: 1,
		Class: request.Class(min(submit.GetClass(), request.ClassCount-1)), Zone: submit.GetZone(),
		Tokens: int(submit.GetTokens()), Prefix: submit.GetPrefix(),
		Arrived:  now.Add(-time.Duration(submit.GetAgeMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(submit.GetDeadlineInMs()) * time.Millisecond),
	}
	if current := s.settings.Current(); current != nil {
		if branch := current.Tree.Branches[item.Branch]; branch != nil {
			item.Share = branch.Values.Share
			item.Limits = branch.Values.Limits
		}
	}
	return item
}

// deliverActions sends a queue's grants and refusals to the gateways that submitted the
// items.
func (s *Server) deliverActions(model string, actions []queue.Action) {
	s.dirty[model] = true
	for _, action := range actions {
		switch decided := action.(type) {
		case queue.Grant:
			s.send(decided.Item.GatewayID, &rpc.HomeMessage{Kind: &rpc.HomeMessage_Grant{Grant: &rpc.Grant{
				RequestId: decided.Item.ID, ReplicaId: decided.Replica.ID, EngineId: decided.Replica.EngineID, Address: decided.Replica.Address,
				WaitedMs: time.Since(decided.Item.Arrived).Milliseconds()}}})
		case queue.Refusal:
			s.send(decided.Item.GatewayID, &rpc.HomeMessage{Kind: &rpc.HomeMessage_Refusal{Refusal: &rpc.Refusal{
				RequestId: decided.Item.ID, Kind: string(decided.Kind), Message: decided.Message, RetryAfterMs: decided.RetryAfter.Milliseconds()}}})
		}
	}
}

func (s *Server) send(gatewayID string, message *rpc.HomeMessage) {
	if session := s.sessions[gatewayID]; session != nil {
		session.deliver(message)
	}
}

// SetReplicas applies the placer's report of a base model's replicas.
func (s *Server) SetReplicas(model string, replicas []queue.Replica, readyIn time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q := s.queues[model]
	if q == nil {
		return
	}
	s.deliverActions(model, q.SetReplicas(time.Now(), replicas, readyIn))
}

// SettingsChanged applies new settings to the queues.
func (s *Server) SettingsChanged() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for model, q := range s.queues {
		s.deliverActions(model, q.SetConcurrency(time.Now(), s.concurrency(model)))
	}
}

// ModelStatus is the state of one model's queue, as the status endpoint reports it.
type ModelStatus struct {
	Model   string         `json:"model"`
	Waiting int            `json:"waiting"`
	Running int            `json:"running"`
	Demand  []queue.Demand `json:"demand"`
}

// Status returns the state of all queues of this daemon.
func (s *Server) Status() []ModelStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var status []ModelStatus
	for model, q := range s.queues {
		status = append(status, ModelStatus{model, q.Waiting(), q.Running(), q.Demands()})
	}
	return status
}

// Link implements the Home rpc: it serves the session of one gateway.
func (s *Server) Link(stream rpc.DRPCHome_LinkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	if first.GetHello() == nil {
		return errors.New("the first message on a link must be hello")
	}
	outgoing := newMailbox[*rpc.HomeMessage]()
	session := s.OpenSession(first.GetHello().GetGatewayId(), outgoing.put)
	defer session.Close()
	session.Handle(first)
	sent := make(chan error, 1)
	go func() { sent <- outgoing.drainTo(stream.Context(), stream.Send) }()
	for {
		message, err := stream.Recv()
		if err != nil {
			outgoing.close()
			<-sent
			return errors.Wrap(err, "receive from gateway")
		}
		session.Handle(message)
	}
}
