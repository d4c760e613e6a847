package daypage

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/logstory"
)

func TestPageOfADay(t *testing.T) {
	var lines strings.Builder
	for second := range 30 {
		_, _ = fmt.Fprintf(&lines, `{"message":"request ended","time":"2026-12-02T10:00:%02dZ","route":"live","outcome":"answered","duration_ms":10,"first_byte_ms":5,"objective_ms":600}`+"\n", second)
		_, _ = fmt.Fprintf(&lines, `{"message":"dependency lost","time":"2026-12-02T10:00:%02dZ","dependency":"<script>%d"}`+"\n", second, second%9)
	}
	day := logstory.NewDay(logstory.Filter{Model: "m<1>"})
	require.NoError(t, day.Read(strings.NewReader(lines.String()), nil))
	var page bytes.Buffer
	require.NoError(t, Write(&page, day))
	for _, part := range []string{"A day of finchspoke", "30 s", "model m&lt;1&gt;", "<svg", "answered in time", "others", "No term began"} {
		require.Contains(t, page.String(), part)
	}
	require.NotContains(t, page.String(), "<script>")
}

func TestDayWithoutLinesIsAnErrorWithRemedy(t *testing.T) {
	require.ErrorContains(t, Write(&bytes.Buffer{}, logstory.NewDay(logstory.Filter{})), "at level info")
}
