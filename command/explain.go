package command

import (
	"fmt"
	"io"
	"net/url"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/gateway"
)

// explainModelCommand explains the placement of a model.
type explainModelCommand struct {
	daemonOption
	cli.Output
	Argument struct {
		Name string `positional-arg-name:"MODEL" description:"model or adapter"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainModelCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var explanation adminapi.Explanation
	if err := c.client().Get(ctx, adminapi.PathExplainModel+url.PathEscape(c.Argument.Name), &explanation); err != nil {
		return err
	}
	return c.Write(explanation, func(writer io.Writer) error {
		for _, line := range explanation.Lines {
			_, _ = fmt.Fprintln(writer, line)
		}
		return nil
	})
}

// explainRequestCommand shows the outcome of a request at a daemon.
type explainRequestCommand struct {
	daemonOption
	cli.Output
	Argument struct {
		ID string `positional-arg-name:"REQUEST-ID" description:"from the X-Request-Id header"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainRequestCommand) Execute([]string) error {
	ctx, stop := signalContext()
	defer stop()
	var summary gateway.RequestSummary
	if err := c.client().Get(ctx, adminapi.PathExplainRequest+url.PathEscape(c.Argument.ID), &summary); err != nil {
		return err
	}
	return c.Write(summary, func(writer io.Writer) error {
		_, _ = fmt.Fprintf(writer, "%s of branch %s for %s (%s): %s, execution %s\n",
			summary.RequestID, summary.Branch, summary.Model, summary.Class, summary.Outcome, summary.Execution)
		if summary.Message != "" {
			_, _ = fmt.Fprintf(writer, "%s\nremedy: %s\n", summary.Message, summary.Remedy)
		}
		_, _ = fmt.Fprintf(writer, "home %s, engine %s; waited %d ms, first byte after %d ms, ended after %d ms\n",
			summary.Home, summary.Engine, summary.WaitedMs, summary.FirstByteMs, summary.DurationMs)
		return nil
	})
}
