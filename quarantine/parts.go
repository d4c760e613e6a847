package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

const (
	partHashBytes = 8
	// maxParts bounds the parts of one prompt that are tracked. Further ones are ignored.
	maxParts = 32
)

// PartHash identifies a part of the prompts of one service. It is a hash and reveals nothing of the part.
type PartHash [partHashBytes]byte

// String returns the hash as hexadecimal digits.
func (h PartHash) String() string { return hex.EncodeToString(h[:]) }

// HashParts returns the hashes of the first parts of a prompt, in order and each once.
func HashParts(service string, ids []string) []PartHash {
	hashes := make([]PartHash, 0, min(len(ids), maxParts))
	for _, id := range ids[:min(len(ids), maxParts)] {
		if hash := hashPart(service, id); !slices.Contains(hashes, hash) {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

func hashPart(service, id string) (hash PartHash) {
	// The length prefix keeps different splits of the same bytes apart.
	content := binary.BigEndian.AppendUint64(make([]byte, 0, 64), uint64(len(service)))
	content = append(append(content, service...), id...)
	sum := sha256.Sum256(content)
	copy(hash[:], sum[:])
	return hash
}

// Suspect is a request that a replica had when it crashed, or may have when it crashes.
type Suspect struct {
	Request Fingerprint
	// Parts are the parts of the request's prompt that other requests may have too, in order. A part crashes replicas
	// as they begin to answer, so there are none once the replica has begun.
	Parts []PartHash
}
