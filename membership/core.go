// Package membership detects which daemons are alive with the SWIM protocol over UDP.
// In each interval a daemon probes one member, directly and then through others, and
// piggybacks membership updates on its packets. The cost of an interval does not depend
// on the number of members.
//
// Core is the state machine without I/O; Service runs it on a socket and a clock.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

// Status is the state of a member. Of two reports with the same incarnation, the one
// with the higher status takes precedence.
type Status uint32

// Statuses of members.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// PacketKind is the type of a gossip packet.
type PacketKind uint32

// Kinds of packets.
const (
	Ping PacketKind = iota + 1
	Ack
	PingRequest
	// Announce carries updates and is not acknowledged.
	Announce
)

// Member describes a daemon to the other members.
type Member struct {
	ID            string
	RPCAddress    string // host:port, TCP
	GossipAddress string // host:port, UDP
	Region        string
	Zone          string
	Process       uint64 // start time in Unix milliseconds; identifies one run of the daemon
	Incarnation   uint64 // raised only by the member itself
	Status        Status
	StatusSince   time.Time // by this daemon's clock
}

// Running reports whether the member is considered to be up.
func (m Member) Running() bool { return m.Status == Alive || m.Status == Suspect }

// Config holds the parameters of the protocol.
type Config struct {
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration // until indirect probes are sent
	SuspicionTimeout time.Duration // until a suspect is declared dead
	IndirectProbes   int           // members that probe on this daemon's behalf
	// ForgetAfter is how long dead members are retained, so that outdated updates do not
	// revive them.
	ForgetAfter time.Duration
}

// DefaultConfig returns the parameters for a production network.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		SuspicionTimeout: 3 * time.Second,
		IndirectProbes:   3,
		ForgetAfter:      10 * time.Minute,
	}
}

// Envelope is a packet and the address to send it to.
type Envelope struct {
	Address string
	Packet  *rpc.Packet
}

const (
	// updatesPerPacket keeps a packet within one unfragmented datagram.
	updatesPerPacket = 6
	// retransmitFactor times log2 of the number of members is how often an update is sent.
	retransmitFactor = 3
	// announceFanout is how many random members receive an announcement.
	announceFanout = 3
	// announceRepeats is how many ticks repeat an announcement to other random members.
	announceRepeats = 3
)

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	config          Config
	rng             *rand.Rand
	self            Member
	members         map[string]*Member // others, by id
	order           []string           // probe order, reshuffled each round
	sequence        uint64
	probes          map[uint64]*probe
	relays          map[uint64]relay // probes on behalf of others, by own sequence
	updateQueue     map[string]*queuedUpdate
	nextTick        time.Time
	revision        uint64 // of the settings in effect here
	memberRevisions map[string]uint64
	changed         bool
	// announcementsLeft counts the ticks that still repeat the announcement.
	announcementsLeft int
}

type probe struct {
	memberID string
	sentAt   time.Time
	indirect bool
}

type relay struct {
	address  string
	sequence uint64
	sentAt   time.Time
}

type queuedUpdate struct {
	member    Member
	sendCount int
}

// NewCore returns a core for the daemon self, whose incarnation must be higher than in any
// earlier process with the same id.
func NewCore(config Config, self Member, rng *rand.Rand) *Core {
	self.Status = Alive
	core := &Core{
		config: config, rng: rng, self: self, members: map[string]*Member{},
		probes: map[uint64]*probe{}, relays: map[uint64]relay{}, updateQueue: map[string]*queuedUpdate{},
		memberRevisions: map[string]uint64{}, changed: true,
	}
	core.enqueueUpdate(self)
	return core
}

// Self returns this daemon as a member.
func (c *Core) Self() Member { return c.self }

