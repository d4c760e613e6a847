package kv

import (
	"encoding/json"
	"strconv"
)

// The Wire types are the subset of the etcd v3 JSON gateway that Client uses. Byte
// slices are base64 strings and 64-bit integers are decimal strings in JSON.

// Int64 is a 64-bit integer that is encoded as a JSON string and decoded from a string or a number.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (n Int64) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

// UnmarshalJSON implements json.Unmarshaler.
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

// WireHeader is the header of every response.
type WireHeader struct {
	Revision Int64 `json:"revision"`
}

// WirePair is a key-value pair with its metadata.
type WirePair struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// WireRange requests one key, or all keys in [Key, RangeEnd).
type WireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// WireRangeResponse is the response to a WireRange.
type WireRangeResponse struct {
	Header WireHeader `json:"header"`
	Pairs  []WirePair `json:"kvs,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// WireCompare is a transaction condition on a key's mod revision.
type WireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision Int64  `json:"mod_revision"`
}

// Values of WireCompare's Target and Result.
const (
	CompareTargetMod   = "MOD"
	CompareResultEqual = "EQUAL"
)

// WirePut writes a key, bound to a lease if Lease is not zero.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// WireOperation is one operation of a transaction. Exactly one field is set.
type WireOperation struct {
	Range  *WireRange `json:"request_range,omitempty"`
	Put    *WirePut   `json:"request_put,omitempty"`
	Delete *WireRange `json:"request_delete_range,omitempty"`
}

// WireTxn runs the Success operations if all comparisons succeed, and the Failure operations otherwise.
type WireTxn struct {
	Compare []WireCompare   `json:"compare,omitempty"`
	Success []WireOperation `json:"success,omitempty"`
	Failure []WireOperation `json:"failure,omitempty"`
}

// WireOperationResponse is the result of one operation of a transaction; only those of ranges are decoded.
type WireOperationResponse struct {
	Range *WireRangeResponse `json:"response_range,omitempty"`
}

// WireTxnResponse is the response to a WireTxn.
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

// WireEventDelete is the type of a deletion event. The type of a put event is empty.
const WireEventDelete = "DELETE"

// WireEvent is a change of one key.
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

// WireLeaseGrant requests a lease with a TTL in seconds.
type WireLeaseGrant struct {
	TTL Int64 `json:"TTL"`
	ID  Int64 `json:"ID,omitempty"`
}

// WireLeaseGrantResponse is the response to a WireLeaseGrant.
type WireLeaseGrantResponse struct {
	Header WireHeader `json:"header"`
	ID     Int64      `json:"ID"`
	TTL    Int64      `json:"TTL"`
}

// PrefixEnd returns the exclusive end of the range of all keys with a prefix.
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
