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
	// ClaimRetention is how long a claim and its outcome are stored after its settle
	// deadline.
	ClaimRetention = time.Hour
	// maxStoredBodyBytes bounds the body of a stored response before compression; a longer
	// body is dropped.
	maxStoredBodyBytes = 256 << 10
)

// ClaimState is the progress of a claim. Of two records of one claim, the one with the
// higher state is newer.
type ClaimState uint32

// States of claims.
const (
	Claimed ClaimState = iota
	// Indeterminate means that the request may have run and its outcome is unknown.
	Indeterminate
	Completed
)

// Outcome is the response to a keyed request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Dropped reports that the body is not stored because of a size limit.
	Dropped bool
}

// Record is a claim and its outcome, if known.
type Record struct {
	Key         string // result of HashKey
	State       ClaimState
	RequestID   string // unique to the claim
	Fingerprint string // of the request's content
	ClaimedAt   time.Time
	// SettleDeadline is the latest time to store the outcome; a claim without one is
	// Indeterminate after it.
	SettleDeadline time.Time
	Outcome        Outcome
}

// asOf returns the record with its state at the given time.
func (r Record) asOf(now time.Time) Record {
	if r.State == Claimed && now.After(r.SettleDeadline) {
		r.State = Indeterminate
	}
	return r
}

// expired reports whether the record is past its retention.
func (r Record) expired(now time.Time) bool { return now.Sub(r.SettleDeadline) > ClaimRetention }

// Fingerprint hashes the content of a request. It detects the reuse of a key for a
// different request.
func Fingerprint(parts ...[]byte) string {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write(part) // never fails
		_, _ = hash.Write([]byte{0})
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// HashKey returns the hash under which a branch's key is stored.
func HashKey(branch, key string) string { return Fingerprint([]byte(branch), []byte(key)) }

// KeyTime returns the creation time of a key that contains it (UUID version 7).
func KeyTime(key string) (time.Time, bool) {
	const timeOrdered = 7
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != timeOrdered {
		return time.Time{}, false
	}
	milliseconds := int64(0)
	for _, b := range parsed[:6] {
		milliseconds = milliseconds<<8 | int64(b)
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

// recordFromWire converts a message to a record, whose body stays compressed.
func recordFromWire(message *rpc.ClaimRecord) Record {
	return Record{
		Key: message.GetKey(), State: ClaimState(message.GetState()), RequestID: message.GetRequestId(), Fingerprint: message.GetFingerprint(),
		ClaimedAt: time.UnixMilli(message.GetClaimedUnixMs()), SettleDeadline: time.UnixMilli(message.GetSettledByUnixMs()),
		Outcome: Outcome{Status: int(message.GetStatus()), ContentType: message.GetContentType(), Body: message.GetBodyGzip(),
			Dropped: message.GetBodyDropped()},
	}
}

// compress returns the outcome as it is stored: the body compressed, or dropped if too
// long.
func (o Outcome) compress() Outcome {
	if len(o.Body) > maxStoredBodyBytes {
		o.Body, o.Dropped = nil, true
		return o
	}
	o.Body = gzipped.Compress(o.Body)
	return o
}

// decompress is the reverse of compress.
func (o Outcome) decompress() (Outcome, error) {
	if o.Dropped {
		return o, nil
	}
	body, err := gzipped.Decompress(o.Body, maxStoredBodyBytes)
	o.Body = body
	return o, err
}
