// Package rendezvous picks owners by highest-random-weight hashing: every
// member computes the same owner from the same member list, and a change of one
// member moves only the keys that member owned.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator keeps ("ab","c") and ("a","bc") apart.
const separator = "\x00"

// Score is the weight of a member for a key; the highest wins.
func Score(key, memberID string) uint64 {
	return xxhash.Sum64String(key + separator + memberID)
}

// Owner returns the member with the highest score, or false without members.
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
	ranked := slices.Clone(memberIDs)
	slices.SortFunc(ranked, func(a, b string) int {
		scoreA, scoreB := Score(key, a), Score(key, b)
		switch {
		case scoreA > scoreB || (scoreA == scoreB && a < b):
			return -1
		case a == b:
			return 0
		}
		return 1
	})
	return ranked
}
