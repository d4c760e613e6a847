package upstream

import "hash/maphash"

// rememberedExchanges bounds the memory of a connection's history. A surplus response would have to be delayed by as
// many others on its connection to be taken for the response to a repeat.
const rememberedExchanges = 64

// historySeed is that of all histories of the process.
var historySeed = maphash.MakeSeed()

// history records the IDs of the latest exchanges on a connection, as hashes: the replica may still send a second
// response to any of them. Two different IDs with the same hash only cost a connection.
type history struct {
	hashes [rememberedExchanges]uint64
	count  int // exchanges so far
}

// record adds an exchange, which has begun.
func (h *history) record(id string) {
	h.hashes[h.count%rememberedExchanges] = maphash.String(historySeed, id)
	h.count++
}

// distinguishes reports whether the response to an exchange with an ID could be told from second responses to the
// exchanges so far. It makes no statement about exchanges without an ID.
func (h *history) distinguishes(id string) bool {
	if id == "" {
		return true
	}
	hash := maphash.String(historySeed, id)
	for _, earlier := range h.hashes[:min(h.count, rememberedExchanges)] {
		if earlier == hash {
			return false
		}
	}
	return true
}
