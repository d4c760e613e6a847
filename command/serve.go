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

// serveCommand runs a daemon. Flags override the settings file.
type serveCommand struct {
	Config        string        `long:"config" description:"settings file of the daemon"`
	ID            string        `long:"id" description:"id of the daemon"`
	Region        string        `long:"region" description:"region"`
	Zone          string        `long:"zone" description:"zone"`
	ListenGateway string        `long:"listen-gateway" description:"address for callers"`
	ListenRPC     string        `long:"listen-rpc" description:"address for daemons (TCP)"`
	ListenGossip  string        `long:"listen-gossip" description:"address for daemons (UDP)"`
	ListenAdmin   string        `long:"listen-admin" description:"address for operators"`
	Peers         []string      `long:"peer" description:"rpc address of another daemon; may be given more than once"`
	KeyValue      string        `long:"key-value" description:"address of the key-value service"`
	MachineList   string        `long:"machine-list" description:"address of the machine list"`
	ProbeInterval time.Duration `long:"probe-interval" description:"time between membership probes"`
	DrainTimeout  time.Duration `long:"drain-timeout" description:"longest wait for running requests at a planned stop"`
	LogLevel      string        `long:"log-level" description:"debug, info, warn or error"`
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
	c.override(&loaded)
	started, err := daemon.New(loaded, logging.New(os.Stderr, loaded.LogLevel))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		started.BeginDrain()
		<-signals
		stop()
	}()
	return started.Run(ctx)
}

// override puts the flags that were given over the file.
func (c *serveCommand) override(loaded *config.Config) {
	for _, pair := range []struct {
		flag string
		into *string
	}{
		{c.ID, &loaded.ID}, {c.Region, &loaded.Region}, {c.Zone, &loaded.Zone},
		{c.ListenGateway, &loaded.Listen.Gateway}, {c.ListenRPC, &loaded.Listen.RPC},
		{c.ListenGossip, &loaded.Listen.Gossip}, {c.ListenAdmin, &loaded.Listen.Admin},
		{c.KeyValue, &loaded.Platform.KeyValue}, {c.MachineList, &loaded.Platform.MachineList},
		{c.LogLevel, &loaded.LogLevel},
	} {
		if pair.flag != "" {
			*pair.into = pair.flag
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
