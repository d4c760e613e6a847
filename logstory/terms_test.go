package logstory

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const termsLog = `
{"message":"term begins","daemon":"node-1","fence":2,"began":"expired","time":"2026-01-01T00:00:00Z"}
{"message":"load order","daemon":"node-1","fence":2,"replica":"r1","took_ms":20,"time":"2026-01-01T00:00:01Z"}
{"message":"load order","daemon":"node-1","fence":2,"replica":"r2","took_ms":20,"time":"2026-01-01T00:00:02Z"}
{"message":"term begins","daemon":"node-2","fence":9,"began":"expired","time":"2026-01-01T00:00:03Z"}
{"message":"load order","daemon":"node-2","fence":9,"replica":"r1","took_ms":200,"time":"2026-01-01T00:00:05Z"}
{"message":"load order","daemon":"node-2","fence":9,"replica":"r2","took_ms":0,"time":"2026-01-01T00:00:05Z"}
{"message":"load order","daemon":"node-1","fence":2,"replica":"r2","took_ms":0,"time":"2026-01-01T00:00:05.5Z"}
{"message":"term begins","daemon":"node-1","fence":12,"began":"handed_over","time":"2026-01-01T00:00:08Z"}
{"message":"load order","daemon":"node-1","fence":12,"replica":"r1","took_ms":0,"time":"2026-01-01T00:00:09Z"}
`

// Guards against a gap that counts the time of the later order's response, and against orders in reverse that go unnoticed.
func TestLeastGapsBetweenLeadersAreFoundByHowTheTermBegan(t *testing.T) {
	lines, err := Read(strings.NewReader(termsLog))
	require.NoError(t, err)
	require.Equal(t, []TermChanges{
		{Began: "expired", Changes: 3, Reversed: 1, Least: LeaderChange{Replica: "r2", Earlier: "node-2", EarlierFence: "9", Later: "node-1", LaterFence: "2", Gap: 500 * time.Millisecond}},
		{Began: "handed_over", Changes: 1, Least: LeaderChange{Replica: "r1", Earlier: "node-2", EarlierFence: "9", Later: "node-1", LaterFence: "12", Gap: 4 * time.Second}},
	}, CountTermChanges(lines))

	withoutReversed := CountTermChanges(slicesWithout(lines, 6))
	require.Equal(t, 3*time.Second, withoutReversed[0].Least.Gap)
	require.Equal(t, "r2", withoutReversed[0].Least.Replica)
	require.Empty(t, CountTermChanges(nil))
}

func slicesWithout(lines []Line, index int) []Line {
	return append(append([]Line(nil), lines[:index]...), lines[index+1:]...)
}
