package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/finchspoke/finchspoke/rpc"
)

// network simulates a network of cores that share a clock. Packets are delayed, may be
// lost and do not cross partitions.
type network struct {
	now       time.Time
	cores     map[string]*Core // by address, which equals the id
	down      map[string]bool  // crashed or paused: no ticks and no packets
	partition map[string]int
	loss      float64
	random    *rand.Rand
	inFlight  []datagram
	packets   int
}

type datagram struct {
	due      time.Time
	from, to string
	packet   *rpc.Packet
}

const (
	networkDelay = 20 * time.Millisecond
	networkStep  = 50 * time.Millisecond
)

func newNetwork(count int, seed uint64) *network {
	n := &network{now: time.Unix(1_000_000, 0), cores: map[string]*Core{}, down: map[string]bool{}, partition: map[string]int{},
		random: rand.New(rand.NewPCG(seed, seed))}
	for number := range count {
		n.startMember(fmt.Sprintf("m%03d", number), 1)
	}
	return n
}

// startMember starts a member that knows the first one, as after a sync with a seed.
func (n *network) startMember(id string, incarnation uint64) {
	self := Member{ID: id, RPCAddress: id, GossipAddress: id, Region: "r", Zone: "z", Incarnation: incarnation}
	core := NewCore(DefaultConfig(), self, rand.New(rand.NewPCG(n.random.Uint64(), 1)))
	if peer := n.cores["m000"]; peer != nil {
		for _, member := range peer.Members() {
			core.ApplyUpdate(n.now, member.Wire())
		}
		peer.ApplyUpdate(n.now, self.Wire())
	}
	n.cores[id] = core
	delete(n.down, id)
}

func (n *network) send(from string, envelopes []Envelope) {
	for _, envelope := range envelopes {
		n.packets++
		if n.random.Float64() >= n.loss && n.partition[from] == n.partition[envelope.Address] {
			n.inFlight = append(n.inFlight, datagram{n.now.Add(networkDelay), from, envelope.Address, envelope.Packet})
		}
	}
}

func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(networkStep) {
		pending := n.inFlight
		n.inFlight = nil
		for _, d := range pending {
			if d.due.After(n.now) {
				n.inFlight = append(n.inFlight, d)
			} else if core := n.cores[d.to]; core != nil && !n.down[d.to] && n.partition[d.from] == n.partition[d.to] {
				n.send(d.to, core.Handle(n.now, d.packet))
			}
		}
		for _, id := range n.ids() {
			if !n.down[id] {
				n.send(id, n.cores[id].Tick(n.now))
			}
		}
	}
}

func (n *network) ids() []string {
	ids := make([]string, 0, len(n.cores))
	for number := range len(n.cores) {
		ids = append(ids, fmt.Sprintf("m%03d", number))
	}
	return ids
}

// statusObservedBy returns the status of a member in the view of another; Dead if absent.
func (n *network) statusObservedBy(by, id string) Status {
	for _, member := range n.cores[by].Members() {
		if member.ID == id {
			return member.Status
		}
	}
	return Dead
}

// requireAgreement fails unless each running member knows which members are down.
func (n *network) requireAgreement(t require.TestingT, phase string) {
	for _, by := range n.ids() {
		if n.down[by] {
			continue
		}
		for _, id := range n.ids() {
			require.Equal(t, n.down[id], n.statusObservedBy(by, id) == Dead, "%s: %s considers %s to be %s", phase, by, id, n.statusObservedBy(by, id))
		}
	}
}

func TestMembersDetectCrashesAndReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(3, 12).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
		n.run(15 * time.Second)
		n.requireAgreement(t, "after start")
		n.loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		for _, id := range n.ids()[1:] {
			if rapid.IntRange(0, 3).Draw(t, "crash of "+id) == 0 {
				n.down[id] = true
			}
		}
		n.run(20 * time.Second)
		n.loss = 0
		n.run(30 * time.Second)
		n.requireAgreement(t, "after crashes")
		// A paused member resumes with its old state; a crashed one restarts.
		for _, id := range n.ids() {
			if n.down[id] && rapid.Bool().Draw(t, "resumes "+id) {
				delete(n.down, id)
			} else if n.down[id] {
				n.startMember(id, n.cores[id].Self().Incarnation+1000)
			}
		}
		n.run(40 * time.Second)
		n.requireAgreement(t, "after return")
	})
}

func TestLeaveSpreadsQuicklyAndIsNotDead(t *testing.T) {
	n := newNetwork(20, 1)
	n.run(15 * time.Second)
	n.send("m007", n.cores["m007"].Leave(n.now))
	n.run(time.Second)
	n.down["m007"] = true
	n.run(4 * time.Second)
	for _, id := range n.ids() {
		if id != "m007" {
			require.Equal(t, Left, n.statusObservedBy(id, "m007"), "status known to %s", id)
		}
	}
}

func TestSettingsRevisionReachesAllMembers(t *testing.T) {
	n := newNetwork(40, 1)
	n.run(15 * time.Second)
	n.send("m000", n.cores["m000"].SetRevision(7))
	outdated := len(n.cores)
	for elapsed := time.Duration(0); outdated > 0 && elapsed < 10*time.Second; elapsed += networkStep {
		n.run(networkStep)
		outdated = 0
		for _, id := range n.ids() {
			// A member that receives a newer revision fetches it and announces it.
			newest := uint64(0)
			for _, other := range n.ids() {
				newest = max(newest, n.cores[id].MemberRevision(other))
			}
			n.send(id, n.cores[id].SetRevision(newest))
			if newest < 7 && id != "m000" {
				outdated++
			}
		}
	}
	require.Zero(t, outdated)
}

// TestPacketRatePerMemberIsConstant checks that a member sends about one probe and one
// ack per second, regardless of the number of members.
func TestPacketRatePerMemberIsConstant(t *testing.T) {
	const maxPacketsPerSecond = 2.2
	for _, count := range []int{10, 40, 160} {
		n := newNetwork(count, 1)
		n.run(20 * time.Second)
		n.packets = 0
		n.run(20 * time.Second)
		require.Less(t, float64(n.packets)/20/float64(count), maxPacketsPerSecond, "with %d members", count)
	}
}

func (n *network) memberList(id string) []*rpc.Member {
	var memberList []*rpc.Member
	for _, member := range n.cores[id].Members() {
		memberList = append(memberList, member.Wire())
	}
	return memberList
}

// TestPartitionsMergeAfterDeadMembersAreForgotten partitions the members for longer than
// dead members are retained. Then one member exchanges its list with a member of the
// other side, as Service does with its seeds.
func TestPartitionsMergeAfterDeadMembersAreForgotten(t *testing.T) {
	n := newNetwork(10, 1)
	n.run(15 * time.Second)
	for number := range 5 {
		n.partition[fmt.Sprintf("m%03d", number)] = 1
	}
	n.run(DefaultConfig().ForgetAfter + time.Minute)
	require.Len(t, n.cores["m000"].Members(), 5, "members of the other side are removed")
	n.partition = map[string]int{}
	nearList, farList := n.memberList("m000"), n.memberList("m009")
	n.cores["m000"].ApplyMemberList(n.now, farList)
	for _, member := range nearList {
		n.cores["m009"].ApplyUpdate(n.now, member)
	}
	n.run(time.Minute)
	n.requireAgreement(t, "after the partition")
}
