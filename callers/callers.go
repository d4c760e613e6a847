// Package callers maps API keys to their owners. It stores keys as hashes, so that no log line, metric
// or memory dump of the index reveals one.
package callers

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// Hash returns the SHA-256 hash of an API key.
func Hash(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash as hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash decodes a hash from hexadecimal digits. valid is false if they are not exactly one hash.
func ParseHash(digits string) (hash KeyHash, valid bool) {
	decoded, err := hex.DecodeString(digits)
	if err != nil || len(decoded) != len(hash) {
		return KeyHash{}, false
	}
	copy(hash[:], decoded)
	return hash, true
}

// Keys maps hashed API keys to their owners. The zero value is empty and ready to use.
type Keys[Owner any] struct {
	owners map[KeyHash]Owner
}

// Add assigns a key to an owner and replaces any previous one.
func (k *Keys[Owner]) Add(key KeyHash, owner Owner) {
	if k.owners == nil {
		k.owners = map[KeyHash]Owner{}
	}
	k.owners[key] = owner
}

// Owner returns the owner of a key and whether the key is known.
func (k *Keys[Owner]) Owner(key KeyHash) (owner Owner, found bool) {
	owner, found = k.owners[key]
	return owner, found
}

// Len returns the number of keys.
func (k *Keys[Owner]) Len() int { return len(k.owners) }
