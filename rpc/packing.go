package rpc

import (
	"google.golang.org/protobuf/proto"

	"github.com/finchspoke/finchspoke/gzipped"
)

const (
	// packFrom is the size in bytes from which messages that go to many daemons are
	// compressed. Records and names are alike, so they shrink to a fifth or less.
	packFrom = 2 << 10
	// unpackedMost bounds what a packed message may grow to.
	unpackedMost = 64 << 20
)

// Pack returns the message compressed, if it is long.
func (v *LoadsView) Pack() *LoadsView {
	if proto.Size(v) < packFrom {
		return v
	}
	data, err := proto.Marshal(v)
	if err != nil {
		return v // it fails again where it is sent
	}
	return &LoadsView{Packed: gzipped.Compress(data)}
}

// Unpack returns the message as it was before Pack.
func (v *LoadsView) Unpack() (*LoadsView, error) {
	if len(v.GetPacked()) == 0 {
		return v, nil
	}
	plain := &LoadsView{}
	return plain, unpack(v.GetPacked(), plain)
}

// Pack returns the message with its records compressed, if they are long.
func (u *RecordsUpdate) Pack() *RecordsUpdate {
	if proto.Size(u) < packFrom {
		return u
	}
	data, err := proto.Marshal(&RecordsUpdate{Records: u.GetRecords(), Gone: u.GetGone()})
	if err != nil {
		return u // it fails again where it is sent
	}
	return &RecordsUpdate{Revision: u.GetRevision(), Whole: u.GetWhole(), ContactAgeMs: u.GetContactAgeMs(), Packed: gzipped.Compress(data)}
}

// Unpack returns the message as it was before Pack.
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
	data, err := gzipped.Decompress(packed, unpackedMost)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, into)
}
