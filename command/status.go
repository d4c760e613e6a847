package command

import (
	"fmt"
	"io"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/daemon"
)

// statusCommand shows a daemon's state.
type statusCommand struct {
	daemonOption
	cli.Output
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	var status adminapi.Status
	if err := c.client().Get(ctx, adminapi.PathStatus, &status); err != nil {
		return err
	}
	return c.Write(status, func(writer io.Writer) error {
		writeStatus(writer, status)
		return nil
	})
}

func writeStatus(writer io.Writer, status adminapi.Status) {
	_, _ = fmt.Fprintf(writer, "%s in %s/%s, version %s, ready %t, settings revision %d, gateway %s\n",
		status.ID, status.Region, status.Zone, status.Version, status.Ready, status.SettingsRevision, status.GatewayAddress)
	_, _ = fmt.Fprintln(writer, "members:")
	for _, member := range status.Members {
		_, _ = fmt.Fprintf(writer, "  %-24s %-8s %s/%s  rpc %s  settings revision %d\n",
			member.ID, member.Status, member.Region, member.Zone, member.RPCAddress, member.SettingsRevision)
	}
	_, _ = fmt.Fprintln(writer, "queues:")
	for _, held := range status.Queues {
		_, _ = fmt.Fprintf(writer, "  %-32s waiting %d, running %d\n", held.Model, held.Waiting, held.Running)
	}
	if status.Placement == nil {
		return
	}
	_, _ = fmt.Fprintf(writer, "places for %s in epoch %d, plan revision %d:\n",
		status.Placement.Region, status.Placement.Epoch, status.Placement.Plan)
	for _, planned := range status.Placement.Engines {
		for _, assignment := range planned.Assignments {
			_, _ = fmt.Fprintf(writer, "  %-28s %-6s %s@%s on accelerators %v, adapters %v\n",
				planned.EngineID, assignment.DesiredState, assignment.Model, assignment.Version, assignment.Accelerators, assignment.Adapters)
		}
	}
}

// drainCommand begins a planned stop.
type drainCommand struct {
	daemonOption
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, stop := interruptible()
	defer stop()
	return c.client().Post(ctx, adminapi.PathDrain, struct{}{}, nil)
}

// versionCommand prints the version.
type versionCommand struct{}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	fmt.Println("finchspoke", daemon.Version)
	return nil
}
