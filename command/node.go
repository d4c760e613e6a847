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

// nodeCommand runs a daemon on the platform.
type nodeCommand struct {
	MetricsPort     int    `long:"metrics-port" description:"metrics port on the daemon's address; a metrics address in the settings takes precedence"`
	FullMirrorLimit int    `long:"known-by-all" description:"number of replicas up to which every daemon tracks all of them; above it, daemons query directory daemons named by the leader; 0 selects the default"`
	LogLevel        string `long:"log-level" default:"info" description:"minimum log level: debug, info, warn or error"`
}

// logDrainTimeout limits the time to write pending log lines at exit.
const logDrainTimeout = 200 * time.Millisecond

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	config, storeAddress, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	config.EnableMetrics(c.MetricsPort)
	config.ApplyMemoryLimit()
	if c.FullMirrorLimit > 0 {
		config.FullMirrorLimit = c.FullMirrorLimit
	}
	logWriter := logging.NewBoundedWriter(os.Stdout)
	writerCtx, stopWriter := context.WithCancel(context.Background())
	go func() { _ = logWriter.Serve(writerCtx) }()
	defer func() {
		stopWriter()
		logWriter.Drain(logDrainTimeout)
	}()
	log := logging.New(logWriter, c.LogLevel)
	daemon, err := node.New(config, platform.Adapters(storeAddress), log)
	if err != nil {
		return err
	}
	daemon.CountDroppedLines(logWriter.Dropped)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			reloaded, _, err := platform.LoadSettings()
			if err != nil {
				log.WithError(err).Error("failed to reload settings; keeping the current ones")
				continue
			}
			daemon.Reload(reloaded)
		}
	}()
	return daemon.Run(ctx)
}
