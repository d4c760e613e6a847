package records

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	// leaderCheckInterval is how often the subscriber checks whether it follows the right peer.
	leaderCheckInterval = 200 * time.Millisecond
	// peerTimeout bounds a connection attempt, and how long the subscriber stays with a peer that
	// does not confirm the records.
	peerTimeout = time.Second
)

// Subscriber keeps one stream of records from a peer. It is a suture service.
type Subscriber struct {
	Daemon string
	Mirror *Mirror
	// Source returns the address of the leader, empty while none is known, and whether the leader is
	// another daemon.
	Source func() (address string, other bool)
	// Standby returns the address of the daemon to follow while no leader is known, so that not all
	// daemons poll the store; empty at the standbys themselves.
	Standby func() string
	// Seeds returns addresses of peers to try in turn while no peer confirms the records.
	Seeds func() []string
	Log   logrus.FieldLogger

	nextSeed int // index into the seeds
}

// String names the service in the supervisor's events.
func (s *Subscriber) String() string { return "records-subscriber" }

// Serve implements suture.Service.
func (s *Subscriber) Serve(ctx context.Context) error {
	// The first attempt comes after a delay, in which the store can answer this daemon.
	for sleep.For(ctx, leaderCheckInterval) {
		if address := s.nextPeer(); address != "" {
			s.subscribe(ctx, address)
		}
	}
	return ctx.Err()
}

// nextPeer returns the address of the peer to follow; empty: none.
func (s *Subscriber) nextPeer() string {
	leader, other := s.Source()
	if s.Mirror.InContact() {
		switch {
		case leader == "":
			return s.Standby()
		case !other:
			return "" // this daemon is the leader
		}
		return leader
	}
	peers := s.Seeds()
	if leader != "" && other {
		peers = append([]string{leader}, peers...)
	}
	if len(peers) == 0 {
		return ""
	}
	s.nextSeed++
	return peers[(s.nextSeed-1)%len(peers)]
}

var errNotConfirming = errors.New("peer has no recent contact with the key-value service")

// subscribe applies a peer's records until the stream breaks or supervise ends it.
func (s *Subscriber) subscribe(ctx context.Context, address string) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.supervise(ctx, address, cancel)
	fields := logrus.Fields{logging.Dependency: dependencyPeer, logging.Address: address}
	err := s.follow(ctx, address, func() { s.Log.WithFields(fields).Info(logging.MessageDependencyRegained) })
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	s.Log.WithFields(fields).WithField(logging.Cause, err.Error()).Info(logging.MessageDependencyLost)
}

func (s *Subscriber) follow(ctx context.Context, address string, onConnected func()) error {
	dialing, done := context.WithTimeout(ctx, peerTimeout)
	conn, err := transport.Dial(dialing, address)
	done()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	onConnected()
	return s.Mirror.followPeer(ctx, rpc.NewDRPCRecordsClient(conn), s.Daemon)
}

var errReplicasRequired = errors.New("this daemon now requires replica records; subscribing again")

// supervise ends the stream once this daemon must follow another peer or needs replica records.
func (s *Subscriber) supervise(ctx context.Context, address string, end context.CancelCauseFunc) {
	confirmedAt, requiredAll := time.Now(), s.Mirror.RequiresAll()
	for sleep.For(ctx, leaderCheckInterval) {
		leader, _ := s.Source()
		inContact := s.Mirror.InContact()
		if inContact {
			confirmedAt = time.Now()
		}
		switch {
		case !requiredAll && s.Mirror.missingReplicas():
			end(errReplicasRequired)
		case inContact && leader != "" && leader != address:
			end(errors.New("another daemon is the leader"))
		case !inContact && time.Since(confirmedAt) > peerTimeout:
			end(errNotConfirming)
		}
	}
}
