// Package rendezvous implements rendezvous hashing (highest random weight): all members
// compute the same owner of a key from the same member list, and adding or removing a
// member moves only the keys that it owns.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator distinguishes ("ab", "c") from ("a", "bc") in the hash input.
const separator = "\x00"

// Score returns the weight of a member for a key; the member with the highest owns it.
func Score(key, memberID string) uint64 {
	return xxhash.Sum64String(key + separator + memberID)
}

// Owner returns the member with the highest score for the key, and false if there are no
// members. The lower id wins a tie.
func Owner(key string, memberIDs []string) (string, bool) {
	owner := ""
	best := uint64(0)
	for _, id := range memberIDs {
		score := Score(key, id)
		if owner == "" || score > best || (score == best && id < owner) {
			owner, best = id, score
		}
	}
	return owner, owner != ""
}

// Ranked returns the members from highest to lowest score for the key.
func Ranked(key string, memberIDs []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	members := make([]scored, 0, len(memberIDs))
	for _, id := range memberIDs {
		members = append(members, scored{id, Score(key, id)})
	}
	slices.SortFunc(members, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ranked := make([]string, 0, len(members))
	for _, member := range members {
		ranked = append(ranked, member.id)
	}
	return ranked
}
