// Package membership keeps each daemon's view of which daemons are alive, by
// probing over UDP in the manner of SWIM: each interval a daemon probes one
// member, asks others to probe it before suspecting it, and spreads what it
// learns on the packets it sends anyway. The cost of an interval does not grow
// with the number of members.
//
// Core is the pure state machine; Service runs it on sockets and a clock.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

// Status of a member. Of two claims with one incarnation the higher wins.
type Status uint32

// The statuses.
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

// PacketKind is the kind of a packet.
type PacketKind uint32

// The kinds of packets.
const (
	Ping PacketKind = iota + 1
	Ack
	PingRequest
	// Announce carries news without asking for an answer.
	Announce
)

// Member is a daemon as others know it.
type Member struct {
	ID            string
	RPCAddress    string // host:port, TCP
	GossipAddress string // host:port, UDP
	Region        string
	Zone          string
	Process       uint64 // start of the process; a restart has a higher one
	Incarnation   uint64 // only the member itself raises it
	Status        Status
	StatusSince   time.Time // of the status, by this daemon's clock
}

// Running tells whether the member can be given work.
func (m Member) Running() bool { return m.Status == Alive || m.Status == Suspect }

// Config is the timing of the protocol.
type Config struct {
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration // before others are asked to probe
	SuspicionTimeout time.Duration // before a suspect is dead
	IndirectProbes   int           // members asked to probe
	// ForgetAfter is how long the dead are remembered, so that old news of them
	// alive is not believed.
	ForgetAfter time.Duration
}

// DefaultConfig is for a production network.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		SuspicionTimeout: 3 * time.Second,
		IndirectProbes:   3,
		ForgetAfter:      10 * time.Minute,
	}
}

// Envelope is a packet to send.
type Envelope struct {
	Address string
	Packet  *rpc.Packet
}

const (
	// updatesPerPacket keeps a packet within one datagram.
	updatesPerPacket = 6
	// spreadFactor times log2 of the members is how often news is passed on.
	spreadFactor = 3
	// announceFanout is how many members hear urgent news at once.
	announceFanout = 3
	// announceTicks is for how many ticks it is repeated to others.
	announceTicks = 3
)

