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

// explainLogsCommand tells a request's story from log lines.
type explainLogsCommand struct {
	cli.Output
	logFileOption
	Argument struct {
		ID string `positional-arg-name:"REQUEST-ID" description:"a request's id, or how it begins; without one, all failed requests are counted"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainLogsCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	if c.Argument.ID == "" {
		counted := logstory.CountCauses(lines)
		return c.Write(counted, func(writer io.Writer) error {
			writeCoverage(writer, counted)
			return nil
		})
	}
	story := logstory.Timeline(lines, c.Argument.ID)
	if len(story) == 0 {
		return failure.New(failure.InvalidRequest, "give the logs of all daemons, of the time of the request", "no log line names request %q", c.Argument.ID)
	}
	return c.Write(story, func(writer io.Writer) error {
		for _, line := range story {
			line.Print(writer, story[0].Time)
		}
		return nil
	})
}

// logFileOption names the log that a command reads.
type logFileOption struct {
	File string `long:"file" description:"file with the log lines of one or more daemons; standard input if left out"`
}

func (c *logFileOption) read() ([]logstory.Line, error) {
	if c.File == "" {
		return logstory.Read(os.Stdin)
	}
	file, err := os.Open(c.File)
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	return logstory.Read(file)
}

func writeCoverage(writer io.Writer, counted logstory.CauseCoverage) {
	share := 100.0
	if counted.Failed > 0 {
		share = 100 * float64(counted.WithCause) / float64(counted.Failed)
	}
	_, _ = fmt.Fprintf(writer, "%d requests ended, %d failed or were refused, %d of them with a cause (%.1f%%)\n",
		counted.Ended, counted.Failed, counted.WithCause, share)
	for outcome, count := range counted.ByOutcome {
		_, _ = fmt.Fprintf(writer, "  %-20s %d\n", outcome, count)
	}
	for _, id := range counted.WithoutCause {
		_, _ = fmt.Fprintf(writer, "  no cause: %s\n", id)
	}
}
