package logging

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A pipe that nobody reads must cost those that log nothing.
func TestAStalledWriterBlocksNobodyAndWarningsHaveRoom(t *testing.T) {
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
	require.Equal(t, before, bounded.Dropped(), "there is room for warnings")
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
