package membership

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/transport"
)

const (
	maxPacketBytes = 4096
	signatureBytes = 16
	// ticksPerInterval is the number of ticks in a probe interval.
	ticksPerInterval = 5
	// joinInterval is the delay between attempts to reach a seed at start. Afterwards it is
	// the interval at which the daemon checks whether a synchronization is due.
	joinInterval = 300 * time.Millisecond
	// maxSyncInterval is the interval for exchanging full member lists. It is reached by
	// doubling initialSyncInterval, because many daemons that start together would find
	// each other slowly through gossip alone.
	maxSyncInterval     = 5 * time.Minute
	initialSyncInterval = 500 * time.Millisecond
	// rejoinInterval is how often seeds that are not known to run are contacted, which
	// merges the sides of a healed partition.
	rejoinInterval = 5 * time.Second
	syncTimeout    = 2 * time.Second
)

// Service runs a Core on a UDP socket. It is a suture service and serves the
// Membership rpc.
type Service struct {
	config Config
	seeds  []string // RPC addresses
	keys   [][]byte // the first signs, any verifies; unsigned if empty
	socket net.PacketConn
	log    logrus.FieldLogger

	mutex           sync.Mutex
	core            *Core
	listeners       []func(*View)
	revisionHandler func(memberID string, revision uint64)
	view            atomic.Pointer[View]

	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
}

// NewService returns a service for the daemon self on a UDP socket. It sets the process,
// incarnation and status time of self.
func NewService(config Config, self Member, seeds []string, keys [][]byte, socket net.PacketConn, log logrus.FieldLogger) *Service {
	now := time.Now()
	self.Process = uint64(now.UnixMilli())
	self.Incarnation = self.Process
	self.StatusSince = now
	random := rand.New(rand.NewPCG(uint64(now.UnixNano()), xxhash.Sum64String(self.ID)))
	service := &Service{config: config, seeds: seeds, keys: keys, socket: socket, log: log,
		core: NewCore(config, self, random)}
	service.view.Store(&View{SelfID: self.ID, Members: service.core.Members()})
	return service
}

// String names the service in the supervisor's events.
func (s *Service) String() string { return "membership" }

// View returns the current view of the members.
func (s *Service) View() *View { return s.view.Load() }

// Subscribe registers a function to call after each change of the members. Listeners are
// called in order of registration, without the service's lock.
func (s *Service) Subscribe(listener func(*View)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// SetRevisionHandler sets the function to call when a member reports a settings revision
// newer than the one announced here.
func (s *Service) SetRevisionHandler(handler func(memberID string, revision uint64)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revisionHandler = handler
}

// Announce announces the settings revision in effect here to the members.
func (s *Service) Announce(revision uint64) {
	s.mutex.Lock()
	envelopes := s.core.SetRevision(revision)
	s.mutex.Unlock()
	s.send(envelopes)
}

// MemberRevision returns the highest settings revision received from a member.
func (s *Service) MemberRevision(memberID string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.MemberRevision(memberID)
}

// Traffic returns the total bytes sent and received on the socket.
func (s *Service) Traffic() (sent, received uint64) {
	return s.bytesSent.Load(), s.bytesReceived.Load()
}

// Leave announces to the members that this daemon leaves.
func (s *Service) Leave() {
	s.runStep(func(now time.Time) []Envelope { return s.core.Leave(now) })
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.SetReadDeadline(time.Now()) })
	defer stop()
	receiveErr := make(chan error, 1)
	go func() { receiveErr <- s.receive() }()
	go s.joinAndSync(ctx)
	ticker := time.NewTicker(s.config.ProbeInterval / ticksPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-receiveErr
			return ctx.Err()
		case err := <-receiveErr:
			receiveErr <- err
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		case <-ticker.C:
			s.runStep(func(now time.Time) []Envelope { return s.core.Tick(now) })
		}
	}
}

// runStep runs a step of the core, publishes a changed view, sends packets and calls
// listeners.
func (s *Service) runStep(step func(now time.Time) []Envelope) {
	s.mutex.Lock()
	envelopes := step(time.Now())
	changed := s.core.TakeChanged()
	var view *View
	if changed {
		view = &View{SelfID: s.core.Self().ID, Members: s.core.Members()}
		s.view.Store(view)
	}
	listeners := s.listeners
	s.mutex.Unlock()
	s.send(envelopes)
	if changed {
		for _, listener := range listeners {
			listener(view)
		}
	}
}

func (s *Service) receive() error {
	buffer := make([]byte, maxPacketBytes)
	for {
		size, _, err := s.socket.ReadFrom(buffer)
		if err != nil {
			return errors.Wrap(err, "receive gossip")
		}
		s.bytesReceived.Add(uint64(size))
		packet, ok := s.decode(buffer[:size])
		if !ok {
			continue
		}
		s.runStep(func(now time.Time) []Envelope { return s.core.Handle(now, packet) })
		s.notifyRevision(packet)
	}
}

