// Package home runs the queues of the models that a daemon is home to, and the
// client with which a gateway asks a home for a slot on a replica.
//
// A gateway owns its requests: it holds the caller's connection and the request
// body, and dispatches to the engine itself. A home decides when and where. When
// a home is lost, gateways submit what still waits to the next one.
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
	// tickInterval is how often queues look for items past their deadline.
	tickInterval = 20 * time.Millisecond
	// forgetAfter is how long a queue without requests is kept.
	forgetAfter = time.Hour
	// defaultConcurrency is for a model that this daemon's settings do not know yet.
	defaultConcurrency = 1
)

// Server owns the queues. It is a suture service and serves the Home rpc.
type Server struct {
	settings *settings.Store
	view     func() *membership.View
	selfID   string
	log      logrus.FieldLogger

	mutex    sync.Mutex
	queues   map[string]*queue.Queue // by base model
	sessions map[string]*Session     // by gateway id
	orphans  map[string]bool         // gateways without a session that may still run requests
	dirty    map[string]bool         // base models whose demand changed
	urgent   chan struct{}           // signals demand that must not wait
	waits    chan struct{}           // signals that some item waits
}

// NewServer returns a server without queues.
func NewServer(selfID string, store *settings.Store, view func() *membership.View, log logrus.FieldLogger) *Server {
	return &Server{
		settings: store, view: view, selfID: selfID, log: log,
		queues: map[string]*queue.Queue{}, sessions: map[string]*Session{}, orphans: map[string]bool{}, dirty: map[string]bool{},
		urgent: make(chan struct{}, 1), waits: make(chan struct{}, 1),
	}
}

// String names the service in the supervisor's events.
func (s *Server) String() string { return "home" }

// Serve implements suture.Service: it drives the queues' time, and rests while
// nothing waits.
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
		case <-s.waits:
			ticker.Reset(tickInterval)
		}
	}
}

// tick returns how many items wait after it.
func (s *Server) tick(now time.Time) (waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for model, held := range s.queues {
		if held.Waiting() == 0 {
			continue
		}
		if actions := held.Tick(now); len(actions) > 0 {
			s.carryOut(model, actions)
		}
		waiting += held.Waiting()
	}
	return waiting
}

// Session is a gateway's link, over the network or within the process.
type Session struct {
	server    *Server
	gatewayID string
	deliver   func(*rpc.HomeMessage)
}

// Attach opens a session for a gateway; deliver must not block.
func (s *Server) OpenSession(gatewayID string, deliver func(*rpc.HomeMessage)) *Session {
	session := &Session{server: s, gatewayID: gatewayID, deliver: deliver}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sessions[gatewayID] = session
	delete(s.orphans, gatewayID)
	return session
}

// Close ends the session; what it had waiting is forgotten, since the gateway
// submits it again elsewhere.
func (l *Session) Close() {
	s := l.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sessions[l.gatewayID] != l {
		return // a newer session of the gateway has taken over
	}
	delete(s.sessions, l.gatewayID)
	for _, held := range s.queues {
		held.DropWaiting(l.gatewayID)
	}
	s.orphans[l.gatewayID] = true
	s.forgetDead(s.view())
}

// MembersChanged frees what gateways held that are known dead now.
func (s *Server) MembersChanged(view *membership.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forgetDead(view)
}

func (s *Server) forgetDead(view *membership.View) {
	for gatewayID := range s.orphans {
		if member, known := view.Member(gatewayID); known && member.Status != membership.Dead {
			continue // one that left still finishes what it runs
		}
		delete(s.orphans, gatewayID)
		s.reconcile(gatewayID, nil)
	}
}

// reconcile takes in all that a gateway runs, over all queues.
func (s *Server) reconcile(gatewayID string, running []*rpc.Running) {
	byModel := map[string][]queue.Running{}
	for _, one := range running {
		s.queue(one.GetBaseModel())
		byModel[one.GetBaseModel()] = append(byModel[one.GetBaseModel()], runningOf(one))
	}
	now := time.Now()
	for model, held := range s.queues {
		s.carryOut(model, held.Reconcile(now, gatewayID, byModel[model]))
	}
}

func runningOf(message *rpc.Running) queue.Running {
	return queue.Running{ID: message.GetRequestId(), Target: message.GetTarget(), ReplicaID: message.GetReplicaId()}
}

