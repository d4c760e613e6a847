// Package command holds the subcommands of finchspoke, a file each.
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
			Long: "Runs a daemon until it is stopped. SIGTERM begins a planned stop, which cuts no request; a second signal stops at once."},
		{Name: "node", Short: "Run a daemon on the users' platform", Data: &nodeCommand{},
			Long: "Runs a daemon that routes requests by the operator's imported configuration to replicas which the platform's registry lists. It reads the platform's settings file, whose path stands in FINCHSPOKE_CONFIG. SIGTERM begins a planned stop, SIGHUP reads the settings file again."},
		{Name: "settings", Short: "Work with the settings tree", Commands: []cli.Command{
			{Name: "check", Short: "Check settings files", Data: &checkCommand{}},
			{Name: "render", Short: "Show what each branch inherits and overrides", Data: &renderCommand{}},
			{Name: "diff", Short: "Show what files would change", Data: &diffCommand{}},
			{Name: "apply", Short: "Put files in force", Data: &applyCommand{},
				Long: "Puts files in force as the next revision. The base revision is the one the files were diffed against; if another change came first, the command is refused and names what changed. Repeating it with the same operation id is safe."},
			{Name: "history", Short: "List accepted revisions", Data: &historyCommand{}},
			{Name: "hash-key", Short: "Hash an API key for the settings", Data: &hashKeyCommand{}},
		}},
		{Name: "explain", Short: "Say why", Commands: []cli.Command{
			{Name: "model", Short: "Why a model or adapter is, or is not, loaded where it is", Data: &explainModelCommand{}},
			{Name: "request", Short: "How a request ended at a daemon, and why", Data: &explainRequestCommand{}},
			{Name: "logs", Short: "Tell a request's story over all daemons from their logs", Data: &explainLogsCommand{},
				Long: "Reads log lines from a file or standard input. With a request's id: its lines over all daemons, and what its daemon and the holder of load orders believed then. Without: how many failed requests have a cause. Example: cat *.log | finchspoke explain logs 9c41d07b"},
			{Name: "day", Short: "A page of plots of a day, from the logs of all daemons", Data: &explainDayCommand{},
				Long: "Reads log lines and writes one HTML page: requests by the second (arrivals, answered in time and late), those not served by reason, loads under way, lost dependencies and the holders of load orders; of one model, replica or tenant if told. It keeps as little as the seconds of the day need, whatever the size of the logs, and says how many lines it could not understand. Example: finchspoke explain day --output day.html *.log"},
			{Name: "losses", Short: "What made requests late, refused or lost, from the logs of all daemons", Data: &explainLossesCommand{},
				Long: "Reads log lines from a file or standard input and counts all requests that ended by route and by cause: in time, late after a wait for a load (from the weight store, a disk or memory), late for want of a place, slow at the replica, late by a pause between events, refused, failed, left by their caller. For pauses it tells what shared the replica. Example: cat *.log | finchspoke explain losses"},
		}},
		{Name: "status", Short: "Show a daemon's state", Data: &statusCommand{}},
		{Name: "drain", Short: "Begin a planned stop of a daemon", Data: &drainCommand{}},
		{Name: "version", Short: "Print the version", Data: &versionCommand{}},
	}
}

// daemonOption names the daemon that a command talks to.
type daemonOption struct {
	Address string `long:"address" default:"127.0.0.1:8082" description:"operator address of a daemon"`
	Token   string `long:"token" env:"FINCHSPOKE_TOKEN" description:"operator token, if the daemon asks for one"`
}

func (o daemonOption) client() adminapi.Client {
	return adminapi.Client{Address: o.Address, Token: o.Token}
}

// filesArgument is the list of settings files of one tree.
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
			return nil, failure.Wrap(err, failure.InvalidSettings, "name existing files", "a settings file cannot be read")
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

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
