// Package logstory reads the log lines of any number of daemons and tells the story
// of one request from them, or counts for how many failed requests the lines hold a
// cause.
package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/logging"
)

// maxLine bounds a log line; longer ones are skipped.
const maxLine = 1 << 20

// beliefMessages are those of lines that change what a daemon believes.
var beliefMessages = []string{
	logging.MessageTableRead, logging.MessageLeaderChanged, logging.MessageTermStarted, logging.MessageTermLost,
	logging.MessageReplicaListed, logging.MessageReplicaRemoved, logging.MessageRegistrySummary, logging.MessageLoadOrder, logging.MessageReplicaState,
	logging.MessageDependencyLost, logging.MessageDependencyRegained, logging.MessageReplicaDraining, logging.MessageReplicaBackoff,
	logging.MessageReplicaLimitChanged, logging.MessageRelayedLimit,
}

// holderMessages are those that the order holder writes for all daemons.
var holderMessages = []string{
	logging.MessageLoadOrder, logging.MessageReplicaListed, logging.MessageReplicaRemoved, logging.MessageReplicaState,
}

// Line is one log line.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	Fields  map[string]any
}

func (l Line) text(field string) string {
	if value, found := l.Fields[field]; found && value != nil {
		return fmt.Sprint(value)
	}
	return ""
}

// Read reads lines of JSON; what stands before the first brace of a line, such as a
// collector's prefix, is skipped, and so are lines without JSON.
func Read(reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
			continue
		}
		line := Line{Fields: fields}
		line.Daemon, line.Message = line.text(logging.Daemon), line.text("message")
		if at, err := time.Parse(time.RFC3339Nano, line.text("time")); err == nil {
			line.Time = at
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read log lines")
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// Story returns the lines of a request over all daemons, in order, and before its
// end the newest line of each belief about what it touched. id may be the
// beginning of the request's id.
func Timeline(lines []Line, id string) []Line {
	var own []Line
	for _, line := range lines {
		if strings.HasPrefix(line.text(logging.RequestID), id) {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil
	}
	story := append(beliefs(lines, own), own...)
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story
}

// beliefs returns the newest line of each kind, about the request's model, adapter
// and replicas, that the request's daemon or the order holder wrote before its end.
func beliefs(lines, own []Line) []Line {
	last := own[len(own)-1]
	touched := map[string]bool{}
	for _, line := range own {
		for _, field := range []string{logging.Replica, logging.Model} {
			touched[line.text(field)] = line.text(field) != ""
		}
	}
	newest := map[string]Line{}
	for _, line := range lines {
		if line.Time.After(last.Time) || !slices.Contains(beliefMessages, line.Message) {
			continue
		}
		subject := line.text(logging.Replica)
		about := subject == "" || touched[subject] || touched[line.text(logging.Model)]
		byOthers := line.Daemon != last.Daemon && !slices.Contains(holderMessages, line.Message)
		if !about || byOthers {
			continue
		}
		newest[line.Message+"\x00"+subject+"\x00"+line.text(logging.Model)+line.text(logging.Dependency)] = line
	}
	chosen := make([]Line, 0, len(newest))
	for _, line := range newest {
		chosen = append(chosen, line)
	}
	return chosen
}

// quietFields are not repeated in a told line.
var quietFields = []string{"time", "level", "message", logging.Daemon, logging.RequestID}

// Tell writes a line for people: the time since a moment, daemon, message, fields.
func (l Line) Print(writer io.Writer, since time.Time) {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !slices.Contains(quietFields, name) && l.text(name) != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	_, _ = fmt.Fprintf(writer, "%+9.3f s  %-20s %s", l.Time.Sub(since).Seconds(), l.Daemon, l.Message)
	for _, name := range names {
		_, _ = fmt.Fprintf(writer, "  %s=%s", name, l.text(name))
	}
	_, _ = fmt.Fprintln(writer)
}

// Coverage counts requests that failed or were refused, and those of them whose
// lines name a cause.
type CauseCoverage struct {
	Ended     int            `json:"ended"`
	Failed    int            `json:"failed"`
	WithCause int            `json:"with_cause"`
	ByOutcome map[string]int `json:"by_outcome"`
	// Without are ids of failed requests without a cause, a few at the most.
	WithoutCause []string `json:"without"`
}

// mostWithout bounds the ids named.
const mostWithout = 10

// Count goes over all requests that ended.
func CountCauses(lines []Line) CauseCoverage {
	counted := CauseCoverage{ByOutcome: map[string]int{}}
	for _, line := range lines {
		if line.Message != logging.MessageRequestEnded {
			continue
		}
		counted.Ended++
		outcome := line.text(logging.Outcome)
		if outcome == logging.OutcomeAnswered {
			continue
		}
		counted.Failed++
		counted.ByOutcome[outcome]++
		if line.text(logging.Cause) != "" {
			counted.WithCause++
		} else if len(counted.WithoutCause) < mostWithout {
			counted.WithoutCause = append(counted.WithoutCause, line.text(logging.RequestID))
		}
	}
	return counted
}
