package core

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/fleet"
)

const (
	eventReadBytes = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
)

var (
	eventIDField   = []byte("id:")
	errEventLength = errors.New("an event exceeds the longest length")
)

// eventSplitter cuts a byte stream into whole events and remembers the id of the
// last one. Bytes are passed on as they came.
type eventSplitter struct {
	pending []byte // begun event, or bytes not looked at yet
	scanned int    // bytes of pending known to hold no end of an event
}

// next returns the whole events in the bytes so far, and the id of the last event
// among them that has one. The result is valid until it is taken.
func (s *eventSplitter) next() (events []byte, lastID string) {
	end := 0
	for {
		length := eventEnd(s.pending[max(end, s.scanned):])
		if length < 0 {
			break
		}
		stop := max(end, s.scanned) + length
		if id, found := eventID(s.pending[end:stop]); found {
			lastID = id
		}
		end, s.scanned = stop, stop
	}
	return s.pending[:end], lastID
}

// take forgets events that next returned.
func (s *eventSplitter) take(length int) {
	s.pending = append(s.pending[:0], s.pending[length:]...)
	// An end may lie across the border of two reads.
	s.scanned = max(0, len(s.pending)-len("\r\n\r\n")+1)
}

// eventEnd returns the length up to and with the first blank line, or -1.
func eventEnd(data []byte) int {
	for start := 0; ; {
		newline := bytes.IndexByte(data[start:], '\n')
		if newline < 0 {
			return -1
		}
		start += newline + 1
		switch {
		case start < len(data) && data[start] == '\n':
			return start + 1
		case start+1 < len(data) && data[start] == '\r' && data[start+1] == '\n':
			return start + 2
		}
	}
}

// eventID returns the id that an event carries.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if id, found := bytes.CutPrefix(line, eventIDField); found {
			return string(bytes.TrimSpace(id)), true
		}
		event = rest
	}
	return "", false
}

// relayEvents passes a stream on by whole events, so that one that breaks can be
// taken up elsewhere, or ended, at a border.
func (c *Core) relayEvents(running *run, reply *Reply) dispatchOutcome {
	if !running.began {
		running.began = true
		running.caller.WriteHead(reply.Status, reply.Header, -1)
	}
	splitter := &eventSplitter{}
	buffer := make([]byte, eventReadBytes)
	for {
		n, readErr := reply.Body.Read(buffer)
		splitter.pending = append(splitter.pending, buffer[:n]...)
		if len(splitter.pending) > maxEventBytes {
			return dispatchOutcome{result: Broken, cause: errEventLength, health: fleet.Failed}
		}
		events, lastID := splitter.next()
		if readErr == io.EOF {
			events = splitter.pending // a whole answer ends as it ends
		}
		if len(events) > 0 {
			running.wrote(time.Now())
			if err := running.caller.Write(events); err != nil {
				return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
			}
			if lastID != "" {
				running.lastEvent = lastID
			}
			splitter.take(len(events))
		}
		switch {
		case readErr == io.EOF:
			return dispatchOutcome{result: Answered, health: fleet.Answered}
		case readErr != nil:
			return dispatchOutcome{result: Broken, cause: readErr, health: fleet.Unreachable}
		}
		if reply.Body.Buffered() == 0 {
			if err := running.caller.Flush(); err != nil {
				return dispatchOutcome{result: Broken, cause: err, health: fleet.Answered}
			}
		}
	}
}
