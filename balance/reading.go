package balance

import (
	"time"

	"github.com/finchspoke/finchspoke/pace"
)

// maxReading is how long a replica may read without a break until its speed is taken.
const maxReading = 500 * time.Millisecond

// reading measures how many prompt tokens a replica reads from the dispatch of a prompt until no prompt is
// left. Several prompts are often read in one step of the engine, so that the time of one alone tells little.
type reading struct {
	since     time.Time
	tokens    int
	isSpoiled bool // prompts were dropped, or waited for something else
}

// begin records that reading begins, after a time without.
func (r *reading) begin(at time.Time) { *r = reading{since: at} }

// spoil discards the measurement until the replica has no unread prompt.
func (r *reading) spoil() { r.isSpoiled = true }

// record adds a prompt that was read at a time and returns a sample if there is one; isLast is whether no
// prompt that was sent is left.
func (r *reading) record(tokens int, at time.Time, isLast bool) (sample pace.Sample, ok bool) {
	r.tokens += tokens
	if !isLast && at.Sub(r.since) < maxReading {
		return pace.Sample{}, false
	}
	sample, ok = pace.Sample{Tokens: r.tokens, Took: at.Sub(r.since)}, !r.isSpoiled
	*r = reading{since: at, isSpoiled: r.isSpoiled && !isLast}
	return sample, ok
}
