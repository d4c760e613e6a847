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

// Source is a YAML file of a settings tree.
type Source struct {
	Name string // file name, for messages
	Data []byte
}

// location identifies a value by its source and its YAML path.
type location struct {
	source int
	yaml   string // goccy path such as $.branches[0].models[2].memory
}

// Position is a line and column in a file, both from 1.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// sourceSet finds positions in sources. It parses syntax trees on first use, because they
// are needed only to report problems and origins.
type sourceSet struct {
	sources []Source
	files   []*ast.File
}

func newSourceSet(sources []Source) *sourceSet {
	return &sourceSet{sources: sources, files: make([]*ast.File, len(sources))}
}

func (s *sourceSet) position(at location) Position {
	position := Position{File: s.sources[at.source].Name, Line: 1, Column: 1}
	file := s.file(at.source)
	if file == nil {
		return position
	}
	// A missing value has no node; the position of its nearest parent is used instead.
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

type tokenPosition struct{ Line, Column int }

// firstToken returns the position where a node begins. The token of a mapping is the
// colon of its first entry, so the first key is used.
func firstToken(node ast.Node) tokenPosition {
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		node = mapping.Values[0].Key
	}
	if entry, ok := node.(*ast.MappingValueNode); ok {
		node = entry.Key
	}
	token := node.GetToken()
	return tokenPosition{token.Position.Line, token.Position.Column}
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

// decode parses a source strictly: unknown and duplicate keys are problems.
func decode(source Source) (Document, *Problem) {
	var document Document
	decoder := yaml.NewDecoder(bytes.NewReader(source.Data), yaml.Strict())
	err := decoder.Decode(&document)
	if err == nil || stderrors.Is(err, io.EOF) {
		return document, nil
	}
	problem := &Problem{File: source.Name, Line: 1, Column: 1, Path: "(file)", Message: err.Error(),
		Remedy: "see docs/OPERATIONS.md for the valid keys of a settings file"}
	var yamlErr yaml.Error
	if stderrors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		problem.Line = yamlErr.GetToken().Position.Line
		problem.Column = yamlErr.GetToken().Position.Column
		problem.Message = yamlErr.GetMessage()
	}
	return document, problem
}
