// Package cli is the common part of the finchspoke and finchlab command lines: parsing with go-flags, exit codes,
// and error output.
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

// Exit codes; they are stable for use in scripts.
const (
	ExitOK        = 0
	ExitFailure   = 1
	ExitUsage     = 2
	ExitInvalid   = 3 // the settings or the configuration are invalid
	ExitConflict  = 4 // the settings changed since the base revision
	ExitUncertain = 5 // the change may or may not have been accepted
)

// Command describes a subcommand for Run.
type Command struct {
	Name     string
	Short    string
	Long     string
	Data     flags.Commander // nil for a group of subcommands
	Commands []Command
}

// commandGroup is the go-flags data of a command that only has subcommands.
type commandGroup struct{}

// Run parses the arguments, executes the selected command and returns the exit code.
func Run(name string, commands []Command, arguments []string) int {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range commands {
		if err := addCommand(parser.Command, command); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return ExitFailure
		}
	}
	_, err := parser.ParseArgs(arguments)
	return reportError(err)
}

func addCommand(parent *flags.Command, command Command) error {
	var data any = command.Data
	if command.Data == nil {
		data = &commandGroup{}
	}
	added, err := parent.AddCommand(command.Name, command.Short, command.Long, data)
	if err != nil {
		return errors.Wrapf(err, "add command %s", command.Name)
	}
	for _, child := range command.Commands {
		if err := addCommand(added, child); err != nil {
			return err
		}
	}
	return nil
}

func reportError(err error) int {
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

// Output adds the option --output to a command, for results that scripts can read.
type Output struct {
	Format string `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

// Write prints the result to standard output: value as JSON, or the output of the function text.
func (o Output) Write(value any, text func(io.Writer) error) error {
	if o.Format != "json" {
		return text(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write result")
}