// Handle takes a gateway's message in.
func (l *Session) Handle(message *rpc.GatewayMessage) {
	s := l.server
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case message.GetHello() != nil:
		s.reconcile(l.gatewayID, message.GetHello().GetRunning())
	case message.GetRestore() != nil:
		restored := message.GetRestore()
		s.queue(restored.GetBaseModel()).Restore(now, l.gatewayID, runningOf(restored))
		s.dirty[restored.GetBaseModel()] = true
	case message.GetSubmit() != nil:
		submit := message.GetSubmit()
		held := s.queue(submit.GetBaseModel())
		waited := held.HasWaiting(submit.GetTarget())
		s.carryOut(submit.GetBaseModel(), held.Submit(now, s.item(l.gatewayID, submit, now)))
		if held.Waiting() > 0 {
			signal(s.waits)
		}
		if !waited && held.HasWaiting(submit.GetTarget()) {
			signal(s.urgent) // the placer learns of the first that waits at once, of others soon
		}
	case message.GetCancel() != nil:
		s.withQueueOf(message.GetCancel().GetBaseModel(), func(held *queue.Queue) []queue.Action {
			held.Cancel(message.GetCancel().GetRequestId())
			return nil
		})
	case message.GetRelease() != nil:
		release := message.GetRelease()
		s.withQueueOf(release.GetBaseModel(), func(held *queue.Queue) []queue.Action {
			service := time.Duration(release.GetServiceMs()) * time.Millisecond
			return held.Release(now, release.GetRequestId(), release.GetEngineFailed(), service)
		})
	}
}

func (s *Server) withQueueOf(model string, step func(*queue.Queue) []queue.Action) {
	if held := s.queues[model]; held != nil {
		s.carryOut(model, step(held))
	}
}

// signal wakes a reader of a channel of size one; signals that come together are
// one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// queue returns the queue of a base model, making it if new.
func (s *Server) queue(model string) *queue.Queue {
	held := s.queues[model]
	if held == nil {
		held = queue.New(model, s.concurrency(model))
		s.queues[model] = held
	}
	return held
}

func (s *Server) concurrency(model string) int {
	if current := s.settings.Current(); current != nil {
		if declared := current.Tree.Models[model]; declared != nil {
			return declared.Concurrency
		}
	}
	return defaultConcurrency
}

// item fills in what the branch's settings say.
func (s *Server) item(gatewayID string, submit *rpc.Submit, now time.Time) queue.Item {
	item := queue.Item{
		ID: submit.GetRequestId(), Owner: gatewayID, Target: submit.GetTarget(), Branch: submit.GetBranch(), Share: 1,
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

// carryOut sends a queue's actions to the gateways concerned.
func (s *Server) carryOut(model string, actions []queue.Action) {
	s.dirty[model] = true
	for _, action := range actions {
		switch done := action.(type) {
		case queue.Grant:
			s.send(done.Item.Owner, &rpc.HomeMessage{Kind: &rpc.HomeMessage_Grant{Grant: &rpc.Grant{
				RequestId: done.Item.ID, ReplicaId: done.Replica.ID, EngineId: done.Replica.EngineID, Address: done.Replica.Address,
				WaitedMs: time.Since(done.Item.Arrived).Milliseconds()}}})
		case queue.Refusal:
			s.send(done.Item.Owner, &rpc.HomeMessage{Kind: &rpc.HomeMessage_Refusal{Refusal: &rpc.Refusal{
				RequestId: done.Item.ID, Kind: string(done.Kind), Message: done.Message, RetryAfterMs: done.RetryAfter.Milliseconds()}}})
		}
	}
}

func (s *Server) send(gatewayID string, message *rpc.HomeMessage) {
	if session := s.sessions[gatewayID]; session != nil {
		session.deliver(message)
	}
}

// SetReplicas takes in what the placer says of a base model.
func (s *Server) SetReplicas(model string, replicas []queue.Replica, readyIn time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.queues[model]
	if held == nil {
		return
	}
	s.carryOut(model, held.SetReplicas(time.Now(), replicas, readyIn))
}

// SettingsChanged applies new settings to the queues.
func (s *Server) SettingsChanged() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for model, held := range s.queues {
		s.carryOut(model, held.SetConcurrency(time.Now(), s.concurrency(model)))
	}
}

// ModelStatus is the state of one queue, for status.
type ModelStatus struct {
	Model   string         `json:"model"`
	Waiting int            `json:"waiting"`
	Running int            `json:"running"`
	Demand  []queue.Demand `json:"demand"`
}

// Status lists the queues of this daemon.
func (s *Server) Status() []ModelStatus {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var status []ModelStatus
	for model, held := range s.queues {
		status = append(status, ModelStatus{model, held.Waiting(), held.Running(), held.Demands()})
	}
	return status
}

// Link implements the Home rpc.
func (s *Server) Link(stream rpc.DRPCHome_LinkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "read hello")
	}
	if first.GetHello() == nil {
		return errors.New("a link begins with hello")
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
			return errors.Wrap(err, "read gateway")
		}
		session.Handle(message)
	}
}
