// Package logstory analyses the log lines of one or more daemons: the timeline of a request, the
// causes of failed and late requests, and event counts per second.
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

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// stateMessages mark lines that report a change in the state that a daemon observes.
var stateMessages = []string{
	logging.MessageTableRead, logging.MessageLeaderChanged, logging.MessageTermStarted, logging.MessageTermLost,
	logging.MessageReplicaListed, logging.MessageReplicaRemoved, logging.MessageRegistrySummary, logging.MessageLoadOrder, logging.MessageReplicaState,
	logging.MessageDependencyLost, logging.MessageDependencyRegained, logging.MessageReplicaDraining, logging.MessageReplicaBackoff,
	logging.MessageReplicaLimitChanged, logging.MessageRelayedLimit,
}

// leaderMessages mark state lines that the leader writes for all daemons.
var leaderMessages = []string{
	logging.MessageLoadOrder, logging.MessageReplicaListed, logging.MessageReplicaRemoved, logging.MessageReplicaState,
}

// Line is a parsed log line; Fields holds all its JSON fields.
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

// Read parses JSON log lines and sorts them by time. It skips any prefix before the first brace,
// such as a log collector adds, and lines without valid JSON.
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

// Timeline returns the lines of a request from all daemons in order of time, together with the
// latest state lines about its model and replicas. id may be a prefix of the request id.
func Timeline(lines []Line, id string) []Line {
	var requestLines []Line
	for _, line := range lines {
		if strings.HasPrefix(line.text(logging.RequestID), id) {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	timeline := append(latestStates(lines, requestLines), requestLines...)
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline
}

// latestStates returns the latest state line of each kind about the request's model and replicas
// that the request's daemon or the leader wrote before the request ended.
func latestStates(lines, requestLines []Line) []Line {
	last := requestLines[len(requestLines)-1]
	involved := map[string]bool{}
	for _, line := range requestLines {
		for _, field := range []string{logging.Replica, logging.Model} {
			involved[line.text(field)] = line.text(field) != ""
		}
	}
	newest := map[string]Line{}
	for _, line := range lines {
		if line.Time.After(last.Time) || !slices.Contains(stateMessages, line.Message) {
			continue
		}
		replica := line.text(logging.Replica)
		isRelevant := replica == "" || involved[replica] || involved[line.text(logging.Model)]
		fromOtherDaemon := line.Daemon != last.Daemon && !slices.Contains(leaderMessages, line.Message)
		if !isRelevant || fromOtherDaemon {
			continue
		}
		newest[line.Message+"\x00"+replica+"\x00"+line.text(logging.Model)+line.text(logging.Dependency)] = line
	}
	states := make([]Line, 0, len(newest))
	for _, line := range newest {
		states = append(states, line)
	}
	return states
}

// omittedFields are the fields that Print leaves out.
var omittedFields = []string{"time", "level", "message", logging.Daemon, logging.RequestID}

// Print writes the line in readable form: the time after since, the daemon, message and fields.
func (l Line) Print(writer io.Writer, since time.Time) {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !slices.Contains(omittedFields, name) && l.text(name) != "" {
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

// CauseCoverage counts the requests that failed or were rejected, and how many of them have a cause
// in their log line.
type CauseCoverage struct {
	Ended     int            `json:"ended"`
	Failed    int            `json:"failed"`
	WithCause int            `json:"with_cause"`
	ByOutcome map[string]int `json:"by_outcome"`
	// WithoutCause holds the ids of up to maxWithoutCause failed requests without a cause.
	WithoutCause []string `json:"without"`
}

const maxWithoutCause = 10

// CountCauses counts all requests that ended.
func CountCauses(lines []Line) CauseCoverage {
	coverage := CauseCoverage{ByOutcome: map[string]int{}}
	for _, line := range lines {
		if line.Message != logging.MessageRequestEnded {
			continue
		}
		coverage.Ended++
		outcome := line.text(logging.Outcome)
		if outcome == logging.OutcomeAnswered {
			continue
		}
		coverage.Failed++
		coverage.ByOutcome[outcome]++
		if line.text(logging.Cause) != "" {
			coverage.WithCause++
		} else if len(coverage.WithoutCause) < maxWithoutCause {
			coverage.WithoutCause = append(coverage.WithoutCause, line.text(logging.RequestID))
		}
	}
	return coverage
}
