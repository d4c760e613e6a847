package loader

import "github.com/finchspoke/finchspoke/relay"

// Peers returns the daemons that are attached to this one; false if it is not the leader.
func (l *Leader) Peers() (peers []relay.Peer, leads bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.fence == 0 {
		return nil, false
	}
	for id, state := range l.daemons {
		if state.detachedAt.IsZero() && state.address != "" {
			peers = append(peers, relay.Peer{Daemon: id, Address: state.address, Zone: state.zone})
		}
	}
	return peers, true
}
