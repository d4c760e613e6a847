package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

func TestLinesOfOneCauseAreSampledAndCounted(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, "info")
	sampling, isSampling := logger.Formatter.(*SamplingFormatter)
	require.True(t, isSampling)
	now := time.Unix(1_000_000, 0)
	sampling.now = func() time.Time { return now }
	lines := func() int {
		defer out.Reset()
		return strings.Count(out.String(), "\n")
	}
	for range sampledLines + 7 {
		logger.WithField(Cause, "refused").Warn(MessageDependencyLost)
	}
	require.Equal(t, sampledLines, lines())
	for range sampledLines + 7 {
		logger.WithFields(logrus.Fields{Cause: "refused", RequestID: "r1"}).Warn(MessageDependencyLost)
		logger.Info("no cause")
	}
	require.Equal(t, 2*(sampledLines+7), lines(), "requests and lines without a cause are kept")
	logger.WithField(Cause, "silent").Warn(MessageDependencyLost)
	require.Equal(t, 1, lines(), "another cause")
	now = now.Add(sampledWindow)
	logger.WithField(Cause, "refused").Warn(MessageDependencyLost)
	require.Contains(t, out.String(), `"left_out":7`)
	require.Contains(t, out.String(), `"level":"warning"`)
	require.Contains(t, out.String(), MessageDependencyLost)
	out.Reset()
	logger.WithField(Cause, "refused").Warn(MessageDependencyLost)
	require.NotContains(t, out.String(), "left_out")
}
