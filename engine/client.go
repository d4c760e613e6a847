package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/sleep"
	"github.com/finchspoke/finchspoke/upstream"
	"github.com/finchspoke/finchspoke/wellformed"
)

const (
	dialTimeout       = time.Second
	orderTimeout      = 3 * time.Second
	inventoryWait     = 3 * time.Second
	inventoryTimeout  = inventoryWait + 2*time.Second
	cancelTimeout     = 2 * time.Second
	idleTimeout       = 90 * time.Second
	sweepInterval     = time.Second // between closings of idle connections for requests
	maxInventoryBytes = 4 << 20
	readBufferBytes   = 16 << 10
)

// Client is an HTTP client for engines; a daemon shares one among all its engines. An engine may send a response twice, so
// the exchanges of one connection are such that the second response to one is not taken for the response to another.
type Client struct {
	requests    *upstream.Pool // carries no two exchanges of one request on a connection
	inventories *http.Client   // an inventory states its version
	single      *http.Client   // orders and cancellations: each has a connection of its own
}

// NewClient returns a client with separate connections for control and requests, so that many running
// requests do not delay orders.
func NewClient() *Client {
	transport := func(single bool) http.RoundTripper {
		return wellformed.Transport{Base: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:  single,
			IdleConnTimeout:    idleTimeout,
			DisableCompression: true,
			ReadBufferSize:     readBufferBytes,
		}}
	}
	return &Client{
		requests:    upstream.NewPool(nil, nil),
		inventories: &http.Client{Transport: transport(false)},
		single:      &http.Client{Transport: transport(true)},
	}
}

// String names the service in the supervisor's events.
func (c *Client) String() string { return "engine connections" }

// Serve closes idle connections that have expired until ctx ends. It implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	for sleep.For(ctx, sweepInterval) {
		c.requests.Sweep(func(string) bool { return true })
	}
	return ctx.Err()
}

// Close closes idle connections.
func (c *Client) Close() {
	c.requests.Close()
	c.inventories.CloseIdleConnections()
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
	err = call(ctx, c.single, http.MethodPost, "http://"+address+PathOrders, body, &response)
	return response, err
}

// Inventory returns the engine's inventory once its version differs from after, or when
// inventoryWait is over. With after 0 it returns at once.
func (c *Client) Inventory(ctx context.Context, address string, after uint64) (Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {inventoryWait.String()}}
	var inventory Inventory
	err := call(ctx, c.inventories, http.MethodGet, "http://"+address+PathInventory+"?"+query.Encode(), nil, &inventory)
	return inventory, err
}

// call sends a JSON body to an engine and decodes its response.
func call(ctx context.Context, client *http.Client, method, target string, body []byte, result any) error {
	httpRequest, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := client.Do(httpRequest)
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

// Resume requests the events of a stream from offset on. The caller closes the response.
// It fails if the engine no longer retains the stream.
func (c *Client) Resume(ctx context.Context, address, requestID string, offset int) (*upstream.Response, error) {
	target := &url.URL{Path: PathStreams + requestID, RawPath: PathStreams + url.PathEscape(requestID), RawQuery: "offset=" + strconv.Itoa(offset)}
	response, err := c.requests.Do(ctx, upstream.Request{
		Address: address, ID: requestID, ResponseID: responseID, HTTP: &http.Request{Method: http.MethodGet, URL: target, Host: address, Header: http.Header{}},
	})
	if err != nil {
		return nil, errors.Wrap(err, "resume stream")
	}
	if response.Status != http.StatusOK || response.Header.Get(HeaderRequestID) != requestID {
		_ = response.Close()
		return nil, errors.Errorf("engine responded with status %d to resume", response.Status)
	}
	return response, nil
}

// responseID returns the request id that an engine's response carries.
func responseID(response *http.Response) string { return response.Header.Get(HeaderRequestID) }

// Cancel asks an engine to stop a request that no caller waits for.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+PathStreams+url.PathEscape(requestID), nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := c.single.Do(httpRequest)
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

// Dispatch sends a request once and returns the response; the caller closes it. The error is an *upstream.Error.
func (c *Client) Dispatch(ctx context.Context, dispatch Dispatch) (*upstream.Response, error) {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, dispatch.RequestID)
	header.Set(HeaderReplicaID, dispatch.ReplicaID)
	header.Set(HeaderPriority, strconv.Itoa(dispatch.Priority))
	return c.requests.Do(ctx, upstream.Request{
		Address: dispatch.Address, Body: dispatch.Body, ID: dispatch.RequestID, ResponseID: responseID,
		HTTP: &http.Request{Method: http.MethodPost, URL: &url.URL{Path: dispatch.Path}, Host: dispatch.Address, Header: header},
	})
}
