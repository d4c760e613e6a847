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
	// Slots is the number of claim groups in a region.
	Slots = 64
	// PlanSlot is the number of the group that stores the region's plan.
	PlanSlot = Slots
	// GroupSize is the number of members of a group if enough daemons run.
	GroupSize = 3
)

// SlotKey identifies a group by its region and slot number.
type SlotKey struct {
	Region string
	Slot   uint32
}

// PlanKey returns the key of the group that stores a region's plan.
func PlanKey(region string) SlotKey { return SlotKey{Region: region, Slot: PlanSlot} }

// String returns the name used for ranking and in the key-value service.
func (k SlotKey) String() string { return fmt.Sprintf("%s/%02d", k.Region, k.Slot) }

// SlotOf returns the claim group that is responsible for a hashed key.
func SlotOf(region, hashedKey string) SlotKey {
	prefix, err := hex.DecodeString(hashedKey[:8])
	if err != nil {
		return SlotKey{Region: region}
	}
	return SlotKey{Region: region, Slot: binary.BigEndian.Uint32(prefix) % Slots}
}

// ViewMember is one process of a view.
type ViewMember struct {
	ID         string `json:"id"`
	Process    uint64 `json:"process"`
	RPCAddress string `json:"rpc_address"`
}

// View lists the processes that form a group in an epoch.
type View struct {
	Region  string       `json:"region"`
	Slot    uint32       `json:"slot"`
	Epoch   uint64       `json:"epoch"`
	Writer  string       `json:"writer"` // unique to each view change
	Members []ViewMember `json:"members"`
	// LostAt is the time before which claims may have been lost; zero if none were.
	LostAt time.Time `json:"lost_at"`
}

// Key returns the key of the view's group.
func (v View) Key() SlotKey { return SlotKey{v.Region, v.Slot} }

// same reports whether both are the same view of the same group.
func (v View) same(other View) bool {
	return v.Key() == other.Key() && v.Epoch == other.Epoch && v.Writer == other.Writer
}

// writeQuorum returns how many members must accept a claim or a plan revision.
func (v View) writeQuorum() int { return len(v.Members)/2 + 1 }

// sealQuorum returns how many members intersect every write quorum.
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

func viewFromWire(message *rpc.GroupView) View {
	view := View{Region: message.GetRegion(), Slot: message.GetSlot(), Epoch: message.GetEpoch(), Writer: message.GetWriter()}
	if message.GetLostUnixMs() != 0 {
		view.LostAt = time.UnixMilli(message.GetLostUnixMs())
	}
	for _, member := range message.GetMembers() {
		view.Members = append(view.Members, ViewMember{member.GetId(), member.GetProcess(), member.GetRpcAddress()})
	}
	return view
}

// rankingKey returns the rendezvous hashing key of a slot.
func rankingKey(slot SlotKey) string { return "group/" + slot.String() }

// rankedCandidates ranks the running members of a slot's region, the highest-ranked
// member of each zone before all others.
func rankedCandidates(view *membership.View, slot SlotKey) []membership.Member {
	ranked := rendezvous.Ranked(rankingKey(slot), view.RunningIn(slot.Region))
	var firstOfZone, others []membership.Member
	zones := map[string]bool{}
	for _, id := range ranked {
		member, _ := view.Member(id)
		if zones[member.Zone] {
			others = append(others, member)
			continue
		}
		zones[member.Zone] = true
		firstOfZone = append(firstOfZone, member)
	}
	return append(firstOfZone, others...)
}

// isPresent reports whether a process of a view is still a running member.
func isPresent(view *membership.View, member ViewMember) bool {
	current, found := view.Member(member.ID)
	return found && current.Running() && current.Process == member.Process
}

// isReplaced reports whether the daemon of a view's member has restarted as a later
// process.
func isReplaced(view *membership.View, member ViewMember) bool {
	current, found := view.Member(member.ID)
	return found && current.Process > member.Process
}

// needsChange reports whether a group has lost a member or could have more.
func needsChange(members *membership.View, view View) bool {
	for _, member := range view.Members {
		if !isPresent(members, member) {
			return true
		}
	}
	return len(view.Members) < min(GroupSize, len(members.RunningIn(view.Region)))
}

// nextMembers keeps the present members and adds ranked candidates up to GroupSize,
// preferring zones without a member.
func nextMembers(members *membership.View, slot SlotKey, old []ViewMember) []ViewMember {
	var next []ViewMember
	selected := map[string]bool{}
	zones := map[string]bool{}
	add := func(member membership.Member) {
		next = append(next, ViewMember{member.ID, member.Process, member.RPCAddress})
		selected[member.ID], zones[member.Zone] = true, true
	}
	for _, member := range old {
		if isPresent(members, member) {
			current, _ := members.Member(member.ID)
			add(current)
		}
	}
	ranked := rankedCandidates(members, slot)
	for _, onlyNewZones := range []bool{true, false} {
		for _, candidate := range ranked {
			if len(next) < GroupSize && !selected[candidate.ID] && !(onlyNewZones && zones[candidate.Zone]) {
				add(candidate)
			}
		}
	}
	return next
}
