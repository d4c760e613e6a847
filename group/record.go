package group

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"github.com/finchspoke/finchspoke/gzipped"
	"github.com/finchspoke/finchspoke/rpc"
)

const (
	// Kept is how long a claim and its outcome are kept after the claim had to be
	// settled.
	ClaimRetention = time.Hour
	// maxOutcomeBytes bounds a stored answer; of a longer one only the fact that
	// it completed is kept.
	maxOutcomeBytes = 256 << 10
)

// ClaimState is the state of a claim.
type ClaimState uint32

// The states. Of two records of one claim the higher state is the newer.
const (
	Claimed ClaimState = iota
	// Unsettled means that the request may have run and its outcome is not known.
	Indeterminate
	Completed
)

// Outcome is an answer as it was given.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Dropped says that the body was too long, or too much with others, to keep.
	Dropped bool
}

// Record is a claim with what is known of its outcome.
type Record struct {
	Key         string // as hashed by HashKey
	State       ClaimState
	RequestID   string // unique to the claim
	Fingerprint string // of what was asked
	ClaimedAt   time.Time
	// SettleDeadline is when the outcome is stored at the latest; a claim without one
	// after that is unsettled.
	SettleDeadline time.Time
	Outcome        Outcome
}

// settled returns the record as it stands at a time.
func (r Record) settled(now time.Time) Record {
	if r.State == Claimed && now.After(r.SettleDeadline) {
		r.State = Indeterminate
	}
	return r
}

// expired tells whether the record need not be kept any more.
func (r Record) expired(now time.Time) bool { return now.Sub(r.SettleDeadline) > ClaimRetention }

// Fingerprint identifies what a request asks, so that a key cannot be used for
// something else.
func Fingerprint(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write(part) // never fails
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// HashKey returns the form in which a branch's key is held.
func HashKey(branch, key string) string { return Fingerprint([]byte(branch), []byte(key)) }

// KeyTime returns when a key was made, if it carries that (UUID version 7).
func KeyTime(key string) (time.Time, bool) {
	const timeOrdered = 7
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != timeOrdered {
		return time.Time{}, false
	}
	milliseconds := int64(0)
	for _, octet := range parsed[:6] {
		milliseconds = milliseconds<<8 | int64(octet)
	}
	return time.UnixMilli(milliseconds), true
}

func (r Record) wire() *rpc.ClaimRecord {
	message := &rpc.ClaimRecord{
		Key: r.Key, State: uint32(r.State), RequestId: r.RequestID, Fingerprint: r.Fingerprint,
		ClaimedUnixMs: r.ClaimedAt.UnixMilli(), SettledByUnixMs: r.SettleDeadline.UnixMilli(),
	}
	if r.State == Completed {
		message.Status, message.ContentType, message.BodyDropped = int32(r.Outcome.Status), r.Outcome.ContentType, r.Outcome.Dropped
		if !r.Outcome.Dropped {
			message.BodyGzip = r.Outcome.Body
		}
	}
	return message
}

// recordOf reads a message; bodies stay compressed in records.
func recordOf(message *rpc.ClaimRecord) Record {
	return Record{
		Key: message.GetKey(), State: ClaimState(message.GetState()), RequestID: message.GetRequestId(), Fingerprint: message.GetFingerprint(),
		ClaimedAt: time.UnixMilli(message.GetClaimedUnixMs()), SettleDeadline: time.UnixMilli(message.GetSettledByUnixMs()),
		Outcome: Outcome{Status: int(message.GetStatus()), ContentType: message.GetContentType(), Body: message.GetBodyGzip(),
			Dropped: message.GetBodyDropped()},
	}
}

// compressed returns the outcome as it is held.
func (o Outcome) compressed() Outcome {
	if len(o.Body) > maxOutcomeBytes {
		o.Body, o.Dropped = nil, true
		return o
	}
	o.Body = gzipped.Compress(o.Body)
	return o
}

// plain is the reverse of compressed.
func (o Outcome) plain() (Outcome, error) {
	if o.Dropped {
		return o, nil
	}
	body, err := gzipped.Decompress(o.Body, maxOutcomeBytes)
	o.Body = body
	return o, err
}
