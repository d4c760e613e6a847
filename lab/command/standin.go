package command

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/settings"
	"github.com/finchspoke/finchspoke/standin/engines"
	"github.com/finchspoke/finchspoke/standin/keyvalue"
	"github.com/finchspoke/finchspoke/standin/machines"
	"github.com/finchspoke/finchspoke/standin/weights"
)

func standinCommands() []cli.Command {
	return []cli.Command{
		{Name: "key-value", Short: "The key-value service", Data: &keyValueCommand{}},
		{Name: "weights", Short: "The weight store", Data: &weightsCommand{}},
		{Name: "machines", Short: "The machine list; machines are posted to it", Data: &machinesCommand{}},
		{Name: "engine", Short: "A model engine", Data: &engineCommand{}},
	}
}

type listenOption struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
}

// serve prints the address and serves until interrupted.
func (o listenOption) serve(handler http.Handler) error {
	ctx, stop := interruptible()
	defer stop()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Println(listener.Addr())
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

type keyValueCommand struct {
	listenOption
	Rate float64 `long:"rate" default:"200" description:"operations allowed a second"`
}

// Execute implements flags.Commander.
func (c *keyValueCommand) Execute([]string) error { return c.serve(keyvalue.New(c.Rate)) }

type weightsCommand struct {
	listenOption
	LoadsPerSecond  float64 `long:"loads-per-second" default:"2" description:"loads that may start a second"`
	ConcurrentLoads int     `long:"concurrent-loads" default:"8" description:"loads at once at full speed"`
	Bandwidth       string  `long:"bandwidth" default:"1GiB" description:"bytes a second of one load at full speed"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	bandwidth, err := settings.ParseSize(c.Bandwidth)
	if err != nil {
		return err
	}
	return c.serve(weights.New(weights.Limits{
		LoadsPerSecond: c.LoadsPerSecond, ConcurrentLoads: c.ConcurrentLoads, BytesPerSecond: float64(bandwidth)}))
}

type machinesCommand struct {
	listenOption
}

// Execute implements flags.Commander.
func (c *machinesCommand) Execute([]string) error { return c.serve(machines.New()) }

type engineCommand struct {
	listenOption
	ID                string        `long:"id" required:"true" description:"machine id"`
	Accelerators      int           `long:"accelerators" default:"4" description:"accelerators"`
	AcceleratorMemory string        `long:"accelerator-memory" default:"24GiB" description:"memory of each for weights"`
	WeightStore       string        `long:"weight-store" required:"true" description:"address of the weight store"`
	Step              time.Duration `long:"step" default:"20ms" description:"time of one decode step"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	memory, err := settings.ParseSize(c.AcceleratorMemory)
	if err != nil {
		return err
	}
	timing := engines.DefaultTiming()
	timing.StepTime = c.Step
	started := engines.New(engines.DefaultConfig(c.ID, c.Accelerators, memory, c.WeightStore, timing))
	defer started.Close()
	return c.serve(started)
}
