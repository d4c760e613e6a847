// Package adminapi defines the messages of a daemon's operator interface and the client
// for it.
//
//	GET  /healthz, /readyz, /metrics        without a token
//	GET  /v1/status                         Status
//	GET  /v1/settings/current               Revision
//	GET  /v1/settings/revisions/{number}    Revision
//	GET  /v1/settings/history               []Revision, without YAML
//	POST /v1/settings/apply                 ApplyRequest; returns a Revision
//	GET  /v1/explain/model/{name}           Explanation
//	GET  /v1/explain/request/{id}           gateway.RequestSummary
//	POST /v1/drain                          starts a planned stop
package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/finchspoke/finchspoke/failure"
	"github.com/finchspoke/finchspoke/home"
	"github.com/finchspoke/finchspoke/placement"
	"github.com/finchspoke/finchspoke/wellformed"
)

// Paths of the operator interface.
const (
	PathStatus            = "/v1/status"
	PathSettingsCurrent   = "/v1/settings/current"
	PathSettingsRevisions = "/v1/settings/revisions/"
	PathSettingsHistory   = "/v1/settings/history"
	PathSettingsApply     = "/v1/settings/apply"
	PathDrain             = "/v1/drain"

	PathExplainModel   = "/v1/explain/model/"
	PathExplainRequest = "/v1/explain/request/"
)

// Member is a daemon in the membership view of the daemon queried.
type Member struct {
	ID               string `json:"id"`
	Region           string `json:"region"`
	Zone             string `json:"zone"`
	Status           string `json:"status"`
	RPCAddress       string `json:"rpc_address"`
	SettingsRevision uint64 `json:"settings_revision"` // last announced
}

// Placement is the current plan of a region's cell, reported by its placer only.
type Placement struct {
	Region  string                 `json:"region"`
	Epoch   uint64                 `json:"epoch"`
	Plan    uint64                 `json:"plan_revision"`
	Engines []placement.EnginePlan `json:"engines"`
}

// Status is the state of a daemon.
type Status struct {
	ID               string             `json:"id"`
	Region           string             `json:"region"`
	Zone             string             `json:"zone"`
	Ready            bool               `json:"ready"`
	Draining         bool               `json:"draining"`
	Version          string             `json:"version"`
	SettingsRevision uint64             `json:"settings_revision"`
	GatewayAddress   string             `json:"gateway_address"`
	Members          []Member           `json:"members"`
	Queues           []home.ModelStatus `json:"queues"`
	Placement        *Placement         `json:"placement,omitempty"`
}

// Explanation describes why a model is, or is not, loaded on the engines of a region.
type Explanation struct {
	Lines []string `json:"lines"`
}

// Revision is an accepted revision of the settings tree.
type Revision struct {
	Number      uint64    `json:"revision"`
	OperationID string    `json:"operation_id"`
	Author      string    `json:"author"`
	AppliedAt   time.Time `json:"applied_at"`
	YAML        string    `json:"yaml,omitempty"`
}

// ApplyRequest is a request to apply a settings tree on top of a base revision.
type ApplyRequest struct {
	BaseRevision uint64 `json:"base_revision"`
	OperationID  string `json:"operation_id"`
	Author       string `json:"author"`
	YAML         string `json:"yaml"`
}

// Error is the body of a failed call.
type Error struct {
	Kind      failure.Kind      `json:"kind"`
	Message   string            `json:"message"`
	Remedy    string            `json:"remedy"`
	Execution failure.Execution `json:"execution"`
}

const (
	callTimeout      = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// httpClient sends the calls of all Clients.
var httpClient = &http.Client{Transport: wellformed.Transport{Base: http.DefaultTransport}}

// Client calls a daemon's operator interface.
type Client struct {
	Address string // host:port
	Token   string
}

// Get requests a path and decodes the response into result.
func (c Client) Get(ctx context.Context, path string, result any) error {
	return c.call(ctx, http.MethodGet, path, nil, result)
}

// Post sends a message to a path and decodes the response into result, unless that is nil.
func (c Client) Post(ctx context.Context, path string, message, result any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "encode message")
	}
	return c.call(ctx, http.MethodPost, path, body, result)
}

func (c Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	const remedy = "check --address and that the daemon runs"
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "set --address to host:port", "the address is invalid")
	}
	if c.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, remedy, "the daemon at %s did not answer", c.Address).WithExecution(failure.Unknown)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, remedy, "the daemon's response was interrupted").WithExecution(failure.Unknown)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError(response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return failure.Wrap(err, failure.Unavailable, remedy, "the daemon's response is not valid")
	}
	return nil
}

// responseError decodes an error response.
func responseError(status int, data []byte) error {
	var body Error
	if err := json.Unmarshal(data, &body); err != nil || body.Kind == "" {
		return failure.New(failure.Unavailable, "check --address", "the daemon responded with status %d", status)
	}
	return failure.New(body.Kind, body.Remedy, "%s", body.Message).WithExecution(body.Execution)
}
