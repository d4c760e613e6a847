package group

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rendezvous"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// Slots is the number of groups of a region that hold claims.
	Slots = 64
	// PlanSlot is the group that holds the region's plan.
	PlanSlot = Slots
	// GroupSize is how many members a group has where there are enough daemons.
	GroupSize = 3
)

// SlotKey names a group.
type SlotKey struct {
	Region string
	Slot   uint32
}

// PlanKey names the group of a region's plan.
func PlanKey(region string) SlotKey { return SlotKey{Region: region, Slot: PlanSlot} }

// String returns the name used for ranking and in the key-value service.
func (k SlotKey) String() string { return fmt.Sprintf("%s/%02d", k.Region, k.Slot) }

// SlotOf returns the slot of a hashed key.
func SlotOf(region, hashedKey string) SlotKey {
	octets, err := hex.DecodeString(hashedKey[:8])
	if err != nil {
		return SlotKey{Region: region}
	}
	return SlotKey{Region: region, Slot: binary.BigEndian.Uint32(octets) % Slots}
}

// GroupMember is one process of a view.
type ViewMember struct {
	ID         string `json:"id"`
	Process    uint64 `json:"process"`
	RPCAddress string `json:"rpc_address"`
}

// View says which processes form a group in an epoch.
type View struct {
	Region  string       `json:"region"`
	Slot    uint32       `json:"slot"`
	Epoch   uint64       `json:"epoch"`
	Writer  string       `json:"writer"` // unique to one view change
	Members []ViewMember `json:"members"`
	// LostAt, when set, says that claims made before it may be forgotten.
	LostAt time.Time `json:"lost_at"`
}

// Key returns the group's name.
func (v View) Key() SlotKey { return SlotKey{v.Region, v.Slot} }

// same tells whether two views are one: epoch and writer decide.
func (v View) same(other View) bool {
	return v.Key() == other.Key() && v.Epoch == other.Epoch && v.Writer == other.Writer
}

// writeQuorum is how many members must accept a claim.
func (v View) writeQuorum() int { return len(v.Members)/2 + 1 }

// sealQuorum is how many members every write quorum shares at least one with.
func (v View) sealQuorum() int { return len(v.Members) - v.writeQuorum() + 1 }

func (v View) wire() *rpc.GroupView {
	message := &rpc.GroupView{Region: v.Region, Slot: v.Slot, Epoch: v.Epoch, Writer: v.Writer}
	if !v.LostAt.IsZero() {
		message.LostUnixMs = v.LostAt.UnixMilli()
	}
	for _, member := range v.Members {
		message.Members = append(message.Members, &rpc.GroupMember{Id: member.ID, Process: member.Process, RpcAddress: member.RPCAddress})
	}
	return message
}

func viewOf(message *rpc.GroupView) View {
	view := View{Region: message.GetRegion(), Slot: message.GetSlot(), Epoch: message.GetEpoch(), Writer: message.GetWriter()}
	if message.GetLostUnixMs() != 0 {
		view.LostAt = time.UnixMilli(message.GetLostUnixMs())
	}
	for _, member := range message.GetMembers() {
		view.Members = append(view.Members, ViewMember{member.GetId(), member.GetProcess(), member.GetRpcAddress()})
	}
	return view
}

// rankingKey is what members are ranked by for a slot.
func rankingKey(slot SlotKey) string { return "group/" + slot.String() }

// candidates ranks the running members of a slot's region, the first of each zone
// before any second.
func candidates(view *membership.View, slot SlotKey) []membership.Member {
	ranked := rendezvous.Ranked(rankingKey(slot), view.RunningIn(slot.Region))
	var first, rest []membership.Member
	zones := map[string]bool{}
	for _, id := range ranked {
		member, _ := view.Member(id)
		if zones[member.Zone] {
			rest = append(rest, member)
			continue
		}
		zones[member.Zone] = true
		first = append(first, member)
	}
	return append(first, rest...)
}

// present tells whether a process of a view is still a running member.
func present(view *membership.View, member ViewMember) bool {
	known, found := view.Member(member.ID)
	return found && known.Running() && known.Process == member.Process
}

// provenGone tells whether a process of a view can be no more: its daemon runs as
// a later process.
func provenGone(view *membership.View, member ViewMember) bool {
	known, found := view.Member(member.ID)
	return found && known.Process > member.Process
}

// needsChange tells whether a group has lost a member, or could be larger.
func needsChange(members *membership.View, view View) bool {
	for _, member := range view.Members {
		if !present(members, member) {
			return true
		}
	}
	return len(view.Members) < min(GroupSize, len(members.RunningIn(view.Region)))
}

// nextMembers keeps the members that are present and fills up from the ranking,
// new zones first.
func nextMembers(members *membership.View, slot SlotKey, old []ViewMember) []ViewMember {
	var next []ViewMember
	taken := map[string]bool{}
	zones := map[string]bool{}
	add := func(member membership.Member) {
		next = append(next, ViewMember{member.ID, member.Process, member.RPCAddress})
		taken[member.ID], zones[member.Zone] = true, true
	}
	for _, member := range old {
		if present(members, member) {
			known, _ := members.Member(member.ID)
			add(known)
		}
	}
	ranked := candidates(members, slot)
	for _, onlyNewZones := range []bool{true, false} {
		for _, candidate := range ranked {
			if len(next) < GroupSize && !taken[candidate.ID] && !(onlyNewZones && zones[candidate.Zone]) {
				add(candidate)
			}
		}
	}
	return next
}
