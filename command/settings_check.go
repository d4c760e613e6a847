package command

import (
	"fmt"
	"io"
	"os"

	"github.com/finchspoke/finchspoke/cli"
	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/settings"
)

// checkCommand checks settings files locally.
type checkCommand struct {
	cli.Output
	filesArgument
}

// checkResult is the output of checkCommand.
type checkResult struct {
	Valid    bool               `json:"valid"`
	Models   int                `json:"models"`
	Adapters int                `json:"adapters"`
	Branches int                `json:"branches"`
	Problems []settings.Problem `json:"problems"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	sources, err := c.sources()
	if err != nil {
		return err
	}
	tree, problems := settings.Check(sources...)
	result := checkResult{Valid: len(problems) == 0, Problems: problems}
	if tree != nil {
		result.Models = len(tree.Models)
		result.Adapters = len(tree.Targets) - len(tree.Models)
		result.Branches = len(tree.Branches)
	}
	err = c.Write(result, func(writer io.Writer) error {
		for _, problem := range problems {
			_, _ = fmt.Fprintln(writer, problem)
		}
		if result.Valid {
			_, _ = fmt.Fprintf(writer, "valid: %d models, %d adapters, %d branches\n", result.Models, result.Adapters, result.Branches)
		}
		return nil
	})
	if err != nil || result.Valid {
		return err
	}
	return failure.New(failure.InvalidSettings, "correct the reported lines and check again", "%d problem(s) found", len(problems))
}

// renderCommand prints the resolved values of all branches.
type renderCommand struct {
	Origin bool `long:"origin" description:"show the branch and line that set each value"`
	filesArgument
}

// Execute implements flags.Commander.
func (c *renderCommand) Execute([]string) error {
	tree, err := c.tree()
	if err != nil {
		return err
	}
	return settings.Render(os.Stdout, tree, c.Origin)
}

// hashKeyCommand hashes a key from standard input, which keeps the key out of the shell's
// history.
type hashKeyCommand struct{}

// Execute implements flags.Commander.
func (c *hashKeyCommand) Execute([]string) error {
	var key string
	if _, err := fmt.Fscanln(os.Stdin, &key); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "provide the key on one line of standard input", "failed to read a key")
	}
	fmt.Println(settings.HashKey(key))
	return nil
}