func (s *Service) notifyRevision(packet *rpc.Packet) {
	s.mutex.Lock()
	newer := packet.GetSettingsRevision() > s.core.revision
	handler := s.revisionHandler
	s.mutex.Unlock()
	if newer && handler != nil {
		handler(packet.GetFromId(), packet.GetSettingsRevision())
	}
}

func (s *Service) send(envelopes []Envelope) {
	for _, envelope := range envelopes {
		address, err := net.ResolveUDPAddr("udp", envelope.Address)
		if err != nil {
			continue
		}
		data, err := s.encode(envelope.Packet)
		if err != nil {
			s.log.WithError(err).Warn("failed to encode gossip packet")
			continue
		}
		// The protocol tolerates packets that are not sent like lost packets.
		if size, err := s.socket.WriteTo(data, address); err == nil {
			s.bytesSent.Add(uint64(size))
		}
	}
}

// encode serializes a packet, preceded by a signature if keys are configured.
func (s *Service) encode(packet *rpc.Packet) ([]byte, error) {
	body, err := proto.Marshal(packet)
	if err != nil || len(s.keys) == 0 {
		return body, errors.Wrap(err, "encode gossip")
	}
	return append(sign(s.keys[0], body), body...), nil
}

func (s *Service) decode(data []byte) (*rpc.Packet, bool) {
	if len(s.keys) > 0 {
		if len(data) < signatureBytes || !s.verify(data[:signatureBytes], data[signatureBytes:]) {
			return nil, false
		}
		data = data[signatureBytes:]
	}
	var packet rpc.Packet
	if err := proto.Unmarshal(data, &packet); err != nil {
		return nil, false
	}
	return &packet, true
}

func (s *Service) verify(signature, body []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(signature, sign(key, body)) {
			return true
		}
	}
	return false
}

func sign(key, body []byte) []byte {
	hash := hmac.New(sha256.New, key)
	_, _ = hash.Write(body) // never fails
	return hash.Sum(nil)[:signatureBytes]
}

// joinAndSync joins through a seed, then exchanges full member lists periodically.
func (s *Service) joinAndSync(ctx context.Context) {
	for ctx.Err() == nil && !s.joined() {
		for _, seed := range s.seeds {
			_ = s.syncWith(ctx, seed) // retried in the next iteration
		}
		sleep.For(ctx, joinInterval)
	}
	interval := initialSyncInterval
	nextSync := time.Now().Add(interval)
	nextRejoin := time.Now().Add(rejoinInterval)
	for ctx.Err() == nil {
		sleep.For(ctx, joinInterval)
		now := time.Now()
		if now.After(nextRejoin) {
			nextRejoin = now.Add(rejoinInterval)
			for _, seed := range s.missingSeeds() {
				_ = s.syncWith(ctx, seed)
			}
		}
		if now.After(nextSync) {
			interval = min(2*interval, maxSyncInterval)
			nextSync = now.Add(interval)
			if peer := s.randomPeer(); peer != "" {
				_ = s.syncWith(ctx, peer)
			}
		}
	}
}

// joined reports whether another member is known or all seeds are this daemon.
func (s *Service) joined() bool {
	return len(s.missingSeeds()) == 0 || len(s.View().Members) > 1
}

// missingSeeds returns the seeds whose address belongs to no running member.
func (s *Service) missingSeeds() []string {
	running := map[string]bool{}
	for _, member := range s.View().Members {
		if member.Running() {
			running[member.RPCAddress] = true
		}
	}
	var missing []string
	for _, seed := range s.seeds {
		if !running[seed] {
			missing = append(missing, seed)
		}
	}
	return missing
}

func (s *Service) randomPeer() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, member := range s.core.pickRandom(1, "") {
		return member.RPCAddress
	}
	return ""
}

func (s *Service) syncWith(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	connection, err := transport.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	response, err := rpc.NewDRPCMembershipClient(connection).Sync(ctx, s.memberList())
	if err != nil {
		return errors.Wrap(err, "exchange members")
	}
	s.runStep(func(now time.Time) []Envelope {
		s.core.ApplyMemberList(now, response.GetMembers())
		return nil
	})
	return nil
}

// Sync implements the Membership rpc.
func (s *Service) Sync(_ context.Context, memberList *rpc.MemberList) (*rpc.MemberList, error) {
	s.runStep(func(now time.Time) []Envelope {
		for _, member := range memberList.GetMembers() {
			s.core.ApplyUpdate(now, member)
		}
		return nil
	})
	return s.memberList(), nil
}

func (s *Service) memberList() *rpc.MemberList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	memberList := &rpc.MemberList{}
	for _, member := range s.core.Members() {
		memberList.Members = append(memberList.Members, member.Wire())
	}
	return memberList
}
