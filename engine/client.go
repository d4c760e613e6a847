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

// Client is an HTTP client for engines; a daemon shares one among all its engines.
type Client struct {
	control *http.Client
	data    *http.Client
}

// NewClient returns a client with separate connections for control and data, so that many running
// requests do not delay orders.
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

// Close closes idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.data.CloseIdleConnections()
}

// Order sends an order to an engine. After an error it is unknown whether the engine executed the
// order; its inventory shows it.
func (c *Client) Order(ctx context.Context, address string, order Order) (OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return OrderResponse{}, errors.Wrap(err, "encode order")
	}
	var response OrderResponse
	err = c.callControl(ctx, http.MethodPost, "http://"+address+PathOrders, body, &response)
	return response, err
}

// Inventory returns the engine's inventory once its version differs from after, or when
// inventoryWait is over. With after 0 it returns at once.
func (c *Client) Inventory(ctx context.Context, address string, after uint64) (Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {inventoryWait.String()}}
	var inventory Inventory
	err := c.callControl(ctx, http.MethodGet, "http://"+address+PathInventory+"?"+query.Encode(), nil, &inventory)
	return inventory, err
}

func (c *Client) callControl(ctx context.Context, method, target string, body []byte, result any) error {
	httpRequest, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := c.control.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return errors.Errorf("engine responded with status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxInventoryBytes)).Decode(result)
	return errors.Wrap(err, "decode the engine's response")
}

// Resume requests the events of a stream from offset on. The caller closes the body of the response.
// It fails if the engine no longer retains the stream.
func (c *Client) Resume(ctx context.Context, address, requestID string, offset int) (*http.Response, error) {
	target := "http://" + address + PathStreams + url.PathEscape(requestID) + "?offset=" + strconv.Itoa(offset)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	response, err := c.data.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrap(err, "resume stream")
	}
	if response.StatusCode != http.StatusOK || response.Header.Get(HeaderRequestID) != requestID {
		_ = response.Body.Close()
		return nil, errors.Errorf("engine responded with status %d to resume", response.StatusCode)
	}
	return response, nil
}

// Cancel asks an engine to stop a request that no caller waits for.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+PathStreams+url.PathEscape(requestID), nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := c.control.Do(httpRequest)
	if err != nil {
		return errors.Wrap(err, "cancel request")
	}
	return errors.Wrap(response.Body.Close(), "cancel request")
}

// Dispatch is a request to an engine.
type Dispatch struct {
	Address   string // host:port
	ReplicaID string
	Path      string // PathChat or PathCompletion
	RequestID string
	Priority  int
	Body      []byte // as the caller sent it
}

// DispatchError reports a dispatch without a response.
type DispatchError struct {
	// RequestWritten is false only if no part of the request was sent.
	RequestWritten bool
	cause          error
}

// Error implements error.
func (e *DispatchError) Error() string { return "dispatch to engine: " + e.cause.Error() }

// Unwrap returns the error of the HTTP client.
func (e *DispatchError) Unwrap() error { return e.cause }

// Dispatch sends a request once and returns the response; the caller closes its body. The error is
// always a *DispatchError. The headers must not include the idempotency key, since net/http
// repeats requests that carry one when a reused connection breaks.
func (c *Client) Dispatch(ctx context.Context, dispatch Dispatch) (*http.Response, error) {
	gotConnection := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection = true },
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
		return nil, &DispatchError{RequestWritten: gotConnection, cause: err}
	}
	return response, nil
}
