package kv

import (
	"encoding/json"
	"strconv"
)

// The types below are the subset of the etcd v3 JSON gateway that is used.
// Bytes are base64 in JSON, as encoding/json writes them; 64-bit integers are
// decimal strings, as the gateway writes them.

// Int64 is a 64-bit integer written as a JSON string and read as either form.
type Int64 int64

// MarshalJSON writes the number as a string.
func (n Int64) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

// UnmarshalJSON reads a string or a number.
func (n *Int64) UnmarshalJSON(data []byte) error {
	text := string(data)
	if unquoted, err := strconv.Unquote(text); err == nil {
		text = unquoted
	}
	if text == "" || text == "null" {
		*n = 0
		return nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	*n = Int64(value)
	return err
}

// WireHeader is the header of every answer.
type WireHeader struct {
	Revision Int64 `json:"revision"`
}

// WirePair is a key-value pair.
type WirePair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// WireRange asks for a key, or for all in [Key, RangeEnd).
type WireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// WireRangeResponse answers a WireRange.
type WireRangeResponse struct {
	Header WireHeader `json:"header"`
	Pairs  []WirePair `json:"kvs,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// WireCompare is a condition on a key's mod revision.
type WireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision Int64  `json:"mod_revision"`
}

// The only comparison used: the mod revision is equal.
const (
	CompareTargetMod   = "MOD"
	CompareResultEqual = "EQUAL"
)

// WirePut writes a key.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// WireOperation is one operation of a transaction; one field is set.
type WireOperation struct {
	Range  *WireRange `json:"request_range,omitempty"`
	Put    *WirePut   `json:"request_put,omitempty"`
	Delete *WireRange `json:"request_delete_range,omitempty"`
}

// WireTxn is a transaction.
type WireTxn struct {
	Compare []WireCompare   `json:"compare,omitempty"`
	Success []WireOperation `json:"success,omitempty"`
	Failure []WireOperation `json:"failure,omitempty"`
}

// WireOperationResponse answers one operation; only ranges carry data used here.
type WireOperationResponse struct {
	Range *WireRangeResponse `json:"response_range,omitempty"`
}

// WireTxnResponse answers a WireTxn.
type WireTxnResponse struct {
	Header    WireHeader              `json:"header"`
	Succeeded bool                    `json:"succeeded,omitempty"`
	Responses []WireOperationResponse `json:"responses,omitempty"`
}

// WireWatchCreate opens a watch on [Key, RangeEnd) from StartRevision.
type WireWatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision Int64  `json:"start_revision,omitempty"`
}

// WireWatch is the first message of a watch.
type WireWatch struct {
	Create WireWatchCreate `json:"create_request"`
}

// WireEventDelete is the type of a deletion event; a put has none.
const WireEventDelete = "DELETE"

// WireEvent is one change.
type WireEvent struct {
	Type string   `json:"type,omitempty"`
	Pair WirePair `json:"kv"`
}

// WireWatchResult is one message of a watch stream.
type WireWatchResult struct {
	Header          WireHeader  `json:"header"`
	Created         bool        `json:"created,omitempty"`
	Canceled        bool        `json:"canceled,omitempty"`
	CompactRevision Int64       `json:"compact_revision,omitempty"`
	Events          []WireEvent `json:"events,omitempty"`
}

// WireWatchResponse wraps each message of a watch stream.
type WireWatchResponse struct {
	Result WireWatchResult `json:"result"`
}

// WireLeaseGrant asks for a lease of TTL seconds.
type WireLeaseGrant struct {
	TTL Int64 `json:"TTL"`
	ID  Int64 `json:"ID,omitempty"`
}

// WireLeaseGrantResponse answers a grant.
type WireLeaseGrantResponse struct {
	Header WireHeader `json:"header"`
	ID     Int64      `json:"ID"`
	TTL    Int64      `json:"TTL"`
}

// PrefixEnd returns the end of the range of all keys that begin with prefix.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for index := len(end) - 1; index >= 0; index-- {
		if end[index] < 0xff {
			end[index]++
			return end[:index+1]
		}
	}
	return []byte{0}
}
