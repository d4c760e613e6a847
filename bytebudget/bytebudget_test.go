package bytebudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/finchspoke/finchspoke/testseed"
)

func TestMain(m *testing.M) { testseed.Run(m, 200, 50) }

// Guards against reservations that together exceed the budget, that refuse what fits, or whose bytes are not returned.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		refusals := 0
		budget := New(limit, func(input string) {
			require.Equal(t, "body", input)
			refusals++
		})
		var reservations []*Reservation
		held, total := map[*Reservation]int64{}, int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(*rapid.T) { reservations = append(reservations, budget.Reserve("body")) },
			"grow": func(t *rapid.T) {
				if len(reservations) == 0 {
					t.Skip("nothing is reserved")
				}
				reservation := rapid.SampledFrom(reservations).Draw(t, "reservation")
				to := rapid.Int64Range(0, 1<<18).Draw(t, "bytes")
				share := limit
				if to > SmallBytes {
					share = int64(largeShare * float64(limit))
				}
				want, before := to <= held[reservation] || total+to-held[reservation] <= share, refusals
				require.Equal(t, want, reservation.GrowTo(to))
				require.Equal(t, !want, refusals > before)
				if want && to > held[reservation] {
					total += to - held[reservation]
					held[reservation] = to
				}
			},
			"release": func(t *rapid.T) {
				if len(reservations) == 0 {
					t.Skip("nothing is reserved")
				}
				reservation := rapid.SampledFrom(reservations).Draw(t, "reservation")
				reservation.Release()
				total -= held[reservation]
				held[reservation] = 0
			},
			"": func(t *rapid.T) {
				require.Equal(t, total, budget.Used())
				require.LessOrEqual(t, total, limit)
			},
		})
	})
}

// Guards against large requests that leave no room for small ones.
func TestSmallReservationsFitBesideLargeOnes(t *testing.T) {
	budget := New(4<<20, nil)
	for budget.Reserve("large").GrowTo(1 << 20) {
	}
	require.True(t, budget.Reserve("small").GrowTo(SmallBytes))
}

func TestReadAllReservesBeforeItReads(t *testing.T) {
	const size = 100 << 10
	text := strings.Repeat("x", size)
	for _, length := range []int64{size, -1} {
		budget := New(1<<20, nil)
		reservation := budget.Reserve("body")
		data, err := reservation.ReadAll(iotest.OneByteReader(strings.NewReader(text)), length, 1<<20)
		require.NoError(t, err)
		require.Equal(t, text, string(data))
		require.GreaterOrEqual(t, budget.Used(), int64(size))
		reservation.Release()
		require.Zero(t, budget.Used())

		data, err = reservation.ReadAll(strings.NewReader(text), length, size/2)
		require.NoError(t, err)
		require.Len(t, data, size/2, "up to the limit")
		reservation.Release()

		exhausted := New(size/2, nil).Reserve("body")
		source := strings.NewReader(text)
		data, err = exhausted.ReadAll(source, length, 1<<20)
		require.ErrorIs(t, err, ErrExhausted)
		require.Equal(t, size-source.Len(), len(data), "nothing that was read is lost")
		require.Equal(t, length >= 0, len(data) == 0, "a known length is refused before anything is read")
	}
	var unlimited *Budget
	data, err := unlimited.Reserve("body").ReadAll(bytes.NewReader(nil), 0, 10)
	require.NoError(t, err)
	require.Empty(t, data)
	broken := errors.New("broken")
	_, err = unlimited.Reserve("body").ReadAll(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), -1, 10)
	require.ErrorIs(t, err, broken)
}
