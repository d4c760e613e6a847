// Package relay carries connections to replicas through other daemons. A daemon that cannot connect to a
// replica asks the leader for peers and has one of them open the connection; what it sends and receives
// passes through unchanged. So the request stays with the daemon that took it: its deadline, retries, permits
// and what is known of its execution do not depend on the way.
package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"github.com/finchspoke/finchspoke/hedge"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// peersTTL is the time between two calls that ask the leader for peers.
	peersTTL = time.Second
	// peersTimeout bounds the call that asks for peers.
	peersTimeout = 300 * time.Millisecond
	// openTimeout bounds the attempt to open a connection through one peer.
	openTimeout = 500 * time.Millisecond
	// maxPeersTried bounds the peers that are tried for one connection.
	maxPeersTried = 4
	// peerDelay is how long one peer may take before another is tried as well.
	peerDelay = 60 * time.Millisecond
	// failedPeerTTL is how long a peer that could not open a connection is tried after the others.
	failedPeerTTL = 2 * time.Second
	// failureTTL is how long a replica that no peer reached is not tried through peers again.
	failureTTL = time.Second
)

// Peer is a daemon that may relay.
type Peer struct {
	Daemon  string
	Address string // where daemons reach it
	Zone    string
}

var (
	errNoPeers     = errors.New("no other daemon is known that could relay; the leader names them")
	errUnreachable = errors.New("no peer reached the replica a moment ago")
)

// Client opens connections to replicas through other daemons. It is safe for concurrent use.
type Client struct {
	Daemon, Zone string // of this daemon
	// Leader returns the address of the leader; empty if none is known.
	Leader func() string
	// Dial opens connections to daemons.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// CountOpen counts an attempt to open a connection through a peer by its outcome; nil counts none.
	CountOpen func(outcome string)

	mutex    sync.Mutex
	peers    []Peer
	askedAt  time.Time
	failedAt failureTimes // by address of a replica that no peer reached
	// peerFailedAt is when each peer last could not open a connection, by its address.
	peerFailedAt failureTimes
}

// Outcomes of an attempt to open a connection through a peer, used in metrics.
const (
	outcomeOpened = "opened"
	outcomeFailed = "failed"
)

// Open opens a connection to a replica through another daemon. If it fails, nothing was sent to the replica.
func (c *Client) Open(ctx context.Context, replica, address string) (net.Conn, error) {
	if c.failedLately(address) {
		return nil, errUnreachable
	}
	peers, err := c.candidates(ctx)
	if err != nil {
		return nil, err
	}
	if len(peers) == 0 {
		return nil, errNoPeers
	}
	var attempts []hedge.Attempt
	for _, peer := range peers[:min(len(peers), maxPeersTried)] {
		attempts = append(attempts, hedge.Attempt{Open: func(ctx context.Context) (net.Conn, error) {
			return c.openThrough(ctx, peer, replica, address)
		}})
	}
	opened, _, err := hedge.Open(ctx, peerDelay, attempts...)
	if err != nil && ctx.Err() == nil {
		c.recordFailure(address)
	}
	return opened, errors.Wrap(err, "relay")
}

// candidates returns the peers in the order in which to try them: those that have not failed lately, in the same
// zone first, otherwise in random order.
func (c *Client) candidates(ctx context.Context) ([]Peer, error) {
	peers, err := c.currentPeers(ctx)
	if err != nil {
		return nil, err
	}
	shuffle(peers)
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	return peers, nil
}

// distance ranks a peer; smaller is better.
func (c *Client) distance(peer Peer) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	distance := 0
	if peer.Zone != c.Zone {
		distance++
	}
	if time.Since(c.peerFailedAt[peer.Address]) < failedPeerTTL {
		distance += 2
	}
	return distance
}

