// Command finchspoke runs the daemon and provides the command line for its operators.
package main

import (
	"os"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/command"
)

func main() {
	os.Exit(cli.Run("finchspoke", command.Commands(), os.Args[1:]))
}
