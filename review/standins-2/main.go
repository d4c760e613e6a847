// Command standins-2 runs the scripts of the second independent review: it starts daemons of finchspoke as processes, and
// plays their clients, their replicas and the platform around them. Each case is a subcommand.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(*rig) int{
	"cut":       runCut,
	"identical": runIdentical,
	"parts":     runParts,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	r, err := newRig(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	code := cases[name](r)
	r.note("exit %d", code)
	return code
}
