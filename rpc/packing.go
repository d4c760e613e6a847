package rpc

import (
	"google.golang.org/protobuf/proto"

	"github.com/finchspoke/finchspoke/gzipped"
)

const (
	// minPackBytes is the encoded size from which Pack compresses a message.
	minPackBytes = 2 << 10
	// maxUnpackedBytes is the largest decompressed size that Unpack accepts.
	maxUnpackedBytes = 64 << 20
)

// Pack returns a message with the complete view gzipped in its Packed field, or the view itself if that
// is small.
func (v *LoadsView) Pack() *LoadsView {
	if proto.Size(v) < minPackBytes {
		return v
	}
	data, err := proto.Marshal(v)
	if err != nil {
		return v // sending it reports the error
	}
	return &LoadsView{Packed: gzipped.Compress(data)}
}

// Unpack returns the view that Pack compressed, or the message itself if it is not packed.
func (v *LoadsView) Unpack() (*LoadsView, error) {
	if len(v.GetPacked()) == 0 {
		return v, nil
	}
	plain := &LoadsView{}
	return plain, unpack(v.GetPacked(), plain)
}

// Pack returns a message with the written and deleted records gzipped in its Packed field, or the update
// itself if that is small. Of the other fields it copies Revision, Whole and ContactAgeMs only.
func (u *RecordsUpdate) Pack() *RecordsUpdate {
	if proto.Size(u) < minPackBytes {
		return u
	}
	data, err := proto.Marshal(&RecordsUpdate{Records: u.GetRecords(), Gone: u.GetGone()})
	if err != nil {
		return u // sending it reports the error
	}
	return &RecordsUpdate{Revision: u.GetRevision(), Whole: u.GetWhole(), ContactAgeMs: u.GetContactAgeMs(), Packed: gzipped.Compress(data)}
}

// Unpack returns the update with its records decompressed, or the message itself if it is not packed.
func (u *RecordsUpdate) Unpack() (*RecordsUpdate, error) {
	if len(u.GetPacked()) == 0 {
		return u, nil
	}
	records := &RecordsUpdate{}
	if err := unpack(u.GetPacked(), records); err != nil {
		return nil, err
	}
	return &RecordsUpdate{
		Revision: u.GetRevision(), Whole: u.GetWhole(), WithoutReplicas: u.GetWithoutReplicas(), SecondHand: u.GetSecondHand(), Question: u.GetQuestion(),
		ContactAgeMs: u.GetContactAgeMs(), ProvenAgeMs: u.GetProvenAgeMs(), Records: records.GetRecords(), Gone: records.GetGone(),
	}, nil
}

func unpack(packed []byte, into proto.Message) error {
	data, err := gzipped.Decompress(packed, maxUnpackedBytes)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, into)
}
