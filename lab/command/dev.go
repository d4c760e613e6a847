// Package command holds the subcommands of finchlab, a file each.
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

// Commands returns finchlab's subcommands.
func Commands() []cli.Command {
	return []cli.Command{
		{Name: "dev", Short: "Run the whole system in this process", Data: &devCommand{},
			Long: "Runs three daemons in two zones with stand-ins of the platform, sends sample requests, prints the answers and stays up."},
		{Name: "standin", Short: "Run one stand-in of a platform system", Commands: standinCommands(),
			Long: "Runs a stand-in in the foreground. It prints its address as the first line."},
		{Name: "load", Short: "Send requests to a running system and measure", Data: &loadCommand{},
			Long: "Sends requests at a fixed rate, whatever the answers take (open loop), and reports times and outcomes."},
		{Name: "fleet", Short: "Measure a whole fleet of daemons in this process", Data: &fleetCommand{},
			Long: "Runs daemons before replicas that exist in a registry in memory only, and reports what the holder of load orders, the directories and the other daemons spend, and how long a configuration, a replica, the next holder and the loss of all take to reach the last of them."},
		{Name: "control", Short: "Measure the control plane with many daemons in this process", Data: &controlCommand{},
			Long: "Runs daemons over 4 regions and 14 zones in this process and reports how fast a settings change is in force everywhere, and what membership and idle control cost a daemon."},
		{Name: "overload", Short: "Measure at and beyond capacity, all classes together", Data: &overloadCommand{},
			Long: "Runs three daemons and two engine stand-ins in this process and sends interactive, standard and bulk requests together at multiples of what the engines carry."},
		{Name: "judge", Short: "Judge a run of the tests where some are known to fail", Data: &judgeCommand{},
			Long: "Reads the output of `go test -json ./...` on standard input; only tests listed in KNOWN-RED.txt may fail, and they are printed.\n\nExample: go test -json ./... | finchlab judge"},
		{Name: "overhead", Short: "Measure what finchspoke adds to a request", Data: &overheadCommand{},
			Long: "Starts real processes on loopback (the programs beside this one), sends requests through two daemons and to the engine directly in turn, and reports times, processor time and memory."},
	}
}

type devCommand struct {
	Once bool `long:"once" description:"stop after the sample requests; exit 0 only if all behaved"`
	//lint:ignore SA5008 go-flags reads a choice from each tag
	LogLevel string `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"what daemons log to standard error"`
}

// Execute implements flags.Commander.
func (c *devCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	return lab.RunDev(ctx, lab.DevOptions{Output: os.Stdout, Log: logging.New(os.Stderr, c.LogLevel), KeepRunning: !c.Once})
}

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
