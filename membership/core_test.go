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

// network is a simulated network of cores with one clock. Packets take a while,
// may be lost, and never pass between the two sides of a cut.
type network struct {
	now     time.Time
	cores   map[string]*Core // by address, which is the id
	down    map[string]bool  // crashed or paused: neither ticks nor receives
	side    map[string]int
	loss    float64
	random  *rand.Rand
	flying  []flight
	packets int
}

type flight struct {
	due      time.Time
	from, to string
	packet   *rpc.Packet
}

const (
	networkDelay = 20 * time.Millisecond
	networkStep  = 50 * time.Millisecond
)

func newNetwork(count int, seed uint64) *network {
	n := &network{now: time.Unix(1_000_000, 0), cores: map[string]*Core{}, down: map[string]bool{}, side: map[string]int{},
		random: rand.New(rand.NewPCG(seed, seed))}
	for number := range count {
		n.start(fmt.Sprintf("m%03d", number), 1)
	}
	return n
}

// start starts a member that knows the first one, as after a sync with a seed.
func (n *network) start(id string, incarnation uint64) {
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
		if n.random.Float64() >= n.loss && n.side[from] == n.side[envelope.Address] {
			n.flying = append(n.flying, flight{n.now.Add(networkDelay), from, envelope.Address, envelope.Packet})
		}
	}
}

func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(networkStep) {
		arriving := n.flying
		n.flying = nil
		for _, one := range arriving {
			if one.due.After(n.now) {
				n.flying = append(n.flying, one)
			} else if core := n.cores[one.to]; core != nil && !n.down[one.to] && n.side[one.from] == n.side[one.to] {
				n.send(one.to, core.Handle(n.now, one.packet))
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

// seen returns how one member sees another.
func (n *network) seen(by, id string) Status {
	for _, member := range n.cores[by].Members() {
		if member.ID == id {
			return member.Status
		}
	}
	return Dead
}

// agree fails unless every member that is up sees all as they are.
func (n *network) agree(t require.TestingT, context string) {
	for _, by := range n.ids() {
		if n.down[by] {
			continue
		}
		for _, id := range n.ids() {
			require.Equal(t, n.down[id], n.seen(by, id) == Dead, "%s: %s sees %s as %s", context, by, id, n.seen(by, id))
		}
	}
}

func TestMembersFindTheDeadAndTheReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(3, 12).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
		n.run(15 * time.Second)
		n.agree(t, "after start")
		n.loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		for _, id := range n.ids()[1:] {
			if rapid.IntRange(0, 3).Draw(t, "fate of "+id) == 0 {
				n.down[id] = true
			}
		}
		n.run(20 * time.Second)
		n.loss = 0
		n.run(30 * time.Second)
		n.agree(t, "after crashes")
		// A paused member wakes with its old state; a crashed one restarts.
		for _, id := range n.ids() {
			if n.down[id] && rapid.Bool().Draw(t, "wakes "+id) {
				delete(n.down, id)
			} else if n.down[id] {
				n.start(id, n.cores[id].Self().Incarnation+1000)
			}
		}
		n.run(40 * time.Second)
		n.agree(t, "after return")
	})
}

func TestLeavingIsKnownSoonAndIsNotDeath(t *testing.T) {
	n := newNetwork(20, 1)
	n.run(15 * time.Second)
	n.send("m007", n.cores["m007"].Leave(n.now))
	n.run(time.Second)
	n.down["m007"] = true
	n.run(4 * time.Second)
	for _, id := range n.ids() {
		if id != "m007" {
			require.Equal(t, Left, n.seen(id, "m007"), "seen by %s", id)
		}
	}
}

func TestRevisionSpreadsToAll(t *testing.T) {
	n := newNetwork(40, 1)
	n.run(15 * time.Second)
	n.send("m000", n.cores["m000"].SetRevision(7))
	behind := len(n.cores)
	for elapsed := time.Duration(0); behind > 0 && elapsed < 10*time.Second; elapsed += networkStep {
		n.run(networkStep)
		behind = 0
		for _, id := range n.ids() {
			// A member that hears of a revision fetches it and tells others in turn.
			heard := uint64(0)
			for _, other := range n.ids() {
				heard = max(heard, n.cores[id].MemberRevision(other))
			}
			n.send(id, n.cores[id].SetRevision(heard))
			if heard < 7 && id != "m000" {
				behind++
			}
		}
	}
	require.Zero(t, behind)
}

// TestCostDoesNotGrowWithMembers counts packets a member and second: a probe and
// its answer, however many members there are.
func TestCostDoesNotGrowWithMembers(t *testing.T) {
	const perSecond = 2.2
	for _, count := range []int{10, 40, 160} {
		n := newNetwork(count, 1)
		n.run(20 * time.Second)
		n.packets = 0
		n.run(20 * time.Second)
		require.Less(t, float64(n.packets)/20/float64(count), perSecond, "with %d members", count)
	}
}

func (n *network) list(id string) []*rpc.Member {
	var list []*rpc.Member
	for _, member := range n.cores[id].Members() {
		list = append(list, member.Wire())
	}
	return list
}

// TestSidesOfALongCutFindEachOther cuts the members in two for longer than the dead
// are remembered. After it one member exchanges lists with one on the other side, as
// the service does with its seeds.
func TestSidesOfALongCutFindEachOther(t *testing.T) {
	n := newNetwork(10, 1)
	n.run(15 * time.Second)
	for number := range 5 {
		n.side[fmt.Sprintf("m%03d", number)] = 1
	}
	n.run(DefaultConfig().ForgetAfter + time.Minute)
	require.Len(t, n.cores["m000"].Members(), 5, "the other side is forgotten")
	n.side = map[string]int{}
	asked, told := n.list("m000"), n.list("m009")
	n.cores["m000"].ApplyMemberList(n.now, told)
	for _, member := range asked {
		n.cores["m009"].ApplyUpdate(n.now, member)
	}
	n.run(time.Minute)
	n.agree(t, "after the cut")
}
