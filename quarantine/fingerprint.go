// Package quarantine keeps requests under which replica after replica ends away from
// replicas. A replica that ends takes all requests in flight with it, and callers send them
// again, at any daemon; one request can so end every replica that holds its model.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// FingerprintBytes is the length of a Fingerprint. 128 bits of SHA-256: nobody can make a
// request that has the fingerprint of another's.
const FingerprintBytes = 16

// Fingerprint names a request over all its attempts, whichever daemon they come to. It shows
// nothing of what it was made of.
type Fingerprint [FingerprintBytes]byte

// Identity is what the attempts of one request have in common. Ids do not belong to it:
// each attempt has its own.
type Identity struct {
	Method string
	Host   string
	Path   string
	Query  string // told apart only where there is no body: what is asked for is then in it
	Caller string // the tenant that sends it; empty where requests show no keys
	Body   []byte
}

// Fingerprint returns the fingerprint of all attempts with this identity.
func (i Identity) Fingerprint() Fingerprint {
	content := i.Body
	if len(content) == 0 {
		content = []byte(i.Query)
	}
	sum := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(i.Method), []byte(i.Host), []byte(i.Path), []byte(i.Caller), content} {
		// The length keeps two parts from reading like two others.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:]) // a hash never fails
		_, _ = sum.Write(part)
	}
	var made Fingerprint
	copy(made[:], sum.Sum(nil))
	return made
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
