// Package knownred evaluates the output of `go test -json` against a list of tests that are known to fail, each
// with its cause and issue. Any other failure fails the run; listed failures are printed.
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
	fieldSeparator = "|"
	entryFields    = 3
	commentPrefix  = "#"
)

// Parse reads a list with one entry per line, "PACKAGE.TestName | cause | issue". It skips empty lines and lines
// that begin with #.
func Parse(name string, list io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(list)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, commentPrefix) {
			continue
		}
		fields := strings.Split(line, fieldSeparator)
		for index := range fields {
			fields[index] = strings.TrimSpace(fields[index])
		}
		if len(fields) != entryFields || slices.Contains(fields, "") || !strings.Contains(fields[0], ".Test") {
			return nil, failure.New(failure.InvalidConfig, `write "PACKAGE.TestName | cause | issue"`, "%s, line %d: %q", name, number, line)
		}
		entries = append(entries, Entry{Test: fields[0], Cause: fields[1], Issue: fields[2]})
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Wrap(err, failure.InvalidConfig, "pass a readable list", "%s cannot be read", name)
	}
	return entries, nil
}

// event is a line of `go test -json` output.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Verdict is the evaluation of a test run.
type Verdict struct {
	// KnownFailures holds the listed tests that failed, Fixed those that passed.
	KnownFailures, Fixed []Entry
	// Failed holds the tests that failed or did not finish and are not listed, and the packages that failed
	// without a failed test.
	Failed []string
	// Counts excludes subtests.
	Counts Counts
	output map[string]string // by test or package
}

// Counts holds the number of tests of a run by result.
type Counts struct{ Passed, Failed, Skipped int }

// String formats the counts on one line.
func (c Counts) String() string {
	return fmt.Sprintf("%d passed, %d failed, %d skipped", c.Passed, c.Failed, c.Skipped)
}

// OK reports whether only listed tests failed.
func (v *Verdict) OK() bool { return len(v.Failed) == 0 }

// Judge evaluates the output of `go test -json ./...`.
func Judge(input io.Reader, entries []Entry) (*Verdict, error) {
	results, output := map[string]string{}, map[string]string{}
	startedTests := map[string]string{}      // package by test
	packagesWithFailure := map[string]bool{} // by package
	decoder := json.NewDecoder(input)
	for {
		var current event
		err := decoder.Decode(&current)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, failure.Wrap(err, failure.InvalidConfig, "pass the output of `go test -json` on standard input", "the test output cannot be parsed")
		}
		name := testName(current)
		switch current.Action {
		case "output":
			output[name] += current.Output
		case "run":
			startedTests[name] = current.Package
		case "skip":
			if !strings.Contains(current.Test, subtestSeparator) {
				results[name] = current.Action
			}
		case "pass", "fail":
			results[name] = current.Action
			packagesWithFailure[current.Package] = packagesWithFailure[current.Package] || current.Test != "" && current.Action == "fail"
		}
	}
	if len(results) == 0 {
		return nil, failure.New(failure.InvalidConfig, "pass the output of `go test -json` on standard input", "the test output contains no results")
	}
	for name, packagePath := range startedTests {
		if results[name] == "" {
			// The test binary panicked or timed out before the test finished.
			results[name] = "fail"
			output[name] += "started but reported no result\n"
			packagesWithFailure[packagePath] = true
		}
	}
	verdict := newVerdict(results, output, packagesWithFailure, entries)
	verdict.Counts = countResults(results, startedTests)
	return verdict, nil
}

// countResults counts the started tests by result.
func countResults(results, startedTests map[string]string) Counts {
	var counts Counts
	for name := range startedTests {
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

// subtestSeparator separates the name of a test from the name of its subtest.
const subtestSeparator = "/"

// testName returns PACKAGE.TestName of an event, with the top-level test for a subtest, or only the package if the
// event belongs to no test.
func testName(current event) string {
	if current.Test == "" {
		return current.Package
	}
	test, _, _ := strings.Cut(current.Test, subtestSeparator)
	return current.Package + "." + test
}

func newVerdict(results, output map[string]string, packagesWithFailure map[string]bool, entries []Entry) *Verdict {
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
		// A package with a failed test fails too. Report a package only if it failed by itself, as on a build error.
		if results[name] == "fail" && !listed[name] && !packagesWithFailure[name] {
			verdict.Failed = append(verdict.Failed, name)
		}
	}
	return verdict
}

// Write prints the verdict and the output of each unlisted failure.
func (v *Verdict) Write(writer io.Writer) {
	for _, entry := range v.KnownFailures {
		_, _ = fmt.Fprintf(writer, "known red: %s: %s (%s)\n", entry.Test, entry.Cause, entry.Issue)
	}
	for _, entry := range v.Fixed {
		_, _ = fmt.Fprintf(writer, "passes now: %s; remove its line from the list\n", entry.Test)
	}
	for _, name := range v.Failed {
		_, _ = fmt.Fprintf(writer, "FAILED: %s\n%s", name, v.output[name])
	}
	_, _ = fmt.Fprintln(writer, v.Counts)
}
