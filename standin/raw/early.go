package raw

import (
	"fmt"
	"iter"
	"strings"
	"time"
)

// EarlyReadBuffer is the read buffer of servers that respond early: a request that is not read has not been received whole
// if it is much longer.
const EarlyReadBuffer = 32 << 10

// Sizes of requests, in bytes. Of the large ones a server that reads none has not received all.
var (
	uploads      = []int{4 << 10, 64 << 10, 1 << 20, 8 << 20}
	largeUploads = []int{512 << 10, 2 << 20, 32 << 20}
)

// Break is a way to end a connection before the request has been read.
type Break struct {
	Name string
	end  func(delay time.Duration) End
	// closes states that the connection is closed for writing before it is reset, as after a whole response.
	closes bool
}

var breaks = []Break{
	{"a reset", Reset, false},
	{"a close of a connection with unread data", CloseUnread, false},
	{"a close for writing, then a reset", CloseWriteThenReset, true},
}

// EarlyPart is a part of a response that ends with its connection, sent before the request has been read. The connection then
// breaks.
type EarlyPart struct {
	Break
	Delay  time.Duration // until the connection breaks
	Upload int           // bytes of the request's body
	body   int
}

// EarlyParts iterates over such parts.
func EarlyParts() iter.Seq[EarlyPart] {
	return func(yield func(EarlyPart) bool) {
		for _, way := range breaks {
			sizes := uploads
			if way.closes {
				sizes = largeUploads
			}
			for _, size := range sizes {
				for _, body := range []int{0, 100, 40 << 10} {
					for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
						if !yield(EarlyPart{way, delay, size, body}) {
							return
						}
					}
				}
			}
		}
	}
}

// Server returns a server that sends the part, with some fields in the head.
func (p EarlyPart) Server(fields string) *Server {
	return &Server{Respond: Text("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + strings.Repeat("y", p.body)), End: p.end(p.Delay), ReadBuffer: EarlyReadBuffer}
}

// String describes the part.
func (p EarlyPart) String() string {
	return fmt.Sprintf("%s after %s, a request of %d bytes, %d bytes of a body", p.Name, p.Delay, p.Upload, p.body)
}

// EarlyWhole is a whole response that is sent before the request has been read.
type EarlyWhole struct {
	Name   string
	Upload int // bytes of the request's body
	end    End
	frame  func(body string) string
}

// EarlyBody is the body of whole early responses.
var EarlyBody = strings.Repeat("y", 40<<10)

// EarlyWholes iterates over such responses in each framing.
func EarlyWholes() iter.Seq[EarlyWhole] {
	ends := map[string]End{"the rest is read": Close, "closed for writing, the rest is read": CloseWriteFirst, "reset": Reset(2 * time.Millisecond)}
	framings := map[string]func(string) string{
		"length": func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
		"connection": func(body string) string { return "\r\n" + body },
	}
	return func(yield func(EarlyWhole) bool) {
		for framing, frame := range framings {
			for name, end := range ends {
				if framing == "connection" && name == "reset" {
					continue // not whole
				}
				for _, size := range uploads {
					if !yield(EarlyWhole{framing + ", " + name, size, end, frame}) {
						return
					}
				}
			}
		}
	}
}

// Server returns a server that sends the response, with some fields in the head.
func (w EarlyWhole) Server(fields string) *Server {
	return &Server{Respond: Text("HTTP/1.1 200 OK\r\n" + fields + w.frame(EarlyBody)), End: w.end, ReadBuffer: EarlyReadBuffer}
}

// String describes the response.
func (w EarlyWhole) String() string {
	return fmt.Sprintf("%s, a request of %d bytes", w.Name, w.Upload)
}
