package command

import (
	"fmt"
	"io"
	"net/url"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/gateway"
)

// explainModelCommand says why a model is where it is.
type explainModelCommand struct {
	daemonOption
	cli.Output
	Argument struct {
		Name string `positional-arg-name:"MODEL" description:"model or adapter"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainModelCommand) Execute([]string) error {
	ctx, stop := interruptible()
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

// explainRequestCommand says how a request ended at a daemon, and why.
type explainRequestCommand struct {
	daemonOption
	cli.Output
	Argument struct {
		ID string `positional-arg-name:"REQUEST-ID" description:"from the X-Request-Id header"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainRequestCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	var ended gateway.RequestSummary
	if err := c.client().Get(ctx, adminapi.PathExplainRequest+url.PathEscape(c.Argument.ID), &ended); err != nil {
		return err
	}
	return c.Write(ended, func(writer io.Writer) error {
		_, _ = fmt.Fprintf(writer, "%s of branch %s for %s (%s): %s, execution %s\n",
			ended.RequestID, ended.Branch, ended.Model, ended.Class, ended.Outcome, ended.Execution)
		if ended.Message != "" {
			_, _ = fmt.Fprintf(writer, "%s\nremedy: %s\n", ended.Message, ended.Remedy)
		}
		_, _ = fmt.Fprintf(writer, "home %s, engine %s; waited %d ms, first byte after %d ms, ended after %d ms\n",
			ended.Home, ended.Engine, ended.WaitedMs, ended.FirstByteMs, ended.DurationMs)
		return nil
	})
}
