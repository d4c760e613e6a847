package command

import (
	"io"
	"os"
	"time"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab"
	"github.com/finchspoke/finchspoke/logging"
)

type controlCommand struct {
	cli.Output
	Daemons int           `long:"daemons" default:"30" description:"daemons, all in this process"`
	Changes int           `long:"changes" default:"10" description:"settings changes to apply"`
	Steady  time.Duration `long:"steady" default:"10s" description:"how long the idle cost is measured"`
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	report, err := lab.MeasureControl(ctx, lab.ControlOptions{
		Daemons: c.Daemons, Changes: c.Changes, IdleDuration: c.Steady, Log: logging.New(os.Stderr, "error")})
	if err != nil {
		return err
	}
	return c.Write(report, func(writer io.Writer) error { return report.WriteText(writer) })
}