// Core is the state machine. It is not safe for concurrent use.
type Core struct {
	config   Config
	random   *rand.Rand
	self     Member
	members  map[string]*Member // others, by id
	order    []string           // probe order, reshuffled each round
	sequence uint64
	probes   map[uint64]*probe
	relays   map[uint64]relay // probes made for others, by own sequence
	news     map[string]*update
	nextTick time.Time
	revision uint64 // of the settings in force here
	heard    map[string]uint64
	changed  bool
	// announcements are the ticks in which urgent news is still repeated.
	announcements int
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

type update struct {
	member Member
	sent   int
}

// NewCore returns a core for a daemon; self's incarnation must be higher than in
// any earlier process of the same id.
func NewCore(config Config, self Member, random *rand.Rand) *Core {
	self.Status = Alive
	core := &Core{
		config: config, random: random, self: self, members: map[string]*Member{},
		probes: map[uint64]*probe{}, relays: map[uint64]relay{}, news: map[string]*update{},
		heard: map[string]uint64{}, changed: true,
	}
	core.spread(self)
	return core
}

// Self returns this daemon as a member.
func (c *Core) Self() Member { return c.self }

// Members returns all members known, this daemon included, sorted by id.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, member := range c.members {
		members = append(members, *member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// TakeChanged tells whether the members changed since it was last asked.
func (c *Core) TakeChanged() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// MemberRevision is the settings revision last heard from a member.
func (c *Core) MemberRevision(memberID string) uint64 { return c.heard[memberID] }

// SetRevision tells the members, a few at once, of new settings in force here.
func (c *Core) SetRevision(revision uint64) []Envelope {
	if revision <= c.revision {
		return nil
	}
	c.revision = revision
	c.announcements = announceTicks
	return c.announce()
}

// announce sends news to a few random members without waiting for the interval.
func (c *Core) announce() []Envelope {
	var envelopes []Envelope
	for _, member := range c.pick(announceFanout, "") {
		envelopes = append(envelopes, c.envelope(member.GossipAddress, &rpc.Packet{Kind: uint32(Announce)}))
	}
	return envelopes
}

// Leave makes this daemon say that it leaves, and returns the news to send.
func (c *Core) Leave(now time.Time) []Envelope {
	c.self.Incarnation++
	c.self.Status = Left
	c.self.StatusSince = now
	c.changed = true
	c.spread(c.self)
	c.announcements = announceTicks
	return c.announce()
}

// Tick drives time on: probes that are late, suspects that are overdue, and the
// next probe.
func (c *Core) Tick(now time.Time) []Envelope {
	envelopes := c.lateProbes(now)
	c.overdue(now)
	if c.announcements > 0 {
		c.announcements--
		envelopes = append(envelopes, c.announce()...)
	}
	if now.Before(c.nextTick) {
		return envelopes
	}
	c.nextTick = now.Add(c.config.ProbeInterval)
	if c.self.Status == Left {
		return envelopes
	}
	if target := c.nextTarget(); target != nil {
		c.sequence++
		c.probes[c.sequence] = &probe{memberID: target.ID, sentAt: now}
		envelopes = append(envelopes, c.envelope(target.GossipAddress, &rpc.Packet{Kind: uint32(Ping), Sequence: c.sequence}))
	}
	return envelopes
}

func (c *Core) lateProbes(now time.Time) []Envelope {
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
				c.adopt(target, Suspect, target.Incarnation, now)
			}
		case age >= c.config.ProbeTimeout && !pending.indirect:
			pending.indirect = true
			for _, helper := range c.pick(c.config.IndirectProbes, target.ID) {
				envelopes = append(envelopes, c.envelope(helper.GossipAddress,
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

// sortedKeys keeps the order of maps out of what is sent and drawn.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// overdue declares suspects dead and forgets the long dead.
func (c *Core) overdue(now time.Time) {
	var due []string
	for id, member := range c.members {
		age := now.Sub(member.StatusSince)
		if (member.Status == Suspect && age >= c.config.SuspicionTimeout) || (!member.Running() && age >= c.config.ForgetAfter) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		member := c.members[id]
		if member.Status == Suspect {
			c.adopt(member, Dead, member.Incarnation, now)
			continue
		}
		delete(c.members, id)
		delete(c.heard, id)
		c.changed = true
	}
}

// nextTarget goes round the members in a random order, so that each is probed
// within a bounded time.
func (c *Core) nextTarget() *Member {
	for range 2 {
		for len(c.order) > 0 {
			id := c.order[0]
			c.order = c.order[1:]
			if member := c.members[id]; member != nil && member.Running() {
				return member
			}
		}
		c.order = c.runningIDs()
		c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
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
	slices.Sort(ids) // map order must not leak into the random order
	return ids
}

// pick returns up to count random running members other than one.
func (c *Core) pick(count int, except string) []*Member {
	ids := c.runningIDs()
	c.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var picked []*Member
	for _, id := range ids {
		if id != except && len(picked) < count {
			picked = append(picked, c.members[id])
		}
	}
	return picked
}

// Handle takes a packet in and returns the packets to send.
func (c *Core) Handle(now time.Time, packet *rpc.Packet) []Envelope {
	for _, claimed := range packet.GetUpdates() {
		c.ApplyUpdate(now, claimed)
	}
	if packet.GetSettingsRevision() > c.heard[packet.GetFromId()] {
		c.heard[packet.GetFromId()] = packet.GetSettingsRevision()
	}
	switch PacketKind(packet.GetKind()) {
	case Ping:
		// One that was taken for dead, and woke, hears of it with the answer and
		// refutes it.
		if sender := c.members[packet.GetFromId()]; sender != nil && sender.Status != Alive {
			c.spread(*sender)
		}
		return []Envelope{c.envelope(packet.GetFromAddress(), &rpc.Packet{Kind: uint32(Ack), Sequence: packet.GetSequence()})}
	case PingRequest:
		c.sequence++
		c.relays[c.sequence] = relay{packet.GetFromAddress(), packet.GetSequence(), now}
		return []Envelope{c.envelope(packet.GetTargetAddress(), &rpc.Packet{Kind: uint32(Ping), Sequence: c.sequence})}
	case Ack:
		return c.handleAck(now, packet.GetSequence())
	}
	return nil
}

func (c *Core) handleAck(now time.Time, sequence uint64) []Envelope {
	if asked, found := c.relays[sequence]; found {
		delete(c.relays, sequence)
		return []Envelope{c.envelope(asked.address, &rpc.Packet{Kind: uint32(Ack), Sequence: asked.sequence})}
	}
	pending, found := c.probes[sequence]
	if !found {
		return nil
	}
	delete(c.probes, sequence)
	// A suspect that answers still has to refute with a higher incarnation, so
	// that all hear of it in one way; it is sent the suspicion to refute.
	if member := c.members[pending.memberID]; member != nil && member.Status == Suspect {
		c.spread(*member)
	}
	return nil
}
