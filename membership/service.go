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
	// ticksPerInterval is how finely the probe interval is divided.
	ticksPerInterval = 5
	// joinPause is the wait between tries to find a first peer.
	joinPause = 300 * time.Millisecond
	// repairInterval is how often whole member lists are exchanged.
	repairInterval = 5 * time.Minute
	firstRepair    = 500 * time.Millisecond
	// rejoinInterval is how often seeds that are not known as running are tried,
	// which joins the two sides of a healed partition.
	rejoinInterval = 5 * time.Second
	syncTimeout    = 2 * time.Second
)

// Service runs a Core on a UDP socket. It is a suture service and serves the
// Membership rpc.
type Service struct {
	config Config
	seeds  []string // rpc addresses
	keys   [][]byte // the first signs; any verifies; none: unsigned
	socket net.PacketConn
	log    logrus.FieldLogger

	mutex     sync.Mutex
	core      *Core
	listeners []func(*View)
	onHeard   func(memberID string, revision uint64)
	view      atomic.Pointer[View]

	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
}

// NewService returns a service for a daemon on a socket.
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

// View returns the members as known now.
func (s *Service) View() *View { return s.view.Load() }

// Listen registers a function to call after each change of the members. It is
// called with the service's lock not held, in order.
func (s *Service) Subscribe(listener func(*View)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, listener)
}

// SetRevisionHandler sets the function to call when a member tells of settings newer
// than those announced here.
func (s *Service) SetRevisionHandler(heard func(memberID string, revision uint64)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.onHeard = heard
}

// Announce tells members of the settings revision in force here.
func (s *Service) Announce(revision uint64) {
	s.mutex.Lock()
	envelopes := s.core.SetRevision(revision)
	s.mutex.Unlock()
	s.send(envelopes)
}

// MemberRevision is the settings revision last heard from a member.
func (s *Service) MemberRevision(memberID string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.MemberRevision(memberID)
}

// Traffic returns the bytes sent and received on the socket so far.
func (s *Service) Traffic() (sent, received uint64) {
	return s.bytesSent.Load(), s.bytesReceived.Load()
}

// Leave tells the members that this daemon leaves.
func (s *Service) Leave() {
	s.update(func(now time.Time) []Envelope { return s.core.Leave(now) })
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.SetReadDeadline(time.Now()) })
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- s.receive() }()
	go s.keepInTouch(ctx)
	ticker := time.NewTicker(s.config.ProbeInterval / ticksPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-failed
			return ctx.Err()
		case err := <-failed:
			failed <- err
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		case <-ticker.C:
			s.update(func(now time.Time) []Envelope { return s.core.Tick(now) })
		}
	}
}

// update runs a step of the core, then publishes what changed and sends.
func (s *Service) update(step func(now time.Time) []Envelope) {
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
		packet, ok := s.open(buffer[:size])
		if !ok {
			continue
		}
		s.update(func(now time.Time) []Envelope { return s.core.Handle(now, packet) })
		s.tellRevision(packet)
	}
}

func (s *Service) tellRevision(packet *rpc.Packet) {
	s.mutex.Lock()
	newer := packet.GetSettingsRevision() > s.core.revision
	heard := s.onHeard
	s.mutex.Unlock()
	if newer && heard != nil {
		heard(packet.GetFromId(), packet.GetSettingsRevision())
	}
}

func (s *Service) send(envelopes []Envelope) {
	for _, envelope := range envelopes {
		address, err := net.ResolveUDPAddr("udp", envelope.Address)
		if err != nil {
			continue
		}
		data, err := s.seal(envelope.Packet)
		if err != nil {
			s.log.WithError(err).Warn("gossip packet not sent")
			continue
		}
		// A packet that is not sent is as one lost on the way.
		if size, err := s.socket.WriteTo(data, address); err == nil {
			s.bytesSent.Add(uint64(size))
		}
	}
}

// seal encodes a packet, after its signature when there are keys.
func (s *Service) seal(packet *rpc.Packet) ([]byte, error) {
	body, err := proto.Marshal(packet)
	if err != nil || len(s.keys) == 0 {
		return body, errors.Wrap(err, "encode gossip")
	}
	return append(sign(s.keys[0], body), body...), nil
}

func (s *Service) open(data []byte) (*rpc.Packet, bool) {
	if len(s.keys) > 0 {
		if len(data) < signatureBytes || !s.verified(data[:signatureBytes], data[signatureBytes:]) {
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

func (s *Service) verified(signature, body []byte) bool {
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

// keepInTouch joins through a seed, then exchanges whole lists now and then.
func (s *Service) keepInTouch(ctx context.Context) {
	for ctx.Err() == nil && !s.joined() {
		for _, seed := range s.seeds {
			_ = s.syncWith(ctx, seed) // the next round tries again
		}
		sleep.For(ctx, joinPause)
	}
	// At first whole lists are exchanged often: many that start together would
	// take long to find each other by news alone.
	interval := firstRepair
	nextRepair := time.Now().Add(interval)
	nextRejoin := time.Now().Add(rejoinInterval)
	for ctx.Err() == nil {
		sleep.For(ctx, joinPause)
		now := time.Now()
		if now.After(nextRejoin) {
			nextRejoin = now.Add(rejoinInterval)
			for _, seed := range s.lostSeeds() {
				_ = s.syncWith(ctx, seed)
			}
		}
		if now.After(nextRepair) {
			interval = min(2*interval, repairInterval)
			nextRepair = now.Add(interval)
			if peer := s.randomPeer(); peer != "" {
				_ = s.syncWith(ctx, peer)
			}
		}
	}
}

// joined tells whether another member was found, or there is none to find.
func (s *Service) joined() bool {
	return len(s.lostSeeds()) == 0 || len(s.View().Members) > 1
}

// lostSeeds returns the seeds that are not the address of a running member.
func (s *Service) lostSeeds() []string {
	running := map[string]bool{}
	for _, member := range s.View().Members {
		if member.Running() {
			running[member.RPCAddress] = true
		}
	}
	var lost []string
	for _, seed := range s.seeds {
		if !running[seed] {
			lost = append(lost, seed)
		}
	}
	return lost
}

func (s *Service) randomPeer() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, member := range s.core.pick(1, "") {
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
	answer, err := rpc.NewDRPCMembershipClient(connection).Sync(ctx, s.list())
	if err != nil {
		return errors.Wrap(err, "exchange members")
	}
	s.update(func(now time.Time) []Envelope {
		s.core.ApplyMemberList(now, answer.GetMembers())
		return nil
	})
	return nil
}

// Sync implements the Membership rpc.
func (s *Service) Sync(_ context.Context, list *rpc.MemberList) (*rpc.MemberList, error) {
	s.update(func(now time.Time) []Envelope {
		for _, member := range list.GetMembers() {
			s.core.ApplyUpdate(now, member)
		}
		return nil
	})
	return s.list(), nil
}

func (s *Service) list() *rpc.MemberList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := &rpc.MemberList{}
	for _, member := range s.core.Members() {
		list.Members = append(list.Members, member.Wire())
	}
	return list
}
