// Command finchlab runs stand-ins, load and measurements for the development of finchspoke.
package main

import (
	"os"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab/command"
)

func main() {
	os.Exit(cli.Run("finchlab", command.Commands(), os.Args[1:]))
}
