package settings

import (
	"bytes"
	stderrors "errors"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Source is one YAML file of a settings tree.
type Source struct {
	Name string // file name, for messages
	Data []byte
}

// place is where a value stands: a source and a YAML path within it.
type place struct {
	source int
	yaml   string // goccy path such as $.branches[0].models[2].memory
}

// Position is a line and column in a file, both from 1.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// sourceSet finds positions in sources. The syntax trees are parsed on first
// use only: a daemon that loads a good tree never needs them.
type sourceSet struct {
	sources []Source
	files   []*ast.File
}

func newSourceSet(sources []Source) *sourceSet {
	return &sourceSet{sources: sources, files: make([]*ast.File, len(sources))}
}

func (s *sourceSet) position(at place) Position {
	position := Position{File: s.sources[at.source].Name, Line: 1, Column: 1}
	file := s.file(at.source)
	if file == nil {
		return position
	}
	// A value that is missing has no node: its nearest parent is shown.
	for text := at.yaml; text != "$" && text != ""; text = parentPath(text) {
		path, err := yaml.PathString(text)
		if err != nil {
			continue
		}
		node, err := path.FilterFile(file)
		if err != nil || node == nil {
			continue
		}
		token := firstToken(node)
		position.Line = token.Line
		position.Column = token.Column
		return position
	}
	return position
}

type tokenPlace struct{ Line, Column int }

// firstToken returns where a node begins; a mapping's own token is the colon
// of its first entry, so its first key is used.
func firstToken(node ast.Node) tokenPlace {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	if entry, ok := node.(*ast.MappingValueNode); ok {
		node = entry.Key
	}
	token := node.GetToken()
	return tokenPlace{token.Position.Line, token.Position.Column}
}

func (s *sourceSet) file(index int) *ast.File {
	if s.files[index] == nil {
		parsed, err := parser.ParseBytes(s.sources[index].Data, 0)
		if err != nil {
			return nil
		}
		s.files[index] = parsed
	}
	return s.files[index]
}

func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut <= 0 {
		return ""
	}
	return path[:cut]
}

// decode reads one source strictly: unknown and repeated keys are refused.
func decode(source Source) (Document, *Problem) {
	var document Document
	decoder := yaml.NewDecoder(bytes.NewReader(source.Data), yaml.Strict())
	err := decoder.Decode(&document)
	if err == nil || stderrors.Is(err, io.EOF) {
		return document, nil
	}
	problem := &Problem{File: source.Name, Line: 1, Column: 1, Path: "(file)", Message: err.Error(),
		Remedy: "see docs/OPERATIONS.md for the keys a settings file may hold"}
	var located yaml.Error
	if stderrors.As(err, &located) && located.GetToken() != nil {
		problem.Line = located.GetToken().Position.Line
		problem.Column = located.GetToken().Position.Column
		problem.Message = located.GetMessage()
	}
	return document, problem
}
