package frontend

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// serve serves callers over HTTP until ctx ends, and then at once no longer. A
// server that was shut down before, or whose listener was closed, as a planned stop does,
// rests until then.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
		_ = server.Close()
		<-failed
		return ctx.Err()
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			<-ctx.Done() // drained
			return ctx.Err()
		}
		return errors.Wrap(err, "serve callers")
	}
}
