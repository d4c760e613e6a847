// Command finchspoke is the daemon and its operators' command line.
package main

import (
	"os"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/command"
)

func main() {
	os.Exit(cli.Run("finchspoke", command.Commands(), os.Args[1:]))
}
