package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against log fields that the operations page does not describe.
func TestEveryFieldIsDocumented(t *testing.T) {
	parsed, err := parser.ParseFile(token.NewFileSet(), "fields.go", nil, 0)
	require.NoError(t, err)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	constantByField := map[string]string{}
	ast.Inspect(parsed, func(node ast.Node) bool {
		spec, isSpec := node.(*ast.ValueSpec)
		if !isSpec {
			return true
		}
		name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		require.Contains(t, string(page), "| `"+name+"` |", "docs/OPERATIONS.md does not describe the log field")
		require.Empty(t, constantByField[name], "two constants name the same field")
		constantByField[name] = spec.Names[0].Name
		return true
	})
	require.NotEmpty(t, constantByField)
}
