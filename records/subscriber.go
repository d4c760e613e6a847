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
	// sourceCheck is the time between looks at whether the peer is still the right
	// one.
	sourceCheck = 200 * time.Millisecond
	// sourcePatience is how long a peer that does not vouch is listened to while
	// others may know more.
	sourcePatience = time.Second
)

// Subscriber keeps one stream of records from a peer. It is a suture service.
type Subscriber struct {
	Daemon string
	Mirror *Mirror
	// Source returns the address of the daemon that follows the service for all, empty
	// while none is known, and whether that is another one.
	Source func() (address string, other bool)
	// Deputy returns the address of the daemon to listen to while no source is known,
	// so that not all of them ask the service; empty for the deputies themselves.
	Standby func() string
	// Seeds returns addresses of peers to ask in turn while nobody vouches for the
	// records.
	Seeds func() []string
	Log   logrus.FieldLogger

	round int // of the seeds
}

// String names the service in the supervisor's events.
func (s *Subscriber) String() string { return "records-subscriber" }

// Serve implements suture.Service.
func (s *Subscriber) Serve(ctx context.Context) error {
	// The service itself has time to answer first.
	for sleep.For(ctx, sourceCheck) {
		if address := s.next(); address != "" {
			s.listen(ctx, address)
		}
	}
	return ctx.Err()
}

// next returns the peer to listen to; empty: none.
func (s *Subscriber) next() string {
	source, other := s.Source()
	if s.Mirror.InContact() {
		switch {
		case source == "":
			return s.Standby()
		case !other:
			return "" // this daemon follows the service for all
		}
		return source
	}
	peers := s.Seeds()
	if source != "" && other {
		peers = append([]string{source}, peers...)
	}
	if len(peers) == 0 {
		return ""
	}
	s.round++
	return peers[(s.round-1)%len(peers)]
}

var errNotVouching = errors.New("the peer does not hear from the key-value service")

// listen takes in a peer's records until the stream breaks, or another peer is to
// be listened to.
func (s *Subscriber) listen(ctx context.Context, address string) {
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

func (s *Subscriber) follow(ctx context.Context, address string, connected func()) error {
	dialing, done := context.WithTimeout(ctx, sourcePatience)
	conn, err := transport.Dial(dialing, address)
	done()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	connected()
	return s.Mirror.followPeer(ctx, rpc.NewDRPCRecordsClient(conn), s.Daemon)
}

var errAllWanted = errors.New("this daemon is to know all replicas, and asks for their records")

// supervise ends the stream once its peer is no longer the one to listen to.
func (s *Subscriber) supervise(ctx context.Context, address string, end context.CancelCauseFunc) {
	vouched, all := time.Now(), s.Mirror.RequiresAll()
	for sleep.For(ctx, sourceCheck) {
		source, _ := s.Source()
		inContact := s.Mirror.InContact()
		if inContact {
			vouched = time.Now()
		}
		switch {
		case !all && s.Mirror.lacksBulk():
			end(errAllWanted)
		case inContact && source != "" && source != address:
			end(errors.New("another daemon follows the key-value service for all"))
		case !inContact && time.Since(vouched) > sourcePatience:
			end(errNotVouching)
		}
	}
}