// Members returns all known members including this daemon, sorted by id.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, member := range c.members {
		members = append(members, *member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// TakeChanged reports whether the members changed since the last call.
func (c *Core) TakeChanged() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// MemberRevision returns the highest settings revision received from a member.
func (c *Core) MemberRevision(memberID string) uint64 { return c.memberRevisions[memberID] }

// SetRevision records the settings revision in effect here and announces a newer one to
// random members.
func (c *Core) SetRevision(revision uint64) []Envelope {
	if revision <= c.revision {
		return nil
	}
	c.revision = revision
	c.announcementsLeft = announceRepeats
	return c.announce()
}

// announce sends pending updates to random members without waiting for the next probe.
func (c *Core) announce() []Envelope {
	var envelopes []Envelope
	for _, member := range c.pickRandom(announceFanout, "") {
		envelopes = append(envelopes, c.newEnvelope(member.GossipAddress, &rpc.Packet{Kind: uint32(Announce)}))
	}
	return envelopes
}

// Leave marks this daemon as left and returns the announcements to send.
func (c *Core) Leave(now time.Time) []Envelope {
	c.self.Incarnation++
	c.self.Status = Left
	c.self.StatusSince = now
	c.changed = true
	c.enqueueUpdate(c.self)
	c.announcementsLeft = announceRepeats
	return c.announce()
}

// Tick processes probe and suspicion timeouts, repeats announcements and sends the next
// probe when the interval has passed.
func (c *Core) Tick(now time.Time) []Envelope {
	envelopes := c.handleLateProbes(now)
	c.expireMembers(now)
	if c.announcementsLeft > 0 {
		c.announcementsLeft--
		envelopes = append(envelopes, c.announce()...)
	}
	if now.Before(c.nextTick) {
		return envelopes
	}
	c.nextTick = now.Add(c.config.ProbeInterval)
	if c.self.Status == Left {
		return envelopes
	}
	if target := c.nextProbeTarget(); target != nil {
		c.sequence++
		c.probes[c.sequence] = &probe{memberID: target.ID, sentAt: now}
		envelopes = append(envelopes, c.newEnvelope(target.GossipAddress, &rpc.Packet{Kind: uint32(Ping), Sequence: c.sequence}))
	}
	return envelopes
}

func (c *Core) handleLateProbes(now time.Time) []Envelope {
	var envelopes []Envelope
	for _, sequence := range sortedKeys(c.probes) {
		pending := c.probes[sequence]
		target := c.members[pending.memberID]
		age := now.Sub(pending.sentAt)
		switch {
		case target == nil || !target.Running():
			delete(c.probes, sequence)
		case age >= c.config.ProbeInterval:
			delete(c.probes, sequence)
			if target.Status == Alive {
				c.setStatus(target, Suspect, target.Incarnation, now)
			}
		case age >= c.config.ProbeTimeout && !pending.indirect:
			pending.indirect = true
			for _, helper := range c.pickRandom(c.config.IndirectProbes, target.ID) {
				envelopes = append(envelopes, c.newEnvelope(helper.GossipAddress,
					&rpc.Packet{Kind: uint32(PingRequest), Sequence: sequence, TargetAddress: target.GossipAddress}))
			}
		}
	}
	for sequence, pending := range c.relays {
		if now.Sub(pending.sentAt) > c.config.ProbeInterval {
			delete(c.relays, sequence)
		}
	}
	return envelopes
}

// sortedKeys makes packets and random choices independent of map order.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// expireMembers declares overdue suspects dead and removes members that stopped long ago.
func (c *Core) expireMembers(now time.Time) {
	var expired []string
	for id, member := range c.members {
		age := now.Sub(member.StatusSince)
		if (member.Status == Suspect && age >= c.config.SuspicionTimeout) || (!member.Running() && age >= c.config.ForgetAfter) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		member := c.members[id]
		if member.Status == Suspect {
			c.setStatus(member, Dead, member.Incarnation, now)
			continue
		}
		delete(c.members, id)
		delete(c.memberRevisions, id)
		c.changed = true
	}
}

// nextProbeTarget iterates over the running members in a random order that is reshuffled
// after each round, which bounds the time until each member is probed.
func (c *Core) nextProbeTarget() *Member {
	for range 2 {
		for len(c.order) > 0 {
			id := c.order[0]
			c.order = c.order[1:]
			if member := c.members[id]; member != nil && member.Running() {
				return member
			}
		}
		c.order = c.runningIDs()
		c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	return nil
}

func (c *Core) runningIDs() []string {
	var ids []string
	for id, member := range c.members {
		if member.Running() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids) // makes the shuffle deterministic for a given seed
	return ids
}

// pickRandom returns up to count random running members, without excludedID.
func (c *Core) pickRandom(count int, excludedID string) []*Member {
	ids := c.runningIDs()
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var picked []*Member
	for _, id := range ids {
		if id != excludedID && len(picked) < count {
			picked = append(picked, c.members[id])
		}
	}
	return picked
}

// Handle processes a received packet and returns the packets to send.
func (c *Core) Handle(now time.Time, packet *rpc.Packet) []Envelope {
	for _, reported := range packet.GetUpdates() {
		c.ApplyUpdate(now, reported)
	}
	if packet.GetSettingsRevision() > c.memberRevisions[packet.GetFromId()] {
		c.memberRevisions[packet.GetFromId()] = packet.GetSettingsRevision()
	}
	switch PacketKind(packet.GetKind()) {
	case Ping:
		// The ack carries the status of a sender that is considered suspect, dead or left,
		// so that the sender can refute it.
		if sender := c.members[packet.GetFromId()]; sender != nil && sender.Status != Alive {
			c.enqueueUpdate(*sender)
		}
		return []Envelope{c.newEnvelope(packet.GetFromAddress(), &rpc.Packet{Kind: uint32(Ack), Sequence: packet.GetSequence()})}
	case PingRequest:
		c.sequence++
		c.relays[c.sequence] = relay{packet.GetFromAddress(), packet.GetSequence(), now}
		return []Envelope{c.newEnvelope(packet.GetTargetAddress(), &rpc.Packet{Kind: uint32(Ping), Sequence: c.sequence})}
	case Ack:
		return c.handleAck(now, packet.GetSequence())
	}
	return nil
}

func (c *Core) handleAck(now time.Time, sequence uint64) []Envelope {
	if relayed, found := c.relays[sequence]; found {
		delete(c.relays, sequence)
		return []Envelope{c.newEnvelope(relayed.address, &rpc.Packet{Kind: uint32(Ack), Sequence: relayed.sequence})}
	}
	pending, found := c.probes[sequence]
	if !found {
		return nil
	}
	delete(c.probes, sequence)
	// An ack does not clear a suspicion: the suspect refutes it with a higher
	// incarnation, which reaches all members. The update notifies the suspect.
	if member := c.members[pending.memberID]; member != nil && member.Status == Suspect {
		c.enqueueUpdate(*member)
	}
	return nil
}
