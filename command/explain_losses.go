package command

import (
	"fmt"
	"io"
	"time"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/logstory"
)

// explainLossesCommand counts the causes of late, rejected and failed requests.
type explainLossesCommand struct {
	cli.Output
	logFileOption
	Window time.Duration `long:"window" default:"2s" description:"length of the time windows that are counted separately"`
}

// Execute implements flags.Commander.
func (c *explainLossesCommand) Execute([]string) error {
	if c.Window <= 0 {
		return failure.New(failure.InvalidRequest, "specify a duration such as 2s", "the window %s is not positive", c.Window)
	}
	lines, err := c.read()
	if err != nil {
		return err
	}
	losses := logstory.CountLosses(lines, c.Window)
	if losses.Ended == 0 {
		return failure.New(failure.InvalidRequest, "provide the logs of all daemons at level info", "no log line reports a finished request")
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
			_, _ = fmt.Fprintf(writer, "          mean concurrent work on the replica of requests late because of a pause: %.1f requests of %.1f models; %.0f prompt tokens of requests that started during it\n",
				route.Pauses.ConcurrentRequests, route.Pauses.Models, route.Pauses.PromptTokens)
		}
	}
	for _, tenant := range losses.Tenants {
		_, _ = fmt.Fprintf(writer, "tenant %s: %d asked, %d served; %d came back after its limit, %d served then; of all attempts: %d ended, %d answered, %d rejected at its limit",
			tenant.Name, tenant.Asked, tenant.Served, tenant.CameBack, tenant.ServedThen, tenant.Ended, tenant.Answered, tenant.RateLimited)
		for _, cause := range tenant.Causes {
			_, _ = fmt.Fprintf(writer, ", %d %s", cause.Requests, cause.Name)
		}
		_, _ = fmt.Fprintln(writer)
	}
	writeReplicaLateness(writer, losses.Concentration)
	_, _ = fmt.Fprintf(writer, "from           ended  in time  late  not answered  main cause\n")
	for _, window := range losses.Windows {
		_, _ = fmt.Fprintf(writer, "%9.1f s  %8d %8d %5d %13d  %s\n", window.From, window.Ended, window.InTime, window.Late, window.Ended-window.InTime-window.Late, window.TopCause)
	}
}

func writeReplicaLateness(writer io.Writer, lateness logstory.Concentration) {
	if lateness.Late == 0 {
		return
	}
	_, _ = fmt.Fprintf(writer, "late at the replica: %d; %.0f percent of them on %d of %d replicas; by model:\n",
		lateness.Late, 100*lateness.TopShare, lateness.TopReplicas, lateness.Replicas)
	for _, load := range lateness.ByModel {
		_, _ = fmt.Fprintf(writer, "  %6d of %d answers of %s, by %d replicas\n", load.Late, load.Answered, load.Model, load.Replicas)
	}
}
