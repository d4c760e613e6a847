package command

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logstory"
)

// explainLogsCommand traces a request through log lines.
type explainLogsCommand struct {
	cli.Output
	logFileOption
	Argument struct {
		ID string `positional-arg-name:"REQUEST-ID" description:"request id or a prefix of it; if omitted, failed requests are counted"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainLogsCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	if c.Argument.ID == "" {
		coverage := logstory.CountCauses(lines)
		return c.Write(coverage, func(writer io.Writer) error {
			writeCoverage(writer, coverage)
			return nil
		})
	}
	timeline := logstory.Timeline(lines, c.Argument.ID)
	if len(timeline) == 0 {
		return failure.New(failure.InvalidRequest, "provide the logs of all daemons from the time of the request", "no log line contains request %q", c.Argument.ID)
	}
	return c.Write(timeline, func(writer io.Writer) error {
		for _, line := range timeline {
			line.Print(writer, timeline[0].Time)
		}
		return nil
	})
}

// logFileOption selects the log that a command reads.
type logFileOption struct {
	File string `long:"file" description:"file with the log lines of one or more daemons; standard input by default"`
}

func (c *logFileOption) read() ([]logstory.Line, error) {
	if c.File == "" {
		return logstory.Read(os.Stdin)
	}
	file, err := os.Open(c.File)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	defer func() { _ = file.Close() }()
	return logstory.Read(file)
}

func writeCoverage(writer io.Writer, coverage logstory.CauseCoverage) {
	percent := 100.0
	if coverage.Failed > 0 {
		percent = 100 * float64(coverage.WithCause) / float64(coverage.Failed)
	}
	_, _ = fmt.Fprintf(writer, "%d requests ended, %d failed or were rejected, %d of them with a cause (%.1f%%)\n",
		coverage.Ended, coverage.Failed, coverage.WithCause, percent)
	for outcome, count := range coverage.ByOutcome {
		_, _ = fmt.Fprintf(writer, "  %-20s %d\n", outcome, count)
	}
	for _, id := range coverage.WithoutCause {
		_, _ = fmt.Fprintf(writer, "  no cause: %s\n", id)
	}
}
