package command

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab/scale"
	"github.com/finchspoke/finchspoke/logging"
)

type fleetCommand struct {
	cli.Output
	Daemons         []int         `long:"daemons" default:"100" description:"daemons, all in this process; may be given again, for a fleet after the other"`
	Replicas        int           `long:"replicas-each" default:"10" description:"replicas for each daemon"`
	Models          int           `long:"models" default:"574" description:"models in the catalogue"`
	FullMirrorLimit int           `long:"known-by-all" description:"up to how many replicas every daemon knows them all; 0: the product's own number"`
	Requests        float64       `long:"requests-each" default:"0.27" description:"requests a second at each daemon"`
	Steady          time.Duration `long:"steady" default:"10s" description:"how long the cost of a steady fleet is measured"`
	Seed            uint64        `long:"seed" default:"1" description:"of what callers ask for"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	for _, daemons := range c.Daemons {
		report, err := scale.Run(ctx, scale.Options{
			Daemons: daemons, Replicas: c.Replicas * daemons, Models: c.Models, FullMirrorLimit: c.FullMirrorLimit,
			RequestsPerSecond: c.Requests * float64(daemons), SteadyDuration: c.Steady, Seed: c.Seed,
			Log: logging.New(os.Stderr, "error"), Progress: showProgress,
		})
		fmt.Fprintln(os.Stderr)
		if err != nil {
			return err
		}
		if err := c.Write(report, func(writer io.Writer) error { return report.WriteText(writer) }); err != nil {
			return err
		}
	}
	return nil
}

// showProgress shows on the terminal how far a step is.
func showProgress(step string, done, of int) {
	const width = 30
	filled := width * done / max(1, of)
	fmt.Fprintf(os.Stderr, "\r%-34s [%-*s] %d/%d   ", step, width, strings.Repeat("#", filled), done, of)
}
