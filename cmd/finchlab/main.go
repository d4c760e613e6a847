// Command finchlab is finchspoke's laboratory.
package main

import (
	"os"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/lab/command"
)

func main() {
	os.Exit(cli.Run("finchlab", command.Commands(), os.Args[1:]))
}
