// Package callers tells whose an API key is. Keys are held as hashes, so that no log line,
// metric or memory dump of the index shows one.
package callers

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// Hash returns the hash of an API key.
func Hash(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash as hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash reads a hash from hexadecimal digits; false if they are none.
func ParseHash(digits string) (hash KeyHash, valid bool) {
	read, err := hex.DecodeString(digits)
	if err != nil || len(read) != len(hash) {
		return KeyHash{}, false
	}
	copy(hash[:], read)
	return hash, true
}

// Keys is an index from API keys to their owners. The zero value holds none.
type Keys[Owner any] struct {
	owners map[KeyHash]Owner
}

// Add gives a key to an owner; a key that had another is taken from it.
func (k *Keys[Owner]) Add(key KeyHash, owner Owner) {
	if k.owners == nil {
		k.owners = map[KeyHash]Owner{}
	}
	k.owners[key] = owner
}

// Owner returns the owner of a key, and whether there is one.
func (k *Keys[Owner]) Owner(key KeyHash) (owner Owner, known bool) {
	owner, known = k.owners[key]
	return owner, known
}

// Len returns how many keys have an owner.
func (k *Keys[Owner]) Len() int { return len(k.owners) }
