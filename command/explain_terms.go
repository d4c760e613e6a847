package command

import (
	"fmt"
	"io"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logstory"
)

// explainTermsCommand shows how far apart the load orders of different leaders were.
type explainTermsCommand struct {
	cli.Output
	logFileOption
}

// Execute implements flags.Commander.
func (c *explainTermsCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	changes := logstory.CountTermChanges(lines)
	if len(changes) == 0 {
		return failure.New(failure.InvalidRequest, "provide the logs of all daemons at level info, from a time in which the leader changed", "no replica received load orders of two leaders")
	}
	return c.Write(changes, func(writer io.Writer) error {
		for _, change := range changes {
			_, _ = fmt.Fprintf(writer, "%-12s %4d changes, %d reversed; least gap %s at replica %s: %s with token %s, then %s with token %s\n",
				change.Began, change.Changes, change.Reversed, change.Least.Gap, change.Least.Replica, change.Least.Earlier, change.Least.EarlierFence, change.Least.Later, change.Least.LaterFence)
		}
		return nil
	})
}
