package logging

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against loggers blocking on a log pipe that nobody reads.
func TestStalledWriterDoesNotBlockAndWarningsHaveReservedSpace(t *testing.T) {
	reader, writer := io.Pipe()
	bounded := NewBoundedWriter(writer)
	go func() { _ = bounded.Serve(t.Context()) }()
	logger := New(bounded, "info")
	for range queueLines {
		logger.Info("request ended")
	}
	require.Positive(t, bounded.Dropped())
	before := bounded.Dropped()
	logger.Warn("request failed")
	require.Equal(t, before, bounded.Dropped(), "a warning was dropped although space is reserved for it")
	require.NoError(t, reader.Close())
}

func TestDroppedLinesAreCountedInTheLog(t *testing.T) {
	var out bytes.Buffer
	bounded := NewBoundedWriter(&out)
	for range queueLines + 3 {
		_, _ = bounded.Write([]byte(`{"level":"warning"}` + "\n"))
	}
	bounded.Drain(time.Second)
	require.Contains(t, out.String(), `"dropped":3`)
}
