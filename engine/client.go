package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	dialTimeout       = time.Second
	orderTimeout      = 3 * time.Second
	inventoryWait     = 3 * time.Second
	inventoryTimeout  = inventoryWait + 2*time.Second
	cancelTimeout     = 2 * time.Second
	idleTimeout       = 90 * time.Second
	idleConnsPerHost  = 128
	maxInventoryBytes = 4 << 20
	relayBufferBytes  = 16 << 10
)

// Client talks to engines; one serves all engines of a daemon.
type Client struct {
	control *http.Client
	data    *http.Client
}

// NewClient returns a client. Control and data use separate connections, so that
// a flood of requests does not hold back orders.
func NewClient() *Client {
	transport := func(idlePerHost int) *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			ReadBufferSize:      relayBufferBytes,
		}
	}
	return &Client{
		control: &http.Client{Transport: transport(2)},
		data:    &http.Client{Transport: transport(idleConnsPerHost)},
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.data.CloseIdleConnections()
}

// Order sends an order. An error means that it is unknown whether the engine
// acted; the inventory tells.
func (c *Client) Order(ctx context.Context, address string, order Order) (OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return OrderResponse{}, errors.Wrap(err, "encode order")
	}
	var answer OrderResponse
	err = c.controlCall(ctx, http.MethodPost, "http://"+address+PathOrders, body, &answer)
	return answer, err
}

// Inventory returns the engine's inventory once its version differs from after
// or about three seconds have passed. Zero returns it at once.
func (c *Client) Inventory(ctx context.Context, address string, after uint64) (Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {inventoryWait.String()}}
	var inventory Inventory
	err := c.controlCall(ctx, http.MethodGet, "http://"+address+PathInventory+"?"+query.Encode(), nil, &inventory)
	return inventory, err
}

func (c *Client) controlCall(ctx context.Context, method, target string, body []byte, answer any) error {
	httpRequest, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := c.control.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return errors.Errorf("engine answered status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxInventoryBytes)).Decode(answer)
	return errors.Wrap(err, "read engine's answer")
}

// Resume asks for the rest of a stream after so many events. The caller reads and
// closes the answer's body. It fails when the engine no longer has the stream.
func (c *Client) Resume(ctx context.Context, address, requestID string, offset int) (*http.Response, error) {
	target := "http://" + address + PathStreams + url.PathEscape(requestID) + "?offset=" + strconv.Itoa(offset)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := c.data.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrap(err, "resume stream")
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(HeaderRequestID) != requestID {
		_ = response.Body.Close()
		return nil, errors.Errorf("the engine answered status %d to resume", response.StatusCode)
	}
	return response, nil
}

// Cancel tells an engine that nobody waits for a request any more.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+PathStreams+url.PathEscape(requestID), nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	response, err := c.control.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "cancel request")
	}
	return errors.Wrap(response.Body.Close(), "cancel request")
}

// Dispatch is a request to run on an engine.
type Dispatch struct {
	Address   string // host:port
	ReplicaID string
	Path      string // PathChat or PathCompletion
	RequestID string
	Priority  int
	Body      []byte // as the caller sent it
}

// DispatchError is a dispatch that brought no answer.
type DispatchError struct {
	// Written is false only if certainly nothing of the request was sent.
	RequestWritten bool
	cause          error
}

// Error implements error.
func (e *DispatchError) Error() string { return "dispatch to engine: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *DispatchError) Unwrap() error { return e.cause }

// Dispatch sends a request once and returns the answer's head; the caller reads
// and closes its body. The error is always a *DispatchError.
//
// The idempotency key never goes into the headers: net/http repeats a request
// that carries one when a reused connection breaks.
func (c *Client) Dispatch(ctx context.Context, dispatch Dispatch) (*http.Response, error) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dispatch.Address+dispatch.Path, bytes.NewReader(dispatch.Body))
	if err != nil {
		return nil, &DispatchError{cause: err}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(HeaderRequestID, dispatch.RequestID)
	httpRequest.Header.Set(HeaderReplicaID, dispatch.ReplicaID)
	httpRequest.Header.Set(HeaderPriority, strconv.Itoa(dispatch.Priority))
	response, err := c.data.Do(httpRequest)
	if err != nil {
		return nil, &DispatchError{RequestWritten: connected, cause: err}
	}
	return response, nil
}
