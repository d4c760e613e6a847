package command

import (
	"io"
	"time"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab"
)

type loadCommand struct {
	cli.Output
	Addresses []string      `long:"address" required:"true" description:"gateway address; may be given more than once"`
	Key       string        `long:"key" required:"true" description:"API key"`
	Models    []string      `long:"model" required:"true" description:"model to ask; may be given more than once"`
	Rate      float64       `long:"rate" default:"20" description:"requests sent a second"`
	Duration  time.Duration `long:"duration" default:"10s" description:"how long to send"`
	Tokens    int           `long:"tokens" default:"32" description:"tokens of each answer"`
	//lint:ignore SA5008 go-flags reads a choice from each tag
	Class    string        `long:"class" default:"interactive" choice:"interactive" choice:"standard" choice:"bulk" description:"priority class"`
	Deadline time.Duration `long:"deadline" default:"30s" description:"time to the whole answer"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	report, err := lab.GenerateLoad(ctx, lab.LoadOptions{
		Addresses: c.Addresses, Key: c.Key, Models: c.Models, Rate: c.Rate, Duration: c.Duration,
		Tokens: c.Tokens, Class: c.Class, Deadline: c.Deadline,
	})
	if err != nil {
		return err
	}
	return c.Write(report, func(writer io.Writer) error { return report.WriteText(writer) })
}
