package command

import (
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/lab/knownred"
)

type judgeCommand struct {
	List string `long:"known-red" default:"KNOWN-RED.txt" description:"list of the tests that are known to fail; it may be absent"`
}

// Execute implements flags.Commander.
func (c *judgeCommand) Execute([]string) error {
	list, err := c.open()
	if err != nil {
		return err
	}
	defer func() { _ = list.Close() }()
	entries, err := knownred.Parse(c.List, list)
	if err != nil {
		return err
	}
	verdict, err := knownred.Judge(os.Stdin, entries)
	if err != nil {
		return err
	}
	verdict.Write(os.Stdout)
	if !verdict.OK() {
		return failure.New(failure.Internal, "mend them, or list a real fault with its cause and issue in "+c.List,
			"%d tests or packages failed that are not listed", len(verdict.Failed))
	}
	return nil
}

func (c *judgeCommand) open() (io.ReadCloser, error) {
	list, err := os.Open(c.List)
	if errors.Is(err, os.ErrNotExist) {
		return io.NopCloser(strings.NewReader("")), nil
	}
	return list, errors.Wrap(err, "open the list of known failures")
}
