// Package command implements the subcommands of finchlab.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab"
	"github.com/finchspoke/finchspoke/logging"
)

// Commands returns the subcommands of finchlab.
func Commands() []cli.Command {
	return []cli.Command{
		{Name: "dev", Short: "Run a complete system in this process", Data: &devCommand{},
			Long: "Runs three daemons in two zones with stand-ins of the platform, sends sample requests, prints the responses and keeps running."},
		{Name: "standin", Short: "Run one stand-in of a platform service", Commands: standinCommands(),
			Long: "Runs a stand-in in the foreground. Its first line of output is its address."},
		{Name: "load", Short: "Send requests to a running system and measure", Data: &loadCommand{},
			Long: "Sends requests at a fixed rate, regardless of response times (open loop), and reports latencies and outcomes."},
		{Name: "fleet", Short: "Measure a fleet of daemons in this process", Data: &fleetCommand{},
			Long: "Runs daemons with replicas that exist only in an in-memory registry. Reports the cost of the leader, of directories and of other daemons, and how long configuration and replica changes, a change of leader and a restart of all daemons take to reach all of them."},
		{Name: "control", Short: "Measure the control plane with many daemons in this process", Data: &controlCommand{},
			Long: "Runs daemons in 4 regions and 14 zones in this process and reports how fast a settings change becomes active on all of them, and the cost of membership and of an idle daemon."},
		{Name: "overload", Short: "Measure at and beyond capacity with all classes", Data: &overloadCommand{},
			Long: "Runs three daemons and two engine stand-ins in this process and sends interactive, standard and bulk requests concurrently, at multiples of the engines' capacity."},
		{Name: "judge", Short: "Evaluate a test run against the list of known failures", Data: &judgeCommand{},
			Long: "Reads the output of `go test -json ./...` on standard input; only tests listed in KNOWN-RED.txt may fail, and they are printed.\n\nExample: go test -json ./... | finchlab judge"},
		{Name: "overhead", Short: "Measure the overhead that finchspoke adds to a request", Data: &overheadCommand{},
			Long: "Starts the programs in finchlab's directory as processes on loopback, sends requests alternately through two daemons and directly to the engine, and reports latencies, CPU time and memory."},
	}
}

type devCommand struct {
	Once bool `long:"once" description:"stop after the sample requests; exit 0 only if all checks passed"`
	//lint:ignore SA5008 go-flags reads a choice from each tag
	LogLevel string `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"log level of the daemons"`
}

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	ctx, stop := interruptContext()
	defer stop()
	return lab.RunDev(ctx, lab.DevOptions{Output: os.Stdout, Log: logging.New(os.Stderr, c.LogLevel), KeepRunning: !c.Once})
}

func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
