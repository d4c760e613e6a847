// Package group replicates small states in the memory of daemons in different zones.
//
// A claim group stores the idempotency keys of one slot of a region, so that a keyed
// request runs at most once. The plan group stores the region's placement plan. A
// claim or a plan revision is committed once a majority of the group accepted it.
//
// The key-value service stores only the view of each group: the processes that form
// it. Manager changes a view by sealing a majority of the old one and copying its
// state. A daemon that restarted has lost its state and is no longer a member.
//
// Member and tally do no I/O; Ledger, Register and Manager call members over drpc.
package group
