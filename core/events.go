package core

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/bytebudget"
	"github.com/finchspoke/finchspoke/fleet"
	"github.com/finchspoke/finchspoke/logging"
)

const (
	eventReadBytes = 4 << 10
	// freeEventBytes is the size up to which an event that is being read reserves no memory.
	freeEventBytes = 4 * eventReadBytes
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 4 << 20
	// byteOrderMark may precede the first line of a stream.
	byteOrderMark = "\ufeff"
	// lineEnds are the characters that end a line: LF, CR LF or CR.
	lineEnds = "\r\n"
)

var (
	errEventLength = errors.New("stream event exceeds the maximum size")
	// errInsideEvent means that the body of a stream ended before the blank line that ends each event.
	errInsideEvent = errors.New("the replica ended the stream inside an event")
	// errNoEvent means that a connection ended whose response does not state otherwise that its body is complete.
	errNoEvent = errors.New("the replica closed the connection before the first event of the stream")
)

// eventSplitter splits a byte stream into complete events, unchanged, and finds the id of the last
// one. A line ends with LF, CR LF or CR, and an event with an empty line.
type eventSplitter struct {
	pending    []byte // events not sent yet
	complete   int    // length of the complete events that pending begins with
	line       int    // start of the line that is being read
	scanned    int    // length of the part of pending that need not be scanned for line ends again
	begun      bool   // the first line of the stream has been read
	afterCRLF  bool   // the line before it, in the same event, ended with CR LF
	eventID    string // id of the event that is being read; empty if it has none so far
	inEvent    bool   // the event that is being read has an id or data field
	eventFound bool   // a complete event with such a field has been read
	// unnumbered means that an event without an id follows the last one with an id, so that a stream resumed after
	// that one would repeat events.
	unnumbered bool
}

// completeEvents returns the complete events read so far and the id of the last one that has an id.
// The result is valid until discard is called.
func (s *eventSplitter) completeEvents() (events []byte, lastID string) {
	for s.findLineEnd() {
		content := s.pending[s.line:s.scanned]
		length := s.lineEndLength(len(content) == 0)
		if length == 0 {
			break
		}
		s.scanned += length
		s.line = s.scanned
		s.afterCRLF = length == len("\r\n")
		if len(content) > 0 {
			s.readField(content)
		} else if id := s.endEvent(); id != "" {
			lastID = id
		}
	}
	return s.pending[:s.complete], lastID
}

// findLineEnd scans up to the next LF or CR and reports whether there is one.
func (s *eventSplitter) findLineEnd() bool {
	for ; s.scanned < len(s.pending); s.scanned++ {
		if c := s.pending[s.scanned]; c == '\n' || c == '\r' {
			return true
		}
	}
	return false
}

// lineEndLength returns the length of the line end at which scanned stands, or zero if that depends on what arrives
// next: the last CR may belong to a CR LF. Only where lines end so is such a CR at the end of an event waited for, since
// the next byte may arrive with the next event. An LF that follows it nevertheless is a blank line between two events.
func (s *eventSplitter) lineEndLength(emptyLine bool) int {
	rest := s.pending[s.scanned:]
	switch {
	case rest[0] == '\n':
		return 1
	case len(rest) > 1 && rest[1] == '\n':
		return 2
	case len(rest) > 1 || emptyLine && !s.afterCRLF:
		return 1
	}
	return 0
}

// readField takes note of a line of an event.
func (s *eventSplitter) readField(line []byte) {
	if !s.begun {
		line, s.begun = bytes.TrimPrefix(line, []byte(byteOrderMark)), true
	}
	switch name, value := field(line); name {
	case "id":
		s.eventID, s.inEvent = string(bytes.TrimSpace(value)), true
	case "data":
		s.inEvent = true
	}
}

// endEvent ends the event that is being read and returns its id, if it has one. Lines that hold neither an id nor
// data, such as comments and fields about the stream, are no event.
func (s *eventSplitter) endEvent() (id string) {
	id = s.eventID
	if s.inEvent {
		s.eventFound, s.unnumbered = true, id == ""
	}
	s.complete, s.afterCRLF, s.eventID, s.inEvent = s.line, false, "", false
	return id
}

// discard drops the first length bytes, which completeEvents has returned.
func (s *eventSplitter) discard(length int) {
	s.pending = append(s.pending[:0], s.pending[length:]...)
	s.complete, s.line, s.scanned = s.complete-length, s.line-length, s.scanned-length
}

// incompleteBytes returns the length of the event that the stream ends in if nothing follows.
func (s *eventSplitter) incompleteBytes() int { return len(s.pending) - s.complete }

// isBlank reports whether data consists of blank lines.
func isBlank(data []byte) bool { return len(bytes.Trim(data, lineEnds)) == 0 }

// field returns the name and the value of a field. The name of a comment is empty.
func field(line []byte) (name string, value []byte) {
	before, value, _ := bytes.Cut(line, []byte(":"))
	return string(before), value
}

