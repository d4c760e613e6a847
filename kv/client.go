package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/finchspoke/finchspoke/wellformed"
)

// Paths of the etcd v3 JSON gateway.
const (
	PathRange      = "/v3/kv/range"
	PathTxn        = "/v3/kv/txn"
	PathWatch      = "/v3/watch"
	PathLeaseGrant = "/v3/lease/grant"
)

const (
	requestTimeout   = 2 * time.Second
	maxResponseBytes = 8 << 20
	clientRate       = rate.Limit(50) // operations per second
	clientRateBurst  = 50
)

// Client is a Store over the etcd v3 JSON gateway.
type Client struct {
	base    string // http://host:port
	http    *http.Client
	limiter *rate.Limiter
}

// NewClient returns a client for the gateway at address (host:port). The client
// limits its own request rate to stay below the service's limit per client.
func NewClient(address string) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: wellformed.Transport{Base: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: requestTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
		}}},
		limiter: rate.NewLimiter(clientRate, clientRateBurst),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Pair, bool, error) {
	var response WireRangeResponse
	if err := c.call(ctx, PathRange, WireRange{Key: []byte(key)}, &response); err != nil {
		return Pair{}, false, err
	}
	if len(response.Pairs) == 0 {
		return Pair{Key: key}, false, nil
	}
	return response.Pairs[0].pair(), true, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, int64, error) {
	var response WireRangeResponse
	request := WireRange{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix))}
	if err := c.call(ctx, PathRange, request, &response); err != nil {
		return nil, 0, err
	}
	return pairs(response.Pairs), int64(response.Header.Revision), nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var request WireTxn
	for _, condition := range txn.Conditions {
		request.Compare = append(request.Compare, WireCompare{
			Key: []byte(condition.Key), Target: CompareTargetMod, Result: CompareResultEqual,
			ModRevision: Int64(condition.ModRevision),
		})
		request.Failure = append(request.Failure, WireOperation{Range: &WireRange{Key: []byte(condition.Key)}})
	}
	for _, put := range txn.Puts {
		request.Success = append(request.Success, WireOperation{
			Put: &WirePut{Key: []byte(put.Key), Value: put.Value, Lease: Int64(put.Lease.Number)}})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, WireOperation{Delete: &WireRange{Key: []byte(key)}})
	}
	var response WireTxnResponse
	if err := c.call(ctx, PathTxn, request, &response); err != nil {
		return TxnResult{}, err
	}
	result := TxnResult{Succeeded: response.Succeeded, Revision: int64(response.Header.Revision)}
	if !response.Succeeded {
		for _, operation := range response.Responses {
			if operation.Range != nil {
				result.Current = append(result.Current, pairs(operation.Range.Pairs)...)
			}
		}
	}
	return result, nil
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response WireLeaseGrantResponse
	request := WireLeaseGrant{TTL: Int64(math.Ceil(ttl.Seconds()))}
	if err := c.call(ctx, PathLeaseGrant, request, &response); err != nil {
		return LeaseID{}, err
	}
	return LeaseID{Number: int64(response.ID)}, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, handle func(Event)) error {
	request := WireWatch{Create: WireWatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), StartRevision: Int64(revision)}}
	response, err := c.post(ctx, PathWatch, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	for {
		var message WireWatchResponse
		if err := decoder.Decode(&message); err != nil {
			return errors.Wrap(ErrUnavailable, "watch ended: "+err.Error())
		}
		if message.Result.CompactRevision > 0 {
			return ErrCompacted
		}
		if message.Result.Canceled {
			return errors.Wrap(ErrUnavailable, "watch canceled by the service")
		}
		for _, event := range message.Result.Events {
			handle(Event{Pair: event.Pair.pair(), Deleted: event.Type == WireEventDelete})
		}
	}
}

// call posts a request and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, path string, request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.retryRateLimited(ctx, path, request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrUncertain, "response is not valid JSON: "+err.Error())
	}
	return nil
}

// errRateLimited means that the service rejected an operation with status 429 without running it.
var errRateLimited = errors.Wrap(ErrUnavailable, "rate limited by the service")

// rateLimitPause is the minimum delay before a rate-limited operation is retried;
// up to the same amount of jitter is added.
const rateLimitPause = 50 * time.Millisecond

// retryRateLimited is post, retried until ctx ends while the service rate-limits the operation.
func (c *Client) retryRateLimited(ctx context.Context, path string, request any) (*http.Response, error) {
	for {
		response, err := c.post(ctx, path, request)
		if !errors.Is(err, errRateLimited) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(rateLimitPause + rand.N(rateLimitPause)):
		}
	}
}

// post sends a request and classifies errors: only an operation that was never
// sent, or that the service rate-limited, certainly did not run.
func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Wrap(ErrUnavailable, "client rate limit: "+err.Error())
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP request")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(httpRequest)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return nil, errors.Wrap(ErrUnavailable, err.Error())
		}
		return nil, errors.Wrap(ErrUncertain, err.Error())
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusTooManyRequests {
		return nil, errRateLimited
	}
	return nil, errors.Wrapf(ErrUncertain, "unexpected status %d from the service", response.StatusCode)
}

func (p WirePair) pair() Pair {
	return Pair{Key: string(p.Key), Value: p.Value, ModRevision: int64(p.ModRevision)}
}

func pairs(wire []WirePair) []Pair {
	converted := make([]Pair, 0, len(wire))
	for _, pair := range wire {
		converted = append(converted, pair.pair())
	}
	return converted
}
