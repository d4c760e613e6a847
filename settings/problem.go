package settings

import (
	"fmt"
	"strings"

	"github.com/finchspoke/finchspoke/failure"
)

// Problem is an error found in a settings source.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // from 1; 0 if unknown
	Column  int    `json:"column"` // from 1
	Path    string `json:"path"`   // such as branches.andina.models.pick-next.memory
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns file:line:column: path: message (remedy: ...).
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s (remedy: %s)", p.File, p.Line, p.Column, p.Path, p.Message, p.Remedy)
}

// problemsError combines problems into one error.
func problemsError(problems []Problem) error {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return failure.New(failure.InvalidSettings, "correct the reported lines and check again",
		"%d problem(s):\n%s", len(problems), strings.Join(lines, "\n"))
}
