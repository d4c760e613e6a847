// Package machinelist reads the platform's list of machines. The list is delayed: a machine may
// stop before the list shows it as draining, and run before the list contains it.
package machinelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/finchspoke/finchspoke/wellformed"
)

// Path is the URL path of the list.
const Path = "/machines"

// State indicates whether the platform is about to remove a machine.
type State string

// States of a machine; the list omits machines that the platform has removed.
const (
	Live     State = "live"
	Draining State = "leaving"
)

// Machine is a machine that runs an inference engine.
type Machine struct {
	ID      string `json:"id"`
	Address string `json:"address"` // host:port of the engine
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	State   State  `json:"state"`
}

// List is the body of the platform's response.
type List struct {
	Machines []Machine `json:"machines"`
}

const (
	timeout       = 2 * time.Second
	maxListBytes  = 16 << 20
	idleTimeout   = time.Minute
	idleConnCount = 2
)

// Client reads the list of machines from the platform.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the platform's service at host:port.
func NewClient(address string) *Client {
	return &Client{
		url: "http://" + address + Path,
		http: &http.Client{Timeout: timeout, Transport: wellformed.Transport{Base: &http.Transport{
			MaxIdleConnsPerHost: idleConnCount, IdleConnTimeout: idleTimeout}}},
	}
}

// Machines returns the machines of a region.
func (c *Client) Machines(ctx context.Context, region string) ([]Machine, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"?region="+region, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create machine list request")
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrap(err, "request machine list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("machine list request failed with status %d", response.StatusCode)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "decode machine list")
	}
	return list.Machines, nil
}
