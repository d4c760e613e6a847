package command

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab"
)

type overheadCommand struct {
	cli.Output
	Requests int `long:"requests" default:"1000" description:"short requests sent each way"`
	Streams  int `long:"streams" default:"20" description:"long streams, for the cost of a token"`
	Tokens   int `long:"tokens" default:"1000" description:"tokens of each long stream"`
}

// Execute implements flags.Commander.
func (c *overheadCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	executable, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the programs")
	}
	report, err := lab.MeasureOverhead(ctx, lab.OverheadOptions{
		BinDirectory: filepath.Dir(executable), Requests: c.Requests, Streams: c.Streams, Tokens: c.Tokens})
	if err != nil {
		return err
	}
	return c.Write(report, func(writer io.Writer) error { return report.WriteText(writer) })
}
