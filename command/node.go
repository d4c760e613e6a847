package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/finchspoke/finchspoke/logging"
	"github.com/finchspoke/finchspoke/node"
	"github.com/finchspoke/finchspoke/platform"
)

// nodeCommand runs a daemon on the users' platform.
type nodeCommand struct {
	MetricsPort int    `long:"metrics-port" description:"port for metrics on the address of the settings file; the settings' own address for metrics goes before it"`
	KnownByAll  int    `long:"known-by-all" description:"up to how many replicas every daemon knows them all; beyond, daemons ask those that the holder of load orders names; 0: the built-in number"`
	LogLevel    string `long:"log-level" default:"info" description:"least level of log lines: debug, info, warn or error"`
}

// logDrain is how long the last log lines may take to be written.
const logDrain = 200 * time.Millisecond

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	config, storeAddress, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	config.EnableMetrics(c.MetricsPort)
	config.ApplyMemoryLimit()
	if c.KnownByAll > 0 {
		config.KnownByAll = c.KnownByAll
	}
	lines := logging.NewBoundedWriter(os.Stdout)
	writing, stopWriting := context.WithCancel(context.Background())
	go func() { _ = lines.Serve(writing) }()
	defer func() {
		stopWriting()
		lines.Drain(logDrain)
	}()
	log := logging.New(lines, c.LogLevel)
	started, err := node.New(config, platform.Adapters(storeAddress), log)
	if err != nil {
		return err
	}
	started.CountDroppedLines(lines.Dropped)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			changed, _, err := platform.LoadSettings()
			if err != nil {
				log.WithError(err).Error("settings not reloaded; those in force stay")
				continue
			}
			started.Reload(changed)
		}
	}()
	return started.Run(ctx)
}
