// Package raw is a stand-in of servers that respond with bytes of a test's choice, and end their connections as it says.
package raw

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// requestBufferBytes bounds how much of a request's body is read with its head.
const requestBufferBytes = 1 << 10

// End ends a connection once the response has been sent. unread yields the rest of the request's body.
type End func(conn *net.TCPConn, unread io.Reader)

// Server responds to the first request of each connection, without having read its body.
type Server struct {
	// Respond returns the bytes of the response to a request.
	Respond func(request *http.Request) string
	// End ends the connection; nil means Close.
	End End
	// ReadBuffer bounds, in bytes, what the kernel takes of a request that is not read; zero: as the system does.
	ReadBuffer int

	listener net.Listener
}

// Text returns a function for Server.Respond that returns the same text for each request.
func Text(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// Start starts the server on an address of its own.
func (s *Server) Start() (err error) {
	if s.End == nil {
		s.End = Close
	}
	config := net.ListenConfig{Control: s.setReadBuffer}
	if s.listener, err = config.Listen(context.Background(), "tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			accepted, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(accepted.(*net.TCPConn))
		}
	}()
	return nil
}

// setReadBuffer sets the buffer of a socket that is to listen, which its connections get too.
func (s *Server) setReadBuffer(_, _ string, raw syscall.RawConn) (err error) {
	if s.ReadBuffer == 0 {
		return nil
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, s.ReadBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Address returns the address of a started server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop accepts no more connections.
func (s *Server) Stop() { _ = s.listener.Close() }

func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, requestBufferBytes))
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, s.Respond(request)); err == nil {
		s.End(conn, request.Body)
	}
}

// Close reads the rest of the request and closes the connection.
func Close(conn *net.TCPConn, unread io.Reader) {
	_, _ = io.Copy(io.Discard, unread)
	_ = conn.Close()
}

// CloseWriteFirst closes the connection for writing, and reads the rest of the request after a moment.
func CloseWriteFirst(conn *net.TCPConn, unread io.Reader) {
	_ = conn.CloseWrite()
	time.Sleep(2 * time.Millisecond)
	Close(conn, unread)
}

// Reset returns an end that resets the connection after a delay.
func Reset(delay time.Duration) End {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(delay)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// CloseUnread returns an end that closes the connection after a delay without having read the rest of the request, which
// the kernel turns into a reset.
func CloseUnread(delay time.Duration) End {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(delay)
		_ = conn.Close()
	}
}

// CloseWriteThenReset returns an end that closes the connection for writing and resets it after a delay.
func CloseWriteThenReset(delay time.Duration) End {
	return func(conn *net.TCPConn, unread io.Reader) {
		_ = conn.CloseWrite()
		Reset(delay)(conn, unread)
	}
}
