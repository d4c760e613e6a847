package origin

import (
	"context"

	"github.com/finchspoke/finchspoke/rpc"
	"github.com/finchspoke/finchspoke/transport"
)

// Network carries messages to other daemons, named by the address at which daemons reach them.
type Network interface {
	Store(ctx context.Context, address string, message *rpc.StoreOrigins) (*rpc.OriginsStored, error)
	Find(ctx context.Context, address string, message *rpc.FindOrigin) (*rpc.OriginAnswer, error)
}

// PooledNetwork is a Network that keeps connections open.
type PooledNetwork struct{ Pool *transport.Pool }

// Store implements Network.
func (n PooledNetwork) Store(ctx context.Context, address string, message *rpc.StoreOrigins) (*rpc.OriginsStored, error) {
	return rpc.NewDRPCOriginsClient(n.Pool.Conn(ctx, address)).Store(ctx, message)
}

// Find implements Network.
func (n PooledNetwork) Find(ctx context.Context, address string, message *rpc.FindOrigin) (*rpc.OriginAnswer, error) {
	return rpc.NewDRPCOriginsClient(n.Pool.Conn(ctx, address)).Find(ctx, message)
}
