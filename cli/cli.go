// Package cli is what the command lines of finchspoke and finchlab share: parsing
// with go-flags, exit codes, and errors with their remedy on standard error.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
)

// Exit codes; scripts may rely on them.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitInvalid   = 3 // settings or configuration are not valid
	ExitConflict  = 4 // another change came first
	ExitUncertain = 5 // it is not known whether the change was accepted
)

// Command is a subcommand.
type Command struct {
	Name     string
	Short    string
	Long     string
	Data     flags.Commander // nil for a group of commands
	Commands []Command
}

// group is the data of a command that only holds others.
type group struct{}

// Run parses arguments, runs the command that they name and returns the exit
// code.
func Run(name string, commands []Command, arguments []string) int {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range commands {
		if err := add(parser.Command, command); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return ExitFailure
		}
	}
	_, err := parser.ParseArgs(arguments)
	return report(err)
}

func add(parent *flags.Command, command Command) error {
	var data any = command.Data
	if command.Data == nil {
		data = &group{}
	}
	added, err := parent.AddCommand(command.Name, command.Short, command.Long, data)
	if err != nil {
		return errors.Wrapf(err, "command %s", command.Name)
	}
	for _, child := range command.Commands {
		if err := add(added, child); err != nil {
			return err
		}
	}
	return nil
}

func report(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(os.Stdout, usage.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(os.Stderr, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(os.Stderr, "error:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var typed *failure.Error
	if !errors.As(err, &typed) {
		return ExitFailure
	}
	switch typed.Kind {
	case failure.InvalidSettings, failure.InvalidConfig:
		return ExitInvalid
	case failure.SettingsConflict:
		return ExitConflict
	case failure.SettingsUncertain:
		return ExitUncertain
	}
	return ExitFailure
}

// Output is the option of commands whose result a script may read.
type Output struct {
	Format string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`
}

// Write writes the result: value as JSON, or what text writes.
func (o Output) Write(value any, text func(io.Writer) error) error {
	if o.Format != "json" {
		return text(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write result")
}
