package balancer

import (
	"time"

	"github.com/finchspoke/finchspoke/balance"
	"github.com/finchspoke/finchspoke/core"
	"github.com/finchspoke/finchspoke/fleet"
)

const (
	// prefixLife is how long a replica is assumed to keep a prefix after its last use.
	prefixLife = 10 * time.Second
	// unreadPromptLife is the age at which a prompt without a first byte is forgotten.
	unreadPromptLife = time.Minute
)

// prefixCaches estimates which prefixes of prompts replicas keep in their caches.
type prefixCaches struct {
	kept   map[fleet.Incarnation]map[uint64]*keptPrefix // by key
	unread map[balance.DispatchID]unreadPrefixes        // of dispatches without a first byte
}

// keptPrefix is a prefix that a replica has read, or reads before prompts that are sent later.
type keptPrefix struct {
	unread int       // dispatches with the prefix that have no first byte
	sentAt time.Time // the latest of them
	readAt time.Time // the latest first byte after the prefix; zero without one
}

// unreadPrefixes is what the prompt of a dispatch will leave in a replica's cache.
type unreadPrefixes struct {
	replica  fleet.Incarnation
	prefixes []core.Prefix
	sentAt   time.Time
}

func newPrefixCaches() *prefixCaches {
	return &prefixCaches{kept: map[fleet.Incarnation]map[uint64]*keptPrefix{}, unread: map[balance.DispatchID]unreadPrefixes{}}
}

func (k *keptPrefix) isRead(now time.Time) bool { return now.Sub(k.readAt) <= prefixLife }

func (k *keptPrefix) isCached(now time.Time) bool {
	return k.isRead(now) || k.unread > 0 && now.Sub(k.sentAt) <= prefixLife
}

// cachedTokens returns the length of the longest prefix that a replica probably keeps when it reads the
// next prompt, and of the longest one that it has already read.
func (p *prefixCaches) cachedTokens(replica fleet.Incarnation, prefixes []core.Prefix, now time.Time) (cached, read int) {
	isRead := true
	for _, prefix := range prefixes {
		kept := p.kept[replica][prefix.Key]
		if kept == nil || !kept.isCached(now) {
			break
		}
		cached = prefix.Tokens
		if isRead = isRead && kept.isRead(now); isRead {
			read = prefix.Tokens
		}
	}
	return cached, read
}

// add records that the prompt of a dispatch is sent to a replica, and not to an earlier one.
func (p *prefixCaches) add(id balance.DispatchID, replica fleet.Incarnation, prefixes []core.Prefix, now time.Time) {
	p.drop(id)
	if len(prefixes) == 0 {
		return
	}
	p.unread[id] = unreadPrefixes{replica, prefixes, now}
	if p.kept[replica] == nil {
		p.kept[replica] = map[uint64]*keptPrefix{}
	}
	for _, prefix := range prefixes {
		kept := p.kept[replica][prefix.Key]
		if kept == nil {
			kept = &keptPrefix{}
			p.kept[replica][prefix.Key] = kept
		}
		kept.unread, kept.sentAt = kept.unread+1, now
	}
}

// recordFirstByte records that the prompt of a dispatch has been read.
func (p *prefixCaches) recordFirstByte(id balance.DispatchID, now time.Time) {
	sent := p.unread[id]
	for _, prefix := range sent.prefixes {
		p.kept[sent.replica][prefix.Key].readAt = now
	}
	p.drop(id)
}

// drop forgets a dispatch; what it has not read by now is not kept.
func (p *prefixCaches) drop(id balance.DispatchID) {
	sent := p.unread[id]
	for _, prefix := range sent.prefixes {
		p.kept[sent.replica][prefix.Key].unread--
	}
	delete(p.unread, id)
}

// expire forgets what replicas no longer keep.
func (p *prefixCaches) expire(now time.Time) {
	for id, sent := range p.unread {
		if now.Sub(sent.sentAt) > unreadPromptLife {
			p.drop(id)
		}
	}
	for replica, prefixes := range p.kept {
		for key, kept := range prefixes {
			if kept.unread == 0 && !kept.isRead(now) {
				delete(prefixes, key)
			}
		}
		if len(prefixes) == 0 {
			delete(p.kept, replica)
		}
	}
}
