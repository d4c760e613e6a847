package upstream

import (
	"hash/maphash"
	"slices"
)

// rememberedExchanges bounds the memory of a connection's history. An unsolicited response would have to be delayed by as
// many others on its connection to be taken for the response to a repeat.
const rememberedExchanges = 64

// historySeed is that of all histories of the process.
var historySeed = maphash.MakeSeed()

// history records the IDs of the latest exchanges on a connection, as hashes: the replica may still send a second
// response to any of them. Two different IDs with the same hash only cost a connection.
type history struct {
	hashes [rememberedExchanges]uint64
	count  int // exchanges so far
	// lastHasID reports whether the latest exchange has an ID, and lastClass is its class if not.
	lastHasID bool
	lastClass string
}

// record adds an exchange, which has begun.
func (h *history) record(request Request) {
	h.hashes[h.count%rememberedExchanges] = maphash.String(historySeed, request.ID)
	h.count++
	h.lastHasID, h.lastClass = request.ID != "", request.Class
}

// distinguishes reports whether the response to a request could be told from second responses to the exchanges so far.
// Without an ID, that depends on the latest exchange, whose second response would be due in its place.
func (h *history) distinguishes(request Request) bool {
	if request.ID == "" {
		return h.count == 0 || h.lastHasID || h.lastClass != request.Class || request.Versioned
	}
	return !h.carried(request.ID)
}

// carried reports whether one of the latest exchanges has an ID.
func (h *history) carried(id string) bool {
	return slices.Contains(h.hashes[:min(h.count, rememberedExchanges)], maphash.String(historySeed, id))
}
