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
)

// Paths of the etcd v3 JSON gateway.
const (
	PathRange      = "/v3/kv/range"
	PathTxn        = "/v3/kv/txn"
	PathWatch      = "/v3/watch"
	PathLeaseGrant = "/v3/lease/grant"
)

const (
	requestTimeout  = 2 * time.Second
	maxAnswerBytes  = 8 << 20
	clientRate      = rate.Limit(50) // operations a second from one daemon
	clientRateBurst = 50
)

// Client speaks the etcd v3 JSON gateway. It implements Store.
type Client struct {
	base    string // http://host:port
	http    *http.Client
	limiter *rate.Limiter
}

// NewClient returns a client for the gateway at an address host:port. The
// service limits each client, so the client limits itself first.
func NewClient(address string) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: requestTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
		}},
		limiter: rate.NewLimiter(clientRate, clientRateBurst),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Pair, bool, error) {
	var answer WireRangeResponse
	if err := c.call(ctx, PathRange, WireRange{Key: []byte(key)}, &answer); err != nil {
		return Pair{}, false, err
	}
	if len(answer.Pairs) == 0 {
		return Pair{Key: key}, false, nil
	}
	return answer.Pairs[0].pair(), true, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, int64, error) {
	var answer WireRangeResponse
	ask := WireRange{Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix))}
	if err := c.call(ctx, PathRange, ask, &answer); err != nil {
		return nil, 0, err
	}
	return pairs(answer.Pairs), int64(answer.Header.Revision), nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var ask WireTxn
	for _, condition := range txn.Conditions {
		ask.Compare = append(ask.Compare, WireCompare{
			Key: []byte(condition.Key), Target: CompareTargetMod, Result: CompareResultEqual,
			ModRevision: Int64(condition.ModRevision),
		})
		ask.Failure = append(ask.Failure, WireOperation{Range: &WireRange{Key: []byte(condition.Key)}})
	}
	for _, put := range txn.Puts {
		ask.Success = append(ask.Success, WireOperation{
			Put: &WirePut{Key: []byte(put.Key), Value: put.Value, Lease: Int64(put.Lease.Number)}})
	}
	for _, key := range txn.Deletes {
		ask.Success = append(ask.Success, WireOperation{Delete: &WireRange{Key: []byte(key)}})
	}
	var answer WireTxnResponse
	if err := c.call(ctx, PathTxn, ask, &answer); err != nil {
		return TxnResult{}, err
	}
	result := TxnResult{Succeeded: answer.Succeeded, Revision: int64(answer.Header.Revision)}
	if !answer.Succeeded {
		for _, response := range answer.Responses {
			if response.Range != nil {
				result.Current = append(result.Current, pairs(response.Range.Pairs)...)
			}
		}
	}
	return result, nil
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer WireLeaseGrantResponse
	ask := WireLeaseGrant{TTL: Int64(math.Ceil(ttl.Seconds()))}
	if err := c.call(ctx, PathLeaseGrant, ask, &answer); err != nil {
		return LeaseID{}, err
	}
	return LeaseID{Number: int64(answer.ID)}, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision int64, handle func(Event)) error {
	ask := WireWatch{Create: WireWatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd([]byte(prefix)), StartRevision: Int64(revision)}}
	response, err := c.post(ctx, PathWatch, ask)
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

// call posts a question and reads its whole answer.
func (c *Client) call(ctx context.Context, path string, ask, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.postPatiently(ctx, path, ask)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return errors.Wrap(ErrUncertain, "answer is not JSON: "+err.Error())
	}
	return nil
}

// errRateLimited is the service's refusal of an operation, which did not run.
var errRateLimited = errors.Wrap(ErrUnavailable, "rate limit of the service")

// limitPause is the wait before an operation is tried again that the service's rate
// limit turned away; up to as much again is added by chance.
const limitPause = 50 * time.Millisecond

// postPatiently is post that comes back after the service's rate limit.
func (c *Client) postPatiently(ctx context.Context, path string, ask any) (*http.Response, error) {
	for {
		response, err := c.post(ctx, path, ask)
		if !errors.Is(err, errRateLimited) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(limitPause + rand.N(limitPause)):
		}
	}
}

// post sends a question and classes what can go wrong: only an operation that
// was never sent, or that the rate limit turned away, certainly did not run.
func (c *Client) post(ctx context.Context, path string, ask any) (*http.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Wrap(ErrUnavailable, "own rate limit: "+err.Error())
	}
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, errors.Wrap(err, "encode question")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
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
	return nil, errors.Wrapf(ErrUncertain, "status %d", response.StatusCode)
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
