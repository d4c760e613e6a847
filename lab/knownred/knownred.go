// Package knownred judges a run of the tests when some are known to fail: a list at
// the root of the repository names each with its cause and issue. Only these may fail,
// and they are printed, so that none is forgotten.
package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/finchspoke/finchspoke/failure"
)

// Entry is a test that is known to fail.
type Entry struct {
	Test  string // PACKAGE.TestName, the package as `go test` names it
	Cause string
	Issue string
}

const (
	separator   = "|"
	entryFields = 3
	comment     = "#"
)

// Parse reads a list: a line each, "PACKAGE.TestName | cause | issue". Empty lines and
// lines that begin with # are skipped.
func Parse(name string, list io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(list)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, comment) {
			continue
		}
		fields := strings.Split(line, separator)
		for index := range fields {
			fields[index] = strings.TrimSpace(fields[index])
		}
		if len(fields) != entryFields || slices.Contains(fields, "") || !strings.Contains(fields[0], ".Test") {
			return nil, failure.New(failure.InvalidConfig, `write "PACKAGE.TestName | cause | issue"`, "%s, line %d: %q", name, number, line)
		}
		entries = append(entries, Entry{Test: fields[0], Cause: fields[1], Issue: fields[2]})
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Wrap(err, failure.InvalidConfig, "give a readable list", "%s cannot be read", name)
	}
	return entries, nil
}

// event is a line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Verdict is the judgement of a run.
type Verdict struct {
	// Known are listed tests that failed, Mended listed tests that passed.
	Known, Mended []Entry
	// Failed are tests that failed and are not listed, and packages that failed though
	// none of their tests did.
	Failed []string
	output map[string]string // of what failed
}

// Good tells whether only listed tests failed.
func (v *Verdict) Good() bool { return len(v.Failed) == 0 }

// Judge reads the output of `go test -json ./...`.
func Judge(run io.Reader, entries []Entry) (*Verdict, error) {
	results, output := map[string]string{}, map[string]string{}
	failedTests := map[string]bool{} // packages with one
	decoder := json.NewDecoder(run)
	for {
		var read event
		err := decoder.Decode(&read)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, failure.Wrap(err, failure.InvalidConfig, "pass the output of `go test -json` on standard input", "the run cannot be read")
		}
		name := nameOf(read)
		switch read.Action {
		case "output":
			output[name] += read.Output
		case "pass", "fail":
			results[name] = read.Action
			failedTests[read.Package] = failedTests[read.Package] || read.Test != "" && read.Action == "fail"
		}
	}
	if len(results) == 0 {
		return nil, failure.New(failure.InvalidConfig, "pass the output of `go test -json` on standard input", "the run holds no results")
	}
	return verdictOf(results, output, failedTests, entries), nil
}

// nameOf returns the name of the package, or of the test with its package. Subtests go
// by the test that holds them.
func nameOf(read event) string {
	if read.Test == "" {
		return read.Package
	}
	test, _, _ := strings.Cut(read.Test, "/")
	return read.Package + "." + test
}

func verdictOf(results, output map[string]string, failedTests map[string]bool, entries []Entry) *Verdict {
	verdict := &Verdict{output: output}
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Test] = true
		switch results[entry.Test] {
		case "fail":
			verdict.Known = append(verdict.Known, entry)
		case "pass":
			verdict.Mended = append(verdict.Mended, entry)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		// A package fails with its tests; by itself only if it does not build, or ends.
		if results[name] == "fail" && !listed[name] && !failedTests[name] {
			verdict.Failed = append(verdict.Failed, name)
		}
	}
	return verdict
}

// Write prints the verdict, with the output of what failed.
func (v *Verdict) Write(writer io.Writer) {
	for _, entry := range v.Known {
		_, _ = fmt.Fprintf(writer, "known red: %s: %s (%s)\n", entry.Test, entry.Cause, entry.Issue)
	}
	for _, entry := range v.Mended {
		_, _ = fmt.Fprintf(writer, "passes now: %s; take its line out of the list\n", entry.Test)
	}
	for _, name := range v.Failed {
		_, _ = fmt.Fprintf(writer, "FAILED: %s\n%s", name, v.output[name])
	}
}
