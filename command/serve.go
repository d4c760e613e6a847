package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/finchspoke/finchspoke/config"
	"github.com/finchspoke/finchspoke/daemon"
	"github.com/finchspoke/finchspoke/logging"
)

// serveCommand runs a daemon. Flags override values of the settings file.
type serveCommand struct {
	Config        string        `long:"config" description:"settings file of the daemon"`
	ID            string        `long:"id" description:"id of the daemon"`
	Region        string        `long:"region" description:"region"`
	Zone          string        `long:"zone" description:"zone"`
	ListenGateway string        `long:"listen-gateway" description:"address for callers"`
	ListenRPC     string        `long:"listen-rpc" description:"address for other daemons (TCP)"`
	ListenGossip  string        `long:"listen-gossip" description:"address for other daemons (UDP)"`
	ListenAdmin   string        `long:"listen-admin" description:"address for operators"`
	Peers         []string      `long:"peer" description:"RPC address of another daemon; can be repeated"`
	KeyValue      string        `long:"key-value" description:"address of the key-value service"`
	MachineList   string        `long:"machine-list" description:"address of the machine list"`
	ProbeInterval time.Duration `long:"probe-interval" description:"interval between membership probes"`
	DrainTimeout  time.Duration `long:"drain-timeout" description:"maximum wait for running requests at a graceful shutdown"`
	LogLevel      string        `long:"log-level" description:"minimum log level: debug, info, warn or error"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	loaded := config.Default()
	if c.Config != "" {
		var err error
		if loaded, err = config.Load(c.Config); err != nil {
			return err
		}
	}
	c.applyFlags(&loaded)
	running, err := daemon.New(loaded, logging.New(os.Stderr, loaded.LogLevel))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		running.BeginDrain()
		<-signals
		stop()
	}()
	return running.Run(ctx)
}

// applyFlags overrides settings with the flags that are set.
func (c *serveCommand) applyFlags(loaded *config.Config) {
	for _, setting := range []struct {
		flag   string
		target *string
	}{
		{c.ID, &loaded.ID}, {c.Region, &loaded.Region}, {c.Zone, &loaded.Zone},
		{c.ListenGateway, &loaded.Listen.Gateway}, {c.ListenRPC, &loaded.Listen.RPC},
		{c.ListenGossip, &loaded.Listen.Gossip}, {c.ListenAdmin, &loaded.Listen.Admin},
		{c.KeyValue, &loaded.Platform.KeyValue}, {c.MachineList, &loaded.Platform.MachineList},
		{c.LogLevel, &loaded.LogLevel},
	} {
		if setting.flag != "" {
			*setting.target = setting.flag
		}
	}
	if len(c.Peers) > 0 {
		loaded.Peers = c.Peers
	}
	if c.ProbeInterval > 0 {
		loaded.ProbeInterval = c.ProbeInterval
	}
	if c.DrainTimeout > 0 {
		loaded.DrainTimeout = c.DrainTimeout
	}
}
