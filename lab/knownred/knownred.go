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
	KnownFailures, Fixed []Entry
	// Failed are tests that failed, or never ended, and are not listed, and packages that
	// failed though none of their tests did.
	Failed []string
	// Counts are of whole tests, without their parts.
	Counts Counts
	output map[string]string // of what failed
}

// Counts are how the tests of a run ended.
type Counts struct{ Passed, Failed, Skipped int }

// String returns the counts as they are printed.
func (c Counts) String() string {
	return fmt.Sprintf("%d passed, %d failed, %d skipped", c.Passed, c.Failed, c.Skipped)
}

// Good tells whether only listed tests failed.
func (v *Verdict) OK() bool { return len(v.Failed) == 0 }

// Judge reads the output of `go test -json ./...`.
func Judge(run io.Reader, entries []Entry) (*Verdict, error) {
	results, output := map[string]string{}, map[string]string{}
	begun := map[string]string{}     // package of each test that began
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
		case "run":
			begun[name] = read.Package
		case "skip":
			if !strings.Contains(read.Test, partOf) {
				results[name] = read.Action
			}
		case "pass", "fail":
			results[name] = read.Action
			failedTests[read.Package] = failedTests[read.Package] || read.Test != "" && read.Action == "fail"
		}
	}
	if len(results) == 0 {
		return nil, failure.New(failure.InvalidConfig, "pass the output of `go test -json` on standard input", "the run holds no results")
	}
	for name, itsPackage := range begun {
		if results[name] == "" {
			// A panic, or the end of the time for its package, came first.
			results[name] = "fail"
			output[name] += "began and has no result\n"
			failedTests[itsPackage] = true
		}
	}
	verdict := verdictOf(results, output, failedTests, entries)
	verdict.Counts = countOf(results, begun)
	return verdict, nil
}

// countOf counts the tests that began.
func countOf(results, begun map[string]string) Counts {
	var counts Counts
	for name := range begun {
		switch results[name] {
		case "pass":
			counts.Passed++
		case "fail":
			counts.Failed++
		case "skip":
			counts.Skipped++
		}
	}
	return counts
}

// partOf parts the name of a test from that of a part of it.
const partOf = "/"

// nameOf returns the name of the package, or of the test with its package. Subtests go
// by the test that holds them.
func nameOf(read event) string {
	if read.Test == "" {
		return read.Package
	}
	test, _, _ := strings.Cut(read.Test, partOf)
	return read.Package + "." + test
}

func verdictOf(results, output map[string]string, failedTests map[string]bool, entries []Entry) *Verdict {
	verdict := &Verdict{output: output}
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Test] = true
		switch results[entry.Test] {
		case "fail":
			verdict.KnownFailures = append(verdict.KnownFailures, entry)
		case "pass":
			verdict.Fixed = append(verdict.Fixed, entry)
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
	for _, entry := range v.KnownFailures {
		_, _ = fmt.Fprintf(writer, "known red: %s: %s (%s)\n", entry.Test, entry.Cause, entry.Issue)
	}
	for _, entry := range v.Fixed {
		_, _ = fmt.Fprintf(writer, "passes now: %s; take its line out of the list\n", entry.Test)
	}
	for _, name := range v.Failed {
		_, _ = fmt.Fprintf(writer, "FAILED: %s\n%s", name, v.output[name])
	}
	_, _ = fmt.Fprintln(writer, v.Counts)
}
