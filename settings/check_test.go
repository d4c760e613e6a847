package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/finchspoke/finchspoke/examples"
	"github.com/finchspoke/finchspoke/request"
	"github.com/finchspoke/finchspoke/settings"
)

const baseYAML = `regions:
  - name: sk-west
    zones: [nitra-a]
    weight_store: {loads_per_second: 2, concurrent_loads: 8}
services:
  - name: lm
    regions: [sk-west]
    replicas: 1
    accelerators: 2
    accelerator_memory: 24GiB
branches:
  - name: root
    class: bulk
    models:
      - name: shared
        service: lm
        version: "1"
        accelerators: 1
        memory: 6GiB
        adapters:
          - name: shared.dairy
    branches:
      - name: child
        keys: [` + "%KEY%" + `]
        deadlines: {interactive: 5s}
        models:
          - name: private
            service: lm
            version: "1"
            accelerators: 1
            memory: 6GiB
      - name: narrow
        allow: ["shared.*"]
`

func treeYAML(text string) string {
	return strings.Replace(text, "%KEY%", settings.HashKey("secret"), 1)
}

func parse(t *testing.T, text string) *settings.Tree {
	t.Helper()
	parsed, err := settings.Parse(settings.Source{Name: "tree.yaml", Data: []byte(treeYAML(text))})
	require.NoError(t, err)
	return parsed
}

func TestCheckReportsLocationAndRemedy(t *testing.T) {
	for _, test := range []struct {
		name, old, new string
		line, column   int
		message        string
	}{
		{"unknown key", "    class: bulk", "    klass: bulk", 13, 5, "unknown field"},
		{"class", "class: bulk", "class: quick", 13, 12, "unknown class"},
		{"size without unit", "accelerator_memory: 24GiB", "accelerator_memory: 24", 10, 25, "no unit"},
		{"unknown service", "service: lm\n        version", "service: ml\n        version", 16, 18, "not declared"},
		{"model too large", "memory: 6GiB\n        adapters", "memory: 60GiB\n        adapters", 19, 17, "needs 60GiB"},
		{"too many accelerators", "accelerators: 1\n        memory", "accelerators: 3\n        memory", 18, 23, "have 2"},
		{"duplicate name", "name: private", "name: shared", 27, 19, "already declared at tree.yaml:15"},
		{"duration", "interactive: 5s", "interactive: 5", 25, 34, "not valid"},
		{"unknown region", "regions: [sk-west]", "regions: [sk-east]", 7, 15, "not declared"},
		{"no concurrent loads", "concurrent_loads: 8", "concurrent_loads: 0", 4, 59, "never load"},
		{"unhashed key", "%KEY%", "secret", 24, 16, "hash"},
		{"duplicate key in YAML", "    class: bulk", "    class: bulk\n    class: bulk", 14, 5, "class"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(baseYAML, test.old, test.new, 1)
			require.NotEqual(t, baseYAML, text)
			_, problems := settings.Check(settings.Source{Name: "tree.yaml", Data: []byte(treeYAML(text))})
			require.NotEmpty(t, problems)
			problem := problems[0]
			require.Contains(t, problem.Message, test.message)
			require.NotEmpty(t, problem.Remedy)
			require.Equal(t, "tree.yaml", problem.File)
			require.Equal(t, test.line, problem.Line, problem.String())
			require.Equal(t, test.column, problem.Column, problem.String())
		})
	}
}

func TestBranchesInheritAndOverride(t *testing.T) {
	parsed := parse(t, baseYAML)
	child, found := parsed.BranchForKey("secret")
	require.True(t, found)
	require.Equal(t, "root/child", child.Path)
	require.Equal(t, request.Bulk, child.Values.Class, "inherited")
	require.Equal(t, 5*time.Second, child.Values.Deadlines[request.Interactive], "overridden")
	require.Equal(t, 8*time.Hour, child.Values.Deadlines[request.Bulk], "built-in")
	for _, value := range parsed.Resolve(child) {
		switch value.Name {
		case "class":
			require.Equal(t, "root at tree.yaml:13", value.Origin.String())
		case "deadlines.interactive":
			require.Equal(t, "root/child at tree.yaml:25", value.Origin.String())
		case "share":
			require.Equal(t, "built-in default", value.Origin.String())
		}
	}
	_, found = parsed.BranchForKey("another")
	require.False(t, found)
}

func TestAllowedChecksDeclarationAndPatterns(t *testing.T) {
	parsed := parse(t, baseYAML)
	for _, test := range []struct {
		branch, model string
		allowed       bool
	}{
		{"root", "shared", true},
		{"root", "private", false}, // declared on a child branch
		{"root/child", "private", true},
		{"root/child", "shared.dairy", true},
		{"root/narrow", "shared.dairy", true},
		{"root/narrow", "shared", false}, // no matching pattern
		{"root/child", "absent", false},
	} {
		_, _, allowed := parsed.Allowed(parsed.Branches[test.branch], test.model)
		require.Equal(t, test.allowed, allowed, "%s on %s", test.model, test.branch)
	}
}

func TestDiffMatchesListItemsByName(t *testing.T) {
	before := parse(t, baseYAML).Document()
	after := parse(t, strings.Replace(baseYAML, "interactive: 5s", "interactive: 6s", 1)).Document()
	require.Empty(t, settings.Diff(before, before))
	require.Equal(t, []settings.Change{{Path: "branches.root.branches.child.deadlines.interactive", Before: "5s", After: "6s"}},
		settings.Diff(before, after))
}

func TestExamplesAreValidAtFullSize(t *testing.T) {
	parsed, err := settings.Parse(examples.Sources()...)
	require.NoError(t, err)
	require.Len(t, parsed.Models, 50+65)
	require.Len(t, parsed.Targets, 50+65+60+75)
	text, err := settings.Marshal(parsed.Document())
	require.NoError(t, err)
	reparsed, err := settings.Parse(settings.Source{Name: "again", Data: text})
	require.NoError(t, err)
	require.Empty(t, settings.Diff(parsed.Document(), reparsed.Document()), "canonical YAML is lossless")
}

// FuzzCheck verifies that invalid input is reported as a problem and causes no panic.
func FuzzCheck(f *testing.F) {
	f.Add(treeYAML(baseYAML))
	f.Add("branches: [{name: a, branches: [{name: b}]}]")
	f.Fuzz(func(_ *testing.T, text string) {
		settings.Check(settings.Source{Name: "fuzz", Data: []byte(text)})
	})
}
