// Package hedge opens a connection over the first of several ways that works.
package hedge

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Attempt opens a connection in one way.
type Attempt struct {
	Open func(ctx context.Context) (net.Conn, error)
	// Background lets the attempt go on after another one has opened a connection.
	Background bool
	// Late receives a connection that opened after another one; nil closes it.
	Late func(net.Conn)
}

type result struct {
	conn  net.Conn
	err   error
	index int
}

// ErrNoAttempts means that there was no way to try.
var ErrNoAttempts = errors.New("there is no way to try")

// Open begins the attempts in order, each once delay has passed or one before it has failed, and returns the first
// connection with the index of its attempt. If none opens, it returns the error of the first attempt.
func Open(ctx context.Context, delay time.Duration, attempts ...Attempt) (net.Conn, int, error) {
	if len(attempts) == 0 {
		return nil, 0, ErrNoAttempts
	}
	results := make(chan result, len(attempts))
	cancels := make([]context.CancelFunc, 0, len(attempts))
	begin := func() {
		index := len(cancels)
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			conn, err := attempts[index].Open(attemptCtx)
			results <- result{conn, err, index}
		}()
	}
	begin()
	next := time.NewTimer(delay)
	defer next.Stop()
	var firstErr error
	for pending := 1; pending > 0; {
		select {
		case <-next.C:
			if len(cancels) < len(attempts) {
				begin()
				pending++
				next.Reset(delay)
			}
		case ended := <-results:
			pending--
			if ended.err == nil {
				go discard(results, pending, attempts, cancels)
				return ended.conn, ended.index, nil
			}
			if ended.index == 0 {
				firstErr = ended.err
			}
			if len(cancels) < len(attempts) && ctx.Err() == nil {
				begin()
				pending++
			}
		}
	}
	cancelAll(cancels)
	return nil, 0, firstErr
}

// discard cancels the attempts that still run, except those in the background, and takes their results.
func discard(results <-chan result, pending int, attempts []Attempt, cancels []context.CancelFunc) {
	defer cancelAll(cancels)
	for index, cancel := range cancels {
		if !attempts[index].Background {
			cancel()
		}
	}
	for range pending {
		ended := <-results
		switch late := attempts[ended.index].Late; {
		case ended.err != nil:
		case late != nil:
			late(ended.conn)
		default:
			_ = ended.conn.Close()
		}
	}
}

func cancelAll(cancels []context.CancelFunc) {
	for _, cancel := range cancels {
		cancel()
	}
}
