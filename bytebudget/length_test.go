package bytebudget

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a length that a sender states and that is the largest number: with the byte for the end of the input it is
// negative.
func TestTheLargestLengthIsReadUpToTheLimit(t *testing.T) {
	for _, length := range []int64{math.MaxInt64, math.MaxInt64 - 1, math.MaxInt32, math.MinInt64, -1} {
		budget := New(1<<20, nil)
		memory := budget.Reserve("test")
		data, err := memory.ReadAll(strings.NewReader("body"), length, 1<<16)
		require.NoError(t, err, length)
		require.Equal(t, "body", string(data))
		memory.Release()
	}
	budget := New(1<<10, nil)
	other := budget.Reserve("other")
	require.True(t, other.GrowTo(10))
	memory := budget.Reserve("test")
	defer memory.Release()
	_, err := memory.ReadAll(strings.NewReader("body"), math.MaxInt64, math.MaxInt64)
	require.ErrorIs(t, err, ErrExhausted)
	require.EqualValues(t, 10, budget.Used())
}
