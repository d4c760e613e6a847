package fleet

import "time"

// Notice is what a replica says of itself in an answer to this daemon, beside the answer.
type Notice struct {
	Replica   string
	RequestID string        // that the answer is to; empty: an order, or a question
	Leaving   bool          // it leaves, and wants no new work
	Rest      time.Duration // for how long it wants nothing of this daemon; zero: it does not say
}
