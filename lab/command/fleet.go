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
	Daemons         []int         `long:"daemons" default:"100" description:"number of daemons, all in this process; repeat the option to measure several fleets in turn"`
	Replicas        int           `long:"replicas-each" default:"10" description:"replicas per daemon"`
	Models          int           `long:"models" default:"574" description:"models in the catalogue"`
	FullMirrorLimit int           `long:"known-by-all" description:"largest number of replicas that every daemon keeps all records of; 0: the daemon's default"`
	Requests        float64       `long:"requests-each" default:"0.27" description:"requests per second and daemon"`
	SteadyDuration  time.Duration `long:"steady" default:"10s" description:"period over which the steady-state cost is measured"`
	Seed            uint64        `long:"seed" default:"1" description:"seed of the requested models"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	ctx, stop := interruptContext()
	defer stop()
	for _, daemons := range c.Daemons {
		report, err := scale.Run(ctx, scale.Options{
			Daemons: daemons, Replicas: c.Replicas * daemons, Models: c.Models, FullMirrorLimit: c.FullMirrorLimit,
			RequestsPerSecond: c.Requests * float64(daemons), SteadyDuration: c.SteadyDuration, Seed: c.Seed,
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

// showProgress draws a progress bar on standard error.
func showProgress(step string, done, of int) {
	const width = 30
	filled := width * done / max(1, of)
	fmt.Fprintf(os.Stderr, "\r%-34s [%-*s] %d/%d   ", step, width, strings.Repeat("#", filled), done, of)
}
