package command

import (
	"io"
	"os"
	"time"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab"
	"github.com/finchspoke/finchspoke/logging"
)

type overloadCommand struct {
	cli.Output
	//lint:ignore SA5008 go-flags reads a default from each tag
	Multiples []float64     `long:"multiple" default:"0.5" default:"1" default:"2" default:"4" description:"multiple of capacity; may be given more than once"`
	Duration  time.Duration `long:"duration" default:"10s" description:"how long to send at each"`
}

// Execute implements flags.Commander.
func (c *overloadCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	report, err := lab.MeasureOverload(ctx, lab.OverloadOptions{Multiples: c.Multiples, Duration: c.Duration, Log: logging.New(os.Stderr, "error")})
	if err != nil {
		return err
	}
	return c.Write(report, func(writer io.Writer) error { return report.WriteText(writer) })
}
