package gateway

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

const (
	relayBufferBytes = 16 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
)

// endMark is the last event of a whole stream.
var endMark = []byte("data: [DONE]")

// relayer copies a stream of events; it is pooled, so that a token costs no
// allocation.
type relayer struct {
	reader *bufio.Reader
	event  []byte
}

var relayers = sync.Pool{New: func() any {
	return &relayer{reader: bufio.NewReaderSize(nil, relayBufferBytes)}
}}

// relayed is how a relay ended.
type relayed struct {
	events   int
	whole    bool  // the end mark was passed on
	readErr  error // why the engine's side ended early
	writeErr error // why the caller's side did
}

// relay copies events from an engine's answer until the end mark. Only whole
// events are passed on, so a stream that breaks can be ended cleanly. first is
// called before the first event.
func relay(source io.Reader, first func(), write func([]byte) error, flush func()) relayed {
	r := relayers.Get().(*relayer)
	defer func() {
		r.reader.Reset(nil)
		relayers.Put(r)
	}()
	r.reader.Reset(source)
	r.event = r.event[:0]
	var result relayed
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if err == bufio.ErrBufferFull && len(r.event) <= maxEventBytes {
			continue
		}
		if err != nil {
			result.readErr = err
			return result
		}
		if len(line) > 1 && !bytes.Equal(line, []byte("\r\n")) {
			continue // the event goes on
		}
		if result.events == 0 {
			first()
		}
		if result.writeErr = write(r.event); result.writeErr != nil {
			return result
		}
		result.events++
		if bytes.HasPrefix(r.event, endMark) {
			result.whole = true
			flush()
			return result
		}
		r.event = r.event[:0]
		// Events that arrived together leave together.
		if r.reader.Buffered() == 0 {
			flush()
		}
	}
}
