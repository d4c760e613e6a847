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
	// queueLines bounds the lines between those that log and the writer.
	queueLines = 4096
	// reservedLines of them are kept for warnings and errors.
	reservedLines = 1024
)

// Bounded passes lines on to a slow writer without ever blocking those that log.
// When its queue is full lines are dropped and counted; warnings and errors go
// before other lines. It implements io.Writer, one line a call, and suture.Service.
type BoundedWriter struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	told    uint64
}

// NewBoundedWriter returns a bounded queue before a writer; Serve passes lines on.
func NewBoundedWriter(writer io.Writer) *BoundedWriter {
	return &BoundedWriter{writer: writer, lines: make(chan []byte, queueLines)}
}

// Write takes a line; it never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // left out
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

// urgentLine tells whether a line is a warning or worse.
func urgentLine(line []byte) bool {
	return bytes.Contains(line, []byte(`"level":"warning"`)) || bytes.Contains(line, []byte(`"level":"error"`))
}

// Dropped returns how many lines were dropped so far.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// String names the service in the supervisor's events.
func (b *BoundedWriter) String() string { return "log-writer" }

// Serve passes lines on until ctx ends.
func (b *BoundedWriter) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case line := <-b.lines:
			b.pass(line)
		}
	}
}

// pass writes a line and those that wait behind it at once.
func (b *BoundedWriter) pass(line []byte) {
	const mostBytes = 32 << 10
	for more := true; more && len(line) < mostBytes; {
		select {
		case next := <-b.lines:
			line = append(line, next...)
		default:
			more = false
		}
	}
	if dropped := b.dropped.Load(); dropped > b.told {
		line = fmt.Appendf(line, `{"level":"warning","message":"log lines dropped","%s":%d,"time":%q}`+"\n",
			Dropped, dropped-b.told, time.Now().Format(time.RFC3339Nano))
		b.told = dropped
	}
	_, _ = b.writer.Write(line) // there is nowhere to report it
}

// Drain passes on what waits, for at most a while; it is for a process that ends.
func (b *BoundedWriter) Drain(most time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case line := <-b.lines:
				b.pass(line)
			default:
				return
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(most):
	}
}
