package settings

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/request"
)

// Resolved is the effective value of a setting on a branch.
type Resolved struct {
	Name   string `json:"name"`
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// Marshal encodes a document as canonical YAML.
func Marshal(document Document) ([]byte, error) {
	text, err := yaml.Marshal(document)
	return text, errors.Wrap(err, "encode settings as YAML")
}

// Resolve lists the effective values of a branch with the branch and line that set each.
func (t *Tree) Resolve(branch *Branch) []Resolved {
	values := branch.Values
	resolved := []Resolved{
		{Name: "allow", Value: strings.Join(values.Allow, ", ")},
		{Name: "class", Value: values.Class.String()},
		{Name: "max_body", Value: FormatSize(values.MaxBody)},
		{Name: "limits.max_running", Value: limitText(values.Limits.MaxRunning)},
		{Name: "limits.max_waiting", Value: limitText(values.Limits.MaxWaiting)},
		{Name: "limits.requests_per_second", Value: limitText(values.Limits.RequestsPerSecond)},
		{Name: "limits.tokens_per_minute", Value: limitText(values.Limits.TokensPerMinute)},
		{Name: "placement.concurrency", Value: fmt.Sprint(values.Concurrency)},
		{Name: "placement.idle_after", Value: values.IdleAfter.String()},
		{Name: "placement.max_replicas", Value: fmt.Sprint(values.MaxReplicas)},
		{Name: "placement.min_replicas", Value: fmt.Sprint(values.MinReplicas)},
		{Name: "share", Value: fmt.Sprint(values.Share)},
	}
	for class, deadline := range values.Deadlines {
		name := "deadlines." + request.Class(class).String()
		resolved = append(resolved, Resolved{Name: name, Value: deadline.String()})
	}
	sort.Slice(resolved, func(i, j int) bool { return resolved[i].Name < resolved[j].Name })
	for index := range resolved {
		origin := branch.Origins[resolved[index].Name]
		if origin.Branch != "" {
			origin.Position = t.positions.position(origin.at)
		}
		resolved[index].Origin = origin
	}
	return resolved
}

func limitText[N int | float64](limit N) string {
	if limit == 0 {
		return "unlimited"
	}
	return fmt.Sprint(limit)
}

// Render writes the resolved values of all branches as text.
func Render(writer io.Writer, tree *Tree, withOrigin bool) error {
	for _, branchPath := range tree.BranchPaths() {
		if _, err := fmt.Fprintf(writer, "%s:\n", branchPath); err != nil {
			return errors.Wrap(err, "render")
		}
		for _, value := range tree.Resolve(tree.Branches[branchPath]) {
			line := fmt.Sprintf("  %s: %s", value.Name, value.Value)
			if withOrigin {
				line += "  # " + value.Origin.String()
			}
			if _, err := fmt.Fprintln(writer, line); err != nil {
				return errors.Wrap(err, "render")
			}
		}
	}
	return nil
}

// BranchPaths returns the paths of all branches, sorted.
func (t *Tree) BranchPaths() []string {
	paths := make([]string, 0, len(t.Branches))
	for branchPath := range t.Branches {
		paths = append(paths, branchPath)
	}
	sort.Strings(paths)
	return paths
}

// String describes the origin as a branch and a line, or as the built-in default.
func (o Origin) String() string {
	if o.Branch == "" {
		return "built-in default"
	}
	return fmt.Sprintf("%s at %s:%d", o.Branch, o.Position.File, o.Position.Line)
}
