package relay

import (
	"context"
	"io"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/delivery"
	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// maxConnections bounds the connections that one daemon relays at a time, so that daemons without paths
	// cannot exhaust its memory and descriptors.
	maxConnections = 128
	// askerMemory is how long a daemon that asked for peers is not named to others.
	askerMemory = 3 * time.Second
	// maxPeers bounds the peers in one answer.
	maxPeers = 16
	// drainPollInterval is the time between two checks whether relayed connections have ended.
	drainPollInterval = 20 * time.Millisecond
)

var (
	errNotLeader      = errors.New("this daemon is not the leader; ask the current leader for peers")
	errStopping       = errors.New("this daemon is stopping; ask another peer")
	errBusy           = errors.New("this daemon relays too many connections; ask another peer")
	errNoTarget       = errors.New("the first message names no replica")
	errDown           = errors.New("this daemon did not reach the replica either; ask another peer")
	errUnknownReplica = errors.New("this daemon knows no such replica at that address; ask another peer")
)

// Server relays connections to replicas, and names peers while this daemon is the leader. It implements
// rpc.DRPCRelayServer.
type Server struct {
	// Resolve returns the address of a replica; false if this daemon knows no such replica. Only known replicas
	// are connected to.
	Resolve func(replica string) (address string, found bool)
	// IsDown reports whether this daemon's last attempt to connect to an address has failed.
	IsDown func(address string) bool
	// Dial opens connections to replicas. A write to one that takes nothing must fail after a bounded time: until then the
	// relay does not notice that the asking daemon has left.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Attached returns the daemons that are attached to this one, the leader; false if it is not the leader.
	Attached func() (peers []Peer, leads bool)
	Log      logrus.FieldLogger

	mutex    sync.Mutex
	askers   map[string]time.Time // when each daemon last asked for peers
	open     int                  // relayed connections
	stopping bool
}

// Peers implements rpc.DRPCRelayServer. A daemon that asks has lost paths itself, so it is not named to others
// unless all have.
func (s *Server) Peers(_ context.Context, request *rpc.RelayPeersRequest) (*rpc.RelayPeers, error) {
	attached, leads := s.Attached()
	if !leads {
		return nil, errNotLeader
	}
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.askers == nil {
		s.askers = map[string]time.Time{}
	}
	maps.DeleteFunc(s.askers, func(_ string, asked time.Time) bool { return now.Sub(asked) >= askerMemory })
	s.askers[request.GetDaemonId()] = now
	var sound, others []*rpc.RelayPeer
	for _, peer := range attached {
		if peer.Daemon == request.GetDaemonId() {
			continue
		}
		named := &rpc.RelayPeer{DaemonId: peer.Daemon, Address: peer.Address, Zone: peer.Zone}
		if _, asked := s.askers[peer.Daemon]; asked {
			others = append(others, named)
		} else {
			sound = append(sound, named)
		}
	}
	if len(sound) == 0 {
		sound = others
	}
	shuffle(sound)
	return &rpc.RelayPeers{Peers: sound[:min(len(sound), maxPeers)]}, nil
}

// Open implements rpc.DRPCRelayServer.
func (s *Server) Open(stream rpc.DRPCRelay_OpenStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetTarget() == nil {
		return errNoTarget
	}
	if err := s.begin(); err != nil {
		return err
	}
	defer s.end()
	replica, err := s.connect(stream.Context(), first.GetTarget())
	if err != nil {
		return err
	}
	defer func() { _ = replica.Close() }()
	if err := stream.Send(&rpc.RelayData{}); err != nil {
		return err
	}
	request := make(chan error, 1)
	go forward(stream, replica, request)
	if err := s.deliver(stream, replica); err != nil {
		return err
	}
	// The end of the replica's connection may be that of a whole response only if the replica has received the request. The
	// wait ends at the latest when the asking daemon leaves.
	if err := <-request; err != nil {
		return errors.Wrap(err, "write to the replica")
	}
	return delivery.Await(stream.Context(), replica)
}

// connect opens a connection to a replica that this daemon knows under the same address.
func (s *Server) connect(ctx context.Context, target *rpc.RelayTarget) (net.Conn, error) {
	address, found := s.Resolve(target.GetReplicaId())
	if !found || address != target.GetAddress() {
		return nil, errUnknownReplica
	}
	if s.IsDown(address) {
		return nil, errDown
	}
	replica, err := s.Dial(ctx, address)
	if err != nil {
		s.Log.WithFields(logrus.Fields{logging.Replica: target.GetReplicaId(), logging.Address: address, logging.Cause: err.Error()}).Info("relay cannot reach a replica")
		return nil, errors.Wrapf(err, "connect to replica %s", target.GetReplicaId())
	}
	return replica, nil
}

// forward sends the request that arrives from the asking daemon to the replica, and reports to request how that ended. After
// a failed write it leaves the connection open, as the response may be there already. Once the asking daemon leaves, it
// closes the connection, so that the replica stops.
func forward(stream rpc.DRPCRelay_OpenStream, replica net.Conn, request chan<- error) {
	report := func(err error) {
		select {
		case request <- err:
		default: // reported before
		}
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			_ = replica.Close()
			report(err)
			return
		}
		if data := message.GetData(); len(data) > 0 {
			if _, err := replica.Write(data); err != nil {
				report(err)
			}
		}
		if message.GetEnd() {
			report(nil)
		}
	}
}

// deliver sends what the replica answers to the asking daemon.
func (s *Server) deliver(stream rpc.DRPCRelay_OpenStream, replica net.Conn) error {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := replica.Read(buffer)
		if n > 0 {
			if sendErr := stream.Send(&rpc.RelayData{Data: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			return stream.Send(&rpc.RelayData{End: true})
		}
		if err != nil {
			return errors.Wrap(err, "read from the replica")
		}
	}
}

// begin counts a relayed connection, or returns why there may be none.
func (s *Server) begin() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.stopping:
		return errStopping
	case s.open >= maxConnections:
		return errBusy
	}
	s.open++
	return nil
}

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open--
}

// Connections returns how many connections this daemon relays now.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.open
}

// Drain refuses new connections and waits until the relayed ones have ended, or ctx has.
func (s *Server) Drain(ctx context.Context) error {
	s.mutex.Lock()
	s.stopping = true
	s.mutex.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.Connections() > 0 {
		select {
		case <-ctx.Done():
			return errors.Errorf("%d relayed connections were still open", s.Connections())
		case <-ticker.C:
		}
	}
	return nil
}
