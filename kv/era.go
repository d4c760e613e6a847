package kv

import "github.com/pkg/errors"

// A service that is restored from a copy loses the writes since, and gives their revisions out again. Each
// time its era rises by one. Revisions in this package carry their era above the service's own count of
// changes, so that they are ordered over restores: every revision of an era lies above all of the eras
// before. A service that names no era has a single one, in which a revision is the count itself.

// countBits is how many bits of a revision are the service's own count of changes. Both fit a JSON number.
const countBits = 40

// ErrRestored means that the service was restored from a copy since the revision or lease that a call names
// was heard of: neither says anything of what it holds now.
var ErrRestored = errors.New("key-value service was restored from a copy; its records must be listed again")

// MakeRevision returns the revision of a change that an era's count names.
func MakeRevision(era, count int64) int64 { return era<<countBits | count }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> countBits }

// CounterOf returns the service's own count of a revision, which it may have given out in earlier eras too.
func CounterOf(revision int64) int64 { return revision & (1<<countBits - 1) }
