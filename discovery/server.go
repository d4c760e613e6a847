package discovery

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
)

const (
	// heartbeatInterval is the longest time between two messages of a directory.
	heartbeatInterval = time.Second
	// changeBatchDelay batches changes that occur close together into one message.
	changeBatchDelay = 10 * time.Millisecond
	// unknownAge is the age that the server sends if the key-value service has never answered.
	unknownAge = -1
)

// errIncomplete ends the streams of a server that does not have all replicas.
var errIncomplete = errors.New("this daemon does not have all replicas; subscribe to a directory named by the leader")

// Server sends replicas to subscribed daemons. It implements rpc.DRPCDiscoveryServer.
type Server struct {
	Fleet *fleet.Directory
	// KnowsAllReplicas reports whether Fleet holds all replicas.
	KnowsAllReplicas func() bool
	// IsLoading reports whether this daemon is a directory that is still reading the replica records.
	IsLoading func() bool
	// ContactAge returns how long ago the key-value service last answered the daemon that polls it.
	ContactAge func() (age time.Duration, known bool)
	// Now is the clock by which the state of replicas ages.
	Now func() time.Time

	hub *hub
}

// Prepare initializes the server. It must be called before the other methods.
func (s *Server) Prepare() { s.hub = newHub() }

// StartObserving subscribes the server to changes of the fleet. It must be called before the fleet
// is complete.
func (s *Server) StartObserving() { s.Fleet.SetObserver(s.hub.observe) }

// StopObserving ends the subscription, on a daemon that no longer keeps all replicas.
func (s *Server) StopObserving() { s.Fleet.SetObserver(nil) }

// Subscribe implements rpc.DRPCDiscoveryServer.
func (s *Server) Subscribe(stream rpc.DRPCDiscovery_SubscribeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !s.awaitLoaded(stream.Context()) {
		return errIncomplete
	}
	sub := newSubscriber(s.Fleet, s.hub, first.GetDaemonId(), first.GetZone())
	defer sub.unsubscribe()
	interests, failed := make(chan *rpc.Interest), make(chan error, 1)
	go func() { failed <- receiveInterests(stream, interests) }()
	message := sub.updateInterests(first, s.Now())
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		if message != nil {
			if err := stream.Send(s.withContactAge(message)); err != nil {
				return err
			}
		}
		message = nil
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case err := <-failed:
			return err
		case <-heartbeat.C:
			message = &rpc.ReplicaUpdate{}
		case interest := <-interests:
			message = sub.updateInterests(interest, s.Now())
		case <-sub.wake:
			sleep.For(stream.Context(), changeBatchDelay)
			message = sub.collectChanges(s.Now())
		}
		if !s.KnowsAllReplicas() {
			return errIncomplete
		}
	}
}

const (
	// loadTimeout is how long subscribers wait while this daemon reads the replica records. If it
	// rejected them, they would all reconnect at short intervals.
	loadTimeout      = 2 * time.Second
	loadPollInterval = 20 * time.Millisecond
)

// awaitLoaded waits until this daemon has all replicas, if it is reading their records, and reports
// whether it has them.
func (s *Server) awaitLoaded(ctx context.Context) bool {
	until := s.Now().Add(loadTimeout)
	for !s.KnowsAllReplicas() && s.IsLoading() && s.Now().Before(until) {
		if !sleep.For(ctx, loadPollInterval) {
			return false
		}
	}
	return s.KnowsAllReplicas()
}

// receiveInterests forwards the subscribed daemon's messages to a channel until the stream breaks.
func receiveInterests(stream rpc.DRPCDiscovery_SubscribeStream, interests chan<- *rpc.Interest) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case interests <- message:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// withContactAge sets the age of the directory's records in a message.
func (s *Server) withContactAge(message *rpc.ReplicaUpdate) *rpc.ReplicaUpdate {
	message.ContactAgeMs = unknownAge
	if age, known := s.ContactAge(); known {
		message.ContactAgeMs = max(0, age.Milliseconds())
	}
	return message
}
