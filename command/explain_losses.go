package command

import (
	"fmt"
	"io"
	"time"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logstory"
)

// explainLossesCommand counts by cause what made requests late, refused or lost.
type explainLossesCommand struct {
	cli.Output
	logFileOption
	Window time.Duration `long:"window" default:"2s" description:"length of the spans of time that are counted apart"`
}

// Execute implements flags.Commander.
func (c *explainLossesCommand) Execute([]string) error {
	if c.Window <= 0 {
		return failure.New(failure.InvalidRequest, "give a length such as 2s", "the window %s is not longer than nothing", c.Window)
	}
	lines, err := c.read()
	if err != nil {
		return err
	}
	losses := logstory.CountLosses(lines, c.Window)
	if losses.Ended == 0 {
		return failure.New(failure.InvalidRequest, "give the logs of all daemons at level info", "no line tells of a request that ended")
	}
	return c.Write(losses, func(writer io.Writer) error {
		writeLosses(writer, losses)
		return nil
	})
}

func writeLosses(writer io.Writer, losses logstory.Losses) {
	for _, route := range losses.Routes {
		_, _ = fmt.Fprintf(writer, "route %s (priority %d, objective %d ms): %d ended, %d in time\n", route.Name, route.Priority, route.ObjectiveMs, route.Ended, route.InTime)
		for _, cause := range route.Causes {
			_, _ = fmt.Fprintf(writer, "  %6d  %s\n", cause.Requests, cause.Name)
		}
		if route.Pauses.Requests > 0 {
			_, _ = fmt.Fprintf(writer, "          beside those late by a pause ran on the same replica, on the mean: %.1f requests of %.1f models; %.0f prompt tokens came beside them\n",
				route.Pauses.ConcurrentRequests, route.Pauses.Models, route.Pauses.PromptTokens)
		}
	}
	for _, tenant := range losses.Tenants {
		_, _ = fmt.Fprintf(writer, "tenant %s: %d ended, %d answered, %d refused at its limit", tenant.Name, tenant.Ended, tenant.Answered, tenant.RateLimited)
		for _, cause := range tenant.Causes {
			_, _ = fmt.Fprintf(writer, ", %d %s", cause.Requests, cause.Name)
		}
		_, _ = fmt.Fprintln(writer)
	}
	writeCrowding(writer, losses.Concentration)
	_, _ = fmt.Fprintf(writer, "from           ended  in time  late  not answered  most for\n")
	for _, window := range losses.Windows {
		_, _ = fmt.Fprintf(writer, "%9.1f s  %8d %8d %5d %13d  %s\n", window.From, window.Ended, window.InTime, window.Late, window.Ended-window.InTime-window.Late, window.TopCause)
	}
}

func writeCrowding(writer io.Writer, crowding logstory.Concentration) {
	if crowding.Late == 0 {
		return
	}
	_, _ = fmt.Fprintf(writer, "made late by the replica: %d; %.0f in 100 of them on %d of %d replicas; by model:\n",
		crowding.Late, 100*crowding.TopShare, crowding.TopReplicas, crowding.Replicas)
	for _, load := range crowding.ByModel {
		_, _ = fmt.Fprintf(writer, "  %6d of %d answers of %s, by %d replicas\n", load.Late, load.Answered, load.Model, load.Replicas)
	}
}