// currentPeers returns a copy of the peers that the leader named. While the leader does not answer, those that it
// named before stay in use.
func (c *Client) currentPeers(ctx context.Context) ([]Peer, error) {
	c.mutex.Lock()
	fresh := time.Since(c.askedAt) < peersTTL
	known := slices.Clone(c.peers)
	c.mutex.Unlock()
	if fresh {
		return known, nil
	}
	named, err := c.ask(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.askedAt = time.Now()
	if err == nil {
		c.peers = named
	} else if len(c.peers) == 0 {
		return nil, err
	}
	return slices.Clone(c.peers), nil
}

// ask asks the leader for peers.
func (c *Client) ask(ctx context.Context) ([]Peer, error) {
	leader := c.Leader()
	if leader == "" {
		return nil, errNoPeers
	}
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	dialed, err := c.Dial(ctx, leader)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the leader")
	}
	connection := drpcconn.New(dialed)
	defer func() { _ = connection.Close() }()
	answer, err := rpc.NewDRPCRelayClient(connection).Peers(ctx, &rpc.RelayPeersRequest{DaemonId: c.Daemon})
	if err != nil {
		return nil, errors.Wrap(err, "ask the leader for peers")
	}
	var peers []Peer
	for _, named := range answer.GetPeers() {
		peers = append(peers, Peer{Daemon: named.GetDaemonId(), Address: named.GetAddress(), Zone: named.GetZone()})
	}
	return peers, nil
}

// openThrough opens a connection through one peer. The connection outlives ctx; its user closes it.
func (c *Client) openThrough(ctx context.Context, peer Peer, replica, address string) (net.Conn, error) {
	ctx, cancelOpen := context.WithTimeout(ctx, openTimeout)
	defer cancelOpen()
	dialed, err := c.Dial(ctx, peer.Address)
	if err != nil {
		c.recordAttemptFailure(ctx, peer)
		return nil, errors.Wrapf(err, "connect to daemon %s", peer.Daemon)
	}
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	opened := &conn{Conn: dialed, peer: peer, cancel: cancel}
	stop := context.AfterFunc(ctx, func() { _ = opened.Close() })
	defer stop()
	if opened.stream, err = rpc.NewDRPCRelayClient(drpcconn.New(dialed)).Open(streamCtx); err == nil {
		err = opened.stream.Send(&rpc.RelayData{Target: &rpc.RelayTarget{ReplicaId: replica, Address: address}})
	}
	if err == nil {
		_, err = opened.stream.Recv()
	}
	if err != nil || !stop() {
		_ = opened.Close()
		c.recordAttemptFailure(ctx, peer)
		return nil, errors.Wrapf(cmp.Or(err, ctx.Err()), "relay through daemon %s", peer.Daemon)
	}
	c.recordPeer(peer, true)
	c.count(outcomeOpened)
	return opened, nil
}

// recordAttemptFailure records that a peer could not open a connection, unless the attempt was canceled.
func (c *Client) recordAttemptFailure(ctx context.Context, peer Peer) {
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		c.recordPeer(peer, false)
		c.count(outcomeFailed)
	}
}

func (c *Client) failedLately(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Since(c.failedAt[address]) < failureTTL
}

// recordFailure records that no peer reached a replica.
func (c *Client) recordFailure(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failedAt.record(address, failureTTL)
}

// recordPeer records the outcome of an attempt through a peer.
func (c *Client) recordPeer(peer Peer, opened bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if opened {
		delete(c.peerFailedAt, peer.Address)
		return
	}
	c.peerFailedAt.record(peer.Address, failedPeerTTL)
}

// failureTimes holds the times of the last failures, by address.
type failureTimes map[string]time.Time

// record records a failure now and forgets those older than ttl.
func (f *failureTimes) record(address string, ttl time.Duration) {
	if *f == nil {
		*f = failureTimes{}
	}
	now := time.Now()
	for recorded, at := range *f {
		if now.Sub(at) >= ttl {
			delete(*f, recorded)
		}
	}
	(*f)[address] = now
}

func (c *Client) count(outcome string) {
	if c.CountOpen != nil {
		c.CountOpen(outcome)
	}
}

// shuffle brings items into random order.
func shuffle[T any](items []T) {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
