// Package quarantine stops dispatching requests that repeatedly crash replicas. A crashing replica
// fails all its requests in flight, which callers then retry at any daemon; without a quarantine,
// one such request could crash every replica that serves its model.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// FingerprintBytes is the length of a Fingerprint. 128 bits of SHA-256 make it infeasible to forge
// a request with the fingerprint of another caller's request.
const FingerprintBytes = 16

// Fingerprint identifies a request across all its attempts and daemons. It is a hash and reveals
// nothing of the request's content.
type Fingerprint [FingerprintBytes]byte

// Identity holds the properties that all attempts of one request share. Request IDs are not among
// them, since each attempt has its own.
type Identity struct {
	Method string
	Host   string
	Path   string
	Query  string // part of the fingerprint only if the body is empty
	Caller string // name of the tenant; empty if requests carry no API key
	Body   []byte
}

// Fingerprint hashes the identity.
func (i Identity) Fingerprint() Fingerprint {
	content := i.Body
	if len(content) == 0 {
		content = []byte(i.Query)
	}
	sum := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(i.Method), []byte(i.Host), []byte(i.Path), []byte(i.Caller), content} {
		// The length prefix keeps different splits of the same bytes apart.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = sum.Write(length[:]) // a hash never fails
		_, _ = sum.Write(part)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], sum.Sum(nil))
	return fingerprint
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
