package membership

import (
	"math/bits"
	"sort"
	"time"

	"github.com/finchspoke/finchspoke/rpc"
)

// ApplyMemberList takes in a peer's whole list that this daemon asked for. To one that
// knew nobody yet it is no news worth passing on: others have lists of their own. To
// others it is, as after a cut that parted the members for long.
func (c *Core) ApplyMemberList(now time.Time, members []*rpc.Member) {
	joining := len(c.members) == 0
	for _, claimed := range members {
		c.ApplyUpdate(now, claimed)
		if joining && claimed.GetId() != c.self.ID {
			delete(c.news, claimed.GetId())
		}
	}
}

// Learn takes in a claim about a member.
func (c *Core) ApplyUpdate(now time.Time, claimed *rpc.Member) {
	if claimed.GetId() == "" {
		return
	}
	status := Status(min(claimed.GetStatus(), uint32(Left)))
	if claimed.GetId() == c.self.ID {
		c.refute(status, claimed.GetIncarnation())
		return
	}
	known := c.members[claimed.GetId()]
	if known == nil {
		known = &Member{ID: claimed.GetId(), Status: status, Incarnation: claimed.GetIncarnation(), StatusSince: now}
		c.members[known.ID] = known
		c.describe(known, claimed)
		c.changed = true
		c.spread(*known)
		return
	}
	newer := claimed.GetIncarnation() > known.Incarnation
	stronger := claimed.GetIncarnation() == known.Incarnation && status > known.Status
	if newer || stronger {
		c.describe(known, claimed)
		c.adopt(known, status, claimed.GetIncarnation(), now)
	}
}

func (c *Core) describe(member *Member, claimed *rpc.Member) {
	member.RPCAddress = claimed.GetRpcAddress()
	member.GossipAddress = claimed.GetGossipAddress()
	member.Region = claimed.GetRegion()
	member.Zone = claimed.GetZone()
	member.Process = claimed.GetProcess()
}

// refute answers a claim that this daemon is not alive.
func (c *Core) refute(status Status, incarnation uint64) {
	if c.self.Status == Left || status == Alive || incarnation < c.self.Incarnation {
		return
	}
	c.self.Incarnation = incarnation + 1
	c.spread(c.self)
}

func (c *Core) adopt(member *Member, status Status, incarnation uint64, now time.Time) {
	if member.Status != status {
		member.StatusSince = now
	}
	member.Status = status
	member.Incarnation = incarnation
	c.changed = true
	c.spread(*member)
}

func (c *Core) spread(member Member) { c.news[member.ID] = &update{member: member} }

// envelope addresses a packet and loads it with the news sent least often.
func (c *Core) envelope(address string, packet *rpc.Packet) Envelope {
	packet.FromAddress = c.self.GossipAddress
	packet.FromId = c.self.ID
	packet.SettingsRevision = c.revision
	limit := spreadFactor * bits.Len(uint(len(c.members)+1))
	ids := make([]string, 0, len(c.news))
	for id := range c.news {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := c.news[ids[i]], c.news[ids[j]]
		return a.sent < b.sent || (a.sent == b.sent && ids[i] < ids[j])
	})
	for _, id := range ids[:min(len(ids), updatesPerPacket)] {
		item := c.news[id]
		packet.Updates = append(packet.Updates, item.member.Wire())
		item.sent++
		if item.sent >= limit {
			delete(c.news, id)
		}
	}
	return Envelope{Address: address, Packet: packet}
}

// Wire returns the member as a message.
func (m Member) Wire() *rpc.Member {
	return &rpc.Member{
		Id: m.ID, RpcAddress: m.RPCAddress, GossipAddress: m.GossipAddress, Region: m.Region,
		Zone: m.Zone, Incarnation: m.Incarnation, Status: uint32(m.Status), Process: m.Process,
	}
}
