// Package group holds small states in the memory of a few daemons in different
// zones, for what must survive a daemon and must not burden the key-value service.
//
// There are two kinds of state. A run-once group holds the claims of idempotency
// keys of one slot of a region, so that a keyed request runs at most once: a claim
// counts once a majority has accepted it. The plan group holds the region's
// placement plan: a revision counts once a majority has accepted it from the
// proposer with the highest ballot.
//
// The key-value service holds only which processes form a group (its view), and is
// written when they change. A view is changed by sealing a majority of the old one,
// which then refuses it for ever, and copying what it held. Processes, not daemons,
// are members: one that restarted has lost its memory and is not a member.
//
// Member, tally and merge are pure; Ledger, Register and Manager carry them over
// drpc.
package group
