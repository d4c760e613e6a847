// Package command implements the subcommands of finchspoke.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/finchspoke/finchspoke/adminapi"
	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/settings"
)

// Commands returns finchspoke's subcommands.
func Commands() []cli.Command {
	return []cli.Command{
		{Name: "serve", Short: "Run a daemon", Data: &serveCommand{},
			Long: "Runs a daemon until it is stopped. SIGTERM starts a graceful shutdown, which lets running requests finish; a second signal stops the daemon immediately."},
		{Name: "node", Short: "Run a daemon on the platform", Data: &nodeCommand{},
			Long: "Runs a daemon that routes requests according to the operator's imported configuration to the replicas in the platform's registry. It reads the settings file named by FINCHSPOKE_CONFIG. SIGTERM starts a graceful shutdown, SIGHUP reloads the settings file."},
		{Name: "settings", Short: "Manage the settings tree", Commands: []cli.Command{
			{Name: "check", Short: "Check settings files", Data: &checkCommand{}},
			{Name: "render", Short: "Show the resolved values of each branch", Data: &renderCommand{}},
			{Name: "diff", Short: "Show changes from the current revision to files", Data: &diffCommand{}},
			{Name: "apply", Short: "Apply files as the next revision", Data: &applyCommand{},
				Long: "Applies files as the next revision. The base revision is the one that the files were diffed against; if it is no longer current, the command fails and lists the paths changed since. Retries with the same operation id are idempotent."},
			{Name: "history", Short: "List accepted revisions", Data: &historyCommand{}},
			{Name: "hash-key", Short: "Hash an API key for the settings", Data: &hashKeyCommand{}},
		}},
		{Name: "explain", Short: "Explain placement, requests and logs", Commands: []cli.Command{
			{Name: "model", Short: "Explain where a model or adapter is loaded and why", Data: &explainModelCommand{}},
			{Name: "request", Short: "Show the outcome of a request at a daemon and its cause", Data: &explainRequestCommand{}},
			{Name: "logs", Short: "Trace a request across the logs of all daemons", Data: &explainLogsCommand{},
				Long: "Reads log lines from a file or standard input. With a request id, it prints the lines of the request from all daemons and the state known to its daemon and to the leader at that time. Without one, it counts the failed requests that have a cause. Example: cat *.log | finchspoke explain logs 9c41d07b"},
			{Name: "day", Short: "Plot a day of traffic from the logs of all daemons", Data: &explainDayCommand{},
				Long: "Reads log lines and writes an HTML page: requests per second (arrivals, completed in time and late), failures by reason, pending loads, unavailable dependencies and leaders, optionally for one model, replica or tenant. Memory use depends on the length of the day, not on the size of the logs. The number of lines that could not be parsed is printed. Example: finchspoke explain day --output day.html *.log"},
			{Name: "terms", Short: "Show how far apart the load orders of successive leaders were", Data: &explainTermsCommand{},
				Long: "Reads log lines from a file or standard input and shows, by how the later leader's term began, the least time between the load orders of two leaders to one replica, and orders with a lower fencing token after a higher one. Example: cat *.log | finchspoke explain terms"},
			{Name: "losses", Short: "Count causes of late, rejected and failed requests in the logs of all daemons", Data: &explainLossesCommand{},
				Long: "Reads log lines from a file or standard input and counts finished requests by route and cause: in time, late after waiting for a load (from the weight store, a disk or memory), late for lack of a replica slot, slow at the replica, late because of a pause between events, rejected, failed, abandoned by the caller. For pauses it shows the concurrent work on the replica. Example: cat *.log | finchspoke explain losses"},
		}},
		{Name: "status", Short: "Show the status of a daemon", Data: &statusCommand{}},
		{Name: "drain", Short: "Start a graceful shutdown of a daemon", Data: &drainCommand{}},
		{Name: "version", Short: "Print the version", Data: &versionCommand{}},
	}
}

// daemonOption selects the daemon that a command connects to.
type daemonOption struct {
	Address string `long:"address" default:"127.0.0.1:8082" description:"operator address of a daemon"`
	Token   string `long:"token" env:"FINCHSPOKE_TOKEN" description:"operator token, if the daemon requires one"`
}

func (o daemonOption) client() adminapi.Client {
	return adminapi.Client{Address: o.Address, Token: o.Token}
}

// filesArgument lists the settings files of one tree.
type filesArgument struct {
	Files struct {
		Names []string `positional-arg-name:"FILE" required:"1" description:"settings files; together they form one tree"`
	} `positional-args:"yes" required:"yes"`
}

func (a filesArgument) sources() ([]settings.Source, error) {
	sources := make([]settings.Source, 0, len(a.Files.Names))
	for _, name := range a.Files.Names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, failure.Wrap(err, failure.InvalidSettings, "specify existing files", "cannot read a settings file")
		}
		sources = append(sources, settings.Source{Name: name, Data: data})
	}
	return sources, nil
}

func (a filesArgument) tree() (*settings.Tree, error) {
	sources, err := a.sources()
	if err != nil {
		return nil, err
	}
	return settings.Parse(sources...)
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
