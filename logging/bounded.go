package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the capacity of the queue between loggers and the writer.
	queueLines = 4096
	// reservedLines is the part of the queue that only warnings and errors may use.
	reservedLines = 1024
)

// BoundedWriter queues log lines for a slow writer, so that logging never blocks. It drops and
// counts lines when the queue is full, and reserves space for warnings and errors. It implements
// io.Writer, with one line per call, and suture.Service.
type BoundedWriter struct {
	writer        io.Writer
	lines         chan []byte
	dropped       atomic.Uint64
	reportedDrops uint64
}

// NewBoundedWriter returns a queue in front of writer; Serve writes the queued lines.
func NewBoundedWriter(writer io.Writer) *BoundedWriter {
	return &BoundedWriter{writer: writer, lines: make(chan []byte, queueLines)}
}

// Write queues or drops a line; it never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // suppressed by SamplingFormatter
	}
	if len(b.lines) >= queueLines-reservedLines && !urgentLine(line) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// urgentLine reports whether a line is a warning or an error.
func urgentLine(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"warning"`)) || bytes.Contains(line, []byte(`"level":"error"`))
}

// Dropped returns how many lines have been dropped since the start.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// String returns the service name that the supervisor reports in its events.
func (b *BoundedWriter) String() string { return "log-writer" }

// Serve writes queued lines until ctx is done.
func (b *BoundedWriter) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-b.lines:
			b.writeBatch(line)
		}
	}
}

// writeBatch writes a line and the lines queued behind it in one call, and reports dropped lines.
func (b *BoundedWriter) writeBatch(line []byte) {
	const maxBatchBytes = 32 << 10
	for hasMore := true; hasMore && len(line) < maxBatchBytes; {
		select {
		case next := <-b.lines:
			line = append(line, next...)
		default:
			hasMore = false
		}
	}
	if dropped := b.dropped.Load(); dropped > b.reportedDrops {
		line = fmt.Appendf(line, `{"level":"warning","message":"log lines dropped","%s":%d,"time":%q}`+"\n",
			Dropped, dropped-b.reportedDrops, time.Now().Format(time.RFC3339Nano))
		b.reportedDrops = dropped
	}
	_, _ = b.writer.Write(line) // no other log to report a failure to
}

// Drain writes the queued lines within timeout; the process calls it at shutdown.
func (b *BoundedWriter) Drain(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case line := <-b.lines:
				b.writeBatch(line)
			default:
				return
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