// streamEnd describes the end of a replica's stream.
type streamEnd struct {
	reached         bool
	framing         Framing
	noEvent         bool // the connection ended before the first event
	incompleteBytes int  // of the event in which the stream ended; zero if it ended between two events
}

// err returns why the stream counts as interrupted; nil if it ended whole.
func (e streamEnd) err() error {
	switch {
	case e.incompleteBytes > 0:
		return errInsideEvent
	case e.noEvent:
		return errNoEvent
	}
	return nil
}

// position names where the stream ended, for metrics.
func (e streamEnd) position() string {
	switch e.err() {
	case errInsideEvent:
		return "inside_event"
	case errNoEvent:
		return "before_first_event"
	}
	return "between_events"
}

// fields describes the end of a stream, if it has been reached.
func (e streamEnd) fields() logrus.Fields {
	if !e.reached {
		return nil
	}
	return logrus.Fields{logging.Framing: e.framing.String(), logging.IncompleteBytes: e.incompleteBytes}
}

// recordStreamEnd records where a stream ended whose replica closed it without an error. It returns an error if the
// stream has been interrupted.
func (c *Core) recordStreamEnd(state *callState, framing Framing, splitter *eventSplitter) error {
	end := streamEnd{reached: true, framing: framing, noEvent: framing == FramedByConnection && !splitter.eventFound, incompleteBytes: splitter.incompleteBytes()}
	state.streamEnd = end
	c.Metrics.streamEnds.WithLabelValues(framing.String(), end.position()).Inc()
	return end.err()
}

// relayEvents relays a stream in complete events, so that an interrupted stream can be resumed on
// another replica, or ended, between two events.
func (c *Core) relayEvents(state *callState, reply *Reply) dispatchOutcome {
	splitter := &eventSplitter{}
	memory := c.Memory.Reserve(inputEvents)
	defer memory.Release()
	buffer := make([]byte, eventReadBytes)
	for {
		n, readErr := reply.Body.Read(buffer)
		splitter.pending = append(splitter.pending, buffer[:n]...)
		if len(splitter.pending) > maxEventBytes {
			return interruptedStream(state, errEventLength, fleet.Failed)
		}
		if size := int64(cap(splitter.pending)); size > freeEventBytes && !memory.GrowTo(size) {
			return interruptedStream(state, bytebudget.ErrExhausted, fleet.Answered)
		}
		events, lastID := splitter.completeEvents()
		if !state.answerBegun && splitter.eventFound {
			c.recordAnswerBegun(state)
			c.bindVersion(state)
		}
		ended := readErr == io.EOF
		if ended {
			readErr = c.recordStreamEnd(state, reply.Framing, splitter)
			ended = readErr == nil
		}
		if !ended && !state.responseStarted && isBlank(events) {
			events = nil // blank lines alone do not begin a response
		}
		if len(events) > 0 || ended {
			if err := state.sendEvents(reply, events, lastID, splitter.unnumbered); err != nil {
				return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
			}
			splitter.discard(len(events))
		}
		switch {
		case ended:
			return dispatchOutcome{result: Answered, health: fleet.Answered}
		case readErr != nil:
			return interruptedStream(state, readErr, healthAfterInterruption(state, readErr))
		}
		if state.responseStarted && reply.Body.Buffered() == 0 {
			if err := state.writer.Flush(); err != nil {
				return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
			}
		}
	}
}

// healthAfterInterruption returns what a stream that ended early says of its replica. One that sends no event after
// those that the caller has may have had nothing left to send.
func healthAfterInterruption(state *callState, cause error) fleet.Result {
	if cause == errNoEvent && state.lastEventID != "" {
		return fleet.Answered
	}
	return fleet.Unreachable
}

// interruptedStream returns the outcome of a dispatch whose stream ended early.
func interruptedStream(state *callState, cause error, health fleet.Result) dispatchOutcome {
	if !state.responseStarted {
		return dispatchOutcome{result: Lost, cause: cause, health: health}
	}
	if state.Route.Resumable && !state.lifecycle.Resumable {
		cause = errors.Wrap(cause, "not resumed, as the last event has no id")
	}
	return dispatchOutcome{result: Broken, cause: cause, health: health}
}

// sendEvents sends complete events to the caller, after the head if they are the first. lastID is the id of the last
// event that has one, or empty; unnumbered means that others follow it.
func (s *callState) sendEvents(reply *Reply, events []byte, lastID string, unnumbered bool) error {
	if !s.responseStarted {
		s.responseStarted = true
		s.writer.WriteHead(reply.Status, reply.Header, -1)
	}
	if len(events) == 0 {
		return nil
	}
	s.recordEvents(time.Now())
	if err := s.writer.Write(events); err != nil {
		return err
	}
	if lastID != "" {
		s.lastEventID = lastID
	}
	s.lifecycle.Resumable = s.Route.Resumable && !unnumbered
	return nil
}
