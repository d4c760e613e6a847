package membership

import (
	"math/bits"
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

// ApplyMemberList applies the full member list of a peer. A daemon that knew no other
// member does not forward its entries, because the other members know them already.
// Otherwise they are forwarded, which merges the sides of a healed partition.
func (c *Core) ApplyMemberList(now time.Time, members []*rpc.Member) {
	joining := len(c.members) == 0
	for _, reported := range members {
		c.ApplyUpdate(now, reported)
		if joining && reported.GetId() != c.self.ID {
			delete(c.updateQueue, reported.GetId())
		}
	}
}

// ApplyUpdate applies a report about a member unless a newer one is known.
func (c *Core) ApplyUpdate(now time.Time, reported *rpc.Member) {
	if reported.GetId() == "" {
		return
	}
	status := Status(min(reported.GetStatus(), uint32(Left)))
	if reported.GetId() == c.self.ID {
		c.refute(status, reported.GetIncarnation())
		return
	}
	member := c.members[reported.GetId()]
	if member == nil {
		member = &Member{ID: reported.GetId(), Status: status, Incarnation: reported.GetIncarnation(), StatusSince: now}
		c.members[member.ID] = member
		c.copyAttributes(member, reported)
		c.changed = true
		c.enqueueUpdate(*member)
		return
	}
	newer := reported.GetIncarnation() > member.Incarnation
	stronger := reported.GetIncarnation() == member.Incarnation && status > member.Status
	if newer || stronger {
		c.copyAttributes(member, reported)
		c.setStatus(member, status, reported.GetIncarnation(), now)
	}
}

func (c *Core) copyAttributes(member *Member, reported *rpc.Member) {
	member.RPCAddress = reported.GetRpcAddress()
	member.GossipAddress = reported.GetGossipAddress()
	member.Region = reported.GetRegion()
	member.Zone = reported.GetZone()
	member.Process = reported.GetProcess()
}

// refute overrides a report that this daemon is not alive: it raises its incarnation.
func (c *Core) refute(status Status, incarnation uint64) {
	if c.self.Status == Left || status == Alive || incarnation < c.self.Incarnation {
		return
	}
	c.self.Incarnation = incarnation + 1
	c.enqueueUpdate(c.self)
}

func (c *Core) setStatus(member *Member, status Status, incarnation uint64, now time.Time) {
	if member.Status != status {
		member.StatusSince = now
	}
	member.Status = status
	member.Incarnation = incarnation
	c.changed = true
	c.enqueueUpdate(*member)
}

func (c *Core) enqueueUpdate(member Member) { c.updateQueue[member.ID] = &queuedUpdate{member: member} }

// newEnvelope addresses a packet and adds the queued updates that were sent least often.
func (c *Core) newEnvelope(address string, packet *rpc.Packet) Envelope {
	packet.FromAddress = c.self.GossipAddress
	packet.FromId = c.self.ID
	packet.SettingsRevision = c.revision
	maxSends := retransmitFactor * bits.Len(uint(len(c.members)+1))
	ids := make([]string, 0, len(c.updateQueue))
	for id := range c.updateQueue {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := c.updateQueue[ids[i]], c.updateQueue[ids[j]]
		return a.sendCount < b.sendCount || (a.sendCount == b.sendCount && ids[i] < ids[j])
	})
	for _, id := range ids[:min(len(ids), updatesPerPacket)] {
		queued := c.updateQueue[id]
		packet.Updates = append(packet.Updates, queued.member.Wire())
		queued.sendCount++
		if queued.sendCount >= maxSends {
			delete(c.updateQueue, id)
		}
	}
	return Envelope{Address: address, Packet: packet}
}

// Wire converts the member to a message. StatusSince is local and not sent.
func (m Member) Wire() *rpc.Member {
	return &rpc.Member{
		Id: m.ID, RpcAddress: m.RPCAddress, GossipAddress: m.GossipAddress, Region: m.Region,
		Zone: m.Zone, Incarnation: m.Incarnation, Status: uint32(m.Status), Process: m.Process,
	}
}
