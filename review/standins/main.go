// Command standins plays the scripts of the review: it starts the project's daemons as processes, with stand-ins of the
// platform, the replicas and the clients, and judges what these see. It exits with 1 if a rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the scripts by name. Each returns the breaches of its rule.
var cases = map[string]func(directory string, record *record, trouble bool) ([]string, error){
	"surplus": runSurplus,
	"flood":   runFlood,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return 2
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(directory) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		endRunning()
		_ = os.RemoveAll(directory)
		os.Exit(2)
	}()
	breaches, err := cases[os.Args[1]](directory, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.add("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, breach := range breaches {
		record.add("%s", breach)
		fmt.Println(breach)
	}
	record.add("%d breaches", len(breaches))
	if len(breaches) > 0 {
		return 1
	}
	return 0
}
