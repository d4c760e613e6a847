package frontend

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// serveUntilDone runs an HTTP server until ctx ends, and then closes it at once. If the server or its
// listener is closed earlier, as Drain does, it blocks until ctx ends.
func serveUntilDone(ctx context.Context, server *http.Server, listener net.Listener) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
		_ = server.Close()
		<-serveErr
		return ctx.Err()
	case err := <-serveErr:
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			<-ctx.Done() // Drain closed the listener
			return ctx.Err()
		}
		return errors.Wrap(err, "serve HTTP")
	}
}
