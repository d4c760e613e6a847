package logstory

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const dayLines = `collector: {"message":"request ended","time":"2026-12-02T10:00:02.5Z","daemon":"d1","route":"live","model":"m1","tenant":"press","outcome":"answered","duration_ms":1500,"first_byte_ms":100,"objective_ms":600}
{"message":"request ended","time":"2026-12-02T10:00:02.9Z","daemon":"d1","route":"live","model":"m2","outcome":"answered","duration_ms":100,"first_byte_ms":700,"objective_ms":600}
{"message":"request ended","time":"2026-12-02T10:00:02.9Z","daemon":"d1","route":"live","model":"m1","outcome":"answered","duration_ms":100,"first_byte_ms":10,"objective_ms":600,"gap_target_ms":300,"longest_pause_ms":400}
{"message":"request ended","time":"2026-12-02T10:00:04Z","daemon":"d2","route":"live","model":"m1","outcome":"no_capacity","duration_ms":10}
{"message":"load order","time":"2026-12-02T10:00:01Z","order":"load","outcome":"accepted","source":"disk","model":"m1","ready_in_ms":2000}
{"message":"load order","time":"2026-12-02T10:00:01Z","order":"load","outcome":"refused","source":"disk","model":"m1","ready_in_ms":2000}
{"message":"term begins","time":"2026-12-02T10:00:03Z","daemon":"d2"}
{"message":"dependency lost","time":"2026-12-02T10:00:03Z","daemon":"d1","dependency":"order holder"}
not a line of ours
{"message":"request ended","time":"yesterday"}
`

func dayOf(t *testing.T, filter Filter) *Day {
	day := NewDay(filter)
	require.NoError(t, day.Read(strings.NewReader(dayLines), nil))
	return day
}

func TestDayCountsEventsPerSecond(t *testing.T) {
	day := dayOf(t, Filter{})
	require.Equal(t, 10, day.Lines)
	require.Equal(t, 2, day.Malformed)
	from, seconds := day.Seconds()
	require.Equal(t, time.Date(2026, 12, 2, 10, 0, 1, 0, time.UTC), from)
	require.Len(t, seconds, 4)
	require.Equal(t, 1, seconds[0].Arrived)
	require.Equal(t, map[string]int{"disk": 1}, seconds[0].LoadsStarted)
	require.Equal(t, 1, seconds[1].InTime)
	require.Equal(t, 2, seconds[1].Late, "one late by its first byte, one by a pause")
	require.Equal(t, []string{"d2"}, seconds[2].Terms)
	require.Equal(t, map[string]int{"order holder": 1}, seconds[2].LostDependencies)
	require.Equal(t, map[string]int{"disk": 1}, seconds[2].LoadsCompleted)
	require.Equal(t, map[string]int{"no_capacity": 1}, seconds[3].NotServed)
}

func TestDayFilteredByModelOrTenant(t *testing.T) {
	_, seconds := dayOf(t, Filter{Model: "m1"}).Seconds()
	require.Equal(t, 1, seconds[1].Late)
	_, seconds = dayOf(t, Filter{Tenant: "press"}).Seconds()
	require.Equal(t, 1, seconds[1].InTime)
	require.Zero(t, seconds[1].Late)
	require.Empty(t, seconds[3:])
}

// Guards against memory use that grows with the number of log lines.
func TestLongLogIsReadInBoundedMemory(t *testing.T) {
	const lines = 200_000
	reader, writer := io.Pipe()
	go func() {
		line := strings.SplitN(dayLines, "\n", 2)[0]
		for range lines {
			_, _ = fmt.Fprintln(writer, line)
		}
		_, _ = fmt.Fprintln(writer, strings.Repeat("x", 3*maxLine))
		_ = writer.Close()
	}()
	day := NewDay(Filter{})
	bytesRead := int64(0)
	require.NoError(t, day.Read(reader, func(read int64) { bytesRead = read }))
	require.Equal(t, lines+1, day.Lines)
	require.Equal(t, 1, day.Malformed)
	require.Greater(t, bytesRead, int64(lines*200))
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	require.Less(t, memory.HeapAlloc, uint64(16<<20))
}
