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
	// beatPause is the longest time between two messages of a directory.
	beatPause = time.Second
	// gatherPause lets changes that come together be told in one message.
	gatherPause = 10 * time.Millisecond
	// never is the age of what there never was.
	never = -1
)

// errNotAll ends a stream at a daemon that does not know all replicas.
var errNotAll = errors.New("this daemon does not know all replicas; ask one that the holder of load orders names")

// Server tells daemons of replicas. It implements rpc.DRPCDiscoveryServer.
type Server struct {
	Fleet *fleet.Directory
	// KnowsAll tells whether the directory of this daemon holds all replicas.
	HasAllReplicas func() bool
	// IsLoading tells whether it is to hold them, and their records are being read.
	IsLoading func() bool
	// ContactAge returns how long ago the key-value service surely answered whoever follows it.
	ContactAge func() (age time.Duration, known bool)
	// Now is the clock by which what is known of replicas grows old.
	Now func() time.Time

	hub *hub
}

// Prepare makes the server ready for use.
func (s *Server) Prepare() { s.hub = newHub() }

// Begin makes the server hear of changes, before the directory knows all replicas; End is for a
// daemon that does not know them any more.
func (s *Server) StartObserving() { s.Fleet.SetObserver(s.hub.observe) }

// End ends Begin.
func (s *Server) StopObserving() { s.Fleet.SetObserver(nil) }

// Subscribe implements rpc.DRPCDiscoveryServer.
func (s *Server) Subscribe(stream rpc.DRPCDiscovery_SubscribeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !s.awaitAll(stream.Context()) {
		return errNotAll
	}
	served := newSubscriber(s.Fleet, s.hub, first.GetDaemonId(), first.GetZone())
	defer served.end()
	asked, failed := make(chan *rpc.Interest), make(chan error, 1)
	go func() { failed <- hear(stream, asked) }()
	message := served.change(first, s.Now())
	beat := time.NewTicker(beatPause)
	defer beat.Stop()
	for {
		if message != nil {
			if err := stream.Send(s.aged(message)); err != nil {
				return err
			}
		}
		message = nil
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case err := <-failed:
			return err
		case <-beat.C:
			message = &rpc.ReplicaUpdate{}
		case interest := <-asked:
			message = served.change(interest, s.Now())
		case <-served.wake:
			sleep.For(stream.Context(), gatherPause)
			message = served.changes(s.Now())
		}
		if !s.HasAllReplicas() {
			return errNotAll
		}
	}
}

const (
	// allTime is how long a daemon that is about to know all replicas keeps others waiting: less than
	// they wait for a word. A thousand that came again each 50 ms cost a new holder more than the list.
	allTime = 2 * time.Second
	allPoll = 20 * time.Millisecond
)

// awaitAll waits until this daemon knows all replicas, if it soon will.
func (s *Server) awaitAll(ctx context.Context) bool {
	until := s.Now().Add(allTime)
	for !s.HasAllReplicas() && s.IsLoading() && s.Now().Before(until) {
		if !sleep.For(ctx, allPoll) {
			return false
		}
	}
	return s.HasAllReplicas()
}

// hear passes on what the daemon asks for until the stream breaks.
func hear(stream rpc.DRPCDiscovery_SubscribeStream, asked chan<- *rpc.Interest) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case asked <- message:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// aged notes in a message how old the directory's knowledge may be.
func (s *Server) aged(message *rpc.ReplicaUpdate) *rpc.ReplicaUpdate {
	message.ContactAgeMs = never
	if age, known := s.ContactAge(); known {
		message.ContactAgeMs = max(0, age.Milliseconds())
	}
	return message
}
