package group

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// groupClient looks up the views of groups, caches them and connects to members.
type groupClient struct {
	members func() *membership.View
	pool    *transport.Pool

	mutex *sync.Mutex
	views map[SlotKey]View
}

func newGroupClient(members func() *membership.View, pool *transport.Pool) groupClient {
	return groupClient{members: members, pool: pool, mutex: &sync.Mutex{}, views: map[SlotKey]View{}}
}

func (c *groupClient) memberClient(ctx context.Context, member ViewMember) rpc.DRPCGroupsClient {
	return rpc.NewDRPCGroupsClient(c.pool.Conn(ctx, member.RPCAddress))
}

func (c *groupClient) cachedView(slot SlotKey) (View, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	view, known := c.views[slot]
	return view, known
}

func (c *groupClient) dropView(slot SlotKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.views, slot)
}

// view returns the cached view of a slot, or queries the highest-ranked daemons for it.
func (c *groupClient) view(ctx context.Context, slot SlotKey) (View, error) {
	if view, known := c.cachedView(slot); known {
		return view, nil
	}
	ranked := rankedCandidates(c.members(), slot)
	best := View{}
	for _, candidate := range ranked[:min(maxViewQueries, len(ranked))] {
		client := rpc.NewDRPCGroupsClient(c.pool.Conn(ctx, candidate.RPCAddress))
		response, err := client.View(withCallTimeout(ctx), &rpc.ViewRequest{Region: slot.Region, Slot: slot.Slot})
		if err != nil {
			continue
		}
		if view := viewFromWire(response.GetView()); view.Epoch > best.Epoch {
			best = view
		}
		if best.Epoch > 0 {
			break
		}
	}
	if best.Epoch == 0 {
		return View{}, errors.Errorf("no daemon returned a view of slot %s", slot)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.views[slot] = best
	return best, nil
}
