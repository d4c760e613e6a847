package quota

import "time"

// FingerprintBytes is the length of a Fingerprint.
const FingerprintBytes = 16

// Fingerprint identifies a request of a tenant over all its attempts, at any daemon.
type Fingerprint [FingerprintBytes]byte

// Claim describes a request of a tenant whose requests compete for its limit.
type Claim struct {
	Fingerprint Fingerprint
	// Class is the name of the request's route. Classes of a tenant share its limit.
	Class string
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	// ObjectiveLeft is the time until the first byte of the response is expected.
	ObjectiveLeft time.Duration
	// Patience is the longest time that the caller waits before it returns after a refusal.
	Patience time.Duration
}

// classKey names a class of a tenant's requests.
type classKey struct {
	priority int
	name     string
}

// lowestPriority bounds the number of priorities that are told apart.
const lowestPriority = 9

func (c *Claim) key() classKey {
	return classKey{priority: min(max(0, c.Priority), lowestPriority), name: c.Class}
}
