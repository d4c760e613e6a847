package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a proof by probes that too few daemons have acknowledged, and against one that a late acknowledgement of
// an earlier probe, or one of an earlier term, renews.
func TestProofIsAsOldAsTheProbeThatMostAcknowledged(t *testing.T) {
	start := time.Unix(1000, 0)
	var proof followingProof
	proof.beginTerm()
	require.Zero(t, proof.provenAt(1, 0))
	for second := range 3 {
		proof.send(start.Add(time.Duration(second)*time.Second), time.Second)
	}
	require.EqualValues(t, 3, proof.newest())
	proof.acknowledge("a", 3)
	require.Zero(t, proof.provenAt(2, 0), "one of two")
	proof.acknowledge("b", 1)
	require.Equal(t, start, proof.provenAt(2, 0), "the probe that both acknowledged")
	proof.acknowledge("b", 2)
	proof.acknowledge("b", 1)
	require.Equal(t, start.Add(time.Second), proof.provenAt(2, 0), "acknowledgements that overtake each other")
	require.Equal(t, start.Add(2*time.Second), proof.provenAt(2, 1), "a daemon that acknowledges nothing counts while it is attached")

	due := proof.send(start.Add(2500*time.Millisecond), time.Second)
	require.Equal(t, start.Add(3*time.Second), due, "the next probe is not due yet")
	proof.beginTerm()
	proof.send(start.Add(9*time.Second), time.Second)
	require.EqualValues(t, 4, proof.newest(), "no number is used in two terms")
	proof.acknowledge("a", 3)
	require.Zero(t, proof.provenAt(1, 0), "an acknowledgement of the earlier term")
}
