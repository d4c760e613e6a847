// Package adminapi holds the messages of a daemon's operator interface and the
// client that the command line uses.
//
//	GET  /healthz, /readyz, /metrics        open
//	GET  /v1/status                         Status
//	GET  /v1/settings/current               Revision
//	GET  /v1/settings/revisions/{number}    Revision
//	GET  /v1/settings/history               []Revision, without YAML
//	POST /v1/settings/apply                 Application, answered by a Revision
//	GET  /v1/explain/model/{name}           Explanation
//	GET  /v1/explain/request/{id}           gateway.Ended
//	POST /v1/drain                          begins a planned stop
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

// Member is a daemon as another knows it.
type Member struct {
	ID               string `json:"id"`
	Region           string `json:"region"`
	Zone             string `json:"zone"`
	Status           string `json:"status"`
	RPCAddress       string `json:"rpc_address"`
	SettingsRevision uint64 `json:"settings_revision"` // last heard
}

// Placement is the plan of the cell, shown by the daemon that places.
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

// Explanation says why a model is, or is not, where it is.
type Explanation struct {
	Lines []string `json:"lines"`
}

// Revision is an accepted state of the settings tree.
type Revision struct {
	Number      uint64    `json:"revision"`
	OperationID string    `json:"operation_id"`
	Author      string    `json:"author"`
	AppliedAt   time.Time `json:"applied_at"`
	YAML        string    `json:"yaml,omitempty"`
}

// Application asks for a tree to be put in force.
type Application struct {
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
	timeout        = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client calls a daemon's operator interface.
type Client struct {
	Address string // host:port
	Token   string
}

// Get reads a path into answer.
func (c Client) Get(ctx context.Context, path string, answer any) error {
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

// Post sends a message to a path and reads the answer.
func (c Client) Post(ctx context.Context, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "", "encode message")
	}
	return c.call(ctx, http.MethodPost, path, body, answer)
}

func (c Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	const reach = "check --address and that the daemon runs"
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, "give --address as host:port", "the address is not valid")
	}
	if c.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, reach, "the daemon at %s did not answer", c.Address).WithExecution(failure.Unknown)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, reach, "the daemon's answer broke off").WithExecution(failure.Unknown)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return failed(response.StatusCode, text)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return failure.Wrap(err, failure.Unavailable, reach, "the daemon's answer is not understood")
	}
	return nil
}

func failed(status int, text []byte) error {
	var told Error
	if err := json.Unmarshal(text, &told); err != nil || told.Kind == "" {
		return failure.New(failure.Unavailable, "check --address", "the daemon answered status %d", status)
	}
	return failure.New(told.Kind, told.Remedy, "%s", told.Message).WithExecution(told.Execution)
}
