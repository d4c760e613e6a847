package kv

import "github.com/pkg/errors"

// counterBits is the number of low bits of a revision that hold the service's own change counter. The era,
// which is the number of restores from a backup, is above them: a restored service reuses counter values,
// and the era makes revisions increase across restores. Services that report no era are in era zero.
// Era and counter together fit in the integers that a JSON number represents exactly.
const counterBits = 40

// ErrRestored means that the revision or lease passed to a call is from before a restore of the service from
// a backup, and is no longer valid.
var ErrRestored = errors.New("key-value service was restored from a backup; its records must be listed again")

// MakeRevision combines an era and the service's change counter into a revision.
func MakeRevision(era, counter int64) int64 { return era<<counterBits | counter }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> counterBits }

// CounterOf returns the service's change counter of a revision; it is unique only within an era.
func CounterOf(revision int64) int64 { return revision & (1<<counterBits - 1) }
