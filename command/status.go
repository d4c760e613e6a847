package command

import (
	"fmt"
	"io"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/daemon"
)

// statusCommand prints the status of a daemon.
type statusCommand struct {
	daemonOption
	cli.Output
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, stop := signalContext()
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
	for _, queue := range status.Queues {
		_, _ = fmt.Fprintf(writer, "  %-32s waiting %d, running %d\n", queue.Model, queue.Waiting, queue.Running)
	}
	if status.Placement == nil {
		return
	}
	_, _ = fmt.Fprintf(writer, "placement for %s in epoch %d, plan revision %d:\n",
		status.Placement.Region, status.Placement.Epoch, status.Placement.Plan)
	for _, engine := range status.Placement.Engines {
		for _, assignment := range engine.Assignments {
			_, _ = fmt.Fprintf(writer, "  %-28s %-6s %s@%s on accelerators %v, adapters %v\n",
				engine.EngineID, assignment.DesiredState, assignment.Model, assignment.Version, assignment.Accelerators, assignment.Adapters)
		}
	}
}

// drainCommand starts a graceful shutdown.
type drainCommand struct {
	daemonOption
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	ctx, stop := signalContext()
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
