package group

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/membership"
	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// directory finds the views of groups and calls their members.
type directory struct {
	members func() *membership.View
	pool    *transport.Pool

	mutex *sync.Mutex
	views map[SlotKey]View
}

func newDirectory(members func() *membership.View, pool *transport.Pool) directory {
	return directory{members: members, pool: pool, mutex: &sync.Mutex{}, views: map[SlotKey]View{}}
}

func (d *directory) client(ctx context.Context, member ViewMember) rpc.DRPCGroupsClient {
	return rpc.NewDRPCGroupsClient(d.pool.Conn(ctx, member.RPCAddress))
}

func (d *directory) cached(slot SlotKey) (View, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	view, known := d.views[slot]
	return view, known
}

func (d *directory) dropView(slot SlotKey) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.views, slot)
}

// view returns a slot's view, asked of the daemons ranked first if not known.
func (d *directory) view(ctx context.Context, slot SlotKey) (View, error) {
	if view, known := d.cached(slot); known {
		return view, nil
	}
	ranked := candidates(d.members(), slot)
	best := View{}
	for _, candidate := range ranked[:min(viewAskers, len(ranked))] {
		client := rpc.NewDRPCGroupsClient(d.pool.Conn(ctx, candidate.RPCAddress))
		answer, err := client.View(withTimeout(ctx), &rpc.ViewRequest{Region: slot.Region, Slot: slot.Slot})
		if err != nil {
			continue
		}
		if view := viewOf(answer.GetView()); view.Epoch > best.Epoch {
			best = view
		}
		if best.Epoch > 0 {
			break
		}
	}
	if best.Epoch == 0 {
		return View{}, errors.Errorf("no daemon knows the group of slot %s", slot)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.views[slot] = best
	return best, nil
}
