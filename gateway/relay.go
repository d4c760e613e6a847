package gateway

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

const (
	relayBufferBytes = 16 << 10
	// maxEventBytes bounds the size of one stream event.
	maxEventBytes = 4 << 20
)

// doneMarker is the start of the last event of a complete stream.
var doneMarker = []byte("data: [DONE]")

// eventRelay holds the buffers of a relay; relayPool reuses them to avoid allocations per stream.
type eventRelay struct {
	reader *bufio.Reader
	event  []byte
}

var relayPool = sync.Pool{New: func() any {
	return &eventRelay{reader: bufio.NewReaderSize(nil, relayBufferBytes)}
}}

// relayResult describes how a relay ended.
type relayResult struct {
	events   int
	complete bool  // the done marker was forwarded
	readErr  error // why reading from the engine failed
	writeErr error // why writing to the caller failed
}

// relay copies events from an engine's response until the done marker. It forwards only complete
// events, so that the gateway can append an error event to a broken stream. It calls first before
// the first event.
func relay(source io.Reader, first func(), write func([]byte) error, flush func()) relayResult {
	r := relayPool.Get().(*eventRelay)
	defer func() {
		r.reader.Reset(nil)
		relayPool.Put(r)
	}()
	r.reader.Reset(source)
	r.event = r.event[:0]
	var result relayResult
	insideLine := false // the buffer was full before the end of the line
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if err == bufio.ErrBufferFull && len(r.event) <= maxEventBytes {
			insideLine = true
			continue
		}
		if err != nil {
			result.readErr = err
			return result
		}
		blank := !insideLine && (len(line) == 1 || bytes.Equal(line, []byte("\r\n")))
		insideLine = false
		if !blank {
			continue // the event is not complete yet
		}
		if result.events == 0 {
			first()
		}
		if result.writeErr = write(r.event); result.writeErr != nil {
			return result
		}
		result.events++
		if bytes.HasPrefix(r.event, doneMarker) {
			result.complete = true
			flush()
			return result
		}
		r.event = r.event[:0]
		// Flush once for all events that are already buffered.
		if r.reader.Buffered() == 0 {
			flush()
		}
	}
}
